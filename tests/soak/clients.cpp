#include "clients.h"

namespace vanillalift::soak {

using namespace jobs;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds callTimeout { 3000 };
    constexpr milliseconds readInterval { 700 };
    constexpr milliseconds retryInterval { 250 };
    constexpr uint32_t maxAttempts = 4;
    /// A cancelled job starts no task later than this after the acknowledgement: 3 s on the target platform, plus 300 ms for the
    /// delivery of the start request.
    constexpr milliseconds cancelLimit { 3300 };
    /// Connections to each gateway, so that an unanswered call does not block the others.
    constexpr size_t channelsPerGateway = 8;
    /// Status that handlers get for a call without a response.
    constexpr int noResponse = 0;

} // namespace

Clients::Clients(net::EventLoop& loop, const Clock& clock, sim::World& world, std::vector<net::Address> gateways, Queue queue, std::string key)
    : m_loop(loop)
    , m_clock(clock)
    , m_world(world)
    , m_gateways(std::move(gateways))
    , m_queue(std::move(queue))
    , m_key(std::move(key))
{
    for (size_t n = 0; n < channelsPerGateway * m_gateways.size(); n++)
        m_channels.push_back(std::make_unique<net::HttpChannel>(m_loop, m_clock, m_gateways[n % m_gateways.size()]));
}

net::HttpChannel& Clients::pickChannel()
{
    auto n = std::uniform_int_distribution<size_t>(0, m_channels.size() - 1)(m_world.random);
    for (size_t tried = 0; tried < m_channels.size() && m_channels[n]->pending() != 0; tried++)
        n = (n + 1) % m_channels.size();
    return *m_channels[n];
}

void Clients::send(const std::string& id, net::HttpRequest request, std::function<void(ClientJob&, int, const std::string&)> handler)
{
    m_calls++;
    m_jobs.at(id).isCallPending = true;
    pickChannel().send(std::move(request), m_clock.now() + callTimeout, [this, id, handler = std::move(handler)](const net::HttpResult& result) {
        auto& job = m_jobs.at(id);
        job.isCallPending = false;
        const auto* response = std::get_if<net::HttpResponse>(&result);
        const auto* failure = std::get_if<net::HttpFailure>(&result);
        bool isUnsent = failure && *failure != net::HttpFailure::Unknown;
        m_unanswered += response ? 0 : 1;
        job.nextCallAt = m_clock.now() + (response && response->status == 200 ? Duration(readInterval) : Duration(retryInterval));
        if (!isUnsent)
            handler(job, response ? response->status : noResponse, response ? response->body : std::string());
    });
}

void Clients::submit(JobSpec spec, bool shouldCancel)
{
    auto id = spec.id;
    if (spec.steps.front().isLongRunning)
        m_world.submittedLongRunningJobs.insert(id);
    if (spec.steps.front().allowsSpeculativeCopy)
        m_world.copyableJobs.insert(id);
    auto& job = m_jobs[id];
    job.spec = std::move(spec);
    if (shouldCancel)
        job.cancelAt = m_clock.now() + m_world.randomDelay(200, 4000);
}

void Clients::poll()
{
    auto now = m_clock.now();
    for (auto& [id, job] : m_jobs) {
        if (job.isCallPending || now < job.nextCallAt || job.isFinished())
            continue;
        if (!job.isAccepted)
            sendJob(id, job);
        else if (job.cancelAt != TimePoint {} && now >= job.cancelAt && job.cancelledAt == TimePoint {})
            cancel(id, job);
        else
            readJob(id, job);
    }
}

void Clients::sendJob(const std::string& id, ClientJob& job)
{
    bool mayGiveUp = !m_hasUnlimitedAttempts && !job.isOutcomeUnknown && job.attempts >= maxAttempts;
    if (mayGiveUp) {
        job.isGivenUp = true;
        if (job.hasStarted)
            m_world.violations.add("a job whose submissions were all refused has run: " + id);
        return;
    }
    job.attempts++;
    send(id, platform::standin::submitRequest(m_queue, job.spec, m_key), [this, id](ClientJob& job, int status, const std::string&) {
        if (status == 200) {
            job.isAccepted = true;
            job.acceptedAt = m_clock.now();
        } else if (status == 429 || status == 503) {
            m_refused++;
        } else if (status == noResponse || status == 502 || status == 504) {
            job.isOutcomeUnknown = true;
        } else {
            m_world.violations.add("submission of job " + id + " was answered with status " + std::to_string(status));
        }
    });
}

void Clients::readJob(const std::string& id, ClientJob& job)
{
    bool isCancelled = job.cancelledAt != TimePoint {};
    send(id, platform::standin::readJobRequest(m_queue, id, m_key), [this, id, isCancelled](ClientJob& job, int status, const std::string& body) {
        if (status == 410 && !isCancelled)
            m_world.violations.add("an accepted job is unknown: " + id);
        auto phase = status == 200 ? platform::standin::decodePhase(body) : std::nullopt;
        if (status == 410 && isCancelled)
            phase = JobPhase::Cancelled;
        if (!phase)
            return;
        if (*phase == JobPhase::Cancelled && job.cancelAt == TimePoint {})
            m_world.violations.add("a job that no client cancelled is reported as cancelled: " + id);
        if (*phase == JobPhase::Completed && job.isLongRunning())
            m_world.violations.add("a long-running job is reported as completed: " + id);
        job.phase = *phase;
    });
}

void Clients::cancel(const std::string& id, ClientJob& /*job*/)
{
    send(id, platform::standin::cancelRequest(m_queue, id, m_key), [this](ClientJob& job, int status, const std::string&) {
        if (status == 200 || status == 202 || status == 204 || status == 410)
            job.cancelledAt = m_clock.now();
    });
}

void Clients::checkStart(const StartRequest& order)
{
    auto it = m_jobs.find(order.task.job);
    if (it == m_jobs.end())
        return m_world.violations.add("start of a job that no client submitted: " + order.task.job);
    auto& job = it->second;
    job.hasStarted = true;
    if (order.payload != job.spec.payload)
        m_world.violations.add("start with a payload that differs from the submitted one: " + order.task.job);
    if (job.isGivenUp)
        m_world.violations.add("start of a job whose submissions were all refused: " + order.task.job);
    if (job.cancelledAt != TimePoint {} && m_clock.now() - job.cancelledAt > cancelLimit)
        m_world.violations.add("start too long after the cancellation was acknowledged: " + order.task.job);
}

} // namespace vanillalift::soak
