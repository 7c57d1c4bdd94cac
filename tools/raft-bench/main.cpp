#include <vanillalift/replica.h>
#include <vanillalift/rpc.h>

#include <algorithm>
#include <array>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

using namespace vanillalift;

namespace {

/// Only counts commands, so that the figures cover the log alone.
class CountingMachine final : public StateMachine {
public:
    std::string apply(uint64_t /*index*/, std::string_view /*command*/) override { return std::to_string(++m_count); }
    [[nodiscard]] std::string snapshot() const override { return std::to_string(m_count); }
    void restore(std::string_view snapshot) override { m_count = std::stoull(std::string(snapshot)); }

private:
    uint64_t m_count = 0;
};

/// A replica with the RPC server that receives its messages.
class Node {
public:
    Node(std::unique_ptr<Replica> replica, RpcServerDesc desc)
        : m_replica(std::move(replica))
        , m_server(std::move(desc))
    {
        m_replica->addMethods(m_server);
    }
    ~Node() { stop(); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    bool start()
    {
        if (!m_server.start())
            return false;
        m_replica->start();
        return true;
    }
    void stop()
    {
        m_replica->stop();
        m_server.stop();
    }
    Replica& replica() { return *m_replica; }

private:
    std::unique_ptr<Replica> m_replica;
    RpcServer m_server;
};

using Group = std::array<std::unique_ptr<Node>, 3>;

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

std::unique_ptr<Node> makeNode(size_t n, const std::string& folder, int port, bool bootstrap, StateMachine& machine, const Clock& clock)
{
    ReplicaDesc desc { .name = "r" + std::to_string(n), .folder = folder + "/r" + std::to_string(n), .seed = n + 1, .bootstrap = bootstrap };
    for (size_t other = 0; other < 3; other++) {
        if (other != n)
            desc.peers["r" + std::to_string(other)] = "127.0.0.1:" + std::to_string(port + static_cast<int>(other));
    }
    return std::make_unique<Node>(Replica::open(std::move(desc), machine, clock).value(), RpcServerDesc { .address = "127.0.0.1", .port = port + static_cast<int>(n) });
}

Replica* leaderOf(const Group& group)
{
    for (const auto& it : group) {
        if (it && it->replica().status().role == ReplicaRole::Leader)
            return &it->replica();
    }
    return nullptr;
}

Replica& waitForLeader(const Group& group)
{
    while (true) {
        if (auto* leader = leaderOf(group))
            return *leader;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void formGroup(const Group& group)
{
    for (size_t n = 1; n < group.size(); n++) {
        auto status = group[n]->replica().status();
        while (!waitForLeader(group).replaceMember(status.name, status.storageId).get())
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

void measureLatency(Replica& leader, int count)
{
    std::vector<double> times;
    std::string command(200, 'x');
    for (int n = 0; n < count; n++) {
        auto start = BootClock::now();
        if (leader.propose(command).get())
            times.push_back(milliseconds(BootClock::now() - start));
    }
    std::sort(times.begin(), times.end());
    std::cout << "latency of " << times.size() << " sequential commits: p50 " << times[times.size() / 2] << " ms, p99 " << times[times.size() * 99 / 100] << " ms\n";
}

void measureThroughput(Replica& leader, int count)
{
    std::string command(200, 'x');
    auto start = BootClock::now();
    std::deque<std::future<ProposeResult>> pending;
    int committed = 0;
    for (int n = 0; n < count || !pending.empty(); n++) {
        if (n < count)
            pending.push_back(leader.propose(command));
        if (pending.size() < 256 && n < count)
            continue;
        committed += pending.front().get() ? 1 : 0;
        pending.pop_front();
    }
    auto seconds = milliseconds(BootClock::now() - start) / 1000;
    std::cout << committed << " of " << count << " committed with 256 proposals in flight: " << static_cast<int>(committed / seconds) << " commits per second\n";
}

void printSizes(const std::string& folder)
{
    uintmax_t bytes = 0;
    for (const auto& it : std::filesystem::recursive_directory_iterator(folder + "/r0"))
        bytes += it.is_regular_file() ? it.file_size() : 0;
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line) && !line.starts_with("VmRSS")) { }
    std::cout << "disk of r0: " << bytes << " bytes; memory of the benchmark with all three replicas: " << line << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: vanillalift-raft-bench FOLDER FIRST_PORT ENTRIES\n";
        return 2;
    }
    std::string folder = argv[1];
    int port = std::stoi(argv[2]);
    int entries = std::stoi(argv[3]);
    std::filesystem::remove_all(folder);
    SystemClock clock;
    std::array<CountingMachine, 3> machines;
    Group group;
    auto open = [&](size_t n, bool bootstrap) {
        machines[n] = {};
        group[n] = makeNode(n, folder, port, bootstrap, machines[n], clock);
    };
    for (size_t n = 0; n < 3; n++) {
        open(n, n == 0);
        if (!group[n]->start())
            return 1;
    }
    formGroup(group);
    measureLatency(waitForLeader(group), std::min(entries, 2000));
    measureThroughput(waitForLeader(group), entries);
    printSizes(folder);
    auto stoppedName = waitForLeader(group).status().name;
    auto& process = group[static_cast<size_t>(stoppedName[1] - '0')];
    auto start = BootClock::now();
    std::thread stopper([&] { process->stop(); });
    auto hasNewLeaderCommitted = [&] {
        auto* leader = leaderOf(group);
        return leader && leader->status().name != stoppedName && leader->propose("x").get();
    };
    while (!hasNewLeaderCommitted())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::cout << "graceful stop of the leader: next commit after " << milliseconds(BootClock::now() - start) << " ms\n";
    stopper.join();
    for (auto& it : group)
        it.reset();
    start = BootClock::now();
    open(0, false);
    std::cout << "recovery of r0 from disk: " << milliseconds(BootClock::now() - start) << " ms, last index " << group[0]->replica().status().lastIndex << "\n";
    return 0;
}
