#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/handle.h>
#include <vanillalift/outcome.h>

#include <functional>
#include <string>
#include <vector>

/// One caller's request inside an entry.
namespace vanillalift {

/// Names of the HTTP headers of the protocols towards callers and endpoints.
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

/// A request after parsing and the key check.
struct Request {
    std::string service;
    /// Empty for a request without a key to a service that is open to all.
    std::string team;
    /// Key that the request came with, checked again when it is dispatched; empty without a key.
    std::string keyId;
    std::string id;
    /// Whether the caller supplied the id, so that a resend can be recognised.
    bool hasCallerId = false;
    std::string method;
    /// Path and query as sent to the endpoint, starting with '/'.
    std::string target;
    std::vector<Header> headers;
    std::string body;
    TimePoint deadline;
};

/// The caller's side of a waiting request.
class CallerConnection {
public:
    virtual ~CallerConnection() = default;
    /// @returns whether the caller has closed its connection.
    [[nodiscard]] virtual bool isClosed() const = 0;
    /// Calls @p callback at most once, from any thread, after the caller has closed its connection or its sending
    /// side. A later call replaces the callback. It is not called after RequestHandler::handle() has returned.
    /// @remarks Never called from within onClose(), so the callback may take a lock that is held here.
    virtual void onClose(std::function<void()> callback) const = 0;
};

/// Runs requests to their outcome.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Blocks until the outcome is known, at the latest shortly after the request's deadline.
    virtual Outcome handle(const Request& request, const CallerConnection& caller) = 0;
};

} // namespace vanillalift
