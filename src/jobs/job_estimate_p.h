#pragma once

#include "job_store_p.h"

#include <vanillalift/clock.h>

namespace vanillalift::jobs {

/// What is left of a job, from its tasks' declared run times.
struct JobEstimate {
    /// Sum over the tasks that are not done, in milliseconds of a whole core.
    double workMs = 0;
    /// Longest chain of steps that are not done, in milliseconds.
    double criticalPathMs = 0;
    /// The same for memory, in milliseconds of a megabyte.
    double memoryMs = 0;
    /// Work and chain of the whole job.
    double totalMemoryMs = 0;
    double totalWorkMs = 0;
    double totalCriticalPathMs = 0;
};

/// @param occurrence counted from 0.
JobEstimate estimateJob(const Job& job, uint32_t occurrence);

/// @returns the time from hand-in within which the queue wants the job to complete.
Duration latencyObjective(const Queue& queue, const JobEstimate& estimate);

} // namespace vanillalift::jobs
