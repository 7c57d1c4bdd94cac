#include "core/command_line_p.h"
#include "fleet_builder.h"
#include "standin/fleet_simulation_p.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <numeric>

using namespace vanillalift;
using namespace vanillalift::bench;
using namespace vanillalift::standin;

namespace {

constexpr int64_t secondMs = 1000;
constexpr int64_t hourMs = 3600 * secondMs;
/// The pools reach their initial sizes in this time, which is not measured.
constexpr int64_t warmUpMs = hourMs;
/// Start of the wave. The buffer without a wave is measured until then, over four changes of demand.
constexpr int64_t waveStartMs = 9 * hourMs;
constexpr int64_t demandChangeIntervalMs = 2 * hourMs;
/// Mean time between outages of an instance; each lasts 5 minutes.
constexpr uint64_t outageIntervalS = 7200;
constexpr int64_t outageMs = 300 * secondMs;

struct Measurement {
    double rollOutMinutes = 0;
    /// Mean number of instances beyond the required ones, and the mean of the least number that survives the loss of a rack.
    double buffer = 0;
    double minimumBuffer = 0;
    /// The mean buffer from the start of the wave to its end.
    double bufferInWave = 0;
    double moves = 0;
    /// Seconds in which a pool had fewer instances than required, summed over the pools.
    double shortageSeconds = 0;
    /// The part of these seconds in which the instances in the wave would have covered the shortage.
    double shortageSecondsByWave = 0;
    double exhaustedBudgets = 0;
    double unfinishedWaves = 0;

    void add(const Measurement& other, double factor)
    {
        for (auto field : { &Measurement::rollOutMinutes, &Measurement::buffer, &Measurement::minimumBuffer, &Measurement::bufferInWave, &Measurement::moves, &Measurement::shortageSeconds, &Measurement::shortageSecondsByWave, &Measurement::exhaustedBudgets, &Measurement::unfinishedWaves })
            this->*field += other.*field * factor;
    }
};

struct Scenario {
    int zones = 4;
    Weights weights;
    const char* policyName;
    BatchPolicy policy;
};

std::vector<int> poolSizes(std::mt19937_64& random)
{
    std::vector<int> sizes(5);
    do {
        for (auto& it : sizes)
            it = std::uniform_int_distribution(8, 12)(random);
    } while (std::accumulate(sizes.begin(), sizes.end(), 0) != 50);
    return sizes;
}

/// @returns the smallest number of instances beyond the required ones that survives the loss of any rack, if the pool's
/// instances are spread as evenly as possible.
int64_t minimumBuffer(int64_t required, int64_t racks)
{
    int64_t buffer = 0;
    while ((required + buffer + racks - 1) / racks > buffer)
        ++buffer;
    return buffer;
}

void changeDemand(FleetSimulation& sim, const std::vector<int>& sizes, std::mt19937_64& random)
{
    for (size_t n = 0; n < sizes.size(); ++n)
        sim.demand[poolName(n)] = sizes[n] * std::uniform_real_distribution(0.55, 0.8)(random);
}

void measureRound(FleetSimulation& sim, Measurement& measured, bool isInWave, std::vector<std::string>& poolsWithoutBudget)
{
    auto model = sim.model();
    std::map<std::string, int> racks;
    for (const auto& it : model.instances)
        ++racks[it.instance.rack];
    for (const auto& pool : model.pools) {
        if (pool.isSpare())
            continue;
        auto size = PoolPlanner::sizeOf(model, pool);
        (isInWave ? measured.bufferInWave : measured.buffer) += static_cast<double>(size.size - size.requiredInstances);
        measured.minimumBuffer += isInWave ? 0 : static_cast<double>(minimumBuffer(pool.requiredInstances, static_cast<int64_t>(racks.size())));
        auto inWave = std::count_if(pool.members.begin(), pool.members.end(), [&](size_t n) { return !model.instances[n].status.wave.empty(); });
        bool hasShortage = pool.available < pool.requiredInstances;
        measured.shortageSeconds += hasShortage ? 1 : 0;
        measured.shortageSecondsByWave += hasShortage && pool.available + inWave >= pool.requiredInstances ? 1 : 0;
        if (pool.isBudgetExhausted() && std::find(poolsWithoutBudget.begin(), poolsWithoutBudget.end(), pool.name) == poolsWithoutBudget.end())
            poolsWithoutBudget.push_back(pool.name);
    }
}

Measurement measure(const Scenario& scenario, uint64_t seed)
{
    std::mt19937_64 random(seed);
    FleetDesc desc { .poolSizes = poolSizes(random), .spare = 8, .zones = scenario.zones, .weights = scenario.weights };
    auto state = buildFleet(desc);
    PlatformSettings settings;
    settings.drainMs = 20 * secondMs;
    settings.rebootMs = 120 * secondMs;
    settings.slow = 0.05;
    settings.seed = static_cast<int64_t>(seed);
    FleetControllerOptions options;
    options.waves.policy = scenario.policy;
    FleetSimulation sim(state, platformSettingsFor(state, settings), options);
    auto begin = sim.nowMs;
    Measurement measured;
    std::vector<std::string> poolsWithoutBudget;
    auto names = platformSettingsFor(state).instances;
    while (!sim.isClosed("w") && sim.nowMs < begin + waveStartMs + 12 * hourMs) {
        auto elapsed = sim.nowMs - begin;
        if (elapsed % demandChangeIntervalMs == 0)
            changeDemand(sim, desc.poolSizes, random);
        if (elapsed == waveStartMs) {
            std::vector<std::string> pools;
            for (size_t n = 0; n < desc.poolSizes.size(); ++n)
                pools.push_back(poolName(n));
            pools.emplace_back("spare");
            sim.change({ { "kind", "start-wave" }, { "name", "w" }, { "pools", pools }, { "deadline_ms", sim.nowMs + 12 * hourMs } });
        }
        if (random() % outageIntervalS == 0)
            sim.simulatedPlatform.failUntil(names[random() % names.size()].name, sim.nowMs + outageMs);
        sim.step();
        if (elapsed >= warmUpMs)
            measureRound(sim, measured, elapsed >= waveStartMs, poolsWithoutBudget);
    }
    auto waveDurationMs = static_cast<double>(sim.nowMs - begin - waveStartMs);
    auto roundsBeforeWave = static_cast<double>(waveStartMs - warmUpMs) / secondMs;
    measured.buffer /= roundsBeforeWave;
    measured.minimumBuffer /= roundsBeforeWave;
    measured.bufferInWave /= waveDurationMs / secondMs;
    measured.rollOutMinutes = waveDurationMs / 60000;
    measured.exhaustedBudgets = static_cast<double>(poolsWithoutBudget.size());
    measured.unfinishedWaves = sim.isClosed("w") ? 0 : 1;
    measured.moves = sim.read([](const ControlState& it) {
        const auto& records = it.fleet().records;
        return static_cast<double>(std::count_if(records.begin(), records.end(), [](const FleetRecord& record) { return record.action.kind == FleetActionKind::ChangePool; }));
    });
    return measured;
}

void compare(int64_t firstSeed, int64_t seeds)
{
    std::printf("%-5s %-22s %-14s %9s %7s %6s %8s %6s %7s %8s %6s %10s\n", "zones", "weights", "batches", "roll-out", "buffer", "least", "in wave", "moves", "short", "by wave", "spent", "unfinished");
    for (auto zones : { 4, 3 }) {
        for (const auto& weights : { Weights { "roll-out first", 4, 1, 1, 1 }, Weights { "buffer and moves first", 1, 1, 4, 4 } }) {
            for (const auto& scenario : { Scenario { zones, weights, "widening", DoublingBatch {} }, Scenario { zones, weights, "one at a time", OneAtATime {} }, Scenario { zones, weights, "a quarter", FixedFraction { 0.25 } } }) {
                Measurement mean;
                for (int64_t n = 0; n < seeds; ++n)
                    mean.add(measure(scenario, static_cast<uint64_t>(firstSeed + n)), 1.0 / static_cast<double>(seeds));
                std::printf("%-5d %-22s %-14s %7.1fmin %7.2f %6.2f %8.2f %6.1f %6.1fs %7.1fs %6.2f %10.2f\n", zones, weights.name, scenario.policyName, mean.rollOutMinutes, mean.buffer, mean.minimumBuffer, mean.bufferInWave, mean.moves, mean.shortageSeconds, mean.shortageSecondsByWave, mean.exhaustedBudgets, mean.unfinishedWaves);
            }
        }
    }
}

/// Measures the time of one decision: building the model from the state and running the three planners.
void timeDecisions(int instances, int pools, int64_t seed)
{
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    std::vector<int> sizes(static_cast<size_t>(pools), (instances - 8) / pools);
    for (int n = 0; n < (instances - 8) % pools; ++n)
        ++sizes[static_cast<size_t>(n)];
    auto state = buildFleet({ .poolSizes = sizes, .spare = 8, .zones = 5 });
    FleetSimulation sim(state, platformSettingsFor(state));
    std::vector<std::string> names;
    for (size_t n = 0; n < sizes.size(); ++n) {
        sim.demand[poolName(n)] = std::max(0.5, sizes[n] * std::uniform_real_distribution(0.3, 0.8)(random));
        names.push_back(poolName(n));
    }
    sim.change({ { "kind", "start-wave" }, { "name", "w" }, { "pools", names }, { "deadline_ms", hourMs } });
    std::vector<double> times;
    PoolPlanner planner;
    for (int n = 0; n < 4000; ++n) {
        sim.step();
        if (n % 20 != 0)
            continue;
        auto observations = sim.observe({});
        auto begin = BootClock::now();
        auto model = sim.read([&](const ControlState& it) { return makeFleetModel(it, observations, sim.nowMs); });
        auto actions = DrainTracker().plan(model).size() + WavePlanner().plan(model).size() + planner.plan(model).size();
        times.push_back(std::chrono::duration<double, std::milli>(BootClock::now() - begin).count() + (actions > 100000 ? 1 : 0));
    }
    std::sort(times.begin(), times.end());
    auto records = sim.read([](const ControlState& it) { return it.fleet().records.size(); });
    std::printf("decision at %d instances, %d pools, %zu records: median %.2f ms, longest of %zu %.2f ms\n", instances, pools, records, times[times.size() / 2], times.size(), times.back());
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    // The log line of each change of term would obscure the figures.
    FLAGS_minloglevel = google::GLOG_WARNING;
    FLAGS_logtostderr = true;
    int64_t firstSeed = 1;
    int64_t seeds = 3;
    CommandLine commandLine("vanillalift-fleet-bench", "", 0, 0);
    commandLine.add("first-seed", 'f', "SEED", "first seed (default 1)", firstSeed);
    commandLine.add("seeds", 'n', "COUNT", "number of seeds for each scenario (default 3)", seeds);
    auto operands = commandLine.parse(argc, argv);
    if (!operands)
        return operands.error();
    compare(firstSeed, std::max<int64_t>(1, seeds));
    timeDecisions(50, 5, firstSeed);
    timeDecisions(200, 100, firstSeed);
    timeDecisions(550, 295, firstSeed);
    return 0;
}
