#include <catch2/catch.hpp>

#include "fleet_fixture.h"
#include "operator/ctl_verbs_p.h"
#include "operator/state_view_p.h"

#include <vanillalift/rpc.h>

#include <sstream>

using namespace vanillalift;
using namespace vanillalift::test;
using nlohmann::json;

namespace {

/// A control replica that records the proposed changes.
class ProposalServer {
public:
    ProposalServer()
        : m_server({ .address = "127.0.0.1", .port = port, .threads = 2 })
    {
        m_server.add("read", [](const json& /*params*/) -> RpcResult { return json { { "revision", 7 }, { "items", json::array() } }; });
        m_server.add("propose", [this](const json& params) -> RpcResult {
            changes.push_back(params.at("change"));
            return json { { "accepted", true }, { "revision", 8 } };
        });
        REQUIRE(m_server.start());
    }
    ~ProposalServer() { m_server.stop(); }
    ProposalServer(const ProposalServer&) = delete;
    ProposalServer& operator=(const ProposalServer&) = delete;

    CtlExit run(const char* verb, std::vector<std::string> operands)
    {
        OperatorClient client({ .replicas = { "127.0.0.1:" + std::to_string(port) }, .account = "ana" });
        std::ostringstream out;
        CtlContext context { client, {}, std::move(operands), out, out };
        return findCtlVerb(verb)->run(context);
    }

    std::vector<json> changes;

private:
    static constexpr int port = 18493;
    RpcServer m_server;
};

} // namespace

TEST_CASE("explain reports the phase of an instance and the reason of each action", "[fleet][operator]")
{
    FleetFixture fleet(1, 4, 0);
    fleet.startWave("w", { "pool-0" });
    FleetAction begin { .kind = FleetActionKind::BeginDrain, .instance = "i000", .wave = "w", .reason = "batch of 1", .alternatives = { "rack r1: 1 instance" } };
    REQUIRE_FALSE(fleet.applyAction(begin));
    REQUIRE_FALSE(fleet.applyAction({ .kind = FleetActionKind::HaltWave, .wave = "w", .reason = "correlated failures" }));
    auto facts = explainSubject(fleet.state, "instance", "i000");
    REQUIRE(facts);
    CHECK(facts->at("status").at("phase") == "draining");
    CHECK(facts->at("status").at("wave") == "w");
    REQUIRE(facts->at("actions").size() == 2);
    CHECK(facts->at("actions").at(0).at("action").at("reason") == "batch of 1");
    CHECK(facts->at("actions").at(0).at("action").at("alternatives") == json { "rack r1: 1 instance" });
    CHECK(facts->at("actions").at(1).at("action").at("reason") == "correlated failures");
    CHECK(facts->at("changes").back().at("change").at("kind") == "drain-started");
    // The halt is not listed for an instance that the wave had not started.
    CHECK(explainSubject(fleet.state, "instance", "i001")->at("actions").empty());
}

TEST_CASE("the list of waves reports progress and the reason of a halt", "[fleet][operator]")
{
    FleetFixture fleet(1, 4, 0);
    fleet.startWave("w", { "pool-0" });
    REQUIRE_FALSE(fleet.beginDrain("i000", "w"));
    REQUIRE_FALSE(fleet.applyAction(FleetActionKind::Fail, "i000"));
    REQUIRE_FALSE(fleet.applyAction({ .kind = FleetActionKind::HaltWave, .wave = "w", .reason = "correlated failures" }));
    auto wave = readItems(fleet.state, "waves")->at("items").at(0);
    CHECK(wave.at("phase") == "halted");
    CHECK(wave.at("reason") == "correlated failures");
    CHECK(wave.at("waiting") == 3);
    CHECK(wave.at("failed") == 1);
}

TEST_CASE("the wave commands propose changes that the state machine can parse", "[fleet][operator]")
{
    ProposalServer server;
    auto before = wallClockMs();
    CHECK(server.run("start-wave", { "w", "24", "pool-0", "pool-1" }) == CtlExit::Success);
    CHECK(server.run("halt-wave", { "w" }) == CtlExit::Success);
    CHECK(server.run("resume-wave", { "w" }) == CtlExit::Success);
    CHECK(server.run("rollback-wave", { "w" }) == CtlExit::Success);
    CHECK(server.run("waves", {}) == CtlExit::Success);
    CHECK(server.run("start-wave", { "w", "soon", "pool-0" }) == CtlExit::Usage);
    REQUIRE(server.changes.size() == 4);
    for (const auto& it : server.changes)
        CHECK(changeFromJson(it, "change"));
    auto start = std::get<StartWave>(*changeFromJson(server.changes[0], "change"));
    CHECK(start.pools == std::vector<std::string> { "pool-0", "pool-1" });
    CHECK(start.deadlineMs >= before + 24LL * 3600 * 1000);
}
