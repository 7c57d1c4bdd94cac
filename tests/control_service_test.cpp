#include <catch2/catch.hpp>

#include "follow/follow_service_p.h"
#include "operator/operator_service_p.h"

#include <vanillalift/config.h>

using namespace vanillalift;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ManualClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override { return time; }
    TimePoint time { seconds(1000) };
};

/// Log of a single replica that commits immediately. Tests can take away its leadership and its quorum.
class ImmediateLog final : public ReplicatedLog {
public:
    explicit ImmediateLog(ControlMachine& machine)
        : m_machine(machine)
    {
    }

    std::future<ProposeResult> propose(std::string command) override
    {
        std::promise<ProposeResult> promise;
        if (isLeader)
            promise.set_value(CommitResult { ++m_index, m_machine.apply(m_index, command) });
        else
            promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::NotLeader, "c2" }));
        return promise.get_future();
    }

    std::future<ReadResult> readIndex() override
    {
        std::promise<ReadResult> promise;
        if (hasQuorum)
            promise.set_value(m_index);
        else
            promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::NotLeader, "" }));
        return promise.get_future();
    }

    std::future<ProposeResult> replaceMember(std::string /*name*/, std::string /*storageId*/) override { return propose({}); }

    [[nodiscard]] ReplicaStatus status() const override
    {
        ReplicaStatus status;
        status.name = "c1";
        status.role = isLeader ? ReplicaRole::Leader : ReplicaRole::Follower;
        status.term = term;
        return status;
    }

    bool isLeader = true;
    bool hasQuorum = true;
    uint64_t term = 1;

private:
    ControlMachine& m_machine;
    uint64_t m_index = 0;
};

struct ControlFixture {
    ControlFixture()
    {
        json account { { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", *hashKeySecret("00", "s") } };
        apply("bootstrap", account);
        apply("ana", { { "kind", "put-team" }, { "team", { { "name", "red" }, { "upper_limit", 8 } } } });
        apply("ana", { { "kind", "put-profile" }, { "profile", { { "name", "open" }, { "open_to_all", true }, { "isolated_ms", 60000 } } } });
        apply("ana", { { "kind", "put-service" }, { "service", { { "name", "status" }, { "profile", "open" } } } });
    }

    void apply(const std::string& author, const json& change)
    {
        auto revision = machine.read([](const ControlState& state) { return state.revision(); });
        auto committed = log.propose(encodeCommand(ChangeCommand { author, "op-" + std::to_string(revision), revision, 0, change })).get();
        REQUIRE(commandResultToJson(committed->result).at("accepted") == true);
    }

    std::optional<FollowResponse> poll(const std::string& entry, uint64_t revision)
    {
        FollowRequest request { { entry, 1 }, "a", revision, 0, std::vector<TeamUsage> {}, 0 };
        auto result = follow.follow(toJson(request));
        return result ? std::optional(*followResponseFromJson(*result)) : std::nullopt;
    }

    uint64_t revision() const
    {
        return machine.read([](const ControlState& state) { return state.revision(); });
    }

    ManualClock clock;
    ControlMachine machine;
    ImmediateLog log { machine };
    FollowService follow { log, machine, clock };
};

} // namespace

TEST_CASE("a leader that cannot reach a majority grants no lease", "[control]")
{
    ControlFixture control;
    CHECK(control.poll("e1", 0));
    control.log.hasQuorum = false;
    CHECK_FALSE(control.poll("e1", control.revision()));
}

TEST_CASE("a poll measures its wait with the injected clock, independent of the machine's uptime", "[control]")
{
    // Guards against a wait that compares a deadline of the injected clock with the machine's uptime and so lasts for the
    // difference of the two.
    ControlFixture control;
    control.clock.time = BootClock::now() + std::chrono::hours(24);
    CHECK(control.poll("e1", 0));
    control.log.hasQuorum = false;
    CHECK_FALSE(control.poll("e1", control.revision()));
}

TEST_CASE("a lagging entry gets the missing changes in order, and a new entry gets the full catalog", "[control]")
{
    ControlFixture control;
    auto full = control.poll("e1", 0);
    REQUIRE(full);
    REQUIRE(full->catalog);
    CHECK(full->catalog->revision == control.revision());
    auto before = control.revision();
    control.apply("ana", { { "kind", "put-team" }, { "team", { { "name", "blue" }, { "upper_limit", 1 } } } });
    control.apply("ana", { { "kind", "delete-team" }, { "name", "blue" } });
    auto delta = control.poll("e1", before);
    REQUIRE(delta);
    CHECK_FALSE(delta->catalog);
    REQUIRE(delta->changes.size() == 2);
    Catalog catalog = *full->catalog;
    for (const auto& it : delta->changes)
        applyToCatalog(catalog, it);
    CHECK(toJson(catalog) == toJson(control.machine.read([](const ControlState& state) { return state.catalog(); })));
}

TEST_CASE("a new leader does not report a revision in force while leases of an earlier leader may be valid", "[control]")
{
    ControlFixture control;
    REQUIRE(control.poll("e1", control.revision()));
    control.clock.time += seconds(10);
    REQUIRE(control.poll("e1", control.revision()));
    CHECK(control.follow.inForce(control.revision())->isInForce);
    control.log.term = 2;
    CHECK_FALSE(control.follow.inForce(control.revision())->isInForce);
    control.clock.time += config::entryLease + milliseconds(200);
    auto report = control.follow.inForce(control.revision());
    // The last change affects an open service, which e1 may still serve without a lease.
    CHECK_FALSE(report->isInForce);
    REQUIRE(report->isolated.size() == 1);
    CHECK(report->isolated.front().entry.name == "e1");
    control.clock.time += seconds(60);
    CHECK(control.follow.inForce(control.revision())->isInForce);
}

TEST_CASE("the withdrawal of a key is in force everywhere after the lease time, even if an entry is partitioned", "[control]")
{
    ControlFixture control;
    control.apply("ana", { { "kind", "give-key" }, { "key", { { "id", "k1" }, { "team", "red" }, { "salt", "00" }, { "hash", std::string(64, 'a') } } } });
    control.clock.time += seconds(10);
    REQUIRE(control.poll("e1", control.revision()));
    control.apply("ana", { { "kind", "withdraw-key" }, { "id", "k1" } });
    CHECK_FALSE(control.follow.inForce(control.revision())->isInForce);
    control.clock.time += config::entryLease + milliseconds(200);
    CHECK(control.follow.inForce(control.revision())->isInForce);
}

TEST_CASE("a lagging replica does not refuse an account, and a replica with new storage reports its status", "[control]")
{
    ControlFixture lagging;
    lagging.log.isLeader = false;
    lagging.log.hasQuorum = false;
    ControlMachine emptyMachine;
    FollowService follow(lagging.log, emptyMachine, lagging.clock);
    OperatorService service(lagging.log, emptyMachine, follow);
    RpcServer server({ "127.0.0.1", 28471, 2, "" });
    service.addMethods(server);
    REQUIRE(server.start());
    RpcClient client("127.0.0.1:28471", "");
    auto call = [&](const std::string& method) {
        return client.call(method, { { "account", "ana" }, { "secret", "s" }, { "kind", "teams" } }, BootClock::now() + seconds(5));
    };
    CHECK(call("status"));
    auto read = call("read");
    REQUIRE_FALSE(read);
    // vanillalift-ctl tries the next replica on "not-leader" but gives up on "not-permitted".
    CHECK(read.error().message.rfind("not-leader", 0) == 0);
    lagging.log.hasQuorum = true;
    read = call("read");
    REQUIRE_FALSE(read);
    CHECK(read.error().message == "not-permitted");
}

TEST_CASE("operator calls need the correct secret and role, and no response contains a salt or hash", "[control]")
{
    ControlFixture control;
    OperatorService service(control.log, control.machine, control.follow);
    RpcServer server({ .address = "127.0.0.1", .threads = 2 });
    service.addMethods(server);
    REQUIRE(server.start());
    RpcClient client("127.0.0.1:" + std::to_string(server.port()), "");
    auto call = [&](const std::string& secret, const std::string& method, json params) {
        params["account"] = "ana";
        params["secret"] = secret;
        return client.call(method, params, BootClock::now() + seconds(5));
    };
    CHECK_FALSE(call("wrong", "read", { { "kind", "operators" } }));
    auto operators = call("s", "read", { { "kind", "operators" } });
    REQUIRE(operators);
    CHECK(operators->dump().find("hash") == std::string::npos);
    auto history = call("s", "history", json::object());
    REQUIRE(history);
    CHECK(history->dump().find("salt") == std::string::npos);
    auto missing = call("s", "read", json::object());
    REQUIRE_FALSE(missing);
    CHECK(missing.error().code == RpcErrorCode::InvalidParams);
    auto dryRun = call("s", "check", { { "base_revision", control.revision() }, { "change", { { "kind", "delete-team" }, { "name", "red" } } } });
    REQUIRE(dryRun);
    CHECK(dryRun->at("accepted") == true);
    CHECK(dryRun->at("before").at("name") == "red");
    CHECK(control.machine.read([](const ControlState& state) { return state.teams().contains("red"); }));
}
