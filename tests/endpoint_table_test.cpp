#include <catch2/catch.hpp>

#include "endpoint/endpoint_table_p.h"

#include <vanillalift/config.h>

#include <functional>
#include <set>

using namespace vanillalift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };

struct Fixture {
    EndpointTable table { "z1", 4, std::mt19937_64 { 7 } };
    std::map<std::string, uint64_t> sequences;

    void announce(const std::string& address, TimePoint now = start, const std::function<void(Announcement&)>& change = {})
    {
        Announcement it { "count", address, "z1", address, 1, ++sequences[address], EndpointState::Serving, 8, 64 };
        if (change)
            change(it);
        CHECK(table.announce(it, now));
    }
    std::optional<EndpointSlot> acquire(TimePoint now = start, const SlotDesc& desc = { "count" }) { return table.acquire(desc, now); }
    void run(AttemptVerdict verdict, TimePoint now = start, const SlotDesc& desc = { "count" })
    {
        auto slot = table.acquire(desc, now);
        REQUIRE(slot);
        table.release(*slot, verdict, true, now);
    }
    std::set<std::string> addressesOfSlots(size_t n, TimePoint now = start)
    {
        std::set<std::string> addresses;
        std::vector<EndpointSlot> heldSlots;
        for (size_t i = 0; i < n; ++i) {
            if (auto slot = acquire(now))
                heldSlots.push_back(*slot);
        }
        for (const auto& it : heldSlots) {
            addresses.insert(it.address);
            table.release(it, AttemptVerdict::Succeeded, false, now);
        }
        return addresses;
    }
};

struct Listener final : EndpointPoolListener {
    void endpointsChanged(std::string_view service) override { changed.emplace_back(service); }
    void endpointRemoved(std::string_view address, uint64_t incarnation) override { removed.emplace_back(address, incarnation); }
    std::vector<std::string> changed;
    std::vector<std::pair<std::string, uint64_t>> removed;
};

} // namespace

TEST_CASE_METHOD(Fixture, "a delayed serving announcement does not add a leaving endpoint again, not even after its removal", "[endpoint]")
{
    announce("a", start, [](Announcement& it) { it.sequence = 5; });
    announce("a", start, [](Announcement& it) { it.sequence = 7; it.state = EndpointState::Leaving; });
    CHECK_FALSE(acquire());
    announce("a", start, [](Announcement& it) { it.sequence = 6; });
    CHECK_FALSE(acquire());
    table.expire(start + seconds(4));
    announce("a", start + seconds(5), [](Announcement& it) { it.sequence = 6; });
    CHECK_FALSE(acquire(start + seconds(5)));
    CHECK(table.endpoints(start + seconds(5)).empty());
}

TEST_CASE_METHOD(Fixture, "an endpoint without announcements gets no attempts after 3 s, even if it announced a longer expiry", "[endpoint]")
{
    announce("a", start, [](Announcement& it) { it.expiresMs = 60000; });
    CHECK(acquire(start + milliseconds(2999)));
    CHECK_FALSE(acquire(start + seconds(3)));
    CHECK(table.nextChange() == start + seconds(3));
}

TEST_CASE_METHOD(Fixture, "releasing a slot of an earlier incarnation or of a reused row does not free a slot of the new incarnation", "[endpoint]")
{
    announce("a");
    auto old = acquire();
    REQUIRE(old);
    announce("a", start, [](Announcement& it) { it.incarnation = 2; });
    auto current = acquire();
    REQUIRE(current);
    table.release(*old, AttemptVerdict::Broken, true, start);
    CHECK(table.stats("count", start).inFlight == 1);
    announce("a", start, [](Announcement& it) { it.incarnation = 3; it.service = "other"; });
    announce("b");
    REQUIRE(acquire());
    table.release(*current, AttemptVerdict::Succeeded, true, start);
    CHECK(table.stats("count", start).inFlight == 1);
}

TEST_CASE_METHOD(Fixture, "an endpoint that expires and announces itself again keeps its count of held slots", "[endpoint]")
{
    announce("a");
    REQUIRE(acquire());
    auto slot = acquire();
    table.expire(start + seconds(4));
    announce("a", start + seconds(5));
    CHECK(table.stats("count", start + seconds(5)).inFlight == 2);
    CHECK_FALSE(acquire(start + seconds(5)));
    table.release(*slot, AttemptVerdict::Succeeded, false, start + seconds(5));
    CHECK(acquire(start + seconds(5)));
}

TEST_CASE_METHOD(Fixture, "windows start at the entry's share of the slots, grow only while requests are queued, and stay within slots and connections", "[endpoint]")
{
    announce("a");
    CHECK(table.stats("count", start).window == 2);
    for (int i = 0; i < 10; ++i) {
        auto slot = acquire();
        table.release(*slot, AttemptVerdict::Succeeded, false, start);
    }
    CHECK(table.stats("count", start).window == 2);
    run(AttemptVerdict::Succeeded);
    CHECK(table.stats("count", start).window == 2);
    run(AttemptVerdict::Succeeded);
    CHECK(table.stats("count", start).window == 3);
    for (int i = 0; i < 200; ++i)
        run(AttemptVerdict::Succeeded);
    CHECK(table.stats("count", start).window == 8);
    run(AttemptVerdict::NotStarted);
    CHECK(table.stats("count", start).window == 4);
    run(AttemptVerdict::TimedOut);
    CHECK(table.stats("count", start).window == 2);
    announce("a", start, [](Announcement& it) { it.connections = 5; });
    CHECK(table.stats("count", start).window == 1);
}

TEST_CASE_METHOD(Fixture, "attempts stay in the entry's zone while it has usable endpoints, unless other zones are allowed", "[endpoint]")
{
    auto inOtherZone = [](Announcement& it) { it.zone = "z2"; };
    announce("far", start, inOtherZone);
    CHECK(acquire()->address == "far");
    announce("near");
    CHECK(acquire()->address == "near");
    CHECK(acquire()->address == "near");
    CHECK_FALSE(acquire());
    CHECK(acquire(start, { "count", true })->address == "far");
}

TEST_CASE_METHOD(Fixture, "load is balanced by held slots per announced slot, and ties do not all go to one endpoint", "[endpoint]")
{
    announce("a");
    announce("b", start, [](Announcement& it) { it.slots = 16; });
    std::map<std::string, int> n;
    for (int i = 0; i < 6; ++i)
        ++n[acquire()->address];
    CHECK(n["a"] == 2);
    CHECK(n["b"] == 4);
    Fixture equal;
    for (const auto* it : { "a", "b", "c" })
        equal.announce(it);
    std::set<std::string> first;
    for (int i = 0; i < 50; ++i)
        first.merge(equal.addressesOfSlots(1));
    CHECK(first.size() == 3);
}

TEST_CASE_METHOD(Fixture, "a retry avoids the endpoint on which the request failed while another one is usable", "[endpoint]")
{
    announce("a");
    auto slot = acquire();
    table.release(*slot, AttemptVerdict::Broken, false, start);
    CHECK(acquire(start, { "count", false, { slot->endpoint } }));
    announce("b", start, [](Announcement& it) { it.zone = "z2"; });
    CHECK(acquire(start, { "count", false, { slot->endpoint } })->address == "b");
}

TEST_CASE_METHOD(Fixture, "an endpoint that fails five times in a row is ejected for 1 s and then returns with a window of 1", "[endpoint]")
{
    Listener listener;
    table.addListener(listener);
    announce("a");
    announce("b", start, [](Announcement& it) { it.zone = "z2"; });
    for (int i = 0; i < 5; ++i)
        run(AttemptVerdict::ServerError);
    CHECK(table.stats("count", start).ejected == 1);
    CHECK(addressesOfSlots(20) == std::set<std::string> { "b" });
    CHECK(table.nextChange() == start + seconds(1));
    auto later = start + seconds(1);
    listener.changed.clear();
    table.expire(later);
    CHECK(listener.changed == std::vector<std::string> { "count" });
    CHECK(acquire(later)->address == "a");
    CHECK_FALSE(acquire(later));
    CHECK(acquire(later, { "count", true })->address == "b");
}

TEST_CASE_METHOD(Fixture, "two thirds of a pool stay in use if all endpoints fail, and the only endpoint of a pool is not ejected", "[endpoint]")
{
    announce("a");
    for (int i = 0; i < 50; ++i)
        run(AttemptVerdict::Broken);
    CHECK(table.stats("count", start).ejected == 0);
    for (const auto* it : { "b", "c", "d", "e", "f", "g" })
        announce(it);
    for (int i = 0; i < 200; ++i)
        run(AttemptVerdict::Broken);
    CHECK(table.stats("count", start).ejected == 2);
}

TEST_CASE_METHOD(Fixture, "a request kind that fails on all endpoints counts towards the ejection of one endpoint only", "[endpoint]")
{
    for (const auto* it : { "a", "b", "c", "d", "e", "f" })
        announce(it);
    SlotDesc bad { "count", false, {}, requestKind("POST", "/bad?x=1") };
    for (int i = 0; i < 200; ++i)
        run(AttemptVerdict::ServerError, start, bad);
    CHECK(table.stats("count", start).ejected <= 1);
    CHECK(requestKind("POST", "/bad?x=2") == bad.requestKind);
    CHECK(requestKind("GET", "/bad") != bad.requestKind);
}

TEST_CASE_METHOD(Fixture, "unreachable endpoints are ejected without counting towards the ejection limit", "[endpoint]")
{
    for (const auto* it : { "a", "b", "c" })
        announce(it);
    for (int i = 0; i < 9; ++i)
        run(AttemptVerdict::NotSent);
    CHECK(table.stats("count", start).ejected == 3);
    CHECK_FALSE(acquire());
}

TEST_CASE_METHOD(Fixture, "listeners are notified of restarts and expiries, so that connections to the old incarnation are closed", "[endpoint]")
{
    Listener listener;
    table.addListener(listener);
    announce("a");
    announce("a", start, [](Announcement& it) { it.incarnation = 2; });
    table.expire(start + seconds(4));
    CHECK(listener.removed == std::vector<std::pair<std::string, uint64_t>> { { "a", 1 }, { "a", 2 } });
    CHECK(listener.changed.size() == 2);
}

TEST_CASE("a service with the maximum number of endpoints rejects further endpoints", "[endpoint]")
{
    EndpointTable table("z1", 1);
    for (size_t i = 0; i < config::maxEndpointsPerService; ++i)
        CHECK(table.announce({ "count", std::to_string(i), "z1", "i", 1, 1 }, start));
    CHECK_FALSE(table.announce({ "count", "more", "z1", "i", 1, 1 }, start));
    table.expire(start + seconds(4));
    CHECK(table.announce({ "count", "more", "z1", "i", 1, 2 }, start + seconds(4)));
}
