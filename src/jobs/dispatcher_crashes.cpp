#include "dispatcher_p.h"

#include "core/event_log_p.h"

#include <algorithm>
#include <iterator>

namespace vanillalift::jobs {

namespace {

    /// A long-running task that has been in progress for this long is no suspect when its endpoint crashes.
    constexpr std::chrono::milliseconds suspicionPeriod { 10000 };
    /// Time for which an endpoint counts as unstable after a crash at its address.
    constexpr std::chrono::milliseconds unstablePeriod { 10000 };
    /// Time after a start without another one on the endpoint: a crash meanwhile is attributed to that start.
    constexpr std::chrono::milliseconds isolationPeriod { 500 };
    /// Time for which an endpoint is kept for an isolated task that waits for it: isolationPeriod and a few attempts to place it.
    constexpr std::chrono::milliseconds reservationPeriod { 900 };
    /// At most one in this many endpoints of a pool is reserved for isolated tasks.
    constexpr size_t maxReservedPart = 4;
    /// Time for which losses of endpoints are remembered, to recognize those of a rack or availability zone.
    constexpr std::chrono::milliseconds lossMemory { 30000 };
    /// Time after the end of an endpoint at which its crash is attributed: other endpoints that were lost with it are known by then.
    constexpr std::chrono::milliseconds attributionDelay { 1000 };
    /// Endpoints send a heartbeat at least this often.
    constexpr std::chrono::milliseconds maxHeartbeatInterval { 2000 };
    /// Time until a long-running task that is taken to be the cause of crashes is started again.
    constexpr std::chrono::milliseconds crashRestartDelay { 3000 };

} // namespace

bool Dispatcher::isSuspect(const Run& run) const
{
    bool isInProgress = run.phase == RunPhase::Running && run.knownToEndpointAt != TimePoint {} && !run.mustStop;
    bool wasInterrupted = run.phase == RunPhase::Starting && run.wasStartInterrupted;
    bool isProven = run.isLongRunning && run.startedAt != TimePoint {} && m_clock.now() - run.startedAt > suspicionPeriod;
    return (isInProgress || wasInterrupted) && !isProven;
}

bool Dispatcher::isEndPlanned(const EndpointSession& session)
{
    return session.endpoint.isDraining || session.endpoint.hasDeregistered || session.isTakenDown || session.removalReason == RemovalReason::Left || session.removalReason == RemovalReason::Moved;
}

void Dispatcher::recordSuspects(EndpointSession& session)
{
    // Runs of an earlier incarnation may still be listed until the endpoint has been reconciled.
    if (!session.isReconciled || isEndPlanned(session))
        return;
    // A broken connection shows the time of the loss; otherwise it was after the last reply.
    auto lostAt = session.isConnectionLost ? session.silentSince : session.lastReplyAt;
    RecordSuspects command { session.endpoint.id, session.endpoint.startedAtMs, {} };
    for (const auto& [key, run] : session.runs) {
        if (!isSuspect(run) || !session.suspects.insert(key.task).second)
            continue;
        bool hasStarted = run.phase == RunPhase::Running && run.startedAt != TimePoint {};
        command.runs.push_back({ key, suspicionWeight(hasStarted ? lostAt - run.startedAt : Duration::zero()), 0 });
    }
    if (command.runs.empty())
        return;
    m_desc.propose(std::move(command));
}

void Dispatcher::resolveSuspects(EndpointSession& session, bool hasCrashed)
{
    if (session.suspects.empty())
        return;
    session.suspects.clear();
    m_desc.propose(ResolveSuspects { session.endpoint.id, session.endpoint.startedAtMs, hasCrashed, wallClockMs() });
}

void Dispatcher::resolveOrphanedSuspects()
{
    for (const auto& [key, suspects] : m_store.suspects()) {
        const auto& id = key.first;
        const auto* endpoint = m_store.findEndpoint(id);
        if (endpoint && endpoint->startedAtMs == suspects.startedAtMs)
            continue;
        m_log.stateLine("endpoint-crash").field("endpoint", id).field("born", suspects.startedAtMs).field("replaced", suspects.isReplaced);
        m_desc.propose(ResolveSuspects { id, suspects.startedAtMs, suspects.isReplaced, wallClockMs() });
    }
}

EndpointLoss Dispatcher::describeLoss(const EndpointSession& session, TimePoint now)
{
    const auto& endpoint = session.endpoint;
    EndpointLoss loss { endpoint.id, endpoint.address, endpoint.rack, endpoint.availabilityZone, std::max(session.lastReplyAt, session.lastHeartbeatAt), now };
    if (session.unansweredStatusRequests > 0)
        loss.notAfter = std::max(loss.notBefore, session.silentSince);
    if (session.isConnectionLost)
        loss.notBefore = loss.notAfter;
    return loss;
}

bool Dispatcher::wasLostWithGroup(const EndpointLoss& loss) const
{
    auto now = m_clock.now();
    std::vector<EndpointLoss> losses;
    std::copy_if(m_losses.begin(), m_losses.end(), std::back_inserter(losses), [&](const EndpointLoss& it) { return it.endpoint != loss.endpoint; });
    Survivors survivors;
    for (const auto& [id, it] : m_sessions) {
        const auto& endpoint = it->endpoint;
        if (endpoint.rack != loss.rack && endpoint.availabilityZone != loss.availabilityZone)
            continue;
        auto lastContactAt = std::max(it->lastReplyAt, it->lastHeartbeatAt);
        if (lastContactAt <= loss.notAfter) {
            // An endpoint that has been silent for longer was lost before.
            if (lastContactAt + maxHeartbeatInterval > loss.notBefore)
                losses.push_back(describeLoss(*it, now));
            continue;
        }
        // The successor of a lost endpoint is no survivor.
        bool isSuccessor = std::any_of(m_losses.begin(), m_losses.end(), [&](const EndpointLoss& lost) { return lost.notAfter >= loss.notBefore && lost.address == endpoint.address; });
        if (isSuccessor)
            continue;
        survivors.inRack += endpoint.rack == loss.rack ? 1 : 0;
        survivors.inZone += endpoint.availabilityZone == loss.availabilityZone ? 1 : 0;
    }
    return isGroupLoss(loss, losses, survivors);
}

void Dispatcher::handleIncarnationEnd(EndpointSession& session, std::string_view cause)
{
    auto now = m_clock.now();
    giveUpReservation(session, "endpoint-lost");
    recordSuspects(session);
    bool wasReplaced = session.removalReason == RemovalReason::None || session.removalReason == RemovalReason::Replaced;
    bool isCrash = wasReplaced && !isEndPlanned(session);
    size_t live = 0;
    size_t confirmed = 0;
    for (const auto& [key, run] : session.runs) {
        live += run.phase != RunPhase::Ended && run.phase != RunPhase::Committing ? 1 : 0;
        confirmed += run.phase == RunPhase::Running && run.knownToEndpointAt != TimePoint {} ? 1 : 0;
    }
    if (live > 0 || !session.suspects.empty()) {
        m_stats.endpointsLost++;
        auto lastContactAt = std::max(session.lastReplyAt, session.lastHeartbeatAt);
        m_log.stateLine("endpoint-lost").field("endpoint", session.endpoint.id).field("born", session.endpoint.startedAtMs).field("cause", cause).field("crash", isCrash).field("draining", session.endpoint.isDraining).field("taken-down", session.isTakenDown).field("silent-ms", millisecondsUntil(now, lastContactAt)).field("failures", session.unansweredStatusRequests).field("reset", session.isConnectionLost).field("runs", live).field("confirmed-runs", confirmed).field("suspects", session.suspects.size());
    }
    if (!isCrash)
        return resolveSuspects(session, false);
    std::erase_if(m_unstableUntil, [&](const auto& it) { return it.second <= now; });
    m_unstableUntil[session.endpoint.address] = now + unstablePeriod;
    session.unstableUntil = now + unstablePeriod;
    std::erase_if(m_losses, [&](const EndpointLoss& it) { return now - it.notAfter > lossMemory; });
    m_losses.push_back(describeLoss(session, now));
    if (!session.suspects.empty())
        m_pendingCrashes.push_back({ m_losses.back(), session.endpoint.startedAtMs, now + attributionDelay });
    session.suspects.clear();
}

void Dispatcher::resolveDueCrashes()
{
    auto now = m_clock.now();
    std::erase_if(m_pendingCrashes, [&](const PendingCrash& it) {
        if (now < it.dueAt)
            return false;
        bool isGroup = wasLostWithGroup(it.loss);
        m_stats.endpointsCrashed += isGroup ? 0 : 1;
        m_log.stateLine("endpoint-crash").field("endpoint", it.loss.endpoint).field("born", it.startedAtMs).field("group", isGroup);
        m_desc.propose(ResolveSuspects { it.loss.endpoint, it.startedAtMs, !isGroup, wallClockMs() });
        return true;
    });
}

void Dispatcher::forgetCrashes(EndpointSession& session)
{
    if (session.suspectRuns == 0)
        return;
    ForgetCrashes command;
    for (auto& [key, run] : session.runs) {
        bool isProven = run.isLongRunning && run.crashes > 0 && run.phase == RunPhase::Running && run.startedAt != TimePoint {} && m_clock.now() - run.startedAt > suspicionPeriod;
        if (!isProven)
            continue;
        session.suspectRuns--;
        run.crashes = 0;
        command.tasks.push_back(key.task);
    }
    if (!command.tasks.empty())
        m_desc.propose(std::move(command));
}

void Dispatcher::recordStart(EndpointSession& session, const Run& run)
{
    session.lastStartAt = m_clock.now();
    if (run.isIsolated)
        session.reservedUntil = std::max(session.reservedUntil, session.lastStartAt + isolationPeriod);
}

bool Dispatcher::isQuiet(const EndpointSession& session) const { return m_clock.now() - session.lastStartAt >= isolationPeriod; }

void Dispatcher::reserveEndpoint(const StepSpec& step, PlacementHints hints, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions)
{
    m_waitingIsolatedTasks++;
    auto reserved = static_cast<size_t>(std::count_if(candidates.begin(), candidates.end(), [](const auto& it) { return it.isReserved; }));
    if (reserved >= std::min(m_waitingIsolatedTasks, std::max<size_t>(1, candidates.size() / maxReservedPart)))
        return;
    // Without the condition that the endpoint is quiet: it will be, as nothing else is started there.
    hints.isIsolated = false;
    auto chosen = choosePlacement(step, hints, candidates);
    if (!chosen)
        return;
    candidates[*chosen].isReserved = true;
    sessions[*chosen]->reservedUntil = m_clock.now() + reservationPeriod;
}

void Dispatcher::onSuspicion(Job& job, const TaskKey& task, bool isCause)
{
    markDirty(job.serial);
    const auto* state = job.findTask(task);
    if (!state)
        return;
    if (state->crashes.crashes > 0)
        m_log.decisionLine("task-suspect").field("job", job.spec.id).field("task", task).field("crashes", state->crashes.crashes).field("blame", state->crashes.blame).field("open-crashes", state->openCrashes).field("open-blame", state->openBlame);
    if (!isCause)
        return;
    if (job.spec.steps[task.step].isLongRunning) {
        m_restartAt[task] = m_clock.now() + crashRestartDelay;
        m_log.decisionLine("restart-delayed").field("job", job.spec.id).field("task", task).field("crashes", state->crashes.crashes).field("blame", state->crashes.blame);
        return;
    }
    m_stats.jobsGivenUp++;
    m_log.stateLine("job-given-up").field("job", job.spec.id).field("task", task).field("crashes", state->crashes.crashes).field("blame", state->crashes.blame).field("runs", state->lastRun);
}

} // namespace vanillalift::jobs
