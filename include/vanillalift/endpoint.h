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

/// Endpoints as an entry sees them: announcements, choice of an endpoint, and attempts over HTTP.
namespace vanillalift {

enum class EndpointState : uint8_t {
    Serving,
    Leaving,
    EndpointStateCount,
};

/// An endpoint's announcement of itself (heartbeat).
struct Announcement {
    std::string service;
    /// "ip:port"
    std::string address;
    std::string zone;
    std::string instance;
    /// Start time of the endpoint process in nanoseconds of its wall clock; larger is newer.
    uint64_t incarnation = 0;
    /// Counts the announcements of one incarnation.
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

/// @param detail receives what is wrong with the announcement.
tl::expected<Announcement, AnnouncementError> announcementFromJson(const nlohmann::json& value, std::string& detail);
nlohmann::json toJson(const Announcement& announcement);

/// How one attempt at an endpoint ended.
struct AttemptAnswered {
    Answered answer;
};
/// No byte was written to the endpoint.
struct AttemptNotSent {
    std::string detail;
};
/// The endpoint proved that it did not start the attempt.
struct AttemptNotStarted {
};
/// The attempt may have run; no whole, matching answer arrived.
struct AttemptFailed {
    Reason reason = Reason::EndpointFailed;
    std::string detail;
};
using AttemptResult = std::variant<AttemptAnswered, AttemptNotSent, AttemptNotStarted, AttemptFailed>;

/// One attempt of a request at an endpoint.
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
    /// Most connections to the endpoint's incarnation, from EndpointSlot; 0 means no bound.
    int64_t maxConnections = 0;
};

/// Sends attempts. Blocks until the answer, a failure or the deadline.
class AttemptClient {
public:
    virtual ~AttemptClient() = default;
    virtual AttemptResult send(const AttemptDesc& desc) = 0;
};

/// A place at an endpoint, held from choice to release.
struct EndpointSlot {
    EndpointHandle endpoint;
    std::string address;
    uint64_t incarnation = 0;
    std::string zone;
    /// This entry's part of the endpoint's connections.
    int64_t maxConnections = 0;
    /// Copied from SlotDesc.
    uint64_t requestKind = 0;
};

/// @returns a value other than 0 that is equal for requests of equal method and path; the query is left out.
uint64_t requestKind(std::string_view method, std::string_view target);

struct SlotDesc {
    std::string_view service;
    /// Whether endpoints of other zones may be chosen. They are also chosen if the own zone has no usable endpoint.
    bool allowOtherZones = false;
    /// Endpoints that already failed this request; chosen only if nothing else is usable.
    std::vector<EndpointHandle> avoid;
    /// From requestKind(). A kind that fails on several endpoints counts against the first of them only; 0 means that
    /// the kind is unknown and each failure counts.
    uint64_t requestKind = 0;
};

/// How an attempt went, for the endpoint's window and ejection.
enum class AttemptVerdict : uint8_t {
    Succeeded,
    /// A whole answer with a 5xx status.
    ServerError,
    /// The endpoint proved the attempt unstarted.
    NotStarted,
    /// No byte was written.
    NotSent,
    /// Cut connection, truncated or crossed answer.
    Broken,
    TimedOut,
    /// The place was given back without an attempt; says nothing about the endpoint.
    Unused,
    AttemptVerdictCount,
};

struct EndpointPoolStats {
    /// Endpoints that announce themselves as serving and have not expired, ejected ones included.
    int64_t serving = 0;
    int64_t ejected = 0;
    /// Sum of the windows of usable endpoints, and the places taken.
    int64_t window = 0;
    int64_t inFlight = 0;
};

/// Choice of endpoints for attempts. Thread-safe; no call blocks on I/O.
class EndpointPool {
public:
    virtual ~EndpointPool() = default;

    virtual std::optional<EndpointSlot> acquire(const SlotDesc& desc, TimePoint now) = 0;
    /// @param hasQueuedRequests whether requests of the service are queued, so that a larger window would be used.
    virtual void release(const EndpointSlot& place, AttemptVerdict verdict, bool hasQueuedRequests, TimePoint now) = 0;
    [[nodiscard]] virtual EndpointPoolStats stats(std::string_view service, TimePoint now) const = 0;
};

/// One endpoint as this entry sees it, for metrics and GET /v1/endpoints.
struct EndpointStats {
    std::string service;
    std::string address;
    std::string zone;
    std::string instance;
    uint64_t incarnation = 0;
    EndpointState state = EndpointState::Serving;
    bool isEjected = false;
    int64_t window = 0;
    /// Upper bound of the window.
    int64_t windowBound = 0;
    int64_t inFlight = 0;
    int64_t ejections = 0;
    /// Released places of this incarnation by verdict.
    std::array<int64_t, static_cast<size_t>(AttemptVerdict::AttemptVerdictCount)> verdicts {};
};
nlohmann::json toJson(const EndpointStats& stats);

/// Told when an endpoint of a service may have gained room without a release: announced, returned from ejection.
/// Called without locks held.
class EndpointPoolListener {
public:
    virtual ~EndpointPoolListener() = default;
    virtual void endpointsChanged(std::string_view service) = 0;
    /// An incarnation has expired or was replaced, so that its idle connections are of no use.
    virtual void endpointRemoved(std::string_view /*address*/, uint64_t /*incarnation*/) { }
};

} // namespace vanillalift
