#include "instance_manager_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Interval of looking for room elsewhere, which has its cost in a large fleet.
    constexpr std::chrono::milliseconds departureInterval { 200 };
    /// Time for which an obstacle has to last before a drain is cancelled: endpoints may be silent for a moment.
    constexpr std::chrono::milliseconds maxObstruction { 1000 };
    /// A drain is cancelled if no task has left for this long.
    constexpr std::chrono::milliseconds maxDrainStandstill { 10000 };
    /// Tasks that wait for room elsewhere to become free are paused after this time if they may be.
    constexpr std::chrono::milliseconds maxRoomWait { 4000 };
    /// Time until it is drained again, in which the instance is of use.
    constexpr std::chrono::milliseconds standstillHoldTime { 10000 };
    /// Longest time from the stop of paused tasks to the request for the maintenance.
    constexpr std::chrono::milliseconds maxPauseTime { 2500 };
    /// Time until an instance that cannot be drained is looked at again.
    constexpr std::chrono::milliseconds holdTime { 1000 };
    /// Its pool asks for another instance for this long, which one needs to move, and again after the interval.
    constexpr std::chrono::milliseconds roomRequestTime { 6000 };
    constexpr std::chrono::milliseconds roomRequestInterval { 30000 };
    /// The platform is taken to be available for this long after a request for its list that was answered.
    constexpr std::chrono::milliseconds listFreshness { 2500 };

} // namespace

bool InstanceManager::isAvailable(const TaskKey& key, const Task& task, ReportAge age) const
{
    auto now = m_clock.now();
    return std::any_of(task.placements.begin(), task.placements.end(), [&](const Placement& it) {
        auto session = m_dispatcher.sessions().find(it.endpoint);
        if (session == m_dispatcher.sessions().end())
            return false;
        RunKey run { key, it.run };
        if (age == ReportAge::Latest)
            return session->second->isReportedAvailable(run);
        m_dispatcher.requestFreshStatus(it.endpoint);
        return session->second->isConfirmedAvailable(run, now);
    });
}

uint32_t InstanceManager::unavailableOthers(const TaskKey& step, const std::set<uint32_t>& indices, ReportAge age) const
{
    const auto* job = m_store.findJobBySerial(step.job);
    const auto& tasks = job->occurrences[step.occurrence].steps[step.step].tasks;
    uint32_t count = 0;
    for (uint32_t index = 0; index < tasks.size(); index++)
        count += indices.contains(index) || isAvailable({ step.job, step.occurrence, step.step, index }, tasks[index], age) ? 0 : 1;
    return count;
}

bool InstanceManager::mayStopTogether(std::span<const RunKey> runs, ReportAge age) const
{
    std::map<TaskKey, std::set<uint32_t>> indicesByStep;
    for (const auto& it : runs)
        indicesByStep[firstTaskOfStep(it.task)].insert(it.task.index);
    return std::all_of(indicesByStep.begin(), indicesByStep.end(), [&](const auto& it) {
        const auto& first = it.first;
        const auto& indices = it.second;
        const auto* job = m_store.findJobBySerial(first.job);
        if (!job || !job->isActive())
            return true;
        const auto& step = job->spec.steps[first.step];
        if (!step.isLongRunning || !step.hasMaxUnavailable)
            return true;
        auto isAllowed = [&](ReportAge age) { return unavailableOthers(first, indices, age) + indices.size() <= step.maxUnavailable; };
        return isAllowed(ReportAge::Latest) && (age == ReportAge::Latest || isAllowed(ReportAge::Fresh));
    });
}

InstanceManager::Departure InstanceManager::departureOf(const EndpointSession& session, Dispatcher::MoveRoom room) const
{
    Departure departure { m_dispatcher.runsWithoutRoomElsewhere(session, room), true };
    std::map<TaskKey, uint32_t> tasksByStep;
    for (const auto& it : departure.withoutRoom)
        tasksByStep[firstTaskOfStep(it.task)]++;
    bool isWithinSteps = std::all_of(tasksByStep.begin(), tasksByStep.end(), [&](const auto& it) {
        const auto& step = m_store.findJobBySerial(it.first.job)->spec.steps[it.first.step];
        return !step.hasMaxUnavailable || it.second <= step.maxUnavailable;
    });
    // A paused task starts again where it was, which an evacuated instance does not allow.
    departure.mayPause = isWithinSteps && !session.isEvacuated;
    return departure;
}

void InstanceManager::describeDrain(WaveInstance& described, WaveProgress& progress, const EndpointSession& session)
{
    auto now = m_clock.now();
    if (now >= progress.nextDepartureAt) {
        progress.nextDepartureAt = now + departureInterval;
        progress.departure = departureOf(session, Dispatcher::MoveRoom::AfterShortTasks);
        if (now - progress.progressAt > maxRoomWait) {
            auto atOnce = departureOf(session, Dispatcher::MoveRoom::Free);
            if (atOnce.isPossible())
                progress.departure = std::move(atOnce);
        }
        progress.isNeeded = m_dispatcher.isOnlyRoomForWaitingTask(session);
    }
    const auto& departure = progress.departure;
    described.isPausing = progress.pausedAt != TimePoint {};
    auto pausable = departure.isPossible() ? departure.withoutRoom.size() : 0;
    described.runsToMove = described.runsOfLongRunningTasks - std::min(described.runsOfLongRunningTasks, pausable);
    described.isPausable = pausable > 0 && pausable == described.runs && !described.isPausing && now - m_listedAt <= listFreshness && mayStopTogether(departure.withoutRoom, ReportAge::Latest);
}

void InstanceManager::startDrain(const WaveState& wave, const WaveInstance& instance)
{
    auto now = m_clock.now();
    auto& progress = m_progress[{ wave.wave.number, instance.name }];
    const auto* session = sessionOf(instance.name);
    // An instance whose drain has just started offers no room.
    if (instance.runsOfLongRunningTasks > 0 && m_areCordonsOutdated)
        updateCordons();
    auto departure = session ? departureOf(*session, Dispatcher::MoveRoom::AfterShortTasks) : Departure {};
    if (!departure.isPossible())
        return holdInstance(wave, instance.name, departure);
    progress.isHeldForRoom = false;
    progress.heldUntil = progress.roomWantedUntil = progress.nextRoomRequestAt = {};
    progress.isNeeded = false;
    progress.drainingSince = now;
    progress.departure = std::move(departure);
    progress.nextDepartureAt = now + departureInterval;
    progress.obstructedSince = progress.pausedAt = {};
    progress.runsLeft = instance.runs;
    progress.progressAt = now;
    m_log.line("wave-drain").field("wave", wave.wave.number).field("instance", instance.name).field("runs", instance.runs);
    m_areCordonsOutdated = true;
}

void InstanceManager::holdInstance(const WaveState& wave, const std::string& name, const Departure& departure)
{
    auto now = m_clock.now();
    auto& progress = m_progress[{ wave.wave.number, name }];
    if (!std::exchange(progress.isHeldForRoom, true))
        m_log.decisionLine("wave-held").field("wave", wave.wave.number).field("instance", name).field("tasks", departure.withoutRoom.size()).field("first", departure.withoutRoom.front().task);
    progress.heldUntil = now + holdTime;
    if (now < progress.nextRoomRequestAt)
        return;
    progress.roomWantedUntil = now + roomRequestTime;
    progress.nextRoomRequestAt = now + roomRequestInterval;
}

std::set<std::string> InstanceManager::poolsShortOfRoom() const
{
    auto now = m_clock.now();
    std::set<std::string> pools;
    for (const auto& [key, progress] : m_progress) {
        auto wave = m_store.waves().find(key.first);
        const auto* endpoint = now < progress.roomWantedUntil && wave != m_store.waves().end() && !wave->second.isComplete() ? endpointOf(key.second) : nullptr;
        if (endpoint)
            pools.insert(endpoint->service);
    }
    return pools;
}

void InstanceManager::moveTasks(const EndpointSession& session, const Departure& departure)
{
    const auto& pausable = departure.withoutRoom;
    auto runs = m_dispatcher.runsOfLongRunningTasks(session);
    std::erase_if(runs, [&](const auto& it) { return session.runs.at(it).mustStop || std::find(pausable.begin(), pausable.end(), it) != pausable.end(); });
    // Those that are not at work go first.
    if (runs.empty() || m_dispatcher.hasPlaceableLongRunningTasks(session.endpoint.service))
        return;
    for (const auto& it : runs) {
        if (!mayStop(it, ReportAge::Latest))
            continue;
        auto room = m_dispatcher.holdRoomElsewhere(session, it);
        // Room is awaited for one task at a time, as what becomes free is idle meanwhile.
        if (room == Dispatcher::HeldRoom::Awaited)
            return;
        if (room == Dispatcher::HeldRoom::Free && mayStop(it, ReportAge::Fresh))
            m_dispatcher.moveAway(session.endpoint.id, it);
    }
}

void InstanceManager::stopShortTasks(const EndpointSession& session)
{
    for (const auto& [key, run] : session.runs) {
        if (!run.isLongRunning && run.phase != RunPhase::Ended)
            m_dispatcher.evict(session.endpoint.id, key);
    }
}

void InstanceManager::pauseTasks(const WaveState& wave, const std::string& name)
{
    auto& progress = m_progress[{ wave.wave.number, name }];
    const auto* session = sessionOf(name);
    // Another instance with tasks of the same step may have been paused since this one was described.
    if (!session || !mayStopTogether(progress.departure.withoutRoom, ReportAge::Fresh))
        return;
    progress.pausedAt = m_clock.now();
    m_waveStats.pauses++;
    m_log.decisionLine("wave-pause").field("wave", wave.wave.number).field("instance", name).field("tasks", progress.departure.withoutRoom.size());
    for (const auto& it : progress.departure.withoutRoom)
        m_dispatcher.evict(session->endpoint.id, it);
}

void InstanceManager::checkDrain(const WaveState& wave, const std::string& name)
{
    auto now = m_clock.now();
    auto& progress = m_progress[{ wave.wave.number, name }];
    const auto* session = sessionOf(name);
    if (!session || progress.isRequested)
        return;
    if (progress.pausedAt != TimePoint {}) {
        if (now - progress.pausedAt > maxPauseTime)
            cancelDrain(wave, name, "not-stopped", holdTime);
        return;
    }
    if (session->liveRuns < progress.runsLeft) {
        progress.runsLeft = session->liveRuns;
        progress.progressAt = now;
    }
    if (!progress.isNeeded && progress.departure.isPossible())
        progress.obstructedSince = {};
    else if (progress.obstructedSince == TimePoint {})
        progress.obstructedSince = now;
    if (progress.obstructedSince != TimePoint {} && now - progress.obstructedSince >= maxObstruction)
        return cancelDrain(wave, name, progress.isNeeded ? "needed" : "no-room", holdTime);
    // Shortly before the wave is due it would be late by that, and an endpoint that does not answer is of no use anyway.
    auto dueAt = now + std::chrono::milliseconds(wave.wave.dueAtMs - wallClockMs());
    bool mayInterrupt = m_dispatcher.isReachable(*session) && (now > dueAt || now + standstillHoldTime + maxDrainStandstill < dueAt);
    if (mayInterrupt && now - progress.progressAt > maxDrainStandstill)
        return cancelDrain(wave, name, "standstill", standstillHoldTime);
    if (progress.departure.isPossible())
        moveTasks(*session, progress.departure);
}

void InstanceManager::cancelDrain(const WaveState& wave, const std::string& name, std::string_view cause, Duration heldFor)
{
    auto& progress = m_progress[{ wave.wave.number, name }];
    progress.drainingSince = progress.pausedAt = {};
    progress.heldUntil = m_clock.now() + heldFor;
    m_waveStats.drainsCancelled++;
    m_log.decisionLine("wave-drain-cancelled").field("wave", wave.wave.number).field("instance", name).field("cause", cause);
    m_areCordonsOutdated = true;
}

} // namespace vanillalift::jobs
