#pragma once

#include "service_queue_p.h"

#include <vanillalift/authority.h>

#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <stop_token>

namespace vanillalift {

/// What to do with a ticket when its attempt has ended.
enum class AfterAttempt : uint8_t {
    Finish,
    /// The ticket returns to the head of its queue.
    Requeue,
    AfterAttemptCount,
};

/// Admits requests and grants them endpoint slots in weighted fair order of the teams. Thread-safe. The current time is
/// passed in; only wait(), pause() and runExpiry() block. Calls the endpoint pool and the authority with its mutex held.
class Scheduler final : public TeamUsageSource {
public:
    /// @param generator source of the jitter of retryAt().
    Scheduler(const Authority& authority, EndpointPool& endpoints, std::mt19937_64 generator);

    /// Queues the ticket or refuses it at once. May already have granted it on return.
    /// @param weight share weight of the ticket's team in the service.
    void enqueue(Ticket& ticket, const Profile& profile, double weight, TimePoint now);
    /// Blocks until a queued ticket is granted or refused, at the latest at its deadline.
    TicketState wait(Ticket& ticket, const Clock& clock);
    /// Blocks until @p until, the ticket's deadline or its cancellation, whichever is first. The ticket must be idle.
    void pause(Ticket& ticket, TimePoint until, const Clock& clock);
    /// Returns an idle ticket to the head of its queue.
    void requeue(Ticket& ticket, TimePoint now);
    /// Refuses the ticket if it is queued. A granted or idle ticket is refused when it returns to the queue.
    void cancel(Ticket& ticket, TimePoint now);

    /// Checks a granted ticket again immediately before its attempt. Refuses it and releases its endpoint slot if the lease
    /// or the deadline has passed, or if the deadline is nearer than the median service time.
    /// @returns whether the attempt may start.
    bool confirmGrant(Ticket& ticket, TimePoint now);
    /// Ends the attempt of a granted ticket: releases the endpoint slot and one permit of the team's concurrency limit. If the
    /// endpoint may still be running the attempt, the permit is held until deadline + config::endpointStopMargin.
    void endAttempt(Ticket& ticket, AttemptVerdict verdict, AfterAttempt after, TimePoint now);

    /// Dispatches queued requests of a service whose endpoints have gained free capacity.
    void endpointsChanged(std::string_view service, TimePoint now);
    /// Applies new limit parts and lease times: dispatches what they permit, refuses queued requests without a valid lease.
    void authorityChanged(TimePoint now);
    /// Releases held permits whose hold time is over.
    void releaseExpired(TimePoint now);
    /// Thread function: releases held permits when they are due and refuses queued requests with a key when the lease ends.
    void runExpiry(const std::stop_token& stop, const Clock& clock);

    /// @returns the time at which the service's queue is expected to be half full, with jitter.
    TimePoint retryAt(std::string_view service, TimePoint now);

    [[nodiscard]] std::vector<TeamUsage> teamUsage() const override;
    [[nodiscard]] std::vector<ScheduleStats> serviceStats() const;
    [[nodiscard]] std::vector<ScheduleStats> teamStats() const;

private:
    /// A permit of a team's concurrency limit that stays in use while an endpoint may still be running a failed attempt.
    struct HeldPermit {
        TimePoint until;
        TeamState* team = nullptr;

        bool operator>(const HeldPermit& other) const { return until > other.until; }
    };

    ServiceQueue& serviceOf(std::string_view name);
    TeamState& teamOf(std::string_view name);
    [[nodiscard]] bool isAuthorised(const TeamQueue& queue, TimePoint now) const;
    [[nodiscard]] bool isUnderLimit(const TeamState& team, TimePoint now) const;

    /// @returns whether the ticket may join the queue; if not, it has been refused.
    bool admit(Ticket& ticket, TeamQueue& queue, TimePoint now);
    /// Refuses a request of the team that is most over its share of a full queue.
    /// @returns whether it was another request than @p ticket, so that the ticket may join the queue.
    bool evictOverShare(Ticket& ticket, TeamQueue& queue, TimePoint now);
    void refuse(Ticket& ticket, Reason reason, std::string detail, TimePoint now);
    void grant(Ticket& ticket, EndpointSlot slot, TimePoint now);
    /// Queues the ticket at the head of its queue, or refuses it if it was cancelled.
    void returnToHead(Ticket& ticket, TimePoint now);
    /// Refuses a ticket whose deadline has passed.
    void expireLocked(Ticket& ticket, TimePoint now);
    /// Grants queued requests of the service until no slot, no permit or no request is left.
    void dispatchQueued(ServiceQueue& service, TimePoint now);
    /// Dispatches the services for which the team has queued requests.
    void dispatchTeam(TeamState& team, TimePoint now);
    void dispatchAll(TimePoint now);
    void releaseExpiredLocked(TimePoint now);
    /// @returns the next time at which a held permit or the lease expires.
    [[nodiscard]] TimePoint nextExpiry(TimePoint now) const;
    TimePoint retryAtLocked(const ServiceQueue& service, TimePoint now);

    const Authority& m_authority;
    EndpointPool& m_endpoints;

    mutable std::mutex m_mutex;
    std::mt19937_64 m_generator;
    std::map<std::string, ServiceQueue, std::less<>> m_services;
    std::map<std::string, TeamState, std::less<>> m_teams;
    std::priority_queue<HeldPermit, std::vector<HeldPermit>, std::greater<>> m_heldPermits;
    std::condition_variable_any m_timerChanged;
    uint64_t m_grantCount = 0;
};

} // namespace vanillalift
