#include <vanillalift/rpc.h>

#include "jsonrpc_codec.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>

namespace vanillalift {

namespace {

    RpcErrorCode toRpcErrorCode(int code)
    {
        if (code == -32601)
            return RpcErrorCode::MethodNotFound;
        return code == -32602 ? RpcErrorCode::InvalidParams : RpcErrorCode::Refused;
    }

} // namespace

class RpcClient::Impl {
public:
    Impl(std::string address, std::string token, std::string caFile)
        : m_address(std::move(address))
        , m_token(std::move(token))
        , m_caFile(std::move(caFile))
    {
    }

    RpcResult call(const std::string& method, const nlohmann::json& params, TimePoint deadline)
    {
        RpcErrorCode transportError = RpcErrorCode::NoResponse;
        auto transport = [&](const std::string& request, std::string& response) { return roundTrip(request, response, deadline, transportError); };
        auto result = callJsonRpc(transport, method, params.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        if (result.errorCode == jsonRpcNoResponse)
            return tl::unexpected(RpcError { transportError, result.errorMessage });
        if (result.errorCode != 0)
            return tl::unexpected(RpcError { toRpcErrorCode(result.errorCode), result.errorMessage });
        auto value = nlohmann::json::parse(result.json, nullptr, false);
        if (value.is_discarded())
            return tl::unexpected(RpcError { RpcErrorCode::NoResponse, "the response is not valid JSON" });
        return value;
    }

    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    bool roundTrip(const std::string& request, std::string& response, TimePoint deadline, RpcErrorCode& error)
    {
        auto remainingMs = millisecondsUntil(deadline, BootClock::now());
        if (remainingMs <= 0) {
            error = RpcErrorCode::NotConnected;
            return false;
        }
        auto client = acquireClient();
        client->set_connection_timeout(std::chrono::milliseconds(std::min<int64_t>(remainingMs, 1000)));
        client->set_read_timeout(std::chrono::milliseconds(remainingMs));
        client->set_write_timeout(std::chrono::milliseconds(remainingMs));
        auto result = client->Post("/rpc", request, "application/json");
        if (!result) {
            bool hasNoConnection = result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout;
            error = hasNoConnection ? RpcErrorCode::NotConnected : RpcErrorCode::NoResponse;
            return false;
        }
        if (result->status != 200)
            return false;
        response = result->body;
        releaseClient(std::move(client));
        return true;
    }

    std::unique_ptr<httplib::Client> acquireClient()
    {
        std::lock_guard lock(m_mutex);
        if (!m_idleClients.empty()) {
            auto client = std::move(m_idleClients.back());
            m_idleClients.pop_back();
            return client;
        }
        auto client = std::make_unique<httplib::Client>((m_caFile.empty() ? "http://" : "https://") + m_address);
        if (!m_caFile.empty())
            client->set_ca_cert_path(m_caFile);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        if (!m_token.empty())
            client->set_bearer_token_auth(m_token);
        return client;
    }

    void releaseClient(std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard lock(m_mutex);
        m_idleClients.push_back(std::move(client));
    }

    std::string m_address;
    std::string m_token;
    std::string m_caFile;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idleClients;
};

RpcClient::RpcClient(std::string address, std::string token, std::string caFile)
    : m_impl(std::make_unique<Impl>(std::move(address), std::move(token), std::move(caFile)))
{
}

RpcClient::~RpcClient() = default;

RpcResult RpcClient::call(const std::string& method, const nlohmann::json& params, TimePoint deadline)
{
    return m_impl->call(method, params, deadline);
}

const std::string& RpcClient::address() const { return m_impl->address(); }

} // namespace vanillalift
