#pragma once

#include "fleet_model_p.h"

namespace vanillalift {

struct DrainTrackerOptions {
    /// Limits on the time that a planned stop spends in one phase; the drain limit covers the wait for running requests.
    /// A drain that exceeds its limit is cancelled, a reboot or return has failed.
    int64_t drainTimeoutMs = 15 * 60 * 1000;
    int64_t rebootTimeoutMs = 10 * 60 * 1000;
    int64_t returnTimeoutMs = 5 * 60 * 1000;
    /// A serving instance without an announcement for this time has failed. Three announcement expiries, so that the first
    /// seconds after an entry's restart do not count.
    int64_t absenceTimeoutMs = 10 * 1000;
};

/// Advances each instance through the phases of a planned stop once the observations confirm the step, and detects failures.
/// Stateless: the time is part of the model.
class DrainTracker {
public:
    explicit DrainTracker(DrainTrackerOptions options = {})
        : m_options(options)
    {
    }

    /// @returns at most one action per instance.
    [[nodiscard]] std::vector<FleetAction> plan(const FleetModel& model) const;

    /// @returns the first condition that a draining instance does not yet meet to count as drained, or an empty string.
    [[nodiscard]] static std::string unmetDrainCondition(const InstanceModel& instance);

private:
    [[nodiscard]] std::optional<FleetAction> nextAction(const FleetModel& model, const InstanceModel& it) const;
    [[nodiscard]] std::optional<FleetAction> actionWhenDraining(const FleetModel& model, const InstanceModel& it) const;
    [[nodiscard]] std::optional<FleetAction> actionWhenDrained(const FleetModel& model, const InstanceModel& it) const;
    [[nodiscard]] std::optional<FleetAction> actionWhenRebooting(const FleetModel& model, const InstanceModel& it) const;
    [[nodiscard]] std::optional<FleetAction> actionWhenReturning(const FleetModel& model, const InstanceModel& it) const;
    [[nodiscard]] std::optional<FleetAction> actionWhenFailed(const FleetModel& model, const InstanceModel& it) const;
    [[nodiscard]] std::optional<FleetAction> actionWhenServing(const FleetModel& model, const InstanceModel& it) const;

    DrainTrackerOptions m_options;
};

} // namespace vanillalift
