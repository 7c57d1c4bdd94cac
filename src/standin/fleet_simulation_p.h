#pragma once

#include "fleet/fleet_controller_p.h"
#include "simulated_platform_p.h"

namespace vanillalift::standin {

/// A log of one replica that commits at once. Leadership can be lost before or after a chosen commit.
class SimulatedLog final : public ReplicatedLog {
public:
    explicit SimulatedLog(ControlMachine& machine)
        : m_machine(machine)
    {
    }

    std::future<ProposeResult> propose(std::string command) override;
    std::future<ReadResult> readIndex() override;
    std::future<ProposeResult> replaceMember(std::string name, std::string storageId) override;
    [[nodiscard]] ReplicaStatus status() const override;

    uint64_t term = 1;
    /// Commits until the leader is lost; negative: it is not lost.
    int64_t commitsUntilLeaderLoss = -1;

private:
    ControlMachine& m_machine;
    uint64_t m_index = 0;
};

/// A control state, a simulated platform and the controller under simulated time, with entries that follow at once.
class FleetSimulation final : public Platform, public FleetObserver {
public:
    FleetSimulation(const ControlState& state, PlatformSettings settings, FleetControllerOptions options = {});

    /// One round of the controller, then one second.
    void step();
    /// A new leader with an empty memory takes over.
    void changeLeader();
    /// Applies an operator's change.
    ChangeOutcome change(const nlohmann::json& value);

    PlatformResult request(const PlatformRequest& request) override;
    tl::expected<PlatformInstances, PlatformError> instances() override;
    FleetObservations observe(const std::vector<ObservedDrain>& drains) override;

    [[nodiscard]] FleetModel model();
    template <typename Reader>
    auto read(Reader reader) const { return m_machine.read(reader); }
    [[nodiscard]] bool isClosed(std::string_view wave) const;

    int64_t nowMs = 1000000;
    SimulatedPlatform simulatedPlatform;
    SimulatedLog log;
    std::map<std::string, double> demand;
    /// The leader is lost at this platform call, before it is sent; negative: it is not.
    int64_t callsUntilLeaderLoss = -1;
    [[nodiscard]] FleetControllerStats stats() const { return m_controller->stats(); }

private:
    struct Seen {
        bool isAnnounced = true;
        int64_t changeMs = 1;
    };

    ControlMachine m_machine;
    std::map<std::string, Seen> m_seen;
    FleetControllerOptions m_options;
    std::unique_ptr<FleetController> m_controller;
    int m_operations = 0;
};

/// @returns the settings of a platform with the state's instances.
PlatformSettings platformSettingsFor(const ControlState& state, PlatformSettings settings = {});

} // namespace vanillalift::standin
