#include "placement_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    // Placement costs. Each outweighs the sum of those after it, with at most one interfering run.
    constexpr double failedHereCost = 5600;
    constexpr double suspectCost = 2800;
    constexpr double unstableCost = 1400;
    /// For long-running tasks: each move makes one unavailable for a while, and a wave waits for it.
    constexpr double maintenanceCost = 700;
    /// For each run on the endpoint, if endpoints have crashed under the task.
    constexpr double crowdCost = 10;
    constexpr double failureCost = 100;
    constexpr double remoteDataCost = 50;
    constexpr double interferenceCost = 20;
    constexpr double slownessCost = 10;
    /// For an endpoint that would no longer fit the largest waiting task; outweighs any difference in capacity left over.
    constexpr double splitCost = 4;
    /// Failures beyond this number add no cost.
    constexpr uint32_t maxCountedFailures = 3;
    /// Runs beyond this number add no cost.
    constexpr uint32_t maxCountedRuns = 30;

    bool isAllowed(const StepSpec& step, const PlacementHints& hints, const PlacementCandidate& it)
    {
        const auto& endpoint = *it.endpoint;
        if (!reservedNeed(step).fitsIn(it.free) || endpoint.id == hints.exclude)
            return false;
        if (it.isHeldForOther || (hints.isIsolated ? !it.isQuiet : it.isReserved))
            return false;
        if (step.maxPerEndpoint != 0 && it.runsOfStep >= step.maxPerEndpoint)
            return false;
        if (!step.requiredLabel.empty() && std::find(endpoint.labels.begin(), endpoint.labels.end(), step.requiredLabel) == endpoint.labels.end())
            return false;
        return !hints.allowed || std::find(hints.allowed->begin(), hints.allowed->end(), endpoint.id) != hints.allowed->end();
    }

    /// Sum of the shares of the endpoint's CPU and memory capacity that would remain free: filling full endpoints first
    /// keeps whole endpoints free for large tasks.
    double leftoverShare(const StepSpec& step, const PlacementHints& hints, const PlacementCandidate& it)
    {
        auto left = it.free - reservedNeed(step);
        const auto& capacity = it.endpoint->capacity;
        auto share = [](int64_t amount, int64_t total) { return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0; };
        auto cpu = share(left.cpu, capacity.cpu);
        auto memory = share(left.memory, capacity.memory);
        if (!hints.largestWaiting)
            return cpu + memory;
        bool isSplit = hints.largestWaiting->fitsIn(it.free) && !hints.largestWaiting->fitsIn(left);
        return cpu + memory + std::abs(cpu - memory) + (isSplit ? splitCost : 0);
    }

    double cost(const StepSpec& step, const PlacementHints& hints, const PlacementCandidate& it)
    {
        const auto& endpoint = *it.endpoint;
        double sum = leftoverShare(step, hints, it);
        if (it.isDueForMaintenance && step.isLongRunning)
            sum += maintenanceCost;
        if (endpoint.id == hints.avoid)
            sum += failedHereCost;
        if (hints.crashes > 0 && it.suspectRuns > 0)
            sum += suspectCost;
        if (hints.crashes > 0)
            sum += (it.isUnstable ? unstableCost : 0) + crowdCost * std::min(it.liveRuns, maxCountedRuns);
        sum += failureCost * std::min(it.recentFailures, maxCountedFailures);
        auto wantedRack = step.dataRack.empty() ? hints.rack : std::string_view(step.dataRack);
        if (!wantedRack.empty() && endpoint.rack != wantedRack)
            sum += remoteDataCost;
        if (step.isBestEffort)
            sum += interferenceCost * it.latencySensitiveRuns;
        else if (step.isLongRunning)
            sum += interferenceCost * it.bestEffortRuns;
        return sum + slownessCost * std::max(0.0, 1 - it.speed);
    }

} // namespace

Resources reservedNeed(const StepSpec& step)
{
    auto need = step.need;
    if (step.isBestEffort)
        need.cpu = 0;
    return need;
}

std::optional<size_t> choosePlacement(const StepSpec& step, const PlacementHints& hints, std::span<const PlacementCandidate> candidates)
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t n = 0; n < candidates.size(); n++) {
        if (!isAllowed(step, hints, candidates[n]))
            continue;
        auto found = cost(step, hints, candidates[n]);
        if (!best || found < bestCost) {
            best = n;
            bestCost = found;
        }
    }
    return best;
}

} // namespace vanillalift::jobs
