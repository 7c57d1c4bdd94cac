#include "wave_planner_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift {

namespace {

    using Batch = std::vector<size_t>;

    /// Number of instances that can be drained in each pool now. Planned and unplanned absences both count as unavailable.
    class Headroom {
    public:
        explicit Headroom(const FleetModel& model)
        {
            for (const auto& pool : model.pools)
                m_headroom.push_back(ofPool(pool));
        }

        static int64_t ofPool(const PoolModel& pool)
        {
            if (pool.isBudgetExhausted() && !pool.isSpare())
                return 0;
            auto free = std::max<int64_t>(0, pool.available - pool.requiredInstances);
            if (pool.isSpare())
                return free;
            // If the teams' shares weigh more than the rollout, part of the free capacity stays in service.
            auto weights = pool.rollOutWeight + pool.shareWeight;
            auto part = weights > 0 ? std::min(1.0, 2 * pool.rollOutWeight / weights) : 1.0;
            return std::min(free, std::max<int64_t>(1, static_cast<int64_t>(std::floor(part * static_cast<double>(free)))));
        }

        bool take(size_t pool)
        {
            if (m_headroom[pool] == 0)
                return false;
            --m_headroom[pool];
            return true;
        }

    private:
        std::vector<int64_t> m_headroom;
    };

    Batch startableInstances(const FleetModel& model, const Wave& wave)
    {
        Batch batch;
        for (const auto& name : wave.pending) {
            const auto* it = model.findInstance(name);
            if (it && it->isAvailable)
                batch.push_back(static_cast<size_t>(it - model.instances.data()));
        }
        return batch;
    }

    /// Adds instances of @p candidates for which their pools have headroom, until the batch has @p limit instances.
    void extend(Batch& batch, const FleetModel& model, const Batch& candidates, Headroom& headroom, size_t limit)
    {
        for (auto n : candidates) {
            if (batch.size() >= limit)
                return;
            if (std::find(batch.begin(), batch.end(), n) == batch.end() && headroom.take(model.instances[n].pool))
                batch.push_back(n);
        }
    }

    template <typename Key>
    std::map<std::string, Batch> groupBy(const FleetModel& model, const Batch& batch, Key key)
    {
        std::map<std::string, Batch> groups;
        for (auto n : batch)
            groups[model.instances[n].instance.*key].push_back(n);
        return groups;
    }

    struct Choice {
        Batch batch;
        std::string reason;
        std::vector<std::string> alternatives;
    };

    std::string batchText(const std::string& domain, const Batch& batch)
    {
        return domain + ": " + std::to_string(batch.size()) + (batch.size() == 1 ? " instance" : " instances");
    }

    /// Selects the largest batch in one rack, and fills it up from the rack's zone.
    Choice chooseDoublingBatch(const FleetModel& model, const Wave& wave, const Batch& waiting)
    {
        auto limit = static_cast<size_t>(wave.maxBatchSize);
        std::map<std::string, Batch> byRack;
        for (const auto& [rack, members] : groupBy(model, waiting, &Instance::rack)) {
            Headroom headroom(model);
            Batch batch;
            extend(batch, model, members, headroom, limit);
            if (!batch.empty())
                byRack[rack] = batch;
        }
        if (byRack.empty())
            return {};
        auto best = std::max_element(byRack.begin(), byRack.end(), [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
        Choice choice { best->second };
        auto zone = model.instances[choice.batch.front()].instance.zone;
        Headroom headroom(model);
        for (auto n : choice.batch)
            headroom.take(model.instances[n].pool);
        extend(choice.batch, model, groupBy(model, waiting, &Instance::zone)[zone], headroom, limit);
        choice.reason = "batch of " + std::to_string(choice.batch.size()) + " of at most " + std::to_string(limit) + ", rack " + best->first + " first, then zone " + zone;
        for (const auto& [rack, batch] : byRack) {
            if (rack != best->first && choice.alternatives.size() < 3)
                choice.alternatives.push_back(batchText("rack " + rack, batch));
        }
        return choice;
    }

    struct ChooseBatch {
        const FleetModel& model;
        const Wave& wave;
        const Batch& waiting;

        Choice operator()(const DoublingBatch& /*policy*/) const { return chooseDoublingBatch(model, wave, waiting); }
        Choice operator()(const OneAtATime& /*policy*/) const
        {
            Choice choice { {}, "one instance at a time", {} };
            Headroom headroom(model);
            extend(choice.batch, model, waiting, headroom, 1);
            return choice;
        }
        Choice operator()(const FixedFraction& policy) const
        {
            Choice choice { {}, "a fixed fraction of each pool", {} };
            std::map<size_t, int64_t> taken;
            for (auto n : waiting) {
                auto pool = model.instances[n].pool;
                auto maxInstances = std::max<int64_t>(1, static_cast<int64_t>(policy.fraction * static_cast<double>(model.pools[pool].members.size())));
                if (++taken[pool] <= maxInstances)
                    choice.batch.push_back(n);
            }
            return choice;
        }
    };

    std::vector<std::string> inProgress(const FleetModel& model, const Wave& wave)
    {
        std::vector<std::string> names;
        for (const auto& it : model.instances) {
            if (it.status.wave == wave.name)
                names.push_back(it.instance.name);
        }
        return names;
    }

    std::vector<FleetAction> beginDrains(const FleetModel& model, const Wave& wave, const Choice& choice)
    {
        std::vector<FleetAction> actions;
        std::map<size_t, int64_t> taken;
        for (auto n : choice.batch)
            ++taken[model.instances[n].pool];
        for (auto n : choice.batch) {
            const auto& it = model.instances[n];
            const auto& pool = model.poolOf(it);
            FleetAction action { .kind = FleetActionKind::BeginDrain, .instance = it.instance.name, .wave = wave.name };
            action.incarnation = it.observation.incarnation;
            action.reason = choice.reason + "; pool " + pool.name + " keeps " + std::to_string(pool.available - taken[it.pool]) + " available, requires " + std::to_string(pool.requiredInstances);
            action.alternatives = choice.alternatives;
            actions.push_back(std::move(action));
        }
        return actions;
    }

    FleetAction makeHalt(const FleetModel& model, const Wave& wave, std::string reason, const std::vector<WaveOutcome>& failures)
    {
        reason += ":";
        for (const auto& it : failures) {
            const auto* instance = model.findInstance(it.instance);
            reason += " " + it.instance + (instance ? " (rack " + instance->instance.rack + ", zone " + instance->instance.zone + ")" : "");
        }
        FleetAction action { .kind = FleetActionKind::HaltWave, .wave = wave.name };
        action.reason = std::move(reason);
        action.alternatives = { "continue with batches of one", "roll back" };
        return action;
    }

} // namespace

std::optional<FleetAction> WavePlanner::planHalt(const FleetModel& model, const Wave& wave) const
{
    std::vector<WaveOutcome> failures;
    size_t failuresSinceHealthy = 0;
    for (size_t n = wave.outcomesBeforeResume; n < wave.outcomes.size(); ++n) {
        failuresSinceHealthy = wave.outcomes[n].isHealthy ? 0 : failuresSinceHealthy + 1;
        if (!wave.outcomes[n].isHealthy)
            failures.push_back(wave.outcomes[n]);
    }
    auto count = static_cast<size_t>(m_options.correlatedFailures);
    for (size_t n = count; n <= failures.size(); ++n) {
        std::vector<WaveOutcome> last(failures.begin() + static_cast<ptrdiff_t>(n - count), failures.begin() + static_cast<ptrdiff_t>(n));
        if (last.back().timeMs - last.front().timeMs <= m_options.correlationWindowMs)
            return makeHalt(model, wave, "correlated failures within " + std::to_string(m_options.correlationWindowMs / 60000) + " minutes", last);
    }
    // Failures in batches of one are further apart than the correlation window, since each waits for the reboot time-out.
    if (failuresSinceHealthy >= count)
        return makeHalt(model, wave, "correlated failures without a healthy return between them", { failures.end() - static_cast<ptrdiff_t>(count), failures.end() });
    return std::nullopt;
}

std::vector<FleetAction> WavePlanner::plan(const FleetModel& model) const
{
    std::vector<FleetAction> actions;
    auto remaining = model;
    for (const auto& wave : model.waves) {
        if (!wave.isOpen() || wave.phase == WavePhase::Halted)
            continue;
        bool isRunning = wave.phase == WavePhase::Running;
        if (auto halt = isRunning ? planHalt(model, wave) : std::nullopt) {
            actions.push_back(std::move(*halt));
            continue;
        }
        if (!inProgress(model, wave).empty())
            continue;
        if (!isRunning || wave.pending.empty()) {
            FleetAction finish { .kind = FleetActionKind::FinishWave, .wave = wave.name };
            finish.reason = isRunning ? "all instances were maintained or have failed" : "rolled back; " + std::to_string(wave.pending.size()) + " instances were not started";
            actions.push_back(std::move(finish));
            continue;
        }
        auto waiting = startableInstances(remaining, wave);
        auto choice = std::visit(ChooseBatch { remaining, wave, waiting }, m_options.policy);
        for (auto& it : beginDrains(remaining, wave, choice)) {
            markUnavailable(remaining, it);
            actions.push_back(std::move(it));
        }
    }
    return actions;
}

std::string WavePlanner::explain(const FleetModel& model, const Wave& wave) const
{
    if (wave.phase != WavePhase::Running)
        return std::string(wavePhaseName(wave.phase)) + (wave.reason.empty() ? "" : ": " + wave.reason);
    if (auto names = inProgress(model, wave); !names.empty())
        return "waits for " + std::to_string(names.size()) + " instances in progress, first " + names.front();
    std::string text;
    for (const auto& pool : model.pools) {
        bool isWaiting = std::any_of(pool.members.begin(), pool.members.end(), [&](size_t n) { return std::binary_search(wave.pending.begin(), wave.pending.end(), model.instances[n].instance.name); });
        if (isWaiting && Headroom::ofPool(pool) == 0)
            text += (text.empty() ? "" : "; ") + std::string("pool ") + pool.name + (pool.isBudgetExhausted() ? " has spent its availability budget" : " has " + std::to_string(pool.available) + " available, requires " + std::to_string(pool.requiredInstances));
    }
    return text;
}

} // namespace vanillalift
