#pragma once

#include <vanillalift/clock.h>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// JSON-RPC 2.0 over HTTP or HTTPS between vanillalift's processes.
namespace vanillalift {

enum class RpcErrorCode : uint8_t {
    /// No connection was established, so the server has not received the call.
    NotConnected,
    /// The call may have been executed, but no complete response arrived before the deadline.
    NoResponse,
    MethodNotFound,
    InvalidParams,
    /// The method refused the call; RpcError::message has the reason.
    Refused,
    RpcErrorCodeCount,
};

struct RpcError {
    RpcErrorCode code = RpcErrorCode::NoResponse;
    std::string message;
};

using RpcResult = tl::expected<nlohmann::json, RpcError>;
using RpcHandler = std::function<RpcResult(const nlohmann::json& params)>;

struct RpcServerDesc {
    std::string address;
    /// 0: a free port chosen by the system, see RpcServer::port().
    int port = 0;
    /// Requests handled concurrently.
    int threads = 8;
    /// Bearer token that each call must carry; empty: none is required.
    std::string token;
    size_t maxRequestBytes = 16U << 20U;
    /// PEM files; if given, the server accepts TLS connections only.
    std::string certificateFile;
    std::string keyFile;
};

/// Serves RPC methods on one address.
class RpcServer {
public:
    explicit RpcServer(RpcServerDesc desc);
    ~RpcServer();
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /// Registers a method; to be called before start().
    void add(const std::string& method, RpcHandler handler);

    /// Binds the address and starts serving on background threads.
    /// @returns false if the address cannot be bound, or the certificate or key cannot be used.
    [[nodiscard]] bool start();
    /// Stops accepting connections and waits for calls in progress.
    void stop();
    /// @returns the bound port; valid after start().
    [[nodiscard]] int port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Calls methods of one server over keep-alive connections. Thread-safe: concurrent calls use separate connections.
class RpcClient {
public:
    /// @param address "ip:port".
    /// @param caFile PEM file with the CA certificates that verify the server's certificate; empty for a server without TLS.
    RpcClient(std::string address, std::string token, std::string caFile = {});
    ~RpcClient();
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;

    /// @param deadline time of BootClock after which the call fails: NotConnected if it was not sent, otherwise NoResponse.
    RpcResult call(const std::string& method, const nlohmann::json& params, TimePoint deadline);

    [[nodiscard]] const std::string& address() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillalift
