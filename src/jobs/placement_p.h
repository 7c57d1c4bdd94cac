#pragma once

#include <vanillalift/job.h>

#include <optional>
#include <span>
#include <string_view>

namespace vanillalift::jobs {

/// An endpoint as the placement of one task sees it.
struct PlacementCandidate {
    const Endpoint* endpoint = nullptr;
    /// Capacity that no run uses or has reserved.
    Resources free;
    /// Runs of the task's step there.
    uint32_t runsOfStep = 0;
    /// Tasks that failed there in a row, or stood still.
    uint32_t recentFailures = 0;
    /// Lasting tasks there that serve callers with a latency bound.
    uint32_t latencySensitiveRuns = 0;
    uint32_t bestEffortRuns = 0;
    /// The instance will be taken down or moved soon.
    bool isLeaving = false;
    /// Speed seen there compared with other endpoints, 1 for as fast.
    double speed = 1;
};

/// What is known of the task beside its step.
struct PlacementHints {
    /// Endpoint at which the task failed last.
    std::string_view avoid;
    /// Endpoint that runs another copy of the task.
    std::string_view exclude;
    /// Rack of the step's other tasks, for steps that want one rack.
    std::string_view rack;
    /// Ids that the advice service allows; nothing if the queue is not advised.
    const std::vector<std::string>* allowed = nullptr;
};

/// Chooses the endpoint for a task: one where it fits that is not suspected of failing its tasks, on the rack of its
/// data, with the least room left over; tasks that serve and tasks that fill stay apart where they can.
/// @returns the index of the candidate, or nothing if the task fits nowhere.
std::optional<size_t> choosePlacement(const StepSpec& step, const PlacementHints& hints, std::span<const PlacementCandidate> candidates);

/// @returns the need that counts against an endpoint's capacity.
Resources reservedNeed(const StepSpec& step);

} // namespace vanillalift::jobs
