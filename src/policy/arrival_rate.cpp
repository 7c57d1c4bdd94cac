#include "arrival_rate_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Time constants of the two averages, in seconds.
    constexpr double slowTimeConstant = 0.8;
    constexpr double fastTimeConstant = 0.3;
    /// Demand counts as rising for this time after an onset.
    constexpr std::chrono::milliseconds risingTime { 2500 };
    /// Demand has an onset if the fast average exceeds this many thousandths of a core and this multiple of the slow average.
    constexpr double onsetRate = 8000;
    constexpr double onsetGrowth = 1.4;
    /// With fewer jobs in the fast average, a trend cannot be told from random variation or a single large job.
    constexpr double minTrendJobs = 8;
    /// Demand has a trend while the fast average exceeds the slow one by this factor. Random variation alone makes a difference
    /// of a tenth.
    constexpr double trendGrowth = 1.15;
    /// Half seconds of a trend to extrapolate: during a steady rise, the averages differ by what the rise adds in half a second.
    /// An instance takes 1.5 s to move, but extrapolating over all of it would amplify random variation.
    constexpr double trendSteps = 2;

    double withTrend(double fast, double slow) { return fast > slow * trendGrowth ? fast + trendSteps * (fast - slow) : std::max(fast, slow); }

} // namespace

void ArrivalRate::advance(TimePoint now)
{
    auto seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    auto decay = [seconds](Average& average, double timeConstant) {
        auto factor = std::exp(-seconds / timeConstant);
        average.cpu *= factor;
        average.memory *= factor;
        average.jobs *= factor;
    };
    decay(m_slowAverage, slowTimeConstant);
    decay(m_fastAverage, fastTimeConstant);
    m_updatedAt = now;
    auto fastRate = m_fastAverage.cpu / fastTimeConstant;
    auto slowRate = m_slowAverage.cpu / slowTimeConstant;
    if (!m_isRising && fastRate > onsetRate && fastRate > slowRate * onsetGrowth && now - m_onsetAt > 2 * risingTime)
        m_onsetAt = now;
    m_isRising = now - m_onsetAt < risingTime;
}

void ArrivalRate::add(double cpuMs, double memorySeconds, TimePoint now)
{
    advance(now);
    for (auto* it : { &m_slowAverage, &m_fastAverage }) {
        it->cpu += cpuMs;
        it->memory += memorySeconds;
        it->jobs++;
    }
}

Resources ArrivalRate::rate() const
{
    auto cpu = m_slowAverage.cpu / slowTimeConstant;
    auto memory = m_slowAverage.memory / slowTimeConstant;
    auto fastCpu = m_fastAverage.cpu / fastTimeConstant;
    auto fastMemory = m_fastAverage.memory / fastTimeConstant;
    if (m_fastAverage.jobs >= minTrendJobs) {
        cpu = withTrend(fastCpu, cpu);
        memory = withTrend(fastMemory, memory);
    } else if (m_isRising) {
        cpu = std::max(cpu, fastCpu);
        memory = std::max(memory, fastMemory);
    }
    return { static_cast<int64_t>(cpu), static_cast<int64_t>(memory), 0 };
}

} // namespace vanillalift::jobs
