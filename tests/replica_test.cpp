#include <catch2/catch.hpp>

#include <vanillalift/replica.h>
#include <vanillalift/rpc.h>

#include <atomic>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace vanillalift;

namespace {

/// Appends commands; the state is their concatenation.
class ConcatenatingMachine final : public StateMachine {
public:
    std::string apply(uint64_t /*index*/, std::string_view command) override
    {
        m_state += std::string(command) + ";";
        return std::to_string(m_state.size());
    }
    [[nodiscard]] std::string snapshot() const override { return m_state; }
    void restore(std::string_view snapshot) override { m_state = snapshot; }

private:
    std::string m_state;
};

int freePort()
{
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address { .sin_family = AF_INET, .sin_port = 0, .sin_addr = { htonl(INADDR_LOOPBACK) }, .sin_zero = {} };
    socklen_t size = sizeof address;
    REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// One replica and its RPC server, as in a control process.
struct Node {
    std::string name;
    int port = freePort();
    SystemClock clock;
    std::unique_ptr<ConcatenatingMachine> machine;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<RpcServer> server;

    void stop()
    {
        if (!replica)
            return;
        replica->stop();
        server->stop();
        replica.reset();
        server.reset();
    }
};

class Group {
public:
    Group()
        : m_folder(std::filesystem::temp_directory_path() / ("vanillalift-replica-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(m_folder);
        for (size_t n = 0; n < 3; n++)
            nodes[n].name = "r" + std::to_string(n);
        for (size_t n = 0; n < 3; n++)
            start(n, n == 0);
        waitUntil([&] { return nodes[0].replica->status().role == ReplicaRole::Leader; });
        for (size_t n = 1; n < 3; n++)
            addMember(n);
    }

    ~Group()
    {
        for (auto& it : nodes)
            it.stop();
        std::filesystem::remove_all(m_folder);
    }

    void start(size_t n, bool bootstrap = false)
    {
        auto& node = nodes[n];
        ReplicaDesc desc { .name = node.name, .folder = (m_folder / node.name).string(), .token = "t", .seed = n + 1, .snapshotIntervalEntries = 200, .bootstrap = bootstrap };
        for (const auto& it : nodes) {
            if (it.name != node.name)
                desc.peers[it.name] = "127.0.0.1:" + std::to_string(it.port);
        }
        node.machine = std::make_unique<ConcatenatingMachine>();
        auto replica = Replica::open(desc, *node.machine, node.clock);
        REQUIRE(replica);
        node.replica = std::move(*replica);
        node.server = std::make_unique<RpcServer>(RpcServerDesc { .address = "127.0.0.1", .port = node.port, .token = "t" });
        node.replica->addMethods(*node.server);
        REQUIRE(node.server->start());
        node.replica->start();
    }

    /// Adds the replica to the group under its current storage id and waits until it is a voter.
    void addMember(size_t n)
    {
        auto id = nodes[n].replica->status().storageId;
        ReplicaMember member { nodes[n].name, id, true };
        waitUntil([&] {
            auto* node = leader();
            return node && node->replica->replaceMember(member.name, id).get();
        });
        waitUntil([&] {
            auto* node = leader();
            auto members = node ? node->replica->status().members : ReplicaMembers {};
            return std::find(members.begin(), members.end(), member) != members.end();
        });
    }

    Node* leader()
    {
        for (auto& it : nodes) {
            if (it.replica && it.replica->status().role == ReplicaRole::Leader)
                return &it;
        }
        return nullptr;
    }

    /// Proposes the command until it is committed. @returns its result.
    std::string commit(const std::string& command)
    {
        std::string result;
        waitUntil([&] {
            auto* node = leader();
            auto committed = node ? node->replica->propose(command).get() : ProposeResult(tl::unexpected(ProposeError {}));
            if (committed)
                result = committed->result;
            return committed.has_value();
        });
        return result;
    }

    void waitUntilAllApplied()
    {
        waitUntil([&] {
            auto* node = leader();
            auto index = node ? node->replica->status().commitIndex : 0;
            return index != 0 && std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) { return it.replica->status().appliedIndex == index; });
        });
    }

    /// Polls. The bound only ends a test that would hang otherwise.
    template <typename Condition>
    void waitUntil(Condition condition)
    {
        for (int n = 0; n < 6000; n++) {
            if (condition())
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        FAIL("timed out while waiting for the condition");
    }

    void deleteData(size_t n) { std::filesystem::remove_all(m_folder / nodes[n].name); }

    /// Stops the replicas, as their state machines may only be read then, and compares the states. @returns the common state.
    std::string stopAndCompareStates()
    {
        waitUntilAllApplied();
        for (auto& it : nodes)
            it.stop();
        CHECK(nodes[0].machine->snapshot() == nodes[1].machine->snapshot());
        CHECK(nodes[0].machine->snapshot() == nodes[2].machine->snapshot());
        return nodes[0].machine->snapshot();
    }

    std::array<Node, 3> nodes;

private:
    std::filesystem::path m_folder;
};

} // namespace

// Guards against a status that is older than a reported outcome: a reader that compared applied indices stopped too early.
TEST_CASE("the status shows an entry as applied once its proposal has an outcome", "[replica]")
{
    Group group;
    auto* node = group.leader();
    REQUIRE(node);
    for (int n = 0; n < 400; n++) {
        auto outcome = node->replica->propose("x").get();
        REQUIRE(outcome);
        CHECK(node->replica->status().appliedIndex >= outcome->index);
    }
}

// Guards against lost commands or diverging states when the leader stops and when all replicas restart.
TEST_CASE("a group continues without its leader and recovers from disk", "[replica]")
{
    Group group;
    CHECK(group.commit("one") == "4");
    auto* leader = group.leader();
    REQUIRE(leader);
    CHECK(leader->replica->readIndex().get());
    auto stopped = static_cast<size_t>(leader - group.nodes.data());
    leader->stop();
    CHECK(group.commit("two") == "8");
    for (auto& it : group.nodes)
        it.stop();
    for (size_t n = 0; n < 3; n++)
        group.start(n);
    CHECK(group.commit("three") == "14");
    CHECK(group.stopAndCompareStates() == "one;two;three;");
    CHECK(stopped < 3);
}

// Guards against a replica that never catches up, by entries or by a snapshot, after a long absence or a disk loss.
TEST_CASE("a replica catches up after hundreds of commands, after a snapshot and after a disk loss", "[replica]")
{
    Group group;
    std::string expected;
    auto commitMany = [&](int count) {
        for (int n = 0; n < count; n++) {
            group.commit(std::to_string(n));
            expected += std::to_string(n) + ";";
        }
    };
    group.nodes[2].stop();
    commitMany(150);
    group.start(2);
    group.waitUntilAllApplied();
    group.nodes[2].stop();
    commitMany(500);
    group.start(2);
    group.waitUntilAllApplied();
    CHECK(group.nodes[2].replica->status().snapshotIndex > 0);
    group.nodes[1].stop();
    group.deleteData(1);
    group.start(1);
    group.addMember(1);
    group.nodes[2].stop();
    commitMany(5);
    group.start(2);
    CHECK(group.stopAndCompareStates() == expected);
}

// Guards against bootstrapping over an existing log, and against proposals that hang on a follower.
TEST_CASE("a folder with a log is not bootstrapped again, and a follower names the leader", "[replica]")
{
    Group group;
    group.commit("one");
    auto* leader = group.leader();
    REQUIRE(leader);
    for (auto& it : group.nodes) {
        if (&it == leader)
            continue;
        group.waitUntil([&] { return it.replica->status().leader == leader->name; });
        auto result = it.replica->propose("x").get();
        REQUIRE_FALSE(result);
        CHECK(result.error().code == ProposeErrorCode::NotLeader);
        CHECK(result.error().leaderHint == leader->name);
    }
    for (auto& it : group.nodes)
        it.stop();
    ConcatenatingMachine machine;
    SystemClock clock;
    auto folder = std::filesystem::temp_directory_path() / ("vanillalift-replica-" + std::to_string(::getpid())) / "r0";
    CHECK_FALSE(Replica::open({ .name = "r0", .folder = folder.string(), .bootstrap = true }, machine, clock));
}
