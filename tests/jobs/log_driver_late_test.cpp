#include <catch2/catch.hpp>

#include "memory_disk.h"
#include "net_fixture.h"
#include "replica/log_driver_p.h"

#include <thread>

using namespace vanillalift;
using namespace vanillalift::raft;

namespace {

constexpr const char* storageId = "founding";
constexpr std::chrono::milliseconds electionBase { 100 };

RaftStorage openGroup(Disk& disk)
{
    ReplicaMembers members;
    for (const auto* it : { "a", "b", "c" })
        members.push_back({ it, storageId, true });
    Persist persist;
    persist.hardState = HardState { 1, "" };
    persist.entries.push_back({ 1, 1, EntryKind::Members, encodeMembers(members) });
    auto storage = RaftStorage::open(disk, storageId);
    REQUIRE(storage);
    REQUIRE(storage->write(persist));
    REQUIRE(storage->sync());
    storage = RaftStorage::open(disk, storageId);
    REQUIRE(storage);
    return std::move(*storage);
}

/// Replica a of three, whose messages wait in the socket while the loop is late.
struct LateReplica {
    LateReplica()
    {
        LogDriver::Handlers handlers;
        handlers.send = [this](const Message& message) { handleSent(message); };
        handlers.readArrived = [this] { readArrived(); };
        handlers.apply = [](uint64_t, std::string_view) {};
        handlers.restore = [](std::string_view) {};
        handlers.snapshot = [] { return std::string(); };
        handlers.resolve = [](uint64_t, const LogDriver::Outcome&) {};
        handlers.roleChanged = [this](const ReplicaStatus& status) { terms.insert(status.term); };
        handlers.diskFull = [](bool) {};
        handlers.failed = [](const StorageError&) { FAIL(); };
        LogDriver::Desc desc;
        desc.core.name = "a";
        desc.core.electionBase = electionBase;
        desc.snapshotEveryBytes = SIZE_MAX;
        driver = std::make_unique<LogDriver>(loop, clock, std::move(desc), openGroup(disk), std::move(handlers));
    }

    /// The others grant each vote and accept each entry.
    void handleSent(const Message& message)
    {
        MessageBody body;
        auto term = message.term;
        if (const auto* vote = std::get_if<VoteRequest>(&message.body)) {
            body = VoteReply { vote->isPreVote, true, term };
            term -= vote->isPreVote ? 1 : 0;
        } else if (const auto* append = std::get_if<AppendRequest>(&message.body))
            body = AppendReply { append->round, true, append->previousIndex + append->entries.size() };
        else
            return;
        votes += std::holds_alternative<VoteRequest>(message.body) ? 1 : 0;
        arrived.push_back({ message.to, storageId, "a", term, body });
        if (!isLate)
            readArrived();
    }
    void readArrived()
    {
        for (auto& it : std::exchange(arrived, {}))
            driver->receive(std::move(it));
    }
    /// Runs the loop with the replica's timer due.
    void wakeLate()
    {
        clock.advance(10 * electionBase);
        std::this_thread::sleep_for(2 * electionBase);
        net::Timer end(loop, [this] { loop.stop(); });
        end.armAt(clock.now(), clock.now());
        loop.run();
    }

    MemoryDisk disk;
    net::EventLoop loop;
    net::OffsetClock clock;
    std::vector<Message> arrived;
    std::set<uint64_t> terms;
    int votes = 0;
    bool isLate = false;
    std::unique_ptr<LogDriver> driver;
};

} // namespace

TEST_CASE("a heartbeat that arrived while the loop was late keeps a replica from an election", "[log-driver]")
{
    LateReplica it;
    it.arrived.push_back({ "b", storageId, "a", 2, AppendRequest { 1, 1, 1, 1, {} } });
    it.wakeLate();
    CHECK(it.votes == 0);
    CHECK(it.driver->core().status().leader == "b");
}

TEST_CASE("a leader whose followers' answers arrived while its loop was late goes on leading", "[log-driver]")
{
    LateReplica it;
    net::runUntil(it.loop, [&] { return it.driver->isReadyLeader(); });
    auto term = it.driver->core().status().term;
    it.isLate = true;
    net::runUntil(it.loop, [&] { return it.arrived.size() >= 2; });
    it.wakeLate();
    CHECK(it.driver->isLeader());
    CHECK(it.driver->core().status().term == term);
}
