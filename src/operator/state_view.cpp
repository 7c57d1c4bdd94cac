#include "state_view_p.h"

#include <algorithm>

namespace vanillalift {

using nlohmann::json;

namespace {

    json instanceToJson(const Instance& it)
    {
        return { { "name", it.name }, { "pool", it.pool }, { "zone", it.zone }, { "rack", it.rack }, { "address", it.address } };
    }

    json limitPartToJson(const LimitPart& it)
    {
        return { { "team", it.team }, { "entry", it.entry }, { "amount", it.amount }, { "target", it.target } };
    }

    /// Gives counts instead of the lists of instances, which are too long for an operator's screen.
    json waveToJson(const Wave& it)
    {
        auto healthy = std::count_if(it.outcomes.begin(), it.outcomes.end(), [](const WaveOutcome& outcome) { return outcome.isHealthy; });
        return { { "name", it.name }, { "phase", wavePhaseName(it.phase) }, { "reason", it.reason }, { "pools", it.pools }, { "deadline_ms", it.deadlineMs },
            { "waiting", it.pending.size() }, { "healthy", healthy }, { "failed", static_cast<int64_t>(it.outcomes.size()) - healthy }, { "batch_limit", it.maxBatchSize } };
    }

    /// @returns the leader's actions on the instance, and on the waves that the instance is or was part of.
    json findActions(const ControlState& state, const std::string& instance)
    {
        auto actions = json::array();
        std::vector<std::string_view> waves;
        for (const auto& it : state.fleet().records) {
            const auto& action = it.action;
            bool isForItsWave = action.instance.empty() && std::find(waves.begin(), waves.end(), action.wave) != waves.end();
            if (action.instance == instance && !action.wave.empty())
                waves.push_back(action.wave);
            if (action.instance == instance || isForItsWave)
                actions.push_back(toJson(it));
        }
        return actions;
    }

    template <typename Table, typename Convert>
    json toJsonArray(const Table& table, Convert convert)
    {
        auto array = json::array();
        for (const auto& it : table)
            array.push_back(convert(it));
        return array;
    }

    std::optional<json> findItems(const ControlState& state, std::string_view kind)
    {
        auto convert = [](const auto& it) { return toJson(it); };
        if (kind == "profiles")
            return toJsonArray(state.catalog().profiles, convert);
        if (kind == "services")
            return toJsonArray(state.catalog().services, convert);
        if (kind == "teams")
            return toJsonArray(state.catalog().teams, convert);
        if (kind == "keys")
            return toJsonArray(state.catalog().keys, convert);
        if (kind == "pools")
            return toJsonArray(state.pools(), [](const auto& it) { return json { { "name", it.second.name }, { "service", it.second.service }, { "minimum", it.second.minimum } }; });
        if (kind == "instances")
            return toJsonArray(state.instances(), [](const auto& it) { return instanceToJson(it.second); });
        if (kind == "operators")
            return toJsonArray(state.operators(), [](const auto& it) { return json { { "name", it.second.name }, { "role", roleName(it.second.role) } }; });
        if (kind == "entries")
            return toJsonArray(state.entries(), [](const auto& it) { return json { { "name", it.first }, { "zone", it.second } }; });
        if (kind == "waves")
            return toJsonArray(state.fleet().waves, waveToJson);
        if (kind == "parts")
            return toJsonArray(state.parts(), limitPartToJson);
        return std::nullopt;
    }

    /// JSON pointer to the name of the object that a change concerns (its subject), and the kind of that object.
    struct SubjectField {
        std::string_view changeKind;
        const char* kind;
        const char* pointer;
    };

    constexpr std::array<SubjectField, 22> subjectFields { {
        { "put-profile", "profiles", "/profile/name" },
        { "delete-profile", "profiles", "/name" },
        { "put-service", "services", "/service/name" },
        { "delete-service", "services", "/name" },
        { "put-team", "teams", "/team/name" },
        { "delete-team", "teams", "/name" },
        { "give-key", "keys", "/key/id" },
        { "withdraw-key", "keys", "/id" },
        { "put-pool", "pools", "/name" },
        { "delete-pool", "pools", "/name" },
        { "put-instance", "instances", "/name" },
        { "move-instance", "instances", "/instance" },
        { "remove-instance", "instances", "/name" },
        { "put-operator", "operators", "/name" },
        { "delete-operator", "operators", "/name" },
        { "remove-entry", "entries", "/name" },
        { "start-wave", "waves", "/name" },
        { "halt-wave", "waves", "/name" },
        { "resume-wave", "waves", "/name" },
        { "rollback-wave", "waves", "/name" },
        { "drain-started", "instances", "/instance" },
        { "drain-ended", "instances", "/instance" },
    } };

    /// @returns the kind and name of the object that a change concerns, or empty strings.
    std::pair<std::string, std::string> subjectOf(const json& change)
    {
        auto kind = change.is_object() ? change.value("kind", json()) : json();
        auto it = std::find_if(subjectFields.begin(), subjectFields.end(), [&](const SubjectField& field) { return kind == field.changeKind; });
        if (it == subjectFields.end())
            return {};
        auto name = change.value(json::json_pointer(it->pointer), json());
        return { it->kind, name.is_string() ? name.get<std::string>() : std::string() };
    }

    json findChanges(const ControlState& state, std::string_view kind, const std::string& name)
    {
        auto changes = json::array();
        for (const auto& it : state.history()) {
            if (subjectOf(it.change) == std::pair(std::string(kind), name))
                changes.push_back(withoutSecrets(toJson(it)));
        }
        return changes;
    }

    json explainInstance(const ControlState& state, const Instance& instance)
    {
        auto pool = state.pools().find(instance.pool);
        return { { "revision", state.revision() }, { "instance", instanceToJson(instance) },
            { "service", pool == state.pools().end() ? std::string() : pool->second.service },
            { "status", toJson(state.fleet().statusOf(instance.name)) }, { "actions", findActions(state, instance.name) },
            { "changes", findChanges(state, "instances", instance.name) } };
    }

    json explainTeam(const ControlState& state, const Team& team)
    {
        json value { { "revision", state.revision() }, { "team", toJson(team) }, { "parts", json::array() }, { "keys", json::array() } };
        int64_t held = 0;
        for (const auto& it : state.parts()) {
            if (it.team != team.name)
                continue;
            held += it.amount;
            value["parts"].push_back(limitPartToJson(it));
        }
        value["limit_not_held"] = team.upperLimit - held;
        for (const auto& it : state.catalog().keys) {
            if (it.team == team.name)
                value["keys"].push_back({ { "id", it.id }, { "withdrawn", it.withdrawn } });
        }
        value["changes"] = findChanges(state, "teams", team.name);
        return value;
    }

} // namespace

std::optional<json> readItems(const ControlState& state, std::string_view kind)
{
    auto items = findItems(state, kind);
    if (!items)
        return std::nullopt;
    return json { { "revision", state.revision() }, { "items", withoutSecrets(std::move(*items)) } };
}

json describeSubject(const ControlState& state, const json& change)
{
    auto [kind, name] = subjectOf(change);
    auto items = findItems(state, kind);
    if (!items)
        return nullptr;
    for (const auto& it : *items) {
        if (it.value("name", it.value("id", std::string())) == name)
            return withoutSecrets(it);
    }
    return nullptr;
}

std::optional<json> explainSubject(const ControlState& state, std::string_view kind, const std::string& name)
{
    auto instance = state.instances().find(name);
    if (kind == "instance" && instance != state.instances().end())
        return explainInstance(state, instance->second);
    auto team = state.teams().find(name);
    if (kind == "team" && team != state.teams().end())
        return explainTeam(state, team->second);
    return std::nullopt;
}

json withoutSecrets(json value)
{
    if (value.is_object()) {
        value.erase("salt");
        value.erase("hash");
    }
    if (value.is_structured()) {
        for (auto& it : value)
            it = withoutSecrets(std::move(it));
    }
    return value;
}

} // namespace vanillalift
