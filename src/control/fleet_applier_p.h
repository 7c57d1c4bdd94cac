#pragma once

#include <vanillalift/control_state.h>

namespace vanillalift {

/// Validates one fleet action of the leader and applies it. The state is not modified if the action is refused.
class FleetApplier {
public:
    FleetApplier(ControlState& state, const FleetCommand& command);

    std::optional<FleetErrorCode> run();

private:
    /// Checks that the instance exists and that its phase permits the action.
    [[nodiscard]] std::optional<FleetErrorCode> checkInstance() const;
    [[nodiscard]] std::optional<FleetErrorCode> checkBeginDrain() const;
    std::optional<FleetErrorCode> applyToWave();
    void applyToInstance();
    void beginDrain(InstanceStatus& status);
    void endDrain(const InstanceStatus& status);
    void changePool(const InstanceStatus& status);
    /// Records that the instance's stop for the wave ended and updates the batch size of the wave.
    void recordOutcome(const InstanceStatus& status, bool isHealthy);
    /// Adds the change to the history as a new revision.
    void recordRevision(const Change& change);
    void recordAction();

    ControlState& m_state;
    FleetState& m_fleet;
    const FleetCommand& m_command;
    const FleetAction& m_action;
};

} // namespace vanillalift
