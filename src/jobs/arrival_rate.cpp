#include "arrival_rate_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Time constants of the two averages, in seconds.
    constexpr double slowWindow = 0.8;
    constexpr double fastWindow = 0.3;
    /// Demand counts as rising for this long after its onset.
    constexpr std::chrono::milliseconds risingTime { 2500 };
    /// An onset is a rate of this many thousandths of a core that is also this many times the slow average.
    constexpr double onsetRate = 8000;
    constexpr double onsetGrowth = 1.4;

} // namespace

void ArrivalRate::advance(TimePoint now)
{
    auto seconds = std::chrono::duration<double>(now - m_at).count();
    auto decay = [seconds](Average& average, double window) {
        auto kept = std::exp(-seconds / window);
        average.cpu *= kept;
        average.memory *= kept;
    };
    decay(m_slow, slowWindow);
    decay(m_fast, fastWindow);
    m_at = now;
    auto fastRate = m_fast.cpu / fastWindow;
    auto slowRate = m_slow.cpu / slowWindow;
    if (!m_isRising && fastRate > onsetRate && fastRate > slowRate * onsetGrowth && now - m_onsetAt > 2 * risingTime)
        m_onsetAt = now;
    m_isRising = now - m_onsetAt < risingTime;
}

void ArrivalRate::add(double cpuMs, double memorySeconds, TimePoint now)
{
    advance(now);
    for (auto* it : { &m_slow, &m_fast }) {
        it->cpu += cpuMs;
        it->memory += memorySeconds;
    }
}

Resources ArrivalRate::rate() const
{
    auto cpu = m_slow.cpu / slowWindow;
    auto memory = m_slow.memory / slowWindow;
    if (m_isRising) {
        cpu = std::max(cpu, m_fast.cpu / fastWindow);
        memory = std::max(memory, m_fast.memory / fastWindow);
    }
    return { static_cast<int64_t>(cpu), static_cast<int64_t>(memory), 0 };
}

} // namespace vanillalift::jobs
