#pragma once

#include "fleet_model_p.h"

namespace vanillalift {

struct PoolPlannerOptions {
    /// Hysteresis: a pool gets an instance only after it was short for this time.
    int64_t shortageDelayMs = 30 * 1000;
    /// Hysteresis: a pool gives an instance back only after it was above its size for this time.
    int64_t surplusDelayMs = 10 * 60 * 1000;
    /// A move's gain is counted over this time.
    int64_t gainPeriodMs = 30 * 60 * 1000;
    /// Cost of a move: time for which the instance serves nobody.
    int64_t moveDurationMs = 2 * 60 * 1000;
};

/// How many instances a pool should have, and how many it has.
struct PoolSize {
    int64_t requiredInstances = 0;
    /// Largest number of its instances in one rack, which it has to survive.
    int64_t buffer = 0;
    /// Instances that a wave holds out of service.
    int64_t inWave = 0;
    /// Instances that work or will be back, incoming moves included.
    int64_t size = 0;

    [[nodiscard]] int64_t desiredInstances() const { return requiredInstances + buffer + inWave; }
};

/// Moves instances between the spare pool and the services' pools. Remembers since when a pool was short or above its
/// size; a new leader starts without this memory, which delays a move and makes none.
class PoolPlanner {
public:
    explicit PoolPlanner(PoolPlannerOptions options = {})
        : m_options(options)
    {
    }

    /// @returns the start of moves (BeginDrain with a pool), at most one for each pool.
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
