#include "job_estimate_p.h"

#include <vanillalift/clock.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// A step of several tasks takes as long as its longest task, which exceeds the declared mean by about this factor.
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
    std::vector<double> remaining(steps.size(), 0);
    std::vector<double> total(steps.size(), 0);
    for (size_t n = 0; n < steps.size(); n++) {
        const auto& step = steps[n];
        double taskWork = step.estimateMs * (static_cast<double>(step.need.cpu) / 1000);
        auto done = job.occurrences.empty() ? 0 : job.occurrences[occurrence].steps[n].doneCount;
        estimate.totalWorkMs += taskWork * step.taskCount;
        estimate.workMs += taskWork * (step.taskCount - done);
        auto taskMemory = static_cast<double>(step.estimateMs) * static_cast<double>(step.need.memory);
        estimate.totalMemoryMs += taskMemory * step.taskCount;
        estimate.memoryMs += taskMemory * (step.taskCount - done);
        // Steps depend on earlier steps only, so a single pass suffices.
        for (auto before : step.after) {
            remaining[n] = std::max(remaining[n], remaining[before]);
            total[n] = std::max(total[n], total[before]);
        }
        total[n] += stepMs(step);
        remaining[n] += done == step.taskCount ? 0 : stepMs(step);
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
