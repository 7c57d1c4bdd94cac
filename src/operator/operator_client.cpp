#include "operator_client_p.h"

#include <thread>

namespace vanillalift {

using nlohmann::json;

namespace {

    using std::chrono::milliseconds;

    /// Timeout of one attempt at one replica; longer than the leader's commit timeout.
    constexpr milliseconds attemptTimeout { 6000 };
    constexpr milliseconds retryInterval { 50 };

    bool hasPrefix(const std::string& text, std::string_view prefix)
    {
        return text.rfind(prefix, 0) == 0;
    }

    bool isRetryable(const RpcError& error)
    {
        bool isLeaderUnavailable = hasPrefix(error.message, "not-leader") || hasPrefix(error.message, "outcome-unknown") || hasPrefix(error.message, "overloaded");
        return error.code == RpcErrorCode::NotConnected || error.code == RpcErrorCode::NoResponse || (error.code == RpcErrorCode::Refused && isLeaderUnavailable);
    }

    OperatorError toOperatorError(const RpcError& error)
    {
        if (error.message == "not-permitted")
            return { OperatorErrorCode::NotPermitted, "the account does not exist, its secret is wrong, or its role lacks the permission" };
        return { isRetryable(error) ? OperatorErrorCode::Unreachable : OperatorErrorCode::Refused, error.message };
    }

} // namespace

OperatorClient::OperatorClient(OperatorClientDesc desc)
    : m_desc(std::move(desc))
{
    for (const auto& it : m_desc.replicas)
        m_clients.push_back(std::make_unique<RpcClient>(it, m_desc.token, m_desc.caFile));
}

tl::expected<json, OperatorError> OperatorClient::callReplica(size_t replica, const std::string& method, json params, TimePoint deadline)
{
    params["account"] = m_desc.account;
    params["secret"] = m_desc.secret;
    auto result = m_clients.at(replica)->call(method, params, deadline);
    if (!result)
        return tl::unexpected(toOperatorError(result.error()));
    return *result;
}

tl::expected<json, OperatorError> OperatorClient::call(const std::string& method, const json& params, TimePoint deadline)
{
    while (true) {
        auto result = callReplica(m_currentReplica, method, params, std::min(deadline, BootClock::now() + attemptTimeout));
        if (result || result.error().code != OperatorErrorCode::Unreachable || BootClock::now() >= deadline)
            return result;
        m_currentReplica = (m_currentReplica + 1) % m_clients.size();
        std::this_thread::sleep_for(retryInterval);
    }
}

} // namespace vanillalift
