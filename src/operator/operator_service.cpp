#include "operator_service_p.h"

#include "state_view_p.h"

#include <openssl/crypto.h>

#include <array>

namespace vanillalift {

using nlohmann::json;

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds commitTimeout { 5000 };
    constexpr milliseconds readTimeout { 2000 };
    constexpr size_t maxHistoryItems = 1000;

    RpcError invalidParams(const json::exception& error)
    {
        return { RpcErrorCode::InvalidParams, error.what() };
    }

    RpcError toRpcError(const ProposeError& error)
    {
        return { RpcErrorCode::Refused, std::string(proposeErrorName(error.code)) + " " + error.leaderHint };
    }

    json pendingToJson(const std::vector<PendingEntry>& entries, TimePoint now)
    {
        auto array = json::array();
        for (const auto& it : entries)
            array.push_back({ { "entry", it.entry.name }, { "remaining_ms", millisecondsUntil(it.until, now) } });
        return array;
    }

} // namespace

OperatorService::OperatorService(ReplicatedLog& log, const ControlMachine& machine, FollowService& follow)
    : m_log(log)
    , m_machine(machine)
    , m_follow(follow)
{
}

void OperatorService::addMethods(RpcServer& server)
{
    add(server, "propose", &OperatorService::propose, OperatorRole::Viewer);
    add(server, "check", &OperatorService::check, OperatorRole::Viewer);
    add(server, "read", &OperatorService::read, OperatorRole::Viewer);
    add(server, "history", &OperatorService::history, OperatorRole::Viewer);
    add(server, "in_force", &OperatorService::inForce, OperatorRole::Viewer);
    add(server, "explain", &OperatorService::explain, OperatorRole::Viewer);
    add(server, "status", &OperatorService::status, std::nullopt);
    add(server, "replace_replica", &OperatorService::replaceReplica, OperatorRole::Admin);
}

void OperatorService::add(RpcServer& server, const char* name, Method method, std::optional<OperatorRole> role)
{
    server.add(name, [this, method, role](const json& params) -> RpcResult {
        try {
            if (auto error = checkPermission(params, role))
                return tl::unexpected(*error);
            return (this->*method)(params);
        } catch (const json::exception& error) {
            return tl::unexpected(invalidParams(error));
        }
    });
}

std::optional<RpcError> OperatorService::checkPermission(const json& params, std::optional<OperatorRole> role)
{
    // A replica without state (after a disk loss) has no accounts. Operators need its storage ID to let it vote.
    bool hasAccounts = m_machine.read([](const ControlState& state) { return !state.operators().empty(); });
    if ((!role && !hasAccounts) || isPermitted(params, role.value_or(OperatorRole::Viewer)))
        return std::nullopt;
    // A replica that lags behind may lack the caller's account; only the leader's refusal is final.
    if (role) {
        if (auto error = confirmLeadership())
            return error;
        if (isPermitted(params, *role))
            return std::nullopt;
    }
    return RpcError { RpcErrorCode::Refused, "not-permitted" };
}

bool OperatorService::isPermitted(const json& params, OperatorRole role) const
{
    auto account = params.at("account").get<std::string>();
    auto secret = params.at("secret").get<std::string>();
    return m_machine.read([&](const ControlState& state) {
        // Without accounts, anyone may create the first one; the state machine accepts no other change.
        if (state.operators().empty())
            return account == "bootstrap";
        auto it = state.operators().find(account);
        if (it == state.operators().end() || it->second.role < role)
            return false;
        auto hash = hashKeySecret(it->second.salt, secret);
        return hash && hash->size() == it->second.hash.size() && CRYPTO_memcmp(hash->data(), it->second.hash.data(), hash->size()) == 0;
    });
}

RpcError OperatorService::notLeaderError() const
{
    return { RpcErrorCode::Refused, "not-leader " + m_log.status().leader };
}

std::optional<RpcError> OperatorService::confirmLeadership()
{
    auto read = m_log.readIndex();
    if (read.wait_for(readTimeout) != std::future_status::ready || !read.get())
        return notLeaderError();
    return std::nullopt;
}

RpcResult OperatorService::propose(const json& params)
{
    ChangeCommand command { params.at("account"), params.at("operation"), params.at("base_revision"), wallClockMs(), params.at("change") };
    auto proposed = m_log.propose(encodeCommand(command));
    // The change may still be committed after a timeout. The caller resends the operation and gets its first outcome.
    if (proposed.wait_for(commitTimeout) != std::future_status::ready)
        return tl::unexpected(RpcError { RpcErrorCode::Refused, "outcome-unknown" });
    auto result = proposed.get();
    if (!result)
        return tl::unexpected(toRpcError(result.error()));
    return withoutSecrets(commandResultToJson(result->result));
}

RpcResult OperatorService::check(const json& params)
{
    if (auto error = confirmLeadership())
        return tl::unexpected(*error);
    auto operation = "check-" + std::to_string(BootClock::now().time_since_epoch().count());
    ChangeCommand command { params.at("account"), operation, params.at("base_revision"), wallClockMs(), params.at("change") };
    auto copy = m_machine.read([](const ControlState& state) { return state; });
    auto before = describeSubject(copy, command.change);
    auto outcome = withoutSecrets(toJson(copy.apply(command)));
    outcome["before"] = before;
    outcome["after"] = describeSubject(copy, command.change);
    return outcome;
}

RpcResult OperatorService::read(const json& params)
{
    if (auto error = confirmLeadership())
        return tl::unexpected(*error);
    auto kind = params.at("kind").get<std::string>();
    auto items = m_machine.read([&](const ControlState& state) { return readItems(state, kind); });
    if (!items)
        return tl::unexpected(RpcError { RpcErrorCode::InvalidParams, "there is no kind \"" + kind + "\"" });
    return *items;
}

RpcResult OperatorService::history(const json& params)
{
    if (auto error = confirmLeadership())
        return tl::unexpected(*error);
    auto after = params.value("after", uint64_t { 0 });
    auto limit = std::min(params.value("limit", maxHistoryItems), maxHistoryItems);
    return m_machine.read([&](const ControlState& state) {
        json value { { "revision", state.revision() }, { "changes", json::array() } };
        for (const auto& it : state.history()) {
            if (it.revision > after && value["changes"].size() < limit)
                value["changes"].push_back(withoutSecrets(toJson(it)));
        }
        return value;
    });
}

RpcResult OperatorService::inForce(const json& params)
{
    auto report = m_follow.inForce(params.at("revision"));
    if (!report)
        return tl::unexpected(notLeaderError());
    auto now = BootClock::now();
    return json { { "in_force", report->isInForce }, { "revision", report->revision }, { "pending", pendingToJson(report->pending, now) }, { "isolated", pendingToJson(report->isolated, now) } };
}

RpcResult OperatorService::explain(const json& params)
{
    if (auto error = confirmLeadership())
        return tl::unexpected(*error);
    auto kind = params.at("kind").get<std::string>();
    auto name = params.at("name").get<std::string>();
    auto facts = m_machine.read([&](const ControlState& state) { return explainSubject(state, kind, name); });
    if (!facts)
        return tl::unexpected(RpcError { RpcErrorCode::InvalidParams, "there is no " + kind + " \"" + name + "\"" });
    return *facts;
}

RpcResult OperatorService::status(const json& /*params*/)
{
    auto status = m_log.status();
    json value { { "name", status.name }, { "storage_id", status.storageId }, { "role", replicaRoleName(status.role) },
        { "leader", status.leader }, { "term", status.term }, { "commit_index", status.commitIndex }, { "applied_index", status.appliedIndex },
        { "snapshot_index", status.snapshotIndex }, { "fault", status.fault }, { "members", json::array() } };
    for (const auto& it : status.members)
        value["members"].push_back({ { "name", it.name }, { "storage_id", it.storageId }, { "voter", it.isVoter } });
    auto follow = m_follow.stats();
    value["entries"] = { { "live", follow.liveEntries }, { "polls", follow.polls } };
    return value;
}

RpcResult OperatorService::replaceReplica(const json& params)
{
    auto replaced = m_log.replaceMember(params.at("name"), params.at("storage_id"));
    if (replaced.wait_for(commitTimeout) != std::future_status::ready)
        return tl::unexpected(RpcError { RpcErrorCode::Refused, "outcome-unknown" });
    auto result = replaced.get();
    if (!result)
        return tl::unexpected(toRpcError(result.error()));
    return json { { "accepted", true }, { "index", result->index } };
}

} // namespace vanillalift
