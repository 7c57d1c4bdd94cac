#include "dispatcher_p.h"

#include "core/event_log_p.h"
#include "policy/queue_order_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Time for which an endpoint is polled with short waits after the last decision that needed its current runs.
    constexpr std::chrono::milliseconds freshStatusPeriod { 400 };
    /// Longest time for which the acknowledgement of an endpoint's deregistration waits for its tasks to stop. The endpoint repeats an
    /// unanswered deregistration after 1 s.
    constexpr std::chrono::milliseconds maxDeregistrationAckDelay { 800 };
    /// Time without waiting tasks after which pools may ask for instances for deferred jobs: twice the time that an
    /// instance takes to move, since it may have to go back.
    constexpr std::chrono::milliseconds quietPeriod { 3000 };
    /// What a pass of placement takes grows with what waits, and the same thread starts what is placed.
    constexpr PacedIntervalDesc placementPace { Duration::zero(), std::chrono::milliseconds(500), 0.25 };

} // namespace

void JobPlan::resolveProposal(const RunKey& run)
{
    auto it = proposedRuns.find(run.task);
    if (it != proposedRuns.end() && it->second == run.number)
        proposedRuns.erase(it);
}

Dispatcher::Dispatcher(DispatcherDesc desc, JobStore& store, DemandHistory& demand, const Clock& clock, EndpointLinks& links, AdviceService& advice, EventLog& log)
    : m_desc(std::move(desc))
    , m_store(store)
    , m_demand(demand)
    , m_clock(clock)
    , m_links(links)
    , m_adviceService(advice)
    , m_log(log)
    , m_startedAt(clock.now())
    , m_placementPace(placementPace)
{
    restoreState();
    m_store.setObserver(this);
}

Dispatcher::~Dispatcher()
{
    *m_isAlive = false;
    m_store.setObserver(nullptr);
}

void Dispatcher::restoreState()
{
    for (const auto& [id, it] : m_store.endpoints())
        openSession(it);
    for (const auto& [serial, job] : m_store.jobs()) {
        if (job->isActive())
            planOf(*job);
        restorePlacements(*job);
    }
    for (auto& [id, session] : m_sessions)
        stopRunsIfDeregistered(*session);
    resolveOrphanedSuspects();
    flushRunEnds();
}

void Dispatcher::restorePlacements(Job& job)
{
    for (uint32_t occurrence = 0; occurrence < job.occurrences.size(); occurrence++) {
        auto& steps = job.occurrences[occurrence].steps;
        for (uint32_t step = 0; step < steps.size(); step++) {
            for (uint32_t index = 0; index < steps[step].tasks.size(); index++) {
                for (const auto& it : steps[step].tasks[index].placements) {
                    RunKey key { { job.serial, occurrence, step, index }, it.run };
                    auto* session = findSession(it.endpoint);
                    if (!session) {
                        m_pendingEnds.push_back({ key, RunEnd::Lost, "" });
                        notePlacement(job);
                        continue;
                    }
                    auto& run = addRun(*session, job, key);
                    run.isInherited = true;
                    run.wasInherited = true;
                    run.phase = RunPhase::Running;
                    run.mustStop = !job.isActive();
                    // The earlier leader may have had the confirmation.
                    confirmStart(run);
                }
            }
        }
    }
}

EndpointSession& Dispatcher::openSession(const Endpoint& endpoint)
{
    auto& session = m_sessions[endpoint.id];
    if (!session) {
        session = std::make_unique<EndpointSession>();
        // A lease granted by an earlier leader may last until then.
        session->leaseEndsAt = m_startedAt + (endpoint.hasEarlierIncarnation ? m_desc.maxLease : Duration(config::endpointLease));
        session->knownSince = m_clock.now();
        session->lastHeartbeatAt = session->knownSince;
        if (auto stale = m_staleAckUntil.extract(endpoint.id); !stale.empty())
            session->staleAckUntil = stale.mapped();
        session->isCordoned = m_cordonedAddresses.contains(endpoint.address);
        if (auto unstable = m_unstableUntil.find(endpoint.address); unstable != m_unstableUntil.end())
            session->unstableUntil = unstable->second;
        if (auto recorded = m_store.suspects().find({ endpoint.id, endpoint.startedAtMs }); recorded != m_store.suspects().end()) {
            for (const auto& it : recorded->second.runs)
                session->suspects.insert(it.run.task);
        }
    }
    session->endpoint = endpoint;
    updateCapacityGuard(*session);
    updateEvacuation(*session);
    session->link = m_links.open(endpoint);
    // Requests pending on the previous link are never answered.
    session->isStatusRequestPending = false;
    session->pendingRunRequests = 0;
    for (auto& [key, run] : session->runs) {
        run.hasUnansweredStart = run.hasUnansweredStart || (run.isRequestPending && run.phase == RunPhase::Starting);
        run.isRequestPending = false;
        run.isThrottlePending = false;
    }
    return *session;
}

EndpointSession* Dispatcher::findSession(const std::string& id)
{
    auto it = m_sessions.find(id);
    return it == m_sessions.end() ? nullptr : it->second.get();
}

Run* Dispatcher::findRun(EndpointSession& session, const RunKey& key)
{
    auto it = session.runs.find(key);
    return it == session.runs.end() ? nullptr : &it->second;
}

JobPlan& Dispatcher::planOf(Job& job)
{
    auto [it, isNew] = m_plans.try_emplace(job.serial);
    auto& plan = it->second;
    if (!isNew)
        return plan;
    plan.job = &job;
    auto now = m_clock.now();
    auto ageMs = std::clamp<int64_t>(wallClockMs() - job.acceptedAtMs, 0, 600000);
    plan.acceptedAt = now - std::chrono::milliseconds(ageMs);
    plan.estimate = estimateJob(job, 0, learnedRunTimes());
    plan.objective = latencyObjective(m_store.queueOf(job), plan.estimate);
    auto& mean = m_meanWork[job.queue.name];
    mean.add(plan.estimate.totalWorkMs);
    plan.relativeSize = mean.value() > 0 ? plan.estimate.totalWorkMs / mean.value() : 1;
    return plan;
}

void Dispatcher::markDirty(uint64_t serial)
{
    auto it = m_plans.find(serial);
    if (it != m_plans.end())
        it->second.isDirty = true;
}

Run& Dispatcher::addRun(EndpointSession& session, Job& job, const RunKey& key)
{
    const auto& step = job.spec.steps[key.task.step];
    auto& run = session.runs[key];
    run.key = key;
    run.jobId = job.spec.id;
    run.workspace = job.workspace;
    run.service = session.endpoint.service;
    run.need = reservedNeed(step);
    run.workspaceNeed = step.need;
    run.isLongRunning = step.isLongRunning;
    run.isBestEffort = step.isBestEffort;
    run.savesProgress = step.savesProgress;
    run.allowsSpeculativeCopy = step.allowsSpeculativeCopy && !step.isGang && !step.isLongRunning;
    run.latencyTargetMs = step.latencyTargetMs;
    run.estimateMs = step.estimateMs;
    if (const auto* task = job.findTask(key.task)) {
        run.crashes = task->possibleCrashes().crashes;
        run.isIsolated = needsIsolation(task->possibleCrashes());
    }
    run.placedAt = m_clock.now();
    run.progressAt = run.placedAt;
    session.used += run.need;
    session.usedByLongRunning += run.isLongRunning ? run.need : Resources {};
    session.liveRuns++;
    session.runsOfLongRunningTasks += run.isLongRunning ? 1 : 0;
    session.suspectRuns += run.crashes > 0 ? 1 : 0;
    recordStart(session, run);
    session.latencySensitiveRuns += run.latencyTargetMs != 0 ? 1 : 0;
    session.bestEffortRuns += run.isBestEffort ? 1 : 0;
    if (!run.workspace.empty()) {
        m_workspaceUsage[run.workspace] += run.workspaceNeed;
        m_fairShares[run.service].change(run.workspace, run.workspaceNeed, run.placedAt);
    }
    return run;
}

void Dispatcher::releaseRun(EndpointSession& session, Run& run)
{
    if (run.phase == RunPhase::Ended)
        return;
    run.phase = RunPhase::Ended;
    session.used -= run.need;
    session.usedByLongRunning -= run.isLongRunning ? run.need : Resources {};
    session.liveRuns--;
    session.runsOfLongRunningTasks -= run.isLongRunning ? 1 : 0;
    session.suspectRuns -= run.crashes > 0 ? 1 : 0;
    session.latencySensitiveRuns -= run.latencyTargetMs != 0 ? 1 : 0;
    session.bestEffortRuns -= run.isBestEffort ? 1 : 0;
    if (!run.workspace.empty()) {
        m_workspaceUsage[run.workspace] -= run.workspaceNeed;
        m_fairShares[run.service].change(run.workspace, Resources {} - run.workspaceNeed, m_clock.now());
    }
    markCapacityFreed(session, run);
}

void Dispatcher::markCapacityFreed(const EndpointSession& session, const Run& run)
{
    for (auto& [service, state] : m_placementStates) {
        if (service == session.endpoint.service || (state.isLimited && !run.workspace.empty()))
            state.hasChanged = true;
    }
}

void Dispatcher::retryAllPlacements()
{
    for (auto& [service, state] : m_placementStates)
        state.hasChanged = true;
}

void Dispatcher::eraseRun(EndpointSession& session, const RunKey& key)
{
    auto* run = findRun(session, key);
    if (!run)
        return;
    bool isEndUncommitted = run->phase == RunPhase::Ended;
    releaseRun(session, *run);
    session.runs.erase(key);
    if (isEndUncommitted && session.uncommittedEnds > 0)
        session.uncommittedEnds--;
    if (session.uncommittedEnds == 0)
        session.lastEndRecorded = session.lastEndSeen;
}

TaskName Dispatcher::taskNameOf(const Run& run) const { return { run.jobId, run.key.task.occurrence, run.key.task.step, run.key.task.index }; }

void Dispatcher::queueRunEnd(EndpointSession& session, Run& run, RunEnd end, const std::string& checkpoint, std::string_view cause, uint32_t runTimeMs)
{
    if (run.phase == RunPhase::Ended)
        return;
    releaseRun(session, run);
    session.uncommittedEnds++;
    m_pendingEnds.push_back({ run.key, end, checkpoint.empty() ? run.checkpoint : checkpoint, runTimeMs });
    auto line = end == RunEnd::Done ? m_log.line("run-end") : m_log.decisionLine("run-end");
    std::move(line).field("job", run.jobId).field("task", run.key.task).field("run", run.key.number).field("endpoint", session.endpoint.id).field("end", runEndName(end)).field("cause", cause).field("percent", run.percent).field("run-ms", runTimeMs).field("declared-ms", run.estimateMs);
}

void Dispatcher::flushRunEnds()
{
    if (!m_pendingEnds.empty())
        m_desc.propose(EndRuns { std::exchange(m_pendingEnds, {}), wallClockMs() });
}

void Dispatcher::tick()
{
    updateEndpoints();
    placeTasks();
}

void Dispatcher::updateEndpoints()
{
    if (!hasLeaderAuthority())
        return;
    for (auto& [id, session] : m_sessions)
        updateSession(*session);
    resolveDueCrashes();
}

void Dispatcher::placeTasks()
{
    auto now = m_clock.now();
    if (m_placementPace.isDue(now) && hasLeaderAuthority()) {
        planSpeculativeCopies();
        logRunTimes();
        releaseExpiredRoom();
        place();
        m_placementPace.recordPass(now, m_clock.now());
    }
    flushRunEnds();
}

DispatcherStats Dispatcher::stats() const
{
    auto stats = m_stats;
    auto now = m_clock.now();
    stats.endpoints = m_sessions.size();
    for (const auto& [id, session] : m_sessions) {
        stats.reservationsHeld += session->reservation ? 1 : 0;
        if (!isReachable(*session, now))
            stats.endpointsSilent++;
        else if (!session->isCapacityCertain(now, m_desc.maxCapacityReportAge))
            stats.endpointsUnreported++;
        stats.evacuatedRuns += session->isEvacuated ? session->liveRuns : 0;
        for (const auto& [key, run] : session->runs)
            stats.liveRuns += run.phase != RunPhase::Ended ? 1 : 0;
    }
    for (const auto& [serial, plan] : m_plans)
        stats.readyTasks += plan.ready.size();
    stats.openJobs = m_plans.size();
    return stats;
}

void Dispatcher::receiveHeartbeat(const Heartbeat& heartbeat, std::function<void()> onRecorded)
{
    const auto& reported = heartbeat.endpoint;
    if (!isServiceKnown(reported.service)) {
        // Another writer's entry, which says nothing about the endpoints on its instance.
        m_log.line("heartbeat-ignored").field("endpoint", reported.id).field("service", reported.service).field("address", reported.address);
        return onRecorded();
    }
    const auto* known = m_store.findEndpoint(reported.id);
    if (known && reported.startedAtMs < known->startedAtMs)
        return onRecorded();
    auto* session = findSession(reported.id);
    auto now = m_clock.now();
    bool isSameIncarnation = known && session && known->startedAtMs == reported.startedAtMs;
    if (isSameIncarnation) {
        bool isOld = heartbeat.sequence < known->reportSequence || (heartbeat.sequence <= session->lastHeartbeatSequence && session->lastHeartbeatSequence != 0);
        if (isOld)
            return onRecorded();
        if (!isReachable(*session, now) || !session->isCapacityCertain(now, m_desc.maxCapacityReportAge))
            retryAllPlacements();
        session->lastHeartbeatSequence = heartbeat.sequence;
        session->lastHeartbeatAt = now;
        if (heartbeat.clockMs)
            session->addClockSample(*heartbeat.clockMs, now);
    }
    auto recorded = reported;
    recorded.isDraining = reported.isDraining || (isSameIncarnation && known->isDraining);
    recorded.hasEarlierIncarnation = isSameIncarnation && known->hasEarlierIncarnation;
    // A heartbeat without draining shows that the deregistration was one of an earlier incarnation.
    recorded.hasDeregistered = isSameIncarnation && (known->hasDeregistered || session->isDeregistrationPending) && recorded.isDraining;
    bool isProposed = isSameIncarnation && session->isRegistrationPending && session->reportedCapacity == reported.capacity;
    if (isSameIncarnation) {
        setReportedCapacity(*session, heartbeat, now);
    } else {
        if (session)
            session->isSuperseded = true;
        auto& registration = m_registrations[reported.id];
        const auto& earlier = registration.heartbeat;
        if (reported.startedAtMs > earlier.endpoint.startedAtMs || heartbeat.sequence >= earlier.sequence)
            registration = { heartbeat, now };
    }
    recorded.reportSequence = isSameIncarnation ? known->reportSequence : 0;
    if (isSameIncarnation && *known == recorded)
        return onRecorded();
    recorded.reportSequence = heartbeat.sequence;
    m_waiters[reported.id].push_back({ reported.id, std::move(onRecorded) });
    if (isProposed)
        return;
    if (session)
        session->isRegistrationPending = true;
    m_log.line("endpoint-report").field("endpoint", recorded.id).field("born", recorded.startedAtMs).field("service", recorded.service).field("address", recorded.address).field("draining", recorded.isDraining).field("sequence", heartbeat.sequence);
    m_desc.propose(PutEndpoint { std::move(recorded) });
}

bool Dispatcher::isServiceKnown(std::string_view service) const
{
    // Endpoints may report before the first configuration arrives.
    return m_store.catalog().version == 0 || m_store.catalog().serviceNamed(service);
}

void Dispatcher::setReportedCapacity(EndpointSession& session, const Heartbeat& heartbeat, TimePoint receivedAt)
{
    session.reportedCapacity = heartbeat.endpoint.capacity;
    session.capacityReportedAt = receivedAt;
    session.capacityClockMs = heartbeat.clockMs;
    auto coldLeft = std::chrono::milliseconds(heartbeat.warmUpMs);
    session.warmAt = receivedAt + coldLeft;
    session.coldTime = std::max<Duration>(session.coldTime, coldLeft);
}

void Dispatcher::receiveDeregistration(const std::string& endpointId, std::function<void()> onRecorded)
{
    const auto* known = m_store.findEndpoint(endpointId);
    auto* session = findSession(endpointId);
    if (!known || !session)
        return onRecorded();
    m_log.decisionLine("endpoint-leave").field("endpoint", endpointId).field("born", known->startedAtMs).field("draining", known->isDraining).field("runs", session->runs.size()).field("repeated", known->hasDeregistered);
    session->deregistrationWaiters.push_back(std::move(onRecorded));
    if (session->runs.empty())
        return removeEndpoint(*session, RemovalReason::Left);
    if (session->deregistrationAckDueAt == TimePoint {})
        session->deregistrationAckDueAt = m_clock.now() + (known->isDraining ? Duration(maxDeregistrationAckDelay) : Duration::zero());
    if (session->isDeregistrationPending || known->hasDeregistered)
        return;
    // The endpoint runs until it has the acknowledgement, and for some seconds without one.
    session->isDeregistrationPending = true;
    m_desc.propose(MarkDeregistered { endpointId, known->startedAtMs });
}

void Dispatcher::onEndpointDeregistered(const Endpoint& endpoint)
{
    auto* session = findSession(endpoint.id);
    if (!session)
        return;
    session->isDeregistrationPending = false;
    session->endpoint.hasDeregistered = true;
    stopRunsIfDeregistered(*session);
}

void Dispatcher::stopRunsIfDeregistered(EndpointSession& session)
{
    if (!session.endpoint.hasDeregistered)
        return;
    if (!session.isAboutToEnd())
        return cancelUnsentStarts(session);
    for (auto& [key, run] : session.runs) {
        if (!run.mustStop)
            run.nextRunRequestAt = {};
        run.mustStop = true;
    }
}

void Dispatcher::updateDeregistration(EndpointSession& session, TimePoint now)
{
    if (session.endpoint.hasDeregistered && session.runs.empty())
        return removeEndpoint(session, RemovalReason::Left);
    if (session.deregistrationWaiters.empty() || session.isDeregistrationPending || now < session.deregistrationAckDueAt)
        return;
    for (auto& it : std::exchange(session.deregistrationWaiters, {}))
        it();
}

void Dispatcher::setCordoned(const std::set<std::string>& endpointIds)
{
    bool isAnyUncordoned = false;
    for (auto& [id, session] : m_sessions) {
        bool wasCordoned = std::exchange(session->isCordoned, endpointIds.contains(id));
        isAnyUncordoned = isAnyUncordoned || (wasCordoned && !session->isCordoned);
    }
    m_cordonedAddresses.clear();
    if (isAnyUncordoned)
        retryAllPlacements();
}

void Dispatcher::setTakenDown(const std::set<std::string>& endpointIds)
{
    for (auto& [id, session] : m_sessions)
        session->isTakenDown = endpointIds.contains(id);
}

void Dispatcher::setDueForMaintenance(const std::set<std::string>& endpointIds)
{
    for (auto& [id, session] : m_sessions)
        session->isDueForMaintenance = endpointIds.contains(id);
}

void Dispatcher::requestFreshStatus(const std::string& endpointId)
{
    if (auto* session = findSession(endpointId))
        session->freshStatusUntil = m_clock.now() + freshStatusPeriod;
}

void Dispatcher::removeMovedEndpoint(const std::string& endpointId)
{
    if (auto* session = findSession(endpointId))
        removeEndpoint(*session, RemovalReason::Moved);
}

void Dispatcher::evict(const std::string& endpointId, const RunKey& run)
{
    auto* session = findSession(endpointId);
    auto* found = session ? findRun(*session, run) : nullptr;
    if (!found || found->mustStop || found->phase == RunPhase::Ended)
        return;
    found->mustStop = true;
    found->nextRunRequestAt = {};
    m_log.line("evacuate").field("job", found->jobId).field("task", run.task).field("run", run.number).field("endpoint", endpointId);
}

void Dispatcher::onCatalog()
{
    for (auto& [serial, plan] : m_plans)
        plan.isDirty = true;
    for (auto& [id, session] : m_sessions) {
        updateCapacityGuard(*session);
        if (session->runs.empty() && !isServiceKnown(session->endpoint.service))
            removeEndpoint(*session, RemovalReason::UnknownService);
    }
}

void Dispatcher::updateCapacityGuard(EndpointSession& session)
{
    const auto* service = m_store.catalog().serviceNamed(session.endpoint.service);
    session.guardsCapacity = service && service->refusesOverload;
}

void Dispatcher::onEndpoint(const Endpoint& endpoint)
{
    auto* session = findSession(endpoint.id);
    if (!session) {
        session = &openSession(endpoint);
    } else {
        bool isNewIncarnation = session->endpoint.startedAtMs != endpoint.startedAtMs;
        bool hasNewAddress = session->endpoint.address != endpoint.address;
        if (isNewIncarnation) {
            handleIncarnationEnd(*session, "restarted");
            session->resetIncarnation(m_clock.now(), m_desc.maxLease);
        }
        session->isRegistrationPending = false;
        session->lastHeartbeatAt = m_clock.now();
        if (hasNewAddress)
            openSession(endpoint);
        session->endpoint = endpoint;
        updateCapacityGuard(*session);
        updateEvacuation(*session);
        stopRunsIfDeregistered(*session);
        retryAllPlacements();
    }
    auto registration = m_registrations.find(endpoint.id);
    if (registration != m_registrations.end() && registration->second.heartbeat.endpoint.startedAtMs <= endpoint.startedAtMs) {
        if (registration->second.heartbeat.endpoint.startedAtMs == endpoint.startedAtMs)
            setReportedCapacity(*session, registration->second.heartbeat, registration->second.receivedAt);
        m_registrations.erase(registration);
    }
    auto waiters = m_waiters.extract(endpoint.id);
    if (!waiters.empty()) {
        for (auto& it : waiters.mapped())
            it.onRecorded();
    }
}

void Dispatcher::onEndpointRemoved(const Endpoint& last)
{
    auto* session = findSession(last.id);
    if (session) {
        bool hasLeft = last.hasDeregistered || session->removalReason == RemovalReason::Left;
        std::string_view cause = session->isRemovalPending ? "removed" : "replaced";
        handleIncarnationEnd(*session, hasLeft ? "left" : cause);
        m_log.decisionLine("endpoint-removed").field("endpoint", last.id).field("born", last.startedAtMs).field("runs", session->runs.size());
        for (auto& [key, run] : session->runs) {
            if (run.phase == RunPhase::Committing) {
                // The store rejects the placement when the command is applied.
                releaseRun(*session, run);
                continue;
            }
            if (run.phase != RunPhase::Ended)
                m_stats.runsLost++;
            queueRunEnd(*session, run, endWithoutReport(run), "", session->isRemovalPending ? "endpoint-removed" : "endpoint-replaced");
        }
        session->resetIncarnation(m_clock.now(), m_desc.maxLease);
        std::erase_if(m_staleAckUntil, [now = m_clock.now()](const auto& it) { return it.second <= now; });
        if (session->staleAckUntil > m_clock.now())
            m_staleAckUntil[last.id] = session->staleAckUntil;
        if (session->isCordoned)
            m_cordonedAddresses.insert(last.address);
        auto deregistrationWaiters = std::move(session->deregistrationWaiters);
        std::erase_if(m_roomHolds, [&](const auto& it) { return it.second.endpoint == last.id; });
        m_sessions.erase(last.id);
        for (auto& it : deregistrationWaiters)
            it();
    }
    auto waiters = m_waiters.extract(last.id);
    if (!waiters.empty()) {
        for (auto& it : waiters.mapped())
            it.onRecorded();
    }
}

void Dispatcher::onJob(Job& job) { planOf(job); }

std::map<std::string, Dispatcher::ServiceLoad> Dispatcher::loads()
{
    std::map<std::string, ServiceLoad> loads;
    for (const auto& [service, arrivals] : m_demand.arrivals()) {
        auto& load = loads[service];
        load.arriving = arrivals.rate();
        load.isRising = arrivals.isRising();
        load.expectedPeak = m_demand.expectedPeak(service);
    }
    std::map<std::string, double> counts;
    for (const auto& [serial, plan] : m_plans) {
        const auto& job = *plan.job;
        bool isScheduled = job.spec.occurrences != 0;
        if (isScheduled && plan.dueWorkMs == 0)
            continue;
        auto& load = loads[m_store.queueOf(job).service];
        if (job.isLongRunning()) {
            for (const auto& step : job.spec.steps) {
                auto need = reservedNeed(step);
                load.reservedByLongRunning += { need.cpu * step.taskCount, need.memory * step.taskCount, need.gpus * step.taskCount };
            }
            continue;
        }
        auto workMs = isScheduled ? plan.dueWorkMs : plan.estimate.workMs;
        auto memoryMs = isScheduled ? plan.dueMemoryMs : plan.estimate.memoryMs;
        auto& backlog = isDeferred(plan) ? load.deferredBacklog : load.backlog;
        backlog += { static_cast<int64_t>(workMs), static_cast<int64_t>(memoryMs / 1000), 0 };
        load.objectiveSeconds += std::chrono::duration<double>(plan.objective).count();
        counts[m_store.queueOf(job).service]++;
    }
    for (const auto& [id, session] : m_sessions) {
        if (session->liveRuns > session->runsOfLongRunningTasks)
            loads[session->endpoint.service].running += session->used - session->usedByLongRunning;
    }
    addReadyNeeds(loads);
    addDeferredLoad(loads);
    for (auto& [service, load] : loads) {
        if (counts[service] > 0)
            load.objectiveSeconds /= counts[service];
    }
    return loads;
}

void Dispatcher::logJobEnd(const Job& job)
{
    const auto* plan = m_plans.contains(job.serial) ? &m_plans.at(job.serial) : nullptr;
    auto ageMs = job.finishedAtMs - job.acceptedAtMs;
    auto objectiveMs = plan ? std::chrono::duration_cast<std::chrono::milliseconds>(plan->objective).count() : 0;
    auto line = job.phase == JobPhase::Failed ? m_log.decisionLine("job-end") : m_log.line("job-end");
    std::move(line).field("job", job.spec.id).field("queue", job.queue.name).field("workspace", job.workspace).field("phase", jobPhaseName(job.phase)).field("age-ms", ageMs).field("objective-ms", objectiveMs).field("placements", job.placementCount);
}

void Dispatcher::onJobFinished(Job& job)
{
    logJobEnd(job);
    m_plans.erase(job.serial);
    m_unconfirmedJobs.erase(job.serial);
    m_advice.erase(m_advice.lower_bound({ job.serial, 0, 0, 0 }), m_advice.lower_bound({ job.serial + 1, 0, 0, 0 }));
    m_restartAt.erase(m_restartAt.lower_bound({ job.serial, 0, 0, 0 }), m_restartAt.lower_bound({ job.serial + 1, 0, 0, 0 }));
    if (job.placementCount == 0)
        return;
    for (auto& [id, session] : m_sessions) {
        for (auto it = session->runs.lower_bound({ { job.serial, 0, 0, 0 }, 0 }); it != session->runs.end() && it->first.task.job == job.serial; ++it) {
            it->second.mustStop = true;
            it->second.nextRunRequestAt = {};
        }
    }
}

void Dispatcher::notePlacement(const Job& job)
{
    auto plan = m_plans.find(job.serial);
    if (plan != m_plans.end() && !plan->second.hasConfirmedRun && !job.hasRun)
        m_unconfirmedJobs.insert(job.serial);
}

void Dispatcher::onRunPlaced(Job& job, const RunKey& key, const std::string& endpoint)
{
    auto plan = m_plans.find(job.serial);
    if (plan != m_plans.end()) {
        plan->second.resolveProposal(key);
        plan->second.isDirty = true;
    }
    notePlacement(job);
    auto* session = findSession(endpoint);
    auto* run = session ? findRun(*session, key) : nullptr;
    if (!run) {
        // The endpoint's incarnation has ended since the proposal, and no request was sent.
        m_pendingEnds.push_back({ key, RunEnd::NotStarted, "" });
        return;
    }
    run->phase = RunPhase::Starting;
    run->placedAt = m_clock.now();
    if (hasLeaderAuthority())
        sendDueRequest(*session, *run, m_clock.now());
}

void Dispatcher::onPlacementRefused(Job& job, const RunKey& run, const std::string& endpoint)
{
    m_log.decisionLine("place-refused").field("job", job.spec.id).field("task", run.task).field("run", run.number).field("endpoint", endpoint);
    onRunEnded(job, { run, RunEnd::NotStarted, "" }, endpoint);
}

void Dispatcher::onRunEnded(Job& job, const EndedRun& run, const std::string& endpoint)
{
    auto plan = m_plans.find(job.serial);
    if (plan != m_plans.end()) {
        plan->second.resolveProposal(run.run);
        plan->second.isDirty = true;
    }
    if (job.hasRun)
        m_unconfirmedJobs.erase(job.serial);
    auto* session = findSession(endpoint);
    if (session)
        eraseRun(*session, run.run);
    // Other copies of a completed task are not needed.
    const auto* task = job.findTask(run.run.task);
    if (!task || !task->isDone)
        return;
    for (const auto& it : task->placements)
        evict(it.endpoint, { run.run.task, it.run });
}

void Dispatcher::addReadyNeeds(std::map<std::string, ServiceLoad>& loads)
{
    std::map<std::pair<std::string, std::string>, Resources> needs;
    for (const auto& [serial, plan] : m_plans) {
        if (isDeferred(plan)) {
            for (const auto& key : plan.ready)
                loads[m_store.queueOf(*plan.job).service].deferredReady += reservedNeed(plan.job->spec.steps[key.step]);
            continue;
        }
        auto& need = needs[{ m_store.queueOf(*plan.job).service, plan.job->workspace }];
        for (const auto& key : plan.ready) {
            const auto& step = plan.job->spec.steps[key.step];
            if (step.isLongRunning)
                loads[m_store.queueOf(*plan.job).service].waitingLongRunningTasks++;
            else
                need += reservedNeed(step);
        }
    }
    for (auto& [serviceAndWorkspace, need] : needs) {
        const auto& [service, name] = serviceAndWorkspace;
        auto unlimitedNeed = need;
        if (const auto* workspace = m_store.catalog().workspaceNamed(name)) {
            const auto& used = m_workspaceUsage[name];
            auto clampToLimit = [](int64_t& amount, int64_t limit, int64_t inUse) {
                if (limit != 0)
                    amount = std::clamp<int64_t>(limit - inUse, 0, amount);
            };
            clampToLimit(need.cpu, workspace->limit.cpu, used.cpu);
            clampToLimit(need.memory, workspace->limit.memory, used.memory);
        }
        loads[service].ready += need;
        loads[service].limited += unlimitedNeed - need;
    }
}

void Dispatcher::addDeferredLoad(std::map<std::string, ServiceLoad>& loads)
{
    auto now = m_clock.now();
    if (std::any_of(loads.begin(), loads.end(), [](const auto& it) { return it.second.ready != Resources {}; }))
        m_lastWaitingAt = now;
    if (now - m_lastWaitingAt < quietPeriod)
        return;
    for (auto& [service, load] : loads) {
        load.ready += load.deferredReady;
        load.backlog += load.deferredBacklog;
    }
}

bool Dispatcher::isDeferred(const JobPlan& plan) const
{
    if (m_desc.features.entitlement && plan.job->isBeyondRate)
        return true;
    if (!m_desc.features.deferral || plan.job->isLongRunning() || plan.job->spec.occurrences != 0)
        return false;
    auto expiresAt = plan.acceptedAt + expiryFactor * plan.objective;
    return m_clock.now() + std::chrono::milliseconds(static_cast<int64_t>(plan.estimate.criticalPathMs * estimateTolerance)) > expiresAt;
}

bool Dispatcher::isReachable(const EndpointSession& session, TimePoint now)
{
    auto lastContactAt = std::max(session.lastReplyAt, session.lastHeartbeatAt);
    return session.isReconciled && session.unansweredStatusRequests == 0 && now - lastContactAt < config::endpointContactTimeout;
}

} // namespace vanillalift::jobs
