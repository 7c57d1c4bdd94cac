#pragma once

#include <vanillalift/clock.h>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// JSON-RPC 2.0 over HTTP between the system's own processes.
namespace vanillalift {

enum class RpcErrorCode : uint8_t {
    /// No connection could be made, so the other side has not seen the call.
    NotConnected,
    /// The call may have been carried out, but no whole response arrived before the deadline.
    NoResponse,
    MethodNotFound,
    InvalidParams,
    /// The method refused the call; message and data tell why.
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
    /// 0: any free port, see RpcServer::port().
    int port = 0;
    int threads = 8;
    /// Shared secret that each call has to carry; empty for none.
    std::string token;
    size_t maxRequestBytes = 16U << 20U;
    /// PEM files; with both, the server accepts TLS connections only.
    std::string certificateFile;
    std::string keyFile;
};

/// Serves methods on one address.
class RpcServer {
public:
    explicit RpcServer(RpcServerDesc desc);
    ~RpcServer();
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /// Adds a method. All methods are added before start().
    void add(const std::string& method, RpcHandler handler);

    /// Binds and serves on a thread of its own. @returns false if the address cannot be bound or a file cannot be used.
    [[nodiscard]] bool start();
    /// Stops accepting and waits for calls in progress.
    void stop();
    /// @returns the bound port; valid after start().
    [[nodiscard]] int port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Calls methods of one server over kept connections. Thread-safe: concurrent calls use separate connections.
class RpcClient {
public:
    /// @param address "ip:port".
    /// @param caFile PEM file with the certificates that the server's is checked against; empty for a server without TLS.
    RpcClient(std::string address, std::string token, std::string caFile = {});
    ~RpcClient();
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;

    /// @param deadline moment of BootClock after which the call fails with NoResponse.
    RpcResult call(const std::string& method, const nlohmann::json& params, TimePoint deadline);

    [[nodiscard]] const std::string& address() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillalift
