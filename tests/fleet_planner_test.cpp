#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fleet/drain_tracker_p.h"
#include "fleet/pool_planner_p.h"
#include "fleet/wave_planner_p.h"
#include "fleet_fixture.h"

#include <set>

using namespace vanillalift;
using namespace vanillalift::test;
using Kind = FleetActionKind;

namespace {

/// Fixture of a fleet whose instances are all announced and healthy, unless a test changes the observations.
struct PlannerFixture : FleetFixture {
    FleetObservations observations;

    PlannerFixture(int services, int size, int spare, double demand)
        : FleetFixture(services, size, spare)
    {
        for (const auto& [name, instance] : state.instances())
            observations.instances[name] = { .isAnnounced = true, .announcementChangedMs = 1, .incarnation = 1, .address = instance.address, .platform = PlatformState::Up };
        for (int n = 0; n < services; ++n)
            observations.demand["pool-" + std::to_string(n)] = demand;
    }

    [[nodiscard]] FleetModel model() const { return makeFleetModel(state, observations, nowMs); }
    InstanceObservation& at(const std::string& name) { return observations.instances.at(name); }

    void applyAll(const std::vector<FleetAction>& actions)
    {
        for (const auto& it : actions) {
            INFO(toJson(it).dump());
            REQUIRE_FALSE(applyAction(it));
        }
    }

    /// Takes a draining instance through the rest of its planned stop, to its return or failure.
    void completeStop(const std::string& name, bool isHealthy = true)
    {
        for (auto kind : { Kind::ConfirmDrained, Kind::BeginReboot, Kind::AwaitReturn, isHealthy ? Kind::FinishReturn : Kind::Fail })
            REQUIRE_FALSE(applyAction(kind, name));
    }
};

std::set<std::string> racksOf(const PlannerFixture& fleet, const std::vector<FleetAction>& actions)
{
    std::set<std::string> racks;
    for (const auto& it : actions)
        racks.insert(fleet.state.instances().at(it.instance).rack);
    return racks;
}

} // namespace

TEST_CASE("an instance counts as drained only if all conditions hold", "[fleet]")
{
    PlannerFixture fleet(1, 4, 0, 2);
    fleet.startWave("w", { "pool-0" });
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    auto id = fleet.state.fleet().statusOf("i000").actionId;
    InstanceObservation proof { .isAnnounced = false, .isDrainApplied = true, .isInFlightKnown = true, .inFlight = 0, .platform = PlatformState::Drained, .platformActionId = id };
    auto confirms = [&](const InstanceObservation& seen) {
        fleet.at("i000") = seen;
        auto actions = DrainTracker().plan(fleet.model());
        return actions.size() == 1 && actions[0].kind == Kind::ConfirmDrained;
    };
    CHECK(confirms(proof));
    auto without = [&](auto change) {
        auto seen = proof;
        change(seen);
        return confirms(seen);
    };
    CHECK_FALSE(without([](auto& it) { it.isDrainApplied = false; }));
    CHECK_FALSE(without([](auto& it) { it.isInFlightKnown = false; }));
    CHECK_FALSE(without([](auto& it) { it.inFlight = 1; }));
    CHECK_FALSE(without([](auto& it) { it.platform = PlatformState::Draining; }));
    // A report on an earlier action does not confirm this drain.
    CHECK_FALSE(without([](auto& it) { it.platformActionId = 0; }));
}

TEST_CASE("a drain that times out is cancelled with the unmet condition as the reason", "[fleet]")
{
    PlannerFixture fleet(1, 4, 0, 2);
    fleet.startWave("w", { "pool-0" });
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    fleet.at("i000").inFlight = 3;
    fleet.at("i000").isDrainApplied = fleet.at("i000").isInFlightKnown = true;
    fleet.nowMs += DrainTrackerOptions {}.drainTimeoutMs + 1;
    auto actions = DrainTracker().plan(fleet.model());
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].kind == Kind::CancelDrain);
    CHECK(actions[0].reason.find("3 requests are in flight") != std::string::npos);
}

TEST_CASE("an old incarnation does not count as returned, and a new address is committed before the return", "[fleet]")
{
    PlannerFixture fleet(1, 4, 0, 2);
    fleet.startWave("w", { "pool-0" });
    REQUIRE_FALSE(fleet.applyAction({ .kind = Kind::BeginDrain, .instance = "i000", .wave = "w", .incarnation = 1 }));
    for (auto kind : { Kind::ConfirmDrained, Kind::BeginReboot, Kind::AwaitReturn })
        REQUIRE_FALSE(fleet.applyAction(kind, "i000"));
    fleet.at("i000").platformActionId = 1000;
    CHECK(DrainTracker().plan(fleet.model()).empty());
    fleet.at("i000").incarnation = 2;
    fleet.at("i000").address = "127.0.0.1:9";
    auto moved = DrainTracker().plan(fleet.model());
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].kind == Kind::SetAddress);
    fleet.applyAll(moved);
    CHECK(fleet.state.instances().at("i000").address == "127.0.0.1:9");
    auto returned = DrainTracker().plan(fleet.model());
    REQUIRE(returned.size() == 1);
    CHECK(returned[0].kind == Kind::FinishReturn);
}

TEST_CASE("a wave starts with one instance, doubles its batch size, and resets it to one after a failure", "[fleet]")
{
    PlannerFixture fleet(1, 16, 0, 8);
    fleet.startWave("w", { "pool-0" });
    std::vector<size_t> sizes;
    for (int round = 0; round < 4; ++round) {
        auto batch = WavePlanner().plan(fleet.model());
        sizes.push_back(batch.size());
        fleet.applyAll(batch);
        CHECK(WavePlanner().plan(fleet.model()).empty());
        for (size_t n = 0; n < batch.size(); ++n)
            fleet.completeStop(batch[n].instance, round != 2 || n != 0);
    }
    CHECK(sizes == std::vector<size_t> { 1, 2, 4, 1 });
}

TEST_CASE("a batch stays in one rack while the rack has enough instances", "[fleet]")
{
    PlannerFixture fleet(1, 16, 0, 8);
    fleet.startWave("w", { "pool-0" });
    for (int round = 0; round < 3; ++round) {
        auto batch = WavePlanner().plan(fleet.model());
        if (batch.size() == 4)
            CHECK(racksOf(fleet, batch).size() == 1);
        fleet.applyAll(batch);
        for (const auto& it : batch)
            fleet.completeStop(it.instance);
    }
}

TEST_CASE("a wave counts unplanned absences and starts no drain that leaves fewer than the required instances", "[fleet]")
{
    PlannerFixture fleet(1, 8, 0, 6);
    fleet.startWave("w", { "pool-0" });
    fleet.at("i007").isAnnounced = false;
    fleet.at("i006").isAnnounced = false;
    CHECK(WavePlanner().plan(fleet.model()).empty());
    auto model = fleet.model();
    CHECK(WavePlanner().explain(model, model.waves.front()).find("has 6 available, requires 6") != std::string::npos);
    fleet.at("i006").isAnnounced = true;
    CHECK(WavePlanner().plan(fleet.model()).size() == 1);
}

TEST_CASE("no further drain starts in a pool that has spent its availability budget", "[fleet]")
{
    PlannerFixture fleet(1, 8, 0, 4);
    fleet.startWave("w", { "pool-0" });
    // Seven of eight instances absent for two days exceed the buffer of one rack by more than 1% of the budget window.
    for (int n = 1; n < 8; ++n)
        REQUIRE_FALSE(fleet.applyAction(Kind::Fail, FleetFixture::instanceName(n)));
    fleet.nowMs += 2LL * 24 * 3600 * 1000;
    for (int n = 1; n < 8; ++n)
        REQUIRE_FALSE(fleet.applyAction(Kind::Recover, FleetFixture::instanceName(n)));
    auto model = fleet.model();
    CHECK(model.pools.front().isBudgetExhausted());
    CHECK(WavePlanner().plan(model).empty());
    CHECK(WavePlanner().explain(model, model.waves.front()).find("spent its availability budget") != std::string::npos);
}

TEST_CASE("a wave halts on correlated failures with a reason, and does not halt for the same failures after a resume", "[fleet]")
{
    PlannerFixture fleet(1, 16, 0, 4);
    fleet.startWave("w", { "pool-0" });
    for (const auto* name : { "i000", "i001" }) {
        REQUIRE_FALSE(fleet.beginDrain(name, "w"));
        fleet.completeStop(name, false);
        fleet.nowMs += 60000;
    }
    auto halt = WavePlanner().plan(fleet.model());
    REQUIRE(halt.size() == 1);
    CHECK(halt[0].kind == Kind::HaltWave);
    CHECK(halt[0].reason.find("i000 (rack r0, zone z0)") != std::string::npos);
    fleet.applyAll(halt);
    CHECK(WavePlanner().plan(fleet.model()).empty());
    fleet.change({ { "kind", "resume-wave" }, { "name", "w" } });
    auto resumed = WavePlanner().plan(fleet.model());
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0].kind == Kind::BeginDrain);
}

TEST_CASE("failures further apart than the correlation window halt a wave only without a healthy return between them", "[fleet]")
{
    auto next = [](bool isHealthyBetween) {
        PlannerFixture fleet(1, 16, 0, 4);
        fleet.startWave("w", { "pool-0" });
        for (const auto* name : { "i000", "i001", "i002" }) {
            bool isMiddle = std::string_view(name) == "i001";
            if (isMiddle && !isHealthyBetween)
                continue;
            REQUIRE_FALSE(fleet.beginDrain(name, "w"));
            fleet.completeStop(name, isMiddle);
            fleet.nowMs += 11 * 60000;
        }
        auto actions = WavePlanner().plan(fleet.model());
        REQUIRE(actions.size() == 1);
        return actions[0].kind;
    };
    CHECK(next(true) == Kind::BeginDrain);
    // Batches of one whose reboots time out fail this far apart.
    CHECK(next(false) == Kind::HaltWave);
}

TEST_CASE("a pool gets a spare instance after 30 s of shortage and returns it after 10 minutes of surplus", "[fleet]")
{
    PlannerFixture fleet(2, 8, 4, 6);
    PoolPlanner planner;
    fleet.observations.demand["pool-0"] = 7;
    auto run = [&](int seconds) {
        std::vector<FleetAction> all;
        for (int n = 0; n < seconds; ++n) {
            auto actions = planner.plan(fleet.model());
            fleet.applyAll(actions);
            all.insert(all.end(), actions.begin(), actions.end());
            fleet.nowMs += 1000;
        }
        return all;
    };
    CHECK(run(29).empty());
    auto taken = run(10);
    REQUIRE_FALSE(taken.empty());
    CHECK(taken[0].pool == "pool-0");
    for (const auto& it : taken) {
        REQUIRE_FALSE(fleet.applyAction(Kind::ConfirmDrained, it.instance));
        REQUIRE_FALSE(fleet.applyAction(Kind::ChangePool, it.instance));
        REQUIRE_FALSE(fleet.applyAction(Kind::FinishReturn, it.instance));
        CHECK(fleet.state.instances().at(it.instance).pool == "pool-0");
    }
    fleet.observations.demand["pool-0"] = 3;
    CHECK(run(590).empty());
    auto given = run(30);
    REQUIRE_FALSE(given.empty());
    CHECK(given[0].pool == "spare");
}

TEST_CASE("noise in the demand causes no moves", "[fleet][property]")
{
    CHECK(rc::check([] {
        PlannerFixture fleet(2, 8, 4, 6);
        PoolPlanner planner;
        auto seed = *rc::gen::arbitrary<uint32_t>();
        std::mt19937 random(seed);
        for (int n = 0; n < 1200; ++n) {
            // The demand varies by up to one instance in each direction, redrawn each second.
            fleet.observations.demand["pool-0"] = 6 + static_cast<double>(random() % 3) - 1;
            RC_ASSERT(planner.plan(fleet.model()).empty());
            fleet.nowMs += 1000;
        }
    }));
}

TEST_CASE("no move is made whose cost exceeds its gain", "[fleet]")
{
    PlannerFixture fleet(1, 8, 4, 7);
    fleet.change({ { "kind", "put-profile" }, { "profile", { { "name", "plain" }, { "move_weight", 100 } } } });
    PoolPlanner planner;
    for (int n = 0; n < 100; ++n) {
        CHECK(planner.plan(fleet.model()).empty());
        fleet.nowMs += 1000;
    }
}
