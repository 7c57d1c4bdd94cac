#include "turn_forecast_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Arriving work of this many instances begins a turn, and this share of the last peak if that is more.
    constexpr double onsetInstances = 2;
    constexpr double onsetShare = 0.3;
    /// A turn has ended once the arriving work is below this share of its peak.
    constexpr double endShare = 0.2;
    /// A turn counts as due from this long before its expected onset, until this long after.
    constexpr std::chrono::milliseconds lead { 2000 };
    constexpr std::chrono::milliseconds patience { 1500 };
    /// Gaps beyond this are no turns.
    constexpr std::chrono::seconds longestGap { 60 };
    /// Part of the last peak that is prepared for: the next one may be lower.
    constexpr double preparedShare = 0.7;

} // namespace

void TurnForecast::observe(const std::string& pool, double arriving, TimePoint now)
{
    dropMissed(now);
    auto& demand = m_demand[pool];
    if (!demand.isInTurn) {
        if (arriving < std::max(onsetInstances, demand.peak * onsetShare))
            return;
        demand.isInTurn = true;
        demand.rising = arriving;
        bool isTurn = !m_lastPool.empty() && m_lastPool != pool && now - m_lastOnset < longestGap;
        if (isTurn)
            m_successors[m_lastPool] = { pool, now - m_lastOnset };
        m_lastPool = pool;
        m_lastOnset = now;
        return;
    }
    demand.rising = std::max(demand.rising, arriving);
    if (arriving >= demand.rising * endShare)
        return;
    demand.isInTurn = false;
    demand.peak = demand.rising;
}

void TurnForecast::dropMissed(TimePoint now)
{
    auto successor = m_successors.find(m_lastPool);
    if (successor != m_successors.end() && now > m_lastOnset + successor->second.gap + patience)
        m_successors.erase(successor);
}

double TurnForecast::expected(const std::string& pool, TimePoint now) const
{
    auto successor = m_successors.find(m_lastPool);
    if (successor == m_successors.end() || successor->second.pool != pool)
        return 0;
    auto dueAt = m_lastOnset + successor->second.gap;
    if (now < dueAt - lead || now > dueAt + patience)
        return 0;
    auto demand = m_demand.find(pool);
    return demand == m_demand.end() || demand->second.isInTurn ? 0 : demand->second.peak * preparedShare;
}

} // namespace vanillalift::jobs
