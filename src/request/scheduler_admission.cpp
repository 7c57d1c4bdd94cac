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
    // The stride is 1 / weight, so a weight of 0 would make it infinite.
    queue.weight = std::max(weight, 1e-6);
    ticket.queue = &queue;
    ticket.queuedAt = now;
    if (!admit(ticket, queue, now))
        return;
    service.pushBack(ticket, queue);
    ticket.state = TicketState::Queued;
    dispatchQueued(service, now);
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
    } else if (auto wait = queue.service->estimatedWait(queue) + queue.service->medianServiceTime(now); wait > ticket.deadline - now) {
        auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        refuse(ticket, Reason::DeadlineUnreachable, "the estimated queueing and service time is " + std::to_string(waitMs) + " ms, the request has " + std::to_string(millisecondsUntil(ticket.deadline, now)) + " ms left", now);
    } else {
        return queue.service->stats.queued < queue.service->policy.maxQueued || evictOverShare(ticket, queue, now);
    }
    return false;
}

bool Scheduler::evictOverShare(Ticket& ticket, TeamQueue& queue, TimePoint now)
{
    auto& service = *queue.service;
    auto* mostLoaded = service.mostOverShare(queue);
    bool isAlone = service.stats.queued == static_cast<int64_t>(queue.tickets.size());
    auto detail = std::to_string(service.stats.queued) + " requests are queued, " + std::to_string(mostLoaded->tickets.size()) + " of them from the team that exceeds its share most";
    if (mostLoaded == &queue) {
        refuse(ticket, isAlone ? Reason::QueueFull : Reason::OverShare, std::move(detail), now);
        return false;
    }
    refuse(*mostLoaded->tickets.back(), Reason::OverShare, std::move(detail), now);
    return true;
}

void Scheduler::requeue(Ticket& ticket, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    releaseExpiredLocked(now);
    returnToHead(ticket, now);
    dispatchQueued(*ticket.queue->service, now);
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
    // The new head may have waited long enough to be sent to another zone.
    if (wasHead)
        dispatchQueued(*queue.service, now);
}

TicketState Scheduler::wait(Ticket& ticket, const Clock& clock)
{
    std::unique_lock lock(m_mutex);
    auto isDecided = [&] { return ticket.state != TicketState::Queued; };
    if (isDecided())
        return ticket.state;
    auto& service = *ticket.queue->service;
    auto spillAt = ticket.queuedAt + service.policy.spillAfter;
    // From this time on the request may be sent to another zone, so each waiting request wakes up once for it.
    if (spillAt < ticket.deadline && !waitUntil(clock, ticket.wake, lock, spillAt, isDecided))
        dispatchQueued(service, clock.now());
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
    return m_heldPermits.empty() ? due : std::min(due, m_heldPermits.top().until);
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
            dispatchAll(now);
        wasLeased = isLeased;
        // A renewed lease needs no notification: the thread wakes at the old lease end and reads the new one.
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
    constexpr Duration minDelay = milliseconds(100);
    constexpr Duration maxDelay = milliseconds(30000);
    constexpr Duration defaultDelay = milliseconds(1000);
    auto estimate = std::clamp(service.timeUntilHalfFull().value_or(defaultDelay), minDelay, maxDelay);
    // Spreads the resends of requests that were refused at the same time.
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    return now + Duration(static_cast<int64_t>(static_cast<double>(estimate.count()) * jitter(m_generator)));
}

} // namespace vanillalift
