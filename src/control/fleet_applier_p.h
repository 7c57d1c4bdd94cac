#pragma once

#include <vanillalift/control_state.h>

namespace vanillalift {

/// Checks one action of the leader and applies it. The state is untouched if the action is refused.
class FleetApplier {
public:
    FleetApplier(ControlState& state, const FleetCommand& command);

    std::optional<FleetErrorCode> run();

private:
    [[nodiscard]] std::optional<FleetErrorCode> checkInstance() const;
    [[nodiscard]] std::optional<FleetErrorCode> checkBeginDrain() const;
    std::optional<FleetErrorCode> applyToWave();
    void applyToInstance();
    void beginDrain(InstanceStatus& status);
    void endDrain(const InstanceStatus& status);
    void changePool(const InstanceStatus& status);
    void recordOutcome(const InstanceStatus& status, bool isHealthy);
    void recordRevision(const Change& change);
    void recordAction();

    ControlState& m_state;
    FleetState& m_fleet;
    const FleetCommand& m_command;
    const FleetAction& m_action;
};

} // namespace vanillalift
