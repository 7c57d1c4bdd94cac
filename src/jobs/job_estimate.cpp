#include "job_estimate_p.h"

#include <vanillalift/clock.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// A step of several tasks lasts as long as its longest one, which exceeds the declared mean by about this factor.
    constexpr double longestTaskFactor = 1.3;

    double stepMs(const StepSpec& step)
    {
        return step.estimateMs * (step.taskCount > 1 ? longestTaskFactor : 1);
    }

} // namespace

JobEstimate estimateJob(const Job& job, uint32_t occurrence)
{
    JobEstimate estimate;
    const auto& steps = job.spec.steps;
    std::vector<double> left(steps.size(), 0);
    std::vector<double> whole(steps.size(), 0);
    for (size_t n = 0; n < steps.size(); n++) {
        const auto& step = steps[n];
        double taskWork = step.estimateMs * (static_cast<double>(step.need.cpu) / 1000);
        auto done = job.occurrences.empty() ? 0 : job.occurrences[occurrence].steps[n].doneCount;
        estimate.totalWorkMs += taskWork * step.taskCount;
        estimate.workMs += taskWork * (step.taskCount - done);
        auto taskMemory = static_cast<double>(step.estimateMs) * static_cast<double>(step.need.memory);
        estimate.totalMemoryMs += taskMemory * step.taskCount;
        estimate.memoryMs += taskMemory * (step.taskCount - done);
        // Steps refer to earlier ones only.
        for (auto before : step.after) {
            left[n] = std::max(left[n], left[before]);
            whole[n] = std::max(whole[n], whole[before]);
        }
        whole[n] += stepMs(step);
        left[n] += done == step.taskCount ? 0 : stepMs(step);
        estimate.criticalPathMs = std::max(estimate.criticalPathMs, left[n]);
        estimate.totalCriticalPathMs = std::max(estimate.totalCriticalPathMs, whole[n]);
    }
    return estimate;
}

Duration latencyObjective(const Queue& queue, const JobEstimate& estimate)
{
    auto ms = queue.stretch * estimate.totalCriticalPathMs + queue.targetLatencyMs;
    return std::chrono::milliseconds(static_cast<int64_t>(ms));
}

} // namespace vanillalift::jobs
