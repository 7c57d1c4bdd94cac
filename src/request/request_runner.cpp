#include "request_runner_p.h"

namespace vanillalift {

namespace {

    struct ToOutcome {
        Outcome operator()(AttemptAnswered& result) const { return std::move(result.answer); }
        Outcome operator()(AttemptNotSent& result) const { return NotRun { Reason::NoEndpoint, std::move(result.detail), {} }; }
        Outcome operator()(AttemptNotStarted& /*result*/) const { return NotRun { Reason::QueueFull, "the endpoint has no free slot", {} }; }
        Outcome operator()(AttemptFailed& result) const { return Unknown { result.reason, std::move(result.detail), {} }; }
    };

} // namespace

RequestRunner::RequestRunner(std::string name, const Clock& clock, const Authority& authority, EndpointPool& endpoints, AttemptClient& client)
    : m_name(std::move(name))
    , m_clock(clock)
    , m_authority(authority)
    , m_endpoints(endpoints)
    , m_client(client)
{
}

std::string RequestRunner::nextAttemptId()
{
    return m_name + "-" + std::to_string(m_clock.now().time_since_epoch().count()) + "-" + std::to_string(++m_attempts);
}

Outcome RequestRunner::handle(const Request& request, const CallerConnection& /*caller*/)
{
    auto now = m_clock.now();
    if (now >= m_authority.leaseEnd())
        return NotRun { Reason::ConfigurationStale, "this entry has no valid lease on its configuration", {} };
    auto place = m_endpoints.acquire({ request.service, true, {} }, now);
    if (!place)
        return NotRun { Reason::NoEndpoint, "no endpoint of the service has room", now + std::chrono::seconds(1) };
    auto attemptId = nextAttemptId();
    auto result = m_client.send({ place->address, place->incarnation, attemptId, request.id, request.team, request.method,
        request.target, &request.headers, request.body, request.deadline });
    m_endpoints.release(*place, AttemptVerdict::Succeeded, false, m_clock.now());
    return std::visit(ToOutcome {}, result);
}

} // namespace vanillalift
