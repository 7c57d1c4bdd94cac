#include "controller_p.h"

#include "core/event_log_p.h"
#include "heartbeat_route_p.h"
#include "shutdown_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace vanillalift::node {

using namespace raft;

namespace {

    /// Storage id of the initial members: their disks are empty, and they know each other's addresses from the settings.
    constexpr const char* initialStorageId = "founding";
    /// Term of the entry with the initial members, before the first election.
    constexpr uint64_t initialTerm = 1;
    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds joinInterval { 400 };
    /// Short compared to an election: a new leader starts nothing on an endpoint before it has a heartbeat of it.
    constexpr std::chrono::milliseconds heartbeatRepeatInterval { 50 };
    constexpr std::chrono::milliseconds housekeepingInterval { 500 };

    std::string generateStorageId()
    {
        std::array<unsigned char, 8> bytes {};
        CHECK_EQ(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())), 1);
        std::string id;
        for (auto it : bytes) {
            id += "0123456789abcdef"[it >> 4U];
            id += "0123456789abcdef"[it & 15U];
        }
        return id;
    }

    uint64_t randomSeed(const std::string& name)
    {
        return std::hash<std::string>()(name) ^ static_cast<uint64_t>(BootClock::now().time_since_epoch().count());
    }

    /// Sets the damaged state in the folder aside and opens it as empty, under an id to which no earlier vote or acknowledgement applies.
    StorageResult<RaftStorage> openEmptied(Disk& disk, const StorageError& damage, EventLog& log)
    {
        log.stateLine("storage-set-aside").field("error", describe(damage));
        log.flush();
        if (auto result = RaftStorage::setAside(disk); !result)
            return tl::unexpected(result.error());
        return RaftStorage::open(disk, generateStorageId());
    }

} // namespace

StorageResult<RaftStorage> openStorage(Disk& disk, const ControllerDesc& desc, EventLog& log)
{
    auto setAside = disk.setAsideState();
    if (!setAside)
        return tl::unexpected(setAside.error());
    if (*setAside == SetAsideState::Interrupted)
        return openEmptied(disk, { StorageErrorCode::Corrupted, desc.dataFolder, "an earlier start was interrupted while it set files aside" }, log);
    // A folder from which files were set aside is not new: its group exists.
    bool isInitialMember = desc.isFirstStart && *setAside == SetAsideState::Never && std::find(desc.seeds.begin(), desc.seeds.end(), desc.name) != desc.seeds.end();
    auto storage = RaftStorage::open(disk, isInitialMember ? initialStorageId : generateStorageId());
    if (!storage && storage.error().code == StorageErrorCode::Corrupted)
        return openEmptied(disk, storage.error(), log);
    if (!storage)
        return storage;
    const auto& recovered = storage->recovered();
    if (recovered.storageId != initialStorageId || !recovered.entries.empty() || recovered.snapshot.index != 0)
        return storage;
    if (recovered.hardState.term > initialTerm)
        return openEmptied(disk, { StorageErrorCode::Corrupted, desc.dataFolder, "the log of a founding member is empty in term " + std::to_string(recovered.hardState.term) }, log);
    if (!isInitialMember)
        return storage;
    auto seeds = desc.seeds;
    std::sort(seeds.begin(), seeds.end());
    ReplicaMembers members;
    for (const auto& it : seeds)
        members.push_back({ it, initialStorageId, true });
    Persist persist;
    persist.hardState = HardState { initialTerm, "" };
    persist.entries.push_back({ 1, initialTerm, EntryKind::Members, encodeMembers(members) });
    if (auto result = storage->write(persist); !result)
        return tl::unexpected(result.error());
    if (auto result = storage->sync(); !result)
        return tl::unexpected(result.error());
    return RaftStorage::open(disk, initialStorageId);
}

Controller::Controller(net::EventLoop& loop, const Clock& clock, EventLog& log, ControllerDesc desc, ControllerDependencies dependencies, RaftStorage storage)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_desc(std::move(desc))
    , m_dependencies(dependencies)
    , m_demand(m_store, clock, m_desc.features.learnedRunTimes)
    , m_loadMeter(clock)
    , m_storageId(storage.recovered().storageId)
    , m_leaderClient(loop, clock, log, { { m_desc.name, m_desc.availabilityZone, m_storageId }, m_desc.seeds, [this](Request request, std::function<void(Reply)> respond) { handleLocal(std::move(request), std::move(respond)); } })
    , m_batcher(loop, clock, [this](std::string entry) { return m_driver->propose(std::move(entry)); })
    , m_timer(loop, [this] { tick(); })
    , m_listener(loop, m_desc.listen.value_or(net::parseAddress(m_desc.name).value_or(net::Address {})), [this](evutil_socket_t fd) { accept(fd); })
{
    m_store.setJobListener([this](const jobs::Job& job) { m_demand.add(job); });
    LogDriver::Handlers handlers;
    handlers.send = [this](raft::Message message) { sendRaftMessage(std::move(message)); };
    handlers.readPendingMessages = [this] { readPendingMessages(); };
    handlers.apply = [this](uint64_t, std::string_view command) {
        LoadMeter::Span span(m_loadMeter, LoopActivity::Apply);
        m_store.apply(command);
    };
    handlers.restore = [this](std::string_view snapshot) {
        if (!snapshot.empty())
            m_store.restore(snapshot);
    };
    handlers.snapshot = [this] {
        LoadMeter::Span span(m_loadMeter, LoopActivity::Snapshot);
        return m_store.snapshot();
    };
    handlers.resolve = [this](uint64_t proposal, LogDriver::Outcome outcome) { m_batcher.resolve(proposal, outcome.has_value()); };
    handlers.roleChanged = [this](const ReplicaStatus& status) { handleRoleChange(status); };
    handlers.outOfResources = [this](const StorageError& error) { m_log.stateLine("disk-full").field("error", describe(error)); };
    handlers.resourcesAvailable = [this] { m_log.stateLine("disk-has-room"); };
    handlers.failed = [this](const StorageError& error) {
        m_hasStorageFailed = true;
        m_log.stateLine("storage-failed").field("error", describe(error));
        m_log.flush();
        LOG(ERROR) << "replica storage failed, stopping: " << describe(error);
        m_loop.stop();
    };
    LogDriver::Desc driverDesc;
    driverDesc.core.name = m_desc.name;
    driverDesc.core.minElectionTimeout = config::controlElectionTimeout;
    driverDesc.core.seed = randomSeed(m_desc.name);
    driverDesc.core.voterReplacementTimeout = config::replicaTimeout;
    driverDesc.snapshotIntervalBytes = config::snapshotIntervalBytes;
    m_driver = std::make_unique<LogDriver>(loop, clock, std::move(driverDesc), std::move(storage), std::move(handlers));
    for (const auto& it : m_driver->core().status().members)
        m_leaderClient.maintainLink(it.name);
    m_nextTickAt = clock.now();
    m_timer.armAt(m_nextTickAt, m_nextTickAt);
}

Controller::~Controller() { stepDown(); }

void Controller::call(Request request, TimePoint deadline, LeaderClient::Handler handler)
{
    if (const auto* heartbeat = std::get_if<HeartbeatRequest>(&request))
        m_heartbeats.add(*heartbeat, m_clock.now(), m_leaderClient.hasLeader() ? m_leaderClient.leaderTerm() : 0);
    else if (const auto* deregistration = std::get_if<DeregisterRequest>(&request))
        m_heartbeats.remove(deregistration->endpointId);
    m_leaderClient.call(std::move(request), deadline, deadline, std::move(handler));
}

void Controller::repeatHeartbeats()
{
    auto now = m_clock.now();
    m_nextRepeatAt = now + heartbeatRepeatInterval;
    m_heartbeats.prune(now - m_desc.maxCapacityReportAge);
    if (!m_leaderClient.hasLeader())
        return;
    auto term = m_leaderClient.leaderTerm();
    auto count = m_heartbeats.sendOnce(term, [&](const HeartbeatRequest& request) {
        // The record of a new endpoint may not have arrived here yet.
        const auto* recorded = m_store.findEndpoint(request.endpoint.id);
        if (!recorded || recorded->startedAtMs != request.endpoint.startedAtMs)
            return false;
        m_leaderClient.call(request, now + config::leaderWaitTimeout, now + config::leaderWaitTimeout, [](const LeaderClient::Outcome&) {});
        return true;
    });
    if (count > 0)
        m_log.stateLine("heartbeats-repeated").field("term", term).field("endpoints", count);
}

std::string Controller::heartbeatReceiver(std::string_view availabilityZone, std::string_view endpointId) const
{
    std::vector<HeartbeatReceiver> receivers;
    for (const auto& it : m_driver->core().status().members) {
        bool isUsable = it.name == m_desc.name ? !m_isStopping : m_leaderClient.isStaying(it.name);
        if (!isUsable || it.name == m_leaderClient.leader())
            continue;
        auto info = m_store.replicas().find(it.name);
        receivers.push_back({ it.name, info == m_store.replicas().end() ? "" : info->second.availabilityZone });
    }
    auto chosen = chooseHeartbeatReceiver(receivers, availabilityZone, endpointId);
    return chosen.empty() ? m_leaderClient.leader() : std::string(chosen);
}

void Controller::beginStop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_handOverDeadline = m_clock.now() + controllerShutdown.stopAccepting;
    handOver();
    sendStatus();
}

void Controller::handOver()
{
    std::vector<std::string> avoid;
    for (const auto& it : m_driver->core().status().members) {
        if (it.name != m_desc.name && !m_leaderClient.isStaying(it.name))
            avoid.push_back(it.name);
    }
    m_driver->leave(std::move(avoid));
}

bool Controller::hasHandedOver() const
{
    if (!m_isStopping)
        return false;
    if (m_clock.now() >= m_handOverDeadline)
        return true;
    if (!m_driver->isLeader())
        return !m_driver->hasPendingWrites();
    auto members = m_driver->core().status().members;
    return std::none_of(members.begin(), members.end(), [this](const auto& it) { return it.name != m_desc.name && it.isVoter && m_leaderClient.isStaying(it.name); });
}

void Controller::accept(evutil_socket_t fd)
{
    auto id = ++m_lastInboundLinkId;
    net::FrameLink::Handlers handlers;
    handlers.onFrame = [this, id](std::string_view frame) { receive(id, frame); };
    handlers.onClosed = [this, id] {
        auto it = m_inboundLinks.find(id);
        if (it == m_inboundLinks.end())
            return;
        m_closedLinks.push_back(std::move(it->second.link));
        m_inboundLinks.erase(it);
    };
    m_inboundLinks[id].link = std::make_unique<net::FrameLink>(m_loop, fd, std::move(handlers));
}

void Controller::receive(uint64_t id, std::string_view frame)
{
    LoadMeter::Span span(m_loadMeter, LoopActivity::Links);
    auto message = decode(frame);
    auto it = m_inboundLinks.find(id);
    if (!message || it == m_inboundLinks.end())
        return;
    if (auto* hello = std::get_if<Hello>(&*message)) {
        it->second.hello = *hello;
        if (!hello->name.empty())
            m_leaderClient.maintainLink(hello->name);
        it->second.link->send(encode(status()));
    } else if (auto* log = std::get_if<RaftMessages>(&*message)) {
        auto messages = decodeMessages(log->bytes);
        if (!messages)
            return;
        for (auto& raftMessage : *messages)
            m_driver->receive(std::move(raftMessage));
    } else if (auto* call = std::get_if<Call>(&*message)) {
        handleCall(id, std::move(*call));
    }
}

void Controller::readPendingMessages()
{
    std::vector<uint64_t> linkIds;
    for (const auto& [id, it] : m_inboundLinks)
        linkIds.push_back(id);
    for (auto id : linkIds) {
        auto it = m_inboundLinks.find(id);
        if (it != m_inboundLinks.end())
            it->second.link->readPendingInput();
    }
}

void Controller::handleCall(uint64_t linkId, Call call)
{
    handleLocal(std::move(call.request), [this, linkId, id = call.id](const Reply& reply) {
        auto it = m_inboundLinks.find(linkId);
        if (it != m_inboundLinks.end())
            it->second.link->send(encode(CallReply { id, reply }));
    });
}

void Controller::handleLocal(Request request, std::function<void(Reply)> respond)
{
    if (m_service)
        return m_service->handle(std::move(request), std::move(respond));
    Reply reply;
    reply.status = ReplyStatus::NotLeader;
    reply.isUnhandled = true;
    respond(reply);
}

ControllerStatus Controller::status() const
{
    auto replica = m_driver->core().status();
    ControllerStatus status { replica.term, hasLeaderAuthority() && m_service, replica.leader, {}, m_isStopping };
    for (const auto& it : replica.members)
        status.members.push_back(it.name);
    return status;
}

bool Controller::hasLeaderAuthority() const { return m_driver->isReadyLeader() && m_clock.now() - m_driver->core().lastQuorumContactAt() < config::quorumContactTimeout; }

TimePoint Controller::soleLeaderUntil() const
{
    // A leader that transfers its leadership causes an election at once.
    if (!m_driver->isReadyLeader() || m_isStopping)
        return {};
    return m_driver->core().lastQuorumContactAt() + config::controlElectionTimeout;
}

void Controller::sendStatus()
{
    m_nextStatusAt = m_clock.now() + config::linkStatusInterval;
    auto bytes = encode(status());
    for (auto& [id, it] : m_inboundLinks)
        it.link->send(bytes);
}

void Controller::sendRaftMessage(raft::Message message)
{
    auto recipient = message.to;
    m_leaderClient.maintainLink(recipient);
    m_leaderClient.send(recipient, RaftMessages { encodeMessages({ std::move(message) }) });
}

void Controller::handleRoleChange(const ReplicaStatus& status)
{
    m_log.stateLine("role").field("role", replicaRoleName(status.role)).field("term", status.term).field("leader", status.leader).field("commit", status.commitIndex).field("last", status.lastIndex);
    bool isSameTerm = m_leaderTerm == status.term;
    if (m_service && (!m_driver->isLeader() || !isSameTerm))
        stepDown();
    if (m_driver->isReadyLeader() && !m_service)
        becomeLeader(status);
    sendStatus();
}

void Controller::becomeLeader(const ReplicaStatus& status)
{
    m_leadershipCount++;
    m_leaderTerm = status.term;
    m_lastLoggedStats = {};
    m_log.stateLine("lead").field("term", status.term).field("jobs", m_store.jobs().size()).field("endpoints", m_store.endpoints().size()).field("config", m_store.catalog().version);
    jobs::DispatcherDesc desc;
    desc.term = status.term;
    desc.propose = [this](const jobs::Command& command) { m_batcher.propose(command); };
    desc.leaderConfirmedAt = [this] { return m_driver->core().lastQuorumContactAt(); };
    desc.maxLease = m_desc.maxLease;
    desc.stopTimeout = m_desc.stopTimeout;
    desc.maxCapacityReportAge = m_desc.maxCapacityReportAge;
    desc.features = m_desc.features;
    m_dispatcher = std::make_unique<jobs::Dispatcher>(std::move(desc), m_store, m_demand, m_clock, *m_dependencies.endpoints, *m_dependencies.advice, m_log);
    auto instances = m_desc.instances;
    instances.features = m_desc.features;
    m_instanceManager = std::make_unique<jobs::InstanceManager>(
        instances, status.term, m_store, *m_dispatcher, *m_dependencies.instances, [this](const jobs::Command& command) { m_batcher.propose(command); }, [this] { return soleLeaderUntil(); }, m_clock, m_log);
    JobService::Desc serviceDesc { [this] { return hasLeaderAuthority(); }, [this] { return m_clock.now() < soleLeaderUntil(); }, [this](const JoinRequest& request) { handleJoin(request); }, m_desc.features, m_desc.availabilityZones };
    m_service = std::make_unique<JobService>(std::move(serviceDesc), m_store, *m_dispatcher, m_batcher, m_clock, m_log);
    m_leaderClient.setLocalLeader(true, status.term);
}

void Controller::stepDown()
{
    if (!m_service)
        return;
    m_log.stateLine("lead-lost").field("term", m_leaderTerm);
    m_service.reset();
    m_instanceManager.reset();
    m_dispatcher.reset();
    m_lastLoggedStats = {};
    m_leaderClient.setLocalLeader(false, 0);
}

void Controller::tick()
{
    auto now = m_clock.now();
    m_loadMeter.recordTick(m_nextTickAt);
    m_closedLinks.clear();
    m_demand.update();
    if (m_dispatcher) {
        {
            LoadMeter::Span span(m_loadMeter, LoopActivity::UpdateEndpoints);
            m_dispatcher->updateEndpoints();
        }
        {
            LoadMeter::Span span(m_loadMeter, LoopActivity::PlaceTasks);
            m_dispatcher->placeTasks();
        }
        LoadMeter::Span span(m_loadMeter, LoopActivity::Instances);
        m_instanceManager->tick();
    }
    if (now >= m_nextStatusAt)
        sendStatus();
    if (now >= m_nextJoinAt)
        joinGroup();
    if (now >= m_nextRepeatAt)
        repeatHeartbeats();
    if (now >= m_nextHousekeepingAt && hasLeaderAuthority()) {
        m_nextHousekeepingAt = now + housekeepingInterval;
        removeReplacedReplica();
        purgeJobs();
    }
    if (now >= m_nextLoadLogAt)
        logLoad();
    m_log.flush();
    // A transfer fails if its target has ended or begun to stop meanwhile.
    if (m_isStopping && m_driver->isLeader() && now < m_handOverDeadline)
        handOver();
    m_nextTickAt = now + tickInterval;
    m_timer.armAt(m_nextTickAt, now);
}

void Controller::logLoad()
{
    m_nextLoadLogAt = m_clock.now() + config::loadLogInterval;
    auto load = m_loadMeter.takeReport();
    auto commit = m_batcher.takeMaxCommitTime();
    if (!m_dispatcher && load.maxTickDelay < config::lateTickThreshold)
        return;
    auto toMs = [](Duration it) { return std::chrono::duration_cast<std::chrono::milliseconds>(it).count(); };
    auto activityMs = [&](LoopActivity it) { return toMs(load.activityTimes.at(static_cast<size_t>(it))); };
    auto stats = m_dispatcher ? m_dispatcher->stats() : jobs::DispatcherStats {};
    auto calls = m_dependencies.endpoints->stats();
    const auto& last = m_lastLoggedStats;
    m_log.stateLine("load")
        .field("late-ms", toMs(load.maxTickDelay))
        .field("cpu-ms", toMs(load.processorTime))
        .field("serve-ms", activityMs(LoopActivity::UpdateEndpoints))
        .field("place-ms", activityMs(LoopActivity::PlaceTasks))
        .field("instances-ms", activityMs(LoopActivity::Instances))
        .field("apply-ms", activityMs(LoopActivity::Apply))
        .field("links-ms", activityMs(LoopActivity::Links))
        .field("snapshot-ms", activityMs(LoopActivity::Snapshot))
        .field("commit-ms", toMs(commit))
        .field("placed", stats.placements - last.placements)
        .field("trials", stats.endpointsEvaluated - last.endpointsEvaluated)
        .field("done", stats.runsDone - last.runsDone)
        .field("lost", stats.runsLost - last.runsLost)
        .field("starts", stats.startsSent - last.startsSent)
        .field("starts-unanswered", stats.startsUnanswered - last.startsUnanswered)
        .field("holds", stats.statusRequestsSent - last.statusRequestsSent)
        .field("holds-unanswered", stats.statusRequestsUnanswered - last.statusRequestsUnanswered)
        .field("connects", calls.connects - m_lastLoggedCalls.connects)
        .field("expired", calls.expired - m_lastLoggedCalls.expired)
        .field("expired-late", calls.expiredLate - m_lastLoggedCalls.expiredLate)
        .field("endpoints", stats.endpoints)
        .field("silent", stats.endpointsSilent)
        .field("unreported", stats.endpointsUnreported)
        .field("ready", stats.readyTasks)
        .field("live", stats.liveRuns)
        .field("open-jobs", stats.openJobs);
    m_lastLoggedStats = stats;
    m_lastLoggedCalls = calls;
}

void Controller::joinGroup()
{
    auto now = m_clock.now();
    m_nextJoinAt = now + joinInterval;
    if (m_isStopping)
        return;
    auto status = m_driver->core().status();
    auto self = std::find_if(status.members.begin(), status.members.end(), [this](const auto& it) { return it.name == m_desc.name; });
    bool isMember = self != status.members.end() && self->storageId == m_storageId;
    bool isRecorded = m_store.replicas().contains(m_desc.name);
    // No leader contacts a member that was removed while it was unreachable, so a member without a leader asks to join too.
    bool hasLeader = !status.leader.empty();
    if (isMember && isRecorded && hasLeader)
        return;
    m_leaderClient.call(JoinRequest { m_desc.name, m_storageId, m_desc.availabilityZone }, now + joinInterval, now + joinInterval, [](const LeaderClient::Outcome&) {});
}

void Controller::handleJoin(const JoinRequest& request)
{
    m_leaderClient.maintainLink(request.name);
    auto status = m_driver->core().status();
    auto member = std::find_if(status.members.begin(), status.members.end(), [&](const auto& it) { return it.name == request.name; });
    if (!m_store.replicas().contains(request.name)) {
        // The initial members are recorded while the group forms; a controller that joins later may replace a failed one.
        bool isReplacement = member == status.members.end() && m_store.catalog().version != 0;
        m_batcher.propose(jobs::PutReplica { request.name, request.availabilityZone, isReplacement });
    }
    if (member != status.members.end() && member->storageId == request.storageId)
        return;
    m_log.stateLine("admit").field("name", request.name).field("storage", request.storageId).field("zone", request.availabilityZone).field("known", member != status.members.end());
    m_driver->replaceMember(request.name, request.storageId);
}

void Controller::removeReplacedReplica()
{
    auto now = m_clock.now();
    auto status = m_driver->core().status();
    auto isTimedOut = [&](const std::string& name) { return name != m_desc.name && now - m_driver->core().lastContactAt(name) > config::replicaTimeout; };
    for (const auto& member : status.members) {
        auto info = m_store.replicas().find(member.name);
        if (info == m_store.replicas().end() || !isTimedOut(member.name))
            continue;
        bool hasReplacement = std::any_of(status.members.begin(), status.members.end(), [&](const auto& it) {
            auto other = m_store.replicas().find(it.name);
            return it.name != member.name && (it.isVoter || !member.isVoter) && other != m_store.replicas().end() && other->second.isReplacement
                && other->second.availabilityZone == info->second.availabilityZone && !isTimedOut(it.name);
        });
        if (!hasReplacement)
            continue;
        m_log.stateLine("remove-replica").field("name", member.name).field("zone", info->second.availabilityZone);
        m_driver->removeMember(member.name);
        return;
    }
}

void Controller::purgeJobs()
{
    auto retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_desc.retention + config::retentionMargin).count();
    auto ids = m_store.jobsFinishedBefore(wallClockMs() - retentionMs, config::maxRemovedJobsPerCommand);
    if (!ids.empty())
        m_batcher.propose(jobs::PurgeJobs { std::move(ids) });
}

void Controller::visitMetrics(const std::function<void(std::string_view name, std::string_view help, double value)>& visit) const
{
    auto status = m_driver->core().status();
    visit("term", "Current term of the replicated log.", static_cast<double>(status.term));
    visit("is_leader", "1 while this controller is the leader.", m_service ? 1 : 0);
    visit("commit_index", "Index of the last committed log entry.", static_cast<double>(status.commitIndex));
    visit("members", "Controllers in the group.", static_cast<double>(status.members.size()));
    visit("takeovers_total", "Times that this controller became the leader.", static_cast<double>(m_leadershipCount));
    visit("log_entries_total", "Log entries proposed by this controller.", static_cast<double>(m_batcher.entryCount()));
    visit("log_commands_total", "Log commands proposed by this controller.", static_cast<double>(m_batcher.commandCount()));
    visit("log_commands_skipped_total", "Log commands that could not be applied.", static_cast<double>(m_store.skippedCommands()));
    visit("jobs", "Jobs in the replicated state.", static_cast<double>(m_store.jobs().size()));
    visit("endpoints", "Endpoints in the replicated state.", static_cast<double>(m_store.endpoints().size()));
    visit("config_version", "Version of the current configuration.", static_cast<double>(m_store.catalog().version));
    int64_t oldestOrderMs = INT64_MAX;
    for (const auto& [zone, orderedAtMs] : m_store.evacuations())
        oldestOrderMs = std::min(oldestOrderMs, orderedAtMs);
    auto evacuationMs = m_store.evacuations().empty() ? 0 : std::max<int64_t>(wallClockMs() - oldestOrderMs, 0);
    visit("evacuated_zones", "Availability zones that are evacuated.", static_cast<double>(m_store.evacuations().size()));
    visit("evacuation_seconds", "Time since the oldest order to evacuate a zone that is in force.", std::chrono::duration<double>(std::chrono::milliseconds(evacuationMs)).count());
    visit("log_lines_dropped_total", "Log lines dropped by the rate limit or because of a slow reader.", static_cast<double>(m_log.dropped()));
    visit("processor_seconds_total", "CPU time used by this process.", std::chrono::duration<double>(LoadMeter::processorTime()).count());
    visit("late_ticks_total", "Event loop ticks that ran at least 0.1 s late.", static_cast<double>(m_loadMeter.lateTicks()));
    auto calls = m_dependencies.endpoints->stats();
    visit("endpoint_connects_total", "Connections opened to endpoints.", static_cast<double>(calls.connects));
    visit("endpoint_calls_answered_total", "Calls to endpoints that were answered.", static_cast<double>(calls.answered));
    visit("endpoint_calls_expired_total", "Calls to endpoints that were not answered by their deadline.", static_cast<double>(calls.expired));
    visit("endpoint_calls_expired_late_total", "Expired calls to endpoints whose expiry was detected at least 0.1 s late.", static_cast<double>(calls.expiredLate));
    if (!m_dispatcher)
        return;
    auto stats = m_dispatcher->stats();
    visit("starts_sent_total", "Start requests sent in this term.", static_cast<double>(stats.startsSent));
    visit("starts_refused_total", "Start requests refused in this term.", static_cast<double>(stats.startsRefused));
    visit("starts_unanswered_total", "Start requests without a reply in this term.", static_cast<double>(stats.startsUnanswered));
    visit("stops_sent_total", "Stop requests sent in this term.", static_cast<double>(stats.stopsSent));
    visit("holds_sent_total", "Status requests sent in this term.", static_cast<double>(stats.statusRequestsSent));
    visit("holds_unanswered_total", "Status requests without a reply in this term.", static_cast<double>(stats.statusRequestsUnanswered));
    visit("runs_done_total", "Runs that completed in this term.", static_cast<double>(stats.runsDone));
    visit("runs_failed_total", "Runs that failed in this term.", static_cast<double>(stats.runsFailed));
    visit("runs_lost_total", "Runs lost in this term because their endpoint or its lease ended.", static_cast<double>(stats.runsLost));
    visit("endpoints_lost_total", "Endpoints that ended in this term while they had runs in progress.", static_cast<double>(stats.endpointsLost));
    visit("endpoints_crashed_total", "Of these, endpoints that crashed by themselves, not with their rack or availability zone.", static_cast<double>(stats.endpointsCrashed));
    visit("jobs_given_up_total", "Jobs that failed in this term because a task crashed endpoints.", static_cast<double>(stats.jobsGivenUp));
    visit("copies_wanted_total", "Runs in this term of which a speculative copy was wanted.", static_cast<double>(stats.copiesWanted));
    visit("placements_total", "Tasks placed in this term.", static_cast<double>(stats.placements));
    visit("placement_trials_total", "Endpoints evaluated for tasks in this term, whether or not the task was placed.", static_cast<double>(stats.endpointsEvaluated));
    visit("reservations_held", "Endpoints with room that is kept for a large task.", static_cast<double>(stats.reservationsHeld));
    visit("reservations_made_total", "Reservations made in this term.", static_cast<double>(stats.reservationsMade));
    visit("reservations_kept_total", "Reservations in this term whose room a task of their step has taken.", static_cast<double>(stats.reservationsKept));
    visit("reservations_given_up_total", "Reservations given up in this term.", static_cast<double>(stats.reservationsGivenUp));
    visit("jobs_behind_reservations_total", "Jobs placed in this term after a reservation for another one had kept them from free capacity.", static_cast<double>(stats.jobsBehindReservations));
    visit("endpoints_silent", "Endpoints that do not answer, or have not yet in this term.", static_cast<double>(stats.endpointsSilent));
    visit("endpoints_unreported", "Endpoints that answer but get no tasks because no recent heartbeat tells their capacity.", static_cast<double>(stats.endpointsUnreported));
    visit("ready_tasks", "Tasks that wait for free capacity.", static_cast<double>(stats.readyTasks));
    visit("live_runs", "Runs that hold capacity.", static_cast<double>(stats.liveRuns));
    visit("evacuated_runs", "Runs in evacuated availability zones that have not ended.", static_cast<double>(stats.evacuatedRuns));
    visit("open_jobs", "Jobs that are not finished.", static_cast<double>(stats.openJobs));
    if (!m_instanceManager)
        return;
    const auto& pools = m_instanceManager->poolStats();
    visit("pool_instances_wanted", "Instances that all pools together want.", pools.wanted);
    visit("pool_instances_held", "Usable instances in all pools but the spare one.", static_cast<double>(pools.held));
    visit("pool_instances_short", "Instances that pools with too few of them want in addition.", pools.shortage);
    visit("pools_scarce", "1 while pools together want more instances than there are and each gets a share.", pools.isScarce ? 1 : 0);
    visit("instance_moves_total", "Moves of instances between pools decided in this term.", static_cast<double>(pools.movesStarted));
    visit("instance_moves_undone_total", "Drains for a move cancelled in this term, and moves that were not carried out.", static_cast<double>(pools.movesUndone));
    auto waves = m_instanceManager->waveStats();
    visit("wave_instances_held", "Instances that open waves leave in use because their long-running tasks cannot leave them.", static_cast<double>(waves.held));
    visit("wave_drains_cancelled_total", "Drains for waves cancelled in this term because tasks could not leave or needed the instance.", static_cast<double>(waves.drainsCancelled));
    visit("wave_pauses_total", "Instances in this term whose long-running tasks were stopped for the time of a maintenance.", static_cast<double>(waves.pauses));
}

} // namespace vanillalift::node
