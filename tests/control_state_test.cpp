#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vanillalift/control_state.h>

using namespace vanillalift;
using nlohmann::json;

namespace {

const std::string someHash(64, 'a');

class StateFixture {
public:
    StateFixture()
    {
        applyAccepted({ { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", someHash } }, "bootstrap");
        applyAccepted({ { "kind", "put-operator" }, { "name", "ben" }, { "role", "editor" }, { "salt", "00" }, { "hash", someHash } });
        applyAccepted({ { "kind", "put-team" }, { "team", { { "name", "red" }, { "upper_limit", 10 } } } });
        applyAccepted({ { "kind", "put-pool" }, { "name", "p1" } });
        applyAccepted({ { "kind", "put-pool" }, { "name", "p2" } });
        applyAccepted({ { "kind", "put-instance" }, { "name", "i1" }, { "zone", "a" }, { "rack", "r1" }, { "pool", "p1" } });
    }

    ChangeOutcome propose(const json& change, const std::string& author, uint64_t baseRevision, const std::string& operation)
    {
        return state.apply(ChangeCommand { author, operation, baseRevision, 1000, change });
    }

    void applyAccepted(const json& change, const std::string& author = "ana")
    {
        auto outcome = propose(change, author, state.revision(), "setup-" + std::to_string(state.revision()));
        INFO(toJson(outcome).dump());
        REQUIRE(std::holds_alternative<ChangeAccepted>(outcome));
    }

    ControlState state;
};

json moveChange(const std::string& from, const std::string& to)
{
    return { { "kind", "move-instance" }, { "instance", "i1" }, { "from", from }, { "to", to } };
}

} // namespace

TEST_CASE("of two changes with the same base revision one is accepted and the other gets the conflicting change", "[control]")
{
    StateFixture fixture;
    auto baseRevision = fixture.state.revision();
    auto accepted = fixture.propose(moveChange("p1", "p2"), "ana", baseRevision, "op-1");
    auto second = fixture.propose({ { "kind", "put-pool" }, { "name", "p3" } }, "ben", baseRevision, "op-2");
    CHECK(std::get<ChangeAccepted>(accepted).revision == baseRevision + 1);
    const auto& rejected = std::get<ChangeRejected>(second);
    CHECK(rejected.code == ChangeErrorCode::Conflict);
    REQUIRE(rejected.conflictingChange);
    CHECK(rejected.conflictingChange->author == "ana");
    CHECK(rejected.conflictingChange->change == moveChange("p1", "p2"));
}

TEST_CASE("a retry after a lost response gets the outcome of the first submission, also after a snapshot", "[control]")
{
    StateFixture fixture;
    auto baseRevision = fixture.state.revision();
    auto accepted = fixture.propose(moveChange("p1", "p2"), "ana", baseRevision, "op-1");
    auto rejected = fixture.propose(moveChange("p1", "p2"), "ben", baseRevision, "op-2");
    auto bytes = json::to_cbor(fixture.state.toJson());
    auto restored = ControlState::fromJson(json::from_cbor(bytes));
    REQUIRE(restored);
    CHECK(restored->toJson() == fixture.state.toJson());
    CHECK(toJson(restored->apply(ChangeCommand { "ana", "op-1", baseRevision, 9000, moveChange("p1", "p2") })) == toJson(accepted));
    CHECK(toJson(restored->apply(ChangeCommand { "ben", "op-2", baseRevision + 1, 9000, moveChange("p2", "p1") })) == toJson(rejected));
    CHECK(restored->revision() == baseRevision + 1);
}

TEST_CASE("a move from a pool that does not contain the instance is refused and changes nothing", "[control]")
{
    StateFixture fixture;
    auto outcome = fixture.propose(moveChange("p2", "p1"), "ana", fixture.state.revision(), "op-1");
    CHECK(std::get<ChangeRejected>(outcome).code == ChangeErrorCode::Reference);
    CHECK(fixture.state.instances().at("i1").pool == "p1");
}

TEST_CASE("an operator without the role cannot change accounts, and the last admin cannot be removed", "[control]")
{
    StateFixture fixture;
    json promote { { "kind", "put-operator" }, { "name", "ben" }, { "role", "admin" }, { "salt", "00" }, { "hash", someHash } };
    CHECK(std::get<ChangeRejected>(fixture.propose(promote, "ben", fixture.state.revision(), "op-1")).code == ChangeErrorCode::NotPermitted);
    json demote { { "kind", "delete-operator" }, { "name", "ana" } };
    CHECK(std::get<ChangeRejected>(fixture.propose(demote, "ana", fixture.state.revision(), "op-2")).code == ChangeErrorCode::Reference);
    CHECK(std::get<ChangeRejected>(fixture.propose(promote, "stranger", fixture.state.revision(), "op-3")).code == ChangeErrorCode::NotPermitted);
}

TEST_CASE("a withdrawn key stays withdrawn and its id cannot be given to another secret", "[control]")
{
    StateFixture fixture;
    json give { { "kind", "give-key" }, { "key", { { "id", "k1" }, { "team", "red" }, { "salt", "00" }, { "hash", someHash } } } };
    fixture.applyAccepted(give);
    fixture.applyAccepted({ { "kind", "withdraw-key" }, { "id", "k1" } });
    CHECK(std::get<ChangeRejected>(fixture.propose(give, "ana", fixture.state.revision(), "op-1")).code == ChangeErrorCode::Reference);
    CHECK(fixture.state.catalog().findKey("k1")->withdrawn);
}

TEST_CASE("the sum of a limit's parts never exceeds the limit", "[control][property]")
{
    CHECK(rc::check([] {
        StateFixture fixture;
        auto steps = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            auto amount = *rc::gen::inRange<int64_t>(0, 8);
            LimitPart part { "red", "e" + std::to_string(*rc::gen::inRange(0, 3)), *rc::gen::inRange<uint64_t>(0, 2), amount, amount };
            (void)fixture.state.apply(LimitPartsCommand { { part } });
            int64_t sum = 0;
            for (const auto& it : fixture.state.parts())
                sum += it.amount;
            RC_ASSERT(sum <= 10);
        }
    }));
}

TEST_CASE("a lowered limit keeps the assigned parts but none of them may grow", "[control]")
{
    StateFixture fixture;
    REQUIRE_FALSE(fixture.state.apply(LimitPartsCommand { { { "red", "e1", 1, 6, 6 }, { "red", "e2", 1, 4, 4 } } }));
    fixture.applyAccepted({ { "kind", "put-team" }, { "team", { { "name", "red" }, { "upper_limit", 5 } } } });
    CHECK(fixture.state.apply(LimitPartsCommand { { { "red", "e1", 1, 7, 7 } } }) == LimitPartsErrorCode::OverLimit);
    CHECK_FALSE(fixture.state.apply(LimitPartsCommand { { { "red", "e1", 1, 6, 2 } } }));
    CHECK_FALSE(fixture.state.apply(LimitPartsCommand { { { "red", "e1", 1, 2, 2 } } }));
    CHECK(fixture.state.apply(LimitPartsCommand { { { "red", "e2", 1, 5, 5 } } }) == LimitPartsErrorCode::OverLimit);
}

TEST_CASE("an encoded command decodes to the same change, and truncated bytes are refused", "[control]")
{
    ChangeCommand command { "ana", "op-1", 7, 1000, moveChange("p1", "p2") };
    auto bytes = encodeCommand(command);
    auto decoded = decodeCommand(bytes);
    REQUIRE(decoded);
    CHECK(std::get<ChangeCommand>(*decoded).change == command.change);
    CHECK_FALSE(decodeCommand(std::string_view(bytes).substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodeCommand(""));
}
