#include "job_estimate_p.h"

#include <vanillalift/clock.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// A step of several tasks takes as long as its longest task, which exceeds the declared mean by about this factor.
    constexpr double longestTaskFactor = 1.3;

    struct StepTimes {
        double taskMs = 0;
        double longestTaskMs = 0;
    };

    StepTimes timesOf(const Job& job, uint32_t occurrence, uint32_t step, const RunTimeModel* runTimes)
    {
        const auto& spec = job.spec.steps[step];
        if (!runTimes || spec.isLongRunning)
            return { static_cast<double>(spec.estimateMs), spec.estimateMs * (spec.taskCount > 1 ? longestTaskFactor : 1) };
        auto key = job.runTimeKey(occurrence, step);
        return { runTimes->mean(key), runTimes->longest(key, spec.taskCount) };
    }

} // namespace

JobEstimate estimateJob(const Job& job, uint32_t occurrence, const RunTimeModel* runTimes)
{
    JobEstimate estimate;
    const auto& steps = job.spec.steps;
    std::vector<double> remaining(steps.size(), 0);
    std::vector<double> total(steps.size(), 0);
    for (size_t n = 0; n < steps.size(); n++) {
        const auto& step = steps[n];
        auto times = timesOf(job, occurrence, static_cast<uint32_t>(n), runTimes);
        double taskWork = times.taskMs * (static_cast<double>(step.need.cpu) / 1000);
        auto done = job.occurrences.empty() ? 0 : job.occurrences[occurrence].steps[n].doneCount;
        estimate.totalWorkMs += taskWork * step.taskCount;
        estimate.workMs += taskWork * (step.taskCount - done);
        auto taskMemory = times.taskMs * static_cast<double>(step.need.memory);
        estimate.totalMemoryMs += taskMemory * step.taskCount;
        estimate.memoryMs += taskMemory * (step.taskCount - done);
        // Steps depend on earlier steps only, so a single pass suffices.
        for (auto before : step.after) {
            remaining[n] = std::max(remaining[n], remaining[before]);
            total[n] = std::max(total[n], total[before]);
        }
        total[n] += times.longestTaskMs;
        remaining[n] += done == step.taskCount ? 0 : times.longestTaskMs;
        estimate.criticalPathMs = std::max(estimate.criticalPathMs, remaining[n]);
        estimate.totalCriticalPathMs = std::max(estimate.totalCriticalPathMs, total[n]);
    }
    return estimate;
}

Duration latencyObjective(const Queue& queue, const JobEstimate& estimate)
{
    auto ms = queue.stretch * estimate.totalCriticalPathMs + queue.targetLatencyMs;
    return std::chrono::milliseconds(static_cast<int64_t>(ms));
}

} // namespace vanillalift::jobs
