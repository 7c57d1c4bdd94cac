#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillalift::jobs {

/// Work that a pool has to do, in units of one instance: a value of 2 keeps two instances busy.
struct PoolLoad {
    /// Held by lasting tasks, which stay.
    double reservedByLongRunning = 0;
    /// Lasting tasks that wait for a place: the pool's instances do not suit them.
    size_t waitingLongRunningTasks = 0;
    /// Used by other tasks now, and by all that could run now.
    double running = 0;
    double runnable = 0;
    /// Needed by tasks that wait for their workspaces' limits; more instances do not help them.
    double limited = 0;
    /// Work that arrives, averaged over about a second.
    double arriving = 0;
    /// Demand has begun a short while ago and may still grow: idle instances are kept.
    bool isRising = false;
    /// Work that is accepted and not done, in instance-seconds.
    double backlogSeconds = 0;
    /// Time within which the backlog has to be done for its jobs to be on time, in seconds.
    double backlogWithin = 1;
};

/// An instance as the plan of pools sees it.
struct PoolInstance {
    std::string name;
    /// Index of its pool.
    size_t pool = 0;
    /// It runs nothing, and nothing is placed there.
    bool isIdle = false;
    /// It runs lasting tasks, or is part of a maintenance wave that has not reached it, or its state is not settled.
    bool isFixed = false;
    /// Down for maintenance or being emptied for it: of no use to its pool for now.
    bool isAway = false;
    /// On its way into its pool.
    bool isArriving = false;
    /// Chosen to leave, and emptied for it.
    bool isLeaving = false;
    /// Share of its capacity in use.
    double load = 0;
    /// Since when it has been idle.
    TimePoint idleSince;
};

struct Pool {
    std::string name;
    /// Instances of a spare pool are off and cost nothing.
    bool isSpare = false;
    PoolLoad load;
};

struct PoolMove {
    size_t instance = 0;
    size_t pool = 0;
};

struct PoolSteps {
    std::vector<PoolMove> moves;
    /// Instances to empty, so that they can move.
    std::vector<size_t> release;
    /// Instances that no longer have to leave.
    std::vector<size_t> keep;
};

/// @returns instances that the pool needs.
double instancesWanted(const PoolLoad& load);

/// Plans moves of instances between pools, for queues whose demand peaks in turn: pools with more work than they have
/// instances for take idle instances of pools that need fewer, spare ones last, and instances that stay idle become spare.
/// Lasting tasks are not moved.
/// @param mayRest whether idle instances may become spare.
PoolSteps planPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, bool mayRest, TimePoint now);

} // namespace vanillalift::jobs
