#include "fleet_simulation_p.h"

namespace vanillalift::standin {

using nlohmann::json;

std::future<ProposeResult> SimulatedLog::propose(std::string command)
{
    std::promise<ProposeResult> promise;
    if (commitsUntilLeaderLoss == 0) {
        promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::NotLeader, "" }));
        return promise.get_future();
    }
    commitsUntilLeaderLoss -= commitsUntilLeaderLoss > 0 ? 1 : 0;
    promise.set_value(CommitResult { ++m_index, m_machine.apply(m_index, command) });
    return promise.get_future();
}

std::future<ReadResult> SimulatedLog::readIndex()
{
    std::promise<ReadResult> promise;
    promise.set_value(m_index);
    return promise.get_future();
}

std::future<ProposeResult> SimulatedLog::replaceMember(std::string /*name*/, std::string /*storageId*/)
{
    return propose({});
}

ReplicaStatus SimulatedLog::status() const
{
    ReplicaStatus status;
    status.role = commitsUntilLeaderLoss == 0 ? ReplicaRole::Follower : ReplicaRole::Leader;
    status.term = term;
    return status;
}

FleetSimulation::FleetSimulation(const ControlState& state, PlatformSettings settings, FleetControllerOptions options)
    : simulatedPlatform(std::move(settings))
    , log(m_machine)
    , m_options(options)
{
    std::string bytes;
    json::to_cbor(state.toJson(), bytes);
    m_machine.restore(bytes);
    m_controller = std::make_unique<FleetController>(
        log, m_machine, *this, *this, [this] { return nowMs; }, options);
}

void FleetSimulation::step()
{
    m_controller->runOnce();
    nowMs += 1000;
}

void FleetSimulation::changeLeader()
{
    ++log.term;
    log.commitsUntilLeaderLoss = -1;
    callsUntilLeaderLoss = -1;
    m_controller = std::make_unique<FleetController>(
        log, m_machine, *this, *this, [this] { return nowMs; }, m_options);
}

ChangeOutcome FleetSimulation::change(const json& value)
{
    ChangeCommand command { "ana", "sim-" + std::to_string(++m_operations), read([](const ControlState& state) { return state.revision(); }), nowMs, value };
    (void)log.propose(encodeCommand(command)).get();
    return *read([&](const ControlState& state) { return state.findOperation(command.operation); });
}

PlatformResult FleetSimulation::request(const PlatformRequest& request)
{
    if (callsUntilLeaderLoss == 0) {
        log.commitsUntilLeaderLoss = 0;
        return tl::unexpected(PlatformError { PlatformErrorCode::Unreachable, "the leader was lost" });
    }
    callsUntilLeaderLoss -= callsUntilLeaderLoss > 0 ? 1 : 0;
    return simulatedPlatform.request(request, nowMs);
}

tl::expected<PlatformInstances, PlatformError> FleetSimulation::instances()
{
    return simulatedPlatform.instances(nowMs);
}

FleetObservations FleetSimulation::observe(const std::vector<ObservedDrain>& drains)
{
    FleetObservations observations;
    observations.demand = demand;
    for (const auto& [name, it] : simulatedPlatform.observe(nowMs)) {
        auto& announcement = m_announcements[name];
        if (announcement.isAnnounced != it.isAnnounced)
            announcement = { it.isAnnounced, nowMs };
        observations.instances[name] = { .isAnnounced = it.isAnnounced, .isLeaving = it.isLeaving, .announcementChangedMs = announcement.changeMs, .incarnation = it.incarnation, .address = it.address };
    }
    for (const auto& it : drains) {
        auto& instance = observations.instances[it.instance];
        instance.isDrainApplied = instance.isInFlightKnown = true;
    }
    return observations;
}

FleetModel FleetSimulation::model()
{
    auto observations = observe({});
    for (const auto& [name, it] : simulatedPlatform.instances(nowMs)) {
        observations.instances[name].platform = it.state;
        observations.instances[name].platformActionId = it.actionId;
    }
    return read([&](const ControlState& state) { return makeFleetModel(state, observations, nowMs); });
}

bool FleetSimulation::isClosed(std::string_view wave) const
{
    return read([&](const ControlState& state) {
        const auto* found = state.fleet().findWave(wave);
        return found && !found->isOpen();
    });
}

PlatformSettings platformSettingsFor(const ControlState& state, PlatformSettings settings)
{
    for (const auto& [name, it] : state.instances())
        settings.instances.push_back({ name, it.rack, it.address });
    return settings;
}

} // namespace vanillalift::standin
