#include <catch2/catch.hpp>

#include "memory_disk.h"
#include "net_fixture.h"
#include "replica/log_driver_p.h"

#include <thread>

using namespace vanillalift;
using namespace vanillalift::raft;

namespace {

constexpr const char* storageId = "founding";
constexpr std::chrono::milliseconds minElectionTimeout { 100 };

RaftStorage openStorage(Disk& disk)
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

/// Replica a of three, whose incoming messages stay in the socket while its event loop is delayed.
struct DelayedReplica {
    DelayedReplica()
    {
        LogDriver::Handlers handlers;
        handlers.send = [this](const Message& message) { replyTo(message); };
        handlers.readPendingMessages = [this] { readPendingMessages(); };
        handlers.apply = [](uint64_t, std::string_view) {};
        handlers.restore = [](std::string_view) {};
        handlers.snapshot = [] { return std::string(); };
        handlers.resolve = [](uint64_t, const LogDriver::Outcome&) {};
        handlers.roleChanged = [this](const ReplicaStatus& status) { terms.insert(status.term); };
        handlers.outOfResources = [](const StorageError&) {};
        handlers.resourcesAvailable = [] {};
        handlers.failed = [](const StorageError&) { FAIL(); };
        LogDriver::Desc desc;
        desc.core.name = "a";
        desc.core.minElectionTimeout = minElectionTimeout;
        desc.snapshotIntervalBytes = SIZE_MAX;
        driver = std::make_unique<LogDriver>(loop, clock, std::move(desc), openStorage(disk), std::move(handlers));
    }

    /// Replies for the other replicas, which grant each vote and accept each entry.
    void replyTo(const Message& message)
    {
        MessageBody body;
        auto term = message.term;
        if (const auto* vote = std::get_if<VoteRequest>(&message.body)) {
            body = VoteReply { vote->isPreVote, true, term };
            term -= vote->isPreVote ? 1 : 0;
        } else if (const auto* append = std::get_if<AppendRequest>(&message.body))
            body = AppendReply { append->sequence, true, append->previousIndex + append->entries.size() };
        else
            return;
        voteRequestCount += std::holds_alternative<VoteRequest>(message.body) ? 1 : 0;
        receivedMessages.push_back({ message.to, storageId, "a", term, body });
        if (!isDelayed)
            readPendingMessages();
    }
    void readPendingMessages()
    {
        for (auto& it : std::exchange(receivedMessages, {}))
            driver->receive(std::move(it));
    }
    /// Runs the event loop with the replica's timer overdue.
    void runAfterDelay()
    {
        clock.advance(10 * minElectionTimeout);
        std::this_thread::sleep_for(2 * minElectionTimeout);
        net::Timer end(loop, [this] { loop.stop(); });
        end.armAt(clock.now(), clock.now());
        loop.run();
    }

    MemoryDisk disk;
    net::EventLoop loop;
    net::OffsetClock clock;
    std::vector<Message> receivedMessages;
    std::set<uint64_t> terms;
    int voteRequestCount = 0;
    bool isDelayed = false;
    std::unique_ptr<LogDriver> driver;
};

} // namespace

TEST_CASE("a heartbeat that arrived while the event loop was delayed prevents an election", "[log-driver]")
{
    DelayedReplica it;
    it.receivedMessages.push_back({ "b", storageId, "a", 2, AppendRequest { 1, 1, 1, 1, {} } });
    it.runAfterDelay();
    CHECK(it.voteRequestCount == 0);
    CHECK(it.driver->core().status().leader == "b");
}

TEST_CASE("a leader whose followers' replies arrived while its event loop was delayed stays leader", "[log-driver]")
{
    DelayedReplica it;
    net::runUntil(it.loop, [&] { return it.driver->isReadyLeader(); });
    auto term = it.driver->core().status().term;
    it.isDelayed = true;
    net::runUntil(it.loop, [&] { return it.receivedMessages.size() >= 2; });
    it.runAfterDelay();
    CHECK(it.driver->isLeader());
    CHECK(it.driver->core().status().term == term);
}
