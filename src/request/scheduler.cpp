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
    return !isKeyed && now < leaseEnd + queue.service->policy.isolated;
}

bool Scheduler::isUnderLimit(const TeamState& team, TimePoint now) const
{
    return team.stats.name.empty() || team.stats.running < m_authority.limitPart(team.stats.name, now);
}

void Scheduler::pump(ServiceQueue& service, TimePoint now)
{
    // Without a lease every part is 0; such queues are taken up all the same, so that their requests are refused.
    auto isEligible = [&](const TeamQueue& it) { return isUnderLimit(*it.team, now) || !isAuthorised(it, now); };
    while (auto* queue = service.next(isEligible)) {
        auto& ticket = *queue->tickets.front();
        if (!isAuthorised(*queue, now)) {
            refuse(ticket, Reason::ConfigurationStale, "this entry has no valid lease on its configuration", now);
            continue;
        }
        if (now >= ticket.deadline) {
            expireLocked(ticket, now);
            continue;
        }
        // The oldest head counts, whichever team is next, so that a younger head does not keep it waiting.
        bool isSpilling = std::any_of(service.teams.begin(), service.teams.end(), [&](const auto& it) {
            return !it->tickets.empty() && now - it->tickets.front()->queuedAt >= service.policy.spillAfter && isEligible(*it);
        });
        auto place = m_endpoints.acquire({ service.stats.name, isSpilling, ticket.avoid, ticket.requestKind }, now);
        if (!place)
            return;
        grant(ticket, std::move(*place), now);
    }
}

void Scheduler::pumpTeam(TeamState& team, TimePoint now)
{
    std::vector<TeamQueue*> waiting;
    std::copy_if(team.queues.begin(), team.queues.end(), std::back_inserter(waiting), [](const auto* it) { return !it->tickets.empty(); });
    // Urgent services come first; equals take turns, so that no service keeps the team's limit to itself.
    auto rank = [](const TeamQueue* it) { return std::pair(it->service->policy.urgency != Urgency::Urgent, it->lastGrant); };
    std::sort(waiting.begin(), waiting.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    for (auto* it : waiting)
        pump(*it->service, now);
}

void Scheduler::pumpAll(TimePoint now)
{
    for (auto urgency : { Urgency::Urgent, Urgency::Normal }) {
        for (auto& [name, service] : m_services) {
            if (service.policy.urgency == urgency)
                pump(service, now);
        }
    }
}

void Scheduler::grant(Ticket& ticket, EndpointPlace place, TimePoint now)
{
    auto& queue = *ticket.queue;
    queue.service->remove(ticket);
    queue.service->charge(ticket);
    queue.lastGrant = ++m_grants;
    for (auto* stats : { &queue.service->stats, &queue.team->stats }) {
        ++stats->running;
        ++stats->dispatched;
    }
    ticket.place = std::move(place);
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
    m_endpoints.release(ticket.place, verdict, service.stats.queued > 0, now);
    --service.stats.running;
    bool isUnstarted = verdict == AttemptVerdict::NotStarted || verdict == AttemptVerdict::NotSent || verdict == AttemptVerdict::Unused;
    bool mayStillRun = verdict == AttemptVerdict::Broken || verdict == AttemptVerdict::TimedOut;
    auto stopped = ticket.deadline + config::endpointStopMargin;
    if (mayStillRun && now < stopped) {
        m_held.push({ stopped, &team });
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
    pumpTeam(team, now);
    pump(service, now);
}

bool Scheduler::confirm(Ticket& ticket, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    bool isStale = !isAuthorised(*ticket.queue, now);
    auto& service = *ticket.queue->service;
    // The endpoint is told the remaining time in whole milliseconds.
    auto remainingMs = millisecondsUntil(ticket.deadline, now);
    bool isHopeless = now + service.serviceTime(now) > ticket.deadline;
    if (!isStale && remainingMs > 0 && !isHopeless)
        return true;
    auto& team = *ticket.queue->team;
    m_endpoints.release(ticket.place, AttemptVerdict::Unused, service.stats.queued > 0, now);
    --service.stats.running;
    --team.stats.running;
    ServiceQueue::refund(ticket);
    if (isStale)
        refuse(ticket, Reason::ConfigurationStale, "the lease ended before the request was sent", now);
    else if (remainingMs > 0)
        refuse(ticket, Reason::DeadlineUnreachable, "the request has " + std::to_string(remainingMs) + " ms left, which is less than an answer takes", now);
    else
        expireLocked(ticket, now);
    pumpTeam(team, now);
    pump(service, now);
    return false;
}

void Scheduler::endpointsChanged(std::string_view service, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    if (auto it = m_services.find(service); it != m_services.end())
        pump(it->second, now);
}

void Scheduler::authorityChanged(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    pumpAll(now);
    m_timerChanged.notify_all();
}

void Scheduler::releaseExpired(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
}

void Scheduler::releaseExpiredLocked(TimePoint now)
{
    while (!m_held.empty() && m_held.top().until <= now) {
        auto& team = *m_held.top().team;
        m_held.pop();
        --team.stats.running;
        pumpTeam(team, now);
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
