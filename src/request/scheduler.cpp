#include "scheduler_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift {

Scheduler::Scheduler(const Authority& authority, EndpointPool& endpoints, std::mt19937_64 generator)
    : m_authority(authority)
    , m_endpoints(endpoints)
    , m_generator(generator)
{
}

ServiceQueue& Scheduler::serviceOf(std::string_view name)
{
    auto it = m_services.find(name);
    if (it == m_services.end()) {
        it = m_services.try_emplace(std::string(name)).first;
        it->second.stats.name = name;
    }
    return it->second;
}

TeamState& Scheduler::teamOf(std::string_view name)
{
    auto it = m_teams.find(name);
    if (it == m_teams.end()) {
        it = m_teams.try_emplace(std::string(name)).first;
        it->second.stats.name = name;
    }
    return it->second;
}

bool Scheduler::isAuthorised(const TeamQueue& queue, TimePoint now) const
{
    auto leaseEnd = m_authority.leaseEnd();
    if (now < leaseEnd)
        return true;
    bool isKeyed = !queue.team->stats.name.empty();
    return !isKeyed && now < leaseEnd + queue.service->policy.isolationPeriod;
}

bool Scheduler::isUnderLimit(const TeamState& team, TimePoint now) const
{
    return team.stats.name.empty() || team.stats.running < m_authority.limitPart(team.stats.name, now);
}

void Scheduler::dispatchQueued(ServiceQueue& service, TimePoint now)
{
    // Without a lease every limit part is 0. Such queues are selected nevertheless, so that their requests are refused.
    auto isEligible = [&](const TeamQueue& it) { return isUnderLimit(*it.team, now) || !isAuthorised(it, now); };
    while (auto* queue = service.selectNext(isEligible)) {
        auto& ticket = *queue->tickets.front();
        if (!isAuthorised(*queue, now)) {
            refuse(ticket, Reason::ConfigurationStale, "this entry has no valid lease on its configuration", now);
            continue;
        }
        if (now >= ticket.deadline) {
            expireLocked(ticket, now);
            continue;
        }
        // The oldest head of any team decides, so that a newer head that is next by share does not delay it.
        bool isSpilling = std::any_of(service.teams.begin(), service.teams.end(), [&](const auto& it) {
            return !it->tickets.empty() && now - it->tickets.front()->queuedAt >= service.policy.spillAfter && isEligible(*it);
        });
        auto slot = m_endpoints.acquire({ service.stats.name, isSpilling, ticket.avoid, ticket.requestKind }, now);
        if (!slot)
            return;
        grant(ticket, std::move(*slot), now);
    }
}

void Scheduler::dispatchTeam(TeamState& team, TimePoint now)
{
    std::vector<TeamQueue*> waiting;
    std::copy_if(team.queues.begin(), team.queues.end(), std::back_inserter(waiting), [](const auto* it) { return !it->tickets.empty(); });
    // Urgent services come first, then the least recently served, so that no service uses up the team's limit.
    auto rank = [](const TeamQueue* it) { return std::pair(it->service->policy.urgency != Urgency::Urgent, it->lastGrantNumber); };
    std::sort(waiting.begin(), waiting.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    for (auto* it : waiting)
        dispatchQueued(*it->service, now);
}

void Scheduler::dispatchAll(TimePoint now)
{
    for (auto urgency : { Urgency::Urgent, Urgency::Normal }) {
        for (auto& [name, service] : m_services) {
            if (service.policy.urgency == urgency)
                dispatchQueued(service, now);
        }
    }
}

void Scheduler::grant(Ticket& ticket, EndpointSlot slot, TimePoint now)
{
    auto& queue = *ticket.queue;
    queue.service->remove(ticket);
    queue.service->charge(ticket);
    queue.lastGrantNumber = ++m_grantCount;
    for (auto* stats : { &queue.service->stats, &queue.team->stats }) {
        ++stats->running;
        ++stats->dispatched;
    }
    ticket.slot = std::move(slot);
    ticket.grantedAt = now;
    ticket.state = TicketState::Granted;
    ticket.wake.notify_all();
}

void Scheduler::refuse(Ticket& ticket, Reason reason, std::string detail, TimePoint now)
{
    auto& queue = *ticket.queue;
    if (ticket.state == TicketState::Queued)
        queue.service->remove(ticket);
    ++queue.service->stats.refused[reason];
    ++queue.team->stats.refused[reason];
    ticket.refusal = { reason, std::move(detail), retryAtLocked(*queue.service, now) };
    ticket.state = TicketState::Refused;
    ticket.wake.notify_all();
}

void Scheduler::expireLocked(Ticket& ticket, TimePoint now)
{
    refuse(ticket, Reason::DeadlinePassed, "the deadline passed while the request was queued", now);
}

void Scheduler::returnToHead(Ticket& ticket, TimePoint now)
{
    if (ticket.isCancelled) {
        refuse(ticket, Reason::CallerGone, "the caller has disconnected", now);
        return;
    }
    ticket.queue->service->pushFront(ticket);
    ticket.state = TicketState::Queued;
}

void Scheduler::endAttempt(Ticket& ticket, AttemptVerdict verdict, AfterAttempt after, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    auto& service = *ticket.queue->service;
    auto& team = *ticket.queue->team;
    m_endpoints.release(ticket.slot, verdict, service.stats.queued > 0, now);
    --service.stats.running;
    bool isUnstarted = verdict == AttemptVerdict::NotStarted || verdict == AttemptVerdict::NotSent || verdict == AttemptVerdict::Unused;
    bool mayStillRun = verdict == AttemptVerdict::Broken || verdict == AttemptVerdict::TimedOut;
    auto stoppedBy = ticket.deadline + config::endpointStopMargin;
    if (mayStillRun && now < stoppedBy) {
        m_heldPermits.push({ stoppedBy, &team });
        m_timerChanged.notify_all();
    } else {
        --team.stats.running;
    }
    if (isUnstarted)
        ServiceQueue::refund(ticket);
    else
        service.recordCompletion(now);
    if (verdict == AttemptVerdict::Succeeded)
        service.recordServiceTime(now - ticket.grantedAt, now);
    ticket.state = TicketState::Idle;
    if (after == AfterAttempt::Requeue)
        returnToHead(ticket, now);
    dispatchTeam(team, now);
    dispatchQueued(service, now);
}

bool Scheduler::confirmGrant(Ticket& ticket, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    bool isStale = !isAuthorised(*ticket.queue, now);
    auto& service = *ticket.queue->service;
    // The endpoint receives the remaining time in whole milliseconds.
    auto remainingMs = millisecondsUntil(ticket.deadline, now);
    bool isTooLate = now + service.medianServiceTime(now) > ticket.deadline;
    if (!isStale && remainingMs > 0 && !isTooLate)
        return true;
    auto& team = *ticket.queue->team;
    m_endpoints.release(ticket.slot, AttemptVerdict::Unused, service.stats.queued > 0, now);
    --service.stats.running;
    --team.stats.running;
    ServiceQueue::refund(ticket);
    if (isStale)
        refuse(ticket, Reason::ConfigurationStale, "the lease ended before the request was sent", now);
    else if (remainingMs > 0)
        refuse(ticket, Reason::DeadlineUnreachable, "the request has " + std::to_string(remainingMs) + " ms left, which is less than the service's median response time", now);
    else
        expireLocked(ticket, now);
    dispatchTeam(team, now);
    dispatchQueued(service, now);
    return false;
}

void Scheduler::endpointsChanged(std::string_view service, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    if (auto it = m_services.find(service); it != m_services.end())
        dispatchQueued(it->second, now);
}

void Scheduler::authorityChanged(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    dispatchAll(now);
    m_timerChanged.notify_all();
}

void Scheduler::releaseExpired(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
}

void Scheduler::releaseExpiredLocked(TimePoint now)
{
    while (!m_heldPermits.empty() && m_heldPermits.top().until <= now) {
        auto& team = *m_heldPermits.top().team;
        m_heldPermits.pop();
        --team.stats.running;
        dispatchTeam(team, now);
    }
}

std::vector<TeamUsage> Scheduler::teamUsage() const
{
    std::lock_guard lock(m_mutex);
    std::vector<TeamUsage> use;
    for (const auto& [name, team] : m_teams) {
        if (!name.empty())
            use.push_back({ name, team.stats.running, team.stats.queued });
    }
    return use;
}

std::vector<ScheduleStats> Scheduler::serviceStats() const
{
    std::lock_guard lock(m_mutex);
    std::vector<ScheduleStats> stats;
    for (const auto& [name, service] : m_services)
        stats.push_back(service.stats);
    return stats;
}

std::vector<ScheduleStats> Scheduler::teamStats() const
{
    std::lock_guard lock(m_mutex);
    std::vector<ScheduleStats> stats;
    for (const auto& [name, team] : m_teams)
        stats.push_back(team.stats);
    return stats;
}

} // namespace vanillalift
