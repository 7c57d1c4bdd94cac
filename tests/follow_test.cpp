#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "follow/control_follower_p.h"
#include "follow/limit_planner_p.h"

#include <vanillalift/config.h>

#include <numeric>

using namespace vanillalift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ManualClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override { return time; }
    TimePoint time { seconds(1000) };
};

ControlState stateWithLimit(int64_t limit)
{
    ControlState state;
    std::string hash(64, 'a');
    state.apply(ChangeCommand { "bootstrap", "o1", 0, 0, { { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", hash } } });
    state.apply(ChangeCommand { "ana", "o2", 1, 0, { { "kind", "put-team" }, { "team", { { "name", "red" }, { "upper_limit", limit } } } } });
    state.apply(ChangeCommand { "ana", "o3", 2, 0, { { "kind", "put-profile" }, { "profile", { { "name", "p" }, { "timeout_ms", 10000 } } } } });
    REQUIRE(state.revision() == 3);
    return state;
}

/// Model of an entry process: it starts requests up to its known target while it has a lease, and finishes those it started.
struct ModelEntry {
    EntryId id;
    TimePoint leaseEnd;
    uint64_t partsVersion = 0;
    TeamLimitPart part;
    int64_t running = 0;
    int64_t demand = 0;
    bool isPartitioned = false;
};

} // namespace

TEST_CASE("an entry without a confirmed newest revision has no lease", "[follow]")
{
    ManualClock clock;
    ControlFollower follower({ { "e1", 1 }, "a", {}, "" }, clock);
    CHECK(follower.catalog() == nullptr);
    FollowResponse response;
    response.revision = 5;
    response.catalog = Catalog { 4, {}, {}, {}, {} };
    follower.applyResponse(response, clock.now());
    CHECK(follower.leaseEnd() <= clock.now());
    response.revision = 4;
    follower.applyResponse(response, clock.now());
    CHECK(follower.leaseEnd() == clock.now() + config::entryLease);
}

TEST_CASE("the lease counts from the sending of the poll, and a paused entry finds it expired", "[follow]")
{
    ManualClock clock;
    ControlFollower follower({ { "e1", 1 }, "a", {}, "" }, clock);
    FollowResponse response { 4, {}, Catalog { 4, {}, {}, {}, {} }, 1, std::vector<TeamLimitPart> { { "red", 5, 5 } } };
    auto sentAt = clock.now();
    clock.time += milliseconds(400);
    follower.applyResponse(response, sentAt);
    CHECK(follower.limitPart("red", clock.now()) == 5);
    clock.time = sentAt + config::entryLease;
    CHECK(follower.limitPart("red", clock.now()) == 0);
}

TEST_CASE("an older catalog or older parts that arrive late do not replace newer ones", "[follow]")
{
    ManualClock clock;
    ControlFollower follower({ { "e1", 1 }, "a", {}, "" }, clock);
    follower.applyResponse({ 4, {}, Catalog { 4, {}, {}, {}, {} }, 3, std::vector<TeamLimitPart> { { "red", 2, 2 } } }, clock.now());
    follower.applyResponse({ 3, {}, Catalog { 3, {}, {}, {}, {} }, 2, std::vector<TeamLimitPart> { { "red", 9, 9 } } }, clock.now());
    CHECK(follower.catalog()->revision == 4);
    CHECK(follower.limitPart("red", clock.now()) == 2);
}

TEST_CASE("an entry takes no lease from a group whose revision is behind its own", "[follow]")
{
    ManualClock clock;
    ControlFollower follower({ { "e1", 1 }, "a", {}, "" }, clock);
    follower.applyResponse({ 9, {}, Catalog { 9, {}, {}, {}, {} }, 0, std::nullopt }, clock.now());
    auto end = follower.leaseEnd();
    clock.time += seconds(1);
    follower.applyResponse({ 2, {}, std::nullopt, 0, std::nullopt }, clock.now());
    CHECK(follower.leaseEnd() == end);
}

TEST_CASE("a change counts as in force only when each entry applied it or its lease ended", "[follow]")
{
    TimePoint start { seconds(1000) };
    EntryTable table(start);
    auto now = start + seconds(10);
    table.recordPoll({ { "e1", 1 }, "a", 4, 0, std::nullopt, 0 }, now);
    table.recordResponse({ "e1", 1 }, 4, now);
    CHECK(table.pending(4, now).empty());
    REQUIRE(table.pending(5, now).size() == 1);
    CHECK(table.pending(5, now).front().entry.name == "e1");
    CHECK(table.pending(5, now + seconds(4)).empty());
    CHECK(EntryTable(now).pending(1, now).size() == 1);
}

TEST_CASE("responses that an entry never receives do not keep a change from being reported in force", "[follow]")
{
    TimePoint start { seconds(1000) };
    EntryTable table(start);
    auto now = start + seconds(10);
    table.recordPoll({ { "e1", 1 }, "a", 4, 0, std::nullopt, 0 }, now);
    table.recordResponse({ "e1", 1 }, 4, now);
    auto change = now;
    // The leader receives the polls, but the responses are lost.
    for (; now < change + seconds(10); now += milliseconds(500)) {
        table.recordPoll({ { "e1", 1 }, "a", 4, 0, std::nullopt, 0 }, now);
        table.recordResponse({ "e1", 1 }, 5, now);
        CHECK(table.pending(5, now).empty() == (now >= change + config::entryLease + milliseconds(100)));
    }
    auto isolated = table.isolated(5, { { "e1", "a" } }, seconds(60), now);
    REQUIRE(isolated.size() == 1);
    CHECK(isolated.front().until == change + config::entryLease + milliseconds(100) + seconds(60));
    CHECK(table.isLive({ "e1", 1 }, now));
}

TEST_CASE("a part shrinks only on a report made under the lower target", "[follow]")
{
    auto state = stateWithLimit(10);
    TimePoint start { seconds(1000) };
    EntryTable table(start);
    auto now = start + seconds(20);
    auto poll = [&](const std::string& name, uint64_t version, std::optional<int64_t> running, int64_t queued) {
        FollowRequest request { { name, 1 }, "a", 3, version, std::nullopt, 0 };
        if (running)
            request.use = std::vector<TeamUsage> { { "red", *running, queued } };
        table.recordPoll(request, now);
        table.recordResponse(request.entry, 3, now);
    };
    auto step = [&] {
        if (auto command = planParts({ state, table, seconds(10), now }))
            REQUIRE_FALSE(state.apply(*command));
    };
    auto amountOf = [&](const std::string& name) {
        for (const auto& it : state.parts()) {
            if (it.entry == name)
                return it.amount;
        }
        return int64_t { 0 };
    };
    poll("e1", 0, 10, 0);
    step();
    REQUIRE(amountOf("e1") == 10);
    poll("e1", state.partsVersion(), 3, 2);
    poll("e2", 0, 0, 5);
    step();
    CHECK(amountOf("e1") == 10);
    // The report of 3 running requests was made before the target of 5 was applied: up to 10 may be running by now.
    poll("e1", state.partsVersion(), std::nullopt, 0);
    step();
    CHECK(amountOf("e1") == 10);
    poll("e1", state.partsVersion(), 5, 0);
    step();
    CHECK(amountOf("e1") == 5);
    CHECK(amountOf("e2") == 5);
}

TEST_CASE("the running requests of a team never exceed its limit during partitions, restarts and changing demand", "[follow][property]")
{
    CHECK(rc::check([] {
        constexpr int64_t limit = 12;
        auto state = stateWithLimit(limit);
        TimePoint now { seconds(1000) };
        EntryTable table(now);
        std::vector<ModelEntry> entries { { { "e1", 1 } }, { { "e2", 1 } }, { { "e3", 1 } } };
        std::vector<std::pair<TimePoint, int64_t>> orphans;
        for (int n = 0; n < 60; ++n) {
            now += milliseconds(*rc::gen::inRange(50, 1500));
            for (auto& it : entries) {
                it.demand = *rc::gen::inRange<int64_t>(0, 15);
                if (*rc::gen::inRange(0, 12) == 0)
                    it.isPartitioned = !it.isPartitioned;
                if (*rc::gen::inRange(0, 20) == 0) {
                    orphans.emplace_back(std::min(now, it.leaseEnd) + seconds(10), it.running);
                    it = ModelEntry { { it.id.name, it.id.incarnation + 1 } };
                }
                // A request runs for 10 s at most, and an entry without a lease starts none.
                it.running = now < it.leaseEnd + seconds(10) ? std::min(it.running, it.demand) : 0;
                if (now < it.leaseEnd)
                    it.running = std::max(it.running, std::min(it.demand, it.part.target));
                if (it.isPartitioned)
                    continue;
                table.recordPoll({ it.id, "a", 3, it.partsVersion, std::vector<TeamUsage> { { "red", it.running, it.demand - it.running } }, 0 }, now);
                table.recordResponse(it.id, 3, now);
                it.leaseEnd = now + config::entryLease;
                it.partsVersion = state.partsVersion();
                it.part = {};
                for (const auto& part : state.parts()) {
                    if (part.entry == it.id.name && part.incarnation == it.id.incarnation)
                        it.part = { "red", part.amount, part.target };
                }
            }
            std::erase_if(orphans, [&](const auto& it) { return it.first <= now; });
            int64_t running = 0;
            for (const auto& it : orphans)
                running += it.second;
            for (const auto& it : entries)
                running += it.running;
            RC_ASSERT(running <= limit);
            if (auto command = planParts({ state, table, seconds(10), now }))
                RC_ASSERT(!state.apply(*command));
        }
    }));
}

TEST_CASE("under skewed demand the idle entries keep one permit each and the busy one gets the rest", "[follow]")
{
    CHECK(divideLimit(12, { 40, 0, 0 }) == std::vector<int64_t> { 10, 1, 1 });
    CHECK(divideLimit(2, { 5, 5, 5 }) == std::vector<int64_t> { 1, 1, 0 });
    CHECK(divideLimit(12, { 0, 0, 0 }) == std::vector<int64_t> { 4, 4, 4 });
    auto amounts = divideLimit(100, { 300, 100, 0 });
    CHECK(std::accumulate(amounts.begin(), amounts.end(), int64_t { 0 }) == 100);
}
