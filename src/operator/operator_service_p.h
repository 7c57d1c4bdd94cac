#pragma once

#include "control/control_machine_p.h"
#include "follow/follow_service_p.h"

#include <vanillalift/replicated_log.h>
#include <vanillalift/rpc.h>

namespace vanillalift {

/// The JSON-RPC methods for operators. Each call carries the account's name and secret. Only the leader serves changes and reads;
/// the error of another replica names the leader.
///
/// | method | parameters besides "account" and "secret" | result |
/// |---|---|---|
/// | propose | operation, base_revision, change | outcome of the change |
/// | check | base_revision, change | outcome of the change, which is not applied |
/// | read | kind: "catalog", "pools", "instances", "teams", "keys", "operators", "parts", "entries", ... | {"revision", "items"} |
/// | history | after, limit | {"revision", "changes"} |
/// | in_force | revision | {"in_force", "revision", "pending", "isolated"} |
/// | explain | kind: "instance" or "team", name | {"revision", "facts"} |
/// | status | none | role, term, indexes and members of this replica |
/// | replace_replica | name, storage_id | {"accepted"} |
class OperatorService {
public:
    OperatorService(ReplicatedLog& log, const ControlMachine& machine, FollowService& follow);

    void addMethods(RpcServer& server);

private:
    using Method = RpcResult (OperatorService::*)(const nlohmann::json& params);

    /// @param role lowest role that may call the method; nothing: viewers, and everyone on a replica without accounts.
    void add(RpcServer& server, const char* name, Method method, std::optional<OperatorRole> role);
    /// @returns the error, or nothing if the account may call the method.
    std::optional<RpcError> checkPermission(const nlohmann::json& params, std::optional<OperatorRole> role);
    /// @returns whether the account exists, its secret is right and its role is @p role or higher.
    [[nodiscard]] bool isPermitted(const nlohmann::json& params, OperatorRole role) const;
    /// @returns nothing if a quorum confirmed this replica as leader and it has applied all entries committed before the call.
    std::optional<RpcError> confirmLeadership();
    RpcError notLeaderError() const;

    RpcResult propose(const nlohmann::json& params);
    RpcResult check(const nlohmann::json& params);
    RpcResult read(const nlohmann::json& params);
    RpcResult history(const nlohmann::json& params);
    RpcResult inForce(const nlohmann::json& params);
    RpcResult explain(const nlohmann::json& params);
    RpcResult status(const nlohmann::json& params);
    RpcResult replaceReplica(const nlohmann::json& params);

    ReplicatedLog& m_log;
    const ControlMachine& m_machine;
    FollowService& m_follow;
};

} // namespace vanillalift
