#include "queue_order_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    enum class Tier : uint8_t {
        Lasting,
        OnTime,
        Late,
        Expired,
        TierCount,
    };

    /// A job is worth this part for being served at all, and the rest by its size up to a bound.
    constexpr double baseWorth = 0.3;
    constexpr double sizeWorth = 0.7;
    constexpr double maxWorth = 4;
    /// Begun jobs count as this much more valuable for their remaining work.
    constexpr double begunFactor = 3;
    /// Estimates are off by about a fifth: a job counts as able to finish in time with this much less.
    constexpr double estimateTolerance = 0.8;

    struct Ranked {
        uint64_t serial = 0;
        Tier tier = Tier::Expired;
        int priority = 0;
        double value = 0;
        TimePoint objectiveAt;
    };

    Tier tierOf(const SchedulableJob& job, TimePoint now)
    {
        if (job.isLongRunning)
            return Tier::Lasting;
        auto endsAt = now + std::chrono::microseconds(static_cast<int64_t>(job.criticalPathMs * estimateTolerance * 1000));
        if (endsAt <= job.objectiveAt)
            return Tier::OnTime;
        return endsAt <= job.expiresAt ? Tier::Late : Tier::Expired;
    }

    /// Worth per remaining work.
    double valueOf(const SchedulableJob& job)
    {
        auto worth = std::min(baseWorth + sizeWorth * job.relativeSize, maxWorth);
        auto value = worth / std::max(job.workMs, 1.0);
        return job.hasStarted ? value * begunFactor : value;
    }

} // namespace

std::vector<uint64_t> orderJobs(std::span<const SchedulableJob> jobs, TimePoint now)
{
    std::vector<Ranked> ranked;
    ranked.reserve(jobs.size());
    for (const auto& it : jobs)
        ranked.push_back({ it.serial, tierOf(it, now), it.priority, valueOf(it) / std::max(1.0, it.fairShareRatio), it.objectiveAt });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
        if (left.tier != right.tier)
            return left.tier < right.tier;
        if (left.priority != right.priority)
            return left.priority < right.priority;
        if (left.value != right.value)
            return left.value > right.value;
        return left.objectiveAt != right.objectiveAt ? left.objectiveAt < right.objectiveAt : left.serial < right.serial;
    });
    std::vector<uint64_t> order;
    order.reserve(ranked.size());
    for (const auto& it : ranked)
        order.push_back(it.serial);
    return order;
}

} // namespace vanillalift::jobs
