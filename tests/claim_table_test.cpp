#include <catch2/catch.hpp>

#include "peer/claim_messages_p.h"

using namespace vanillalift;

namespace {

const ClaimKey testKey { "team", "service", "request" };
const TimePoint testNow { std::chrono::hours(1) };
const TimePoint testExpiry = testNow + std::chrono::minutes(15);
const ClaimAttempt attemptA1 { "a", 10, 1 };
const ClaimAttempt attemptA2 { "a", 10, 2 };
const ClaimAttempt attemptB1 { "b", 20, 1 };

ClaimVerdict claim(ClaimTable& table, const ClaimAttempt& attempt, TimePoint now = testNow, const ClaimKey& key = testKey)
{
    return table.claim(key, attempt, testExpiry, now).verdict;
}

KeyedClaim copyFirstClaim(const ClaimTable& table)
{
    for (size_t shard = 0; shard < ClaimTable::shardCount; ++shard) {
        auto claims = table.copy(shard, testNow);
        if (!claims.empty())
            return claims.front();
    }
    return {};
}

} // namespace

TEST_CASE("a held claim is refused to other attempts and granted again to a duplicated message", "[claims]")
{
    ClaimTable table(10);
    CHECK(claim(table, attemptA1) == ClaimVerdict::Granted);
    CHECK(claim(table, attemptA1) == ClaimVerdict::Granted);
    auto reply = table.claim(testKey, attemptB1, testExpiry, testNow);
    CHECK(reply.verdict == ClaimVerdict::Held);
    CHECK(reply.owner == attemptA1);
}

TEST_CASE("a claim message that arrives after its release does not block the key until it expires", "[claims]")
{
    ClaimTable table(10);
    CHECK(table.release(testKey, attemptA1, testExpiry, testNow));
    CHECK(claim(table, attemptA1) == ClaimVerdict::Aborted);
    CHECK(claim(table, attemptB1) == ClaimVerdict::Granted);
    CHECK(claim(table, attemptA1) == ClaimVerdict::Aborted);
}

TEST_CASE("a duplicated release of an earlier attempt does not free the later one", "[claims]")
{
    ClaimTable table(10);
    claim(table, attemptA1);
    table.release(testKey, attemptA1, testExpiry, testNow);
    CHECK(claim(table, attemptA2) == ClaimVerdict::Granted);
    table.release(testKey, attemptA1, testExpiry, testNow);
    CHECK(claim(table, attemptB1) == ClaimVerdict::Held);
}

TEST_CASE("another entry's release does not free a claim", "[claims]")
{
    ClaimTable table(10);
    claim(table, attemptA1);
    table.release(testKey, attemptB1, testExpiry, testNow);
    CHECK(claim(table, { "c", 1, 1 }) == ClaimVerdict::Held);
}

TEST_CASE("a release that arrives after settle does not let the request run again", "[claims]")
{
    ClaimTable table(10);
    claim(table, attemptA1);
    CHECK(table.settle(testKey, attemptA1, testExpiry, testNow));
    CHECK_FALSE(table.release(testKey, attemptA1, testExpiry, testNow));
    CHECK(claim(table, attemptB1) == ClaimVerdict::Settled);
}

TEST_CASE("settle is recorded if it arrives before its claim, or after a vote for a losing attempt", "[claims]")
{
    ClaimTable table(10);
    SECTION("before its claim") { }
    SECTION("after a vote for a losing attempt") { claim(table, attemptB1); }
    CHECK(table.settle(testKey, attemptA1, testExpiry, testNow));
    auto reply = table.claim(testKey, attemptA1, testExpiry, testNow);
    CHECK(reply.verdict == ClaimVerdict::Settled);
    CHECK(reply.owner == attemptA1);
}

TEST_CASE("an entry's next attempt frees the votes for its aborted attempts, but not a vote for its earlier incarnation, which may have run", "[claims]")
{
    ClaimTable table(10);
    claim(table, attemptA1);
    CHECK(claim(table, attemptA2) == ClaimVerdict::Granted);
    CHECK(claim(table, attemptA1) == ClaimVerdict::Aborted);
    ClaimAttempt restarted { "a", 11, 3 };
    CHECK(claim(table, restarted) == ClaimVerdict::Held);
    table.release(testKey, restarted, testExpiry, testNow);
    CHECK(claim(table, attemptB1) == ClaimVerdict::Held);
}

TEST_CASE("a full table refuses a new claim instead of evicting one, and accepts claims again after expiry", "[claims]")
{
    ClaimTable table(2);
    CHECK(claim(table, attemptA1, testNow, { "t", "s", "1" }) == ClaimVerdict::Granted);
    CHECK(claim(table, attemptA1, testNow, { "t", "s", "2" }) == ClaimVerdict::Granted);
    CHECK(claim(table, attemptA1, testNow, { "t", "s", "3" }) == ClaimVerdict::Full);
    CHECK_FALSE(table.settle({ "t", "s", "3" }, attemptA1, testExpiry, testNow));
    CHECK(claim(table, attemptB1, testNow, { "t", "s", "1" }) == ClaimVerdict::Held);
    for (size_t n = 0; n < ClaimTable::shardCount; ++n)
        table.expireNextShard(testExpiry);
    CHECK(table.size() == 0);
    CHECK(table.claim({ "t", "s", "3" }, attemptA1, testExpiry + std::chrono::hours(1), testExpiry).verdict == ClaimVerdict::Granted);
}

TEST_CASE("a claim is kept until the end of its retention and no longer", "[claims]")
{
    ClaimTable table(10);
    claim(table, attemptA1);
    CHECK(claim(table, attemptB1, testExpiry - std::chrono::nanoseconds(1)) == ClaimVerdict::Held);
    CHECK(table.claim(testKey, attemptB1, testExpiry + std::chrono::hours(1), testExpiry).verdict == ClaimVerdict::Granted);
}

TEST_CASE("a copied vote blocks other attempts and is not granted to its own attempt, which may have lost", "[claims]")
{
    ClaimTable source(10);
    claim(source, attemptB1);
    ClaimTable table(10);
    CHECK(table.merge(copyFirstClaim(source), testNow));
    CHECK(claim(table, attemptB1) == ClaimVerdict::Held);
    CHECK(claim(table, attemptA1) == ClaimVerdict::Held);
}

TEST_CASE("copied votes for two attempts block until both attempts are aborted, since either may have won", "[claims]")
{
    ClaimTable first(10);
    ClaimTable second(10);
    claim(first, attemptA1);
    claim(second, attemptB1);
    ClaimTable table(10);
    table.merge(copyFirstClaim(first), testNow);
    table.merge(copyFirstClaim(second), testNow);
    table.release(testKey, attemptA1, testExpiry, testNow);
    CHECK(claim(table, { "c", 1, 1 }) == ClaimVerdict::Held);
    table.release(testKey, attemptB1, testExpiry, testNow);
    CHECK(claim(table, { "c", 1, 2 }) == ClaimVerdict::Granted);
}

TEST_CASE("a copy does not restore the vote for an attempt that was aborted while the copy was made", "[claims]")
{
    ClaimTable source(10);
    claim(source, attemptA1);
    auto copy = copyFirstClaim(source);
    ClaimTable table(10);
    table.release(testKey, attemptA1, testExpiry, testNow);
    table.merge(copy, testNow);
    CHECK(claim(table, attemptB1) == ClaimVerdict::Granted);
}

TEST_CASE("claims and outcomes, binary bodies included, are unchanged after encoding and decoding", "[claims]")
{
    ClaimTable source(10);
    claim(source, attemptA1);
    source.settle(testKey, attemptA1, testExpiry, testNow);
    auto copy = keyedClaimFromJson(nlohmann::json::parse(toJson(copyFirstClaim(source), testNow).dump()), testNow);
    CHECK(copy.key == testKey);
    CHECK(copy.record.settled == attemptA1);
    CHECK(copy.record.expiry >= testExpiry);
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

TEST_CASE("a retention beyond the clock's range does not expire a claim immediately", "[claims]")
{
    TimePoint now { std::chrono::hours(1) };
    auto expiry = claimExpiryFromJson({ { "retain_ms", std::numeric_limits<int64_t>::max() } }, now);
    CHECK(expiry > now + std::chrono::hours(25));
    CHECK(claimExpiryFromJson({ { "retain_ms", -1 } }, now) == now);
}
