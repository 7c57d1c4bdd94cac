#pragma once

#include <vanillalift/catalog.h>
#include <vanillalift/endpoint.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillalift {

struct ServiceQueue;
struct TeamQueue;

enum class TicketState : uint8_t {
    /// Neither queued nor running: before enqueue() and between attempts.
    Idle,
    Queued,
    /// Holds an endpoint slot and counts as running.
    Granted,
    /// Final; Ticket::refusal has the reason.
    Refused,
    TicketStateCount,
};

/// A request in the scheduler. The fields from `state` on belong to the scheduler, which changes them under its mutex. The
/// owner may read `slot` in state Granted and `refusal` in state Refused.
struct Ticket {
    Ticket(std::string_view service, std::string_view team, TimePoint deadline)
        : service(service)
        , team(team)
        , deadline(deadline)
    {
    }

    std::string service;
    /// Empty for a request without an API key.
    std::string team;
    TimePoint deadline;
    /// Endpoints that failed this request, to be avoided by further attempts. The owner changes it only while the ticket is
    /// granted or idle.
    std::vector<EndpointHandle> avoid;
    /// Result of requestKind(); used by the ejection of endpoints.
    uint64_t requestKind = 0;

    TicketState state = TicketState::Idle;
    bool isCancelled = false;
    EndpointSlot slot;
    NotRun refusal;
    TimePoint queuedAt {};
    TimePoint grantedAt {};
    /// Stride (1 / weight) that the grant added to the team's pass; subtracted again if the attempt was not started.
    double charge = 0;
    TeamQueue* queue = nullptr;
    std::list<Ticket*>::iterator position;
    std::condition_variable wake;
};

struct RefusalCounts {
    std::array<uint64_t, static_cast<size_t>(Reason::ReasonCount)> byReason {};

    uint64_t& operator[](Reason reason) { return byReason.at(static_cast<size_t>(reason)); }
    uint64_t operator[](Reason reason) const { return byReason.at(static_cast<size_t>(reason)); }
};

/// Counters of one service or one team for the metrics.
struct ScheduleStats {
    std::string name;
    int64_t queued = 0;
    /// Running requests; for a team also permits that are held after a failed attempt.
    int64_t running = 0;
    uint64_t dispatched = 0;
    RefusalCounts refused;
};

/// A team's state over all services of the entry. The empty name stands for requests without an API key, which have no limit.
struct TeamState {
    ScheduleStats stats;
    std::vector<TeamQueue*> queues;
};

/// The queued requests of one team for one service.
struct TeamQueue {
    ServiceQueue* service = nullptr;
    TeamState* team = nullptr;
    std::list<Ticket*> tickets;
    double weight = 1;
    /// Pass value of stride scheduling: the queue with the smallest pass is served next.
    double pass = 0;
    /// Whether the queue was skipped since its last grant because its team was at its limit.
    bool wasSkipped = false;
    /// Sequence number of the queue's last grant among all grants of the entry.
    uint64_t lastGrantNumber = 0;

    /// @returns the queued requests, plus @p extra, per unit of share weight.
    [[nodiscard]] double queuedPerWeight(size_t extra = 0) const { return static_cast<double>(tickets.size() + extra) / weight; }
};

/// Settings of a service's profile that apply to its queue.
struct QueuePolicy {
    int64_t maxQueued = 0;
    Urgency urgency = Urgency::Normal;
    /// Time in the queue after which a request may be sent to another zone.
    Duration spillAfter {};
    /// Time after the end of the lease in which requests without an API key are still dispatched.
    Duration isolationPeriod {};
};

/// The queue of one service with a sub-queue per team. Selects the next team by stride scheduling and estimates waiting times
/// from the completion rate. Costs are linear in the number of teams and independent of the number of queued requests.
struct ServiceQueue {
    ScheduleStats stats;
    QueuePolicy policy;
    std::vector<std::unique_ptr<TeamQueue>> teams;
    /// Largest pass at which a queue was served.
    double virtualTime = 0;

    TeamQueue& queueOf(TeamState& team);
    void pushBack(Ticket& ticket, TeamQueue& queue);
    void pushFront(Ticket& ticket);
    void remove(Ticket& ticket);

    /// @returns the non-empty queue with the smallest pass that @p isEligible accepts, or nullptr.
    template <typename Predicate>
    TeamQueue* selectNext(Predicate isEligible)
    {
        TeamQueue* best = nullptr;
        for (auto& it : teams) {
            if (it->tickets.empty() || (best && passOf(*it) >= passOf(*best)))
                continue;
            if (isEligible(*it))
                best = it.get();
            else
                it->wasSkipped = true;
        }
        return best;
    }
    /// Adds the stride of a grant to the pass of the ticket's queue.
    void charge(Ticket& ticket);
    /// Reverts charge() for an attempt that was not started.
    static void refund(Ticket& ticket);

    /// @returns the queue with the most requests per unit of weight, counting one more for @p arriving. On a tie with
    /// @p arriving, returns @p arriving.
    [[nodiscard]] TeamQueue* mostOverShare(TeamQueue& arriving) const;

    void recordCompletion(TimePoint now);
    /// @param time duration of an attempt that succeeded.
    void recordServiceTime(Duration time, TimePoint now);
    /// @returns the estimated median duration of a successful attempt. 0 while there are too few samples, or if none was
    /// recorded in the last second, so that a service that has become faster is tried again.
    [[nodiscard]] Duration medianServiceTime(TimePoint now) const;
    /// @returns the estimated waiting time of a request that is appended to @p queue now; 0 while the completion rate is unknown.
    [[nodiscard]] Duration estimatedWait(const TeamQueue& queue) const;
    /// @returns the estimated time until half of maxQueued is queued, or nothing while the completion rate is unknown.
    [[nodiscard]] std::optional<Duration> timeUntilHalfFull() const;

private:
    /// Fewer samples give no reliable rate, since completions of one burst arrive together.
    static constexpr int64_t minSampleCount = 8;

    [[nodiscard]] double completionInterval() const { return m_completionIntervalCount < minSampleCount ? 0 : m_meanCompletionInterval; }
    /// A queue that was skipped at its team's limit gets no credit for what other teams used meanwhile.
    [[nodiscard]] double passOf(const TeamQueue& queue) const { return queue.wasSkipped ? std::max(queue.pass, virtualTime) : queue.pass; }

    /// Exponential moving average of the time between completions while requests were queued, in nanoseconds.
    double m_meanCompletionInterval = 0;
    int64_t m_completionIntervalCount = 0;
    /// Last completion at which requests were queued; the epoch if the queue has been empty since.
    TimePoint m_lastCompletion {};
    /// In nanoseconds. The median is used because single slow attempts would distort a mean.
    double m_medianServiceTime = 0;
    int64_t m_serviceTimeCount = 0;
    TimePoint m_lastServiceTime {};
};

} // namespace vanillalift
