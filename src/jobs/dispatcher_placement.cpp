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

    /// Largest number of needs that UnplaceableNeeds remembers.
    constexpr size_t maxUnplaceableNeeds = 16;
    /// Share of its part of a pool above which a workspace comes after others that wait. Up to there, its jobs' value counts less.
    constexpr double maxShareRatio = 1.5;
    /// Time before its due time from which the work of an occurrence counts as demand: an instance takes 1.5 s to move.
    constexpr std::chrono::milliseconds occurrenceLead { 2000 };
    /// Longest time until a due time is checked again: the wall clock may have been set.
    constexpr std::chrono::milliseconds dueRecheckInterval { 1000 };
    /// Interval of log entries about a job whose tasks cannot be placed.
    constexpr std::chrono::milliseconds waitLogInterval { 3000 };
    /// Interval at which large tasks that wait are looked at for reservations.
    constexpr std::chrono::milliseconds reservationInterval { 100 };
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

    bool isConstrained(const StepSpec& step) { return step.maxPerEndpoint != 0 || !step.requiredLabel.empty(); }

} // namespace

/// The smallest needs that did not fit on any endpoint in this pass, to skip tasks that need at least as much.
class Dispatcher::UnplaceableNeeds {
public:
    /// A need that did not fit, because of the room itself or of a reservation.
    struct Entry {
        Resources need;
        /// Run time from which, and priority up to which a reservation turns the need away; zero if there is no room for any task.
        Duration runTime;
        int priority = 0;

        /// @returns whether a task that the other entry describes does not fit either.
        [[nodiscard]] bool covers(const Entry& it) const { return need.fitsIn(it.need) && runTime <= it.runTime && (runTime == Duration::zero() || priority <= it.priority); }
    };

    /// @returns an entry that covers the task, or nullptr.
    [[nodiscard]] const Entry* find(const Entry& entry) const
    {
        auto it = std::find_if(m_needs.begin(), m_needs.end(), [&](const auto& known) { return known.covers(entry); });
        return it == m_needs.end() ? nullptr : &*it;
    }
    void add(const Entry& entry)
    {
        if (find(entry))
            return;
        std::erase_if(m_needs, [&](const auto& it) { return entry.covers(it); });
        if (m_needs.size() < maxUnplaceableNeeds)
            m_needs.push_back(entry);
    }

private:
    std::vector<Entry> m_needs;
};

void Dispatcher::refreshPlan(JobPlan& plan)
{
    plan.isDirty = false;
    plan.refreshAt = TimePoint::max();
    plan.ready.clear();
    plan.smallestNeed = { std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::max() };
    plan.largestNeed = {};
    plan.hasWaitingGang = false;
    plan.dueWorkMs = plan.dueMemoryMs = 0;
    auto& job = *plan.job;
    bool hasDue = false;
    for (uint32_t occurrence = 0; occurrence < job.occurrences.size(); occurrence++) {
        if (job.occurrences[occurrence].isDone)
            continue;
        auto estimate = estimateJob(job, occurrence, learnedRunTimes());
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
            if (isRestartHeldBack(plan, key, tasks[index]))
                continue;
            const auto* run = onlyRunOf(key, tasks[index]);
            if (!tasks[index].isIdle() && !(run && run->wantsSpeculativeCopy))
                continue;
            plan.ready.push_back(key);
            plan.hasWaitingGang = plan.hasWaitingGang || job.spec.steps[step].isGang;
            auto need = reservedNeed(job.spec.steps[step]);
            auto& smallest = plan.smallestNeed;
            smallest = { std::min(smallest.cpu, need.cpu), std::min(smallest.memory, need.memory), std::min(smallest.gpus, need.gpus) };
            if (need.cpu > plan.largestNeed.cpu)
                plan.largestNeed = need;
        }
    }
}

bool Dispatcher::isRestartHeldBack(JobPlan& plan, const TaskKey& key, const Task& task)
{
    // A long-running task is not given up, so it need not wait until it is known whether its endpoints have crashed.
    if (!plan.job->spec.steps[key.step].isLongRunning)
        return isHeldBack(task.crashes, task.possibleCrashes());
    auto it = m_restartAt.find(key);
    if (it == m_restartAt.end())
        return false;
    if (m_clock.now() >= it->second) {
        m_restartAt.erase(it);
        return false;
    }
    plan.refreshAt = std::min(plan.refreshAt, it->second);
    return true;
}

bool Dispatcher::isSchedulable(const EndpointSession& session, TimePoint now) const
{
    const auto& endpoint = session.endpoint;
    bool isKnown = isReachable(session, now) && session.clock && !endpoint.isUndescribed;
    bool isLeaving = endpoint.isDraining || endpoint.hasDeregistered || session.isCordoned || session.isEvacuated || session.isRemovalPending;
    return isKnown && !isLeaving && now >= std::max(session.backoffUntil, session.staleAckUntil);
}

bool Dispatcher::isPlaceable(const EndpointSession& session, TimePoint now) const { return isSchedulable(session, now) && session.isCapacityCertain(now, m_desc.maxCapacityReportAge); }

bool Dispatcher::isWithinLimit(const Job& job, const StepSpec& step, uint32_t count) const
{
    const auto* workspace = job.workspace.empty() ? nullptr : m_store.catalog().workspaceNamed(job.workspace);
    if (!workspace)
        return true;
    auto usage = m_workspaceUsage.find(job.workspace);
    auto used = usage == m_workspaceUsage.end() ? Resources {} : usage->second;
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
        state = { .hasChanged = false, .isLimited = false, .retryAt = now + m_desc.placementRetryInterval, .reserveAt = state.reserveAt, .isShort = state.isShort };
        placeService(service, state);
    }
    flushPlacements();
}

std::vector<JobPlan*> Dispatcher::candidatePlans(const std::string& service, const Resources& maxFree, size_t endpoints, PlacementState& state)
{
    std::vector<JobPlan*> plans;
    for (auto& [serial, plan] : m_plans) {
        if (plan.ready.empty() || m_store.queueOf(*plan.job).service != service)
            continue;
        if (plan.smallestNeed.fitsIn(maxFree)) {
            plans.push_back(&plan);
            continue;
        }
        state.isShort = true;
        logWaitingTasks(plan, endpoints);
    }
    return plans;
}

void Dispatcher::placeService(const std::string& service, PlacementState& state)
{
    auto now = m_clock.now();
    if (m_desc.features.reservations)
        checkReservations(service, now);
    std::vector<PlacementCandidate> candidates;
    std::vector<EndpointSession*> sessions;
    Resources maxFree;
    Resources capacity;
    Resources free;
    for (auto& [id, session] : m_sessions) {
        if (session->endpoint.service != service || !isPlaceable(*session, now))
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
        auto placeable = candidate.free + session->heldRoom;
        maxFree = { std::max(maxFree.cpu, placeable.cpu), std::max(maxFree.memory, placeable.memory), std::max(maxFree.gpus, placeable.gpus) };
        capacity += session->endpoint.capacity;
        free += candidate.free;
        candidates.push_back(candidate);
        sessions.push_back(session.get());
    }
    if (candidates.empty())
        return;
    m_waitingIsolatedTasks = 0;
    m_isHalfIdle = 2 * free.cpu >= capacity.cpu && 2 * free.memory >= capacity.memory;
    // While there is room for everything, the order is of no importance, and shares change nothing.
    bool wasShort = std::exchange(state.isShort, false);
    auto plans = candidatePlans(service, maxFree, candidates.size(), state);
    ShareRatios shares;
    if (!m_desc.features.entitlement)
        shares = fairShareRatios(plans);
    else if (wasShort || state.isShort)
        shares = poolShareRatios(service, plans, capacity);
    m_largestWaiting = {};
    for (const auto* plan : plans) {
        if (plan->largestNeed.cpu > m_largestWaiting.cpu && plan->largestNeed.fitsIn(maxFree))
            m_largestWaiting = plan->largestNeed;
    }
    UnplaceableNeeds failed;
    for (auto serial : rankPlans(plans, shares, now))
        placeJob(m_plans.at(serial), candidates, sessions, failed, state);
    if (!m_desc.features.reservations || now < state.reserveAt)
        return;
    state.reserveAt = now + reservationInterval;
    makeReservations(service, candidates, sessions, shares);
}

std::vector<uint64_t> Dispatcher::rankPlans(const std::vector<JobPlan*>& plans, const ShareRatios& shares, TimePoint now) const
{
    std::vector<SchedulableJob> ordered;
    for (const auto* plan : plans) {
        const auto& job = *plan->job;
        SchedulableJob entry { job.serial, m_store.queueOf(job).priority, job.isLongRunning(), job.hasStarted, plan->acceptedAt + plan->objective, plan->acceptedAt + expiryFactor * plan->objective };
        entry.criticalPathMs = plan->estimate.criticalPathMs;
        entry.workMs = plan->estimate.workMs;
        entry.relativeSize = plan->relativeSize;
        auto ratio = shares.find(job.workspace);
        entry.fairShareRatio = ratio == shares.end() ? 1 : (m_desc.features.entitlement ? ratio->second : std::max(1.0, ratio->second));
        entry.isBeyondRate = m_desc.features.entitlement && job.isBeyondRate;
        entry.isOverShare = m_desc.features.entitlement && entry.fairShareRatio > maxShareRatio;
        ordered.push_back(entry);
    }
    return orderJobs(ordered, now);
}

void Dispatcher::placeJob(JobPlan& plan, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, UnplaceableNeeds& failed, PlacementState& state)
{
    std::vector<TaskKey> unplaced;
    bool isGangPlaced = false;
    auto now = m_clock.now();
    auto priority = m_store.queueOf(*plan.job).priority;
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
        bool hasHeldRoom = m_roomHolds.contains(key);
        if (!isIsolated && !hasHeldRoom && failedStep == stepOfOccurrence) {
            unplaced.push_back(key);
            continue;
        }
        UnplaceableNeeds::Entry entry { need, m_reservedSteps.empty() ? Duration::zero() : longRunTime(plan, key), priority };
        bool isExempt = hasHeldRoom || m_reservedSteps.contains(firstTaskOfStep(key)) || wasHeldLong(plan, now);
        if (const auto* known = isIsolated || isExempt ? nullptr : failed.find(entry)) {
            if (known->runTime > Duration::zero() && plan.heldSince == TimePoint {})
                plan.heldSince = now;
            failedStep = stepOfOccurrence;
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
        bool isBehindReservation = std::any_of(candidates.begin(), candidates.end(), [&](const auto& it) { return it.isHeldForOther && need.fitsIn(it.free); });
        if (isBehindReservation && plan.heldSince == TimePoint {})
            plan.heldSince = now;
        if (!isBehindReservation)
            entry.runTime = Duration::zero();
        if (!isConstrained(step) && !m_store.queueOf(*plan.job).isAdvised)
            failed.add(entry);
    }
    plan.ready = std::move(unplaced);
    state.isShort = state.isShort || !plan.ready.empty();
    if (!plan.ready.empty())
        logWaitingTasks(plan, candidates.size());
}

Dispatcher::ShareRatios Dispatcher::fairShareRatios(const std::vector<JobPlan*>& plans) const
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

Dispatcher::ShareRatios Dispatcher::poolShareRatios(const std::string& service, const std::vector<JobPlan*>& plans, const Resources& capacity) const
{
    auto usage = m_fairShares.find(service);
    if (usage == m_fairShares.end())
        return {};
    std::set<std::string_view> names;
    std::vector<Competitor> competitors;
    for (const auto* plan : plans) {
        const auto& name = plan->job->workspace;
        const auto* workspace = names.insert(name).second ? m_store.catalog().workspaceNamed(name) : nullptr;
        if (workspace)
            competitors.push_back({ name, workspace->weight });
    }
    return usage->second.ratios(competitors, capacity, m_clock.now());
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
    if (step.maxPerEndpoint == 0) {
        candidate.runsOfStep = 0;
        return;
    }
    candidate.runsOfStep = runsOfStep(session, key);
    auto first = firstTaskOfStep(key);
    for (auto it = m_roomHolds.lower_bound(first); it != m_roomHolds.end() && firstTaskOfStep(it->first) == first; ++it)
        candidate.runsOfStep += it->first != key && it->second.endpoint == session.endpoint.id ? 1 : 0;
}

uint32_t Dispatcher::runsOfStep(const EndpointSession& session, const TaskKey& key)
{
    uint32_t runs = 0;
    RunKey first { { key.job, key.occurrence, key.step, 0 }, 0 };
    for (auto it = session.runs.lower_bound(first); it != session.runs.end(); ++it) {
        const auto& task = it->first.task;
        if (task.job != key.job || task.occurrence != key.occurrence || task.step != key.step)
            break;
        // A run that has ended counts until its end is committed.
        runs++;
    }
    return runs;
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
    markHeld(candidates, sessions, plan, key);
    if (m_desc.features.reservations && m_largestWaiting.cpu > step.need.cpu)
        hints.largestWaiting = &m_largestWaiting;
    m_stats.endpointsEvaluated += candidates.size();
    auto hold = m_roomHolds.find(key);
    auto heldCandidate = hold == m_roomHolds.end() ? candidates.end() : std::find_if(candidates.begin(), candidates.end(), [&](const auto& it) { return it.endpoint->id == hold->second.endpoint; });
    if (heldCandidate != candidates.end())
        heldCandidate->free += hold->second.need;
    auto chosen = choosePlacement(step, hints, candidates);
    if (!chosen && heldCandidate != candidates.end())
        heldCandidate->free -= hold->second.need;
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
    bool isGangIdle = std::all_of(tasks.begin(), tasks.end(), [&](const Task& it) { return it.isIdle() && (step.isLongRunning || !isHeldBack(it.crashes, it.possibleCrashes())); });
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
    markHeld(candidates, sessions, plan, first);
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
    updateReservation(session, plan, key);
    releaseRoom(key);
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
