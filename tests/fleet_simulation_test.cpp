#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fleet_fixture.h"
#include "standin/fleet_simulation_p.h"

using namespace vanillalift;
using namespace vanillalift::standin;
using namespace vanillalift::test;
using Kind = FleetActionKind;

namespace {

constexpr int64_t minuteMs = 60000;

/// Runs a fleet in simulated time and checks its invariants after each simulated second.
class SimulationFixture {
public:
    SimulationFixture(int services, int size, int spare, double demand, PlatformSettings settings = {})
        : m_fixture(services, size, spare)
        , sim(m_fixture.state, platformSettingsFor(m_fixture.state, std::move(settings)))
    {
        for (int n = 0; n < services; ++n)
            sim.demand["pool-" + std::to_string(n)] = demand;
        for (const auto& [name, instance] : m_fixture.state.instances())
            names.push_back(name);
    }

private:
    FleetFixture m_fixture;

public:
    FleetSimulation sim;
    std::vector<std::string> names;
    /// First violated invariant, or empty.
    std::string violation;

    void startWave(std::vector<std::string> pools)
    {
        nlohmann::json change { { "kind", "start-wave" }, { "name", "w" }, { "pools", std::move(pools) }, { "deadline_ms", 1 } };
        if (!std::holds_alternative<ChangeAccepted>(sim.change(change)))
            throw std::logic_error("the wave was rejected");
    }

    void step()
    {
        auto last = lastAction();
        sim.step();
        sim.nowMs -= 1000;
        checkStartedDrains(last);
        checkPools();
        sim.nowMs += 1000;
    }

    /// @returns whether the wave was closed within the time limit.
    bool runUntilClosed(int64_t limitMs)
    {
        for (auto end = sim.nowMs + limitMs; sim.nowMs < end && !sim.isClosed("w");)
            step();
        return sim.isClosed("w");
    }

    [[nodiscard]] Wave wave() const
    {
        return sim.read([](const ControlState& state) { return *state.fleet().findWave("w"); });
    }

    [[nodiscard]] size_t stoppedInstances() const
    {
        return sim.read([](const ControlState& state) { return state.fleet().statuses.size() + state.catalog().draining.size(); });
    }

private:
    [[nodiscard]] uint64_t lastAction() const
    {
        return sim.read([](const ControlState& state) { return state.fleet().lastActionId; });
    }

    /// Checks that each pool in which a drain was started still has its required instances without the drained ones.
    void checkStartedDrains(uint64_t last)
    {
        auto started = sim.read([&](const ControlState& state) {
            std::vector<std::string> instances;
            for (const auto& it : state.fleet().records) {
                if (it.id > last && it.action.kind == Kind::BeginDrain)
                    instances.push_back(it.action.instance);
            }
            return instances;
        });
        if (started.empty())
            return;
        auto model = sim.model();
        for (const auto& it : started) {
            const auto& pool = model.poolOf(*model.findInstance(it));
            if (pool.available < pool.requiredInstances && violation.empty())
                violation = "the drain of " + it + " leaves " + std::to_string(pool.available) + " available, required: " + std::to_string(pool.requiredInstances);
        }
    }

    void checkPools()
    {
        auto model = sim.model();
        size_t members = 0;
        for (const auto& pool : model.pools) {
            members += pool.members.size();
            if (pool.isBudgetExhausted() && !pool.isSpare() && violation.empty())
                violation = "pool " + pool.name + " has spent its budget";
        }
        if (members != names.size() && violation.empty())
            violation = "an instance is in no pool or in more than one";
    }
};

std::map<std::string, int> rebootedOnce(const SimulationFixture& run, const std::string& except = "")
{
    std::map<std::string, int> counts;
    for (const auto& it : run.names)
        counts[it] = it == except ? 0 : 1;
    return counts;
}

} // namespace

TEST_CASE("a wave reboots each instance once", "[fleet]")
{
    SimulationFixture run(2, 6, 0, 4);
    run.startWave({ "pool-0", "pool-1" });
    CHECK(run.runUntilClosed(60 * minuteMs));
    CHECK(run.violation.empty());
    CHECK(run.wave().phase == WavePhase::Finished);
    CHECK(run.sim.simulatedPlatform.reboots() == rebootedOnce(run));
    CHECK(run.stoppedInstances() == 0);
}

TEST_CASE("the loss of the leader at any commit or platform call leaves no instance drained twice or out of service", "[fleet]")
{
    bool isLostAtCall = GENERATE(false, true);
    int lost = 0;
    for (int n = isLostAtCall ? 0 : 1; n < 60; ++n) {
        SimulationFixture run(1, 5, 0, 3);
        run.startWave({ "pool-0" });
        (isLostAtCall ? run.sim.callsUntilLeaderLoss : run.sim.log.commitsUntilLeaderLoss) = n;
        for (int step = 0; step < 3600 && !run.sim.isClosed("w"); ++step) {
            run.step();
            if (run.sim.log.commitsUntilLeaderLoss == 0) {
                ++lost;
                // 3 s pass without a leader.
                run.sim.nowMs += 3000;
                run.sim.changeLeader();
            }
        }
        INFO("lost at " << n << " " << run.violation);
        CHECK(run.sim.isClosed("w"));
        CHECK(run.violation.empty());
        CHECK(run.sim.simulatedPlatform.reboots() == rebootedOnce(run));
        CHECK(run.sim.simulatedPlatform.repeatedDrains() == 0);
        CHECK(run.stoppedInstances() == 0);
    }
    // The leader must be lost at each of the 25 actions, or at each of the 10 calls.
    CHECK(lost >= (isLostAtCall ? 10 : 25));
}

TEST_CASE("the loss of a rack during a wave leaves each pool its required instances when drains start", "[fleet]")
{
    SimulationFixture run(3, 8, 4, 5);
    run.startWave({ "pool-0", "pool-1", "pool-2" });
    for (int n = 0; n < 100; ++n)
        run.step();
    auto until = run.sim.nowMs + 10 * minuteMs;
    for (int n = 8; n < 12; ++n)
        run.sim.simulatedPlatform.failUntil(run.names.at(static_cast<size_t>(n)), until);
    bool isClosed = run.runUntilClosed(240 * minuteMs);
    INFO(run.violation << toJson(run.wave()).dump());
    CHECK(isClosed);
    CHECK(run.violation.empty());
    for (int n = 0; n < 120; ++n)
        run.step();
    CHECK(run.stoppedInstances() == 0);
}

TEST_CASE("the loss of a second instance right after a repair is detected, and the wave continues after its return", "[fleet]")
{
    SimulationFixture run(1, 8, 0, 6);
    run.startWave({ "pool-0" });
    for (int n = 0; n < 20; ++n)
        run.step();
    run.sim.simulatedPlatform.failUntil("i006", run.sim.nowMs + 2 * minuteMs);
    for (int n = 0; n < 140; ++n)
        run.step();
    CHECK(run.sim.read([](const ControlState& state) { return state.fleet().statusOf("i006").phase; }) == InstancePhase::Serving);
    run.sim.simulatedPlatform.failUntil("i007", run.sim.nowMs + 2 * minuteMs);
    CHECK(run.runUntilClosed(120 * minuteMs));
    INFO(run.violation);
    CHECK(run.violation.empty());
    CHECK(run.sim.simulatedPlatform.reboots() == rebootedOnce(run));
    auto failures = run.sim.read([](const ControlState& state) { return std::count_if(state.fleet().records.begin(), state.fleet().records.end(), [](const FleetRecord& it) { return it.action.kind == Kind::Fail; }); });
    CHECK(failures == 2);
}

TEST_CASE("a wave whose instances do not return halts with a reason, and its rollback leaves the pending instances untouched", "[fleet]")
{
    PlatformSettings settings;
    settings.neverReturns = 1;
    SimulationFixture run(1, 12, 0, 4, settings);
    run.startWave({ "pool-0" });
    for (int n = 0; n < 3600 && run.wave().phase == WavePhase::Running; ++n)
        run.step();
    auto halted = run.wave();
    CHECK(halted.phase == WavePhase::Halted);
    CHECK(halted.reason.find("correlated failures without a healthy return between them: ") == 0);
    CHECK(halted.outcomes.size() == 2);
    run.sim.change({ { "kind", "rollback-wave" }, { "name", "w" } });
    CHECK(run.runUntilClosed(minuteMs));
    CHECK(run.wave().phase == WavePhase::RolledBack);
    CHECK(run.wave().pending.size() == 10);
}

TEST_CASE("an instance that returns under a new address is recorded with it", "[fleet]")
{
    PlatformSettings settings;
    settings.newAddress = 1;
    SimulationFixture run(1, 4, 0, 2, settings);
    run.startWave({ "pool-0" });
    CHECK(run.runUntilClosed(60 * minuteMs));
    CHECK(run.stoppedInstances() == 0);
    auto addresses = run.sim.read([](const ControlState& state) { return state.instances(); });
    for (const auto& [name, it] : run.sim.simulatedPlatform.observe(run.sim.nowMs))
        CHECK(addresses.at(name).address == it.address);
}

TEST_CASE("random fleets with a wave, random failures and leader changes keep their budgets and lose no instance", "[fleet][property]")
{
    CHECK(rc::check([] {
        auto services = *rc::gen::inRange(1, 4);
        auto size = *rc::gen::inRange(3, 10);
        auto spare = *rc::gen::inRange(0, 5);
        auto requiredInstances = *rc::gen::inRange(1, size);
        std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
        PlatformSettings settings;
        settings.seed = static_cast<int64_t>(random());
        settings.slow = 0.1;
        settings.newAddress = 0.1;
        settings.refuses = 0.02;
        SimulationFixture run(services, size, spare, requiredInstances, settings);
        run.startWave({ "pool-0" });
        for (int n = 0; n < 1500; ++n) {
            if (random() % 300 == 0)
                run.sim.simulatedPlatform.failUntil(run.names.at(random() % run.names.size()), run.sim.nowMs + static_cast<int64_t>(random() % 120000));
            if (random() % 200 == 0)
                run.sim.changeLeader();
            run.step();
            RC_ASSERT(run.violation == "");
        }
        // Without further failures no instance stays stopped: each returns, or was never started by the wave.
        run.sim.change({ { "kind", "halt-wave" }, { "name", "w" } });
        for (int n = 0; n < 2400 && run.stoppedInstances() != 0; ++n)
            run.step();
        auto remainingStatuses = run.sim.read([](const ControlState& state) { return toJson(state.fleet())["statuses"].dump(); });
        RC_LOG() << remainingStatuses;
        RC_ASSERT(run.stoppedInstances() == 0U);
        RC_ASSERT(run.sim.simulatedPlatform.repeatedDrains() == 0);
    }));
}
