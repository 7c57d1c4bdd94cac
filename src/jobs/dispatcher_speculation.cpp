#include "dispatcher_p.h"

#include "core/event_log_p.h"
#include "policy/speculation_plan_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Interval at which runs are checked for speculative copies.
    constexpr std::chrono::milliseconds speculationInterval { 100 };
    /// Interval of log lines about the run times of queues.
    constexpr std::chrono::seconds runTimeLogInterval { 10 };
    constexpr double medianShare = 0.5;
    /// Completed tasks of a step from which the others are compared with them.
    constexpr uint32_t minSiblingsToCompare = 2;
    constexpr uint32_t fullSpeedPercent = 100;
    /// Speed below which an endpoint's runs say more about the endpoint than about their tasks.
    constexpr double minSpeedToLearn = 0.7;
    /// A day: longer runs count as this long.
    constexpr int64_t maxRunTimeMs = 86'400'000;

    Duration toDuration(double ms) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)); }

} // namespace

void Dispatcher::planSpeculativeCopies()
{
    auto now = m_clock.now();
    if (now < m_nextSpeculationAt)
        return;
    m_nextSpeculationAt = now + speculationInterval;
    for (auto& [id, session] : m_sessions) {
        auto lastContactAt = std::max(session->lastReplyAt, session->lastHeartbeatAt);
        for (auto& [key, run] : session->runs) {
            if (!run.allowsSpeculativeCopy || run.wantsSpeculativeCopy || run.phase == RunPhase::Ended || run.phase == RunPhase::Committing)
                continue;
            RunProgress progress;
            progress.startedAt = run.startedAt;
            progress.unansweredAt = run.phase == RunPhase::Running ? TimePoint {} : run.unansweredSince;
            progress.lastContactAt = std::max(lastContactAt, run.placedAt);
            progress.expected = expectedRunTime(run);
            if (const auto* runTimes = learnedRunTimes(); runTimes && run.startedAt != TimePoint {}) {
                auto key = runTimeKeyOf(run);
                auto elapsedMs = std::chrono::duration<double, std::milli>(now - run.startedAt).count();
                progress.isLearned = true;
                progress.hasSiblings = key.siblings >= minSiblingsToCompare;
                progress.speed = session->speed.at(now);
                progress.remaining = toDuration(runTimes->remaining(key, elapsedMs, medianShare));
                progress.isResumable = !run.checkpoint.empty();
            }
            progress.percent = run.percent;
            progress.progressAt = run.progressAt;
            progress.isStopping = run.mustStop;
            if (!isSpeculativeCopyWorthwhile(progress, now))
                continue;
            const auto* job = m_store.findJobBySerial(key.task.job);
            const auto* task = job ? job->findTask(key.task) : nullptr;
            if (task && task->possibleCrashes().crashes >= maxCrashesForCopies)
                continue;
            run.wantsSpeculativeCopy = true;
            m_stats.copiesWanted++;
            markDirty(key.task.job);
            m_log.line("copy").field("job", run.jobId).field("task", key.task).field("run", key.number).field("endpoint", id).field("silent-ms", millisecondsUntil(now, lastContactAt)).field("percent", run.percent).field("stopping", run.mustStop).field("run-ms", run.startedAt == TimePoint {} ? 0 : millisecondsUntil(now, run.startedAt)).field("expected-ms", std::chrono::duration_cast<std::chrono::milliseconds>(progress.expected).count()).field("siblings", progress.hasSiblings);
        }
    }
}

RunTimeKey Dispatcher::runTimeKeyOf(const Run& run) const
{
    auto plan = m_plans.find(run.key.task.job);
    return plan == m_plans.end() ? RunTimeKey { {}, 0, static_cast<double>(run.estimateMs) } : plan->second.job->runTimeKey(run.key.task.occurrence, run.key.task.step);
}

void Dispatcher::logRunTimes()
{
    auto now = m_clock.now();
    const auto* runTimes = learnedRunTimes();
    if (!runTimes || now < m_nextRunTimeLogAt)
        return;
    m_nextRunTimeLogAt = now + runTimeLogInterval;
    auto rounded = [](double value) { return std::round(value * 100) / 100; };
    for (const auto& [queue, it] : runTimes->summaries())
        m_log.stateLine("run-times").field("queue", queue).field("runs", it.runs).field("typical-ms", std::llround(it.typicalMs)).field("spread", rounded(it.spread)).field("step-spread", rounded(it.siblingSpread)).field("declared-bias", rounded(it.declaredBias)).field("declared-error", rounded(it.declaredError)).field("declared-weight", rounded(it.slope)).field("tail", rounded(it.tailShare)).field("tail-factor", rounded(it.tailFactor));
}

Duration Dispatcher::expectedRunTime(const Run& run)
{
    if (const auto* runTimes = learnedRunTimes())
        return toDuration(runTimes->mean(runTimeKeyOf(run)));
    auto plan = m_plans.find(run.key.task.job);
    double ratio = plan == m_plans.end() ? 1 : m_runTimeRatio[plan->second.job->queue.name].value();
    return std::chrono::milliseconds(static_cast<int64_t>(run.estimateMs * ratio));
}

uint32_t Dispatcher::measuredRunTimeMs(const EndpointSession& session, const Run& run) const
{
    auto now = m_clock.now();
    bool isMeasured = !run.isLongRunning && run.startedAt != TimePoint {} && !run.wasInherited && run.resumedFrom.empty() && run.targetSpeedPercent == fullSpeedPercent && run.speedPercent == fullSpeedPercent;
    if (!isMeasured || run.mustStop || run.isBestEffort || session.speed.at(now) < minSpeedToLearn)
        return 0;
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.startedAt).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(ms, 1, maxRunTimeMs));
}

void Dispatcher::updateSpeedEstimate(EndpointSession& session, const Run& run)
{
    auto now = m_clock.now();
    auto plan = m_plans.find(run.key.task.job);
    if (plan == m_plans.end() || run.isLongRunning || run.estimateMs == 0 || run.startedAt == TimePoint {} || run.wasInherited || !run.resumedFrom.empty())
        return;
    auto runTimeMs = std::chrono::duration<double, std::milli>(now - run.startedAt).count();
    // Only tasks of the same step tell a slow endpoint from a long task.
    if (learnedRunTimes() && runTimeKeyOf(run).siblings < minSiblingsToCompare)
        return;
    auto& mean = m_runTimeRatio[plan->second.job->queue.name];
    session.speed.add(std::chrono::duration<double, std::milli>(expectedRunTime(run)).count() / std::max(runTimeMs, 1.0), now);
    mean.add(runTimeMs / run.estimateMs);
}

const Run* Dispatcher::onlyRunOf(const TaskKey& key, const Task& task) const
{
    if (task.isDone || task.placements.size() != 1)
        return nullptr;
    auto session = m_sessions.find(task.placements.front().endpoint);
    if (session == m_sessions.end())
        return nullptr;
    auto run = session->second->runs.find({ key, task.placements.front().run });
    return run == session->second->runs.end() ? nullptr : &run->second;
}

} // namespace vanillalift::jobs
