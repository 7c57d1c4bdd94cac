#pragma once

#include <vanillalift/rpc.h>

#include <memory>
#include <string>
#include <vector>

namespace vanillalift {

struct OperatorClientDesc {
    /// "ip:port" of the control replicas.
    std::vector<std::string> replicas;
    /// Name and secret of the operator's account.
    std::string account;
    std::string secret;
    /// Bearer token that the replicas' RPC servers expect; empty for none.
    std::string token;
    /// PEM file with the CA certificates that verify the replicas' certificates; empty: no TLS.
    std::string caFile;
};

enum class OperatorErrorCode : uint8_t {
    /// No replica responded as leader before the deadline; a proposed change may have been accepted.
    Unreachable,
    /// The account does not exist, its secret is wrong or its role lacks the permission.
    NotPermitted,
    /// The leader refused the call; the message has the reason.
    Refused,
    OperatorErrorCodeCount,
};

struct OperatorError {
    OperatorErrorCode code = OperatorErrorCode::Unreachable;
    std::string message;
};

/// Calls the RPC methods for operators on the leader of the control replicas. Until the deadline, a call that no leader responds
/// to is retried on the next replica; changes may be retried safely, since the operation ID makes them idempotent.
class OperatorClient {
public:
    explicit OperatorClient(OperatorClientDesc desc);

    tl::expected<nlohmann::json, OperatorError> call(const std::string& method, const nlohmann::json& params, TimePoint deadline);
    /// Calls one replica, whether it leads or not.
    tl::expected<nlohmann::json, OperatorError> callReplica(size_t replica, const std::string& method, nlohmann::json params, TimePoint deadline);

    [[nodiscard]] size_t replicaCount() const { return m_clients.size(); }

private:
    OperatorClientDesc m_desc;
    std::vector<std::unique_ptr<RpcClient>> m_clients;
    size_t m_currentReplica = 0;
};

} // namespace vanillalift
