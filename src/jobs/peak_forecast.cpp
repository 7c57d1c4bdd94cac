#include "peak_forecast_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Arriving work that may begin a turn: this many instances, this part of the fleet, and this part of the pool's last
    /// peak, whichever is most.
    constexpr double onsetInstances = 2;
    constexpr double onsetFleetShare = 0.04;
    constexpr double onsetPeakShare = 0.3;
    /// A rise counts as a turn once it reaches this part of the largest peak of any pool.
    constexpr double countedShare = 0.25;
    /// A turn has ended once the arriving work is below this share of its peak.
    constexpr double endShare = 0.2;
    /// A turn counts as due from this long before its expected onset, until this long after.
    constexpr std::chrono::milliseconds lead { 2000 };
    constexpr std::chrono::milliseconds patience { 1500 };
    /// Onsets closer than this are one rise of several pools, and gaps beyond the longest are no turns.
    constexpr std::chrono::milliseconds shortestGap { 3000 };
    constexpr std::chrono::seconds longestGap { 60 };
    /// Two gaps in a row that differ by less than this part show that turns come at regular times.
    constexpr double regularity = 0.25;
    /// Pools that have to have had a turn before the first of them is expected to come again.
    constexpr std::ptrdiff_t leastRound = 3;
    /// Part of the last peak that is prepared for: the next one may be lower.
    constexpr double preparedShare = 0.7;

} // namespace

void PeakForecast::observe(const std::string& pool, double arriving, size_t fleet, TimePoint now)
{
    dropMissed(now);
    auto& demand = m_demand[pool];
    demand.hasDemand = demand.hasDemand || arriving > 0;
    if (!demand.isInTurn) {
        if (arriving < std::max({ onsetInstances, onsetFleetShare * static_cast<double>(fleet), demand.peak * onsetPeakShare }))
            return;
        demand.isInTurn = true;
        demand.isCounted = false;
        demand.onsetAt = now;
        demand.rising = 0;
    }
    demand.rising = std::max(demand.rising, arriving);
    m_largestPeak = std::max(m_largestPeak, demand.rising);
    if (!demand.isCounted && demand.rising >= m_largestPeak * countedShare)
        count(pool, demand);
    if (arriving >= demand.rising * endShare)
        return;
    demand.isInTurn = false;
    if (demand.isCounted)
        demand.peak = demand.rising;
}

void PeakForecast::count(const std::string& pool, PoolDemand& demand)
{
    demand.isCounted = true;
    demand.lastTurnAt = demand.onsetAt;
    auto gap = demand.onsetAt - m_lastOnset;
    bool isNext = !m_lastPool.empty() && m_lastPool != pool && gap >= shortestGap && gap < longestGap;
    if (isNext) {
        m_successors[m_lastPool] = pool;
        auto difference = std::abs(std::chrono::duration<double>(gap - m_gap).count());
        m_areGapsRegular = m_gap != Duration::zero() && difference < regularity * std::chrono::duration<double>(gap).count();
        m_gap = gap;
    }
    m_lastPool = pool;
    m_lastOnset = demand.onsetAt;
    m_wasMissed = false;
}

std::optional<PeakForecast::Turn> PeakForecast::nextTurn() const
{
    if (m_gap == Duration::zero() || m_wasMissed)
        return std::nullopt;
    auto dueAt = m_lastOnset + m_gap;
    if (auto known = m_successors.find(m_lastPool); known != m_successors.end())
        return Turn { known->second, dueAt };
    // Once each pool with any demand has had a turn, the one whose turn is longest ago comes again.
    const std::string* oldest = nullptr;
    std::ptrdiff_t count = 0;
    for (const auto& [name, demand] : m_demand) {
        if (!demand.hasDemand)
            continue;
        if (demand.lastTurnAt == TimePoint {})
            return std::nullopt;
        count++;
        if (!oldest || demand.lastTurnAt < m_demand.at(*oldest).lastTurnAt)
            oldest = &name;
    }
    bool isRoundOver = count >= leastRound && m_areGapsRegular;
    return isRoundOver ? std::optional(Turn { *oldest, dueAt }) : std::nullopt;
}

void PeakForecast::dropMissed(TimePoint now)
{
    auto next = nextTurn();
    if (!next || now <= next->dueAt + patience)
        return;
    m_successors.erase(m_lastPool);
    m_wasMissed = true;
}

double PeakForecast::expected(const std::string& pool, TimePoint now) const
{
    auto next = nextTurn();
    if (!next || next->pool != pool || now < next->dueAt - lead || now > next->dueAt + patience)
        return 0;
    auto demand = m_demand.find(pool);
    return demand == m_demand.end() || demand->second.isInTurn ? 0 : demand->second.peak * preparedShare;
}

} // namespace vanillalift::jobs
