#include "pool_plan_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Share of an instance's capacity that tasks of mixed sizes can use.
    constexpr double packingEfficiency = 0.85;
    /// The arrivals of this period count as runnable, since an instance takes as long to move.
    constexpr double arrivalLookaheadSeconds = 1.5;
    /// Instances that a pool keeps in addition to its need, for failures and short peaks.
    constexpr double reserveInstances = 1;
    /// An instance becomes spare after this idle time. The two moves cost as much as about two seconds in a pool.
    constexpr std::chrono::milliseconds idleBeforeSpare { 1200 };
    /// A pool gives up an instance only if its surplus stays at least this, since demand fluctuates by as much.
    constexpr double surplusMargin = 0.5;

    /// Limit on the instances added at a time for waiting long-running tasks: they may wait for their workspace's limit, where
    /// more instances do not help.
    constexpr size_t maxInstancesForWaiting = 8;

    /// A peak may be starting while the demand of a pool rises and is at least this many instances and this share of the fleet.
    constexpr double minPeakInstances = 2;
    constexpr double minPeakFleetShare = 0.04;

    bool isPeakStarting(std::span<const Pool> pools, size_t fleetSize)
    {
        auto threshold = std::max(minPeakInstances, minPeakFleetShare * static_cast<double>(fleetSize));
        return std::any_of(pools.begin(), pools.end(), [&](const Pool& it) { return it.load.isRising && it.load.arriving >= threshold; });
    }

    struct Balance {
        double desired = 0;
        size_t present = 0;
        size_t draining = 0;

        [[nodiscard]] double surplus() const { return static_cast<double>(present) - static_cast<double>(draining) - desired; }
    };

} // namespace

double desiredInstances(const PoolLoad& load)
{
    auto work = std::max(load.arriving, load.backlogSeconds / std::max(load.backlogTargetSeconds, 0.1));
    // Steps that wait for other steps and workspaces at their limits cannot use further instances.
    work = std::min(work, load.runnable + load.arriving * arrivalLookaheadSeconds);
    auto busy = load.reservedByLongRunning + work;
    auto desired = busy > 0 ? std::ceil(busy / packingEfficiency + reserveInstances) : reserveInstances;
    return desired + (load.waitingLongRunningTasks > 0 ? reserveInstances : 0);
}

PoolActions planPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, bool mayBecomeSpare, TimePoint now)
{
    PoolActions actions;
    std::vector<Balance> balance(pools.size());
    std::optional<size_t> sparePool;
    for (size_t n = 0; n < pools.size(); n++) {
        balance[n].desired = pools[n].isSpare ? 0 : desiredInstances(pools[n].load);
        if (pools[n].isSpare)
            sparePool = n;
    }
    std::vector<double> movingIn(pools.size());
    for (const auto& it : instances) {
        balance[it.pool].present += it.isUnavailable ? 0 : 1;
        balance[it.pool].draining += it.isDrainingForMove && !it.isUnavailable ? 1 : 0;
        movingIn[it.pool] += it.isMovingIn ? 1 : 0;
    }
    // Waiting long-running tasks fit on none of the pool's instances, however low their load: tasks of a step can require
    // separate instances.
    for (size_t n = 0; n < pools.size(); n++) {
        if (pools[n].isSpare || pools[n].load.waitingLongRunningTasks == 0)
            continue;
        auto settled = static_cast<double>(balance[n].present) - static_cast<double>(balance[n].draining) - movingIn[n];
        balance[n].desired = std::max(balance[n].desired, settled + static_cast<double>(std::min(pools[n].load.waitingLongRunningTasks, maxInstancesForWaiting)));
    }
    std::vector<bool> isTaken(instances.size(), false);
    // A pool whose demand has returned keeps the instances that it was about to give up.
    for (size_t n = 0; n < instances.size(); n++) {
        if (instances[n].isDrainingForMove && balance[instances[n].pool].surplus() < 0) {
            actions.cancelDrain.push_back(n);
            balance[instances[n].pool].draining--;
            isTaken[n] = true;
        }
    }

    // The pool with the largest relative shortage is served first.
    while (true) {
        size_t neediest = pools.size();
        double worstShortage = 0;
        for (size_t n = 0; n < pools.size(); n++) {
            auto shortage = -balance[n].surplus() / std::max(balance[n].desired, 1.0);
            if (!pools[n].isSpare && -balance[n].surplus() >= 1 && shortage > worstShortage) {
                worstShortage = shortage;
                neediest = n;
            }
        }
        if (neediest == pools.size())
            break;
        std::optional<size_t> chosen;
        double bestRank = 0;
        for (size_t n = 0; n < instances.size(); n++) {
            const auto& it = instances[n];
            bool isUsable = !isTaken[n] && it.isIdle && !it.isPinned && !it.isMovingIn && it.pool != neediest;
            bool mayGo = it.isDrainingForMove || pools[it.pool].isSpare || balance[it.pool].surplus() >= 1 + surplusMargin;
            if (!isUsable || !mayGo)
                continue;
            // Instances that are already billed are moved before spare ones.
            double rank = pools[it.pool].isSpare ? 1 : 2 + balance[it.pool].surplus();
            if (!chosen || rank > bestRank) {
                chosen = n;
                bestRank = rank;
            }
        }
        if (!chosen)
            break;
        const auto& it = instances[*chosen];
        isTaken[*chosen] = true;
        if (it.isDrainingForMove)
            balance[it.pool].draining--;
        balance[it.pool].present--;
        balance[neediest].present++;
        actions.moves.push_back({ *chosen, neediest });
    }

    // Busy instances of pools with a surplus are drained while other pools still have a shortage.
    double totalShortage = 0;
    for (size_t n = 0; n < pools.size(); n++)
        totalShortage += pools[n].isSpare ? 0 : std::max(0.0, -balance[n].surplus());
    for (const auto& it : instances)
        totalShortage -= it.isDrainingForMove ? 1 : 0;
    while (totalShortage >= 1) {
        std::optional<size_t> chosen;
        for (size_t n = 0; n < instances.size(); n++) {
            const auto& it = instances[n];
            bool mayLeave = !isTaken[n] && !it.isPinned && !it.isMovingIn && !it.isDrainingForMove && !it.isIdle && !pools[it.pool].isSpare && balance[it.pool].surplus() >= 1 + surplusMargin;
            if (mayLeave && (!chosen || it.load < instances[*chosen].load))
                chosen = n;
        }
        if (!chosen)
            break;
        isTaken[*chosen] = true;
        balance[instances[*chosen].pool].draining++;
        actions.drainForMove.push_back(*chosen);
        totalShortage--;
    }

    // The pool in its peak may need every idle instance next: one that becomes spare first arrives there after two moves.
    if (!sparePool || !mayBecomeSpare || isPeakStarting(pools, instances.size()))
        return actions;
    for (size_t n = 0; n < instances.size(); n++) {
        const auto& it = instances[n];
        bool canBecomeSpare = !isTaken[n] && it.isIdle && !it.isPinned && !it.isMovingIn && !pools[it.pool].isSpare && !pools[it.pool].load.isRising && now - it.idleSince >= idleBeforeSpare;
        if (!canBecomeSpare || balance[it.pool].surplus() < 1)
            continue;
        balance[it.pool].present--;
        actions.moves.push_back({ n, *sparePool });
    }
    return actions;
}

} // namespace vanillalift::jobs
