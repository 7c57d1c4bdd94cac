#include "dispatcher_p.h"

#include "core/event_log_p.h"
#include "policy/speculation_plan_p.h"

#include <vanillalift/config.h>

namespace vanillalift::jobs {

namespace {

    /// Interval at which runs are checked for speculative copies.
    constexpr std::chrono::milliseconds speculationInterval { 100 };
    constexpr uint32_t fullSpeedPercent = 100;
    /// Speed below which an endpoint's runs say more about the endpoint than about their tasks.
    constexpr double minSpeedToLearn = 0.7;
    /// A day: longer runs count as this long.
    constexpr int64_t maxRunTimeMs = 86'400'000;

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
            markDirty(key.task.job);
            m_log.line("copy").field("job", run.jobId).field("task", key.task).field("run", key.number).field("endpoint", id).field("silent-ms", millisecondsUntil(now, lastContactAt)).field("percent", run.percent).field("stopping", run.mustStop);
        }
    }
}

Duration Dispatcher::expectedRunTime(const Run& run)
{
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
