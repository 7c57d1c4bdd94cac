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

/// What the leader asks of endpoints, of the service that advises placements, and of the platform that owns the instances.
/// Implementations translate to a platform's protocol.
namespace vanillalift::jobs {

/// A task as endpoints know it.
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
    /// On the endpoint's clock, in milliseconds. All that runs there may run until then.
    int64_t leaseUntilMs = 0;
    uint64_t fencingToken = 0;
    /// Empty for a start from the beginning.
    std::string checkpoint;
    /// Empty if the queue is not advised.
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
    /// Share of its full speed, 0 to 100.
    uint32_t percent = 100;
    uint64_t fencingToken = 0;
};

struct StatusRequest {
    uint64_t fencingToken = 0;
    /// Ends up to this number may be forgotten. Sent only where it certainly reaches the life that has listed them: a later
    /// life under the same id counts its ends anew.
    uint64_t acknowledgedThrough = 0;
    /// On the endpoint's clock, in milliseconds.
    std::optional<int64_t> leaseUntilMs;
    /// Longest time for which the endpoint waits for an end before it answers, in milliseconds.
    uint32_t waitMs = 0;
};

enum class EndpointReplyStatus : uint8_t {
    Accepted,
    /// A higher fencing token has been seen.
    Fenced,
    /// The run is not newer than one that has ended or been stopped there.
    Superseded,
    /// The lease that came with the order had ended.
    LeaseEnded,
    NoCapacity,
    TicketInvalid,
    /// The endpoint is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of an instance answers at the address.
    WrongInstance,
    /// The endpoint refused the order as malformed.
    Malformed,
    /// Certainly not carried out: nothing was sent.
    NotSent,
    /// May have been carried out, or may still be.
    Unknown,
    EndpointReplyStatusCount,
};

/// @returns the status as shown in logs, e.g. "no-room".
std::string_view endpointReplyStatusName(EndpointReplyStatus status);

struct RunRequestReply {
    EndpointReplyStatus status = EndpointReplyStatus::Unknown;
    /// The endpoint's clock at the answer, in milliseconds.
    std::optional<int64_t> clockMs;
};

struct RunningRunReport {
    TaskName task;
    uint32_t run = 0;
    std::string checkpoint;
    /// Progress of a task, or for a lasting one 100 once it is at work.
    uint32_t percent = 0;
    /// Tail latency in milliseconds for a task that serves, thousandths of a core in use for others.
    int64_t metricValue = 0;
};

struct EndedRunReport {
    uint64_t number = 0;
    TaskName task;
    uint32_t run = 0;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
};

struct StatusReply {
    EndpointReplyStatus status = EndpointReplyStatus::Unknown;
    std::optional<int64_t> clockMs;
    std::optional<int64_t> bornMs;
    std::vector<RunningRunReport> running;
    std::vector<EndedRunReport> ended;
    /// Further ends are listed once these are acknowledged.
    bool hasMoreEnds = false;
    /// StatusRequest::acknowledgedThrough as it was sent.
    uint64_t requestAcknowledgedThrough = 0;
};

/// Orders to one endpoint. Handlers are called once each, never from within the call that takes them, and not after
/// the link's destruction.
class EndpointLink {
public:
    virtual ~EndpointLink() = default;
    virtual void start(const StartRequest& order, TimePoint deadline, std::function<void(const RunRequestReply&)> handler) = 0;
    virtual void stop(const StopRequest& order, TimePoint deadline, std::function<void(const RunRequestReply&)> handler) = 0;
    virtual void throttle(const ThrottleRequest& order, TimePoint deadline, std::function<void(const RunRequestReply&)> handler) = 0;
    virtual void requestStatus(const StatusRequest& order, TimePoint deadline, std::function<void(StatusReply)> handler) = 0;
};

class EndpointLinks {
public:
    virtual ~EndpointLinks() = default;
    /// @returns nullptr if the endpoint's address is malformed.
    virtual std::unique_ptr<EndpointLink> open(const Endpoint& endpoint) = 0;
    /// Of all links.
    [[nodiscard]] virtual CallStats stats() const = 0;
};

/// An endpoint that may run a step, and the proof of it that a start has to carry.
struct Advice {
    std::string endpoint;
    std::string ticket;
};

struct AdviceReply {
    /// Empty without an answer.
    std::optional<std::vector<Advice>> allowed;
    uint32_t validMs = 0;
};

class AdviceService {
public:
    virtual ~AdviceService() = default;
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
    /// Its present life; empty if there is none.
    std::string endpoint;
};

enum class InstanceReplyStatus : uint8_t {
    Accepted,
    Fenced,
    /// The instance is not up, or is leaving.
    Busy,
    /// The instance is not part of the wave.
    NotInWave,
    /// No such instance, or the pool takes other instances.
    Impossible,
    /// Too many calls from all of the system's instances.
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
    virtual void move(const std::string& instance, const std::string& pool, uint64_t fencingToken, TimePoint deadline, std::function<void(InstanceReplyStatus)> handler) = 0;
    virtual void maintain(const std::string& instance, uint64_t wave, uint64_t fencingToken, TimePoint deadline, std::function<void(InstanceReplyStatus)> handler) = 0;
};

} // namespace vanillalift::jobs
