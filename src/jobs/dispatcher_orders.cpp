#include "dispatcher_p.h"

#include "best_effort_share_p.h"
#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Failures of tasks in a row after which an endpoint gets no task for a while, and that while.
    constexpr uint32_t suspectAfterFailures = 2;
    constexpr std::chrono::milliseconds suspectPause { 1500 };
    /// The pause doubles with each further failure, up to this factor.
    constexpr uint32_t maxSuspectDoublings = 3;
    /// A task without progress for this many times its declared run time, and for this long at least, is taken elsewhere.
    constexpr double stalledFactor = 2.5;
    constexpr std::chrono::milliseconds stalledAfter { 2500 };
    /// Time that a status request waits while a decision depends on what runs there now.
    constexpr std::chrono::milliseconds freshHoldWait { 60 };

} // namespace

bool Dispatcher::mayLead() const { return m_clock.now() - m_desc.leaderContactAt() < config::leaderContact; }

TimePoint Dispatcher::leaseTarget() const { return m_desc.leaderContactAt() + std::min<Duration>(config::endpointLease, m_desc.maxLease); }

std::optional<int64_t> Dispatcher::grantLease(EndpointSession& session)
{
    auto target = leaseTarget();
    auto clockMs = session.clockAt(target);
    if (clockMs)
        session.leaseEndsAt = std::max(session.leaseEndsAt, target);
    return clockMs;
}

void Dispatcher::serveSession(EndpointSession& session)
{
    auto now = m_clock.now();
    bool hasToForget = session.endsForgotten < session.endsRecorded;
    bool isNeeded = !session.runs.empty() || !session.isConfirmed || session.endsRecorded != session.endsSeen || hasToForget;
    // The answers to ends that are not recorded yet would only list them again.
    if (isNeeded && !session.isHoldOut && now >= session.nextHoldAt && session.endsWaiting == 0)
        sendHold(session);
    serveRuns(session, now);
    if (now > session.leaseEndsAt + config::leaseMargin)
        expireSession(session);
}

void Dispatcher::serveRuns(EndpointSession& session, TimePoint now)
{
    // Runs that have to end come first: their room is wanted.
    for (bool isStopTurn : { true, false }) {
        for (auto it = session.runs.begin(); it != session.runs.end();) {
            auto& run = (it++)->second;
            if (run.mustStop == isStopTurn)
                serveRun(session, run, now);
        }
    }
}

void Dispatcher::serveNext(const std::string& endpointId)
{
    auto* session = findSession(endpointId);
    if (session && mayLead())
        serveRuns(*session, m_clock.now());
}

void Dispatcher::serveRun(EndpointSession& session, Run& run, TimePoint now)
{
    if (run.isOrderOut || now < run.nextOrderAt || !session.isConfirmed)
        return;
    bool isStarting = run.phase == RunPhase::Starting;
    // No order has been sent.
    if (isStarting && run.mustStop && !run.hasUnansweredStart)
        return queueEnd(session, run, RunEnd::NotStarted, "");
    if (!session.mayOrder())
        return;
    // A start carries a lease, and an endpoint that does not answer gets no longer one.
    if (isStarting && !run.mustStop) {
        if (session.unansweredHolds == 0)
            sendStart(session, run);
        return;
    }
    if (isStarting || (run.phase == RunPhase::Running && run.mustStop))
        return sendStop(session, run);
    if (run.phase == RunPhase::Running && run.pacePercent != run.wantedPacePercent && !run.isPaceOut)
        sendPace(session, run);
}

void Dispatcher::giveUpWaitingStarts(EndpointSession& session)
{
    for (auto& [key, run] : session.runs) {
        bool isWaiting = run.phase == RunPhase::Starting && !run.isOrderOut && !run.hasUnansweredStart;
        run.mustStop = run.mustStop || isWaiting;
    }
}

void Dispatcher::sendHold(EndpointSession& session)
{
    auto now = m_clock.now();
    HoldOrder order;
    order.fencingToken = m_desc.term;
    // Told until one request with it is answered.
    order.recordedThrough = session.endsRecorded > session.endsForgotten ? session.endsRecorded : 0;
    // An endpoint that does not answer gets no longer lease: its tasks have to end before they run elsewhere.
    if (session.isConfirmed && session.unansweredHolds == 0) {
        order.leaseUntilMs = grantLease(session);
        bool areRequestsLost = now - m_unansweredAt < config::unansweredMemory;
        auto wait = areRequestsLost ? config::shortHoldWait : config::holdWait;
        if (now < session.freshUntil)
            wait = freshHoldWait;
        if (session.hasLiveRuns())
            order.waitMs = static_cast<uint32_t>(wait.count());
    }
    session.isHoldOut = true;
    session.isForgetOut = order.recordedThrough != 0;
    session.holdSentAt = now;
    m_stats.holdsSent++;
    auto deadline = now + std::chrono::milliseconds(order.waitMs) + config::holdTimeout;
    auto handle = [this, id = session.endpoint.id, born = session.endpoint.startedAtMs, now, isAlive = m_isAlive](const HoldReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        bool isSameLife = session->endpoint.startedAtMs == born;
        if (reply.status == OrderStatus::Accepted && isSameLife)
            session->endsForgotten = std::max(session->endsForgotten, reply.forgottenThrough);
        else if (reply.status == OrderStatus::Unknown && isSameLife && reply.forgottenThrough != 0)
            session->unansweredForgetAt = now;
        if (isSameLife)
            session->isForgetOut = false;
        receiveHold(*session, now, reply);
    };
    session.link->hold(order, deadline, std::move(handle));
}

void Dispatcher::receiveHold(EndpointSession& session, TimePoint sentAt, const HoldReply& reply)
{
    auto now = m_clock.now();
    session.isHoldOut = false;
    if (reply.status == OrderStatus::WrongInstance)
        return removeEndpoint(session, "another life answers at the address");
    if (reply.status != OrderStatus::Accepted) {
        session.unansweredHolds++;
        giveUpWaitingStarts(session);
        if (reply.status == OrderStatus::Unknown)
            m_unansweredAt = now;
        m_stats.holdsUnanswered++;
        session.nextHoldAt = now + config::unreachableRetry;
        m_log.line("hold-failed").field("endpoint", session.endpoint.id).field("status", orderStatusName(reply.status)).field("failures", session.unansweredHolds);
        return;
    }
    if (session.unansweredHolds > 0)
        tryAllAgain();
    if (session.unansweredHolds > 1)
        m_log.line("endpoint-regained").field("endpoint", session.endpoint.id).field("failures", session.unansweredHolds);
    session.unansweredHolds = 0;
    session.lastAnswerAt = now;
    session.nextHoldAt = now;
    if (reply.startedAtMs && *reply.startedAtMs != session.endpoint.startedAtMs) {
        // The registration of the new life is still under way, or this is a late answer of the old one.
        if (*reply.startedAtMs < session.endpoint.startedAtMs)
            return;
        auto reborn = session.endpoint;
        reborn.startedAtMs = *reply.startedAtMs;
        reborn.isDraining = false;
        m_desc.propose(PutEndpoint { std::move(reborn) });
        session.nextHoldAt = now + config::unreachableRetry;
        return;
    }
    if (reply.clockMs)
        session.addClockSample(*reply.clockMs, now);
    reconcile(session, sentAt, reply);
    if (mayLead())
        serveSession(session);
}

void Dispatcher::reconcile(EndpointSession& session, TimePoint sentAt, const HoldReply& reply)
{
    std::set<RunKey> listed;
    auto keyOf = [&](const TaskName& name, uint32_t run) -> std::optional<RunKey> {
        const auto* job = m_store.findJob(name.job);
        if (!job)
            return std::nullopt;
        return RunKey { { job->serial, name.occurrence, name.step, name.index }, run };
    };
    for (const auto& it : reply.ended) {
        if (auto key = keyOf(it.task, it.run))
            listed.insert(*key);
        if (it.number > session.endsSeen)
            noteEnd(session, it);
    }
    if (session.endsWaiting == 0)
        session.endsRecorded = session.endsSeen;
    for (const auto& it : reply.running) {
        auto key = keyOf(it.task, it.run);
        auto* run = key ? findRun(session, *key) : nullptr;
        if (key)
            listed.insert(*key);
        if (run) {
            noteProgress(session, *run, it, sentAt);
            continue;
        }
        // Nothing on record places it there.
        m_log.line("unknown-run").field("job", it.task.job).field("run", it.run).field("endpoint", session.endpoint.id);
        // The next list shows it again if it is not stopped now.
        if (!session.mayOrder())
            continue;
        StopOrder order { it.task, it.run, m_desc.term };
        session.ordersOut++;
        m_stats.stopsSent++;
        session.link->stop(order, m_clock.now() + config::orderTimeout, [this, id = session.endpoint.id, isAlive = m_isAlive](const OrderReply&) {
            if (auto* session = *isAlive ? findSession(id) : nullptr) {
                session->ordersOut--;
                serveNext(id);
            }
        });
    }
    bool isFirst = !session.isConfirmed;
    session.isConfirmed = true;
    if (session.confirmedAt == TimePoint {})
        session.confirmedAt = m_clock.now();
    if (!reply.hasMoreEnds) {
        for (auto it = session.runs.begin(); it != session.runs.end();) {
            auto& run = (it++)->second;
            if (!listed.contains(run.key))
                settleAbsent(session, run, sentAt);
        }
    }
    if (isFirst) {
        tryAllAgain();
        m_log.line("endpoint-confirmed").field("endpoint", session.endpoint.id).field("running", reply.running.size()).field("ended", reply.ended.size()).field("term", m_desc.term);
    }
    paceFillers(session);
    flushEnds();
}

void Dispatcher::settleAbsent(EndpointSession& session, Run& run, TimePoint sentAt)
{
    if (run.phase == RunPhase::Ended || run.phase == RunPhase::Committing)
        return;
    // The endpoint has seen this term's fencing token, so an older leader's order can no longer be carried out.
    bool isSettled = run.isInherited || (run.settledAt != TimePoint {} && run.settledAt < sentAt);
    if (!isSettled)
        return;
    m_stats.runsLost++;
    queueEnd(session, run, run.mustStop ? RunEnd::NotStarted : RunEnd::Lost, "");
}

void Dispatcher::noteProgress(EndpointSession& session, Run& run, const RunningRow& row, TimePoint sentAt)
{
    auto now = m_clock.now();
    if (run.phase == RunPhase::Ended)
        return;
    if (run.phase != RunPhase::Running || run.isInherited) {
        run.phase = RunPhase::Running;
        run.isInherited = false;
        run.startedAt = now;
        run.progressAt = now;
        run.settledAt = now;
    }
    if (row.percent != run.percent) {
        run.progressAt = now;
        // An endpoint whose tasks make progress is not failing them.
        if (row.percent > run.percent && !run.isLongRunning)
            session.failuresInRow = 0;
    }
    run.percent = row.percent;
    constexpr uint32_t fullyAtWork = 100;
    if (row.percent < fullyAtWork)
        run.atWorkSince = {};
    else if (run.atWorkSince == TimePoint {})
        run.atWorkSince = now;
    run.figure = row.figure;
    run.listedAt = sentAt;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
    auto patience = std::max<Duration>(stalledAfter, std::chrono::milliseconds(static_cast<int64_t>(run.estimateMs * stalledFactor)));
    bool isStalled = !run.isLongRunning && !run.mustStop && now - run.progressAt > patience;
    bool isStuckStarting = run.isLongRunning && !run.mustStop && run.pacePercent == 100 && run.percent < 100 && now - run.progressAt > patience;
    if (!isStalled && !isStuckStarting)
        return;
    m_log.line("stalled").field("job", run.jobId).field("task", run.key.task).field("run", run.key.number).field("endpoint", session.endpoint.id).field("percent", run.percent);
    noteFailure(session, "a task makes no progress");
    run.mustStop = true;
}

void Dispatcher::noteEnd(EndpointSession& session, const EndedRow& row)
{
    session.endsSeen = std::max(session.endsSeen, row.number);
    const auto* job = m_store.findJob(row.task.job);
    if (!job)
        return;
    RunKey key { { job->serial, row.task.occurrence, row.task.step, row.task.index }, row.run };
    auto* run = findRun(session, key);
    if (!run || run->phase == RunPhase::Ended)
        return;
    if (row.end == RunEnd::Done) {
        m_stats.runsDone++;
        session.failuresInRow = 0;
        learnSpeed(session, *run);
    } else if (row.end == RunEnd::Failed) {
        m_stats.runsFailed++;
        noteFailure(session, "a task failed");
    }
    queueEnd(session, *run, row.end, row.checkpoint);
}

void Dispatcher::noteFailure(EndpointSession& session, const char* reason)
{
    session.failuresInRow++;
    if (session.failuresInRow < suspectAfterFailures)
        return;
    auto doublings = std::min(session.failuresInRow - suspectAfterFailures, maxSuspectDoublings);
    session.suspectUntil = m_clock.now() + suspectPause * (1U << doublings);
    m_log.line("endpoint-suspect").field("endpoint", session.endpoint.id).field("reason", reason).field("failures", session.failuresInRow);
}

void Dispatcher::sendStart(EndpointSession& session, Run& run)
{
    auto now = m_clock.now();
    auto* job = m_store.findJobBySerial(run.key.task.job);
    const auto* task = job ? job->findTask(run.key.task) : nullptr;
    auto lease = grantLease(session);
    if (!task || !lease)
        return;
    StartOrder order { nameOf(run), run.key.number, job->spec.payload, *lease, m_desc.term, task->checkpoint, run.ticket };
    run.isOrderOut = true;
    session.ordersOut++;
    run.resumedFrom = task->checkpoint;
    m_stats.startsSent++;
    session.link->start(order, now + config::orderTimeout, [this, id = session.endpoint.id, key = run.key, isAlive = m_isAlive](const OrderReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        session->ordersOut--;
        receiveStart(*session, key, reply);
        serveNext(id);
    });
}

Run* Dispatcher::runOfReply(EndpointSession& session, const RunKey& key, const OrderReply& reply)
{
    if (reply.clockMs)
        session.addClockSample(*reply.clockMs, m_clock.now());
    auto* run = findRun(session, key);
    if (!run || run->phase == RunPhase::Ended)
        return nullptr;
    run->isOrderOut = false;
    return run;
}

void Dispatcher::receiveStart(EndpointSession& session, const RunKey& key, const OrderReply& reply)
{
    auto now = m_clock.now();
    auto* run = runOfReply(session, key, reply);
    if (!run)
        return;
    if (reply.status == OrderStatus::Accepted) {
        session.lastAnswerAt = now;
        run->settledAt = now;
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Running;
            run->startedAt = now;
            run->progressAt = now;
        }
        return;
    }
    m_log.line("start-refused").field("job", run->jobId).field("task", key.task).field("run", key.number).field("endpoint", session.endpoint.id).field("status", orderStatusName(reply.status)).field("earlier", run->hasUnansweredStart);
    if (run->phase != RunPhase::Starting)
        return;
    if (reply.status == OrderStatus::Unknown) {
        m_stats.startsUnanswered++;
        m_unansweredAt = now;
        run->hasUnansweredStart = true;
        if (run->unansweredSince == TimePoint {})
            run->unansweredSince = now;
        run->nextOrderAt = now + std::chrono::milliseconds(50);
        return;
    }
    if (reply.status == OrderStatus::NotSent) {
        run->nextOrderAt = now + config::unreachableRetry;
        // It goes elsewhere, unless an earlier copy of the order may still be carried out here.
        run->mustStop = true;
        giveUpWaitingStarts(session);
        return;
    }
    if (reply.status == OrderStatus::WrongInstance)
        return removeEndpoint(session, "another life answers at the address");
    m_stats.startsRefused++;
    if (reply.status == OrderStatus::Unhealthy)
        noteFailure(session, "it refuses orders as unhealthy");
    if (reply.status == OrderStatus::TicketInvalid)
        m_advice.erase(TaskKey { key.task.job, key.task.occurrence, key.task.step, 0 });
    run->mustStop = true;
    if (reply.status == OrderStatus::Superseded) {
        // An earlier copy has run, or was stopped: the lists tell which.
        run->phase = RunPhase::Running;
        run->settledAt = now;
        return;
    }
    if (!run->hasUnansweredStart) {
        queueEnd(session, *run, RunEnd::NotStarted, "");
        flushEnds();
    }
}

void Dispatcher::sendStop(EndpointSession& session, Run& run)
{
    run.isOrderOut = true;
    session.ordersOut++;
    m_stats.stopsSent++;
    StopOrder order { nameOf(run), run.key.number, m_desc.term };
    session.link->stop(order, m_clock.now() + config::orderTimeout, [this, id = session.endpoint.id, key = run.key, isAlive = m_isAlive](const OrderReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        session->ordersOut--;
        receiveStop(*session, key, reply);
        serveNext(id);
    });
}

void Dispatcher::receiveStop(EndpointSession& session, const RunKey& key, const OrderReply& reply)
{
    auto now = m_clock.now();
    auto* run = runOfReply(session, key, reply);
    if (!run)
        return;
    if (reply.status == OrderStatus::WrongInstance)
        return removeEndpoint(session, "another life answers at the address");
    if (reply.status != OrderStatus::Accepted) {
        run->nextOrderAt = now + config::unreachableRetry;
        return;
    }
    // The end shows in the lists; the order is repeated only if it does not.
    run->phase = RunPhase::Running;
    run->settledAt = now;
    run->nextOrderAt = now + m_desc.stopTimeout + config::orderTimeout;
}

void Dispatcher::sendPace(EndpointSession& session, Run& run)
{
    run.isPaceOut = true;
    session.ordersOut++;
    PaceOrder order { nameOf(run), run.key.number, run.wantedPacePercent, m_desc.term };
    auto handle = [this, id = session.endpoint.id, key = run.key, percent = order.percent, isAlive = m_isAlive](const OrderReply& reply) {
        auto* session = *isAlive ? findSession(id) : nullptr;
        if (!session)
            return;
        session->ordersOut--;
        auto* run = findRun(*session, key);
        if (!run)
            return;
        run->isPaceOut = false;
        if (reply.status == OrderStatus::Accepted)
            run->pacePercent = percent;
        else
            run->nextOrderAt = m_clock.now() + config::unreachableRetry;
        serveNext(id);
    };
    session.link->pace(order, m_clock.now() + config::orderTimeout, std::move(handle));
}

void Dispatcher::paceFillers(EndpointSession& session)
{
    std::vector<TailLatency> serving;
    bool hasFillers = false;
    for (const auto& [key, run] : session.runs) {
        if (run.phase != RunPhase::Running)
            continue;
        hasFillers = hasFillers || run.isBestEffort;
        if (run.latencyTargetMs != 0)
            serving.push_back({ run.figure, run.latencyTargetMs });
    }
    if (!hasFillers)
        return;
    for (auto& [key, run] : session.runs) {
        if (!run.isBestEffort || run.phase != RunPhase::Running || run.isPaceOut)
            continue;
        auto wanted = nextBestEffortPercent(run.pacePercent, serving);
        if (wanted != run.wantedPacePercent)
            m_log.line("pace").field("job", run.jobId).field("task", key.task).field("endpoint", session.endpoint.id).field("percent", wanted).field("serving", serving.size());
        run.wantedPacePercent = wanted;
    }
}

void Dispatcher::expireSession(EndpointSession& session)
{
    auto now = m_clock.now();
    bool isSilent = now - session.lastBeatAt > config::endpointExpiry;
    if (isSilent && !session.isRemovalOut && session.unansweredHolds > 0)
        return removeEndpoint(session, "no heartbeat and no lease");
    bool hasExpired = false;
    for (auto& [key, run] : session.runs) {
        if (run.phase == RunPhase::Ended || run.phase == RunPhase::Committing)
            continue;
        hasExpired = true;
        m_stats.runsLost++;
        queueEnd(session, run, RunEnd::Lost, "");
    }
    if (!hasExpired)
        return;
    // What it lists when it comes back has to be compared with the records before it gets work.
    session.isConfirmed = false;
    m_log.line("lease-ended").field("endpoint", session.endpoint.id).field("failures", session.unansweredHolds);
}

void Dispatcher::removeEndpoint(EndpointSession& session, const char* reason)
{
    if (session.isRemovalOut)
        return;
    session.isRemovalOut = true;
    session.nextHoldAt = m_clock.now() + config::endpointExpiry;
    m_log.line("endpoint-gone").field("endpoint", session.endpoint.id).field("born", session.endpoint.startedAtMs).field("reason", reason);
    m_desc.propose(RemoveEndpoint { session.endpoint.id, session.endpoint.startedAtMs });
}

} // namespace vanillalift::jobs
