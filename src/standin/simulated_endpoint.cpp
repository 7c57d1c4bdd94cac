#include "simulated_endpoint_p.h"

#include <vanillalift/request.h>

#include <algorithm>
#include <charconv>
#include <thread>

namespace vanillalift::standin {

namespace {

    constexpr std::chrono::milliseconds exchangeWait { 200 };
    /// Used for a request without a Vanillalift-Timeout-Ms.
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

    /// Every answer names its request, so that a caller can tell it from another's.
    void answer(const httplib::Request& request, const std::string& instance, int status, httplib::Response& response)
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
    if (!m_changed.wait_for(lock, exchangeWait, [&] { return m_waiting != &response; }))
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

bool SimulatedEndpoint::isQuiet(Duration quiet) const
{
    std::lock_guard lock(m_mutex);
    return m_running == 0 && m_clock.now() - m_lastArrival >= quiet;
}

bool SimulatedEndpoint::start()
{
    std::lock_guard lock(m_mutex);
    m_lastArrival = m_clock.now();
    if (m_isClosed || m_running >= m_settings.announcement.slots)
        return false;
    ++m_running;
    return true;
}

void SimulatedEndpoint::finish()
{
    std::lock_guard lock(m_mutex);
    --m_running;
}

SimulatedEndpoint::Plan SimulatedEndpoint::plan()
{
    std::lock_guard lock(m_mutex);
    const auto& faults = m_settings.faults;
    auto happens = [&](double probability) { return std::bernoulli_distribution(probability)(m_random); };
    Plan plan;
    double ms = m_settings.serviceMs;
    if (ms > 0 && m_settings.serviceTimeDistribution == ServiceTimeDistribution::Exponential)
        ms = std::exponential_distribution<double>(1 / ms)(m_random);
    if (happens(faults.delayProbability))
        ms += static_cast<double>(faults.delayMs + std::uniform_int_distribution<int64_t>(0, faults.delayRandomMs)(m_random));
    plan.length = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    plan.failsFast = happens(faults.failFast);
    plan.freezes = happens(faults.freeze);
    plan.crosses = happens(faults.cross);
    const std::array writeFaults { std::pair(faults.truncate, ResponseFault::Truncate), std::pair(faults.die, ResponseFault::Die),
        std::pair(faults.close, ResponseFault::Close), std::pair(faults.twice, ResponseFault::Twice) };
    for (const auto& [probability, fault] : writeFaults) {
        if (happens(probability))
            plan.write = fault;
    }
    return plan;
}

void SimulatedEndpoint::recordLeaving()
{
    write({ { "event", "leaving" }, { "instance", m_settings.announcement.instance }, { "at_ns", nowNs() } });
}

void SimulatedEndpoint::record(const char* event, const httplib::Request& request, int64_t startNs, bool isFinished)
{
    // An attempt whose endpoint is killed has no end line; it counts as ended when it started.
    auto endNs = std::string_view(event) == "end" ? nowNs() : startNs;
    write({ { "event", event }, { "request", request.get_header_value(header::requestId) }, { "attempt", request.get_header_value(header::attemptId) },
        { "team", request.get_header_value(header::team) }, { "method", request.method }, { "start_ns", startNs }, { "end_ns", endNs }, { "finished", isFinished },
        { "instance", m_settings.announcement.instance }, { "service", m_settings.announcement.service } });
}

void SimulatedEndpoint::write(const nlohmann::json& line)
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
    auto plan = this->plan();
    auto end = plan.failsFast ? now : now + plan.length;
    bool isFinished = !plan.freezes && !plan.failsFast && end <= deadline;
    std::this_thread::sleep_for((plan.freezes ? deadline : std::min(end, deadline)) - now);
    int failure = plan.failsFast ? 500 : 504;
    answer(request, m_settings.announcement.instance, isFinished ? 200 : failure, response);
    record("end", request, startNs, isFinished);
    if (plan.crosses)
        m_exchange.swap(response);
    return plan.freezes ? ResponseFault::Close : plan.write;
}

ResponseFault SimulatedEndpoint::handle(const httplib::Request& request, httplib::Response& response)
{
    response.set_header(header::attemptId, request.get_header_value(header::attemptId));
    if (!start()) {
        refuse(request, response);
        return ResponseFault::None;
    }
    auto fault = run(request, response);
    finish();
    return fault;
}

} // namespace vanillalift::standin
