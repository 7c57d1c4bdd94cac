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
    /// Jobs in the fast average from which a trend can be told from chance and from single large jobs.
    constexpr double trendJobs = 8;
    /// Demand has a trend while the fast average exceeds the slow one by this factor: chance alone makes a tenth.
    constexpr double trendGrowth = 1.15;
    /// A steady rise moves the averages apart by what it adds in half a second; an instance takes 1.5 s to move, of which
    /// this many half seconds are looked ahead. The rest would follow chance too closely.
    constexpr double trendSteps = 2;

    double withTrend(double fast, double slow) { return fast > slow * trendGrowth ? fast + trendSteps * (fast - slow) : std::max(fast, slow); }

} // namespace

void ArrivalRate::advance(TimePoint now)
{
    auto seconds = std::chrono::duration<double>(now - m_at).count();
    auto decay = [seconds](Average& average, double window) {
        auto kept = std::exp(-seconds / window);
        average.cpu *= kept;
        average.memory *= kept;
        average.jobs *= kept;
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
        it->jobs++;
    }
}

Resources ArrivalRate::rate() const
{
    auto cpu = m_slow.cpu / slowWindow;
    auto memory = m_slow.memory / slowWindow;
    auto fastCpu = m_fast.cpu / fastWindow;
    auto fastMemory = m_fast.memory / fastWindow;
    if (m_fast.jobs >= trendJobs) {
        cpu = withTrend(fastCpu, cpu);
        memory = withTrend(fastMemory, memory);
    } else if (m_isRising) {
        cpu = std::max(cpu, fastCpu);
        memory = std::max(memory, fastMemory);
    }
    return { static_cast<int64_t>(cpu), static_cast<int64_t>(memory), 0 };
}

} // namespace vanillalift::jobs
