#include "peak_forecast_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// A peak may have started once the arriving work reaches the largest of: this many instances, this share of the fleet,
    /// this share of the pool's last peak.
    constexpr double onsetInstances = 2;
    constexpr double onsetFleetShare = 0.04;
    constexpr double onsetPeakShare = 0.3;
    /// A rise is confirmed as a peak once it reaches this share of the largest peak of any pool.
    constexpr double confirmShare = 0.25;
    /// A peak has ended once the arriving work is below this share of its highest load.
    constexpr double endShare = 0.2;
    /// A peak is due from `leadTime` before its expected onset until `gracePeriod` after it.
    constexpr std::chrono::milliseconds leadTime { 2000 };
    constexpr std::chrono::milliseconds gracePeriod { 1500 };
    /// Onsets that are closer than the minimum belong to one rise of several pools. Those further apart than the maximum are
    /// unrelated.
    constexpr std::chrono::milliseconds minInterval { 3000 };
    constexpr std::chrono::seconds maxInterval { 60 };
    /// Peaks are regular if two consecutive intervals differ by less than this share.
    constexpr double maxIntervalDeviation = 0.25;
    /// Number of pools that must have had a peak before the first of them is expected to peak again.
    constexpr std::ptrdiff_t minPoolsInRotation = 3;
    /// Share of the last peak that is forecast, since the next one may be lower.
    constexpr double forecastShare = 0.7;

} // namespace

void PeakForecast::observe(const std::string& pool, double arriving, size_t fleetSize, TimePoint now)
{
    discardMissedPeak(now);
    auto& demand = m_demand[pool];
    demand.hasDemand = demand.hasDemand || arriving > 0;
    if (!demand.isInPeak) {
        if (arriving < std::max({ onsetInstances, onsetFleetShare * static_cast<double>(fleetSize), demand.lastPeakLoad * onsetPeakShare }))
            return;
        demand.isInPeak = true;
        demand.isConfirmed = false;
        demand.onsetAt = now;
        demand.currentPeakLoad = 0;
    }
    demand.currentPeakLoad = std::max(demand.currentPeakLoad, arriving);
    m_largestPeakLoad = std::max(m_largestPeakLoad, demand.currentPeakLoad);
    if (!demand.isConfirmed && demand.currentPeakLoad >= m_largestPeakLoad * confirmShare)
        confirmPeak(pool, demand);
    if (arriving >= demand.currentPeakLoad * endShare)
        return;
    demand.isInPeak = false;
    if (demand.isConfirmed)
        demand.lastPeakLoad = demand.currentPeakLoad;
}

void PeakForecast::confirmPeak(const std::string& pool, PoolDemand& demand)
{
    demand.isConfirmed = true;
    demand.lastPeakAt = demand.onsetAt;
    auto interval = demand.onsetAt - m_lastOnsetAt;
    bool isReplacement = !m_lastPool.empty() && m_lastPool != pool && interval >= minInterval && interval < maxInterval;
    if (isReplacement) {
        m_successors[m_lastPool] = pool;
        auto difference = std::abs(std::chrono::duration<double>(interval - m_interval).count());
        m_areIntervalsRegular = m_interval != Duration::zero() && difference < maxIntervalDeviation * std::chrono::duration<double>(interval).count();
        m_interval = interval;
    }
    m_lastPool = pool;
    m_lastOnsetAt = demand.onsetAt;
    m_wasPeakMissed = false;
}

std::optional<PeakForecast::ExpectedPeak> PeakForecast::nextPeak() const
{
    if (m_interval == Duration::zero() || m_wasPeakMissed)
        return std::nullopt;
    auto dueAt = m_lastOnsetAt + m_interval;
    if (auto known = m_successors.find(m_lastPool); known != m_successors.end())
        return ExpectedPeak { known->second, dueAt };
    // Once every pool with demand has had a peak, the pool whose peak is the longest ago is next.
    const std::string* oldest = nullptr;
    std::ptrdiff_t count = 0;
    for (const auto& [name, demand] : m_demand) {
        if (!demand.hasDemand)
            continue;
        if (demand.lastPeakAt == TimePoint {})
            return std::nullopt;
        count++;
        if (!oldest || demand.lastPeakAt < m_demand.at(*oldest).lastPeakAt)
            oldest = &name;
    }
    bool isRotationComplete = count >= minPoolsInRotation && m_areIntervalsRegular;
    return isRotationComplete ? std::optional(ExpectedPeak { *oldest, dueAt }) : std::nullopt;
}

void PeakForecast::discardMissedPeak(TimePoint now)
{
    auto next = nextPeak();
    if (!next || now <= next->dueAt + gracePeriod)
        return;
    m_successors.erase(m_lastPool);
    m_wasPeakMissed = true;
}

double PeakForecast::expected(const std::string& pool, TimePoint now) const
{
    auto next = nextPeak();
    if (!next || next->pool != pool || now < next->dueAt - leadTime || now > next->dueAt + gracePeriod)
        return 0;
    auto demand = m_demand.find(pool);
    return demand == m_demand.end() || demand->second.isInPeak ? 0 : demand->second.lastPeakLoad * forecastShare;
}

} // namespace vanillalift::jobs
