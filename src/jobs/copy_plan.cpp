#include "copy_plan_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// An endpoint answers each status request within a second and a packet that is lost is sent again after 0.2 s: longer
    /// silence means that it is cut off, frozen or gone.
    constexpr std::chrono::milliseconds longSilence { 1600 };
    /// A start without an answer is repeated first: most repeats are answered.
    constexpr std::chrono::milliseconds startDoubt { 700 };
    /// Run times vary by about half of the mean within a step: shorter overruns are not signs of a slow endpoint.
    constexpr double slowFactor = 1.8;
    /// Reports come once a second at least: progress that has not changed for longer has stopped.
    constexpr std::chrono::milliseconds stuckAfter { 1500 };
    /// The rest of the run has to exceed a whole new run by this factor.
    constexpr double gainFactor = 1.3;

} // namespace

bool isSpeculativeCopyWorthwhile(const RunProgress& run, TimePoint now)
{
    bool isStartInDoubt = run.unansweredAt != TimePoint {} && now - run.unansweredAt > startDoubt;
    if (run.isStopping || isStartInDoubt || now - run.heardAt > longSilence)
        return true;
    if (run.startedAt == TimePoint {} || now - run.startedAt < run.expected * slowFactor)
        return false;
    auto ranUntilReport = run.progressAt - run.startedAt;
    if (now - run.progressAt > stuckAfter || ranUntilReport <= Duration::zero())
        return now - run.progressAt > stuckAfter;
    constexpr double whole = 100;
    auto wholeRun = ranUntilReport * (whole / std::max<double>(run.percent, 1));
    return wholeRun - (now - run.startedAt) > run.expected * gainFactor;
}

} // namespace vanillalift::jobs
