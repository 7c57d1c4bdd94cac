#include <vanillalift/control_state.h>

namespace vanillalift {

using nlohmann::json;

namespace {

    struct OutcomeToJson {
        json operator()(const ChangeAccepted& accepted) const { return { { "accepted", true }, { "revision", accepted.revision } }; }
        json operator()(const ChangeRejected& rejected) const
        {
            json value { { "accepted", false }, { "fault", changeErrorCodeName(rejected.code) }, { "detail", rejected.detail }, { "revision", rejected.currentRevision } };
            if (rejected.conflictingChange)
                value["lost_to"] = toJson(*rejected.conflictingChange);
            return value;
        }
    };

    ChangeRecord recordFromJson(const json& value)
    {
        return { value.at("revision"), value.at("time_ms"), value.at("author"), value.at("operation"), value.at("change") };
    }

    ChangeErrorCode errorCodeFromName(std::string_view name)
    {
        for (size_t n = 0; n < static_cast<size_t>(ChangeErrorCode::ChangeErrorCodeCount); ++n) {
            if (changeErrorCodeName(static_cast<ChangeErrorCode>(n)) == name)
                return static_cast<ChangeErrorCode>(n);
        }
        return ChangeErrorCode::Malformed;
    }

    ChangeOutcome outcomeFromJson(const json& value)
    {
        if (value.at("accepted").get<bool>())
            return ChangeAccepted { value.at("revision") };
        ChangeRejected rejected { errorCodeFromName(value.at("fault").get<std::string>()), value.at("detail"), std::nullopt, value.at("revision") };
        if (value.contains("lost_to"))
            rejected.conflictingChange = recordFromJson(value.at("lost_to"));
        return rejected;
    }

    json partToJson(const LimitPart& part)
    {
        return { { "team", part.team }, { "entry", part.entry }, { "incarnation", part.incarnation }, { "amount", part.amount }, { "target", part.target } };
    }

    LimitPart partFromJson(const json& value)
    {
        return { value.at("team"), value.at("entry"), value.at("incarnation"), value.at("amount"), value.at("target") };
    }

    /// @returns the values of the table as an array of the changes that create them.
    template <typename Table, typename Wrap>
    json tableToJson(const Table& table, Wrap wrap)
    {
        auto array = json::array();
        for (const auto& [name, value] : table)
            array.push_back(toJson(Change { wrap(value) }));
        return array;
    }

    /// Reads a table that tableToJson() wrote.
    template <typename T, typename Table, typename Member>
    void restoreTable(const json& array, Table& table, Member member)
    {
        for (const auto& it : array) {
            auto change = changeFromJson(it, "snapshot");
            if (!change)
                throw std::invalid_argument(describe(change.error()));
            const auto& value = std::get<T>(*change).*member;
            if constexpr (std::is_same_v<T, GiveKey>)
                table[value.id] = value;
            else
                table[value.name] = value;
        }
    }

    struct CommandToJson {
        json operator()(const ChangeCommand& command) const
        {
            return { { "author", command.author }, { "operation", command.operation }, { "base_revision", command.baseRevision }, { "time_ms", command.timeMs }, { "change", command.change } };
        }
        json operator()(const LimitPartsCommand& command) const
        {
            json value { { "parts", json::array() } };
            for (const auto& it : command.parts)
                value["parts"].push_back(partToJson(it));
            return value;
        }
        json operator()(const RegisterEntryCommand& command) const { return { { "register", command.name }, { "zone", command.zone } }; }
        json operator()(const FleetCommand& command) const { return toJson(command); }
    };

    ControlCommand commandFromJson(const json& value)
    {
        if (value.contains("register"))
            return RegisterEntryCommand { value.at("register"), value.at("zone") };
        if (value.contains("fleet"))
            return fleetCommandFromJson(value);
        if (!value.contains("parts"))
            return ChangeCommand { value.at("author"), value.at("operation"), value.at("base_revision"), value.at("time_ms"), value.at("change") };
        LimitPartsCommand command;
        for (const auto& it : value.at("parts"))
            command.parts.push_back(partFromJson(it));
        return command;
    }

} // namespace

json toJson(const ChangeOutcome& outcome)
{
    return std::visit(OutcomeToJson {}, outcome);
}

json toJson(const ChangeRecord& record)
{
    return { { "revision", record.revision }, { "time_ms", record.timeMs }, { "author", record.author }, { "operation", record.operation }, { "change", record.change } };
}

std::string encodeCommand(const ControlCommand& command)
{
    std::string bytes;
    json::to_cbor(std::visit(CommandToJson {}, command), bytes);
    return bytes;
}

std::optional<ControlCommand> decodeCommand(std::string_view bytes)
{
    auto value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded())
        return std::nullopt;
    try {
        return commandFromJson(value);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

json ControlState::toJson() const
{
    json value { { "revision", m_revision }, { "parts_version", m_partsVersion }, { "past_run_bound_ms", m_pastMaxRunTimeMs }, { "past_run_bound_until_ms", m_pastMaxRunTimeUntilMs } };
    value["profiles"] = tableToJson(m_profiles, [](const Profile& it) { return PutProfile { it }; });
    value["services"] = tableToJson(m_services, [](const Service& it) { return PutService { it }; });
    value["teams"] = tableToJson(m_teams, [](const Team& it) { return PutTeam { it }; });
    value["keys"] = tableToJson(m_keys, [](const Key& it) { return GiveKey { it }; });
    value["pools"] = tableToJson(m_pools, [](const Pool& it) { return PutPool { it }; });
    value["instances"] = tableToJson(m_instances, [](const Instance& it) { return PutInstance { it }; });
    value["operators"] = tableToJson(m_operators, [](const OperatorAccount& it) { return PutOperator { it }; });
    value["parts"] = json::array();
    for (const auto& it : m_parts)
        value["parts"].push_back(partToJson(it));
    value["entries"] = m_entries;
    value["fleet"] = vanillalift::toJson(m_fleet);
    value["history"] = json::array();
    for (const auto& it : m_history)
        value["history"].push_back(vanillalift::toJson(it));
    value["operations"] = json::array();
    for (const auto& it : m_operationOrder) {
        const auto& record = m_operations.find(it)->second;
        value["operations"].push_back({ { "operation", it }, { "time_ms", record.timeMs }, { "outcome", vanillalift::toJson(record.outcome) } });
    }
    return value;
}

tl::expected<ControlState, SettingsErrors> ControlState::fromJson(const json& value)
{
    ControlState state;
    try {
        state.m_revision = value.at("revision");
        state.m_partsVersion = value.at("parts_version");
        state.m_pastMaxRunTimeMs = value.at("past_run_bound_ms");
        state.m_pastMaxRunTimeUntilMs = value.at("past_run_bound_until_ms");
        restoreTable<PutProfile>(value.at("profiles"), state.m_profiles, &PutProfile::profile);
        restoreTable<PutService>(value.at("services"), state.m_services, &PutService::service);
        restoreTable<PutTeam>(value.at("teams"), state.m_teams, &PutTeam::team);
        restoreTable<GiveKey>(value.at("keys"), state.m_keys, &GiveKey::key);
        restoreTable<PutPool>(value.at("pools"), state.m_pools, &PutPool::pool);
        restoreTable<PutInstance>(value.at("instances"), state.m_instances, &PutInstance::instance);
        restoreTable<PutOperator>(value.at("operators"), state.m_operators, &PutOperator::account);
        for (const auto& it : value.at("parts"))
            state.m_parts.push_back(partFromJson(it));
        state.m_entries = value.at("entries").get<std::map<std::string, std::string>>();
        // Snapshots written by versions without waves have no fleet state.
        if (value.contains("fleet"))
            state.m_fleet = fleetStateFromJson(value.at("fleet"));
        for (const auto& it : value.at("history"))
            state.m_history.push_back(recordFromJson(it));
        for (const auto& it : value.at("operations")) {
            state.m_operationOrder.push_back(it.at("operation"));
            state.m_operations[state.m_operationOrder.back()] = { it.at("time_ms"), outcomeFromJson(it.at("outcome")) };
        }
    } catch (const std::exception& error) {
        return tl::unexpected(SettingsErrors { { "snapshot", error.what() } });
    }
    return state;
}

} // namespace vanillalift
