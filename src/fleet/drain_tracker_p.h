#pragma once

#include "fleet_model_p.h"

namespace vanillalift {

struct DrainTrackerOptions {
    /// A planned stop that takes longer in one phase has failed. Drains wait for running requests.
    int64_t drainTimeoutMs = 15 * 60 * 1000;
    int64_t rebootTimeoutMs = 10 * 60 * 1000;
    int64_t returnTimeoutMs = 5 * 60 * 1000;
    /// A serving instance without an announcement for this time has failed: three expiries of announcements, so that a
    /// restarted entry's first seconds do not count.
    int64_t absenceTimeoutMs = 10 * 1000;
};

/// Takes each instance through the phases of a planned stop once the observations prove the step, and notices failures.
/// Pure: the time is part of the model.
class DrainTracker {
public:
    explicit DrainTracker(DrainTrackerOptions options = {})
        : m_options(options)
    {
    }

    /// @returns at most one action for each instance.
    [[nodiscard]] std::vector<FleetAction> plan(const FleetModel& model) const;

    /// @returns what is still missing for the proof that a draining instance is drained, or an empty string.
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
