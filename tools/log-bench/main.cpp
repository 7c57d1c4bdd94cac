#include "jobs/job_store_p.h"
#include "node/command_batcher_p.h"
#include "node/messages_p.h"
#include "replica/log_driver_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <iostream>
#include <map>

using namespace vanillalift;
using namespace vanillalift::raft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t followerCount = 7;
constexpr milliseconds tickInterval { 1 };
/// Ticks that are overdue by more than this are skipped.
constexpr milliseconds maxTickDelay { 100 };
constexpr uint64_t ticksPerPlacement = 10;
constexpr uint32_t tasksPerJob = 4;
/// Number of tasks that wait for placement, and of tasks that run.
constexpr uint64_t tasksPerPhase = 400;
constexpr uint64_t warmUpTicks = 600;
constexpr milliseconds oneWayDelay { 3 };
constexpr seconds disabledElectionTimeout { 1000 };
constexpr seconds measuredDuration { 5 };
constexpr milliseconds syncDuration { 2 };

Duration processCpuTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

/// Keeps files in memory only; each sync takes as long as on a real disk.
class SimulatedDisk final : public Disk {
public:
    StorageResult<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto& [name, bytes] : m_files)
            names.push_back(name);
        return names;
    }
    StorageResult<std::string> read(const std::string& name) override { return m_files[name]; }
    StorageResult<void> append(const std::string& name, std::string_view bytes) override
    {
        m_files[name] += bytes;
        return {};
    }
    StorageResult<void> sync(const std::string& /*name*/) override
    {
        syncs++;
        std::this_thread::sleep_for(syncDuration);
        return {};
    }
    StorageResult<void> replace(const std::string& name, std::string_view bytes) override
    {
        m_files[name] = bytes;
        return {};
    }
    StorageResult<void> truncate(const std::string& name, uint64_t size) override
    {
        m_files[name].resize(size);
        return {};
    }
    StorageResult<void> remove(const std::string& name) override
    {
        m_files.erase(name);
        return {};
    }
    StorageResult<SetAsideState> setAsideState() override { return SetAsideState::Never; }
    StorageResult<void> setAside(const std::vector<std::string>& /*names*/) override { return {}; }

    uint64_t syncs = 0;

private:
    std::map<std::string, std::string> m_files;
};

ReplicaMembers makeMembers()
{
    ReplicaMembers members;
    for (size_t n = 0; n <= followerCount; n++)
        members.push_back({ "10.0.0." + std::to_string(n + 1) + ":7000", "storage", n < 3 });
    return members;
}

/// The leader's log, batcher and state as in a controller, and followers whose CPU time is excluded from the figures.
class Bench {
public:
    explicit Bench(uint64_t ticksPerJob)
        : m_ticksPerJob(ticksPerJob)
        , m_batcher(m_loop, m_clock, [this](std::string entry) { return m_driver->propose(std::move(entry)); })
        , m_timer(m_loop, [this] { tick(); })
        , m_network(m_loop, [this] { deliver(); })
    {
        auto members = makeMembers();
        RecoveredState recovered;
        recovered.storageId = "storage";
        recovered.snapshot = { 1, 1, members };
        for (size_t n = 1; n < members.size(); n++) {
            CoreDesc desc;
            desc.name = members[n].name;
            desc.minElectionTimeout = disabledElectionTimeout;
            m_followers[desc.name] = std::make_unique<RaftCore>(desc, recovered, m_clock.now());
        }
        LogDriver::Desc desc;
        desc.core.name = members.front().name;
        desc.core.minElectionTimeout = config::controlElectionTimeout;
        desc.snapshotIntervalBytes = config::snapshotIntervalBytes;
        LogDriver::Handlers handlers;
        handlers.send = [this](Message message) { send(std::move(message)); };
        handlers.readPendingMessages = [] {};
        handlers.apply = [this](uint64_t, std::string_view command) {
            auto before = processCpuTime();
            m_store.apply(command);
            m_applyTime += processCpuTime() - before;
        };
        handlers.restore = [](std::string_view) {};
        handlers.snapshot = [this] { return m_store.snapshot(); };
        handlers.resolve = [this](uint64_t number, LogDriver::Outcome outcome) { m_batcher.resolve(number, outcome.has_value()); };
        handlers.roleChanged = [](const ReplicaStatus&) {};
        handlers.outOfResources = [](const StorageError&) {};
        handlers.resourcesAvailable = [] {};
        handlers.failed = [](const StorageError&) { std::abort(); };
        auto storage = RaftStorage::open(m_disk, "storage");
        Persist persist;
        persist.snapshot = recovered.snapshot;
        if (!storage || !storage->write(persist) || !storage->sync())
            std::abort();
        storage = RaftStorage::open(m_disk, "storage");
        m_driver = std::make_unique<LogDriver>(m_loop, m_clock, desc, std::move(*storage), std::move(handlers));
    }

    void run(Duration duration)
    {
        m_timer.armAt(m_clock.now(), m_clock.now());
        m_duration = duration;
        m_loop.run();
        auto perSecond = [&](auto it) { return static_cast<uint64_t>(static_cast<double>(it) / std::chrono::duration<double>(duration).count()); };
        auto micros = [&](Duration it) { return perSecond(std::chrono::duration_cast<std::chrono::microseconds>(it).count()); };
        auto leader = processCpuTime() - m_startedAt - m_followerTime;
        std::sort(m_commitTimes.begin(), m_commitTimes.end());
        auto quantile = [&](size_t percent) { return std::chrono::duration_cast<std::chrono::microseconds>(m_commitTimes[(m_commitTimes.size() - 1) * percent / 100]).count(); };
        std::cout << "commands/s=" << perSecond(m_batcher.commandCount() - m_commandsBefore) << " entries/s=" << perSecond(m_batcher.entryCount() - m_entriesBefore)
                  << " frames-out/s=" << perSecond(m_framesOut) << " bytes-out/s=" << perSecond(m_bytesOut) << " frames-in/s=" << perSecond(m_framesIn) << " syncs/s=" << perSecond(m_disk.syncs - m_syncsBefore)
                  << "\nleader-us/s=" << micros(leader) << " encode-us/s=" << micros(m_encodeTime) << " decode-us/s=" << micros(m_decodeTime) << " apply-us/s=" << micros(m_applyTime) << " batch-us/s=" << micros(m_batchTime)
                  << "\ncommit-us p50=" << quantile(50) << " p99=" << quantile(99) << " max=" << quantile(100) << " jobs=" << m_store.jobs().size() << '\n';
    }

private:
    struct Delivery {
        TimePoint at;
        std::string to;
        std::string frame;
    };

    void send(Message message)
    {
        auto before = processCpuTime();
        auto to = message.to;
        auto frame = node::encode(node::RaftMessages { encodeMessages({ std::move(message) }) });
        m_encodeTime += processCpuTime() - before;
        m_framesOut++;
        m_bytesOut += frame.size();
        queue(to, std::move(frame));
    }

    void queue(const std::string& to, std::string frame)
    {
        m_queue.push_back({ m_clock.now() + oneWayDelay, to, std::move(frame) });
        if (m_queue.size() == 1)
            m_network.armAt(m_queue.front().at, m_clock.now());
    }

    static std::vector<Message> decode(const std::string& frame)
    {
        auto message = node::decode(frame);
        return *decodeMessages(std::get<node::RaftMessages>(*message).bytes);
    }

    void deliver()
    {
        auto now = m_clock.now();
        while (!m_queue.empty() && m_queue.front().at <= now) {
            auto next = std::move(m_queue.front());
            m_queue.pop_front();
            auto follower = m_followers.find(next.to);
            if (follower != m_followers.end())
                receiveAtFollower(*follower->second, next.frame);
            else
                receiveAtLeader(next.frame);
        }
        if (!m_queue.empty())
            m_network.armAt(m_queue.front().at, now);
    }

    void receiveAtLeader(const std::string& frame)
    {
        m_framesIn++;
        auto before = processCpuTime();
        auto messages = decode(frame);
        m_decodeTime += processCpuTime() - before;
        for (auto& it : messages)
            m_driver->receive(std::move(it));
    }

    void receiveAtFollower(RaftCore& core, const std::string& frame)
    {
        auto before = processCpuTime();
        for (auto& message : decode(frame)) {
            auto actions = core.step(std::move(message), m_clock.now());
            (void)core.step(Persisted { core.lastIndex() }, m_clock.now());
            for (auto& it : actions) {
                if (auto* reply = std::get_if<Send>(&it))
                    queue(reply->message.to, node::encode(node::RaftMessages { encodeMessages({ std::move(reply->message) }) }));
            }
        }
        m_followerTime += processCpuTime() - before;
    }

    void propose(const jobs::Command& command)
    {
        auto before = processCpuTime();
        m_batcher.propose(command, [this, at = m_clock.now()](bool) { m_commitTimes.push_back(m_clock.now() - at); });
        m_batchTime += processCpuTime() - before;
    }

    void tick()
    {
        auto now = m_clock.now();
        if (m_driver->isReadyLeader()) {
            if (m_ticks == 0) {
                jobs::Endpoint endpoint;
                endpoint.id = "e";
                endpoint.address = "10.1.0.1:80";
                m_batcher.propose(jobs::PutEndpoint { endpoint });
            }
            if (m_ticks == warmUpTicks)
                startMeasuring();
            if (m_ticks > warmUpTicks && now >= m_endsAt)
                return m_loop.stop();
            load();
            m_ticks++;
        }
        m_nextTickAt = std::max(m_nextTickAt + tickInterval, now - maxTickDelay);
        m_timer.armAt(m_nextTickAt, now);
    }

    void startMeasuring()
    {
        m_endsAt = m_clock.now() + m_duration;
        m_startedAt = processCpuTime();
        m_followerTime = m_encodeTime = m_decodeTime = m_applyTime = m_batchTime = {};
        m_framesOut = m_framesIn = m_bytesOut = 0;
        m_entriesBefore = m_batcher.entryCount();
        m_commandsBefore = m_batcher.commandCount();
        m_syncsBefore = m_disk.syncs;
        m_commitTimes.clear();
    }

    void load()
    {
        if (m_ticks % m_ticksPerJob == 0)
            putJob();
        if (m_ticks % ticksPerPlacement == 0)
            placeRuns();
        endRuns();
    }

    void putJob()
    {
        jobs::JobSpec spec;
        spec.id = "job-" + std::to_string(m_jobs++);
        spec.payload = std::string(400, 'x');
        spec.steps.emplace_back().taskCount = tasksPerJob;
        propose(jobs::PutJob { spec, "workspace", "queue", 1 });
    }

    /// @returns the first run of the number-th task that was submitted.
    static jobs::RunKey runOf(uint64_t number) { return { { number / tasksPerJob + 1, 0, 0, static_cast<uint32_t>(number % tasksPerJob) }, 1 }; }

    void placeRuns()
    {
        jobs::PlaceRuns placed;
        while (m_placed + tasksPerPhase < m_jobs * tasksPerJob)
            placed.runs.push_back({ runOf(m_placed++), "e" });
        if (!placed.runs.empty())
            propose(placed);
    }

    void endRuns()
    {
        while (m_ended + tasksPerPhase < m_placed)
            propose(jobs::EndRuns { { { runOf(m_ended++), jobs::RunEnd::Done, "" } }, 1 });
    }

    uint64_t m_ticksPerJob;
    net::EventLoop m_loop;
    SystemClock m_clock;
    SimulatedDisk m_disk;
    jobs::JobStore m_store;
    node::CommandBatcher m_batcher;
    std::unique_ptr<LogDriver> m_driver;
    std::map<std::string, std::unique_ptr<RaftCore>> m_followers;
    std::deque<Delivery> m_queue;
    uint64_t m_ticks = 0;
    uint64_t m_jobs = 0;
    uint64_t m_placed = 0;
    uint64_t m_ended = 0;
    TimePoint m_nextTickAt;
    TimePoint m_endsAt;
    Duration m_duration {};
    Duration m_startedAt {};
    Duration m_followerTime {};
    Duration m_encodeTime {};
    Duration m_decodeTime {};
    Duration m_applyTime {};
    Duration m_batchTime {};
    uint64_t m_framesOut = 0;
    uint64_t m_framesIn = 0;
    uint64_t m_bytesOut = 0;
    uint64_t m_entriesBefore = 0;
    uint64_t m_commandsBefore = 0;
    uint64_t m_syncsBefore = 0;
    std::vector<Duration> m_commitTimes;
    net::Timer m_timer;
    net::Timer m_network;
};

} // namespace

/// Prints the cost of the replicated log for a leader that receives a job every N milliseconds (first argument, by default 2).
int main(int argc, char** argv)
{
    Bench(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 2).run(measuredDuration);
    return 0;
}
