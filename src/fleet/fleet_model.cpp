#include "fleet_model_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift {

namespace {

    /// Window of the availability budget: 4 weeks, the period in which each instance is maintained once.
    constexpr int64_t budgetWindowMs = 28LL * 24 * 3600 * 1000;

    bool canTakeWork(const InstanceModel& it, const PoolModel& pool)
    {
        const auto& seen = it.observation;
        if (it.status.phase != InstancePhase::Serving || seen.platform == PlatformState::Broken)
            return false;
        // Spare instances run no endpoint, so only the platform's report shows that they are usable.
        return pool.isSpare() ? seen.platform == PlatformState::Up : seen.isAnnounced && !seen.isLeaving;
    }

    void addPools(FleetModel& model, const ControlState& state, const FleetObservations& observations)
    {
        for (const auto& [name, pool] : state.pools()) {
            PoolModel it { name, pool.service };
            auto demand = observations.demand.find(name);
            auto demandInstances = demand == observations.demand.end() ? 0 : static_cast<int64_t>(std::ceil(demand->second));
            it.requiredInstances = std::max(pool.minimum, demandInstances);
            auto service = state.services().find(pool.service);
            if (service != state.services().end()) {
                const auto& profile = state.profiles().at(service->second.profile);
                it.availabilityBudget = profile.availabilityBudget;
                it.rollOutWeight = profile.rollOutWeight;
                it.shareWeight = profile.shareWeight;
                it.bufferWeight = profile.bufferWeight;
                it.moveWeight = profile.moveWeight;
            }
            model.pools.push_back(std::move(it));
        }
    }

    void addInstances(FleetModel& model, const ControlState& state, const FleetObservations& observations)
    {
        std::map<std::string_view, size_t> pools;
        for (size_t n = 0; n < model.pools.size(); ++n)
            pools[model.pools[n].name] = n;
        for (const auto& [name, instance] : state.instances()) {
            auto seen = observations.instances.find(name);
            InstanceModel it { instance, state.fleet().statusOf(name), seen == observations.instances.end() ? InstanceObservation {} : seen->second, pools.at(instance.pool) };
            auto& pool = model.pools[it.pool];
            it.isAvailable = canTakeWork(it, pool);
            pool.available += it.isAvailable ? 1 : 0;
            pool.members.push_back(model.instances.size());
            model.instances.push_back(std::move(it));
        }
    }

    /// Integrates a pool's absent instances beyond its buffer over time, from the recorded actions.
    struct AbsenceIntegral {
        int64_t absent = 0;
        int64_t sinceMs = 0;
        double beyondBufferMs = 0;

        void advance(int64_t timeMs, int64_t buffer)
        {
            beyondBufferMs += static_cast<double>(std::max<int64_t>(0, absent - buffer)) * static_cast<double>(std::max<int64_t>(0, timeMs - sinceMs));
            sinceMs = timeMs;
        }
    };

    /// @returns 1 if the action starts an absence, -1 if it ends one, otherwise 0.
    int absenceChange(FleetActionKind kind)
    {
        if (kind == FleetActionKind::BeginDrain || kind == FleetActionKind::Fail)
            return 1;
        return kind == FleetActionKind::FinishReturn || kind == FleetActionKind::Recover ? -1 : 0;
    }

    void addConsumedBudgets(FleetModel& model, const ControlState& state)
    {
        std::vector<AbsenceIntegral> absences(model.pools.size());
        std::vector<int64_t> buffers;
        for (const auto& pool : model.pools)
            buffers.push_back(model.bufferOf(pool));
        // The records are replicated, so a new leader includes the absences from the terms of earlier leaders.
        std::vector<bool> isAbsent(model.instances.size());
        for (const auto& record : state.fleet().records) {
            auto change = absenceChange(record.action.kind);
            const auto* instance = change == 0 ? nullptr : model.findInstance(record.action.instance);
            if (!instance)
                continue;
            auto index = static_cast<size_t>(instance - model.instances.data());
            if (isAbsent[index] == (change > 0))
                continue;
            isAbsent[index] = change > 0;
            auto& it = absences[instance->pool];
            it.advance(std::max(record.timeMs, model.nowMs - budgetWindowMs), buffers[instance->pool]);
            it.absent += change;
        }
        for (size_t n = 0; n < model.pools.size(); ++n) {
            auto& pool = model.pools[n];
            absences[n].advance(model.nowMs, buffers[n]);
            if (!pool.members.empty())
                pool.consumedBudget = absences[n].beyondBufferMs / static_cast<double>(budgetWindowMs) / static_cast<double>(pool.members.size());
        }
    }

} // namespace

const InstanceModel* FleetModel::findInstance(std::string_view name) const
{
    auto it = std::lower_bound(instances.begin(), instances.end(), name, [](const InstanceModel& a, std::string_view b) { return a.instance.name < b; });
    return it != instances.end() && it->instance.name == name ? &*it : nullptr;
}

int64_t FleetModel::bufferOf(const PoolModel& pool) const
{
    std::map<std::string_view, int64_t> racks;
    int64_t largest = 0;
    for (auto n : pool.members)
        largest = std::max(largest, ++racks[instances[n].instance.rack]);
    return largest;
}

FleetModel makeFleetModel(const ControlState& state, const FleetObservations& observations, int64_t nowMs)
{
    FleetModel model;
    model.nowMs = nowMs;
    model.waves = state.fleet().waves;
    addPools(model, state, observations);
    addInstances(model, state, observations);
    addConsumedBudgets(model, state);
    return model;
}

void markUnavailable(FleetModel& model, const FleetAction& action)
{
    const auto* found = model.findInstance(action.instance);
    if (action.kind != FleetActionKind::BeginDrain || !found)
        return;
    auto& it = model.instances[static_cast<size_t>(found - model.instances.data())];
    model.pools[it.pool].available -= it.isAvailable ? 1 : 0;
    it.isAvailable = false;
}

} // namespace vanillalift
