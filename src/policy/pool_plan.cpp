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

    /// The demand of a pool is expected to last at least, and at most, this many times as long as a move takes.
    constexpr double minLastingMoves = 2;
    constexpr double maxLastingMoves = 8;
    /// While a pool's backlog grows, its demand is expected to last at least this many times as long as a move takes.
    constexpr double growingLastingMoves = 3;
    /// An instance that has just moved stays for this many times as long as the move takes.
    constexpr double stayMoves = 2;

    struct Balance {
        double desired = 0;
        size_t present = 0;
        size_t draining = 0;
        /// Instances that cannot leave the pool.
        size_t pinned = 0;
        /// Instances for long-running tasks, while some wait.
        double forLongRunning = 0;

        [[nodiscard]] double surplus() const { return static_cast<double>(present) - static_cast<double>(draining) - desired; }
    };

    bool hasWork(const PoolLoad& load) { return load.arriving > 0 || load.runnable > 0 || load.backlogSeconds > 0 || load.waitingLongRunningTasks > 0; }

    /// @returns the instances that the pool's long-running tasks need, which are owed whatever other pools want.
    size_t dedicatedInstances(const PoolLoad& load)
    {
        return static_cast<size_t>(std::ceil(load.reservedByLongRunning / packingEfficiency)) + std::min(load.waitingLongRunningTasks, maxInstancesForWaiting);
    }

    /// Divides instances among pools that together want more than there are.
    class ScarcityPlanner {
    public:
        ScarcityPlanner(std::span<const Pool> pools, std::span<const PoolInstance> instances, std::vector<Balance>& balance, TimePoint now, const ScarcityRules& rules)
            : m_pools(pools)
            , m_instances(instances)
            , m_balance(balance)
            , m_now(now)
            , m_rules(rules)
        {
        }

        PoolActions plan()
        {
            divide();
            cancelDrains();
            sortCandidates();
            moveIdle();
            drainBusy();
            return std::move(m_actions);
        }

    private:
        /// What one more instance than @p n saves the callers of a pool: its demand, in equal parts per instance.
        [[nodiscard]] double saved(size_t pool, size_t n) const { return m_balance[pool].desired / (static_cast<double>(n) + 1); }
        [[nodiscard]] static double seconds(Duration it) { return std::chrono::duration<double>(it).count(); }
        [[nodiscard]] size_t staying(size_t pool) const { return m_balance[pool].present - m_balance[pool].draining; }

        void divide()
        {
            auto& shares = m_actions.shares;
            shares.assign(m_pools.size(), 0);
            size_t left = 0;
            for (const auto& it : m_balance)
                left += it.present;
            for (size_t n = 0; n < m_pools.size(); n++) {
                if (m_pools[n].isSpare)
                    continue;
                // One instance at least, so that no pool with work starves, and room for long-running tasks: a wave waits for them.
                auto waiting = static_cast<size_t>(std::max(0.0, m_balance[n].forLongRunning));
                auto least = std::max<size_t>({ m_balance[n].pinned, waiting, dedicatedInstances(m_pools[n].load), hasWork(m_pools[n].load) ? 1U : 0U });
                shares[n] = std::min(left, least);
                left -= shares[n];
            }
            m_least = shares;
            for (; left > 0; left--) {
                std::optional<size_t> best;
                for (size_t n = 0; n < m_pools.size(); n++) {
                    bool isWanted = !m_pools[n].isSpare && static_cast<double>(shares[n]) < m_balance[n].desired;
                    if (isWanted && (!best || saved(n, shares[n]) > saved(*best, shares[*best])))
                        best = n;
                }
                if (!best)
                    return;
                shares[*best]++;
            }
        }

        /// @param lost time that the instance is of no use, in seconds.
        [[nodiscard]] bool isWorthMoving(size_t from, size_t to, double lost) const
        {
            if (m_pools[from].isSpare || staying(to) < m_least[to])
                return true;
            const auto& load = m_pools[to].load;
            auto lasting = load.backlogSeconds / static_cast<double>(staying(to));
            bool isGrowing = load.isRising || load.arriving > static_cast<double>(staying(to));
            auto shortest = isGrowing ? growingLastingMoves : minLastingMoves;
            auto move = std::max(0.1, seconds(m_rules.moveTime));
            lasting = std::clamp(lasting, shortest * move, maxLastingMoves * move);
            // What waits longer than the objective is late when it ends, wherever instances go now.
            if (load.objectiveSeconds > 0)
                lasting = std::min(lasting, load.objectiveSeconds);
            return saved(to, staying(to)) * (1 - lost / lasting) > saved(from, staying(from) - 1);
        }

        [[nodiscard]] bool isSettling(const PoolInstance& it) const
        {
            const auto& balance = m_balance[it.pool];
            bool isNeeded = hasWork(m_pools[it.pool].load) && static_cast<double>(staying(it.pool)) <= balance.desired;
            return isNeeded && it.movedAt != TimePoint {} && m_now - it.movedAt < std::chrono::duration<double>(m_rules.moveTime) * stayMoves;
        }

        void cancelDrains()
        {
            for (size_t n = 0; n < m_instances.size(); n++) {
                const auto& it = m_instances[n];
                bool isNeeded = staying(it.pool) < m_actions.shares[it.pool] || m_pools[it.pool].load.waitingLongRunningTasks > 0;
                if (!it.isDrainingForMove || it.isUnavailable || !isNeeded)
                    continue;
                m_actions.cancelDrain.push_back(n);
                m_balance[it.pool].draining--;
                m_isKept.resize(m_instances.size(), false);
                m_isKept[n] = true;
            }
        }

        void sortCandidates()
        {
            m_isKept.resize(m_instances.size(), false);
            m_idle.resize(m_pools.size());
            m_busy.resize(m_pools.size());
            for (size_t n = 0; n < m_instances.size(); n++) {
                const auto& it = m_instances[n];
                if (m_isKept[n] || it.isPinned || it.isMovingIn || it.isUnavailable)
                    continue;
                if (it.isDrainingForMove) {
                    if (it.isIdle)
                        m_drained.push_back(n);
                } else if (!isSettling(it)) {
                    (it.isIdle ? m_idle : m_busy)[it.pool].push_back(n);
                }
            }
            // Taken from the end: the least loaded first.
            for (auto& it : m_busy)
                std::sort(it.begin(), it.end(), [&](size_t a, size_t b) { return m_instances[a].load > m_instances[b].load; });
        }

        [[nodiscard]] std::optional<size_t> neediest() const
        {
            std::optional<size_t> found;
            for (size_t n = 0; n < m_pools.size(); n++) {
                if (m_pools[n].isSpare || m_hasNoDonor[n] || staying(n) >= m_actions.shares[n])
                    continue;
                bool isBelow = staying(n) < m_least[n];
                bool isFoundBelow = found && staying(*found) < m_least[*found];
                if (!found || (isBelow != isFoundBelow ? isBelow : saved(n, staying(n)) > saved(*found, staying(*found))))
                    found = n;
            }
            return found;
        }

        /// @returns the pool in which an instance of @p candidates is missed least.
        [[nodiscard]] std::optional<size_t> donor(const std::vector<std::vector<size_t>>& candidates, size_t to, double lost) const
        {
            std::optional<size_t> found;
            for (size_t n = 0; n < m_pools.size(); n++) {
                // Long-running tasks that wait may fit on an instance as soon as its other runs have ended.
                bool isOversupplied = m_pools[n].isSpare || (staying(n) > m_actions.shares[n] && m_pools[n].load.waitingLongRunningTasks == 0);
                if (n == to || candidates[n].empty() || !isOversupplied || !isWorthMoving(n, to, lost))
                    continue;
                // Instances that are already billed are moved before spare ones.
                bool isBetter = !found || m_pools[*found].isSpare || (!m_pools[n].isSpare && saved(n, staying(n) - 1) < saved(*found, staying(*found) - 1));
                if (isBetter)
                    found = n;
            }
            return found;
        }

        void move(size_t instance, size_t to)
        {
            const auto& it = m_instances[instance];
            auto& from = m_balance[it.pool];
            if (it.isDrainingForMove)
                from.draining--;
            from.present--;
            m_actions.moves.push_back({ instance, to, saved(to, staying(to)), saved(it.pool, staying(it.pool)) });
            m_balance[to].present++;
        }

        void moveIdle()
        {
            m_hasNoDonor.assign(m_pools.size(), false);
            while (auto to = neediest()) {
                if (!m_drained.empty()) {
                    auto instance = m_drained.back();
                    m_drained.pop_back();
                    // Its own pool may be the one that lacks instances now.
                    if (m_instances[instance].pool != *to) {
                        move(instance, *to);
                        continue;
                    }
                }
                auto from = donor(m_idle, *to, seconds(m_rules.moveTime));
                if (!from) {
                    m_hasNoDonor[*to] = true;
                    continue;
                }
                auto instance = m_idle[*from].back();
                m_idle[*from].pop_back();
                move(instance, *to);
            }
        }

        /// Busy instances finish what they run before they move.
        void drainBusy()
        {
            m_hasNoDonor.assign(m_pools.size(), false);
            size_t drained = 0;
            for (const auto& it : m_balance)
                drained += it.draining;
            while (auto to = neediest()) {
                // The instances that are drained already are for the neediest pools.
                if (drained > 0) {
                    drained--;
                    m_balance[*to].present++;
                    continue;
                }
                auto from = donor(m_busy, *to, seconds(m_rules.moveTime) + seconds(m_rules.drainTime));
                if (!from) {
                    m_hasNoDonor[*to] = true;
                    continue;
                }
                m_actions.drainForMove.push_back(m_busy[*from].back());
                m_busy[*from].pop_back();
                m_balance[*from].draining++;
                m_balance[*to].present++;
            }
        }

        std::span<const Pool> m_pools;
        std::span<const PoolInstance> m_instances;
        std::vector<Balance>& m_balance;
        TimePoint m_now;
        const ScarcityRules& m_rules;
        /// Instances that each pool gets whatever others want.
        std::vector<size_t> m_least;
        /// Pools for which no instance is worth moving.
        std::vector<bool> m_hasNoDonor;
        std::vector<bool> m_isKept;
        /// Instances that may leave, by pool: idle ones, busy ones from the most to the least loaded, and those that are drained.
        std::vector<std::vector<size_t>> m_idle;
        std::vector<std::vector<size_t>> m_busy;
        std::vector<size_t> m_drained;
        PoolActions m_actions;
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

PoolActions planPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, bool mayBecomeSpare, TimePoint now, const ScarcityRules& rules)
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
        balance[it.pool].pinned += it.isPinned && !it.isUnavailable ? 1 : 0;
        movingIn[it.pool] += it.isMovingIn ? 1 : 0;
    }
    // Waiting long-running tasks fit on none of the pool's instances, however low their load: tasks of a step can require
    // separate instances.
    for (size_t n = 0; n < pools.size(); n++) {
        if (pools[n].isSpare || pools[n].load.waitingLongRunningTasks == 0)
            continue;
        auto settled = static_cast<double>(balance[n].present) - static_cast<double>(balance[n].draining) - movingIn[n];
        balance[n].forLongRunning = settled + static_cast<double>(std::min(pools[n].load.waitingLongRunningTasks, maxInstancesForWaiting));
        balance[n].desired = std::max(balance[n].desired, balance[n].forLongRunning);
    }
    double wanted = 0;
    double available = 0;
    for (const auto& it : balance) {
        wanted += it.desired;
        available += static_cast<double>(it.present);
    }
    if (rules.isEnabled && wanted > available)
        return ScarcityPlanner(pools, instances, balance, now, rules).plan();
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
