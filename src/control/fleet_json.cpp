#include <vanillalift/fleet.h>

#include <algorithm>
#include <array>

namespace vanillalift {

using nlohmann::json;

namespace {

    constexpr std::array<std::string_view, static_cast<size_t>(InstancePhase::InstancePhaseCount)> phaseNames { "serving", "draining", "drained", "rebooting", "returning", "failed" };
    constexpr std::array<std::string_view, static_cast<size_t>(WavePhase::WavePhaseCount)> wavePhaseNames { "running", "halted", "rolling-back", "rolled-back", "finished" };
    constexpr std::array<std::string_view, static_cast<size_t>(FleetActionKind::FleetActionKindCount)> actionNames { "begin-drain", "cancel-drain", "confirm-drained",
        "begin-reboot", "change-pool", "await-return", "finish-return", "fail", "recover", "set-address", "halt-wave", "finish-wave" };

    template <typename T, typename Names>
    T fromName(const json& value, const Names& names)
    {
        auto it = std::find(names.begin(), names.end(), value.get_ref<const std::string&>());
        if (it == names.end())
            throw json::other_error::create(501, "unknown name " + value.dump(), &value);
        return static_cast<T>(it - names.begin());
    }

    FleetAction actionFromJson(const json& value)
    {
        return { fromName<FleetActionKind>(value.at("kind"), actionNames), value.at("instance"), value.at("wave"), value.at("pool"), value.at("address"),
            value.at("incarnation"), value.at("reason"), value.at("alternatives") };
    }

    InstanceStatus statusFromJson(const json& value)
    {
        return { fromName<InstancePhase>(value.at("phase"), phaseNames), value.at("wave"), value.at("target_pool"), value.at("drain_revision"),
            value.at("incarnation"), value.at("since_ms"), value.at("action_id"), fromName<FleetActionKind>(value.at("action"), actionNames) };
    }

    Wave waveFromJson(const json& value)
    {
        Wave wave { value.at("name"), value.at("pools"), value.at("deadline_ms"), fromName<WavePhase>(value.at("phase"), wavePhaseNames), value.at("reason"), value.at("pending") };
        for (const auto& it : value.at("outcomes"))
            wave.outcomes.push_back({ it.at("instance"), it.at("time_ms"), it.at("healthy") });
        wave.outcomesBeforeResume = value.at("settled_outcomes");
        wave.maxBatchSize = value.at("batch_limit");
        wave.hasBatchFailed = value.at("batch_failed");
        return wave;
    }

} // namespace

std::string_view phaseName(InstancePhase phase) { return phaseNames.at(static_cast<size_t>(phase)); }
std::string_view wavePhaseName(WavePhase phase) { return wavePhaseNames.at(static_cast<size_t>(phase)); }
std::string_view fleetActionName(FleetActionKind kind) { return actionNames.at(static_cast<size_t>(kind)); }

std::string_view fleetErrorCodeName(FleetErrorCode code)
{
    constexpr std::array<std::string_view, static_cast<size_t>(FleetErrorCode::FleetErrorCodeCount)> names { "old-term", "instance-unknown", "wrong-phase", "pool-invalid", "wave-invalid" };
    return names.at(static_cast<size_t>(code));
}

json toJson(const FleetAction& action)
{
    return { { "kind", fleetActionName(action.kind) }, { "instance", action.instance }, { "wave", action.wave }, { "pool", action.pool }, { "address", action.address },
        { "incarnation", action.incarnation }, { "reason", action.reason }, { "alternatives", action.alternatives } };
}

json toJson(const InstanceStatus& status)
{
    return { { "phase", phaseName(status.phase) }, { "wave", status.wave }, { "target_pool", status.targetPool }, { "drain_revision", status.drainRevision },
        { "incarnation", status.incarnation }, { "since_ms", status.phaseSinceMs }, { "action_id", status.actionId }, { "action", fleetActionName(status.action) } };
}

json toJson(const Wave& wave)
{
    json value { { "name", wave.name }, { "pools", wave.pools }, { "deadline_ms", wave.deadlineMs }, { "phase", wavePhaseName(wave.phase) }, { "reason", wave.reason },
        { "pending", wave.pending }, { "outcomes", json::array() }, { "settled_outcomes", wave.outcomesBeforeResume }, { "batch_limit", wave.maxBatchSize }, { "batch_failed", wave.hasBatchFailed } };
    for (const auto& it : wave.outcomes)
        value["outcomes"].push_back({ { "instance", it.instance }, { "time_ms", it.timeMs }, { "healthy", it.isHealthy } });
    return value;
}

json toJson(const FleetRecord& record)
{
    return { { "id", record.id }, { "time_ms", record.timeMs }, { "term", record.term }, { "action", toJson(record.action) } };
}

json toJson(const FleetCommand& command)
{
    return { { "term", command.term }, { "time_ms", command.timeMs }, { "fleet", toJson(command.action) } };
}

json toJson(const FleetState& state)
{
    json value { { "term", state.term }, { "last_action_id", state.lastActionId }, { "statuses", json::object() }, { "waves", json::array() }, { "records", json::array() } };
    for (const auto& [name, status] : state.statuses)
        value["statuses"][name] = toJson(status);
    for (const auto& it : state.waves)
        value["waves"].push_back(toJson(it));
    for (const auto& it : state.records)
        value["records"].push_back(toJson(it));
    return value;
}

FleetCommand fleetCommandFromJson(const json& value)
{
    return { value.at("term"), value.at("time_ms"), actionFromJson(value.at("fleet")) };
}

FleetState fleetStateFromJson(const json& value)
{
    FleetState state;
    state.term = value.at("term");
    state.lastActionId = value.at("last_action_id");
    for (const auto& [name, status] : value.at("statuses").items())
        state.statuses[name] = statusFromJson(status);
    for (const auto& it : value.at("waves"))
        state.waves.push_back(waveFromJson(it));
    for (const auto& it : value.at("records"))
        state.records.push_back({ it.at("id"), it.at("time_ms"), it.at("term"), actionFromJson(it.at("action")) });
    return state;
}

} // namespace vanillalift
