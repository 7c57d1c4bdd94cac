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
    constexpr double fullPercent = 100;
    /// Speed from which an endpoint is sound: a run that progresses steadily there is long by itself.
    constexpr double soundSpeed = 0.8;
    /// Time that a new run takes to be placed, committed and started.
    constexpr std::chrono::milliseconds startDelay { 150 };

    /// @returns whether a run that answers and progresses still takes longer than a new one, by what earlier runs tell.
    bool isOutrunByCopy(const RunProgress& run, TimePoint now)
    {
        auto elapsed = now - run.startedAt;
        if (elapsed < run.expected)
            return false;
        auto reportedRunTime = run.progressAt - run.startedAt;
        bool hasProgress = run.percent > 0 && reportedRunTime > Duration::zero();
        auto total = std::chrono::duration<double>(hasProgress ? reportedRunTime * (fullPercent / run.percent) : elapsed + run.remaining);
        std::chrono::duration<double> fresh = run.expected;
        // Without others of its step, the length is the task's own except for the endpoint's part.
        if (!run.hasSiblings)
            fresh = run.speed >= soundSpeed ? total : std::max(fresh, total * run.speed);
        if (run.isResumable)
            fresh *= 1 - std::min<double>(run.percent, fullPercent) / fullPercent;
        return total - elapsed > (fresh + startDelay) * minGainFactor;
    }

} // namespace

bool isSpeculativeCopyWorthwhile(const RunProgress& run, TimePoint now)
{
    bool isStartUncertain = run.unansweredAt != TimePoint {} && now - run.unansweredAt > startTimeout;
    if (run.isStopping || isStartUncertain || now - run.lastContactAt > contactTimeout)
        return true;
    bool isStalled = now - run.progressAt > stallTimeout;
    if (run.isLearned && run.startedAt != TimePoint {} && !isStalled)
        return isOutrunByCopy(run, now);
    if (run.startedAt == TimePoint {} || now - run.startedAt < run.expected * slowRunFactor)
        return false;
    auto reportedRunTime = run.progressAt - run.startedAt;
    if (isStalled || reportedRunTime <= Duration::zero())
        return isStalled;
    auto totalRunTime = reportedRunTime * (fullPercent / std::max<double>(run.percent, 1));
    return totalRunTime - (now - run.startedAt) > run.expected * minGainFactor;
}

} // namespace vanillalift::jobs
