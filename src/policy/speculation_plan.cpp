#include "speculation_plan_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// An endpoint answers each status request within 1 s, and a lost packet is retransmitted after 0.2 s: after a longer time
    /// without contact it is partitioned, frozen or gone.
    constexpr std::chrono::milliseconds contactTimeout { 1600 };
    /// Time for which an unanswered start request is retried first: most retries are answered.
    constexpr std::chrono::milliseconds startTimeout { 700 };
    /// Multiple of the expected run time from which a run may count as slow. Run times within a step vary by about half of the
    /// mean, so shorter overruns do not indicate a slow endpoint.
    constexpr double slowRunFactor = 1.8;
    /// Time without a progress change after which a run counts as stalled. Reports arrive at least once a second.
    constexpr std::chrono::milliseconds stallTimeout { 1500 };
    /// Factor by which the remaining time of the run has to exceed a complete new run.
    constexpr double minGainFactor = 1.3;

} // namespace

bool isSpeculativeCopyWorthwhile(const RunProgress& run, TimePoint now)
{
    bool isStartUncertain = run.unansweredAt != TimePoint {} && now - run.unansweredAt > startTimeout;
    if (run.isStopping || isStartUncertain || now - run.lastContactAt > contactTimeout)
        return true;
    if (run.startedAt == TimePoint {} || now - run.startedAt < run.expected * slowRunFactor)
        return false;
    auto reportedRunTime = run.progressAt - run.startedAt;
    if (now - run.progressAt > stallTimeout || reportedRunTime <= Duration::zero())
        return now - run.progressAt > stallTimeout;
    constexpr double fullPercent = 100;
    auto totalRunTime = reportedRunTime * (fullPercent / std::max<double>(run.percent, 1));
    return totalRunTime - (now - run.startedAt) > run.expected * minGainFactor;
}

} // namespace vanillalift::jobs
