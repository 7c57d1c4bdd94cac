#include "best_effort_share_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Shares of a bound: above the first, tasks that fill are slowed; below the second, they are sped up.
    constexpr double nearBound = 0.8;
    constexpr double farFromBound = 0.6;
    /// Percent by which they are sped up at a time. A status comes about once a second.
    constexpr uint32_t speedUp = 15;

} // namespace

uint32_t nextBestEffortPercent(uint32_t percent, std::span<const TailLatency> serving)
{
    double worst = 0;
    for (const auto& it : serving) {
        if (it.latencyTargetMs != 0)
            worst = std::max(worst, static_cast<double>(it.tailLatencyMs) / it.latencyTargetMs);
    }
    if (worst > 1)
        return 0;
    if (worst > nearBound)
        return percent / 2;
    return worst < farFromBound ? std::min<uint32_t>(100, percent + speedUp) : percent;
}

} // namespace vanillalift::jobs
