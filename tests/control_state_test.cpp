#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vanillalift/control_state.h>

using namespace vanillalift;
using nlohmann::json;

namespace {

const std::string someHash(64, 'a');

class Group {
public:
    Group()
    {
        accept({ { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", someHash } }, "bootstrap");
        accept({ { "kind", "put-operator" }, { "name", "ben" }, { "role", "editor" }, { "salt", "00" }, { "hash", someHash } });
        accept({ { "kind", "put-team" }, { "team", { { "name", "red" }, { "upper_limit", 10 } } } });
        accept({ { "kind", "put-pool" }, { "name", "p1" } });
        accept({ { "kind", "put-pool" }, { "name", "p2" } });
        accept({ { "kind", "put-instance" }, { "name", "i1" }, { "zone", "a" }, { "rack", "r1" }, { "pool", "p1" } });
    }

    ChangeOutcome propose(const json& change, const std::string& author, uint64_t base, const std::string& operation)
    {
        return state.apply(ChangeCommand { author, operation, base, 1000, change });
    }

    void accept(const json& change, const std::string& author = "ana")
    {
        auto outcome = propose(change, author, state.revision(), "setup-" + std::to_string(state.revision()));
        INFO(toJson(outcome).dump());
        REQUIRE(std::holds_alternative<ChangeAccepted>(outcome));
    }

    ControlState state;
};

json move(const std::string& from, const std::string& to)
{
    return { { "kind", "move-instance" }, { "instance", "i1" }, { "from", from }, { "to", to } };
}

} // namespace

TEST_CASE("of two operators with the same base revision one wins and the other learns what it lost to", "[control]")
{
    Group group;
    auto base = group.state.revision();
    auto first = group.propose(move("p1", "p2"), "ana", base, "op-1");
    auto second = group.propose({ { "kind", "put-pool" }, { "name", "p3" } }, "ben", base, "op-2");
    CHECK(std::get<ChangeAccepted>(first).revision == base + 1);
    const auto& rejected = std::get<ChangeRejected>(second);
    CHECK(rejected.code == ChangeErrorCode::Conflict);
    REQUIRE(rejected.conflictingChange);
    CHECK(rejected.conflictingChange->author == "ana");
    CHECK(rejected.conflictingChange->change == move("p1", "p2"));
}

TEST_CASE("a resend after a lost answer gets the first outcome, also after a snapshot", "[control]")
{
    Group group;
    auto base = group.state.revision();
    auto first = group.propose(move("p1", "p2"), "ana", base, "op-1");
    auto lost = group.propose(move("p1", "p2"), "ben", base, "op-2");
    auto bytes = json::to_cbor(group.state.toJson());
    auto restored = ControlState::fromJson(json::from_cbor(bytes));
    REQUIRE(restored);
    CHECK(restored->toJson() == group.state.toJson());
    CHECK(toJson(restored->apply(ChangeCommand { "ana", "op-1", base, 9000, move("p1", "p2") })) == toJson(first));
    CHECK(toJson(restored->apply(ChangeCommand { "ben", "op-2", base + 1, 9000, move("p2", "p1") })) == toJson(lost));
    CHECK(restored->revision() == base + 1);
}

TEST_CASE("a move from a pool in which the instance is not is refused and changes nothing", "[control]")
{
    Group group;
    auto outcome = group.propose(move("p2", "p1"), "ana", group.state.revision(), "op-1");
    CHECK(std::get<ChangeRejected>(outcome).code == ChangeErrorCode::Reference);
    CHECK(group.state.instances().at("i1").pool == "p1");
}

TEST_CASE("an operator without the role cannot change accounts, and the last admin cannot be removed", "[control]")
{
    Group group;
    json promote { { "kind", "put-operator" }, { "name", "ben" }, { "role", "admin" }, { "salt", "00" }, { "hash", someHash } };
    CHECK(std::get<ChangeRejected>(group.propose(promote, "ben", group.state.revision(), "op-1")).code == ChangeErrorCode::NotPermitted);
    json demote { { "kind", "delete-operator" }, { "name", "ana" } };
    CHECK(std::get<ChangeRejected>(group.propose(demote, "ana", group.state.revision(), "op-2")).code == ChangeErrorCode::Reference);
    CHECK(std::get<ChangeRejected>(group.propose(promote, "stranger", group.state.revision(), "op-3")).code == ChangeErrorCode::NotPermitted);
}

TEST_CASE("a withdrawn key stays withdrawn and its id cannot be given to another secret", "[control]")
{
    Group group;
    json give { { "kind", "give-key" }, { "key", { { "id", "k1" }, { "team", "red" }, { "salt", "00" }, { "hash", someHash } } } };
    group.accept(give);
    group.accept({ { "kind", "withdraw-key" }, { "id", "k1" } });
    CHECK(std::get<ChangeRejected>(group.propose(give, "ana", group.state.revision(), "op-1")).code == ChangeErrorCode::Reference);
    CHECK(group.state.catalog().findKey("k1")->withdrawn);
}

TEST_CASE("parts of a limit never add up to more than the limit", "[control][property]")
{
    CHECK(rc::check([] {
        Group group;
        auto steps = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            auto amount = *rc::gen::inRange<int64_t>(0, 8);
            LimitPart part { "red", "e" + std::to_string(*rc::gen::inRange(0, 3)), *rc::gen::inRange<uint64_t>(0, 2), amount, amount };
            (void)group.state.apply(LimitPartsCommand { { part } });
            int64_t sum = 0;
            for (const auto& it : group.state.parts())
                sum += it.amount;
            RC_ASSERT(sum <= 10);
        }
    }));
}

TEST_CASE("a lowered limit keeps the held parts but lets none grow", "[control]")
{
    Group group;
    REQUIRE_FALSE(group.state.apply(LimitPartsCommand { { { "red", "e1", 1, 6, 6 }, { "red", "e2", 1, 4, 4 } } }));
    group.accept({ { "kind", "put-team" }, { "team", { { "name", "red" }, { "upper_limit", 5 } } } });
    CHECK(group.state.apply(LimitPartsCommand { { { "red", "e1", 1, 7, 7 } } }) == LimitPartsErrorCode::OverLimit);
    CHECK_FALSE(group.state.apply(LimitPartsCommand { { { "red", "e1", 1, 6, 2 } } }));
    CHECK_FALSE(group.state.apply(LimitPartsCommand { { { "red", "e1", 1, 2, 2 } } }));
    CHECK(group.state.apply(LimitPartsCommand { { { "red", "e2", 1, 5, 5 } } }) == LimitPartsErrorCode::OverLimit);
}

TEST_CASE("a command survives its encoding, and damaged bytes are refused", "[control]")
{
    ChangeCommand command { "ana", "op-1", 7, 1000, move("p1", "p2") };
    auto bytes = encodeCommand(command);
    auto decoded = decodeCommand(bytes);
    REQUIRE(decoded);
    CHECK(std::get<ChangeCommand>(*decoded).change == command.change);
    CHECK_FALSE(decodeCommand(std::string_view(bytes).substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodeCommand(""));
}
