#pragma once

#include "jobs/job_store_p.h"

#include <vanillalift/clock.h>

namespace vanillalift::jobs {

/// Remaining and total work of a job, from the run times that are expected of its tasks.
struct JobEstimate {
    /// Sum over the tasks that are not done, in core-milliseconds.
    double workMs = 0;
    /// Critical path over the steps that are not done, in milliseconds.
    double criticalPathMs = 0;
    /// Sum over the tasks that are not done, in megabyte-milliseconds.
    double memoryMs = 0;
    /// The same for the whole job, including what is done.
    double totalMemoryMs = 0;
    double totalWorkMs = 0;
    double totalCriticalPathMs = 0;
};

/// @param occurrence index from 0.
/// @param runTimes what was learned about run times; nullptr to rely on declarations alone.
JobEstimate estimateJob(const Job& job, uint32_t occurrence, const RunTimeModel* runTimes = nullptr);

/// @returns the time from submission within which a job of the queue should complete.
Duration latencyObjective(const Queue& queue, const JobEstimate& estimate);

} // namespace vanillalift::jobs
