#include "simulated_endpoint_p.h"

#include <vanillalift/request.h>

#include <algorithm>
#include <charconv>
#include <thread>

namespace vanillalift::standin {

namespace {

    constexpr std::chrono::milliseconds swapTimeout { 200 };
    /// Maximum timeout, and the timeout of a request without the header Vanillalift-Timeout-Ms.
    constexpr int64_t defaultTimeoutMs = 60000;

    int64_t nowNs() { return BootClock::now().time_since_epoch().count(); }

    TimePoint deadlineOf(const httplib::Request& request, TimePoint now)
    {
        auto text = request.get_header_value(header::timeoutMs);
        int64_t ms = defaultTimeoutMs;
        std::from_chars(text.data(), text.data() + text.size(), ms);
        return now + std::chrono::milliseconds(std::clamp<int64_t>(ms, 0, defaultTimeoutMs));
    }

    void refuse(const httplib::Request& request, httplib::Response& response)
    {
        response.status = 503;
        response.set_header(header::notStarted, request.get_header_value(header::attemptId));
        response.set_content("no free slot\n", "text/plain");
    }

    /// Each response contains its request id, so that a caller can detect the response to another request.
    void respond(const httplib::Request& request, const std::string& instance, int status, httplib::Response& response)
    {
        nlohmann::json body { { "request", request.get_header_value(header::requestId) }, { "instance", instance }, { "target", request.target }, { "bytes", request.body.size() } };
        response.status = status;
        response.set_content(body.dump() + "\n", "application/json");
    }

} // namespace

void ResponseSwapper::swap(httplib::Response& response)
{
    std::unique_lock lock(m_mutex);
    if (m_waiting) {
        std::swap(m_waiting->status, response.status);
        std::swap(m_waiting->headers, response.headers);
        std::swap(m_waiting->body, response.body);
        m_waiting = nullptr;
        m_changed.notify_all();
        return;
    }
    m_waiting = &response;
    if (!m_changed.wait_for(lock, swapTimeout, [&] { return m_waiting != &response; }))
        m_waiting = nullptr;
}

SimulatedEndpoint::SimulatedEndpoint(const EndpointSettings& settings, const Clock& clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(static_cast<uint64_t>(settings.seed))
    , m_lastArrival(clock.now())
{
    if (!settings.recordFile.empty())
        m_record.open(settings.recordFile, std::ios::app);
}

int64_t SimulatedEndpoint::running() const
{
    std::lock_guard lock(m_mutex);
    return m_running;
}

void SimulatedEndpoint::close()
{
    std::lock_guard lock(m_mutex);
    m_isClosed = true;
}

bool SimulatedEndpoint::isQuiet(Duration quietPeriod) const
{
    std::lock_guard lock(m_mutex);
    return m_running == 0 && m_clock.now() - m_lastArrival >= quietPeriod;
}

bool SimulatedEndpoint::acquireSlot()
{
    std::lock_guard lock(m_mutex);
    m_lastArrival = m_clock.now();
    if (m_isClosed || m_running >= m_settings.announcement.slots)
        return false;
    ++m_running;
    return true;
}

void SimulatedEndpoint::releaseSlot()
{
    std::lock_guard lock(m_mutex);
    --m_running;
}

SimulatedEndpoint::RequestPlan SimulatedEndpoint::drawPlan()
{
    std::lock_guard lock(m_mutex);
    const auto& faults = m_settings.faults;
    auto happens = [&](double probability) { return std::bernoulli_distribution(probability)(m_random); };
    RequestPlan plan;
    double ms = m_settings.serviceMs;
    if (ms > 0 && m_settings.serviceTimeDistribution == ServiceTimeDistribution::Exponential)
        ms = std::exponential_distribution<double>(1 / ms)(m_random);
    if (happens(faults.delayProbability))
        ms += static_cast<double>(faults.delayMs + std::uniform_int_distribution<int64_t>(0, faults.delayRandomMs)(m_random));
    plan.serviceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    plan.isFailFast = happens(faults.failFast);
    plan.isFrozen = happens(faults.freeze);
    plan.isSwapped = happens(faults.cross);
    const std::array responseFaults { std::pair(faults.truncate, ResponseFault::Truncate), std::pair(faults.die, ResponseFault::Exit),
        std::pair(faults.close, ResponseFault::Close), std::pair(faults.twice, ResponseFault::Duplicate) };
    for (const auto& [probability, fault] : responseFaults) {
        if (happens(probability))
            plan.responseFault = fault;
    }
    return plan;
}

void SimulatedEndpoint::recordLeaving()
{
    writeRecordLine({ { "event", "leaving" }, { "instance", m_settings.announcement.instance }, { "at_ns", nowNs() } });
}

void SimulatedEndpoint::record(const char* event, const httplib::Request& request, int64_t startNs, bool isFinished)
{
    // If the endpoint is killed, the attempt has no end line; its end is then taken to be its start.
    auto endNs = std::string_view(event) == "end" ? nowNs() : startNs;
    writeRecordLine({ { "event", event }, { "request", request.get_header_value(header::requestId) }, { "attempt", request.get_header_value(header::attemptId) },
        { "team", request.get_header_value(header::team) }, { "method", request.method }, { "start_ns", startNs }, { "end_ns", endNs }, { "finished", isFinished },
        { "instance", m_settings.announcement.instance }, { "service", m_settings.announcement.service } });
}

void SimulatedEndpoint::writeRecordLine(const nlohmann::json& line)
{
    std::lock_guard lock(m_recordMutex);
    if (m_record.is_open())
        m_record << line.dump() + "\n"
                 << std::flush;
}

ResponseFault SimulatedEndpoint::run(const httplib::Request& request, httplib::Response& response)
{
    auto startNs = nowNs();
    record("start", request, startNs, false);
    auto now = m_clock.now();
    auto deadline = deadlineOf(request, now);
    auto plan = this->drawPlan();
    auto end = plan.isFailFast ? now : now + plan.serviceTime;
    bool isFinished = !plan.isFrozen && !plan.isFailFast && end <= deadline;
    std::this_thread::sleep_for((plan.isFrozen ? deadline : std::min(end, deadline)) - now);
    int failureStatus = plan.isFailFast ? 500 : 504;
    respond(request, m_settings.announcement.instance, isFinished ? 200 : failureStatus, response);
    record("end", request, startNs, isFinished);
    if (plan.isSwapped)
        m_responseSwapper.swap(response);
    return plan.isFrozen ? ResponseFault::Close : plan.responseFault;
}

ResponseFault SimulatedEndpoint::handle(const httplib::Request& request, httplib::Response& response)
{
    response.set_header(header::attemptId, request.get_header_value(header::attemptId));
    if (!acquireSlot()) {
        refuse(request, response);
        return ResponseFault::None;
    }
    auto fault = run(request, response);
    releaseSlot();
    return fault;
}

} // namespace vanillalift::standin
