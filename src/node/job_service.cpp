#include "job_service_p.h"

#include "core/event_log_p.h"

namespace vanillalift::node {

using namespace jobs;

namespace {

    JobState stateOf(const Job& job)
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

    Reply plain(ReplyStatus status)
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
{
}

JobService::~JobService() { *m_isAlive = false; }

void JobService::handle(Request request, Respond respond)
{
    if (!m_desc.mayLead())
        return respond(plain(ReplyStatus::NotLeader));
    std::visit([&](auto& it) { handle(it, respond); }, request);
}

void JobService::propose(const Command& command, const Respond& respond)
{
    m_batcher.propose(command, [respond](bool isCommitted) { respond(plain(isCommitted ? ReplyStatus::Done : ReplyStatus::NotLeader)); });
}

void JobService::handle(ClientRequest& request, const Respond& respond)
{
    const auto& catalog = m_store.catalog();
    if (catalog.version == 0)
        return respond(plain(ReplyStatus::NoCatalog));
    const auto* queue = catalog.findQueue(request.host, request.path);
    if (!queue)
        return respond(plain(ReplyStatus::NoSuchQueue));
    const auto* workspace = request.key.empty() ? nullptr : catalog.workspaceOfKey(request.key);
    if (!queue->isPublic && !workspace)
        return respond(plain(ReplyStatus::KeyInvalid));
    auto id = request.path.substr(queue->pathPrefix.size());
    if (request.verb == ClientVerb::Submit)
        return submit(request, *queue, id, workspace && !queue->isPublic ? workspace->name : "", respond);
    if (request.verb == ClientVerb::Cancel)
        return cancel(id, respond);
    read(*queue, id, respond);
}

void JobService::submit(ClientRequest& request, const Queue& queue, const std::string& id, const std::string& workspace, const Respond& respond)
{
    if (id.empty())
        return respond(plain(ReplyStatus::Malformed));
    if (m_store.findJob(id))
        return respond(plain(ReplyStatus::Done));
    auto& waiting = m_accepting[id];
    waiting.push_back(respond);
    if (waiting.size() > 1)
        return;
    request.job.id = id;
    m_log.line("accept").field("job", id).field("queue", queue.name).field("workspace", workspace).field("steps", request.job.steps.size()).field("config", m_store.catalog().version);
    PutJob command { std::move(request.job), workspace, queue.name, wallClockMs() };
    m_batcher.propose(command, [this, id, isAlive = m_isAlive](bool isCommitted) {
        if (!*isAlive)
            return;
        auto waiting = m_accepting.extract(id);
        for (const auto& it : waiting.mapped())
            it(plain(isCommitted ? ReplyStatus::Done : ReplyStatus::NotLeader));
    });
}

void JobService::read(const Queue& queue, const std::string& id, const Respond& respond)
{
    Reply reply;
    if (id.empty()) {
        reply.pending = m_store.pendingJobs(queue.name);
        return respond(reply);
    }
    const auto* job = m_store.findJob(id);
    if (!job)
        return respond(plain(ReplyStatus::NoSuchJob));
    reply.state = stateOf(*job);
    respond(reply);
}

void JobService::cancel(const std::string& id, const Respond& respond)
{
    const auto* job = m_store.findJob(id);
    if (!job)
        return respond(plain(ReplyStatus::NoSuchJob));
    if (!job->isActive())
        return respond(plain(ReplyStatus::Done));
    m_log.line("cancel").field("job", id);
    propose(CancelJob { id, wallClockMs() }, respond);
}

void JobService::handle(BeatRequest& request, const Respond& respond)
{
    Dispatcher::Heartbeat beat { std::move(request.endpoint), request.sequence, std::nullopt, std::nullopt };
    if (request.clockMs >= 0)
        beat.clockMs = request.clockMs;
    if (request.remainingMs >= 0)
        beat.remainingMs = request.remainingMs;
    m_dispatcher.receiveHeartbeat(beat, [respond] { respond(plain(ReplyStatus::Done)); });
}

void JobService::handle(LeaveRequest& request, const Respond& respond)
{
    m_dispatcher.receiveDeregistration(request.endpointId, [respond] { respond(plain(ReplyStatus::Done)); });
}

void JobService::handle(PutCatalogRequest& request, const Respond& respond)
{
    auto version = request.catalog.version;
    auto known = m_store.catalog().version;
    m_log.stateLine("config").field("version", version).field("known", known).field("queues", request.catalog.queues.size());
    if (version <= known)
        return respond(plain(ReplyStatus::Done));
    propose(PutCatalog { std::move(request.catalog) }, respond);
}

void JobService::handle(ReadCatalogRequest& /*request*/, const Respond& respond)
{
    if (m_store.catalog().version == 0)
        return respond(plain(ReplyStatus::NoCatalog));
    Reply reply;
    reply.source = m_store.catalog().source;
    respond(reply);
}

void JobService::handle(PutWaveRequest& request, const Respond& respond)
{
    m_log.stateLine("wave").field("wave", request.wave.number).field("instances", request.wave.instances.size()).field("at-once", request.wave.maxAtOnce).field("due", request.wave.dueAtMs);
    if (m_store.waves().contains(request.wave.number))
        return respond(plain(ReplyStatus::Done));
    propose(PutWave { std::move(request.wave) }, respond);
}

void JobService::handle(ReadWaveRequest& request, const Respond& respond)
{
    auto it = m_store.waves().find(request.number);
    if (it == m_store.waves().end())
        return respond(plain(ReplyStatus::NoSuchWave));
    Reply reply;
    reply.isWaveComplete = it->second.isComplete();
    respond(reply);
}

void JobService::handle(JoinRequest& request, const Respond& respond)
{
    m_desc.join(request);
    respond(plain(ReplyStatus::Done));
}

} // namespace vanillalift::node
