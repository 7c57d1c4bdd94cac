#include "wave_plan_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Time that an instance takes beside its maintenance: the order, and until its next life takes work.
    constexpr std::chrono::milliseconds turnover { 700 };
    /// A wave is planned to end this much before it is due.
    constexpr std::chrono::milliseconds reserve { 2000 };
    /// Tasks are waited for no longer than this, even if there is time: the emptied rest of the instance is idle.
    constexpr std::chrono::milliseconds maxDrain { 4000 };
    /// Instances with lasting tasks that are emptied at the same time, beside others, at least.
    constexpr std::ptrdiff_t leastLastingAhead = 2;
    /// Time in which an instance is emptied of lasting tasks: a few of them, each stopped and at work elsewhere in a second
    /// or two before the next one may go.
    constexpr std::chrono::milliseconds lastingTurn { 6000 };
    /// Part of the time that is left within which a wave is planned to end.
    constexpr double plannedShare = 0.5;

    /// Instances with lasting tasks that have to be emptied at the same time for all to be in time.
    std::ptrdiff_t lastingAhead(std::span<const WaveInstance> instances, const WaveConstraints& times, TimePoint now)
    {
        auto left = std::count_if(instances.begin(), instances.end(), [](const auto& it) { return !it.isMaintenanceStarted && it.lastingRuns > 0; });
        auto time = std::max<Duration>(times.dueAt - now - reserve - times.maintenanceTime, lastingTurn);
        auto turns = std::chrono::duration<double>(time) / std::chrono::duration<double>(lastingTurn);
        return std::max(leastLastingAhead, static_cast<std::ptrdiff_t>(std::ceil(static_cast<double>(left) / turns)));
    }

} // namespace

WaveActions planWave(std::span<const WaveInstance> instances, const WaveConstraints& times, TimePoint now)
{
    WaveActions steps;
    size_t down = 0;
    size_t draining = 0;
    size_t left = 0;
    for (const auto& it : instances) {
        down += it.isDown ? 1 : 0;
        draining += it.isDraining && !it.isMaintenanceStarted ? 1 : 0;
        left += it.isMaintenanceStarted ? 0 : 1;
    }
    auto allowed = std::max<size_t>(times.maxAtOnce, 1);
    // Rounds that are still needed, each as long as one maintenance.
    auto round = times.maintenanceTime + turnover;
    auto rounds = (left + allowed - 1) / allowed;
    bool isLate = now + static_cast<int64_t>(rounds) * round + reserve >= times.dueAt;
    // Instances that are down are missed when demand peaks: no more at once than the time asks for.
    auto atOnce = allowed;
    if (!isLate) {
        auto spent = std::chrono::duration<double>(times.dueAt - now).count() * plannedShare;
        auto pace = std::ceil(static_cast<double>(left) * std::chrono::duration<double>(round).count() / spent);
        atOnce = std::clamp<size_t>(static_cast<size_t>(pace), 1, allowed);
    }

    std::vector<size_t> ready;
    for (size_t n = 0; n < instances.size(); n++) {
        const auto& it = instances[n];
        if (it.isMaintenanceStarted || it.isBlocked || !it.isDraining)
            continue;
        if (it.runs == 0)
            ready.push_back(n);
        else if (isLate || now - it.drainingSince > maxDrain)
            steps.forceDrain.push_back(n);
    }
    for (auto n : ready) {
        if (down >= atOnce)
            break;
        steps.maintain.push_back(n);
        down++;
    }

    std::vector<size_t> waiting;
    for (size_t n = 0; n < instances.size(); n++) {
        if (!instances[n].isMaintenanceStarted && !instances[n].isDraining && !instances[n].isBlocked)
            waiting.push_back(n);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [&](size_t left, size_t right) {
        const auto& a = instances[left];
        const auto& b = instances[right];
        if ((a.runs == 0) != (b.runs == 0))
            return a.runs == 0;
        if (a.lastingRuns != b.lastingRuns)
            return a.lastingRuns < b.lastingRuns;
        return a.load < b.load;
    });
    // Lasting tasks leave one after the other, so their instances take longest: some are being emptied at any time.
    auto isEmptiedOfLasting = [](const WaveInstance& it) { return it.isDraining && !it.isMaintenanceStarted && it.lastingRuns > 0; };
    auto lastingDraining = std::count_if(instances.begin(), instances.end(), isEmptiedOfLasting);
    auto lastingWanted = lastingAhead(instances, times, now);
    while (lastingDraining < lastingWanted && !waiting.empty() && instances[waiting.back()].lastingRuns > 0) {
        steps.drain.push_back(waiting.back());
        waiting.pop_back();
        lastingDraining++;
    }
    // An idle instance is taken when it can go down at once. Busy ones are emptied ahead, but emptied ones are paid for while
    // they wait: fewer than can go down next, unless time is short, and none while idle ones are left for the next round.
    auto idle = static_cast<size_t>(std::count_if(waiting.begin(), waiting.end(), [&](size_t n) { return instances[n].runs == 0; }));
    auto ahead = isLate ? 2 * atOnce : (idle > atOnce ? 0 : (atOnce + 1) / 2);
    auto taken = down + ready.size() - steps.maintain.size();
    for (auto n : waiting) {
        bool isIdle = instances[n].runs == 0;
        if (isIdle ? taken >= atOnce : draining >= ahead)
            continue;
        steps.drain.push_back(n);
        taken += isIdle ? 1 : 0;
        draining += isIdle ? 0 : 1;
    }
    return steps;
}

} // namespace vanillalift::jobs
