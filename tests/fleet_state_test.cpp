#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "control/control_machine_p.h"
#include "endpoint/endpoint_table_p.h"
#include "fleet_fixture.h"

#include <vanillalift/follow.h>

using namespace vanillalift;
using namespace vanillalift::test;
using nlohmann::json;
using Kind = FleetActionKind;

namespace {

void completeStop(FleetFixture& fleet, const std::string& instance)
{
    for (auto kind : { Kind::ConfirmDrained, Kind::BeginReboot, Kind::AwaitReturn, Kind::FinishReturn })
        REQUIRE_FALSE(fleet.applyAction(kind, instance));
}

} // namespace

TEST_CASE("an instance is not drained twice, and no phase of a planned stop is skipped", "[fleet]")
{
    FleetFixture fleet(1, 4, 0);
    fleet.startWave("w", { "pool-0" });
    CHECK(fleet.applyAction(Kind::BeginReboot, "i000") == FleetErrorCode::WrongPhase);
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    CHECK(fleet.beginDrain("i000", "w") == FleetErrorCode::WrongPhase);
    CHECK(fleet.applyAction(Kind::BeginReboot, "i000") == FleetErrorCode::WrongPhase);
    completeStop(fleet, "i000");
    // The instance was maintained in this wave already, so a second drain is rejected.
    CHECK(fleet.beginDrain("i000", "w") == FleetErrorCode::WaveInvalid);
}

TEST_CASE("an action of a deposed leader's term is rejected", "[fleet]")
{
    FleetFixture fleet(1, 4, 0);
    fleet.startWave("w", { "pool-0" });
    fleet.term = 5;
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    fleet.term = 4;
    auto before = fleet.state.toJson();
    CHECK(fleet.beginDrain("i001", "w") == FleetErrorCode::OldTerm);
    CHECK(fleet.state.toJson() == before);
}

TEST_CASE("entries that apply changes and entries that load the catalog agree on the draining instances", "[fleet]")
{
    FleetFixture fleet(1, 4, 1);
    fleet.startWave("w", { "pool-0" });
    auto followed = fleet.state.catalog();
    auto revision = fleet.state.revision();
    REQUIRE_FALSE(fleet.beginDrain("i001", "w"));
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    CHECK(fleet.state.revision() == revision + 2);
    CHECK(fleet.state.catalog().draining == std::vector<std::string> { "i000", "i001" });
    completeStop(fleet, "i001");
    CHECK(fleet.state.revision() == revision + 3);
    for (const auto& it : fleet.state.history()) {
        if (it.revision > revision)
            applyToCatalog(followed, *changeFromJson(it.change, "history"));
    }
    CHECK(followed.draining == std::vector<std::string> { "i000" });
    CHECK(toJson(followed) == toJson(fleet.state.catalog()));
    auto reloaded = catalogFromJson(toJson(followed), "catalog");
    REQUIRE(reloaded);
    CHECK(reloaded->draining == followed.draining);
}

TEST_CASE("operators cannot propose drain records, and cannot move or remove an instance during a planned stop", "[fleet]")
{
    FleetFixture fleet(1, 4, 0);
    fleet.startWave("w", { "pool-0" });
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    for (const auto& change : std::vector<json> {
             { { "kind", "drain-started" }, { "instance", "i001" } },
             { { "kind", "drain-ended" }, { "instance", "i000" } },
             { { "kind", "move-instance" }, { "instance", "i000" }, { "from", "pool-0" }, { "to", "spare" } },
             { { "kind", "remove-instance" }, { "name", "i000" } },
             { { "kind", "delete-pool" }, { "name", "pool-0" } } }) {
        INFO(change.dump());
        CHECK(std::holds_alternative<ChangeRejected>(fleet.propose(change)));
    }
    CHECK(fleet.state.catalog().draining.size() == 1);
}

TEST_CASE("a halted wave starts no drain, and a rollback closes it only when none of its instances is in progress", "[fleet]")
{
    FleetFixture fleet(1, 4, 0);
    fleet.startWave("w", { "pool-0" });
    CHECK(std::holds_alternative<ChangeRejected>(fleet.propose({ { "kind", "start-wave" }, { "name", "v" }, { "pools", { "pool-0" } }, { "deadline_ms", 1 } })));
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    fleet.change({ { "kind", "halt-wave" }, { "name", "w" } });
    CHECK(fleet.beginDrain("i001", "w") == FleetErrorCode::WaveInvalid);
    fleet.change({ { "kind", "rollback-wave" }, { "name", "w" } });
    FleetAction finish { .kind = Kind::FinishWave, .wave = "w" };
    CHECK(fleet.applyAction(finish) == FleetErrorCode::WaveInvalid);
    REQUIRE_FALSE(fleet.applyAction(Kind::CancelDrain, "i000"));
    REQUIRE_FALSE(fleet.applyAction(Kind::FinishReturn, "i000"));
    REQUIRE_FALSE(fleet.applyAction(finish));
    CHECK(fleet.state.fleet().findWave("w")->phase == WavePhase::RolledBack);
    CHECK(fleet.state.catalog().draining.empty());
}

TEST_CASE("random actions keep each instance in an existing pool, and a snapshot preserves the whole fleet state", "[fleet][property]")
{
    CHECK(rc::check([] {
        FleetFixture fleet(2, 3, 2);
        fleet.startWave("w", { "pool-0" });
        const std::vector<std::string> pools { "pool-0", "pool-1", "spare" };
        ControlMachine machine;
        machine.restore([&] { std::string bytes; json::to_cbor(fleet.state.toJson(), bytes); return bytes; }());
        auto steps = *rc::gen::inRange(1, 60);
        for (int n = 0; n < steps; ++n) {
            FleetAction action { .kind = static_cast<Kind>(*rc::gen::inRange(0, 12)), .instance = FleetFixture::instanceName(*rc::gen::inRange(0, 9)), .address = "127.0.0.1:9" };
            if (*rc::gen::arbitrary<bool>())
                action.wave = "w";
            else
                action.pool = pools.at(*rc::gen::inRange<size_t>(0, pools.size()));
            auto sizeBefore = fleet.state.instances().size();
            (void)fleet.applyAction(action);
            machine.apply(static_cast<uint64_t>(n), encodeCommand(FleetCommand { fleet.term, fleet.nowMs, action }));
            RC_ASSERT(fleet.state.instances().size() == sizeBefore);
            for (const auto& [name, instance] : fleet.state.instances())
                RC_ASSERT(fleet.state.pools().contains(instance.pool));
            for (const auto& it : fleet.state.catalog().draining)
                RC_ASSERT(fleet.phase(it) != InstancePhase::Serving);
        }
        auto restored = ControlState::fromJson(fleet.state.toJson());
        RC_ASSERT(restored.has_value());
        RC_ASSERT(restored->toJson() == fleet.state.toJson());
        RC_ASSERT(machine.read([](const ControlState& state) { return state.toJson(); }) == fleet.state.toJson());
    }));
}

TEST_CASE("an entry dispatches no request to a draining instance regardless of its announcements", "[fleet]")
{
    constexpr TimePoint now { std::chrono::seconds(1000) };
    EndpointTable table("z1", 1);
    REQUIRE(table.announce({ "count", "127.0.0.1:1", "z1", "i000", 1, 1, EndpointState::Serving, 8, 64 }, now));
    auto running = table.acquire({ "count" }, now);
    REQUIRE(running);
    table.setDraining({ "i000" });
    REQUIRE(table.announce({ "count", "127.0.0.1:1", "z1", "i000", 2, 1, EndpointState::Serving, 8, 64 }, now));
    CHECK_FALSE(table.acquire({ "count" }, now));
    CHECK(table.endpoints(now).front().state == EndpointState::Leaving);
    table.setDraining({});
    CHECK(table.acquire({ "count" }, now));
}
