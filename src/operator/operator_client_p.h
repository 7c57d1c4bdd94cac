#pragma once

#include <vanillalift/rpc.h>

#include <memory>
#include <string>
#include <vector>

namespace vanillalift {

struct OperatorClientDesc {
    /// "ip:port" of the control replicas.
    std::vector<std::string> replicas;
    std::string account;
    std::string secret;
    std::string token;
    /// PEM file with the certificates that the replicas' are checked against; empty without TLS.
    std::string caFile;
};

enum class OperatorErrorCode : uint8_t {
    /// No replica answered as leader before the deadline; a proposed change may have been accepted.
    Unreachable,
    /// The account is unknown, its secret is wrong or its role does not suffice.
    NotPermitted,
    /// The leader refused the call; the message tells why.
    Refused,
    OperatorErrorCodeCount,
};

struct OperatorError {
    OperatorErrorCode code = OperatorErrorCode::Unreachable;
    std::string message;
};

/// Calls operator methods at the leader, whichever replica that is. Calls are repeated until the deadline while no leader
/// answers; that is safe for changes, since they carry an operation id.
class OperatorClient {
public:
    explicit OperatorClient(OperatorClientDesc desc);

    tl::expected<nlohmann::json, OperatorError> call(const std::string& method, const nlohmann::json& params, TimePoint deadline);
    /// Calls one replica, leader or not.
    tl::expected<nlohmann::json, OperatorError> callReplica(size_t replica, const std::string& method, nlohmann::json params, TimePoint deadline);

    [[nodiscard]] size_t replicaCount() const { return m_clients.size(); }

private:
    OperatorClientDesc m_desc;
    std::vector<std::unique_ptr<RpcClient>> m_clients;
    size_t m_current = 0;
};

} // namespace vanillalift
