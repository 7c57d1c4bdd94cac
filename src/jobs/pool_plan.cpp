#include "pool_plan_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Part of an instance that tasks of mixed sizes fill.
    constexpr double packing = 0.85;
    /// Arrivals of this many seconds are counted as runnable: an instance takes as long to move.
    constexpr double arrivalsAhead = 1.5;
    /// Instances kept beyond the need of a pool that has work, against failures and short peaks.
    constexpr double reserve = 1;
    /// An idle instance becomes spare after this time: two moves cost as much as about two seconds in a pool.
    constexpr std::chrono::milliseconds idleBeforeSpare { 1200 };
    /// A pool gives instances away once it has this many more than it wants: demand moves by itself as much.
    constexpr double surplusMargin = 0.5;

    /// Instances taken at a time for lasting tasks that wait: they may wait for their workspace's limit, which no instance
    /// changes.
    constexpr size_t mostForWaiting = 8;

    struct Balance {
        double wanted = 0;
        size_t present = 0;
        size_t leaving = 0;

        [[nodiscard]] double surplus() const { return static_cast<double>(present) - static_cast<double>(leaving) - wanted; }
    };

} // namespace

double instancesWanted(const PoolLoad& load)
{
    auto work = std::max(load.arriving, load.backlogSeconds / std::max(load.backlogWithin, 0.1));
    // Steps that wait for others, and workspaces at their limits, use no further instances.
    work = std::min(work, load.runnable + load.arriving * arrivalsAhead);
    auto busy = load.reservedByLongRunning + work;
    auto wanted = busy > 0 ? std::ceil(busy / packing + reserve) : reserve;
    return wanted + (load.waitingLongRunningTasks > 0 ? reserve : 0);
}

PoolSteps planPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, bool mayRest, TimePoint now)
{
    PoolSteps steps;
    std::vector<Balance> balance(pools.size());
    std::optional<size_t> sparePool;
    for (size_t n = 0; n < pools.size(); n++) {
        balance[n].wanted = pools[n].isSpare ? 0 : instancesWanted(pools[n].load);
        if (pools[n].isSpare)
            sparePool = n;
    }
    std::vector<double> arriving(pools.size());
    for (const auto& it : instances) {
        balance[it.pool].present += it.isAway ? 0 : 1;
        balance[it.pool].leaving += it.isLeaving && !it.isAway ? 1 : 0;
        arriving[it.pool] += it.isArriving ? 1 : 0;
    }
    // Lasting tasks that wait fit on none of the instances there, however little these are used: tasks of a step stay apart.
    for (size_t n = 0; n < pools.size(); n++) {
        if (pools[n].isSpare || pools[n].load.waitingLongRunningTasks == 0)
            continue;
        auto settled = static_cast<double>(balance[n].present) - static_cast<double>(balance[n].leaving) - arriving[n];
        balance[n].wanted = std::max(balance[n].wanted, settled + static_cast<double>(std::min(pools[n].load.waitingLongRunningTasks, mostForWaiting)));
    }
    std::vector<bool> isTaken(instances.size(), false);
    // A pool whose demand has come back keeps what it was about to give away.
    for (size_t n = 0; n < instances.size(); n++) {
        if (instances[n].isLeaving && balance[instances[n].pool].surplus() < 0) {
            steps.keep.push_back(n);
            balance[instances[n].pool].leaving--;
            isTaken[n] = true;
        }
    }

    // The pool that lacks the largest share of what it wants is served first.
    while (true) {
        size_t neediest = pools.size();
        double worst = 0;
        for (size_t n = 0; n < pools.size(); n++) {
            auto lack = -balance[n].surplus() / std::max(balance[n].wanted, 1.0);
            if (!pools[n].isSpare && -balance[n].surplus() >= 1 && lack > worst) {
                worst = lack;
                neediest = n;
            }
        }
        if (neediest == pools.size())
            break;
        std::optional<size_t> chosen;
        double best = 0;
        for (size_t n = 0; n < instances.size(); n++) {
            const auto& it = instances[n];
            bool isUsable = !isTaken[n] && it.isIdle && !it.isFixed && !it.isArriving && it.pool != neediest;
            bool mayGo = it.isLeaving || pools[it.pool].isSpare || balance[it.pool].surplus() >= 1 + surplusMargin;
            if (!isUsable || !mayGo)
                continue;
            // An instance that is paid for moves before one that is off.
            double rank = pools[it.pool].isSpare ? 1 : 2 + balance[it.pool].surplus();
            if (!chosen || rank > best) {
                chosen = n;
                best = rank;
            }
        }
        if (!chosen)
            break;
        const auto& it = instances[*chosen];
        isTaken[*chosen] = true;
        if (it.isLeaving)
            balance[it.pool].leaving--;
        balance[it.pool].present--;
        balance[neediest].present++;
        steps.moves.push_back({ *chosen, neediest });
    }

    // Busy instances of pools with a surplus are emptied while another pool still lacks instances.
    double lacking = 0;
    for (size_t n = 0; n < pools.size(); n++)
        lacking += pools[n].isSpare ? 0 : std::max(0.0, -balance[n].surplus());
    for (const auto& it : instances)
        lacking -= it.isLeaving ? 1 : 0;
    while (lacking >= 1) {
        std::optional<size_t> chosen;
        for (size_t n = 0; n < instances.size(); n++) {
            const auto& it = instances[n];
            bool mayLeave = !isTaken[n] && !it.isFixed && !it.isArriving && !it.isLeaving && !it.isIdle && !pools[it.pool].isSpare && balance[it.pool].surplus() >= 1 + surplusMargin;
            if (mayLeave && (!chosen || it.load < instances[*chosen].load))
                chosen = n;
        }
        if (!chosen)
            break;
        isTaken[*chosen] = true;
        balance[instances[*chosen].pool].leaving++;
        steps.release.push_back(*chosen);
        lacking--;
    }

    if (!sparePool || !mayRest)
        return steps;
    for (size_t n = 0; n < instances.size(); n++) {
        const auto& it = instances[n];
        bool isResting = !isTaken[n] && it.isIdle && !it.isFixed && !it.isArriving && !pools[it.pool].isSpare && !pools[it.pool].load.isRising && now - it.idleSince >= idleBeforeSpare;
        if (!isResting || balance[it.pool].surplus() < 1)
            continue;
        balance[it.pool].present--;
        steps.moves.push_back({ n, *sparePool });
    }
    return steps;
}

} // namespace vanillalift::jobs
