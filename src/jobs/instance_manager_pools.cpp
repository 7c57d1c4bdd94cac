#include "instance_manager_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Short compared to the 1.5 s that a move takes.
    constexpr std::chrono::milliseconds poolPlanInterval { 100 };
    /// One log line per pool and second is enough to analyze a peak.
    constexpr std::chrono::milliseconds poolLogInterval { 1000 };
    /// Share of a job's latency objective within which the work queued ahead of it has to complete.
    constexpr double backlogObjectiveShare = 0.4;
    /// A move counts as in progress for this much longer than the platform's move time: the new endpoint has to register.
    constexpr std::chrono::milliseconds moveMargin { 2500 };
    /// Weight of the latest drain in the average time of a drain.
    constexpr double drainTimeWeight = 0.1;

    /// Added to the move time before an instance counts as spare, since the platform's timers can fire late.
    constexpr std::chrono::milliseconds spareMoveMargin { 150 };

} // namespace

std::set<std::string_view> InstanceManager::instancesInWaves() const
{
    std::set<std::string_view> found;
    for (const auto& [number, wave] : m_store.waves()) {
        if (wave.isComplete())
            continue;
        for (const auto& name : wave.wave.instances) {
            // From the start of draining until the instance is listed as up again.
            auto progress = m_progress.find({ number, name });
            bool isUnderWay = wave.isRequested(name) || (progress != m_progress.end() && progress->second.drainingSince != TimePoint {});
            bool hasReturned = wave.isMaintained(name) && progress != m_progress.end() && progress->second.hasReturned;
            if (isUnderWay && !hasReturned)
                found.insert(name);
        }
    }
    return found;
}

std::vector<Pool> InstanceManager::describePools()
{
    Resources instance;
    for (const auto& [name, it] : m_instances) {
        instance.cpu = std::max(instance.cpu, it.instance.capacity.cpu);
        instance.memory = std::max(instance.memory, it.instance.capacity.memory);
    }
    auto loads = m_dispatcher.loads();
    auto shortOfRoom = poolsShortOfRoom();
    std::vector<Pool> pools;
    for (const auto& it : m_store.catalog().services) {
        Pool pool { it.name, it.isSpare, {} };
        const auto& load = loads[it.name];
        pool.load.reservedByLongRunning = toInstances(load.reservedByLongRunning, instance);
        // One more instance, to which the tasks of one that a wave holds in use can move.
        pool.load.waitingLongRunningTasks = load.waitingLongRunningTasks + (shortOfRoom.contains(it.name) ? 1 : 0);
        pool.load.running = toInstances(load.running, instance);
        pool.load.limited = toInstances(load.limited, instance);
        pool.load.runnable = toInstances(load.running + load.ready, instance);
        auto arriving = toInstances(load.arriving, instance);
        if (!m_hasDemand && arriving > 0) {
            m_hasDemand = true;
            // Idle time before the first demand says nothing about the demand that starts now.
            m_idleSince.clear();
        }
        pool.load.isRising = load.isRising;
        pool.load.arriving = std::max(arriving, load.expectedPeak);
        pool.load.backlogSeconds = toInstances(load.backlog, instance);
        pool.load.objectiveSeconds = load.objectiveSeconds;
        pool.load.backlogTargetSeconds = std::max(load.objectiveSeconds * backlogObjectiveShare, 0.5);
        pools.push_back(std::move(pool));
    }
    return pools;
}

std::vector<PoolInstance> InstanceManager::describeInstances(const std::vector<Pool>& pools)
{
    auto now = m_clock.now();
    auto inWaves = instancesInWaves();
    std::vector<PoolInstance> instances;
    for (const auto& [name, known] : m_instances) {
        auto move = m_moves.find(name);
        const auto* session = sessionOf(name);
        PoolInstance described;
        described.name = name;
        auto poolName = known.instance.pool;
        if (move != m_moves.end() && !move->second.pool.empty())
            poolName = move->second.pool;
        else if (session)
            poolName = session->endpoint.service;
        auto pool = std::find_if(pools.begin(), pools.end(), [&](const Pool& it) { return it.name == poolName; });
        if (pool == pools.end())
            continue;
        described.pool = static_cast<size_t>(pool - pools.begin());
        described.isMovingIn = move != m_moves.end() && !move->second.pool.empty();
        described.isDrainingForMove = move != m_moves.end() && move->second.pool.empty();
        // The endpoint has reported after the list was requested, so it is newer than the list.
        bool hasReported = session && m_dispatcher.isReachable(*session) && session->reconciledAt > known.requestedAt;
        bool isUp = hasReported || known.instance.state == InstanceState::Up || (pool->isSpare && known.instance.state == InstanceState::Down);
        described.isIdle = pool->isSpare || (session && session->runs.empty() && session->isReconciled);
        bool isInWave = inWaves.contains(name);
        described.isUnavailable = (!pool->isSpare && !isUp && !described.isMovingIn) || isInWave;
        described.isPinned = !isUp || isInWave || (session && session->endpoint.isDraining) || (!session && !pool->isSpare);
        if (isEvacuated(known, session))
            described.isUnavailable = described.isPinned = true;
        if (session) {
            for (const auto& [key, run] : session->runs)
                described.isPinned = described.isPinned || run.isLongRunning;
            described.load = toInstances(session->used, session->endpoint.capacity);
        }
        auto [idle, isNew] = m_idleSince.try_emplace(name, now);
        if (!described.isIdle)
            idle->second = now;
        described.idleSince = idle->second;
        auto moved = m_movedAt.find(name);
        described.movedAt = moved == m_movedAt.end() ? TimePoint {} : moved->second;
        instances.push_back(std::move(described));
    }
    return instances;
}

bool InstanceManager::isListedElsewhere(const ListedInstance& known, const EndpointSession& session) const
{
    bool isSilent = session.unansweredStatusRequests > 0 && session.runs.empty();
    return isSilent && session.knownSince <= known.requestedAt && known.instance.pool != session.endpoint.service;
}

void InstanceManager::removeMovedEndpoints()
{
    for (const auto& [name, known] : m_instances) {
        const auto* session = sessionOf(name);
        if (!session || session->isRemovalPending || !isListedElsewhere(known, *session))
            continue;
        m_log.decisionLine("endpoint-moved").field("endpoint", session->endpoint.id).field("instance", name).field("recorded", session->endpoint.service).field("listed", known.instance.pool);
        m_dispatcher.removeMovedEndpoint(session->endpoint.id);
    }
}

void InstanceManager::adoptMoves()
{
    for (const auto& [name, known] : m_instances) {
        bool isMoving = known.instance.state == InstanceState::Moving && !m_moves.contains(name);
        // Moves of earlier leaders have ended by then.
        if (!isMoving || known.requestedAt > m_startedAt + m_desc.moveTime)
            continue;
        auto& move = m_moves[name];
        move.pool = known.instance.pool;
        move.isAccepted = true;
        move.acceptedAt = known.requestedAt;
        m_log.line("move-adopted").field("instance", name).field("to", move.pool);
    }
}

Duration InstanceManager::expectedDrainTime() const
{
    auto now = m_clock.now();
    Duration total {};
    Duration::rep count = 0;
    for (const auto& [name, move] : m_moves) {
        if (!move.pool.empty() || move.drainingSince == TimePoint {})
            continue;
        total += now - move.drainingSince;
        count++;
    }
    // Those that are still under way tell of long runs before the first of them have ended.
    return count > 0 ? std::max(m_drainTime, total / count) : m_drainTime;
}

void InstanceManager::countPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, const PoolActions& actions)
{
    std::vector<size_t> held(pools.size());
    for (const auto& it : instances)
        held[it.pool] += it.isUnavailable ? 0 : 1;
    m_poolStats.wanted = 0;
    m_poolStats.held = 0;
    m_poolStats.shortage = 0;
    for (size_t n = 0; n < pools.size(); n++) {
        if (pools[n].isSpare)
            continue;
        auto wanted = desiredInstances(pools[n].load);
        m_poolStats.wanted += wanted;
        m_poolStats.held += held[n];
        m_poolStats.shortage += std::max(0.0, wanted - static_cast<double>(held[n]));
    }
    m_poolStats.isScarce = !actions.shares.empty();
    m_poolStats.movesStarted += actions.moves.size();
    m_poolStats.movesUndone += actions.cancelDrain.size();
}

void InstanceManager::updatePools()
{
    auto now = m_clock.now();
    m_nextPoolPlanAt = now + poolPlanInterval;
    removeMovedEndpoints();
    auto pools = describePools();
    auto instances = describeInstances(pools);
    auto actions = planPools(pools, instances, m_hasDemand, now, { m_desc.features.scarcity, m_desc.moveTime, expectedDrainTime() });
    countPools(pools, instances, actions);
    if (now >= m_nextPoolLogAt) {
        m_nextPoolLogAt = now + poolLogInterval;
        for (size_t n = 0; n < pools.size(); n++) {
            auto count = [&](auto test) { return std::count_if(instances.begin(), instances.end(), [&](const PoolInstance& it) { return it.pool == n && test(it); }); };
            auto isListedElsewhere = [&](const PoolInstance& it) { return !m_moves.contains(it.name) && m_instances.at(it.name).instance.pool != pools[n].name; };
            m_log.stateLine("pool").field("pool", pools[n].name).field("wanted", desiredInstances(pools[n].load)).field("instances", count([](const auto&) { return true; })).field("idle", count([](const auto& it) { return it.isIdle; })).field("fixed", count([](const auto& it) { return it.isPinned; })).field("away", count([](const auto& it) { return it.isUnavailable; })).field("coming", count([](const auto& it) { return it.isMovingIn; })).field("idle-fixed", count([](const auto& it) { return it.isIdle && it.isPinned; })).field("elsewhere", count(isListedElsewhere)).field("arriving", pools[n].load.arriving).field("runnable", pools[n].load.runnable).field("backlog", pools[n].load.backlogSeconds).field("lasting", pools[n].load.reservedByLongRunning).field("limited", pools[n].load.limited).field("objective", pools[n].load.objectiveSeconds).field("drain-ms", std::chrono::duration_cast<std::chrono::milliseconds>(expectedDrainTime()).count()).field("share", actions.shares.empty() ? desiredInstances(pools[n].load) : static_cast<double>(actions.shares[n]));
        }
    }
    for (auto n : actions.cancelDrain)
        m_moves.erase(instances[n].name);
    for (auto n : actions.drainForMove) {
        auto& move = m_moves[instances[n].name];
        move.from = pools[instances[n].pool].name;
        move.drainingSince = now;
    }
    for (const auto& it : actions.moves) {
        const auto& instance = instances[it.instance];
        auto& move = m_moves[instance.name];
        if (move.drainingSince != TimePoint {})
            m_drainTime += std::chrono::duration_cast<Duration>((now - move.drainingSince - m_drainTime) * drainTimeWeight);
        move.from = pools[instance.pool].name;
        move.pool = pools[it.pool].name;
        m_log.line("move").field("instance", instance.name).field("from", move.from).field("to", move.pool).field("wanted", desiredInstances(pools[it.pool].load)).field("arriving", pools[it.pool].load.arriving).field("backlog", pools[it.pool].load.backlogSeconds).field("saved-there", it.savedThere).field("saved-here", it.savedHere);
    }
    for (auto& [name, move] : m_moves) {
        if (!move.pool.empty() && !move.isAccepted && !move.isCallPending && now >= move.nextCallAt)
            requestMove(name);
    }
}

void InstanceManager::requestMove(const std::string& name)
{
    if (!takeCallToken())
        return;
    auto& move = m_moves[name];
    move.isCallPending = true;
    m_service.move(name, move.pool, m_term, m_authorityEndsAt(), m_clock.now() + callTimeout, [this, name, isAlive = m_isAlive](InstanceReplyStatus status) {
        auto it = *isAlive ? m_moves.find(name) : m_moves.end();
        if (!*isAlive || it == m_moves.end())
            return;
        auto now = m_clock.now();
        auto& move = it->second;
        move.isCallPending = false;
        m_log.line("move-order").field("instance", name).field("to", move.pool).field("status", instanceReplyStatusName(status));
        if (status == InstanceReplyStatus::Accepted) {
            move.isAccepted = true;
            move.acceptedAt = now;
            // The platform has stopped the endpoint of the previous pool.
            const auto* endpoint = endpointOf(name);
            if (endpoint && endpoint->service == move.from)
                m_propose(RemoveEndpoint { endpoint->id, endpoint->startedAtMs });
            return;
        }
        if (status == InstanceReplyStatus::Unknown || status == InstanceReplyStatus::RateLimited) {
            // The request may have been carried out, so it is repeated until it is answered.
            move.nextCallAt = now + callRetryDelay;
            return;
        }
        m_poolStats.movesUndone++;
        m_moves.erase(it);
    });
}

void InstanceManager::finishMoves()
{
    auto now = m_clock.now();
    for (auto it = m_moves.begin(); it != m_moves.end();) {
        const auto& [name, move] = *it;
        auto known = m_instances.find(name);
        const auto* endpoint = endpointOf(name);
        const auto* pool = m_store.catalog().serviceNamed(move.pool);
        bool hasArrived = move.isAccepted && endpoint && endpoint->service == move.pool;
        // A spare instance sends no reports, and the next list may be seconds away, so the move is taken as finished after its
        // expected time. If the platform is later than that, it refuses the next request for the instance as busy.
        bool hasBecomeSpare = move.isAccepted && pool && pool->isSpare && now >= move.acceptedAt + m_desc.moveTime + spareMoveMargin;
        if (hasBecomeSpare && known != m_instances.end()) {
            known->second.instance.pool = move.pool;
            known->second.instance.state = InstanceState::Down;
            known->second.instance.endpoint.clear();
        }
        bool isOverdue = move.isAccepted && now - move.acceptedAt > m_desc.moveTime + moveMargin && known != m_instances.end() && known->second.requestedAt > move.acceptedAt + m_desc.moveTime;
        if (hasArrived || hasBecomeSpare || isOverdue) {
            m_idleSince[name] = now;
            m_movedAt[name] = now;
            it = m_moves.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace vanillalift::jobs
