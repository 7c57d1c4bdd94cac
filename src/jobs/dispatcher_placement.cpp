#include "dispatcher_p.h"

#include "core/event_log_p.h"
#include "policy/queue_order_p.h"
#include "policy/warm_up_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace vanillalift::jobs {

namespace {

    /// A job that takes longer than this multiple of its latency objective has no value.
    constexpr int expiryFactor = 3;
    /// Largest number of needs that UnplaceableNeeds remembers.
    constexpr size_t maxUnplaceableNeeds = 16;
    /// Time before its due time from which the work of an occurrence counts as demand: an instance takes 1.5 s to move.
    constexpr std::chrono::milliseconds occurrenceLead { 2000 };
    /// Longest time until a due time is checked again: the wall clock may have been set.
    constexpr std::chrono::milliseconds dueRecheckInterval { 1000 };
    /// Interval of log entries about a job whose tasks cannot be placed.
    constexpr std::chrono::milliseconds waitLogInterval { 3000 };
    /// Minimum time between a reply with a step's advice and the next request for it.
    constexpr std::chrono::milliseconds adviceRetryDelay { 200 };
    /// Timeout of a request for advice, in addition to the decision time in the queue's settings.
    constexpr std::chrono::milliseconds adviceTimeoutMargin { 1500 };

    void setRunCounts(PlacementCandidate& candidate, const EndpointSession& session)
    {
        candidate.latencySensitiveRuns = session.latencySensitiveRuns;
        candidate.bestEffortRuns = session.bestEffortRuns;
        candidate.liveRuns = session.liveRuns;
        candidate.suspectRuns = session.suspectRuns;
    }

    TaskKey firstTaskOfStep(const TaskKey& key) { return { key.job, key.occurrence, key.step, 0 }; }

    bool isConstrained(const StepSpec& step) { return step.maxPerEndpoint != 0 || !step.requiredLabel.empty(); }

} // namespace

/// The smallest needs that did not fit on any endpoint in this pass, to skip tasks that need at least as much.
class Dispatcher::UnplaceableNeeds {
public:
    [[nodiscard]] bool covers(const Resources& need) const
    {
        return std::any_of(m_needs.begin(), m_needs.end(), [&](const auto& it) { return it.fitsIn(need); });
    }
    void add(const Resources& need)
    {
        if (covers(need))
            return;
        std::erase_if(m_needs, [&](const auto& it) { return need.fitsIn(it); });
        if (m_needs.size() < maxUnplaceableNeeds)
            m_needs.push_back(need);
    }

private:
    std::vector<Resources> m_needs;
};

void Dispatcher::refreshPlan(JobPlan& plan)
{
    plan.isDirty = false;
    plan.refreshAt = TimePoint::max();
    plan.ready.clear();
    plan.smallestNeed = { std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::max() };
    plan.dueWorkMs = plan.dueMemoryMs = 0;
    auto& job = *plan.job;
    bool hasDue = false;
    for (uint32_t occurrence = 0; occurrence < job.occurrences.size(); occurrence++) {
        if (job.occurrences[occurrence].isDone)
            continue;
        auto estimate = estimateJob(job, occurrence);
        if (job.spec.occurrences != 0) {
            auto dueInMs = job.spec.firstAtMs + static_cast<int64_t>(occurrence) * job.spec.periodMs - wallClockMs();
            bool isSoon = dueInMs <= std::chrono::milliseconds(occurrenceLead).count();
            if (dueInMs > 0) {
                auto nextInMs = isSoon ? dueInMs : dueInMs - std::chrono::milliseconds(occurrenceLead).count();
                plan.refreshAt = m_clock.now() + std::min<Duration>(std::chrono::milliseconds(nextInMs), dueRecheckInterval);
            }
            if (!isSoon)
                break;
            plan.dueWorkMs += estimate.workMs;
            plan.dueMemoryMs += estimate.memoryMs;
            if (dueInMs > 0)
                continue;
            // The oldest occurrence that is not done determines the urgency of the job.
            if (!hasDue)
                plan.acceptedAt = m_clock.now() + std::chrono::milliseconds(dueInMs);
        }
        collectReady(plan, occurrence);
        if (!std::exchange(hasDue, true))
            plan.estimate = estimate;
    }
    plan.objective = latencyObjective(m_store.queueOf(job), plan.estimate);
}

void Dispatcher::collectReady(JobPlan& plan, uint32_t occurrence)
{
    const auto& job = *plan.job;
    const auto& steps = job.occurrences[occurrence].steps;
    for (uint32_t step = 0; step < steps.size(); step++) {
        const auto& tasks = steps[step].tasks;
        if (steps[step].doneCount == tasks.size() || !job.isStepReady(occurrence, step))
            continue;
        for (uint32_t index = 0; index < tasks.size(); index++) {
            TaskKey key { job.serial, occurrence, step, index };
            if (plan.proposedRuns.contains(key))
                continue;
            if (isHeldBack(tasks[index].crashes, tasks[index].possibleCrashes()))
                continue;
            const auto* run = onlyRunOf(key, tasks[index]);
            if (!tasks[index].isIdle() && !(run && run->wantsSpeculativeCopy))
                continue;
            plan.ready.push_back(key);
            auto need = reservedNeed(job.spec.steps[step]);
            auto& smallest = plan.smallestNeed;
            smallest = { std::min(smallest.cpu, need.cpu), std::min(smallest.memory, need.memory), std::min(smallest.gpus, need.gpus) };
        }
    }
}

bool Dispatcher::isSchedulable(const EndpointSession& session, TimePoint now) const
{
    return isReachable(session, now) && !session.endpoint.isDraining && !session.endpoint.hasDeregistered && !session.isCordoned && !session.isEvacuated && !session.isRemovalPending && session.clock && now >= std::max(session.backoffUntil, session.staleAckUntil);
}

bool Dispatcher::isWithinLimit(const Job& job, const StepSpec& step, uint32_t count)
{
    const auto* workspace = job.workspace.empty() ? nullptr : m_store.catalog().workspaceNamed(job.workspace);
    if (!workspace)
        return true;
    auto used = m_workspaceUsage[job.workspace];
    for (; count > 0; count--)
        used += step.need;
    auto isOver = [](int64_t value, int64_t limit) { return limit != 0 && value > limit; };
    return !isOver(used.cpu, workspace->limit.cpu) && !isOver(used.memory, workspace->limit.memory) && !isOver(used.gpus, workspace->limit.gpus);
}

void Dispatcher::place()
{
    auto now = m_clock.now();
    for (auto& [serial, plan] : m_plans) {
        if (!plan.isDirty && now < plan.refreshAt)
            continue;
        refreshPlan(plan);
        if (!plan.ready.empty())
            m_placementStates[m_store.queueOf(*plan.job).service].hasChanged = true;
    }
    for (auto& [service, state] : m_placementStates) {
        if (!state.hasChanged && now < state.retryAt)
            continue;
        state = { .hasChanged = false, .isLimited = false, .retryAt = now + m_desc.placementRetryInterval };
        placeService(service, state);
    }
    flushPlacements();
}

std::vector<JobPlan*> Dispatcher::candidatePlans(const std::string& service, const Resources& maxFree, size_t endpoints)
{
    std::vector<JobPlan*> plans;
    for (auto& [serial, plan] : m_plans) {
        if (plan.ready.empty() || m_store.queueOf(*plan.job).service != service)
            continue;
        if (plan.smallestNeed.fitsIn(maxFree))
            plans.push_back(&plan);
        else
            logWaitingTasks(plan, endpoints);
    }
    return plans;
}

void Dispatcher::placeService(const std::string& service, PlacementState& state)
{
    auto now = m_clock.now();
    std::vector<PlacementCandidate> candidates;
    std::vector<EndpointSession*> sessions;
    Resources maxFree;
    for (auto& [id, session] : m_sessions) {
        if (session->endpoint.service != service || !isSchedulable(*session, now) || !session->isCapacityCertain(now, m_desc.maxCapacityReportAge))
            continue;
        PlacementCandidate candidate;
        candidate.endpoint = &session->endpoint;
        candidate.free = session->freeCapacity();
        candidate.recentFailures = session->consecutiveFailures;
        candidate.speed = session->speed.at(now);
        if (m_desc.features.evacuation)
            candidate.speed *= warmUpSpeed(session->warmAt - now, session->coldTime);
        candidate.isDueForMaintenance = session->isDueForMaintenance;
        setRunCounts(candidate, *session);
        candidate.isUnstable = now < session->unstableUntil;
        candidate.isReserved = now < session->reservedUntil;
        candidate.isQuiet = isQuiet(*session);
        maxFree = { std::max(maxFree.cpu, candidate.free.cpu), std::max(maxFree.memory, candidate.free.memory), std::max(maxFree.gpus, candidate.free.gpus) };
        candidates.push_back(candidate);
        sessions.push_back(session.get());
    }
    if (candidates.empty())
        return;
    m_waitingIsolatedTasks = 0;
    auto plans = candidatePlans(service, maxFree, candidates.size());
    auto shares = fairShareRatios(plans);
    std::vector<SchedulableJob> ordered;
    for (const auto* plan : plans) {
        const auto& job = *plan->job;
        SchedulableJob entry { job.serial, m_store.queueOf(job).priority, job.isLongRunning(), job.hasStarted, plan->acceptedAt + plan->objective, plan->acceptedAt + expiryFactor * plan->objective };
        entry.criticalPathMs = plan->estimate.criticalPathMs;
        entry.workMs = plan->estimate.workMs;
        entry.relativeSize = plan->relativeSize;
        entry.fairShareRatio = shares[job.workspace];
        ordered.push_back(entry);
    }
    UnplaceableNeeds failed;
    for (auto serial : orderJobs(ordered, now))
        placeJob(m_plans.at(serial), candidates, sessions, failed, state);
}

void Dispatcher::placeJob(JobPlan& plan, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, UnplaceableNeeds& failed, PlacementState& state)
{
    std::vector<TaskKey> unplaced;
    bool isGangPlaced = false;
    // If one task of a step cannot be placed, neither can the step's other tasks of the same occurrence.
    std::optional<std::pair<uint32_t, uint32_t>> failedStep;
    for (const auto& key : std::exchange(plan.ready, {})) {
        const auto& step = plan.job->spec.steps[key.step];
        if (step.isGang) {
            // The first member represents the gang: members that end are placed together again.
            if (key.index == 0)
                isGangPlaced = placeGang(plan, key, candidates, sessions);
            if (!isGangPlaced)
                unplaced.push_back(key);
            continue;
        }
        auto need = reservedNeed(step);
        auto stepOfOccurrence = std::pair(key.occurrence, key.step);
        // An isolated task and others may find different endpoints, so the failure of one says nothing about the other.
        const auto* task = plan.job->findTask(key);
        bool isIsolated = needsIsolation(task->possibleCrashes());
        if (!isIsolated && (failedStep == stepOfOccurrence || failed.covers(need))) {
            unplaced.push_back(key);
            continue;
        }
        if (!isWithinLimit(*plan.job, step, 1)) {
            state.isLimited = true;
            failedStep = stepOfOccurrence;
            unplaced.push_back(key);
            continue;
        }
        if (placeTask(plan, key, candidates, sessions))
            continue;
        unplaced.push_back(key);
        // A speculative copy excludes its task's endpoint, so its failure says nothing about other tasks.
        bool isCopy = !task->placements.empty();
        if (isCopy || isIsolated)
            continue;
        failedStep = stepOfOccurrence;
        if (!isConstrained(step) && !m_store.queueOf(*plan.job).isAdvised)
            failed.add(need);
    }
    plan.ready = std::move(unplaced);
    if (!plan.ready.empty())
        logWaitingTasks(plan, candidates.size());
}

std::map<std::string, double> Dispatcher::fairShareRatios(const std::vector<JobPlan*>& plans) const
{
    std::map<std::string, double> weights;
    double weightSum = 0;
    int64_t used = 0;
    auto add = [&](const std::string& name) {
        const auto* workspace = name.empty() ? nullptr : m_store.catalog().workspaceNamed(name);
        if (!workspace || !weights.try_emplace(name, workspace->weight).second)
            return;
        weightSum += workspace->weight;
        auto use = m_workspaceUsage.find(name);
        used += use == m_workspaceUsage.end() ? 0 : use->second.cpu;
    };
    for (const auto* plan : plans)
        add(plan->job->workspace);
    for (const auto& [name, use] : m_workspaceUsage) {
        if (use.cpu > 0)
            add(name);
    }
    std::map<std::string, double> shares;
    for (const auto& [name, weight] : weights) {
        auto use = m_workspaceUsage.find(name);
        bool isKnown = use != m_workspaceUsage.end() && used > 0 && weight > 0 && weightSum > 0;
        shares[name] = isKnown ? (static_cast<double>(use->second.cpu) / static_cast<double>(used)) / (weight / weightSum) : 0;
    }
    return shares;
}

void Dispatcher::logWaitingTasks(JobPlan& plan, size_t candidates)
{
    auto now = m_clock.now();
    if (now < plan.nextWaitLogAt)
        return;
    bool isFirst = plan.nextWaitLogAt == TimePoint {};
    plan.nextWaitLogAt = now + waitLogInterval;
    if (isFirst)
        return;
    const auto& key = plan.ready.front();
    const auto& step = plan.job->spec.steps[key.step];
    m_log.line("waiting").field("job", plan.job->spec.id).field("task", key).field("tasks", plan.ready.size()).field("cpu", step.need.cpu).field("memory", step.need.memory).field("label", step.requiredLabel).field("gang", step.isGang).field("spread", step.maxPerEndpoint).field("within-limit", isWithinLimit(*plan.job, step, 1)).field("advised", m_store.queueOf(*plan.job).isAdvised).field("endpoints", candidates);
}

void Dispatcher::preparePlacement(PlacementCandidate& candidate, const EndpointSession& session, const TaskKey& key, const StepSpec& step) const
{
    candidate.runsOfStep = 0;
    if (step.maxPerEndpoint == 0)
        return;
    RunKey first { { key.job, key.occurrence, key.step, 0 }, 0 };
    for (auto it = session.runs.lower_bound(first); it != session.runs.end(); ++it) {
        const auto& task = it->first.task;
        if (task.job != key.job || task.occurrence != key.occurrence || task.step != key.step)
            break;
        // A run that has ended counts until its end is committed.
        candidate.runsOfStep++;
    }
}

bool Dispatcher::placeTask(JobPlan& plan, const TaskKey& key, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions)
{
    const auto& job = *plan.job;
    const auto& step = job.spec.steps[key.step];
    const auto* task = job.findTask(key);
    PlacementHints hints;
    hints.avoid = task->lastFailedEndpoint;
    hints.crashes = task->possibleCrashes().crashes;
    hints.isIsolated = needsIsolation(task->possibleCrashes());
    if (!task->placements.empty())
        hints.exclude = task->placements.front().endpoint;
    const auto* advice = m_store.queueOf(job).isAdvised ? &adviceOf(key) : nullptr;
    auto allowed = advice ? advice->allowedEndpoints(m_clock.now()) : std::vector<std::string>();
    if (advice)
        hints.allowed = &allowed;
    for (size_t n = 0; n < candidates.size(); n++)
        preparePlacement(candidates[n], *sessions[n], key, step);
    m_stats.endpointsEvaluated += candidates.size();
    auto chosen = choosePlacement(step, hints, candidates);
    if (!chosen && hints.isIsolated)
        reserveEndpoint(step, hints, candidates, sessions);
    if (!chosen) {
        if (advice)
            requestAdvice(plan, key, candidates, !allowed.empty());
        return false;
    }
    proposePlacement(plan, key, task->lastRun + 1, *sessions[*chosen], advice ? advice->ticketOf(sessions[*chosen]->endpoint.id) : "");
    auto& candidate = candidates[*chosen];
    candidate.free = sessions[*chosen]->freeCapacity();
    setRunCounts(candidate, *sessions[*chosen]);
    candidate.isQuiet = false;
    candidate.isReserved = candidate.isReserved || hints.isIsolated;
    return true;
}

bool Dispatcher::placeGang(JobPlan& plan, const TaskKey& first, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions)
{
    const auto& job = *plan.job;
    const auto& step = job.spec.steps[first.step];
    const auto& tasks = job.occurrences[first.occurrence].steps[first.step].tasks;
    bool isGangIdle = std::all_of(tasks.begin(), tasks.end(), [](const Task& it) { return it.isIdle() && !isHeldBack(it.crashes, it.possibleCrashes()); });
    if (!isGangIdle || !isWithinLimit(job, step, step.taskCount))
        return false;
    uint32_t number = 0;
    for (const auto& it : tasks)
        number = std::max(number, it.lastRun);
    PlacementHints hints;
    const auto* advice = m_store.queueOf(job).isAdvised ? &adviceOf(first) : nullptr;
    auto allowed = advice ? advice->allowedEndpoints(m_clock.now()) : std::vector<std::string>();
    if (advice)
        hints.allowed = &allowed;
    // Try on a copy of the candidates: either all members are placed or none.
    auto trial = candidates;
    std::vector<size_t> chosen;
    std::string rack;
    for (size_t n = 0; n < trial.size(); n++)
        preparePlacement(trial[n], *sessions[n], first, step);
    for (uint32_t index = 0; index < step.taskCount; index++) {
        hints.avoid = tasks[index].lastFailedEndpoint;
        hints.crashes = tasks[index].possibleCrashes().crashes;
        hints.rack = step.prefersOneRack ? std::string_view(rack) : std::string_view();
        m_stats.endpointsEvaluated += trial.size();
        auto candidateIndex = choosePlacement(step, hints, trial);
        if (!candidateIndex) {
            if (advice)
                requestAdvice(plan, first, candidates, !allowed.empty());
            return false;
        }
        trial[*candidateIndex].free -= reservedNeed(step);
        trial[*candidateIndex].runsOfStep++;
        rack = trial[*candidateIndex].endpoint->rack;
        chosen.push_back(*candidateIndex);
    }
    for (uint32_t index = 0; index < step.taskCount; index++) {
        auto& session = *sessions[chosen[index]];
        proposePlacement(plan, { first.job, first.occurrence, first.step, index }, number + 1, session, advice ? advice->ticketOf(session.endpoint.id) : "");
        candidates[chosen[index]].free = session.freeCapacity();
        setRunCounts(candidates[chosen[index]], session);
    }
    return true;
}

void Dispatcher::proposePlacement(JobPlan& plan, const TaskKey& key, uint32_t number, EndpointSession& session, const std::string& ticket)
{
    RunKey run { key, number };
    addRun(session, *plan.job, run).ticket = ticket;
    plan.proposedRuns[key] = number;
    m_pendingPlacements.push_back({ run, session.endpoint.id });
    m_stats.placements++;
    m_log.line("place").field("job", plan.job->spec.id).field("task", key).field("run", number).field("endpoint", session.endpoint.id).field("free-cpu", session.freeCapacity().cpu).field("waited-ms", millisecondsUntil(m_clock.now(), plan.acceptedAt));
    if (m_pendingPlacements.size() >= config::maxRunsPerCommand)
        flushPlacements();
}

void Dispatcher::flushPlacements()
{
    if (!m_pendingPlacements.empty())
        m_desc.propose(PlaceRuns { std::exchange(m_pendingPlacements, {}) });
}

StepAdvice& Dispatcher::adviceOf(const TaskKey& key) { return m_advice[firstTaskOfStep(key)]; }

void Dispatcher::forgetAdvice(const TaskKey& key, const std::string& endpointId)
{
    auto it = m_advice.find(firstTaskOfStep(key));
    if (it != m_advice.end())
        it->second.forget(endpointId);
}

void Dispatcher::requestAdvice(const JobPlan& plan, const TaskKey& key, std::span<const PlacementCandidate> candidates, bool needsRoom)
{
    auto now = m_clock.now();
    auto stepKey = firstTaskOfStep(key);
    auto& advice = adviceOf(key);
    // The service answers one call at a time: a queued call would use up its timeout before it is sent.
    if (m_isAdvicePending || now < advice.nextRequestAt)
        return;
    const auto& job = *plan.job;
    const auto& step = job.spec.steps[key.step];
    std::vector<StepAdvice::Candidate> usable;
    for (const auto& it : candidates) {
        const auto& endpoint = *it.endpoint;
        bool hasRoom = reservedNeed(step).fitsIn(it.free);
        bool isUsable = step.requiredLabel.empty() || std::find(endpoint.labels.begin(), endpoint.labels.end(), step.requiredLabel) != endpoint.labels.end();
        if (isUsable && (hasRoom || !needsRoom))
            usable.push_back({ endpoint.id, endpoint.startedAtMs, hasRoom, it.free.cpu });
    }
    auto asked = advice.selectForRequest(usable, config::maxAdvisedEndpoints, now);
    if (asked.empty())
        return;
    std::vector<std::string> ids;
    ids.reserve(asked.size());
    for (const auto& it : asked)
        ids.push_back(it.endpoint);
    m_isAdvicePending = true;
    const auto& settings = m_store.queueOf(job).advice;
    auto deadline = now + std::chrono::milliseconds(settings.decideMs + settings.perEndpointMs * ids.size()) + adviceTimeoutMargin;
    TaskName name { job.spec.id, key.occurrence, key.step, 0 };
    m_adviceService.requestAdvice(name, std::move(ids), deadline, [this, stepKey, asked = std::move(asked), isAlive = m_isAlive](const AdviceReply& reply) {
        if (!*isAlive)
            return;
        m_isAdvicePending = false;
        retryAllPlacements();
        auto it = m_advice.find(stepKey);
        if (it == m_advice.end())
            return;
        auto& advice = it->second;
        auto now = m_clock.now();
        advice.nextRequestAt = now + adviceRetryDelay;
        if (!reply.allowed) {
            m_log.line("advice-missing").field("job", stepKey.job).field("step", stepKey.step);
            return;
        }
        m_log.line("advice").field("job", stepKey.job).field("step", stepKey.step).field("asked", asked.size()).field("allowed", reply.allowed->size()).field("valid-ms", reply.validMs);
        advice.record(asked, *reply.allowed, now, std::chrono::milliseconds(reply.validMs));
    });
}

} // namespace vanillalift::jobs
