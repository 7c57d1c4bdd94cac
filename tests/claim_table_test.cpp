#include <catch2/catch.hpp>

#include "peer/claim_messages_p.h"

using namespace vanillalift;

namespace {

const ClaimKey s_key { "team", "service", "request" };
const TimePoint s_now { std::chrono::hours(1) };
const TimePoint s_expiry = s_now + std::chrono::minutes(15);
const ClaimAttempt s_a1 { "a", 10, 1 };
const ClaimAttempt s_a2 { "a", 10, 2 };
const ClaimAttempt s_b1 { "b", 20, 1 };

ClaimVerdict claim(ClaimTable& table, const ClaimAttempt& attempt, TimePoint now = s_now, const ClaimKey& key = s_key)
{
    return table.claim(key, attempt, s_expiry, now).verdict;
}

KeyedClaim firstCopy(const ClaimTable& table)
{
    for (size_t shard = 0; shard < ClaimTable::shardCount; ++shard) {
        auto claims = table.copy(shard, s_now);
        if (!claims.empty())
            return claims.front();
    }
    return {};
}

} // namespace

TEST_CASE("a held claim is refused to others and granted again to a doubled message", "[claims]")
{
    ClaimTable table(10);
    CHECK(claim(table, s_a1) == ClaimVerdict::Granted);
    CHECK(claim(table, s_a1) == ClaimVerdict::Granted);
    auto reply = table.claim(s_key, s_b1, s_expiry, s_now);
    CHECK(reply.verdict == ClaimVerdict::Held);
    CHECK(reply.owner == s_a1);
}

TEST_CASE("a claim message that arrives after its release does not block the key until it expires", "[claims]")
{
    ClaimTable table(10);
    CHECK(table.release(s_key, s_a1, s_expiry, s_now));
    CHECK(claim(table, s_a1) == ClaimVerdict::Closed);
    CHECK(claim(table, s_b1) == ClaimVerdict::Granted);
    CHECK(claim(table, s_a1) == ClaimVerdict::Closed);
}

TEST_CASE("a doubled release of an earlier attempt does not free the later one", "[claims]")
{
    ClaimTable table(10);
    claim(table, s_a1);
    table.release(s_key, s_a1, s_expiry, s_now);
    CHECK(claim(table, s_a2) == ClaimVerdict::Granted);
    table.release(s_key, s_a1, s_expiry, s_now);
    CHECK(claim(table, s_b1) == ClaimVerdict::Held);
}

TEST_CASE("another entry's release does not free a claim", "[claims]")
{
    ClaimTable table(10);
    claim(table, s_a1);
    table.release(s_key, s_b1, s_expiry, s_now);
    CHECK(claim(table, { "c", 1, 1 }) == ClaimVerdict::Held);
}

TEST_CASE("a release that arrives after the settling does not let the request run again", "[claims]")
{
    ClaimTable table(10);
    claim(table, s_a1);
    CHECK(table.settle(s_key, s_a1, s_expiry, s_now));
    CHECK_FALSE(table.release(s_key, s_a1, s_expiry, s_now));
    CHECK(claim(table, s_b1) == ClaimVerdict::Settled);
}

TEST_CASE("a settling that arrives before its claim, or over a vote for a loser, is kept", "[claims]")
{
    ClaimTable table(10);
    SECTION("before its claim") { }
    SECTION("over a vote for a loser") { claim(table, s_b1); }
    CHECK(table.settle(s_key, s_a1, s_expiry, s_now));
    auto reply = table.claim(s_key, s_a1, s_expiry, s_now);
    CHECK(reply.verdict == ClaimVerdict::Settled);
    CHECK(reply.owner == s_a1);
}

TEST_CASE("a next attempt frees the entry's own lost votes, but not a vote of its earlier incarnation, which may have run", "[claims]")
{
    ClaimTable table(10);
    claim(table, s_a1);
    CHECK(claim(table, s_a2) == ClaimVerdict::Granted);
    CHECK(claim(table, s_a1) == ClaimVerdict::Closed);
    ClaimAttempt restarted { "a", 11, 3 };
    CHECK(claim(table, restarted) == ClaimVerdict::Held);
    table.release(s_key, restarted, s_expiry, s_now);
    CHECK(claim(table, s_b1) == ClaimVerdict::Held);
}

TEST_CASE("a full table refuses a new claim instead of forgetting one, and has room again after expiry", "[claims]")
{
    ClaimTable table(2);
    CHECK(claim(table, s_a1, s_now, { "t", "s", "1" }) == ClaimVerdict::Granted);
    CHECK(claim(table, s_a1, s_now, { "t", "s", "2" }) == ClaimVerdict::Granted);
    CHECK(claim(table, s_a1, s_now, { "t", "s", "3" }) == ClaimVerdict::Full);
    CHECK_FALSE(table.settle({ "t", "s", "3" }, s_a1, s_expiry, s_now));
    CHECK(claim(table, s_b1, s_now, { "t", "s", "1" }) == ClaimVerdict::Held);
    for (size_t n = 0; n < ClaimTable::shardCount; ++n)
        table.expireNextShard(s_expiry);
    CHECK(table.size() == 0);
    CHECK(table.claim({ "t", "s", "3" }, s_a1, s_expiry + std::chrono::hours(1), s_expiry).verdict == ClaimVerdict::Granted);
}

TEST_CASE("a claim is kept to the end of its retention and not beyond", "[claims]")
{
    ClaimTable table(10);
    claim(table, s_a1);
    CHECK(claim(table, s_b1, s_expiry - std::chrono::nanoseconds(1)) == ClaimVerdict::Held);
    CHECK(table.claim(s_key, s_b1, s_expiry + std::chrono::hours(1), s_expiry).verdict == ClaimVerdict::Granted);
}

TEST_CASE("a copied vote blocks others and is not granted to its own attempt, which may have lost", "[claims]")
{
    ClaimTable source(10);
    claim(source, s_b1);
    ClaimTable table(10);
    CHECK(table.merge(firstCopy(source), s_now));
    CHECK(claim(table, s_b1) == ClaimVerdict::Held);
    CHECK(claim(table, s_a1) == ClaimVerdict::Held);
}

TEST_CASE("copies of two different votes block until both are given up, since either may have won", "[claims]")
{
    ClaimTable first(10);
    ClaimTable second(10);
    claim(first, s_a1);
    claim(second, s_b1);
    ClaimTable table(10);
    table.merge(firstCopy(first), s_now);
    table.merge(firstCopy(second), s_now);
    table.release(s_key, s_a1, s_expiry, s_now);
    CHECK(claim(table, { "c", 1, 1 }) == ClaimVerdict::Held);
    table.release(s_key, s_b1, s_expiry, s_now);
    CHECK(claim(table, { "c", 1, 2 }) == ClaimVerdict::Granted);
}

TEST_CASE("a copy does not bring back a vote that was given up while the copy was under way", "[claims]")
{
    ClaimTable source(10);
    claim(source, s_a1);
    auto copy = firstCopy(source);
    ClaimTable table(10);
    table.release(s_key, s_a1, s_expiry, s_now);
    table.merge(copy, s_now);
    CHECK(claim(table, s_b1) == ClaimVerdict::Granted);
}

TEST_CASE("claims and outcomes keep their content on the way, binary bodies included", "[claims]")
{
    ClaimTable source(10);
    claim(source, s_a1);
    source.settle(s_key, s_a1, s_expiry, s_now);
    auto copy = keyedClaimFromJson(nlohmann::json::parse(toJson(firstCopy(source), s_now).dump()), s_now);
    CHECK(copy.key == s_key);
    CHECK(copy.record.settled == s_a1);
    CHECK(copy.record.expiry >= s_expiry);
    for (size_t length = 0; length < 9; ++length) {
        std::string body("\0\xff\x80 abcde", length);
        auto outcome = decodeOutcome(encodeOutcome(Answered { 201, { { "A", "b\xfe" } }, body }));
        REQUIRE(std::holds_alternative<Answered>(outcome));
        CHECK(std::get<Answered>(outcome).body == body);
        CHECK(std::get<Answered>(outcome).headers.front().second == "b\xfe");
    }
    auto unknown = decodeOutcome(encodeOutcome(Unknown { Reason::AnswerCrossed, "x", {} }));
    CHECK(std::get<Unknown>(unknown).reason == Reason::AnswerCrossed);
}
