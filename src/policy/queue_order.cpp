#include "queue_order_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    enum class Tier : uint8_t {
        Lasting,
        OnTime,
        OnTimeOverShare,
        Late,
        LateOverShare,
        OnTimeBeyondRate,
        LateBeyondRate,
        Expired,
        TierCount,
    };

    /// The value of a job is a fixed part plus a part proportional to its relative size, up to a limit.
    constexpr double baseValue = 0.3;
    constexpr double sizeValue = 0.7;
    constexpr double maxValue = 4;
    /// Below this part of its share, a workspace's jobs count no more.
    constexpr double minShareRatio = 0.5;
    /// Factor on the value density of started jobs.
    constexpr double startedFactor = 3;

    struct Ranked {
        uint64_t serial = 0;
        Tier tier = Tier::Expired;
        int priority = 0;
        double valueDensity = 0;
        TimePoint objectiveAt;
    };

    Tier tierOf(const SchedulableJob& job, TimePoint now)
    {
        if (job.isLongRunning)
            return Tier::Lasting;
        auto endsAt = now + std::chrono::microseconds(static_cast<int64_t>(job.criticalPathMs * estimateTolerance * 1000));
        if (endsAt <= job.objectiveAt)
            return job.isBeyondRate ? Tier::OnTimeBeyondRate : (job.isOverShare ? Tier::OnTimeOverShare : Tier::OnTime);
        if (endsAt <= job.expiresAt)
            return job.isBeyondRate ? Tier::LateBeyondRate : (job.isOverShare ? Tier::LateOverShare : Tier::Late);
        return Tier::Expired;
    }

    /// Value per core-millisecond of remaining work.
    double valueDensityOf(const SchedulableJob& job)
    {
        auto value = std::min(baseValue + sizeValue * job.relativeSize, maxValue);
        auto valueDensity = value / std::max(job.workMs, 1.0);
        return job.hasStarted ? valueDensity * startedFactor : valueDensity;
    }

} // namespace

std::vector<uint64_t> orderJobs(std::span<const SchedulableJob> jobs, TimePoint now)
{
    std::vector<Ranked> ranked;
    ranked.reserve(jobs.size());
    for (const auto& it : jobs)
        ranked.push_back({ it.serial, tierOf(it, now), it.priority, valueDensityOf(it) / std::max(minShareRatio, it.fairShareRatio), it.objectiveAt });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
        if (left.tier != right.tier)
            return left.tier < right.tier;
        if (left.priority != right.priority)
            return left.priority < right.priority;
        if (left.valueDensity != right.valueDensity)
            return left.valueDensity > right.valueDensity;
        return left.objectiveAt != right.objectiveAt ? left.objectiveAt < right.objectiveAt : left.serial < right.serial;
    });
    std::vector<uint64_t> order;
    order.reserve(ranked.size());
    for (const auto& it : ranked)
        order.push_back(it.serial);
    return order;
}

} // namespace vanillalift::jobs
