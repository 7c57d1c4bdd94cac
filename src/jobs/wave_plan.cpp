#include "wave_plan_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Time that a machine takes beside its maintenance: the order, and until its next life takes work.
    constexpr std::chrono::milliseconds turnover { 700 };
    /// A wave is planned to end this much before it is due.
    constexpr std::chrono::milliseconds reserve { 2000 };
    /// Tasks are waited for no longer than this, even if there is time: the emptied rest of the machine is idle.
    constexpr std::chrono::milliseconds maxDrain { 4000 };

} // namespace

WaveSteps planWave(std::span<const WaveMachine> machines, const WaveTimes& times, TimePoint now)
{
    WaveSteps steps;
    size_t down = 0;
    size_t draining = 0;
    size_t left = 0;
    for (const auto& it : machines) {
        down += it.isDown ? 1 : 0;
        draining += it.isDraining && !it.isBegun ? 1 : 0;
        left += it.isBegun ? 0 : 1;
    }
    auto atOnce = std::max<size_t>(times.maxAtOnce, 1);
    // Rounds that are still needed, each as long as one maintenance.
    auto rounds = (left + atOnce - 1) / atOnce;
    auto needed = static_cast<int64_t>(rounds) * (times.maintenance + turnover);
    bool isLate = now + needed + reserve >= times.dueAt;

    std::vector<size_t> ready;
    for (size_t n = 0; n < machines.size(); n++) {
        const auto& it = machines[n];
        if (it.isBegun || it.isBlocked || !it.isDraining)
            continue;
        if (it.runs == 0)
            ready.push_back(n);
        else if (isLate || now - it.drainingSince > maxDrain)
            steps.force.push_back(n);
    }
    for (auto n : ready) {
        if (down >= atOnce)
            break;
        steps.maintain.push_back(n);
        down++;
    }

    // As many are emptied as can go down next; twice as many when time is short.
    auto ahead = isLate ? 2 * atOnce : atOnce;
    std::vector<size_t> waiting;
    for (size_t n = 0; n < machines.size(); n++) {
        if (!machines[n].isBegun && !machines[n].isDraining && !machines[n].isBlocked)
            waiting.push_back(n);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [&](size_t left, size_t right) {
        const auto& a = machines[left];
        const auto& b = machines[right];
        if ((a.runs == 0) != (b.runs == 0))
            return a.runs == 0;
        if (a.lastingRuns != b.lastingRuns)
            return a.lastingRuns < b.lastingRuns;
        return a.load < b.load;
    });
    for (auto n : waiting) {
        if (draining >= ahead)
            break;
        steps.drain.push_back(n);
        draining++;
    }
    return steps;
}

} // namespace vanillalift::jobs
