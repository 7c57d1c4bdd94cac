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
    /// Holds a place at an endpoint and counts as running.
    Granted,
    /// Final: the refusal says why.
    Refused,
    TicketStateCount,
};

/// A request's position in the scheduler. The fields below the constructor belong to the scheduler, which changes them
/// under its mutex; the owner reads place and refusal once the state says that they are set.
struct Ticket {
    Ticket(std::string_view service, std::string_view team, TimePoint deadline)
        : service(service)
        , team(team)
        , deadline(deadline)
    {
    }

    std::string service;
    /// Empty for a request without a key.
    std::string team;
    TimePoint deadline;
    /// Endpoints that failed this request. The owner changes it only while the ticket is granted or idle.
    std::vector<EndpointHandle> avoid;
    /// From requestKind(), for the ejection of endpoints.
    uint64_t requestKind = 0;

    TicketState state = TicketState::Idle;
    bool isCancelled = false;
    EndpointSlot place;
    NotRun refusal;
    TimePoint queuedAt {};
    TimePoint grantedAt {};
    /// What the grant added to the team's pass, to be given back if the attempt was not started.
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

/// Counts of one service or one team for the metrics.
struct ScheduleStats {
    std::string name;
    int64_t queued = 0;
    /// Requests counted as running, units held after a lost connection included.
    int64_t running = 0;
    uint64_t dispatched = 0;
    RefusalCounts refused;
};

/// A team over all services of the entry. The empty name is the class of requests without a key, which has no limit.
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
    /// Stride scheduling's pass: the queue with the smallest pass is served next.
    double pass = 0;
    /// Whether the queue was passed over because its team was at its limit.
    bool wasSkipped = false;
    /// Number of the queue's last grant in the entry's order of grants.
    uint64_t lastGrant = 0;

    /// Queued requests per unit of share weight, with @p extra requests added.
    [[nodiscard]] double load(size_t extra = 0) const { return static_cast<double>(tickets.size() + extra) / weight; }
};

/// The parts of a service's profile that its queue obeys.
struct QueuePolicy {
    int64_t bound = 0;
    Urgency urgency = Urgency::Normal;
    Duration spillAfter {};
    Duration isolated {};
};

/// The queue of one service, divided by team: stride order, share comparison and completion rate. No function's
/// cost grows with the number of queued requests; all grow with the number of teams.
struct ServiceQueue {
    ScheduleStats stats;
    QueuePolicy policy;
    std::vector<std::unique_ptr<TeamQueue>> teams;
    double virtualTime = 0;

    TeamQueue& queueOf(TeamState& team);
    void pushBack(Ticket& ticket, TeamQueue& queue);
    void pushFront(Ticket& ticket);
    void remove(Ticket& ticket);

    /// @returns the queue to serve next among those that @p isEligible accepts, or nullptr.
    template <typename Predicate>
    TeamQueue* next(Predicate isEligible)
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
    void charge(Ticket& ticket);
    static void refund(Ticket& ticket);

    /// @returns the queue most over its share if @p arriving got one more request; @p arriving wins ties.
    [[nodiscard]] TeamQueue* mostOverShare(TeamQueue& arriving) const;

    void recordCompletion(TimePoint now);
    /// Records how long an answered attempt took.
    void recordServiceTime(Duration time, TimePoint now);
    /// @returns the median time of an answered attempt; 0 while it is not known, or if no attempt was answered in the last
    /// second, so that a service that became faster is tried again.
    [[nodiscard]] Duration serviceTime(TimePoint now) const;
    /// @returns the time until a request that arrives now at the end of @p queue is served; 0 while no rate is known.
    [[nodiscard]] Duration estimatedWait(const TeamQueue& queue) const;
    /// @returns the time until the queue is half empty, or nothing while no rate is known.
    [[nodiscard]] std::optional<Duration> timeToHalf() const;

private:
    /// A few gaps do not make a rate: completions of one burst arrive together.
    static constexpr int64_t gapsForRate = 8;

    [[nodiscard]] double gap() const { return m_gaps < gapsForRate ? 0 : m_meanGap; }
    /// A queue that was skipped at its limit has no claim on what others used meanwhile.
    [[nodiscard]] double passOf(const TeamQueue& queue) const { return queue.wasSkipped ? std::max(queue.pass, virtualTime) : queue.pass; }

    /// Mean time between completions while requests were queued, in nanoseconds.
    double m_meanGap = 0;
    int64_t m_gaps = 0;
    /// Last completion that left requests queued; the epoch if the queue was empty since.
    TimePoint m_lastCompletion {};
    /// Estimate of the median service time in nanoseconds; follows the median, because single slow attempts move a mean.
    double m_serviceTime = 0;
    int64_t m_serviceTimes = 0;
    TimePoint m_lastServiceTime {};
};

} // namespace vanillalift
