#include "dispatcher_p.h"

#include "core/event_log_p.h"
#include "policy/best_effort_share_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Consecutive task failures from which an endpoint gets no tasks for a backoff time.
    constexpr uint32_t backoffAfterFailures = 2;
    constexpr std::chrono::milliseconds initialBackoff { 1500 };
    /// The backoff time doubles with each further failure, up to this many times.
    constexpr uint32_t maxBackoffDoublings = 3;
    /// A long-running task that has been at work for this long shows that its endpoint works.
    constexpr std::chrono::milliseconds workProvesEndpoint { 5000 };
    /// A task without progress for this multiple of its declared run time, and at least for minStallTimeout, is moved elsewhere.
    constexpr double stallFactor = 2.5;
    constexpr std::chrono::milliseconds minStallTimeout { 2500 };
    /// Long-poll wait of a status request while a decision depends on the endpoint's current runs.
    constexpr std::chrono::milliseconds freshStatusWait { 60 };
    /// Consecutive unanswered status requests from which the runs of an endpoint are recorded as suspects, if no connection was lost.
    constexpr uint32_t unansweredForSuspicion = 2;

    std::string_view removalReasonText(RemovalReason reason)
    {
        switch (reason) {
        case RemovalReason::Left:
            return "it has left";
        case RemovalReason::Replaced:
            return "another incarnation answers at the address";
        case RemovalReason::UnknownService:
            return "its service is not configured";
        case RemovalReason::Moved:
            return "its instance is in another pool";
        default:
            return "no heartbeat and no lease";
        }
    }

    bool isUnanswered(EndpointReplyStatus status) { return status == EndpointReplyStatus::Unknown || status == EndpointReplyStatus::NotSent; }

} // namespace

bool Dispatcher::hasLeaderAuthority() const { return m_clock.now() - m_desc.leaderConfirmedAt() < config::quorumContactTimeout; }

TimePoint Dispatcher::leaseExpiryTarget() const { return m_desc.leaderConfirmedAt() + std::min<Duration>(config::endpointLease, m_desc.maxLease); }

std::optional<int64_t> Dispatcher::grantLease(EndpointSession& session)
{
    auto target = leaseExpiryTarget();
    auto clockMs = session.clockAt(target);
    if (clockMs)
        session.leaseEndsAt = std::max(session.leaseEndsAt, target);
    return clockMs;
}

void Dispatcher::updateSession(EndpointSession& session)
{
    auto now = m_clock.now();
    updateDeregistration(session, now);
    bool hasUnacknowledgedEnds = session.lastEndAcknowledged < session.lastEndRecorded;
    bool isNeeded = !session.runs.empty() || !session.isReconciled || session.lastEndRecorded != session.lastEndSeen || hasUnacknowledgedEnds;
    // Until the known ends are committed, a reply would only report them again.
    if (isNeeded && !session.isStatusRequestPending && now >= session.nextStatusRequestAt && session.uncommittedEnds == 0)
        sendStatusRequest(session);
    sendDueRequests(session, now);
    if (session.isConnectionLost || session.unansweredStatusRequests >= unansweredForSuspicion)
        recordSuspects(session);
    if (now > session.leaseEndsAt + config::leaseMargin)
        handleLeaseExpiry(session);
}

void Dispatcher::sendDueRequests(EndpointSession& session, TimePoint now)
{
    // Most runs need no request.
    bool isAnyDue = std::any_of(session.runs.begin(), session.runs.end(), [&](const auto& it) { return it.second.isRequestDue(now); });
    if (!isAnyDue)
        return;
    // Stop requests go first: other tasks may be waiting for the capacity.
    for (bool isStopPass : { true, false }) {
        for (auto it = session.runs.begin(); it != session.runs.end();) {
            auto& run = (it++)->second;
            if (run.mustStop == isStopPass)
                sendDueRequest(session, run, now);
        }
    }
}

void Dispatcher::sendWaitingRequests(const std::string& endpointId)
{
    auto* session = findSession(endpointId);
    if (session && hasLeaderAuthority())
        sendDueRequests(*session, m_clock.now());
}

void Dispatcher::sendDueRequest(EndpointSession& session, Run& run, TimePoint now)
{
    if (!run.isRequestDue(now) || !session.isReconciled || session.isSuperseded)
        return;
    bool isStarting = run.phase == RunPhase::Starting;
    // A repeated start asks again: if the endpoint drains or is evacuated, or its capacity has shrunk since the task was placed, it is
    // placed elsewhere.
    if (isStarting && (session.endpoint.isDraining || session.isEvacuated || !hasCapacityForStarts(session)))
        run.mustStop = true;
    // No start request has been sent.
    if (isStarting && run.mustStop && !run.hasUnansweredStart)
        return queueRunEnd(session, run, RunEnd::NotStarted, "", "not-sent");
    if (!session.canSendRunRequest())
        return;
    // A start request carries a lease, and an endpoint that does not answer gets no renewal.
    if (isStarting && !run.mustStop) {
        if (session.unansweredStatusRequests == 0)
            sendStart(session, run);
        return;
    }
    if (isStarting || run.mustStop)
        return sendStop(session, run);
    sendThrottle(session, run);
}

bool Dispatcher::hasCapacityForStarts(const EndpointSession& session) const
{
    if (session.guardsCapacity)
        return true;
    return session.isCapacityCertain(m_clock.now(), m_desc.maxCapacityReportAge) && (session.used + session.strayUse).fitsIn(session.usableCapacity());
}

void Dispatcher::cancelUnsentStarts(EndpointSession& session)
{
    for (auto& [key, run] : session.runs) {
        bool isUnsent = run.phase == RunPhase::Starting && !run.isRequestPending && !run.hasUnansweredStart;
        run.mustStop = run.mustStop || isUnsent;
    }
}

void Dispatcher::sendStatusRequest(EndpointSession& session)
{
    auto now = m_clock.now();
    StatusRequest request;
    request.fencingToken = m_desc.term;
    // Repeated until a request with this acknowledgement is answered.
    bool mayAcknowledge = !session.isSuperseded && session.lastEndRecorded > session.lastEndAcknowledged;
    request.acknowledgedThrough = mayAcknowledge ? session.lastEndRecorded : 0;
    // An endpoint that does not answer gets no renewal: its lease has to end before its tasks are run elsewhere.
    if (session.isReconciled && session.unansweredStatusRequests == 0 && !session.isSuperseded) {
        if (!session.isAboutToEnd())
            request.leaseUntilMs = grantLease(session);
        bool areRequestsLost = now - m_lastUnansweredAt < config::shortStatusWaitPeriod;
        auto wait = areRequestsLost ? config::shortStatusWait : config::statusWait;
        if (now < session.freshStatusUntil)
            wait = freshStatusWait;
        if (session.hasLiveRuns())
            request.waitMs = static_cast<uint32_t>(wait.count());
    }
    session.isStatusRequestPending = true;
    session.isAckPending = request.acknowledgedThrough != 0;
    session.isLeasePending = request.leaseUntilMs.has_value();
    session.statusRequestSentAt = now;
    m_stats.statusRequestsSent++;
    auto deadline = now + std::chrono::milliseconds(request.waitMs) + config::statusTimeout;
    auto handle = [this, id = session.endpoint.id, startedAtMs = session.endpoint.startedAtMs, now, deadline, isAlive = m_isAlive](const StatusReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        bool isSameIncarnation = session->endpoint.startedAtMs == startedAtMs;
        if (reply.status == EndpointReplyStatus::Accepted && isSameIncarnation)
            session->lastEndAcknowledged = std::max(session->lastEndAcknowledged, reply.requestAcknowledgedThrough);
        else if (reply.status == EndpointReplyStatus::Unknown && isSameIncarnation && reply.requestAcknowledgedThrough != 0)
            session->unansweredAckAt = now;
        if (isSameIncarnation && session->isLeasePending && reply.status == EndpointReplyStatus::Unknown)
            session->unansweredLeaseAt = now;
        if (isSameIncarnation)
            session->isAckPending = session->isLeasePending = false;
        receiveStatusReply(*session, now, deadline, reply);
    };
    session.link->requestStatus(request, deadline, std::move(handle));
}

void Dispatcher::receiveStatusReply(EndpointSession& session, TimePoint sentAt, TimePoint deadline, const StatusReply& reply)
{
    auto now = m_clock.now();
    session.isStatusRequestPending = false;
    if (reply.status == EndpointReplyStatus::WrongInstance)
        return removeEndpoint(session, RemovalReason::Replaced);
    if (reply.status != EndpointReplyStatus::Accepted) {
        if (session.unansweredStatusRequests++ == 0)
            session.silentSince = now;
        session.isConnectionLost = session.isConnectionLost || (isUnanswered(reply.status) && now < deadline);
        cancelUnsentStarts(session);
        if (reply.status == EndpointReplyStatus::Unknown)
            m_lastUnansweredAt = now;
        m_stats.statusRequestsUnanswered++;
        session.nextStatusRequestAt = now + config::unreachableRetryDelay;
        m_log.line("hold-failed").field("endpoint", session.endpoint.id).field("status", endpointReplyStatusName(reply.status)).field("failures", session.unansweredStatusRequests);
        return;
    }
    if (session.unansweredStatusRequests > 0)
        retryAllPlacements();
    if (session.unansweredStatusRequests > 1)
        m_log.decisionLine("endpoint-regained").field("endpoint", session.endpoint.id).field("failures", session.unansweredStatusRequests);
    session.unansweredStatusRequests = 0;
    session.isConnectionLost = false;
    session.lastReplyAt = now;
    session.nextStatusRequestAt = now;
    if (reply.startedAtMs && *reply.startedAtMs != session.endpoint.startedAtMs) {
        // Either the new incarnation is not registered yet, or this is a late reply of the old one.
        if (*reply.startedAtMs < session.endpoint.startedAtMs)
            return;
        session.isSuperseded = true;
        auto restarted = session.endpoint;
        restarted.startedAtMs = *reply.startedAtMs;
        restarted.isDraining = false;
        restarted.hasDeregistered = false;
        // Its labels, capacity and count of reports are not known before its first heartbeat.
        restarted.isUndescribed = true;
        restarted.reportSequence = 0;
        m_desc.propose(PutEndpoint { std::move(restarted) });
        session.nextStatusRequestAt = now + config::unreachableRetryDelay;
        return;
    }
    if (reply.clockMs)
        session.addClockSample(*reply.clockMs, now);
    resolveSuspects(session, false);
    forgetCrashes(session);
    reconcile(session, sentAt, reply);
    if (hasLeaderAuthority())
        updateSession(session);
}

void Dispatcher::reconcile(EndpointSession& session, TimePoint sentAt, const StatusReply& reply)
{
    std::set<RunKey> reportedRuns;
    auto keyOf = [&](const TaskName& name, uint32_t run) -> std::optional<RunKey> {
        const auto* job = m_store.findJob(name.job);
        if (!job)
            return std::nullopt;
        return RunKey { { job->serial, name.occurrence, name.step, name.index }, run };
    };
    for (const auto& it : reply.ended) {
        if (auto key = keyOf(it.task, it.run))
            reportedRuns.insert(*key);
        if (it.number > session.lastEndSeen)
            handleReportedEnd(session, it);
    }
    if (session.uncommittedEnds == 0)
        session.lastEndRecorded = session.lastEndSeen;
    auto needOf = [&](const TaskName& name) {
        const auto* job = m_store.findJob(name.job);
        return job && name.step < job->spec.steps.size() ? reservedNeed(job->spec.steps[name.step]) : Resources {};
    };
    Resources strayUse;
    for (const auto& it : reply.running) {
        auto key = keyOf(it.task, it.run);
        auto* run = key ? findRun(session, *key) : nullptr;
        if (key)
            reportedRuns.insert(*key);
        if (!run || run->phase == RunPhase::Ended)
            strayUse += needOf(it.task);
        if (run) {
            updateProgress(session, *run, it, sentAt);
            continue;
        }
        // The store has no placement of this run there.
        m_log.decisionLine("unknown-run").field("job", it.task.job).field("run", it.run).field("endpoint", session.endpoint.id);
        // The next report includes the run again if it is not stopped now.
        if (!session.canSendRunRequest())
            continue;
        StopRequest request { it.task, it.run, m_desc.term };
        session.pendingRunRequests++;
        m_stats.stopsSent++;
        session.link->stop(request, m_clock.now() + config::runRequestTimeout, [this, id = session.endpoint.id, isAlive = m_isAlive](const RunRequestReply&) {
            if (auto* session = *isAlive ? findSession(id) : nullptr) {
                session->pendingRunRequests--;
                sendWaitingRequests(id);
            }
        });
    }
    if (session.strayUse != strayUse)
        retryAllPlacements();
    session.strayUse = strayUse;
    bool isFirst = !session.isReconciled;
    session.isReconciled = true;
    if (session.reconciledAt == TimePoint {})
        session.reconciledAt = m_clock.now();
    if (!reply.hasMoreEnds) {
        for (auto it = session.runs.begin(); it != session.runs.end();) {
            auto& run = (it++)->second;
            if (!reportedRuns.contains(run.key))
                resolveMissingRun(session, run, sentAt);
        }
    }
    if (isFirst) {
        retryAllPlacements();
        m_log.line("endpoint-confirmed").field("endpoint", session.endpoint.id).field("running", reply.running.size()).field("ended", reply.ended.size()).field("term", m_desc.term);
    }
    throttleBestEffortRuns(session);
    flushRunEnds();
}

void Dispatcher::resolveMissingRun(EndpointSession& session, Run& run, TimePoint sentAt)
{
    if (run.phase == RunPhase::Ended || run.phase == RunPhase::Committing)
        return;
    // The endpoint has seen this term's fencing token, so an earlier leader's request can no longer be carried out.
    bool isEndProven = run.isInherited || (run.knownToEndpointAt != TimePoint {} && run.knownToEndpointAt < sentAt);
    if (!isEndProven)
        return;
    m_stats.runsLost++;
    queueRunEnd(session, run, run.mustStop ? RunEnd::NotStarted : RunEnd::Lost, "", "not-listed");
}

void Dispatcher::updateProgress(EndpointSession& session, Run& run, const RunningRunReport& report, TimePoint sentAt)
{
    auto now = m_clock.now();
    if (run.phase == RunPhase::Ended)
        return;
    if (run.phase != RunPhase::Running || run.isInherited) {
        confirmStart(run);
        run.phase = RunPhase::Running;
        run.isInherited = false;
        run.startedAt = now;
        run.progressAt = now;
        run.knownToEndpointAt = now;
    }
    if (report.percent != run.percent) {
        run.progressAt = now;
        // Progress shows that the endpoint is working.
        if (report.percent > run.percent && !run.isLongRunning)
            session.consecutiveFailures = 0;
    }
    run.percent = report.percent;
    constexpr uint32_t availablePercent = 100;
    if (report.percent < availablePercent)
        run.availableSince = {};
    else if (run.availableSince == TimePoint {})
        run.availableSince = now;
    if (run.isLongRunning && run.availableSince != TimePoint {} && now - run.availableSince >= workProvesEndpoint)
        session.consecutiveFailures = 0;
    run.metricValue = report.metricValue;
    run.reportedAt = sentAt;
    if (!report.checkpoint.empty())
        run.checkpoint = report.checkpoint;
    auto stallTimeout = std::max<Duration>(minStallTimeout, std::chrono::milliseconds(static_cast<int64_t>(run.estimateMs * stallFactor)));
    bool isStalled = !run.isLongRunning && !run.mustStop && now - run.progressAt > stallTimeout;
    bool isStartupStalled = run.isLongRunning && !run.mustStop && run.speedPercent == 100 && run.percent < 100 && now - run.progressAt > stallTimeout;
    if (!isStalled && !isStartupStalled)
        return;
    m_log.decisionLine("stalled").field("job", run.jobId).field("task", run.key.task).field("run", run.key.number).field("endpoint", session.endpoint.id).field("percent", run.percent);
    recordFailure(session, "a task makes no progress");
    run.mustStop = true;
}

void Dispatcher::handleReportedEnd(EndpointSession& session, const EndedRunReport& report)
{
    session.lastEndSeen = std::max(session.lastEndSeen, report.number);
    const auto* job = m_store.findJob(report.task.job);
    if (!job)
        return;
    RunKey key { { job->serial, report.task.occurrence, report.task.step, report.task.index }, report.run };
    auto* run = findRun(session, key);
    if (!run || run->phase == RunPhase::Ended)
        return;
    uint32_t runTimeMs = 0;
    if (report.end == RunEnd::Done) {
        runTimeMs = learnedRunTimes() ? measuredRunTimeMs(session, *run) : 0;
        m_stats.runsDone++;
        session.consecutiveFailures = 0;
        updateSpeedEstimate(session, *run);
    } else if (report.end == RunEnd::Failed) {
        m_stats.runsFailed++;
        // A long-running task may fail at any time, which says nothing about its endpoint once it has been at work.
        bool hasWorked = run->isLongRunning && run->availableSince != TimePoint {} && m_clock.now() - run->availableSince >= workProvesEndpoint;
        if (!hasWorked)
            recordFailure(session, "a task failed");
    }
    queueRunEnd(session, *run, report.end, report.checkpoint, "reported", runTimeMs);
}

void Dispatcher::recordFailure(EndpointSession& session, const char* reason)
{
    session.consecutiveFailures++;
    if (session.consecutiveFailures < backoffAfterFailures)
        return;
    auto doublings = std::min(session.consecutiveFailures - backoffAfterFailures, maxBackoffDoublings);
    session.backoffUntil = m_clock.now() + initialBackoff * (1U << doublings);
    m_log.decisionLine("endpoint-suspect").field("endpoint", session.endpoint.id).field("reason", reason).field("failures", session.consecutiveFailures);
}

void Dispatcher::sendStart(EndpointSession& session, Run& run)
{
    auto now = m_clock.now();
    auto* job = m_store.findJobBySerial(run.key.task.job);
    const auto* task = job ? job->findTask(run.key.task) : nullptr;
    auto lease = grantLease(session);
    if (!task || !lease)
        return;
    // Snapshots of earlier versions may hold different checkpoints for the members of a gang.
    bool isGang = job->spec.steps[run.key.task.step].isGang;
    const auto& checkpoint = isGang ? job->findTask(firstTaskOfStep(run.key.task))->checkpoint : task->checkpoint;
    StartRequest request { taskNameOf(run), run.key.number, job->spec.payload, *lease, m_desc.term, checkpoint, run.ticket };
    run.isRequestPending = true;
    session.pendingRunRequests++;
    run.resumedFrom = checkpoint;
    m_stats.startsSent++;
    auto deadline = now + config::runRequestTimeout;
    session.link->start(request, deadline, [this, id = session.endpoint.id, key = run.key, deadline, isAlive = m_isAlive](const RunRequestReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        session->pendingRunRequests--;
        auto* run = findRun(*session, key);
        if (run && reply.status == EndpointReplyStatus::Unknown && m_clock.now() < deadline)
            run->wasStartInterrupted = true;
        receiveStartReply(*session, key, reply);
        sendWaitingRequests(id);
    });
}

Run* Dispatcher::findRunOfReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply)
{
    if (reply.clockMs)
        session.addClockSample(*reply.clockMs, m_clock.now());
    auto* run = findRun(session, key);
    if (!run || run->phase == RunPhase::Ended)
        return nullptr;
    run->isRequestPending = false;
    return run;
}

void Dispatcher::receiveStartReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply)
{
    auto now = m_clock.now();
    auto* run = findRunOfReply(session, key, reply);
    if (!run)
        return;
    if (reply.status == EndpointReplyStatus::Accepted) {
        session.lastReplyAt = now;
        run->knownToEndpointAt = now;
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Running;
            run->startedAt = now;
            run->progressAt = now;
            recordStart(session, *run);
            confirmStart(*run);
        }
        return;
    }
    m_log.decisionLine("start-refused").field("job", run->jobId).field("task", key.task).field("run", key.number).field("endpoint", session.endpoint.id).field("status", endpointReplyStatusName(reply.status)).field("earlier", run->hasUnansweredStart);
    if (run->phase != RunPhase::Starting)
        return;
    if (reply.status == EndpointReplyStatus::Unknown) {
        m_stats.startsUnanswered++;
        m_lastUnansweredAt = now;
        session.unansweredLeaseAt = now;
        run->hasUnansweredStart = true;
        if (run->unansweredSince == TimePoint {})
            run->unansweredSince = now;
        run->nextRunRequestAt = now + std::chrono::milliseconds(50);
        return;
    }
    if (reply.status == EndpointReplyStatus::NotSent) {
        run->nextRunRequestAt = now + config::unreachableRetryDelay;
        // The task is placed elsewhere, unless an earlier start request may still be carried out here.
        run->mustStop = true;
        cancelUnsentStarts(session);
        return;
    }
    if (reply.status == EndpointReplyStatus::WrongInstance)
        return removeEndpoint(session, RemovalReason::Replaced);
    m_stats.startsRefused++;
    if (reply.status == EndpointReplyStatus::Unhealthy)
        recordFailure(session, "the endpoint rejects requests as unhealthy");
    if (reply.status == EndpointReplyStatus::TicketInvalid)
        forgetAdvice(key.task, session.endpoint.id);
    run->mustStop = true;
    if (reply.status == EndpointReplyStatus::Superseded) {
        // An earlier start request was carried out, or the run was stopped: the status reports show which.
        run->phase = RunPhase::Running;
        run->knownToEndpointAt = now;
        confirmStart(*run);
        return;
    }
    if (!run->hasUnansweredStart) {
        queueRunEnd(session, *run, RunEnd::NotStarted, "", "refused");
        flushRunEnds();
    }
}

void Dispatcher::confirmStart(const Run& run)
{
    auto plan = m_plans.find(run.key.task.job);
    if (plan == m_plans.end())
        return;
    plan->second.hasConfirmedRun = true;
    m_unconfirmedJobs.erase(run.key.task.job);
}

RunEnd Dispatcher::endWithoutReport(const Run& run)
{
    bool isConfirmed = run.phase == RunPhase::Running || run.wasInherited;
    return isConfirmed ? RunEnd::Lost : RunEnd::NotStarted;
}

size_t Dispatcher::pendingJobCount(std::string_view queue) const
{
    auto unconfirmed = std::count_if(m_unconfirmedJobs.begin(), m_unconfirmedJobs.end(), [&](uint64_t serial) {
        const auto& job = *m_plans.at(serial).job;
        return job.hasStarted && job.spec.occurrences == 0 && job.queue.name == queue;
    });
    return m_store.pendingJobCount(queue) + static_cast<size_t>(unconfirmed);
}

void Dispatcher::sendStop(EndpointSession& session, Run& run)
{
    run.isRequestPending = true;
    session.pendingRunRequests++;
    m_stats.stopsSent++;
    StopRequest request { taskNameOf(run), run.key.number, m_desc.term };
    session.link->stop(request, m_clock.now() + config::runRequestTimeout, [this, id = session.endpoint.id, key = run.key, isAlive = m_isAlive](const RunRequestReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        session->pendingRunRequests--;
        receiveStopReply(*session, key, reply);
        sendWaitingRequests(id);
    });
}

void Dispatcher::receiveStopReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply)
{
    auto now = m_clock.now();
    auto* run = findRunOfReply(session, key, reply);
    if (!run)
        return;
    if (reply.status == EndpointReplyStatus::WrongInstance)
        return removeEndpoint(session, RemovalReason::Replaced);
    if (reply.status != EndpointReplyStatus::Accepted) {
        run->nextRunRequestAt = now + config::unreachableRetryDelay;
        return;
    }
    // The status reports show the end; the request is repeated only if they do not.
    run->phase = RunPhase::Running;
    run->knownToEndpointAt = now;
    run->nextRunRequestAt = now + m_desc.stopTimeout + config::runRequestTimeout;
}

void Dispatcher::sendThrottle(EndpointSession& session, Run& run)
{
    run.isThrottlePending = true;
    session.pendingRunRequests++;
    ThrottleRequest request { taskNameOf(run), run.key.number, run.targetSpeedPercent, m_desc.term };
    auto handle = [this, id = session.endpoint.id, key = run.key, percent = request.percent, isAlive = m_isAlive](const RunRequestReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        session->pendingRunRequests--;
        auto* run = findRun(*session, key);
        if (!run)
            return;
        run->isThrottlePending = false;
        if (reply.status == EndpointReplyStatus::Accepted)
            run->speedPercent = percent;
        else
            run->nextRunRequestAt = m_clock.now() + config::unreachableRetryDelay;
        sendWaitingRequests(id);
    };
    session.link->throttle(request, m_clock.now() + config::runRequestTimeout, std::move(handle));
}

void Dispatcher::throttleBestEffortRuns(EndpointSession& session)
{
    std::vector<TailLatency> serving;
    bool hasFillers = false;
    for (const auto& [key, run] : session.runs) {
        if (run.phase != RunPhase::Running)
            continue;
        hasFillers = hasFillers || run.isBestEffort;
        if (run.latencyTargetMs != 0)
            serving.push_back({ run.metricValue, run.latencyTargetMs });
    }
    if (!hasFillers)
        return;
    for (auto& [key, run] : session.runs) {
        if (!run.isBestEffort || run.phase != RunPhase::Running || run.isThrottlePending)
            continue;
        auto wanted = nextBestEffortPercent(run.speedPercent, serving);
        if (wanted != run.targetSpeedPercent)
            m_log.line("pace").field("job", run.jobId).field("task", key.task).field("endpoint", session.endpoint.id).field("percent", wanted).field("serving", serving.size());
        run.targetSpeedPercent = wanted;
    }
}

void Dispatcher::handleLeaseExpiry(EndpointSession& session)
{
    auto now = m_clock.now();
    bool isSilent = now - session.lastHeartbeatAt > config::endpointExpiry;
    if ((isSilent || session.endpoint.hasDeregistered) && !session.isRemovalPending && session.unansweredStatusRequests > 0)
        return removeEndpoint(session, RemovalReason::Silent);
    bool hasExpired = false;
    for (auto& [key, run] : session.runs) {
        if (run.phase == RunPhase::Ended || run.phase == RunPhase::Committing)
            continue;
        hasExpired = true;
        m_stats.runsLost++;
        queueRunEnd(session, run, endWithoutReport(run), "", "lease-ended");
    }
    if (!hasExpired)
        return;
    // Its runs ended with the lease, if not before. Nothing shows that its process has ended.
    if (!session.isConnectionLost)
        resolveSuspects(session, false);
    // When it comes back, its runs have to be reconciled with the store before it gets tasks.
    session.isReconciled = false;
    m_log.decisionLine("lease-ended").field("endpoint", session.endpoint.id).field("failures", session.unansweredStatusRequests);
}

void Dispatcher::removeEndpoint(EndpointSession& session, RemovalReason reason)
{
    if (session.isRemovalPending)
        return;
    session.isRemovalPending = true;
    session.removalReason = reason;
    session.nextStatusRequestAt = m_clock.now() + config::endpointExpiry;
    m_log.decisionLine("endpoint-gone").field("endpoint", session.endpoint.id).field("born", session.endpoint.startedAtMs).field("reason", removalReasonText(reason));
    m_desc.propose(RemoveEndpoint { session.endpoint.id, session.endpoint.startedAtMs, reason == RemovalReason::Replaced });
}

} // namespace vanillalift::jobs
