#pragma once

#include "fleet_model_p.h"

namespace vanillalift {

struct PoolPlannerOptions {
    /// Hysteresis: a pool gets an instance only after a shortage of this duration.
    int64_t shortageDelayMs = 30 * 1000;
    /// Hysteresis: a pool gives up an instance only after a surplus of this duration.
    int64_t surplusDelayMs = 10 * 60 * 1000;
    /// Period over which the gain of a move is counted.
    int64_t gainPeriodMs = 30 * 60 * 1000;
    /// Cost of a move: time during which the instance is out of service.
    int64_t moveDurationMs = 2 * 60 * 1000;
};

/// Desired and actual number of instances of a pool.
struct PoolSize {
    int64_t requiredInstances = 0;
    /// Extra instances to survive the loss of any rack: the largest number of the pool's instances in one rack.
    int64_t buffer = 0;
    /// Instances that are out of service for a wave.
    int64_t inWave = 0;
    /// Instances that serve or are expected back, including incoming moves, without failed and outgoing ones.
    int64_t size = 0;

    [[nodiscard]] int64_t desiredInstances() const { return requiredInstances + buffer + inWave; }
};

/// Moves instances between the spare pool and the services' pools. Tracks since when each pool has had a shortage or surplus; a
/// new leader starts with empty timers, which can delay a move but never cause one.
class PoolPlanner {
public:
    explicit PoolPlanner(PoolPlannerOptions options = {})
        : m_options(options)
    {
    }

    /// @returns BeginDrain actions with a target pool, which start moves; at most one per pool.
    std::vector<FleetAction> plan(const FleetModel& model);

    [[nodiscard]] static PoolSize sizeOf(const FleetModel& model, const PoolModel& pool);

private:
    struct ShortageTimers {
        int64_t shortageSinceMs = 0;
        int64_t surplusSinceMs = 0;
    };

    void updateTimers(const FleetModel& model);
    [[nodiscard]] std::optional<FleetAction> planAddition(const FleetModel& model, size_t pool) const;
    [[nodiscard]] std::optional<FleetAction> planRemoval(const FleetModel& model, size_t pool) const;
    [[nodiscard]] bool hasSurplus(const FleetModel& model, const PoolModel& pool) const;

    PoolPlannerOptions m_options;
    std::map<std::string, ShortageTimers> m_timers;
};

} // namespace vanillalift
