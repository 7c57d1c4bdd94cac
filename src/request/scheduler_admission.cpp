#include "scheduler_p.h"

#include <algorithm>

namespace vanillalift {

void Scheduler::enqueue(Ticket& ticket, const Profile& profile, double weight, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    auto& service = serviceOf(ticket.service);
    service.policy = { profile.queueBound, profile.urgency, std::chrono::milliseconds(profile.spillAfterMs), std::chrono::milliseconds(profile.isolationPeriodMs) };
    auto& queue = service.queueOf(teamOf(ticket.team));
    // A weight of 0 would make the stride infinite.
    queue.weight = std::max(weight, 1e-6);
    ticket.queue = &queue;
    ticket.queuedAt = now;
    if (!admit(ticket, queue, now))
        return;
    service.pushBack(ticket, queue);
    ticket.state = TicketState::Queued;
    pump(service, now);
    if (ticket.state == TicketState::Queued && m_endpoints.stats(ticket.service, now).serving == 0)
        refuse(ticket, Reason::NoEndpoint, "no endpoint of the service is known", now);
}

bool Scheduler::admit(Ticket& ticket, TeamQueue& queue, TimePoint now)
{
    if (ticket.isCancelled) {
        refuse(ticket, Reason::CallerGone, "the caller has disconnected", now);
    } else if (now >= ticket.deadline) {
        expireLocked(ticket, now);
    } else if (!isAuthorised(queue, now)) {
        refuse(ticket, Reason::ConfigurationStale, "this entry has no valid lease on its configuration", now);
    } else if (auto wait = queue.service->estimatedWait(queue) + queue.service->serviceTime(now); wait > ticket.deadline - now) {
        auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        refuse(ticket, Reason::DeadlineUnreachable, "the estimated wait and run time is " + std::to_string(waitMs) + " ms, the request has " + std::to_string(millisecondsUntil(ticket.deadline, now)) + " ms", now);
    } else {
        return queue.service->stats.queued < queue.service->policy.bound || makeRoom(ticket, queue, now);
    }
    return false;
}

bool Scheduler::makeRoom(Ticket& ticket, TeamQueue& queue, TimePoint now)
{
    auto& service = *queue.service;
    auto* worst = service.mostOverShare(queue);
    bool isAlone = service.stats.queued == static_cast<int64_t>(queue.tickets.size());
    auto detail = std::to_string(service.stats.queued) + " requests are queued, " + std::to_string(worst->tickets.size()) + " of them for the team most over its share";
    if (worst == &queue) {
        refuse(ticket, isAlone ? Reason::QueueFull : Reason::OverShare, std::move(detail), now);
        return false;
    }
    refuse(*worst->tickets.back(), Reason::OverShare, std::move(detail), now);
    return true;
}

void Scheduler::requeue(Ticket& ticket, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    returnToHead(ticket, now);
    pump(*ticket.queue->service, now);
}

void Scheduler::cancel(Ticket& ticket, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    ticket.isCancelled = true;
    ticket.wake.notify_all();
    if (ticket.state != TicketState::Queued)
        return;
    auto& queue = *ticket.queue;
    bool wasHead = queue.tickets.front() == &ticket;
    refuse(ticket, Reason::CallerGone, "the caller has disconnected", now);
    // The next head may be old enough for other zones.
    if (wasHead)
        pump(*queue.service, now);
}

TicketState Scheduler::wait(Ticket& ticket, const Clock& clock)
{
    std::unique_lock lock(m_mutex);
    auto isDecided = [&] { return ticket.state != TicketState::Queued; };
    if (isDecided())
        return ticket.state;
    auto& service = *ticket.queue->service;
    auto spillAt = ticket.queuedAt + service.policy.spillAfter;
    // One extra wake-up per waiting request: from this moment it may be sent to another zone.
    if (spillAt < ticket.deadline && !waitUntil(clock, ticket.wake, lock, spillAt, isDecided))
        pump(service, clock.now());
    if (!waitUntil(clock, ticket.wake, lock, ticket.deadline, isDecided))
        expireLocked(ticket, clock.now());
    return ticket.state;
}

void Scheduler::pause(Ticket& ticket, TimePoint until, const Clock& clock)
{
    std::unique_lock lock(m_mutex);
    waitUntil(clock, ticket.wake, lock, std::min(until, ticket.deadline), [&] { return ticket.isCancelled; });
}

TimePoint Scheduler::nextExpiry(TimePoint now) const
{
    auto leaseEnd = m_authority.leaseEnd();
    auto due = now < leaseEnd ? leaseEnd : TimePoint::max();
    return m_held.empty() ? due : std::min(due, m_held.top().until);
}

void Scheduler::runExpiry(const std::stop_token& stop, const Clock& clock)
{
    std::unique_lock lock(m_mutex);
    bool wasLeased = false;
    while (!stop.stop_requested()) {
        auto now = clock.now();
        bool isLeased = now < m_authority.leaseEnd();
        releaseExpiredLocked(now);
        if (wasLeased && !isLeased)
            pumpAll(now);
        wasLeased = isLeased;
        // A renewed lease needs no notification: the thread wakes at the old end and reads the new one.
        auto due = nextExpiry(now);
        auto isEarlier = [&] { return nextExpiry(clock.now()) < due; };
        if (due == TimePoint::max())
            m_timerChanged.wait(lock, stop, isEarlier);
        else
            m_timerChanged.wait_for(lock, stop, due - now, isEarlier);
    }
}

TimePoint Scheduler::retryAt(std::string_view service, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    return retryAtLocked(serviceOf(service), now);
}

TimePoint Scheduler::retryAtLocked(const ServiceQueue& service, TimePoint now)
{
    using std::chrono::milliseconds;
    constexpr Duration shortest = milliseconds(100);
    constexpr Duration longest = milliseconds(30000);
    constexpr Duration withoutRate = milliseconds(1000);
    auto estimate = std::clamp(service.timeToHalf().value_or(withoutRate), shortest, longest);
    // The jitter spreads the resends of requests that were refused together.
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    return now + Duration(static_cast<int64_t>(static_cast<double>(estimate.count()) * jitter(m_generator)));
}

} // namespace vanillalift
