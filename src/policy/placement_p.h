#pragma once

#include <vanillalift/job.h>

#include <optional>
#include <span>
#include <string_view>

namespace vanillalift::jobs {

/// An endpoint considered for the placement of one task.
struct PlacementCandidate {
    const Endpoint* endpoint = nullptr;
    /// Capacity that is neither in use nor reserved by runs.
    Resources free;
    /// Runs of the task's step on the endpoint.
    uint32_t runsOfStep = 0;
    /// Consecutive tasks that failed or stalled on the endpoint.
    uint32_t recentFailures = 0;
    /// Long-running tasks on the endpoint with a bound on their tail latency.
    uint32_t latencySensitiveRuns = 0;
    uint32_t bestEffortRuns = 0;
    /// Runs on the endpoint, and those of them under whose tasks endpoints may have crashed.
    uint32_t liveRuns = 0;
    uint32_t suspectRuns = 0;
    /// Reserved for a task that is started apart from others.
    bool isReserved = false;
    /// Room there is reserved for a larger task, which this one would delay.
    bool isHeldForOther = false;
    /// No run has been started there for a while.
    bool isQuiet = true;
    /// An endpoint at its address crashed recently.
    bool isUnstable = false;
    /// The instance is to be taken down by a wave.
    bool isDueForMaintenance = false;
    /// Observed speed relative to other endpoints; 1 is equally fast, less is slower.
    double speed = 1;
};

/// Constraints and preferences of one task beyond those of its step.
struct PlacementHints {
    /// Endpoint on which the task failed most recently.
    std::string_view avoid;
    /// Endpoint that runs another copy of the task.
    std::string_view exclude;
    /// Rack of the step's other tasks, for steps that prefer a single rack.
    std::string_view rack;
    /// Possible crashes of endpoints under the task, and whether it is started apart from others because of them.
    uint32_t crashes = 0;
    bool isIsolated = false;
    /// Endpoint ids that the advice service allows; nullptr if the queue does not use the service.
    const std::vector<std::string>* allowed = nullptr;
    /// Largest need among the tasks that wait, if it is larger than this task's; nullptr otherwise.
    const Resources* largestWaiting = nullptr;
};

/// Chooses the endpoint for a task among those where it fits: preferably one without recent failures, on the rack of its data, and
/// with the least capacity left over (best fit). If larger tasks wait, an endpoint with room for the largest one is kept whole where
/// possible, and processors and memory are used up evenly. Latency-sensitive and best-effort tasks are kept apart where possible, and so are
/// tasks under which endpoints have crashed. Isolated tasks get an endpoint on which nothing has been started for a while.
/// @returns the index of the candidate, or nothing if no endpoint can take the task.
std::optional<size_t> choosePlacement(const StepSpec& step, const PlacementHints& hints, std::span<const PlacementCandidate> candidates);

/// @returns the resources that a task of the step reserves on its endpoint.
Resources reservedNeed(const StepSpec& step);

} // namespace vanillalift::jobs
