#include "wave_plan_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Time that an instance takes in addition to its maintenance: the request, and the start of its new endpoint.
    constexpr std::chrono::milliseconds turnoverTime { 700 };
    /// A wave is planned to end this long before its deadline.
    constexpr std::chrono::milliseconds deadlineReserve { 2000 };
    /// Limit on waiting for tasks even if there is time, since the drained part of the instance is idle meanwhile.
    constexpr std::chrono::milliseconds maxDrainTime { 4000 };
    /// Minimum number of instances with long-running tasks that are drained at the same time, in addition to others.
    constexpr std::ptrdiff_t minLongRunningDrains = 2;
    /// Time to drain an instance of its long-running tasks: it has a few, and each takes a second or two to stop and run
    /// elsewhere before the next one may be stopped.
    constexpr std::chrono::milliseconds drainTimeOfLongRunning { 6000 };
    /// Share of the remaining time in which a wave is planned to complete.
    constexpr double plannedTimeShare = 0.5;

    /// @returns the number of instances with long-running tasks to drain at the same time in order to meet the deadline.
    std::ptrdiff_t concurrentLongRunningDrains(std::span<const WaveInstance> instances, const WaveConstraints& constraints, TimePoint now)
    {
        auto left = std::count_if(instances.begin(), instances.end(), [](const auto& it) { return !it.isMaintenanceStarted && it.runsOfLongRunningTasks > 0; });
        auto time = std::max<Duration>(constraints.dueAt - now - deadlineReserve - constraints.maintenanceTime, drainTimeOfLongRunning);
        auto batches = std::chrono::duration<double>(time) / std::chrono::duration<double>(drainTimeOfLongRunning);
        return std::max(minLongRunningDrains, static_cast<std::ptrdiff_t>(std::ceil(static_cast<double>(left) / batches)));
    }

} // namespace

WaveActions planWave(std::span<const WaveInstance> instances, const WaveConstraints& constraints, TimePoint now)
{
    WaveActions actions;
    size_t down = 0;
    size_t draining = 0;
    size_t left = 0;
    for (const auto& it : instances) {
        down += it.isDown || it.isPausing ? 1 : 0;
        draining += it.isDraining && !it.isMaintenanceStarted ? 1 : 0;
        left += it.isMaintenanceStarted ? 0 : 1;
    }
    auto allowed = std::max<size_t>(constraints.maxConcurrent, 1);
    // The remaining rounds, each of which takes one maintenance and the turnover.
    auto round = constraints.maintenanceTime + turnoverTime;
    auto rounds = (left + allowed - 1) / allowed;
    bool isLate = now + static_cast<int64_t>(rounds) * round + deadlineReserve >= constraints.dueAt;
    // Capacity that is down is lacking when demand peaks, so no more instances are down at once than the deadline requires.
    auto atOnce = allowed;
    if (!isLate) {
        auto plannedSeconds = std::chrono::duration<double>(constraints.dueAt - now).count() * plannedTimeShare;
        auto perRound = std::ceil(static_cast<double>(left) * std::chrono::duration<double>(round).count() / plannedSeconds);
        atOnce = std::clamp<size_t>(static_cast<size_t>(perRound), 1, allowed);
    }

    std::vector<size_t> ready;
    for (size_t n = 0; n < instances.size(); n++) {
        const auto& it = instances[n];
        if (it.isMaintenanceStarted || it.isBlocked || !it.isDraining)
            continue;
        if (it.isPausing && it.runs == 0)
            actions.maintain.push_back(n);
        else if (it.runs == 0 || (it.isPausable && !it.isPausing))
            ready.push_back(n);
        else if (it.runsToMove == 0 && !it.isPausing && (isLate || now - it.drainingSince > maxDrainTime))
            actions.forceDrain.push_back(n);
    }
    // Idle instances go first, as nothing is lost by it.
    std::stable_partition(ready.begin(), ready.end(), [&](size_t n) { return instances[n].runs == 0; });
    auto started = std::min(ready.size(), atOnce - std::min(atOnce, down));
    for (auto n : std::span(ready).first(started))
        (instances[n].runs == 0 ? actions.maintain : actions.pause).push_back(n);
    down += started;

    std::vector<size_t> waiting;
    for (size_t n = 0; n < instances.size(); n++) {
        if (!instances[n].isMaintenanceStarted && !instances[n].isDraining && !instances[n].isBlocked && !instances[n].isHeld)
            waiting.push_back(n);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [&](size_t left, size_t right) {
        const auto& a = instances[left];
        const auto& b = instances[right];
        if ((a.runs == 0) != (b.runs == 0))
            return a.runs == 0;
        if (a.isEvacuated != b.isEvacuated)
            return a.isEvacuated;
        if (a.isSpare != b.isSpare)
            return a.isSpare;
        if (a.runsOfLongRunningTasks != b.runsOfLongRunningTasks)
            return a.runsOfLongRunningTasks < b.runsOfLongRunningTasks;
        return a.load < b.load;
    });
    // Long-running tasks are moved one after the other, so their instances take longest to drain: some are drained at any time.
    auto isDrainingLongRunning = [](const WaveInstance& it) { return it.isDraining && !it.isMaintenanceStarted && it.runsOfLongRunningTasks > 0; };
    auto drainingLongRunning = std::count_if(instances.begin(), instances.end(), isDrainingLongRunning);
    auto neededLongRunning = concurrentLongRunningDrains(instances, constraints, now);
    while (drainingLongRunning < neededLongRunning && !waiting.empty() && instances[waiting.back()].runsOfLongRunningTasks > 0) {
        actions.drain.push_back(waiting.back());
        waiting.pop_back();
        drainingLongRunning++;
    }
    // Idle instances are chosen only when they can go down at once. Busy ones are drained in advance, but a drained instance
    // is billed while it waits: fewer than can go down next, unless time is short, and none while idle ones suffice for the
    // next round.
    auto idle = static_cast<size_t>(std::count_if(waiting.begin(), waiting.end(), [&](size_t n) { return instances[n].runs == 0; }));
    auto maxDraining = isLate ? 2 * atOnce : (idle > atOnce ? 0 : (atOnce + 1) / 2);
    auto occupied = down + ready.size() - started;
    for (auto n : waiting) {
        bool isIdle = instances[n].runs == 0;
        if (isIdle ? occupied >= atOnce : draining >= maxDraining)
            continue;
        actions.drain.push_back(n);
        occupied += isIdle ? 1 : 0;
        draining += isIdle ? 0 : 1;
    }
    return actions;
}

} // namespace vanillalift::jobs
