#include "job_service_p.h"

#include "core/event_log_p.h"

#include <algorithm>

namespace vanillalift::node {

using namespace jobs;

namespace {

    JobState jobState(const Job& job)
    {
        switch (job.phase) {
        case JobPhase::Completed:
            return JobState::Completed;
        case JobPhase::Failed:
            return JobState::Failed;
        case JobPhase::Cancelled:
            return JobState::Cancelled;
        default:
            return job.hasStarted ? JobState::Running : JobState::Queued;
        }
    }

    Reply makeReply(ReplyStatus status)
    {
        Reply reply;
        reply.status = status;
        return reply;
    }

} // namespace

JobService::JobService(Desc desc, JobStore& store, Dispatcher& dispatcher, CommandBatcher& batcher, const Clock& clock, EventLog& log)
    : m_desc(std::move(desc))
    , m_store(store)
    , m_dispatcher(dispatcher)
    , m_batcher(batcher)
    , m_clock(clock)
    , m_log(log)
    , m_agreedRate(store.agreedRate())
{
}

JobService::~JobService() { *m_isAlive = false; }

void JobService::handle(Request request, Respond respond)
{
    if (!m_desc.hasLeaderAuthority()) {
        auto reply = makeReply(ReplyStatus::NotLeader);
        reply.isUnhandled = true;
        return respond(reply);
    }
    std::visit([&](auto& it) { handle(it, respond); }, request);
}

void JobService::propose(const Command& command, const Respond& respond)
{
    m_batcher.propose(command, [respond](bool isCommitted) { respond(makeReply(isCommitted ? ReplyStatus::Done : ReplyStatus::NotLeader)); });
}

void JobService::respondUnknown(ReplyStatus status, const Respond& respond) const
{
    respond(makeReply(m_desc.isSoleLeader() ? status : ReplyStatus::NotLeader));
}

void JobService::handle(ClientRequest& request, const Respond& respond)
{
    const auto& catalog = m_store.catalog();
    if (catalog.version == 0)
        return respond(makeReply(ReplyStatus::NoCatalog));
    const auto* queue = catalog.findQueue(request.host, request.path);
    if (!queue)
        return respond(makeReply(ReplyStatus::NoSuchQueue));
    const auto* workspace = request.key.empty() ? nullptr : catalog.workspaceOfKey(request.key);
    if (!queue->isPublic && !workspace)
        return respond(makeReply(ReplyStatus::KeyInvalid));
    auto id = request.path.substr(queue->pathPrefix.size());
    if (request.verb == ClientVerb::Submit)
        return submit(request, *queue, id, workspace && !queue->isPublic ? workspace->name : "", respond);
    if (request.verb == ClientVerb::Cancel)
        return cancel(id, respond);
    read(*queue, id, respond);
}

bool JobService::countJob(const JobSpec& job, const std::string& name, int64_t atMs)
{
    const auto* workspace = m_store.catalog().workspaceNamed(name);
    if (!workspace)
        return false;
    // The limit of the workspace bounds what runs until it is cancelled.
    bool isLongRunning = !job.steps.empty() && job.steps.front().isLongRunning;
    bool isBeyond = m_desc.features.entitlement && !isLongRunning && m_agreedRate.isBeyond(name, workspace->weight, atMs, m_desc.features.agreedRate);
    m_agreedRate.record(name, workspace->weight, atMs, isBeyond);
    return isBeyond;
}

void JobService::submit(ClientRequest& request, const Queue& queue, const std::string& id, const std::string& workspace, const Respond& respond)
{
    if (id.empty())
        return respond(makeReply(ReplyStatus::Malformed));
    if (m_store.findJob(id))
        return respond(makeReply(ReplyStatus::Done));
    auto& callbacks = m_pendingSubmissions[id];
    callbacks.push_back(respond);
    if (callbacks.size() > 1)
        return;
    request.job.id = id;
    auto acceptedAtMs = wallClockMs();
    bool isBeyondRate = countJob(request.job, workspace, acceptedAtMs);
    m_log.line("accept").field("job", id).field("queue", queue.name).field("workspace", workspace).field("steps", request.job.steps.size()).field("config", m_store.catalog().version).field("beyond-rate", isBeyondRate);
    PutJob command { std::move(request.job), workspace, queue.name, acceptedAtMs, isBeyondRate };
    m_batcher.propose(command, [this, id, isAlive = m_isAlive](bool isCommitted) {
        if (!*isAlive)
            return;
        auto callbacks = m_pendingSubmissions.extract(id);
        for (const auto& it : callbacks.mapped())
            it(makeReply(isCommitted ? ReplyStatus::Done : ReplyStatus::NotLeader));
    });
}

void JobService::read(const Queue& queue, const std::string& id, const Respond& respond)
{
    Reply reply;
    if (id.empty()) {
        reply.pending = m_dispatcher.pendingJobCount(queue.name);
        return respond(reply);
    }
    const auto* job = m_store.findJob(id);
    if (!job)
        return respondUnknown(ReplyStatus::NoSuchJob, respond);
    reply.state = jobState(*job);
    respond(reply);
}

void JobService::cancel(const std::string& id, const Respond& respond)
{
    const auto* job = m_store.findJob(id);
    if (!job)
        return respondUnknown(ReplyStatus::NoSuchJob, respond);
    if (!job->isActive())
        return respond(makeReply(ReplyStatus::Done));
    m_log.decisionLine("cancel").field("job", id);
    propose(CancelJob { id, wallClockMs() }, respond);
}

void JobService::handle(HeartbeatRequest& request, const Respond& respond)
{
    Dispatcher::Heartbeat heartbeat { std::move(request.endpoint), request.sequence, std::nullopt, std::nullopt, request.warmUpMs };
    if (request.clockMs >= 0)
        heartbeat.clockMs = request.clockMs;
    if (request.remainingMs >= 0)
        heartbeat.remainingMs = request.remainingMs;
    m_dispatcher.receiveHeartbeat(heartbeat, [respond] { respond(makeReply(ReplyStatus::Done)); });
}

void JobService::handle(DeregisterRequest& request, const Respond& respond)
{
    m_dispatcher.receiveDeregistration(request.endpointId, [respond] { respond(makeReply(ReplyStatus::Done)); });
}

void JobService::handle(PutCatalogRequest& request, const Respond& respond)
{
    auto version = request.catalog.version;
    auto currentVersion = m_store.catalog().version;
    m_log.stateLine("config").field("version", version).field("known", currentVersion).field("queues", request.catalog.queues.size());
    if (version <= currentVersion)
        return respond(makeReply(ReplyStatus::Done));
    propose(PutCatalog { std::move(request.catalog) }, respond);
}

void JobService::handle(ReadCatalogRequest& /*request*/, const Respond& respond)
{
    if (m_store.catalog().version == 0)
        return respond(makeReply(ReplyStatus::NoCatalog));
    Reply reply;
    reply.source = m_store.catalog().source;
    respond(reply);
}

void JobService::handle(PutWaveRequest& request, const Respond& respond)
{
    m_log.stateLine("wave").field("wave", request.wave.number).field("instances", request.wave.instances.size()).field("at-once", request.wave.maxConcurrent).field("due", request.wave.dueAtMs);
    if (m_store.waves().contains(request.wave.number))
        return respond(makeReply(ReplyStatus::Done));
    propose(PutWave { std::move(request.wave) }, respond);
}

void JobService::handle(ReadWaveRequest& request, const Respond& respond)
{
    auto it = m_store.waves().find(request.number);
    if (it == m_store.waves().end())
        return respondUnknown(ReplyStatus::NoSuchWave, respond);
    Reply reply;
    reply.isWaveComplete = it->second.isComplete();
    respond(reply);
}

void JobService::handle(JoinRequest& request, const Respond& respond)
{
    m_desc.handleJoin(request);
    respond(makeReply(ReplyStatus::Done));
}

bool JobService::isZoneKnown(const std::string& zone) const
{
    const auto& configured = m_desc.availabilityZones;
    return std::find(configured.begin(), configured.end(), zone) != configured.end() || m_store.evacuations().contains(zone)
        || std::any_of(m_store.replicas().begin(), m_store.replicas().end(), [&](const auto& it) { return it.second.availabilityZone == zone; })
        || std::any_of(m_store.endpoints().begin(), m_store.endpoints().end(), [&](const auto& it) { return it.second.availabilityZone == zone; });
}

void JobService::handle(EvacuationRequest& request, const Respond& respond)
{
    const auto& zone = request.zone;
    bool isKnown = m_desc.features.evacuation && isZoneKnown(zone);
    bool isInForce = m_store.evacuations().contains(zone);
    auto pending = m_pendingEvacuations.find(zone);
    bool isPending = pending != m_pendingEvacuations.end();
    m_log.stateLine("evacuation-order").field("zone", zone).field("evacuated", request.isEvacuated).field("in-force", isInForce).field("pending", isPending ? pending->second.size() : 0).field("known", isKnown);
    if (!isKnown)
        return respondUnknown(ReplyStatus::NoSuchZone, respond);
    // What holds in the end is what the newest order says, whether or not it is committed.
    if (isPending && pending->second.back().isEvacuated == request.isEvacuated)
        return pending->second.back().callbacks.push_back(respond);
    if (!isPending && isInForce == request.isEvacuated)
        return respond(makeReply(ReplyStatus::Done));
    auto number = ++m_lastEvacuationNumber;
    m_pendingEvacuations[zone].push_back({ number, request.isEvacuated, { respond } });
    m_batcher.propose(PutEvacuation { zone, request.isEvacuated, wallClockMs() }, [this, zone, number, isAlive = m_isAlive](bool isCommitted) {
        if (!*isAlive)
            return;
        auto& orders = m_pendingEvacuations[zone];
        auto order = std::find_if(orders.begin(), orders.end(), [&](const auto& it) { return it.number == number; });
        auto callbacks = std::move(order->callbacks);
        orders.erase(order);
        if (orders.empty())
            m_pendingEvacuations.erase(zone);
        for (const auto& it : callbacks)
            it(makeReply(isCommitted ? ReplyStatus::Done : ReplyStatus::NotLeader));
    });
}

void JobService::handle(ReadEvacuationsRequest& /*request*/, const Respond& respond)
{
    Reply reply;
    for (const auto& [zone, orderedAtMs] : m_store.evacuations())
        reply.zones.push_back(zone);
    respond(reply);
}

} // namespace vanillalift::node
