#pragma once

#include <functional>
#include <memory>
#include <string>

/// JSON-RPC 2.0 encoding and method dispatch by jsonrpccpp. The library uses exception specifications that C++17
/// removed, so its code is compiled as C++14 and this header compiles as C++14 and C++20.
namespace vanillalift {

/// Result of a method: a JSON text, or an error code with a message.
struct JsonRpcResult {
    std::string json;
    /// 0 for success; negative numbers are reserved by the JSON-RPC 2.0 specification.
    int errorCode = 0;
    std::string errorMessage;
};

/// Handles a call, given the method name and the parameters as JSON text.
using JsonRpcMethod = std::function<JsonRpcResult(const std::string& method, const std::string& params)>;

/// Decodes requests, calls the method function and encodes its results. Thread-safe if the method function is.
class JsonRpcDispatcher {
public:
    explicit JsonRpcDispatcher(JsonRpcMethod method);
    ~JsonRpcDispatcher();
    JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
    JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

    /// Registers a method name. Calls of other names get the standard error "method not found" (-32601).
    void addMethod(const std::string& name);

    /// @returns the response to a request, both as JSON text.
    std::string handle(const std::string& request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Sends a request and receives the response, both as JSON text. @returns false if no response arrived.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& response)>;

/// JsonRpcResult::errorCode if the transport received no response.
constexpr int jsonRpcNoResponse = 1;

/// Encodes a call, sends it through the transport, and decodes the response.
JsonRpcResult callJsonRpc(const JsonRpcTransport& transport, const std::string& method, const std::string& params);

} // namespace vanillalift
