#include "best_effort_share_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Fractions of a latency bound above which best-effort tasks are throttled, and below which they are sped up.
    constexpr double decreaseAbove = 0.8;
    constexpr double increaseBelow = 0.6;
    /// Speed increase per status report; one arrives about once a second.
    constexpr uint32_t increasePercent = 15;

} // namespace

uint32_t nextBestEffortPercent(uint32_t percent, std::span<const TailLatency> latencies)
{
    double worst = 0;
    for (const auto& it : latencies) {
        if (it.latencyTargetMs != 0)
            worst = std::max(worst, static_cast<double>(it.tailLatencyMs) / it.latencyTargetMs);
    }
    if (worst > 1)
        return 0;
    if (worst > decreaseAbove)
        return percent / 2;
    return worst < increaseBelow ? std::min<uint32_t>(100, percent + increasePercent) : percent;
}

} // namespace vanillalift::jobs
