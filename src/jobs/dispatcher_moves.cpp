#include "dispatcher_p.h"

#include "core/event_log_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// A hold ends after this time unless it is renewed: its task stays where it is.
    constexpr std::chrono::milliseconds holdRenewalTime { 1000 };
    /// Longest time from the decision to stop a task until it is placed again.
    constexpr std::chrono::milliseconds moveTime { 5000 };

    bool isLargerNeed(const Resources& left, const Resources& right) { return left.cpu != right.cpu ? left.cpu > right.cpu : left.memory > right.memory; }

} // namespace

/// Endpoints to which a long-running task can move, for one placement after the other.
class Dispatcher::MoveCandidates {
public:
    MoveCandidates(const Dispatcher& dispatcher, const std::string& service, MoveRoom room)
        : m_dispatcher(dispatcher)
    {
        auto now = dispatcher.m_clock.now();
        for (const auto& [id, session] : dispatcher.m_sessions) {
            if (session->endpoint.service == service && dispatcher.isPlaceable(*session, now))
                add(*session, room);
        }
    }
    /// The endpoint alone, whether or not it takes tasks.
    MoveCandidates(const Dispatcher& dispatcher, EndpointSession& session)
        : m_dispatcher(dispatcher)
    {
        add(session, MoveRoom::Free);
    }

    /// @param exclude id of an endpoint to leave out.
    /// @returns the endpoint for the task, or nullptr if it fits on none.
    EndpointSession* choose(const Job& job, const TaskKey& key, std::string_view exclude)
    {
        const auto& step = job.spec.steps[key.step];
        PlacementHints hints;
        hints.exclude = exclude;
        auto allowed = m_dispatcher.advisedEndpoints(job, key);
        hints.allowed = allowed ? &*allowed : nullptr;
        auto hold = m_dispatcher.m_roomHolds.find(key);
        for (size_t n = 0; n < m_candidates.size(); n++) {
            auto& candidate = m_candidates[n];
            m_dispatcher.preparePlacement(candidate, *m_sessions[n], key, step);
            candidate.runsOfStep += placedRuns(n, firstTaskOfStep(key));
            if (hold != m_dispatcher.m_roomHolds.end() && hold->second.endpoint == candidate.endpoint->id)
                candidate.free += hold->second.need;
        }
        auto chosen = choosePlacement(step, hints, m_candidates);
        for (auto& it : m_candidates) {
            if (hold != m_dispatcher.m_roomHolds.end() && hold->second.endpoint == it.endpoint->id)
                it.free -= hold->second.need;
        }
        if (!chosen)
            return nullptr;
        m_candidates[*chosen].free -= reservedNeed(step);
        m_placed[{ *chosen, firstTaskOfStep(key) }]++;
        return m_sessions[*chosen];
    }

private:
    void add(EndpointSession& session, MoveRoom room)
    {
        PlacementCandidate candidate;
        candidate.endpoint = &session.endpoint;
        candidate.free = room == MoveRoom::Free ? session.freeCapacity() : session.roomForLongRunningTasks();
        candidate.isDueForMaintenance = session.isDueForMaintenance;
        m_candidates.push_back(candidate);
        m_sessions.push_back(&session);
    }
    [[nodiscard]] uint32_t placedRuns(size_t candidate, const TaskKey& step) const
    {
        auto it = m_placed.find({ candidate, step });
        return it == m_placed.end() ? 0 : it->second;
    }

    const Dispatcher& m_dispatcher;
    std::vector<PlacementCandidate> m_candidates;
    std::vector<EndpointSession*> m_sessions;
    /// Tasks of each step that were placed on each candidate by this object.
    std::map<std::pair<size_t, TaskKey>, uint32_t> m_placed;
};

std::optional<std::vector<std::string>> Dispatcher::advisedEndpoints(const Job& job, const TaskKey& key) const
{
    if (!m_store.queueOf(job).isAdvised)
        return std::nullopt;
    auto it = m_advice.find(firstTaskOfStep(key));
    return it == m_advice.end() ? std::vector<std::string>() : it->second.allowedEndpoints(m_clock.now());
}

std::vector<RunKey> Dispatcher::runsOfLongRunningTasks(const EndpointSession& session)
{
    std::vector<const Run*> runs;
    for (const auto& [key, run] : session.runs) {
        if (run.isLongRunning && run.phase != RunPhase::Ended)
            runs.push_back(&run);
    }
    std::stable_sort(runs.begin(), runs.end(), [](const auto* left, const auto* right) { return isLargerNeed(left->need, right->need); });
    std::vector<RunKey> keys;
    keys.reserve(runs.size());
    for (const auto* it : runs)
        keys.push_back(it->key);
    return keys;
}

std::vector<RunKey> Dispatcher::runsWithoutRoomElsewhere(const EndpointSession& session, MoveRoom room) const
{
    std::vector<RunKey> found;
    std::map<std::string, MoveCandidates> candidates;
    for (const auto& key : runsOfLongRunningTasks(session)) {
        const auto* job = m_store.findJobBySerial(key.task.job);
        // The tasks of a job that has ended move nowhere.
        if (!job || !job->isActive() || session.runs.at(key).mustStop)
            continue;
        const auto& service = m_store.queueOf(*job).service;
        auto& endpoints = candidates.try_emplace(service, *this, service, room).first->second;
        if (!endpoints.choose(*job, key.task, session.endpoint.id))
            found.push_back(key);
    }
    return found;
}

Dispatcher::HeldRoom Dispatcher::holdRoomElsewhere(const EndpointSession& session, const RunKey& run)
{
    auto now = m_clock.now();
    const auto* job = m_store.findJobBySerial(run.task.job);
    if (!job)
        return HeldRoom::None;
    const auto& service = m_store.queueOf(*job).service;
    auto known = m_roomHolds.find(run.task);
    auto* held = known == m_roomHolds.end() ? nullptr : findSession(known->second.endpoint);
    bool isHoldUsable = held && isPlaceable(*held, now) && held->endpoint.service == service;
    if (isHoldUsable && MoveCandidates(*this, *held).choose(*job, run.task, session.endpoint.id)) {
        known->second.expiresAt = now + holdRenewalTime;
        return HeldRoom::Free;
    }
    auto* destination = MoveCandidates(*this, service, MoveRoom::Free).choose(*job, run.task, session.endpoint.id);
    bool isFree = destination != nullptr;
    // The room of a hold empties as other tasks end there, so the task keeps its destination while it waits.
    bool mayWaitThere = !isFree && isHoldUsable && Resources {}.fitsIn(held->roomForLongRunningTasks());
    if (mayWaitThere) {
        known->second.expiresAt = now + holdRenewalTime;
        return HeldRoom::Awaited;
    }
    if (!isFree)
        destination = MoveCandidates(*this, service, MoveRoom::AfterShortTasks).choose(*job, run.task, session.endpoint.id);
    releaseRoom(run.task);
    if (!destination) {
        requestAdviceForMove(*job, run.task);
        return HeldRoom::None;
    }
    RoomHold hold { destination->endpoint.id, reservedNeed(job->spec.steps[run.task.step]), now + holdRenewalTime };
    destination->heldRoom += hold.need;
    m_roomHolds.emplace(run.task, std::move(hold));
    return isFree ? HeldRoom::Free : HeldRoom::Awaited;
}

void Dispatcher::requestAdviceForMove(const Job& job, const TaskKey& key)
{
    auto plan = m_plans.find(job.serial);
    if (plan == m_plans.end() || !m_store.queueOf(job).isAdvised)
        return;
    std::vector<PlacementCandidate> candidates;
    auto now = m_clock.now();
    for (const auto& [id, session] : m_sessions) {
        if (session->endpoint.service != m_store.queueOf(job).service || !isPlaceable(*session, now))
            continue;
        PlacementCandidate candidate;
        candidate.endpoint = &session->endpoint;
        candidate.free = session->freeCapacity();
        candidates.push_back(candidate);
    }
    requestAdvice(plan->second, key, candidates, true);
}

void Dispatcher::releaseRoom(const TaskKey& task)
{
    auto it = m_roomHolds.find(task);
    if (it == m_roomHolds.end())
        return;
    if (auto* session = findSession(it->second.endpoint)) {
        session->heldRoom -= it->second.need;
        m_placementStates[session->endpoint.service].hasChanged = true;
    }
    m_roomHolds.erase(it);
}

void Dispatcher::releaseExpiredRoom()
{
    auto now = m_clock.now();
    std::vector<TaskKey> expired;
    for (const auto& [task, hold] : m_roomHolds) {
        if (now >= hold.expiresAt || !m_plans.contains(task.job) || !findSession(hold.endpoint))
            expired.push_back(task);
    }
    for (const auto& it : expired)
        releaseRoom(it);
}

void Dispatcher::moveAway(const std::string& endpointId, const RunKey& run)
{
    if (auto hold = m_roomHolds.find(run.task); hold != m_roomHolds.end()) {
        hold->second.expiresAt = m_clock.now() + moveTime;
        m_log.line("move-task").field("task", run.task).field("run", run.number).field("from", endpointId).field("to", hold->second.endpoint);
    }
    evict(endpointId, run);
}

std::vector<TaskKey> Dispatcher::waitingLongRunningTasks(const std::string& service) const
{
    std::vector<TaskKey> tasks;
    for (const auto& [serial, plan] : m_plans) {
        const auto& job = *plan.job;
        if (!job.isLongRunning() || plan.ready.empty() || m_store.queueOf(job).service != service)
            continue;
        std::set<TaskKey> steps;
        for (const auto& it : plan.ready) {
            if (steps.insert(firstTaskOfStep(it)).second && isWithinLimit(job, job.spec.steps[it.step], 1))
                tasks.push_back(it);
        }
    }
    return tasks;
}

bool Dispatcher::isOnlyRoomForWaitingTask(const EndpointSession& session) const
{
    const auto& service = session.endpoint.service;
    auto tasks = waitingLongRunningTasks(service);
    return std::any_of(tasks.begin(), tasks.end(), [&](const auto& it) {
        const auto& job = *m_store.findJobBySerial(it.job);
        bool fitsHere = MoveCandidates(*this, *m_sessions.at(session.endpoint.id)).choose(job, it, {});
        return fitsHere && !MoveCandidates(*this, service, MoveRoom::Free).choose(job, it, {});
    });
}

bool Dispatcher::hasPlaceableLongRunningTasks(const std::string& service) const
{
    auto tasks = waitingLongRunningTasks(service);
    return std::any_of(tasks.begin(), tasks.end(), [&](const auto& it) { return MoveCandidates(*this, service, MoveRoom::AfterShortTasks).choose(*m_store.findJobBySerial(it.job), it, {}); });
}

} // namespace vanillalift::jobs
