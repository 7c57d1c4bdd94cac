#include "pool_planner_p.h"

#include <algorithm>
#include <numeric>

namespace vanillalift {

namespace {

    /// Relative gain of a buffer instance: its absence costs only during a failure, that of a required instance immediately.
    constexpr double bufferGain = 0.5;

    bool isMovingTo(const InstanceModel& it, std::string_view pool) { return it.status.targetPool == pool && it.instance.pool != pool; }

    bool isMovingAway(const InstanceModel& it) { return !it.status.targetPool.empty() && it.status.targetPool != it.instance.pool; }

    std::map<std::string_view, int64_t> racksOf(const FleetModel& model, const PoolModel& pool)
    {
        std::map<std::string_view, int64_t> racks;
        for (auto n : pool.members)
            ++racks[model.instances[n].instance.rack];
        return racks;
    }

    /// @returns the candidate whose rack has the fewest instances of the pool, which keeps the pool's buffer small.
    std::optional<size_t> leastPopulatedRack(const FleetModel& model, const PoolModel& pool, const std::vector<size_t>& candidates)
    {
        auto racks = racksOf(model, pool);
        auto count = [&](size_t n) { return racks[model.instances[n].instance.rack]; };
        auto it = std::min_element(candidates.begin(), candidates.end(), [&](size_t a, size_t b) { return count(a) < count(b); });
        return it == candidates.end() ? std::nullopt : std::optional(*it);
    }

    std::vector<size_t> movableInstances(const FleetModel& model, const PoolModel& pool)
    {
        std::vector<size_t> candidates;
        std::copy_if(pool.members.begin(), pool.members.end(), std::back_inserter(candidates), [&](size_t n) { return model.instances[n].isAvailable; });
        return candidates;
    }

    FleetAction makeMove(const InstanceModel& it, const PoolModel& to, std::string reason, std::vector<std::string> alternatives)
    {
        FleetAction action { .kind = FleetActionKind::BeginDrain, .instance = it.instance.name, .pool = to.name };
        action.incarnation = it.observation.incarnation;
        action.reason = std::move(reason);
        action.alternatives = std::move(alternatives);
        return action;
    }

    std::string sizeText(const PoolModel& pool, const PoolSize& size)
    {
        return "pool " + pool.name + " has " + std::to_string(size.size) + " instances; desired: required " + std::to_string(size.requiredInstances) + " + rack buffer " + std::to_string(size.buffer) + " + in a wave " + std::to_string(size.inWave);
    }

} // namespace

PoolSize PoolPlanner::sizeOf(const FleetModel& model, const PoolModel& pool)
{
    PoolSize size { pool.requiredInstances };
    std::map<std::string_view, int64_t> racks;
    auto count = [&](const InstanceModel& it) {
        ++size.size;
        size.buffer = std::max(size.buffer, ++racks[it.instance.rack]);
    };
    for (auto n : pool.members) {
        const auto& it = model.instances[n];
        if (it.status.phase == InstancePhase::Failed || isMovingAway(it))
            continue;
        count(it);
        // If moves weigh more than the rollout, the pool waits for the instances in the wave instead of getting replacements.
        size.inWave += !it.status.wave.empty() && pool.rollOutWeight >= pool.moveWeight ? 1 : 0;
    }
    for (const auto& it : model.instances) {
        if (isMovingTo(it, pool.name) && it.status.phase != InstancePhase::Failed)
            count(it);
    }
    return size;
}

void PoolPlanner::updateTimers(const FleetModel& model)
{
    for (const auto& pool : model.pools) {
        auto size = sizeOf(model, pool);
        auto& timers = m_timers[pool.name];
        auto update = [&](int64_t& since, bool isActive) { since = !isActive ? 0 : since == 0 ? model.nowMs
                                                                                              : since; };
        update(timers.shortageSinceMs, !pool.isSpare() && size.size < size.desiredInstances());
        update(timers.surplusSinceMs, !pool.isSpare() && size.size > size.desiredInstances());
    }
    std::erase_if(m_timers, [&](const auto& it) { return std::none_of(model.pools.begin(), model.pools.end(), [&](const PoolModel& pool) { return pool.name == it.first; }); });
}

bool PoolPlanner::hasSurplus(const FleetModel& model, const PoolModel& pool) const
{
    if (pool.isSpare())
        return pool.available > pool.requiredInstances;
    auto timers = m_timers.find(pool.name);
    bool isSurplusSustained = timers != m_timers.end() && timers->second.surplusSinceMs != 0 && model.nowMs - timers->second.surplusSinceMs >= m_options.surplusDelayMs;
    return isSurplusSustained && pool.available > pool.requiredInstances;
}

std::optional<FleetAction> PoolPlanner::planAddition(const FleetModel& model, size_t index) const
{
    const auto& pool = model.pools[index];
    auto since = m_timers.at(pool.name).shortageSinceMs;
    if (since == 0 || model.nowMs - since < m_options.shortageDelayMs)
        return std::nullopt;
    auto size = sizeOf(model, pool);
    auto gain = pool.shareWeight * static_cast<double>(m_options.gainPeriodMs) * (pool.available < pool.requiredInstances ? 1 : bufferGain);
    auto cost = pool.moveWeight * static_cast<double>(m_options.moveDurationMs);
    if (gain <= cost)
        return std::nullopt;
    // An instance in the rack with the most instances of the pool would raise the buffer by one and leave the shortage unchanged.
    auto racks = racksOf(model, pool);
    auto reducesShortage = [&](size_t n) { return pool.available < pool.requiredInstances || racks[model.instances[n].instance.rack] < size.buffer; };
    auto findSource = [&](bool isSpare) {
        std::vector<size_t> candidates;
        for (const auto& other : model.pools) {
            if (&other == &pool || other.isSpare() != isSpare || !hasSurplus(model, other))
                continue;
            auto eligible = movableInstances(model, other);
            std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(candidates), reducesShortage);
        }
        return leastPopulatedRack(model, pool, candidates);
    };
    auto source = findSource(true);
    bool isFromSpare = source.has_value();
    if (!source)
        source = findSource(false);
    if (!source)
        return std::nullopt;
    auto reason = sizeText(pool, size) + " for " + std::to_string((model.nowMs - since) / 1000) + " s; the move gains " + std::to_string(static_cast<int64_t>(gain / 1000)) + " instance seconds and costs " + std::to_string(static_cast<int64_t>(cost / 1000));
    return makeMove(model.instances[*source], pool, reason, { isFromSpare ? "take from a pool with a surplus" : "take from the spare pool: no instance available", "accept the shortage" });
}

std::optional<FleetAction> PoolPlanner::planRemoval(const FleetModel& model, size_t index) const
{
    const auto& pool = model.pools[index];
    auto spare = std::find_if(model.pools.begin(), model.pools.end(), [](const PoolModel& it) { return it.isSpare(); });
    auto size = sizeOf(model, pool);
    if (pool.isSpare() || spare == model.pools.end() || size.size <= size.desiredInstances() || !hasSurplus(model, pool))
        return std::nullopt;
    auto gain = pool.bufferWeight * static_cast<double>(m_options.gainPeriodMs) * bufferGain;
    auto cost = pool.moveWeight * static_cast<double>(m_options.moveDurationMs);
    if (gain <= cost)
        return std::nullopt;
    auto candidates = movableInstances(model, pool);
    auto racks = racksOf(model, pool);
    auto count = [&](size_t n) { return racks[model.instances[n].instance.rack]; };
    auto it = std::max_element(candidates.begin(), candidates.end(), [&](size_t a, size_t b) { return count(a) < count(b); });
    if (it == candidates.end())
        return std::nullopt;
    return makeMove(model.instances[*it], *spare, sizeText(pool, size) + "; surplus for " + std::to_string(m_options.surplusDelayMs / 1000) + " s", { "keep the instance in the pool" });
}

std::vector<FleetAction> PoolPlanner::plan(const FleetModel& model)
{
    updateTimers(model);
    // Pools with the largest shortage come first, and pools below their required instances before those that lack only buffer.
    std::vector<size_t> order(model.pools.size());
    std::iota(order.begin(), order.end(), 0);
    auto urgency = [&](size_t n) {
        const auto& pool = model.pools[n];
        return pool.shareWeight * static_cast<double>(pool.requiredInstances - pool.available);
    };
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return urgency(a) > urgency(b); });
    std::vector<FleetAction> actions;
    auto remaining = model;
    auto add = [&](std::optional<FleetAction> action) {
        if (!action)
            return;
        markUnavailable(remaining, *action);
        actions.push_back(std::move(*action));
    };
    for (auto n : order) {
        if (!model.pools[n].isSpare())
            add(planAddition(remaining, n));
    }
    for (auto n : order)
        add(planRemoval(remaining, n));
    return actions;
}

} // namespace vanillalift
