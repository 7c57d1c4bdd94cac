#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/handle.h>
#include <vanillalift/outcome.h>

#include <functional>
#include <string>
#include <vector>

/// A caller's request as an entry processes it.
namespace vanillalift {

/// Names of HTTP headers in messages to and from callers and endpoints.
namespace header {
    constexpr const char* requestId = "Vanillalift-Request-Id";
    constexpr const char* attemptId = "Vanillalift-Attempt-Id";
    constexpr const char* timeoutMs = "Vanillalift-Timeout-Ms";
    constexpr const char* team = "Vanillalift-Team";
    constexpr const char* outcome = "Vanillalift-Outcome";
    constexpr const char* reason = "Vanillalift-Reason";
    constexpr const char* notStarted = "Vanillalift-Not-Started";
    constexpr const char* retryAfterMs = "Vanillalift-Retry-After-Ms";
} // namespace header

/// A parsed request whose API key has been checked.
struct Request {
    std::string service;
    /// Empty for a request without an API key to a service that is open to all.
    std::string team;
    /// Id of the request's API key, which is checked again at dispatch; empty without a key.
    std::string keyId;
    std::string id;
    /// Whether the caller supplied the id. Only then can a resend be recognised.
    bool hasCallerId = false;
    std::string method;
    /// Path and query as sent to the endpoint, starting with '/'.
    std::string target;
    std::vector<Header> headers;
    std::string body;
    TimePoint deadline;
};

/// Connection of the caller that waits for a request.
class CallerConnection {
public:
    virtual ~CallerConnection() = default;
    /// @returns whether the caller has closed its connection.
    [[nodiscard]] virtual bool isClosed() const = 0;
    /// Sets a callback that is called at most once, from any thread, after the caller has closed its connection or its sending
    /// side. A later call replaces the callback. It is not called after RequestHandler::handle() has returned.
    /// @remarks onClose() itself never calls the callback, so the callback may take a lock that the caller of onClose() holds.
    virtual void onClose(std::function<void()> callback) const = 0;
};

/// Processes requests until their outcome.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Blocks until the outcome is known, at the latest shortly after the request's deadline.
    virtual Outcome handle(const Request& request, const CallerConnection& caller) = 0;
};

} // namespace vanillalift
