#include "controller_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace vanillalift::node {

using namespace raft;

namespace {

    /// Storage id of the disks that form the group, which are empty and are told each other's addresses.
    constexpr const char* foundingStorageId = "founding";
    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds joinInterval { 400 };
    constexpr std::chrono::milliseconds housekeepingInterval { 500 };
    /// Longest time for handing the lead over before the process ends.
    constexpr std::chrono::milliseconds stopWait { 1500 };

    std::string newStorageId()
    {
        std::array<unsigned char, 8> bytes {};
        CHECK_EQ(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())), 1);
        std::string text;
        for (auto it : bytes) {
            text += "0123456789abcdef"[it >> 4U];
            text += "0123456789abcdef"[it & 15U];
        }
        return text;
    }

    uint64_t seedOf(const std::string& name)
    {
        return std::hash<std::string>()(name) ^ static_cast<uint64_t>(BootClock::now().time_since_epoch().count());
    }

} // namespace

StorageResult<RaftStorage> openStorage(Disk& disk, const ControllerDesc& desc)
{
    bool isFounder = desc.isFirstStart && std::find(desc.seeds.begin(), desc.seeds.end(), desc.name) != desc.seeds.end();
    auto storage = RaftStorage::open(disk, isFounder ? foundingStorageId : newStorageId());
    if (!storage)
        return storage;
    const auto& recovered = storage->recovered();
    if (!isFounder || recovered.storageId != foundingStorageId || !recovered.entries.empty() || recovered.snapshot.index != 0)
        return storage;
    auto seeds = desc.seeds;
    std::sort(seeds.begin(), seeds.end());
    ReplicaMembers members;
    for (const auto& it : seeds)
        members.push_back({ it, foundingStorageId, true });
    Persist persist;
    persist.hardState = HardState { 1, "" };
    persist.entries.push_back({ 1, 1, EntryKind::Members, encodeMembers(members) });
    if (auto result = storage->write(persist); !result)
        return tl::unexpected(result.error());
    if (auto result = storage->sync(); !result)
        return tl::unexpected(result.error());
    return RaftStorage::open(disk, foundingStorageId);
}

Controller::Controller(net::EventLoop& loop, const Clock& clock, EventLog& log, ControllerDesc desc, ControllerPeers peers, RaftStorage storage)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_desc(std::move(desc))
    , m_peers(peers)
    , m_load(clock)
    , m_storageId(storage.recovered().storageId)
    , m_leaderClient(loop, clock, log, { { m_desc.name, m_desc.availabilityZone, m_storageId }, m_desc.seeds, [this](Request request, std::function<void(Reply)> respond) { handleLocal(std::move(request), std::move(respond)); } })
    , m_batcher(loop, clock, [this](std::string entry) { return m_driver->propose(std::move(entry)); })
    , m_timer(loop, [this] { tick(); })
    , m_listener(loop, m_desc.listen.value_or(net::parseAddress(m_desc.name).value_or(net::Address {})), [this](evutil_socket_t fd) { accept(fd); })
{
    LogDriver::Handlers handlers;
    handlers.send = [this](raft::Message message) { sendRaft(std::move(message)); };
    handlers.readArrived = [this] { readArrived(); };
    handlers.apply = [this](uint64_t, std::string_view command) {
        LoadMeter::Span span(m_load, LoopPart::Apply);
        m_store.apply(command);
    };
    handlers.restore = [this](std::string_view snapshot) {
        if (!snapshot.empty())
            m_store.restore(snapshot);
    };
    handlers.snapshot = [this] {
        LoadMeter::Span span(m_load, LoopPart::Snapshot);
        return m_store.snapshot();
    };
    handlers.resolve = [this](uint64_t number, LogDriver::Outcome outcome) { m_batcher.resolve(number, outcome.has_value()); };
    handlers.roleChanged = [this](const ReplicaStatus& status) { changeRole(status); };
    handlers.diskFull = [this](bool isFull) { m_log.stateLine(isFull ? "disk-full" : "disk-has-room"); };
    handlers.failed = [this](const StorageError& error) {
        m_log.stateLine("storage-failed").field("error", describe(error));
        m_log.flush();
        LOG(ERROR) << "the replica's storage failed: " << describe(error);
        m_loop.stop();
    };
    LogDriver::Desc driverDesc;
    driverDesc.core.name = m_desc.name;
    driverDesc.core.electionBase = config::controlElection;
    driverDesc.core.seed = seedOf(m_desc.name);
    driverDesc.core.voterSilence = config::replicaSilence;
    driverDesc.snapshotEveryBytes = config::snapshotEveryBytes;
    m_driver = std::make_unique<LogDriver>(loop, clock, std::move(driverDesc), std::move(storage), std::move(handlers));
    for (const auto& it : m_driver->core().status().members)
        m_leaderClient.keepLink(it.name);
    m_nextTickAt = clock.now();
    m_timer.armAt(m_nextTickAt, m_nextTickAt);
}

Controller::~Controller() { dropLead(); }

void Controller::call(Request request, TimePoint deadline, LeaderClient::Handler handler)
{
    m_leaderClient.call(std::move(request), deadline, deadline, std::move(handler));
}

void Controller::stop(std::function<void()> done)
{
    m_onStopped = std::move(done);
    m_stopBy = m_clock.now() + stopWait;
    m_driver->transfer();
}

void Controller::accept(evutil_socket_t fd)
{
    auto id = ++m_lastInbound;
    net::FrameLink::Handlers handlers;
    handlers.onFrame = [this, id](std::string_view frame) { receive(id, frame); };
    handlers.onClosed = [this, id] {
        auto it = m_inbound.find(id);
        if (it == m_inbound.end())
            return;
        m_retired.push_back(std::move(it->second.link));
        m_inbound.erase(it);
    };
    m_inbound[id].link = std::make_unique<net::FrameLink>(m_loop, fd, std::move(handlers));
}

void Controller::receive(uint64_t id, std::string_view frame)
{
    LoadMeter::Span span(m_load, LoopPart::Links);
    auto message = decode(frame);
    auto it = m_inbound.find(id);
    if (!message || it == m_inbound.end())
        return;
    if (auto* hello = std::get_if<Hello>(&*message)) {
        it->second.hello = *hello;
        if (!hello->name.empty())
            m_leaderClient.keepLink(hello->name);
        it->second.link->send(encode(status()));
    } else if (auto* log = std::get_if<LogMessages>(&*message)) {
        auto messages = decodeMessages(log->bytes);
        if (!messages)
            return;
        for (auto& raft : *messages)
            m_driver->receive(std::move(raft));
    } else if (auto* call = std::get_if<Call>(&*message)) {
        answerCall(id, std::move(*call));
    }
}

void Controller::readArrived()
{
    std::vector<uint64_t> links;
    for (const auto& [id, it] : m_inbound)
        links.push_back(id);
    for (auto id : links) {
        auto it = m_inbound.find(id);
        if (it != m_inbound.end())
            it->second.link->readPendingInput();
    }
}

void Controller::answerCall(uint64_t link, Call call)
{
    handleLocal(std::move(call.request), [this, link, id = call.id](const Reply& reply) {
        auto it = m_inbound.find(link);
        if (it != m_inbound.end())
            it->second.link->send(encode(Answer { id, reply }));
    });
}

void Controller::handleLocal(Request request, std::function<void(Reply)> respond)
{
    if (m_service)
        return m_service->handle(std::move(request), std::move(respond));
    Reply reply;
    reply.status = ReplyStatus::NotLeader;
    respond(reply);
}

Status Controller::status() const
{
    auto status = m_driver->core().status();
    Status said { status.term, mayLead() && m_service, status.leader, {} };
    for (const auto& it : status.members)
        said.members.push_back(it.name);
    return said;
}

bool Controller::mayLead() const { return m_driver->isReadyLeader() && m_clock.now() - m_driver->core().quorumContactAt() < config::leaderContact; }

void Controller::sendStatus()
{
    m_nextStatusAt = m_clock.now() + config::linkStatusInterval;
    auto bytes = encode(status());
    for (auto& [id, it] : m_inbound)
        it.link->send(bytes);
}

void Controller::sendRaft(raft::Message message)
{
    auto to = message.to;
    m_leaderClient.keepLink(to);
    m_leaderClient.send(to, LogMessages { encodeMessages({ std::move(message) }) });
}

void Controller::changeRole(const ReplicaStatus& status)
{
    m_log.stateLine("role").field("role", replicaRoleName(status.role)).field("term", status.term).field("leader", status.leader).field("commit", status.commitIndex).field("last", status.lastIndex);
    bool isSameTerm = m_leadTerm == status.term;
    if (m_service && (!m_driver->isLeader() || !isSameTerm))
        dropLead();
    if (m_driver->isReadyLeader() && !m_service)
        takeLead(status);
    sendStatus();
}

void Controller::takeLead(const ReplicaStatus& status)
{
    m_takeovers++;
    m_leadTerm = status.term;
    m_loggedStats = {};
    m_log.stateLine("lead").field("term", status.term).field("jobs", m_store.jobs().size()).field("endpoints", m_store.endpoints().size()).field("config", m_store.catalog().version);
    jobs::DispatcherDesc desc;
    desc.term = status.term;
    desc.propose = [this](const jobs::Command& command) { m_batcher.propose(command); };
    desc.leaderContactAt = [this] { return m_driver->core().quorumContactAt(); };
    desc.maxLease = m_desc.maxLease;
    desc.stopTimeout = m_desc.stopTimeout;
    m_dispatcher = std::make_unique<jobs::Dispatcher>(std::move(desc), m_store, m_clock, *m_peers.endpoints, *m_peers.advice, m_log);
    m_keeper = std::make_unique<jobs::InstanceKeeper>(
        m_desc.instances, status.term, m_store, *m_dispatcher, *m_peers.instances, [this](const jobs::Command& command) { m_batcher.propose(command); }, m_clock, m_log);
    JobService::Desc serviceDesc { [this] { return mayLead(); }, [this](const JoinRequest& request) { admit(request); } };
    m_service = std::make_unique<JobService>(std::move(serviceDesc), m_store, *m_dispatcher, m_batcher, m_clock, m_log);
    m_leaderClient.setLocalLeader(true, status.term);
}

void Controller::dropLead()
{
    if (!m_service)
        return;
    m_log.stateLine("lead-lost").field("term", m_leadTerm);
    m_service.reset();
    m_keeper.reset();
    m_dispatcher.reset();
    m_loggedStats = {};
    m_leaderClient.setLocalLeader(false, 0);
}

void Controller::tick()
{
    auto now = m_clock.now();
    m_load.noteTick(m_nextTickAt);
    m_retired.clear();
    if (m_dispatcher) {
        {
            LoadMeter::Span span(m_load, LoopPart::Serve);
            m_dispatcher->serveEndpoints();
        }
        {
            LoadMeter::Span span(m_load, LoopPart::Place);
            m_dispatcher->placeTasks();
        }
        LoadMeter::Span span(m_load, LoopPart::Instances);
        m_keeper->tick();
    }
    if (now >= m_nextStatusAt)
        sendStatus();
    if (now >= m_nextJoinAt)
        joinGroup();
    if (now >= m_nextHousekeepingAt && mayLead()) {
        m_nextHousekeepingAt = now + housekeepingInterval;
        removeReplaced();
        forgetJobs();
    }
    if (now >= m_nextLoadLineAt)
        logLoad();
    m_log.flush();
    if (m_onStopped && ((!m_driver->isLeader() && !m_driver->hasUnwritten()) || now >= m_stopBy))
        return std::exchange(m_onStopped, nullptr)();
    m_nextTickAt = now + tickInterval;
    m_timer.armAt(m_nextTickAt, now);
}

void Controller::logLoad()
{
    m_nextLoadLineAt = m_clock.now() + config::loadLineInterval;
    auto load = m_load.take();
    auto commit = m_batcher.takeWorstCommit();
    if (!m_dispatcher && load.worstLateness < config::lateTick)
        return;
    auto inMs = [](Duration it) { return std::chrono::duration_cast<std::chrono::milliseconds>(it).count(); };
    auto part = [&](LoopPart it) { return inMs(load.parts.at(static_cast<size_t>(it))); };
    auto stats = m_dispatcher ? m_dispatcher->stats() : jobs::DispatcherStats {};
    auto calls = m_peers.endpoints->stats();
    const auto& before = m_loggedStats;
    m_log.stateLine("load")
        .field("late-ms", inMs(load.worstLateness))
        .field("cpu-ms", inMs(load.processorTime))
        .field("serve-ms", part(LoopPart::Serve))
        .field("place-ms", part(LoopPart::Place))
        .field("instances-ms", part(LoopPart::Instances))
        .field("apply-ms", part(LoopPart::Apply))
        .field("links-ms", part(LoopPart::Links))
        .field("snapshot-ms", part(LoopPart::Snapshot))
        .field("commit-ms", inMs(commit))
        .field("placed", stats.placements - before.placements)
        .field("trials", stats.placementTrials - before.placementTrials)
        .field("done", stats.runsDone - before.runsDone)
        .field("lost", stats.runsLost - before.runsLost)
        .field("starts", stats.startsSent - before.startsSent)
        .field("starts-unanswered", stats.startsUnanswered - before.startsUnanswered)
        .field("holds", stats.holdsSent - before.holdsSent)
        .field("holds-unanswered", stats.holdsUnanswered - before.holdsUnanswered)
        .field("connects", calls.connects - m_loggedCalls.connects)
        .field("expired", calls.expired - m_loggedCalls.expired)
        .field("expired-late", calls.expiredLate - m_loggedCalls.expiredLate)
        .field("ready", stats.readyTasks)
        .field("live", stats.liveRuns)
        .field("open-jobs", stats.openJobs);
    m_loggedStats = stats;
    m_loggedCalls = calls;
}

void Controller::joinGroup()
{
    auto now = m_clock.now();
    m_nextJoinAt = now + joinInterval;
    if (m_onStopped)
        return;
    auto status = m_driver->core().status();
    auto own = std::find_if(status.members.begin(), status.members.end(), [this](const auto& it) { return it.name == m_desc.name; });
    bool isMember = own != status.members.end() && own->storageId == m_storageId;
    bool isNoted = m_store.replicas().contains(m_desc.name);
    // A member that was removed while it could not be reached hears from no leader.
    bool isHeard = !status.leader.empty();
    if (isMember && isNoted && isHeard)
        return;
    m_leaderClient.call(JoinRequest { m_desc.name, m_storageId, m_desc.availabilityZone }, now + joinInterval, now + joinInterval, [](const LeaderClient::Outcome&) {});
}

void Controller::admit(const JoinRequest& request)
{
    m_leaderClient.keepLink(request.name);
    auto status = m_driver->core().status();
    auto known = std::find_if(status.members.begin(), status.members.end(), [&](const auto& it) { return it.name == request.name; });
    if (!m_store.replicas().contains(request.name)) {
        // The first members note themselves while the group forms; whoever comes later may take another one's place.
        bool isSuccessor = known == status.members.end() && m_store.catalog().version != 0;
        m_batcher.propose(jobs::PutReplica { request.name, request.availabilityZone, isSuccessor });
    }
    if (known != status.members.end() && known->storageId == request.storageId)
        return;
    m_log.stateLine("admit").field("name", request.name).field("storage", request.storageId).field("zone", request.availabilityZone).field("known", known != status.members.end());
    m_driver->replaceMember(request.name, request.storageId);
}

void Controller::removeReplaced()
{
    auto now = m_clock.now();
    auto status = m_driver->core().status();
    auto isSilent = [&](const std::string& name) { return name != m_desc.name && now - m_driver->core().heardAt(name) > config::replicaSilence; };
    for (const auto& lost : status.members) {
        auto note = m_store.replicas().find(lost.name);
        if (note == m_store.replicas().end() || !isSilent(lost.name))
            continue;
        bool hasSuccessor = std::any_of(status.members.begin(), status.members.end(), [&](const auto& it) {
            auto other = m_store.replicas().find(it.name);
            return it.name != lost.name && (it.isVoter || !lost.isVoter) && other != m_store.replicas().end() && other->second.isSuccessor
                && other->second.availabilityZone == note->second.availabilityZone && !isSilent(it.name);
        });
        if (!hasSuccessor)
            continue;
        m_log.stateLine("remove-replica").field("name", lost.name).field("zone", note->second.availabilityZone);
        m_driver->removeMember(lost.name);
        return;
    }
}

void Controller::forgetJobs()
{
    auto keptMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_desc.retention + config::retentionMargin).count();
    auto ids = m_store.finishedBefore(wallClockMs() - keptMs, config::maxForgottenPerCommand);
    if (!ids.empty())
        m_batcher.propose(jobs::ForgetJobs { std::move(ids) });
}

void Controller::visitMetrics(const std::function<void(std::string_view name, std::string_view help, double value)>& visit) const
{
    auto status = m_driver->core().status();
    visit("term", "Term of the replicated log.", static_cast<double>(status.term));
    visit("is_leader", "1 while this controller leads.", m_service ? 1 : 0);
    visit("commit_index", "Entries committed.", static_cast<double>(status.commitIndex));
    visit("members", "Controllers in the group.", static_cast<double>(status.members.size()));
    visit("takeovers_total", "Times that this controller took the lead.", static_cast<double>(m_takeovers));
    visit("log_entries_total", "Entries proposed by this controller.", static_cast<double>(m_batcher.entries()));
    visit("log_commands_total", "Commands proposed by this controller.", static_cast<double>(m_batcher.commands()));
    visit("jobs", "Jobs on record.", static_cast<double>(m_store.jobs().size()));
    visit("endpoints", "Endpoints on record.", static_cast<double>(m_store.endpoints().size()));
    visit("config_version", "Version of the configuration in force.", static_cast<double>(m_store.catalog().version));
    visit("log_lines_dropped_total", "Log lines dropped because of their rate or a slow reader.", static_cast<double>(m_log.dropped()));
    visit("processor_seconds_total", "Processor time of this process.", std::chrono::duration<double>(LoadMeter::processorTime()).count());
    visit("late_ticks_total", "Ticks of the event loop that ran 0.1 s late or more.", static_cast<double>(m_load.lateTicks()));
    auto calls = m_peers.endpoints->stats();
    visit("endpoint_connects_total", "Connections opened to endpoints.", static_cast<double>(calls.connects));
    visit("endpoint_calls_answered_total", "Calls of endpoints that were answered.", static_cast<double>(calls.answered));
    visit("endpoint_calls_expired_total", "Calls of endpoints without an answer by their deadline.", static_cast<double>(calls.expired));
    visit("endpoint_calls_expired_late_total", "Those of them whose deadline this process noticed 0.1 s late or more.", static_cast<double>(calls.expiredLate));
    if (!m_dispatcher)
        return;
    auto stats = m_dispatcher->stats();
    visit("starts_sent_total", "Orders to start sent in this term.", static_cast<double>(stats.startsSent));
    visit("starts_refused_total", "Orders to start refused in this term.", static_cast<double>(stats.startsRefused));
    visit("starts_unanswered_total", "Orders to start without an answer in this term.", static_cast<double>(stats.startsUnanswered));
    visit("stops_sent_total", "Orders to stop sent in this term.", static_cast<double>(stats.stopsSent));
    visit("holds_sent_total", "Status requests sent in this term.", static_cast<double>(stats.holdsSent));
    visit("holds_unanswered_total", "Status requests without an answer in this term.", static_cast<double>(stats.holdsUnanswered));
    visit("runs_done_total", "Runs that ended as done in this term.", static_cast<double>(stats.runsDone));
    visit("runs_failed_total", "Runs that failed in this term.", static_cast<double>(stats.runsFailed));
    visit("runs_lost_total", "Runs whose endpoint or lease ended in this term.", static_cast<double>(stats.runsLost));
    visit("placements_total", "Tasks placed in this term.", static_cast<double>(stats.placements));
    visit("placement_trials_total", "Endpoints weighed for tasks in this term, also in vain.", static_cast<double>(stats.placementTrials));
    visit("ready_tasks", "Tasks that wait for room.", static_cast<double>(stats.readyTasks));
    visit("live_runs", "Runs that hold capacity.", static_cast<double>(stats.liveRuns));
    visit("open_jobs", "Jobs that are not finished.", static_cast<double>(stats.openJobs));
}

} // namespace vanillalift::node
