#pragma once

#include <vanillalift/clock.h>

#include <cstdint>
#include <span>
#include <vector>

namespace vanillalift::jobs {

/// A job that takes longer than this multiple of its latency objective has no value.
constexpr int expiryFactor = 3;
/// Estimates are off by about a fifth: a job is expected to finish in time if this fraction of its estimate fits.
constexpr double estimateTolerance = 0.8;

/// A job with tasks to place, with the properties that decide its rank.
struct SchedulableJob {
    uint64_t serial = 0;
    /// Priority of the queue; 0 is the highest.
    int priority = 0;
    bool isLongRunning = false;
    bool hasStarted = false;
    /// Latest completion time for the full value of the job.
    TimePoint objectiveAt;
    /// Completion after this time has no value.
    TimePoint expiresAt;
    /// Estimates of the remaining critical path in milliseconds and the remaining work in core-milliseconds.
    double criticalPathMs = 0;
    double workMs = 0;
    /// Work of the whole job relative to the mean of its queue.
    double relativeSize = 1;
    /// Capacity that the job's workspace uses relative to its weighted fair share among the workspaces with work: 1 for exactly
    /// its share, 2 for twice as much. The job's value is divided by the ratio; a workspace below its share counts at most twice.
    double fairShareRatio = 1;
    /// The workspace had submitted as much as agreed when it submitted the job.
    bool isBeyondRate = false;
    /// The workspace has used more than its share of the pool lately, while others wait.
    bool isOverShare = false;
};

/// Ranks jobs for a pool that may not have capacity for all of them: long-running jobs first; then those that can still meet
/// their objective; then those that can still complete before they expire; then jobs beyond their workspace's agreed rate, in the same
/// two groups; then those whose completion has no value. Jobs of a workspace above its share come last in either of the first two groups.
/// Within each group, the order is by priority, then by value per
/// remaining work, then by the earliest objective. Started jobs are preferred to new ones.
/// @returns the serial numbers, highest rank first.
std::vector<uint64_t> orderJobs(std::span<const SchedulableJob> jobs, TimePoint now);

} // namespace vanillalift::jobs
