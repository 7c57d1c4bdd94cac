#pragma once

#include <vanillalift/call_stats.h>
#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Interfaces to endpoints, to the placement advice service, and to the platform that owns the instances. Implementations
/// translate them to a platform's protocol.
namespace vanillalift::jobs {

/// Identifies a task towards endpoints.
struct TaskName {
    std::string job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a defaulted comparison for a pointer
    auto operator<=>(const TaskName&) const = default;
};

struct StartRequest {
    TaskName task;
    uint32_t run = 0;
    std::string_view payload;
    /// Lease for all runs of the endpoint: they may run until this time on the endpoint's clock, in milliseconds.
    int64_t leaseUntilMs = 0;
    uint64_t fencingToken = 0;
    /// Checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    /// Ticket from the advice service; empty if the queue uses no placement advice.
    std::string ticket;
};

struct StopRequest {
    TaskName task;
    uint32_t run = 0;
    uint64_t fencingToken = 0;
};

struct ThrottleRequest {
    TaskName task;
    uint32_t run = 0;
    /// Target speed in percent of full speed, 0 to 100.
    uint32_t percent = 100;
    uint64_t fencingToken = 0;
};

/// A long-poll request for the endpoint's runs, which also renews its lease.
struct StatusRequest {
    uint64_t fencingToken = 0;
    /// The endpoint may forget run ends up to this number; 0 for none. Sent only where it certainly reaches the incarnation that
    /// reported them: a later incarnation with the same id numbers its ends from the beginning.
    uint64_t acknowledgedThrough = 0;
    /// End of the renewed lease on the endpoint's clock, in milliseconds.
    std::optional<int64_t> leaseUntilMs;
    /// Longest time for which the endpoint waits for a run to end before it answers, in milliseconds.
    uint32_t waitMs = 0;
};

enum class EndpointReplyStatus : uint8_t {
    Accepted,
    /// A higher fencing token has been seen.
    Fenced,
    /// A run of the task with the same or a higher number has already ended or been stopped there.
    Superseded,
    /// The lease in the request had already ended.
    LeaseEnded,
    NoCapacity,
    TicketInvalid,
    /// The endpoint is unhealthy and did not carry out the request.
    Unhealthy,
    /// Another endpoint incarnation answers at the address.
    WrongInstance,
    /// The endpoint rejected the request as malformed.
    Malformed,
    /// Not carried out: nothing was sent.
    NotSent,
    /// May have been carried out, or may still be.
    Unknown,
    EndpointReplyStatusCount,
};

/// @returns the status as it appears in logs, e.g. "no-room".
std::string_view endpointReplyStatusName(EndpointReplyStatus status);

struct RunRequestReply {
    EndpointReplyStatus status = EndpointReplyStatus::Unknown;
    /// The endpoint's clock when it answered, in milliseconds.
    std::optional<int64_t> clockMs;
};

/// A run in progress, in a status reply.
struct RunningRunReport {
    TaskName task;
    uint32_t run = 0;
    std::string checkpoint;
    /// Progress of a task; for a long-running one, 100 once it is available.
    uint32_t percent = 0;
    /// Tail latency in milliseconds for a latency-sensitive task, CPU usage in thousandths of a core for others.
    int64_t metricValue = 0;
};

/// An ended run in a status reply, repeated until it is acknowledged.
struct EndedRunReport {
    /// Sequence number of the end within the endpoint's incarnation.
    uint64_t number = 0;
    TaskName task;
    uint32_t run = 0;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
};

struct StatusReply {
    EndpointReplyStatus status = EndpointReplyStatus::Unknown;
    std::optional<int64_t> clockMs;
    std::optional<int64_t> startedAtMs;
    std::vector<RunningRunReport> running;
    std::vector<EndedRunReport> ended;
    /// More ends are reported once these are acknowledged.
    bool hasMoreEnds = false;
    /// StatusRequest::acknowledgedThrough of the request, as it was sent.
    uint64_t requestAcknowledgedThrough = 0;
};

/// Sends requests to one endpoint. Each handler is called once, never from within the call that takes it, and not after the
/// link's destruction.
class EndpointLink {
public:
    virtual ~EndpointLink() = default;
    virtual void start(const StartRequest& request, TimePoint deadline, std::function<void(const RunRequestReply&)> handler) = 0;
    virtual void stop(const StopRequest& request, TimePoint deadline, std::function<void(const RunRequestReply&)> handler) = 0;
    virtual void throttle(const ThrottleRequest& request, TimePoint deadline, std::function<void(const RunRequestReply&)> handler) = 0;
    virtual void requestStatus(const StatusRequest& request, TimePoint deadline, std::function<void(StatusReply)> handler) = 0;
};

/// Opens links to endpoints.
class EndpointLinks {
public:
    virtual ~EndpointLinks() = default;
    /// @returns the link, never nullptr. If the endpoint's address is malformed, all requests over it fail as NotSent.
    virtual std::unique_ptr<EndpointLink> open(const Endpoint& endpoint) = 0;
    /// @returns statistics over all links.
    [[nodiscard]] virtual CallStats stats() const = 0;
};

/// An endpoint that may run a step, and the ticket that a start request has to carry as proof.
struct Advice {
    std::string endpoint;
    std::string ticket;
};

struct AdviceReply {
    /// Nothing if the service did not answer.
    std::optional<std::vector<Advice>> allowed;
    /// Validity of the tickets from the arrival of the reply, in milliseconds.
    uint32_t validMs = 0;
};

/// The outside service that decides which endpoints may run the tasks of advised queues.
class AdviceService {
public:
    virtual ~AdviceService() = default;
    /// @param endpoints ids of the candidate endpoints.
    virtual void requestAdvice(const TaskName& step, std::vector<std::string> endpoints, TimePoint deadline, std::function<void(AdviceReply)> handler) = 0;
};

enum class InstanceState : uint8_t { Up,
    Moving,
    Maintenance,
    Down,
    InstanceStateCount };

struct Instance {
    std::string name;
    std::string pool;
    InstanceState state = InstanceState::Down;
    std::string availabilityZone;
    Resources capacity;
    std::vector<std::string> labels;
    /// Id of the endpoint that runs on it; empty if there is none.
    std::string endpoint;
};

enum class InstanceReplyStatus : uint8_t {
    Accepted,
    Fenced,
    /// The instance is not up, or is being taken down.
    Busy,
    /// The instance is not part of the wave.
    NotInWave,
    /// The instance does not exist, or the pool accepts only other instances.
    Impossible,
    /// The control instances together sent too many calls.
    RateLimited,
    NotSent,
    Unknown,
    InstanceReplyStatusCount,
};

std::string_view instanceReplyStatusName(InstanceReplyStatus status);

/// The platform that owns the instances.
class InstanceService {
public:
    virtual ~InstanceService() = default;
    /// Reads one page of the instances.
    /// @param pageToken empty for the first page.
    virtual void list(const std::string& pageToken, TimePoint deadline, std::function<void(std::optional<std::vector<Instance>>, std::string nextPage)> handler) = 0;
    /// @param sendDeadline when the caller's leadership may end: the request must not leave this process later.
    virtual void move(const std::string& instance, const std::string& pool, uint64_t fencingToken, TimePoint sendDeadline, TimePoint deadline, std::function<void(InstanceReplyStatus)> handler) = 0;
    virtual void maintain(const std::string& instance, uint64_t wave, uint64_t fencingToken, TimePoint sendDeadline, TimePoint deadline, std::function<void(InstanceReplyStatus)> handler) = 0;
};

} // namespace vanillalift::jobs
