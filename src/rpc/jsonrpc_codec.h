#pragma once

#include <functional>
#include <memory>
#include <string>

/// JSON-RPC 2.0 encoding and method dispatch by jsonrpccpp, behind a header that compiles as C++14 and C++20.
namespace vanillalift {

/// Result of a method: a JSON text, or an error code with a message.
struct JsonRpcResult {
    std::string json;
    /// 0 for success; negative numbers are reserved by the JSON-RPC 2.0 specification.
    int errorCode = 0;
    std::string errorMessage;
};

/// Called with a method name and its parameters as JSON text.
using JsonRpcMethod = std::function<JsonRpcResult(const std::string& method, const std::string& params)>;

/// Decodes requests, calls the method function and encodes responses. Thread-safe if the method function is.
class JsonRpcDispatcher {
public:
    explicit JsonRpcDispatcher(JsonRpcMethod method);
    ~JsonRpcDispatcher();
    JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
    JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

    /// Makes a method name known; unknown names are answered with the standard error.
    void addMethod(const std::string& name);

    /// @returns the response text for a request text.
    std::string handle(const std::string& request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Sends one request text and returns the response text. @returns false if no response arrived.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& response)>;

/// Error code of JsonRpcResult if the transport brought no response.
constexpr int jsonRpcNoResponse = 1;

/// Encodes a call, sends it through the transport, and decodes the response.
JsonRpcResult callJsonRpc(const JsonRpcTransport& transport, const std::string& method, const std::string& params);

} // namespace vanillalift
