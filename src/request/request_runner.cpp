#include "request_runner_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    /// @returns whether the status is a server error that another endpoint may not return: 500, 502, 503 or 504.
    bool isTransientError(int status)
    {
        return status == 500 || (status >= 502 && status <= 504);
    }

} // namespace

struct RequestRunner::RequestContext {
    const Request& request;
    const Profile& profile;
    double weight;
    Ticket& ticket;
    /// Attempts that may have started.
    int64_t startedAttempts = 0;
    /// Attempts that provably did not start.
    int64_t notStartedAttempts = 0;
    /// Complete response with a server error; returned if the retry gives no other response.
    std::optional<Answered> fallbackResponse;
};

struct RequestRunner::AttemptResultVisitor {
    RequestRunner& runner;
    RequestContext& context;

    std::optional<Outcome> operator()(AttemptAnswered& result) const
    {
        return runner.handleResponse(context, std::move(result.answer));
    }
    std::optional<Outcome> operator()(AttemptNotSent& /*result*/) const
    {
        runner.requeueNotStarted(context, AttemptVerdict::NotSent);
        return std::nullopt;
    }
    std::optional<Outcome> operator()(AttemptNotStarted& /*result*/) const
    {
        runner.requeueNotStarted(context, AttemptVerdict::NotStarted);
        return std::nullopt;
    }
    std::optional<Outcome> operator()(AttemptFailed& result) const { return runner.handleFailure(context, std::move(result)); }
};

RequestRunner::RequestRunner(std::string name, const Clock& clock, const Authority& authority, Scheduler& scheduler, AttemptClient& client, ClaimService& claims)
    : m_name(std::move(name))
    , m_clock(clock)
    , m_authority(authority)
    , m_scheduler(scheduler)
    , m_client(client)
    , m_claims(claims)
    , m_startedAtMs(wallClockMs())
{
}

std::string RequestRunner::nextAttemptId()
{
    return m_name + "-" + std::to_string(m_startedAtMs) + "-" + std::to_string(++m_attemptCount);
}

Outcome RequestRunner::refuseUnclaimed(const Request& request, Reason reason, std::string detail)
{
    auto now = m_clock.now();
    // An earlier delivery with the caller's id may have run.
    if (request.hasCallerId)
        return Unknown { reason, std::move(detail), m_scheduler.retryAt(request.service, now) };
    return NotRun { reason, std::move(detail), m_scheduler.retryAt(request.service, now) };
}

Outcome RequestRunner::handle(const Request& request, const CallerConnection& caller)
{
    auto catalog = m_authority.catalog();
    auto service = catalog ? catalog->findService(request.service) : ServiceHandle {};
    if (!service.isValid()) {
        // The service may have been removed after an earlier delivery of the request ran.
        constexpr const char* detail = "no service has this name";
        if (request.hasCallerId)
            return Unknown { Reason::ServiceUnknown, detail, {} };
        return NotRun { Reason::ServiceUnknown, detail, {} };
    }
    auto team = catalog->findTeam(request.team);
    // The callback may run while handle() returns, so it must not refer to this stack frame.
    auto ticket = std::make_shared<Ticket>(request.service, request.team, request.deadline);
    ticket->requestKind = requestKind(request.method, request.target);
    caller.onClose([this, weak = std::weak_ptr(ticket)] {
        if (auto it = weak.lock())
            m_scheduler.cancel(*it, m_clock.now());
    });
    if (caller.isClosed())
        m_scheduler.cancel(*ticket, m_clock.now());
    RequestContext context { request, catalog->profileOf(service), team.isValid() ? catalog->shareWeight(service, team) : 1, *ticket };
    return context.profile.idempotent ? execute(context) : executeAtMostOnce(context);
}

Outcome RequestRunner::executeAtMostOnce(RequestContext& context)
{
    const auto& request = context.request;
    auto now = m_clock.now();
    auto retainUntil = now + std::chrono::milliseconds(context.profile.timeoutMs + context.profile.claimRetentionMs);
    ClaimKey key { request.team, request.service, request.id };
    auto result = m_claims.claim(key, request.deadline, retainUntil);
    if (auto* settled = std::get_if<ClaimSettled>(&result))
        return std::move(settled->outcome);
    if (std::holds_alternative<ClaimInProgress>(result))
        return Unknown { Reason::InProgress, "another delivery of this request is in progress", m_scheduler.retryAt(request.service, m_clock.now()) };
    if (auto* unavailable = std::get_if<ClaimUnavailable>(&result))
        return refuseUnclaimed(request, Reason::ClaimsUnavailable, std::move(unavailable->detail));
    return executeClaimed(key, context);
}

Outcome RequestRunner::executeClaimed(const ClaimKey& key, RequestContext& context)
{
    Outcome outcome;
    try {
        outcome = execute(context);
    } catch (...) {
        m_claims.settle(key, Unknown { Reason::InternalError, "the attempt ended with an internal error", {} });
        throw;
    }
    auto* refusal = std::get_if<NotRun>(&outcome);
    if (!refusal) {
        m_claims.settle(key, outcome);
        return outcome;
    }
    if (m_claims.release(key))
        return outcome;
    // The claim holders still record this delivery as running, so a later delivery could not be told "not run".
    return Unknown { refusal->reason, "the claim's release was not confirmed: " + refusal->detail, refusal->retryAt };
}

std::optional<NotRun> RequestRunner::recheckKey(const Request& request)
{
    if (request.keyId.empty())
        return std::nullopt;
    auto catalog = m_authority.catalog();
    const auto* key = catalog->findKey(request.keyId);
    if (!key || key->withdrawn || key->team != request.team)
        return NotRun { Reason::KeyWithdrawn, "the key was withdrawn while the request was waiting", {} };
    auto service = catalog->findService(request.service);
    if (!service.isValid() || !catalog->isTeamAllowed(service, catalog->findTeam(request.team)))
        return NotRun { Reason::TeamNotAllowed, "the service stopped accepting the team while the request was waiting", {} };
    return std::nullopt;
}

Outcome RequestRunner::refuse(RequestContext& context, NotRun refusal)
{
    if (context.fallbackResponse)
        return std::move(*context.fallbackResponse);
    if (context.startedAttempts == 0)
        return refusal;
    return Unknown { refusal.reason, std::move(refusal.detail), refusal.retryAt };
}

Outcome RequestRunner::execute(RequestContext& context)
{
    m_scheduler.enqueue(context.ticket, context.profile, context.weight, m_clock.now());
    for (;;) {
        if (m_scheduler.wait(context.ticket, m_clock) != TicketState::Granted || !m_scheduler.confirmGrant(context.ticket, m_clock.now()))
            return refuse(context, std::move(context.ticket.refusal));
        // The request may have waited longer than a withdrawn key may remain in use.
        if (auto refusal = recheckKey(context.request)) {
            m_scheduler.endAttempt(context.ticket, AttemptVerdict::Unused, AfterAttempt::Finish, m_clock.now());
            return refuse(context, std::move(*refusal));
        }
        if (auto outcome = attempt(context))
            return std::move(*outcome);
    }
}

std::optional<Outcome> RequestRunner::attempt(RequestContext& context)
{
    const auto& request = context.request;
    if (context.startedAttempts == 0 && context.notStartedAttempts == 0)
        m_budget.deposit(request.service, context.profile.retryRatio);
    auto attemptId = nextAttemptId();
    const auto& slot = context.ticket.slot;
    AttemptResult result = AttemptFailed { Reason::InternalError, "the attempt ended with an internal error" };
    try {
        result = m_client.send({ slot.address, slot.incarnation, attemptId, request.id, request.team, request.method,
            request.target, &request.headers, request.body, request.deadline, slot.maxConnections });
    } catch (...) {
        m_scheduler.endAttempt(context.ticket, AttemptVerdict::Broken, AfterAttempt::Finish, m_clock.now());
        throw;
    }
    return std::visit(AttemptResultVisitor { *this, context }, result);
}

void RequestRunner::requeueNotStarted(RequestContext& context, AttemptVerdict verdict)
{
    auto& ticket = context.ticket;
    if (std::find(ticket.avoid.begin(), ticket.avoid.end(), ticket.slot.endpoint) == ticket.avoid.end())
        ticket.avoid.push_back(ticket.slot.endpoint);
    if (++context.notStartedAttempts == 1) {
        m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Requeue, m_clock.now());
        return;
    }
    // Prevents a busy loop over endpoints that refuse every attempt.
    constexpr int64_t maxPauseMs = 50;
    auto pauseMs = std::min<int64_t>(maxPauseMs, int64_t { 1 } << std::min<int64_t>(context.notStartedAttempts - 2, 6));
    m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, m_clock.now());
    m_scheduler.pause(ticket, m_clock.now() + std::chrono::milliseconds(pauseMs), m_clock);
    m_scheduler.requeue(ticket, m_clock.now());
}

std::optional<Outcome> RequestRunner::handleResponse(RequestContext& context, Answered answer)
{
    ++context.startedAttempts;
    auto now = m_clock.now();
    auto& ticket = context.ticket;
    auto verdict = answer.status >= 500 ? AttemptVerdict::ServerError : AttemptVerdict::Succeeded;
    bool isRetryable = isTransientError(answer.status) && context.profile.idempotent && context.startedAttempts < context.profile.maxAttempts;
    if (isRetryable && m_budget.tryWithdraw(context.request.service)) {
        context.fallbackResponse = std::move(answer);
        ticket.avoid.push_back(ticket.slot.endpoint);
        m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Requeue, now);
        return std::nullopt;
    }
    m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, now);
    return answer;
}

std::optional<Outcome> RequestRunner::handleFailure(RequestContext& context, AttemptFailed failure)
{
    ++context.startedAttempts;
    auto now = m_clock.now();
    auto& ticket = context.ticket;
    const auto& service = context.request.service;
    bool isTimedOut = failure.reason == Reason::DeadlinePassed || now >= context.request.deadline;
    auto verdict = isTimedOut ? AttemptVerdict::TimedOut : AttemptVerdict::Broken;
    bool isRetryable = context.profile.idempotent && !isTimedOut && context.startedAttempts < context.profile.maxAttempts;
    if (isRetryable && m_budget.tryWithdraw(service)) {
        ticket.avoid.push_back(ticket.slot.endpoint);
        m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Requeue, now);
        return std::nullopt;
    }
    m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, now);
    if (context.fallbackResponse)
        return std::move(*context.fallbackResponse);
    if (isRetryable)
        return Unknown { Reason::RetryBudgetEmpty, "the service's retry budget is empty after: " + failure.detail, m_scheduler.retryAt(service, now) };
    if (isTimedOut)
        return Unknown { Reason::DeadlinePassed, std::move(failure.detail), m_scheduler.retryAt(service, now) };
    return Unknown { failure.reason, std::move(failure.detail), {} };
}

} // namespace vanillalift
