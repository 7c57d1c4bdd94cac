#include "instance_keeper_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Short against the 1.5 s that a move takes.
    constexpr std::chrono::milliseconds poolPlanInterval { 100 };
    /// One line a pool and second is enough to follow a peak afterwards.
    constexpr std::chrono::milliseconds poolLogInterval { 1000 };
    /// Part of a job's objective within which the work that waits before it has to be done.
    constexpr double backlogShare = 0.4;
    /// A move counts as under way for this much longer than the platform says: the new life has to report itself.
    constexpr std::chrono::milliseconds moveMargin { 2500 };

    /// Added to the time of a move before an instance counts as spare: the platform's timers are late too.
    constexpr std::chrono::milliseconds restMargin { 150 };

    /// @returns the larger of the shares of processors and memory, in instances.
    double inInstances(const Resources& amount, const Resources& instance)
    {
        auto share = [](int64_t part, int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0; };
        return std::max(share(amount.cpu, instance.cpu), share(amount.memory, instance.memory));
    }

} // namespace

std::set<std::string_view> InstanceKeeper::instancesInWaves() const
{
    std::set<std::string_view> found;
    for (const auto& [number, wave] : m_store.waves()) {
        if (wave.isComplete())
            continue;
        for (const auto& name : wave.wave.instances) {
            // Once ordered down, until it has been seen up again.
            auto progress = m_progress.find({ number, name });
            bool isUnderWay = wave.isIntended(name) || (progress != m_progress.end() && progress->second.drainingSince != TimePoint {});
            bool isBack = wave.isMaintained(name) && progress != m_progress.end() && progress->second.isBack;
            if (isUnderWay && !isBack)
                found.insert(name);
        }
    }
    return found;
}

std::vector<Pool> InstanceKeeper::describePools()
{
    Resources instance;
    for (const auto& [name, it] : m_instances) {
        instance.cpu = std::max(instance.cpu, it.instance.capacity.cpu);
        instance.memory = std::max(instance.memory, it.instance.capacity.memory);
    }
    auto loads = m_dispatcher.loads();
    std::vector<Pool> pools;
    for (const auto& it : m_store.catalog().services) {
        Pool pool { it.name, it.isSpare, {} };
        const auto& load = loads[it.name];
        pool.load.reservedByLongRunning = inInstances(load.reservedByLongRunning, instance);
        pool.load.waitingLongRunningTasks = load.waitingLongRunningTasks;
        pool.load.running = inInstances(load.running, instance);
        pool.load.limited = inInstances(load.limited, instance);
        pool.load.runnable = inInstances(load.running + load.ready, instance);
        auto arriving = inInstances(load.arriving, instance);
        if (!m_hasDemand && arriving > 0) {
            m_hasDemand = true;
            // What was idle before says nothing about the demand that begins now.
            m_idleSince.clear();
        }
        pool.load.isRising = load.isRising;
        m_forecast.observe(it.name, arriving, m_instances.size(), m_clock.now());
        pool.load.arriving = std::max(arriving, m_forecast.expected(it.name, m_clock.now()));
        pool.load.backlogSeconds = inInstances(load.backlog, instance);
        pool.load.backlogWithin = std::max(load.objectiveSeconds * backlogShare, 0.5);
        pools.push_back(std::move(pool));
    }
    return pools;
}

std::vector<PoolInstance> InstanceKeeper::describeInstances(const std::vector<Pool>& pools)
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
        described.isArriving = move != m_moves.end() && !move->second.pool.empty();
        described.isLeaving = move != m_moves.end() && move->second.pool.empty();
        // A life that has reported itself after the reading was asked for.
        bool isHeard = session && m_dispatcher.isReachable(*session) && session->reconciledAt > known.readAt;
        bool isUp = isHeard || known.instance.state == InstanceState::Up || (pool->isSpare && known.instance.state == InstanceState::Down);
        described.isIdle = pool->isSpare || (session && session->runs.empty() && session->isReconciled);
        bool isInWave = inWaves.contains(name);
        described.isAway = (!pool->isSpare && !isUp && !described.isArriving) || isInWave;
        described.isFixed = !isUp || isInWave || (session && session->endpoint.isDraining) || (!session && !pool->isSpare);
        if (session) {
            for (const auto& [key, run] : session->runs)
                described.isFixed = described.isFixed || run.isLasting;
            described.load = inInstances(session->used, session->endpoint.capacity);
        }
        auto [idle, isNew] = m_idleSince.try_emplace(name, now);
        if (!described.isIdle)
            idle->second = now;
        described.idleSince = idle->second;
        instances.push_back(std::move(described));
    }
    return instances;
}

void InstanceKeeper::servePools()
{
    auto now = m_clock.now();
    m_nextPoolPlanAt = now + poolPlanInterval;
    auto pools = describePools();
    auto instances = describeInstances(pools);
    auto steps = planPools(pools, instances, m_hasDemand, now);
    if (now >= m_nextPoolLogAt) {
        m_nextPoolLogAt = now + poolLogInterval;
        for (size_t n = 0; n < pools.size(); n++) {
            auto count = [&](auto test) { return std::count_if(instances.begin(), instances.end(), [&](const PoolInstance& it) { return it.pool == n && test(it); }); };
            m_log.stateLine("pool").field("pool", pools[n].name).field("wanted", instancesWanted(pools[n].load)).field("instances", count([](const auto&) { return true; })).field("idle", count([](const auto& it) { return it.isIdle; })).field("fixed", count([](const auto& it) { return it.isFixed; })).field("away", count([](const auto& it) { return it.isAway; })).field("coming", count([](const auto& it) { return it.isArriving; })).field("idle-fixed", count([](const auto& it) { return it.isIdle && it.isFixed; })).field("arriving", pools[n].load.arriving).field("runnable", pools[n].load.runnable).field("backlog", pools[n].load.backlogSeconds).field("lasting", pools[n].load.reservedByLongRunning).field("limited", pools[n].load.limited);
        }
    }
    for (auto n : steps.keep)
        m_moves.erase(instances[n].name);
    for (auto n : steps.release)
        m_moves[instances[n].name].from = pools[instances[n].pool].name;
    for (const auto& it : steps.moves) {
        const auto& instance = instances[it.instance];
        auto& move = m_moves[instance.name];
        move.from = pools[instance.pool].name;
        move.pool = pools[it.pool].name;
        m_log.line("move").field("instance", instance.name).field("from", move.from).field("to", move.pool).field("wanted", instancesWanted(pools[it.pool].load)).field("arriving", pools[it.pool].load.arriving).field("backlog", pools[it.pool].load.backlogSeconds);
    }
    for (auto& [name, move] : m_moves) {
        if (!move.pool.empty() && !move.isAccepted && !move.isCallOut && now >= move.nextCallAt)
            callMove(name);
    }
}

void InstanceKeeper::callMove(const std::string& name)
{
    if (!takeCall())
        return;
    auto& move = m_moves[name];
    move.isCallOut = true;
    m_service.move(name, move.pool, m_term, m_clock.now() + callTimeout, [this, name, isAlive = m_isAlive](InstanceReplyStatus status) {
        auto it = *isAlive ? m_moves.find(name) : m_moves.end();
        if (!*isAlive || it == m_moves.end())
            return;
        auto now = m_clock.now();
        auto& move = it->second;
        move.isCallOut = false;
        m_log.line("move-order").field("instance", name).field("to", move.pool).field("status", instanceReplyStatusName(status));
        if (status == InstanceReplyStatus::Accepted) {
            move.isAccepted = true;
            move.acceptedAt = now;
            // The instance's earlier life has ended with the order.
            const auto* endpoint = endpointOf(name);
            if (endpoint && endpoint->service == move.from)
                m_propose(RemoveEndpoint { endpoint->id, endpoint->bornMs });
            return;
        }
        if (status == InstanceReplyStatus::Unknown || status == InstanceReplyStatus::RateLimited) {
            // It may have been carried out: the same order is given until it is answered.
            move.nextCallAt = now + callRetry;
            return;
        }
        m_moves.erase(it);
    });
}

void InstanceKeeper::settleMoves()
{
    auto now = m_clock.now();
    for (auto it = m_moves.begin(); it != m_moves.end();) {
        const auto& [name, move] = *it;
        auto known = m_instances.find(name);
        const auto* endpoint = endpointOf(name);
        const auto* pool = m_store.catalog().serviceNamed(move.pool);
        bool hasArrived = move.isAccepted && endpoint && endpoint->service == move.pool;
        // A spare instance reports nothing, and the next list may come seconds later. If it is late, the next order for it is
        // refused as busy.
        bool isResting = move.isAccepted && pool && pool->isSpare && now >= move.acceptedAt + m_desc.move + restMargin;
        if (isResting && known != m_instances.end()) {
            known->second.instance.pool = move.pool;
            known->second.instance.state = InstanceState::Down;
            known->second.instance.endpoint.clear();
        }
        bool isOverdue = move.isAccepted && now - move.acceptedAt > m_desc.move + moveMargin && known != m_instances.end() && known->second.readAt > move.acceptedAt + m_desc.move;
        if (hasArrived || isResting || isOverdue) {
            m_idleSince[name] = now;
            it = m_moves.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace vanillalift::jobs
