#pragma once

#include "service_queue_p.h"

#include <vanillalift/authority.h>

#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <stop_token>

namespace vanillalift {

/// What becomes of a ticket after an attempt.
enum class AfterAttempt : uint8_t {
    Finish,
    /// The ticket returns to the head of its queue.
    Requeue,
    AfterAttemptCount,
};

/// Decides which request of which team runs next. One mutex; time is passed in; no call blocks except wait(),
/// pause() and runExpiry(). Calls the endpoint pool and the authority with its mutex held.
class Scheduler final : public TeamUsageSource {
public:
    /// @param generator source of the jitter of Retry-After.
    Scheduler(const Authority& authority, EndpointPool& endpoints, std::mt19937_64 generator);

    /// Admits the ticket or refuses it at once; it may be granted on return.
    /// @param weight share weight of the ticket's team in the service.
    void enqueue(Ticket& ticket, const Profile& profile, double weight, TimePoint now);
    /// Blocks until a queued ticket is granted or refused, at the latest at its deadline.
    TicketState wait(Ticket& ticket, const Clock& clock);
    /// Blocks an idle ticket until @p until, its deadline or its cancellation.
    void pause(Ticket& ticket, TimePoint until, const Clock& clock);
    /// Puts an idle ticket back at the head of its queue.
    void requeue(Ticket& ticket, TimePoint now);
    /// Refuses the ticket if it is queued; a granted one is refused when it is queued again.
    void cancel(Ticket& ticket, TimePoint now);

    /// Checks lease and deadline of a granted ticket right before its attempt. If they have passed, or an answer is not to
    /// be expected before the deadline, the ticket is refused and its place is given back. @returns whether the attempt may start.
    bool confirm(Ticket& ticket, TimePoint now);
    /// Ends the attempt of a granted ticket: gives the place back and frees the team's unit, at the ticket's
    /// deadline plus config::endpointStopMargin if the endpoint may still be running the attempt.
    void endAttempt(Ticket& ticket, AttemptVerdict verdict, AfterAttempt after, TimePoint now);

    /// Dispatches what endpoints that gained room can take.
    void endpointsChanged(std::string_view service, TimePoint now);
    /// Dispatches what new parts of limits or a new lease permit, and refuses what a lost lease forbids.
    void authorityChanged(TimePoint now);
    /// Frees the units whose attempts have ended at their endpoints by now.
    void releaseExpired(TimePoint now);
    /// Frees held units when they are due and refuses keyed requests when the lease ends, until stopped.
    void runExpiry(const std::stop_token& stop, const Clock& clock);

    /// @returns a jittered moment at which the service's queue should have fallen below half.
    TimePoint retryAt(std::string_view service, TimePoint now);

    [[nodiscard]] std::vector<TeamUsage> teamUsage() const override;
    [[nodiscard]] std::vector<ScheduleStats> serviceStats() const;
    [[nodiscard]] std::vector<ScheduleStats> teamStats() const;

private:
    struct HeldUnit {
        TimePoint until;
        TeamState* team = nullptr;

        bool operator>(const HeldUnit& other) const { return until > other.until; }
    };

    ServiceQueue& serviceOf(std::string_view name);
    TeamState& teamOf(std::string_view name);
    [[nodiscard]] bool isAuthorised(const TeamQueue& queue, TimePoint now) const;
    [[nodiscard]] bool isUnderLimit(const TeamState& team, TimePoint now) const;

    /// @returns whether the ticket may join the queue; if not, it has been refused.
    bool admit(Ticket& ticket, TeamQueue& queue, TimePoint now);
    bool makeRoom(Ticket& ticket, TeamQueue& queue, TimePoint now);
    void refuse(Ticket& ticket, Reason reason, std::string detail, TimePoint now);
    void grant(Ticket& ticket, EndpointPlace place, TimePoint now);
    void returnToHead(Ticket& ticket, TimePoint now);
    void expireLocked(Ticket& ticket, TimePoint now);
    void pump(ServiceQueue& service, TimePoint now);
    void pumpTeam(TeamState& team, TimePoint now);
    void pumpAll(TimePoint now);
    void releaseExpiredLocked(TimePoint now);
    /// @returns when a held unit or the lease runs out next.
    [[nodiscard]] TimePoint nextExpiry(TimePoint now) const;
    TimePoint retryAtLocked(const ServiceQueue& service, TimePoint now);

    const Authority& m_authority;
    EndpointPool& m_endpoints;

    mutable std::mutex m_mutex;
    std::mt19937_64 m_generator;
    std::map<std::string, ServiceQueue, std::less<>> m_services;
    std::map<std::string, TeamState, std::less<>> m_teams;
    std::priority_queue<HeldUnit, std::vector<HeldUnit>, std::greater<>> m_held;
    std::condition_variable_any m_timerChanged;
    uint64_t m_grants = 0;
};

} // namespace vanillalift
