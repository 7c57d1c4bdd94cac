#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/handle.h>
#include <vanillalift/outcome.h>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// An entry's view of endpoints: announcements, endpoint selection, and attempts over HTTP.
namespace vanillalift {

enum class EndpointState : uint8_t {
    Serving,
    Leaving,
    EndpointStateCount,
};

/// Heartbeat by which an endpoint registers itself with an entry and reports its load.
struct Announcement {
    std::string service;
    /// "ip:port"
    std::string address;
    std::string zone;
    std::string instance;
    /// Start time of the endpoint process: wall clock time in ns. A larger value is newer.
    uint64_t incarnation = 0;
    /// Number of the announcement, increasing within one incarnation.
    uint64_t sequence = 0;
    EndpointState state = EndpointState::Serving;
    int64_t slots = 1;
    int64_t connections = 1;
    int64_t running = 0;
    int64_t expiresMs = 3000;
};

enum class AnnouncementError : uint8_t {
    Malformed,
    TableFull,
    AnnouncementErrorCount,
};

/// @param detail receives a description of the error.
tl::expected<Announcement, AnnouncementError> announcementFromJson(const nlohmann::json& value, std::string& detail);
nlohmann::json toJson(const Announcement& announcement);

/// The endpoint sent a complete, valid response.
struct AttemptAnswered {
    Answered answer;
};
/// No byte of the request was written to the endpoint.
struct AttemptNotSent {
    std::string detail;
};
/// The endpoint confirmed that it did not start to execute the attempt.
struct AttemptNotStarted {
};
/// The attempt may have been executed, but no complete response with the attempt's id was received.
struct AttemptFailed {
    Reason reason = Reason::EndpointFailed;
    std::string detail;
};
/// Result of one attempt at an endpoint.
using AttemptResult = std::variant<AttemptAnswered, AttemptNotSent, AttemptNotStarted, AttemptFailed>;

/// One attempt to execute a request at an endpoint.
struct AttemptDesc {
    std::string_view address;
    uint64_t incarnation = 0;
    std::string_view attemptId;
    std::string_view requestId;
    std::string_view team;
    std::string_view method;
    std::string_view target;
    const std::vector<Header>* headers = nullptr;
    std::string_view body;
    TimePoint deadline;
    /// Maximum number of open connections to the incarnation, from EndpointSlot. 0 means no limit.
    int64_t maxConnections = 0;
};

/// Sends attempts to endpoints.
class AttemptClient {
public:
    virtual ~AttemptClient() = default;
    /// Blocks until the response is complete, the attempt fails or the deadline passes.
    virtual AttemptResult send(const AttemptDesc& desc) = 0;
};

/// One unit of an endpoint's concurrency window, held from EndpointPool::acquire() to EndpointPool::release().
struct EndpointSlot {
    EndpointHandle endpoint;
    std::string address;
    uint64_t incarnation = 0;
    std::string zone;
    /// This entry's share of the endpoint's connections.
    int64_t maxConnections = 0;
    /// Copied from SlotDesc.
    uint64_t requestKind = 0;
};

/// @returns a hash of the method and the path without the query. Never 0.
uint64_t requestKind(std::string_view method, std::string_view target);

struct SlotDesc {
    std::string_view service;
    /// Whether endpoints in other zones may be selected. They are also selected if the entry's zone has no usable endpoint.
    bool allowOtherZones = false;
    /// Endpoints on which this request has already failed. Selected only if no other endpoint is usable.
    std::vector<EndpointHandle> avoid;
    /// From requestKind(). If a kind fails on several endpoints, only the failures on the first one count towards
    /// ejection. 0 means that the kind is unknown and each failure counts.
    uint64_t requestKind = 0;
};

/// Classification of a finished attempt, from which the endpoint's window and ejection follow.
enum class AttemptVerdict : uint8_t {
    Succeeded,
    /// A complete response with a 5xx status.
    ServerError,
    /// See AttemptNotStarted.
    NotStarted,
    /// See AttemptNotSent.
    NotSent,
    /// The connection was lost, or the response was truncated or belongs to another attempt.
    Broken,
    TimedOut,
    /// The slot was released without an attempt. Does not affect the endpoint's health.
    Unused,
    AttemptVerdictCount,
};

struct EndpointPoolStats {
    /// Endpoints whose last announcement is in state Serving and has not expired, including ejected ones.
    int64_t serving = 0;
    int64_t ejected = 0;
    /// Sum of the windows of usable endpoints.
    int64_t window = 0;
    /// Slots held at all endpoints of the service.
    int64_t inFlight = 0;
};

/// Selects endpoints for attempts. Thread-safe; no call blocks on I/O.
class EndpointPool {
public:
    virtual ~EndpointPool() = default;

    /// @returns a slot at the least loaded endpoint, or nothing if no eligible endpoint has a free slot.
    virtual std::optional<EndpointSlot> acquire(const SlotDesc& desc, TimePoint now) = 0;
    /// @param hasQueuedRequests whether requests of the service are queued. The window grows only if they are.
    virtual void release(const EndpointSlot& slot, AttemptVerdict verdict, bool hasQueuedRequests, TimePoint now) = 0;
    [[nodiscard]] virtual EndpointPoolStats stats(std::string_view service, TimePoint now) const = 0;
};

/// State of one endpoint at this entry, for metrics and GET /v1/endpoints.
struct EndpointStats {
    std::string service;
    std::string address;
    std::string zone;
    std::string instance;
    uint64_t incarnation = 0;
    EndpointState state = EndpointState::Serving;
    bool isEjected = false;
    int64_t window = 0;
    /// Maximum of the window.
    int64_t windowBound = 0;
    int64_t inFlight = 0;
    int64_t ejections = 0;
    /// Number of released slots of this incarnation by verdict.
    std::array<int64_t, static_cast<size_t>(AttemptVerdict::AttemptVerdictCount)> verdicts {};
};
nlohmann::json toJson(const EndpointStats& stats);

/// Receives changes of the pool's endpoints. Called without locks held.
class EndpointPoolListener {
public:
    virtual ~EndpointPoolListener() = default;
    /// Endpoints of the service may have free slots although none was released: one was announced, its ejection
    /// has ended or the set of draining instances has changed.
    virtual void endpointsChanged(std::string_view service) = 0;
    /// The incarnation has expired or was replaced. Its idle connections can be closed.
    virtual void endpointRemoved(std::string_view /*address*/, uint64_t /*incarnation*/) { }
};

} // namespace vanillalift
