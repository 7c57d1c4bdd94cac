#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "endpoint/endpoint_table_p.h"

#include <atomic>
#include <thread>

using namespace vanillalift;

namespace {

constexpr TimePoint start { std::chrono::seconds(1000) };

/// Latest announcement of an address, from which the expected state of the table follows.
struct LatestAnnouncement {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool isLeaving = false;
};

struct Model {
    EndpointTable table;
    int64_t entryCount;
    TimePoint now = start;
    std::map<std::string, LatestAnnouncement> latest;
    std::vector<EndpointSlot> heldSlots;

    explicit Model(int64_t entries)
        : table("z0", entries, std::mt19937_64 { 3 })
        , entryCount(entries)
    {
    }

    void announce()
    {
        auto number = *rc::gen::inRange(0, 6);
        Announcement it { "count", "a" + std::to_string(number), "z" + std::to_string(number % 2), "i" };
        auto& last = latest[it.address];
        it.incarnation = *rc::gen::inRange<uint64_t>(1, 3);
        it.sequence = *rc::gen::inRange<uint64_t>(1, 30);
        it.state = *rc::gen::inRange(0, 6) == 0 ? EndpointState::Leaving : EndpointState::Serving;
        // Constant for each endpoint, as with a real one.
        it.slots = 1 + 3 * number;
        it.connections = 16 + 8 * number;
        if (std::pair(it.incarnation, it.sequence) > std::pair(last.incarnation, last.sequence))
            last = { it.incarnation, it.sequence, it.state == EndpointState::Leaving };
        RC_ASSERT(table.announce(it, now).has_value());
    }

    void acquire()
    {
        SlotDesc desc { "count", *rc::gen::arbitrary<bool>(), {}, *rc::gen::inRange<uint64_t>(0, 3) };
        auto slot = table.acquire(desc, now);
        if (!slot)
            return;
        RC_ASSERT(!latest[slot->address].isLeaving);
        RC_ASSERT(slot->incarnation == latest[slot->address].incarnation);
        for (const auto& it : table.endpoints(now))
            RC_ASSERT(it.address != slot->address || it.inFlight <= it.window);
        heldSlots.push_back(std::move(*slot));
    }

    void release()
    {
        if (heldSlots.empty())
            return;
        auto i = *rc::gen::inRange<size_t>(0, heldSlots.size());
        auto verdict = static_cast<AttemptVerdict>(*rc::gen::inRange(0, static_cast<int>(AttemptVerdict::AttemptVerdictCount)));
        table.release(heldSlots[i], verdict, *rc::gen::arbitrary<bool>(), now);
        heldSlots.erase(heldSlots.begin() + static_cast<std::ptrdiff_t>(i));
    }

    void check()
    {
        std::map<std::pair<std::string, uint64_t>, int64_t> held;
        for (const auto& it : heldSlots)
            ++held[{ it.address, it.incarnation }];
        for (const auto& it : table.endpoints(now)) {
            RC_ASSERT(it.window >= 1);
            RC_ASSERT(it.window <= it.windowBound);
            RC_ASSERT((it.inFlight == held[{ it.address, it.incarnation }]));
            RC_ASSERT(it.state == (latest[it.address].isLeaving ? EndpointState::Leaving : EndpointState::Serving));
            auto number = it.address.back() - '0';
            RC_ASSERT(it.inFlight * entryCount <= 16 + 8 * number);
        }
    }
};

} // namespace

TEST_CASE("no sequence of events exceeds an endpoint's window or connections, or selects a leaving endpoint", "[endpoint]")
{
    CHECK(rc::check([] {
        Model model(*rc::gen::inRange<int64_t>(1, 9));
        auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (int step : steps) {
            if (step < 3)
                model.announce();
            else if (step < 7)
                model.acquire();
            else if (step < 10)
                model.release();
            else if (step == 10)
                model.now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            else
                model.table.expire(model.now);
            model.check();
        }
    }));
}

TEST_CASE("at most a third of a pool is ejected for failures, whichever endpoints fail or leave", "[endpoint]")
{
    CHECK(rc::check([] {
        auto size = *rc::gen::inRange(1, 12);
        EndpointTable table("z0", 1, std::mt19937_64 { 3 });
        auto announce = [&](int number, uint64_t sequence, EndpointState state, TimePoint now) {
            RC_ASSERT(table.announce({ "count", std::to_string(number), "z0", "i", 1, sequence, state, 8, 64 }, now).has_value());
        };
        for (int i = 0; i < size; ++i)
            announce(i, 1, EndpointState::Serving, start);
        auto now = start;
        uint64_t sequence = 1;
        for (int step : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100))) {
            auto slot = table.acquire({ "count" }, now);
            if (slot)
                table.release(*slot, step < 10 ? AttemptVerdict::Succeeded : AttemptVerdict::Broken, false, now);
            if (step == 99)
                announce(*rc::gen::inRange(0, size), ++sequence, EndpointState::Leaving, now);
            if (step == 98)
                now += std::chrono::milliseconds(10);
            auto stats = table.stats("count", now);
            RC_ASSERT(stats.ejected <= (stats.serving < 2 ? 0 : std::max<int64_t>(1, stats.serving / 3)));
        }
    }));
}

TEST_CASE("concurrent threads never hold more slots of an endpoint than its window", "[endpoint]")
{
    EndpointTable table("z0", 2);
    std::array<std::atomic<int64_t>, 4> held {};
    std::atomic<bool> hasExceeded { false };
    std::atomic<bool> isDone { false };
    auto announceAll = [&](uint64_t sequence) {
        for (size_t i = 0; i < held.size(); ++i)
            (void)table.announce({ "count", std::to_string(i), "z0", "i", 1, sequence, EndpointState::Serving, 8, 8 }, start);
    };
    announceAll(1);
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 5000; ++i) {
                auto slot = table.acquire({ "count" }, start);
                if (!slot)
                    continue;
                auto& n = held.at(slot->endpoint.index);
                // 8 connections divided among 2 entries: 4 slots.
                if (++n > 4)
                    hasExceeded = true;
                --n;
                table.release(*slot, i % 97 == t ? AttemptVerdict::NotStarted : AttemptVerdict::Succeeded, true, start);
            }
        });
    }
    std::thread announcer([&] {
        for (uint64_t sequence = 2; !isDone; ++sequence) {
            announceAll(sequence);
            table.expire(start);
            (void)table.stats("count", start);
        }
    });
    for (auto& it : threads)
        it.join();
    isDone = true;
    announcer.join();
    CHECK_FALSE(hasExceeded);
    CHECK(table.stats("count", start).inFlight == 0);
}
