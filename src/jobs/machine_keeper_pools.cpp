#include "machine_keeper_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    constexpr std::chrono::milliseconds poolPlanInterval { 100 };
    constexpr std::chrono::milliseconds poolLogInterval { 1000 };
    constexpr std::chrono::milliseconds callTimeout { 3000 };
    constexpr std::chrono::milliseconds callRetry { 300 };
    /// Part of a job's objective within which the work that waits before it has to be done.
    constexpr double backlogShare = 0.4;
    /// A move counts as under way for this much longer than the platform says: the new life has to report itself.
    constexpr std::chrono::milliseconds moveMargin { 2500 };

    /// @returns the larger of the shares of processors and memory, in machines.
    double inMachines(const Resources& amount, const Resources& machine)
    {
        auto share = [](int64_t part, int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0; };
        return std::max(share(amount.cpu, machine.cpu), share(amount.memory, machine.memory));
    }

} // namespace

bool MachineKeeper::isInOpenWave(const std::string& machine) const
{
    return std::any_of(m_store.waves().begin(), m_store.waves().end(), [&](const auto& it) {
        const auto& wave = it.second;
        if (std::find(wave.wave.machines.begin(), wave.wave.machines.end(), machine) == wave.wave.machines.end())
            return false;
        // Once ordered down, until it has been seen up again.
        auto progress = m_progress.find({ it.first, machine });
        bool isUnderWay = wave.isIntended(machine) || (progress != m_progress.end() && progress->second.drainingSince != TimePoint {});
        bool isBack = wave.isMaintained(machine) && progress != m_progress.end() && progress->second.isBack;
        return isUnderWay && !isBack && !wave.isComplete();
    });
}

std::vector<Pool> MachineKeeper::describePools()
{
    Resources machine;
    for (const auto& [name, it] : m_machines) {
        machine.cpu = std::max(machine.cpu, it.machine.capacity.cpu);
        machine.memory = std::max(machine.memory, it.machine.capacity.memory);
    }
    auto loads = m_dispatcher.loads();
    std::vector<Pool> pools;
    for (const auto& it : m_store.catalog().services) {
        Pool pool { it.name, it.isSpare, {} };
        const auto& load = loads[it.name];
        pool.load.lasting = inMachines(load.lasting, machine);
        pool.load.lastingWaiting = load.lastingWaiting;
        pool.load.running = inMachines(load.running, machine);
        pool.load.limited = inMachines(load.limited, machine);
        pool.load.runnable = inMachines(load.running + load.ready, machine);
        auto arriving = inMachines(load.arriving, machine);
        if (!m_hasDemand && arriving > 0) {
            m_hasDemand = true;
            // What was idle before says nothing about the demand that begins now.
            m_idleSince.clear();
        }
        pool.load.isRising = load.isRising;
        m_forecast.observe(it.name, arriving, m_clock.now());
        pool.load.arriving = std::max(arriving, m_forecast.expected(it.name, m_clock.now()));
        pool.load.backlogSeconds = inMachines(load.backlog, machine);
        pool.load.backlogWithin = std::max(load.objectiveSeconds * backlogShare, 0.5);
        pools.push_back(std::move(pool));
    }
    return pools;
}

std::vector<PoolMachine> MachineKeeper::describeMachines(const std::vector<Pool>& pools)
{
    auto now = m_clock.now();
    std::vector<PoolMachine> machines;
    for (const auto& [name, known] : m_machines) {
        auto move = m_moves.find(name);
        const auto* session = sessionOf(name);
        PoolMachine described;
        described.name = name;
        auto poolName = known.machine.pool;
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
        bool isUp = known.machine.state == MachineState::Up || (pool->isSpare && known.machine.state == MachineState::Down);
        described.isIdle = pool->isSpare || (session && session->runs.empty() && session->isConfirmed);
        described.isAway = (!pool->isSpare && !isUp && !described.isArriving) || isInOpenWave(name);
        described.isFixed = !isUp || isInOpenWave(name) || (session && session->endpoint.isDraining) || (!session && !pool->isSpare);
        if (session) {
            for (const auto& [key, run] : session->runs)
                described.isFixed = described.isFixed || run.isLasting;
            described.load = inMachines(session->used, session->endpoint.capacity);
        }
        auto [idle, isNew] = m_idleSince.try_emplace(name, now);
        if (!described.isIdle)
            idle->second = now;
        described.idleSince = idle->second;
        machines.push_back(std::move(described));
    }
    return machines;
}

void MachineKeeper::servePools()
{
    auto now = m_clock.now();
    m_nextPoolPlanAt = now + poolPlanInterval;
    auto pools = describePools();
    auto machines = describeMachines(pools);
    auto steps = planPools(pools, machines, m_hasDemand, now);
    if (now >= m_nextPoolLogAt) {
        m_nextPoolLogAt = now + poolLogInterval;
        for (size_t n = 0; n < pools.size(); n++) {
            auto count = [&](auto test) { return std::count_if(machines.begin(), machines.end(), [&](const PoolMachine& it) { return it.pool == n && test(it); }); };
            m_log.stateLine("pool").field("pool", pools[n].name).field("wanted", machinesWanted(pools[n].load)).field("machines", count([](const auto&) { return true; })).field("idle", count([](const auto& it) { return it.isIdle; })).field("fixed", count([](const auto& it) { return it.isFixed; })).field("arriving", pools[n].load.arriving).field("runnable", pools[n].load.runnable).field("backlog", pools[n].load.backlogSeconds).field("lasting", pools[n].load.lasting).field("limited", pools[n].load.limited);
        }
    }
    for (auto n : steps.keep)
        m_moves.erase(machines[n].name);
    for (auto n : steps.release)
        m_moves[machines[n].name].from = pools[machines[n].pool].name;
    for (const auto& it : steps.moves) {
        const auto& machine = machines[it.machine];
        auto& move = m_moves[machine.name];
        move.from = pools[machine.pool].name;
        move.pool = pools[it.pool].name;
        m_log.line("move").field("machine", machine.name).field("from", move.from).field("to", move.pool).field("wanted", machinesWanted(pools[it.pool].load)).field("arriving", pools[it.pool].load.arriving).field("backlog", pools[it.pool].load.backlogSeconds);
    }
    for (auto& [name, move] : m_moves) {
        if (!move.pool.empty() && !move.isAccepted && !move.isCallOut && now >= move.nextCallAt)
            callMove(name);
    }
}

void MachineKeeper::callMove(const std::string& name)
{
    if (!takeCall())
        return;
    auto& move = m_moves[name];
    move.isCallOut = true;
    m_service.move(name, move.pool, m_term, m_clock.now() + callTimeout, [this, name, isAlive = m_isAlive](MachineOrderStatus status) {
        auto it = *isAlive ? m_moves.find(name) : m_moves.end();
        if (!*isAlive || it == m_moves.end())
            return;
        auto now = m_clock.now();
        auto& move = it->second;
        move.isCallOut = false;
        m_log.line("move-order").field("machine", name).field("to", move.pool).field("status", machineOrderStatusName(status));
        if (status == MachineOrderStatus::Accepted) {
            move.isAccepted = true;
            move.acceptedAt = now;
            // The machine's earlier life has ended with the order.
            const auto* endpoint = endpointOf(name);
            if (endpoint && endpoint->service == move.from)
                m_propose(RemoveEndpoint { endpoint->id, endpoint->bornMs });
            return;
        }
        if (status == MachineOrderStatus::Unknown || status == MachineOrderStatus::RateLimited) {
            // It may have been carried out: the same order is given until it is answered.
            move.nextCallAt = now + callRetry;
            return;
        }
        m_moves.erase(it);
    });
}

void MachineKeeper::settleMoves()
{
    auto now = m_clock.now();
    for (auto it = m_moves.begin(); it != m_moves.end();) {
        const auto& [name, move] = *it;
        auto known = m_machines.find(name);
        const auto* endpoint = endpointOf(name);
        const auto* pool = m_store.catalog().serviceNamed(move.pool);
        bool hasArrived = move.isAccepted && endpoint && endpoint->service == move.pool;
        bool isSpareSeen = move.isAccepted && pool && pool->isSpare && known != m_machines.end() && known->second.readAt > move.acceptedAt + m_desc.move && known->second.machine.pool == move.pool;
        bool isOverdue = move.isAccepted && now - move.acceptedAt > m_desc.move + moveMargin && known != m_machines.end() && known->second.readAt > move.acceptedAt + m_desc.move;
        if (hasArrived || isSpareSeen || isOverdue) {
            m_idleSince[name] = now;
            it = m_moves.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace vanillalift::jobs
