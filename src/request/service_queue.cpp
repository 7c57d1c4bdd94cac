#include "service_queue_p.h"

#include <algorithm>

namespace vanillalift {

TeamQueue& ServiceQueue::queueOf(TeamState& team)
{
    auto it = std::find_if(teams.begin(), teams.end(), [&](const auto& queue) { return queue->team == &team; });
    if (it != teams.end())
        return **it;
    auto& queue = *teams.emplace_back(std::make_unique<TeamQueue>());
    queue.service = this;
    queue.team = &team;
    team.queues.push_back(&queue);
    return queue;
}

void ServiceQueue::pushBack(Ticket& ticket, TeamQueue& queue)
{
    // A queue that was empty restarts at the virtual time, so that its team gains no credit while idle.
    if (queue.tickets.empty())
        queue.pass = std::max(queue.pass, virtualTime);
    ticket.queue = &queue;
    ticket.position = queue.tickets.insert(queue.tickets.end(), &ticket);
    ++stats.queued;
    ++queue.team->stats.queued;
}

void ServiceQueue::pushFront(Ticket& ticket)
{
    auto& queue = *ticket.queue;
    ticket.position = queue.tickets.insert(queue.tickets.begin(), &ticket);
    ++stats.queued;
    ++queue.team->stats.queued;
}

void ServiceQueue::remove(Ticket& ticket)
{
    auto& queue = *ticket.queue;
    queue.tickets.erase(ticket.position);
    --stats.queued;
    --queue.team->stats.queued;
    if (stats.queued == 0)
        m_lastCompletion = {};
}

void ServiceQueue::charge(Ticket& ticket)
{
    auto& queue = *ticket.queue;
    queue.pass = passOf(queue);
    queue.wasSkipped = false;
    virtualTime = std::max(virtualTime, queue.pass);
    ticket.charge = 1 / queue.weight;
    queue.pass += ticket.charge;
}

void ServiceQueue::refund(Ticket& ticket)
{
    ticket.queue->pass -= ticket.charge;
    ticket.charge = 0;
}

TeamQueue* ServiceQueue::mostOverShare(TeamQueue& arriving) const
{
    auto* mostLoaded = &arriving;
    auto maxQueuedPerWeight = arriving.queuedPerWeight(1);
    for (const auto& it : teams) {
        if (it.get() != &arriving && it->queuedPerWeight() > maxQueuedPerWeight) {
            mostLoaded = it.get();
            maxQueuedPerWeight = it->queuedPerWeight();
        }
    }
    return mostLoaded;
}

void ServiceQueue::recordCompletion(TimePoint now)
{
    // While nothing is queued, completions show the arrival rate, not the rate that the endpoints can reach.
    if (stats.queued == 0) {
        m_lastCompletion = {};
        return;
    }
    if (m_lastCompletion != TimePoint {}) {
        auto interval = static_cast<double>((now - m_lastCompletion).count());
        constexpr double smoothing = 0.05;
        m_meanCompletionInterval = m_completionIntervalCount == 0 ? interval : m_meanCompletionInterval + smoothing * (interval - m_meanCompletionInterval);
        ++m_completionIntervalCount;
    }
    m_lastCompletion = now;
}

void ServiceQueue::recordServiceTime(Duration time, TimePoint now)
{
    // Moving up or down by a fixed ratio per sample approaches the median.
    constexpr double step = 0.05;
    auto sample = static_cast<double>(time.count());
    if (m_serviceTimeCount++ == 0)
        m_medianServiceTime = sample;
    else
        m_medianServiceTime *= sample > m_medianServiceTime ? 1 + step : 1 - step;
    m_lastServiceTime = now;
}

Duration ServiceQueue::medianServiceTime(TimePoint now) const
{
    constexpr std::chrono::seconds validity { 1 };
    if (m_serviceTimeCount < minSampleCount || now - m_lastServiceTime > validity)
        return Duration(0);
    return Duration(static_cast<int64_t>(m_medianServiceTime));
}

Duration ServiceQueue::estimatedWait(const TeamQueue& queue) const
{
    double activeWeight = 0;
    for (const auto& it : teams)
        activeWeight += it->tickets.empty() && it.get() != &queue ? 0 : it->weight;
    return Duration(static_cast<int64_t>(queue.queuedPerWeight() * activeWeight * completionInterval()));
}

std::optional<Duration> ServiceQueue::timeUntilHalfFull() const
{
    if (completionInterval() == 0)
        return std::nullopt;
    auto excess = std::max<int64_t>(0, stats.queued - policy.maxQueued / 2);
    return Duration(static_cast<int64_t>(static_cast<double>(excess) * completionInterval()));
}

} // namespace vanillalift
