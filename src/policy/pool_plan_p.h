#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillalift::jobs {

/// Load of a pool in units of one instance: a value of 2 keeps two instances busy.
struct PoolLoad {
    /// Used by long-running tasks, which are not moved between pools.
    double reservedByLongRunning = 0;
    /// Number of long-running tasks that wait for placement because they fit on none of the pool's instances.
    size_t waitingLongRunningTasks = 0;
    /// Used by other running tasks, and by these together with the tasks that are ready to run.
    double running = 0;
    double runnable = 0;
    /// Needed by tasks that only their workspaces' limits hold back; more instances do not help them.
    double limited = 0;
    /// Arriving work, averaged over about a second, or the forecast if that is higher.
    double arriving = 0;
    /// Demand started to rise recently and may still grow, so idle instances are kept.
    bool isRising = false;
    /// Accepted work that is not done, in instance-seconds.
    double backlogSeconds = 0;
    /// Time in which the backlog has to complete for its jobs to be on time, in seconds.
    double backlogTargetSeconds = 1;
    /// Mean latency objective of the pool's jobs, in seconds; 0 if it has none.
    double objectiveSeconds = 0;
};

/// An instance in the input of planPools().
struct PoolInstance {
    std::string name;
    /// Index of its pool.
    size_t pool = 0;
    /// It is spare, or its endpoint has confirmed that it has no runs.
    bool isIdle = false;
    /// It must not move: it runs long-running tasks, is drained or down for a maintenance wave, or is not known to be up.
    bool isPinned = false;
    /// Not usable by its pool, for example because it is down for maintenance or drained for it.
    bool isUnavailable = false;
    /// Its move into the pool is planned or in progress.
    bool isMovingIn = false;
    /// It is drained in order to move to another pool.
    bool isDrainingForMove = false;
    /// Share of its capacity in use.
    double load = 0;
    /// Since when it has been idle.
    TimePoint idleSince;
    /// When its last move into the pool ended; the epoch if it was not moved in this term.
    TimePoint movedAt {};
};

struct Pool {
    std::string name;
    /// Instances of a spare pool are switched off and not billed.
    bool isSpare = false;
    PoolLoad load;
};

struct PoolMove {
    size_t instance = 0;
    size_t pool = 0;
    /// In scarcity: demand per instance that the target pool and the present pool would be left with. 0 otherwise.
    double savedThere = 0;
    double savedHere = 0;
};

struct PoolActions {
    std::vector<PoolMove> moves;
    /// Instances to drain so that they can move.
    std::vector<size_t> drainForMove;
    /// Instances that were drained for a move and stay in their pool.
    std::vector<size_t> cancelDrain;
    /// In scarcity: the number of instances that each pool is to have. Empty while there is no scarcity.
    std::vector<size_t> shares;
};

/// How instances are divided while pools together want more than there are.
struct ScarcityRules {
    /// Without it, instances leave only pools that have more than they want.
    bool isEnabled = false;
    /// How long an instance that moves is of no use to any pool.
    Duration moveTime = std::chrono::seconds(2);
    /// How long a busy instance usually takes to finish what it runs.
    Duration drainTime = std::chrono::seconds(1);
};

/// @returns the number of instances that the pool needs, its reserve included.
double desiredInstances(const PoolLoad& load);

/// Plans moves of instances between pools whose demand peaks at different times. Pools with a shortage get idle instances
/// from pools with a surplus, or else from the spare pool; instances that stay idle move to the spare pool, unless a peak is
/// starting in some pool. Instances with long-running tasks are not moved.
/// While pools together want more instances than there are, each gets a share of them by its demand, and an instance moves if
/// it saves more in the other pool.
/// @param mayBecomeSpare whether idle instances may move to the spare pool.
PoolActions planPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, bool mayBecomeSpare, TimePoint now, const ScarcityRules& rules = {});

} // namespace vanillalift::jobs
