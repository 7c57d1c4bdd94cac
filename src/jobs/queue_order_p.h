#pragma once

#include <vanillalift/clock.h>

#include <cstdint>
#include <span>
#include <vector>

namespace vanillalift::jobs {

/// A job with tasks to place, as the order of service sees it.
struct SchedulableJob {
    uint64_t serial = 0;
    /// Priority of the queue, 0 first.
    int priority = 0;
    bool isLongRunning = false;
    bool hasStarted = false;
    /// By when it has to complete to count in full.
    TimePoint objectiveAt;
    /// By when it has to complete to count at all.
    TimePoint expiresAt;
    /// Estimates of what is left, in milliseconds; work in milliseconds of a whole core.
    double criticalPathMs = 0;
    double workMs = 0;
    /// Work of the whole job compared with the mean of its queue.
    double relativeSize = 1;
    /// Capacity that its workspace uses, by what its weight gives it among the workspaces with work: 1 for just that, 2 for
    /// twice as much. A workspace beyond its share comes later by as much; one below it gains nothing.
    double fairShareRatio = 0;
};

/// Orders jobs for a pool that may not have room for all of them:
/// lasting jobs; then those that can still meet their objective, the most worth for the remaining work first; then those
/// that can still complete before they count for nothing; then the rest. A job whose time runs out soonest goes first
/// among equals, and work that has begun is finished before more is begun.
std::vector<uint64_t> orderJobs(std::span<const SchedulableJob> jobs, TimePoint now);

} // namespace vanillalift::jobs
