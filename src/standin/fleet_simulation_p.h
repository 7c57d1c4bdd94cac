#pragma once

#include "fleet/fleet_controller_p.h"
#include "simulated_platform_p.h"

namespace vanillalift::standin {

/// Replicated log with a single replica that commits immediately. Leadership can be lost after a chosen number of commits.
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
    /// Number of commits after which the leader is lost; negative: never.
    int64_t commitsUntilLeaderLoss = -1;

private:
    ControlMachine& m_machine;
    uint64_t m_index = 0;
};

/// Control state, simulated platform and fleet controller in simulated time. Entries apply each change immediately.
class FleetSimulation final : public Platform, public FleetObserver {
public:
    FleetSimulation(const ControlState& state, PlatformSettings settings, FleetControllerOptions options = {});

    /// Runs the controller once, then advances the time by one second.
    void step();
    /// Replaces the controller by that of a new leader, which has no state in memory.
    void changeLeader();
    /// Commits an operator's change. @returns its outcome.
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
    /// Number of platform calls after which the leader is lost; the next call is not sent. Negative: never.
    int64_t callsUntilLeaderLoss = -1;
    [[nodiscard]] FleetControllerStats stats() const { return m_controller->stats(); }

private:
    /// Announcement state of an instance as last observed.
    struct ObservedAnnouncement {
        bool isAnnounced = true;
        int64_t changeMs = 1;
    };

    ControlMachine m_machine;
    std::map<std::string, ObservedAnnouncement> m_announcements;
    FleetControllerOptions m_options;
    std::unique_ptr<FleetController> m_controller;
    int m_operations = 0;
};

/// @returns @p settings with the instances of @p state added.
PlatformSettings platformSettingsFor(const ControlState& state, PlatformSettings settings = {});

} // namespace vanillalift::standin
