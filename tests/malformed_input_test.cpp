#include <catch2/catch.hpp>

#include "operator/operator_service_p.h"
#include "peer/claim_messages_p.h"
#include "peer/claim_server_p.h"

#include <random>

using namespace vanillalift;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr int iterationCount = 1500;

/// Makes mutated copies of JSON values: replaces, removes or adds fields and elements at random positions.
class JsonMutator {
public:
    explicit JsonMutator(uint64_t seed)
        : m_random(seed)
    {
    }

    json mutated(json value)
    {
        for (auto n = randomBelow(3) + 1; n > 0; --n)
            mutate(value);
        return value;
    }

    /// Erases and overwrites random bytes of a text; most results are not valid JSON.
    std::string mutatedText(std::string text)
    {
        for (auto n = randomBelow(4) + 1; n > 0 && !text.empty(); --n) {
            if (randomBelow(3) == 0)
                text.erase(randomBelow(text.size()), randomBelow(20) + 1);
            else
                text[randomBelow(text.size())] = static_cast<char>(randomBelow(256));
        }
        return text;
    }

    size_t randomBelow(size_t bound) { return static_cast<size_t>(m_random() % bound); }

private:
    void mutate(json& value)
    {
        if (value.is_structured() && !value.empty() && randomBelow(4) != 0) {
            auto it = std::next(value.begin(), static_cast<std::ptrdiff_t>(randomBelow(value.size())));
            if (randomBelow(8) == 0)
                value.erase(it);
            else
                mutate(*it);
        } else if (value.is_object() && randomBelow(2) == 0) {
            value["unknown"] = randomValue();
        } else {
            value = randomValue();
        }
    }

    json randomValue()
    {
        static const std::vector<json> values { nullptr, true, -1, 0, 1.5, 1e300, std::numeric_limits<int64_t>::min(), std::numeric_limits<int64_t>::max(),
            std::numeric_limits<uint64_t>::max(), "", "x", "put-team", std::string(70, 'a'), std::string("\0\n", 2), json::array(), json::object(), json::array({ 1, "a", nullptr }), { { "name", "x" } } };
        return values[randomBelow(values.size())];
    }

    std::mt19937_64 m_random;
};

/// Replicated log of a single replica, which commits every command immediately.
class ImmediateLog final : public ReplicatedLog {
public:
    explicit ImmediateLog(ControlMachine& machine)
        : m_machine(machine)
    {
    }
    std::future<ProposeResult> propose(std::string command) override
    {
        std::promise<ProposeResult> promise;
        promise.set_value(CommitResult { ++m_index, m_machine.apply(m_index, command) });
        return promise.get_future();
    }
    std::future<ReadResult> readIndex() override
    {
        std::promise<ReadResult> promise;
        promise.set_value(m_index);
        return promise.get_future();
    }
    std::future<ProposeResult> replaceMember(std::string /*name*/, std::string /*storageId*/) override
    {
        std::promise<ProposeResult> promise;
        promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::MemberInvalid, "" }));
        return promise.get_future();
    }
    [[nodiscard]] ReplicaStatus status() const override
    {
        ReplicaStatus status;
        status.name = "c1";
        status.role = ReplicaRole::Leader;
        status.term = 1;
        return status;
    }

private:
    ControlMachine& m_machine;
    uint64_t m_index = 0;
};

struct Control {
    Control()
    {
        server.add("follow", [this](const json& params) { return follow.follow(params); });
        operators.addMethods(server);
        REQUIRE(server.start());
        client.emplace("127.0.0.1:" + std::to_string(server.port()), "");
        propose("bootstrap", { { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", *hashKeySecret("00", "s") } });
    }
    /// Calls a method, and fails the test if there is no response: the server sends none if an exception escapes a handler.
    RpcResult call(const std::string& method, const json& params)
    {
        auto result = client->call(method, params, BootClock::now() + seconds(10));
        REQUIRE((result || result.error().code != RpcErrorCode::NoResponse));
        return result;
    }
    void propose(const std::string& account, const json& change)
    {
        auto outcome = call("propose", proposal(account, change));
        REQUIRE(outcome);
        INFO(outcome->dump());
        // An accepted mutated change can rule out the valid one, e.g. by moving the instance first.
        bool isReference = outcome->value("fault", "") == "reference";
        CHECK((outcome->at("accepted") == true || isReference));
    }
    /// Uses a new operation id for each proposal, since a repeated id would return the earlier outcome.
    json proposal(const std::string& account, const json& change)
    {
        auto revision = machine.read([](const ControlState& state) { return state.revision(); });
        return { { "account", account }, { "secret", "s" }, { "operation", "op-" + std::to_string(++operationCount) }, { "base_revision", revision }, { "change", change } };
    }
    [[nodiscard]] json state() const
    {
        return machine.read([](const ControlState& state) { return state.toJson(); });
    }

    SystemClock clock;
    ControlMachine machine;
    ImmediateLog log { machine };
    FollowService follow { log, machine, clock };
    OperatorService operators { log, machine, follow };
    RpcServer server { { "127.0.0.1", 0, 4, "" } };
    std::optional<RpcClient> client;
    int operationCount = 0;
};

/// Changes that are accepted in this order if they are not mutated.
std::vector<json> validChanges()
{
    json key { { "id", "k1" }, { "team", "red" }, { "salt", "00" }, { "hash", std::string(64, 'a') } };
    return { { { "kind", "put-team" }, { "team", { { "name", "red" }, { "share", 2.5 }, { "upper_limit", 8 } } } },
        { { "kind", "put-profile" }, { "profile", { { "name", "quotes" }, { "idempotent", true }, { "share_weights", { { "red", 3 } } } } } },
        { { "kind", "put-service" }, { "service", { { "name", "quote" }, { "profile", "quotes" }, { "teams", { "red" } } } } },
        { { "kind", "give-key" }, { "key", key } }, { { "kind", "withdraw-key" }, { "id", "k1" } },
        { { "kind", "put-pool" }, { "name", "quote" }, { "service", "quote" } }, { { "kind", "put-pool" }, { "name", "spare" } },
        { { "kind", "put-instance" }, { "name", "i1" }, { "zone", "z1" }, { "rack", "r1" }, { "address", "10.0.0.1:80" }, { "pool", "quote" } },
        { { "kind", "move-instance" }, { "instance", "i1" }, { "from", "quote" }, { "to", "spare" } },
        { { "kind", "put-operator" }, { "name", "ben" }, { "role", "editor" }, { "salt", "00" }, { "hash", std::string(64, 'b') } } };
}

} // namespace

TEST_CASE("mutated operator calls are answered or refused, and the resulting state can always be restored by a replica", "[malformed]")
{
    Control control;
    JsonMutator mutator(GENERATE(1U, 2U, 3U));
    for (const auto& it : validChanges()) {
        for (int n = 0; n < iterationCount / 5; ++n) {
            bool mutatesCall = n % 4 == 0;
            auto proposal = control.proposal("ana", mutatesCall ? it : mutator.mutated(it));
            control.call("propose", mutatesCall ? mutator.mutated(proposal) : proposal);
        }
        auto catalog = control.machine.read([](const ControlState& state) { return state.catalog(); });
        CHECK(catalogFromJson(toJson(catalog), "catalog"));
        control.propose("ana", it);
    }
    const std::vector<json> calls { { { "method", "check" }, { "operation", "x" }, { "base_revision", 3 }, { "change", validChanges()[1] } }, { { "method", "read" }, { "kind", "teams" } }, { { "method", "history" }, { "after", 2 }, { "limit", 5 } },
        { { "method", "in_force" }, { "revision", 3 } }, { { "method", "explain" }, { "kind", "team" }, { "name", "red" } }, { { "method", "status" } }, { { "method", "replace_replica" }, { "name", "r1" }, { "storage_id", "0123" } } };
    for (int n = 0; n < iterationCount; ++n) {
        auto params = calls[mutator.randomBelow(calls.size())];
        auto method = params.at("method").get<std::string>();
        params.erase("method");
        params.update({ { "account", "ana" }, { "secret", "s" } });
        control.call(method, mutator.mutated(params));
    }
    auto state = control.state();
    auto restored = ControlState::fromJson(state);
    REQUIRE(restored);
    CHECK(restored->toJson() == state);
    CHECK(catalogFromJson(toJson(restored->catalog()), "catalog"));
    CHECK(control.call("status", { { "account", "ana" }, { "secret", "s" } }));
}

TEST_CASE("mutated follow messages are refused or answered, and the next valid poll is answered", "[malformed]")
{
    Control control;
    JsonMutator mutator(GENERATE(1U, 2U, 3U));
    for (const auto& it : validChanges())
        control.propose("ana", it);
    FollowRequest request { { "e1", 7 }, "z1", 1, 0, std::vector<TeamUsage> { { "red", 3, 4 } }, 0 };
    auto valid = control.call("follow", toJson(request));
    REQUIRE(valid);
    request.revision = 0;
    auto fullResponse = control.call("follow", toJson(request));
    REQUIRE(fullResponse);
    for (int n = 0; n < iterationCount; ++n) {
        auto mutated = mutator.mutated(toJson(request));
        // Disable long polling, which would delay the test.
        if (mutated.is_object() && mutated.contains("wait_ms"))
            mutated["wait_ms"] = 0;
        control.call("follow", mutated);
        // A catalog that an entry accepts from its leader must be valid.
        auto response = followResponseFromJson(mutator.mutated(n % 2 == 0 ? *valid : *fullResponse));
        if (response && response->catalog)
            CHECK(catalogFromJson(toJson(*response->catalog), "catalog"));
    }
    control.follow.planOnce();
    CHECK(control.call("follow", toJson(request)));
    auto state = control.state();
    CHECK(ControlState::fromJson(state));
}

TEST_CASE("a mutated catalog file is rejected with errors, or yields a catalog that survives a JSON round trip", "[malformed]")
{
    JsonMutator mutator(GENERATE(1U, 2U, 3U));
    json catalog { { "revision", 1 }, { "profiles", json::array() }, { "services", json::array() }, { "teams", json::array() }, { "keys", json::array() } };
    auto changes = validChanges();
    catalog["teams"].push_back(changes[0].at("team"));
    catalog["profiles"].push_back(changes[1].at("profile"));
    catalog["services"].push_back(changes[2].at("service"));
    catalog["keys"].push_back(changes[3].at("key"));
    REQUIRE(catalogFromJson(catalog, "catalog"));
    int accepted = 0;
    for (int n = 0; n < 4 * iterationCount; ++n) {
        auto value = n % 2 == 0 ? tl::expected<json, SettingsErrors>(mutator.mutated(catalog)) : parseSettings(mutator.mutatedText(catalog.dump()), "catalog");
        auto read = value ? catalogFromJson(*value, "catalog") : tl::unexpected(value.error());
        if (!read) {
            CHECK_FALSE(describe(read.error()).empty());
            continue;
        }
        ++accepted;
        for (const auto& it : read->services)
            CHECK(read->findProfile(it.profile).isValid());
        for (const auto& it : read->keys)
            CHECK(read->findTeam(it.team).isValid());
        auto reparsed = catalogFromJson(toJson(*read), "catalog");
        REQUIRE(reparsed);
        CHECK(toJson(*reparsed) == toJson(*read));
    }
    CHECK(accepted > 0);
}

TEST_CASE("mutated claim messages are refused or answered, and claims are still granted and held afterwards", "[malformed]")
{
    JsonMutator mutator(GENERATE(1U, 2U, 3U));
    HolderSelector ring({ { "e1", "z1", "127.0.0.1:1" }, { "e2", "z2", "127.0.0.1:2" } });
    SystemClock clock;
    ClaimHolderDesc desc { "e1", 7, 100000, std::chrono::milliseconds(0) };
    ClaimHolder holder(desc, ring, clock);
    json valid { { "from", "e2" }, { "incarnation", 3 }, { "key", { "red", "quote", "r1" } }, { "attempt", { "e2", 3, 1 } }, { "retain_ms", 60000 }, { "shard", 0 } };
    const std::vector<json (ClaimHolder::*)(const json&)> methods { &ClaimHolder::claim, &ClaimHolder::settle, &ClaimHolder::release, &ClaimHolder::copyClaims };
    KeyedClaim claim { { "red", "quote", "r1" }, {} };
    claim.record.grantedVotes.push_back({ { "e2", 3, 1 }, false });
    auto claimValue = toJson(claim, clock.now());
    auto outcome = encodeOutcome(Answered { 200, { { "A", "b" } }, "answer" });
    for (int n = 0; n < 4 * iterationCount; ++n) {
        // The RPC handlers report these exceptions as call errors; any other exception would terminate the process.
        try {
            (holder.*methods[mutator.randomBelow(methods.size())])(mutator.mutated(valid));
        } catch (const json::exception&) {
        }
        try {
            keyedClaimFromJson(mutator.mutated(claimValue), clock.now());
            decodeOutcome(mutator.mutatedText(outcome));
        } catch (const json::exception&) {
        }
    }
    json fresh { { "from", "e1" }, { "incarnation", 7 }, { "key", { "red", "quote", "fresh" } }, { "attempt", { "e1", 7, 1 } }, { "retain_ms", 60000 } };
    CHECK(holder.claim(fresh).at("verdict") == ClaimVerdict::Granted);
    fresh["attempt"][2] = 2;
    fresh["attempt"][0] = "e9";
    CHECK(holder.claim(fresh).at("verdict") == ClaimVerdict::Held);
}
