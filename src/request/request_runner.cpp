#include "request_runner_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    /// Server errors that another endpoint may not give: 500, 502, 503 and 504.
    bool isTransientError(int status)
    {
        return status == 500 || (status >= 502 && status <= 504);
    }

} // namespace

struct RequestRunner::Run {
    const Request& request;
    const Profile& profile;
    double weight;
    Ticket& ticket;
    /// Attempts that may have started.
    int64_t started = 0;
    /// Attempts proved unstarted.
    int64_t unstarted = 0;
    /// Whole answer with a server error that is delivered if the retry brings no other.
    std::optional<Answered> errorAnswer;
};

struct RequestRunner::OnAttemptResult {
    RequestRunner& runner;
    Run& run;

    std::optional<Outcome> operator()(AttemptAnswered& result) const
    {
        return runner.afterAnswer(run, std::move(result.answer));
    }
    std::optional<Outcome> operator()(AttemptNotSent& /*result*/) const
    {
        runner.requeueUnstarted(run, AttemptVerdict::NotSent);
        return std::nullopt;
    }
    std::optional<Outcome> operator()(AttemptNotStarted& /*result*/) const
    {
        runner.requeueUnstarted(run, AttemptVerdict::NotStarted);
        return std::nullopt;
    }
    std::optional<Outcome> operator()(AttemptFailed& result) const { return runner.afterFailure(run, std::move(result)); }
};

RequestRunner::RequestRunner(std::string name, const Clock& clock, const Authority& authority, Scheduler& scheduler, AttemptClient& client, ClaimService& claims)
    : m_name(std::move(name))
    , m_clock(clock)
    , m_authority(authority)
    , m_scheduler(scheduler)
    , m_client(client)
    , m_claims(claims)
    , m_startedAt(wallClockMs())
{
}

std::string RequestRunner::nextAttemptId()
{
    return m_name + "-" + std::to_string(m_startedAt) + "-" + std::to_string(++m_attempts);
}

Outcome RequestRunner::refuseUnclaimed(const Request& request, Reason reason, std::string detail)
{
    auto now = m_clock.now();
    // An earlier receipt under the caller's id may have run.
    if (request.hasCallerId)
        return Unknown { reason, std::move(detail), m_scheduler.retryAt(request.service, now) };
    return NotRun { reason, std::move(detail), m_scheduler.retryAt(request.service, now) };
}

Outcome RequestRunner::handle(const Request& request, const CallerConnection& caller)
{
    auto catalog = m_authority.catalog();
    auto service = catalog ? catalog->findService(request.service) : ServiceHandle {};
    if (!service.isValid()) {
        // The service may have been removed after an earlier receipt of the request ran.
        constexpr const char* detail = "no service has this name";
        if (request.hasCallerId)
            return Unknown { Reason::ServiceUnknown, detail, {} };
        return NotRun { Reason::ServiceUnknown, detail, {} };
    }
    auto team = catalog->findTeam(request.team);
    // The callback may run while handle() returns, so it must not keep a pointer to this frame.
    auto ticket = std::make_shared<Ticket>(request.service, request.team, request.deadline);
    ticket->requestKind = requestKind(request.method, request.target);
    caller.onClose([this, weak = std::weak_ptr(ticket)] {
        if (auto it = weak.lock())
            m_scheduler.cancel(*it, m_clock.now());
    });
    if (caller.isClosed())
        m_scheduler.cancel(*ticket, m_clock.now());
    Run run { request, catalog->profileOf(service), team.isValid() ? catalog->shareWeight(service, team) : 1, *ticket };
    return run.profile.idempotent ? execute(run) : runOnce(run);
}

Outcome RequestRunner::runOnce(Run& run)
{
    const auto& request = run.request;
    auto now = m_clock.now();
    auto retainUntil = now + std::chrono::milliseconds(run.profile.timeoutMs + run.profile.claimRetentionMs);
    ClaimKey key { request.team, request.service, request.id };
    auto result = m_claims.claim(key, request.deadline, retainUntil);
    if (auto* settled = std::get_if<ClaimSettled>(&result))
        return std::move(settled->outcome);
    if (std::holds_alternative<ClaimInProgress>(result))
        return Unknown { Reason::InProgress, "another receipt of this request is running", m_scheduler.retryAt(request.service, m_clock.now()) };
    if (auto* unavailable = std::get_if<ClaimUnavailable>(&result))
        return refuseUnclaimed(request, Reason::ClaimsUnavailable, std::move(unavailable->detail));
    return runWon(key, run);
}

Outcome RequestRunner::runWon(const ClaimKey& key, Run& run)
{
    Outcome outcome;
    try {
        outcome = execute(run);
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
    // The holders still count this receipt as running, so "not run" could not be proved to a later receipt.
    return Unknown { refusal->reason, "the release of the claim was not confirmed: " + refusal->detail, refusal->retryAt };
}

std::optional<NotRun> RequestRunner::checkKeyAgain(const Request& request)
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

Outcome RequestRunner::refuse(Run& run, NotRun refusal)
{
    if (run.errorAnswer)
        return std::move(*run.errorAnswer);
    if (run.started == 0)
        return refusal;
    return Unknown { refusal.reason, std::move(refusal.detail), refusal.retryAt };
}

Outcome RequestRunner::execute(Run& run)
{
    m_scheduler.enqueue(run.ticket, run.profile, run.weight, m_clock.now());
    for (;;) {
        if (m_scheduler.wait(run.ticket, m_clock) != TicketState::Granted || !m_scheduler.confirm(run.ticket, m_clock.now()))
            return refuse(run, std::move(run.ticket.refusal));
        // A request may wait longer than a withdrawn key is allowed to work.
        if (auto refusal = checkKeyAgain(run.request)) {
            m_scheduler.endAttempt(run.ticket, AttemptVerdict::Unused, AfterAttempt::Finish, m_clock.now());
            return refuse(run, std::move(*refusal));
        }
        if (auto outcome = attempt(run))
            return std::move(*outcome);
    }
}

std::optional<Outcome> RequestRunner::attempt(Run& run)
{
    const auto& request = run.request;
    if (run.started == 0 && run.unstarted == 0)
        m_budget.deposit(request.service, run.profile.retryRatio);
    auto attemptId = nextAttemptId();
    const auto& place = run.ticket.place;
    AttemptResult result = AttemptFailed { Reason::InternalError, "the attempt ended with an internal error" };
    try {
        result = m_client.send({ place.address, place.incarnation, attemptId, request.id, request.team, request.method,
            request.target, &request.headers, request.body, request.deadline, place.maxConnections });
    } catch (...) {
        m_scheduler.endAttempt(run.ticket, AttemptVerdict::Broken, AfterAttempt::Finish, m_clock.now());
        throw;
    }
    return std::visit(OnAttemptResult { *this, run }, result);
}

void RequestRunner::requeueUnstarted(Run& run, AttemptVerdict verdict)
{
    auto& ticket = run.ticket;
    if (std::find(ticket.avoid.begin(), ticket.avoid.end(), ticket.place.endpoint) == ticket.avoid.end())
        ticket.avoid.push_back(ticket.place.endpoint);
    if (++run.unstarted == 1) {
        m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Requeue, m_clock.now());
        return;
    }
    // Endpoints that refuse every attempt would otherwise be asked again in a tight loop.
    constexpr int64_t longestPauseMs = 50;
    auto pauseMs = std::min<int64_t>(longestPauseMs, int64_t { 1 } << std::min<int64_t>(run.unstarted - 2, 6));
    m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, m_clock.now());
    m_scheduler.pause(ticket, m_clock.now() + std::chrono::milliseconds(pauseMs), m_clock);
    m_scheduler.requeue(ticket, m_clock.now());
}

std::optional<Outcome> RequestRunner::afterAnswer(Run& run, Answered answer)
{
    ++run.started;
    auto now = m_clock.now();
    auto& ticket = run.ticket;
    auto verdict = answer.status >= 500 ? AttemptVerdict::ServerError : AttemptVerdict::Succeeded;
    bool isRetryable = isTransientError(answer.status) && run.profile.idempotent && run.started < run.profile.maxAttempts;
    if (isRetryable && m_budget.draw(run.request.service)) {
        run.errorAnswer = std::move(answer);
        ticket.avoid.push_back(ticket.place.endpoint);
        m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Requeue, now);
        return std::nullopt;
    }
    m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, now);
    return answer;
}

std::optional<Outcome> RequestRunner::afterFailure(Run& run, AttemptFailed failure)
{
    ++run.started;
    auto now = m_clock.now();
    auto& ticket = run.ticket;
    const auto& service = run.request.service;
    bool isTimedOut = failure.reason == Reason::DeadlinePassed || now >= run.request.deadline;
    auto verdict = isTimedOut ? AttemptVerdict::TimedOut : AttemptVerdict::Broken;
    bool isRetryable = run.profile.idempotent && !isTimedOut && run.started < run.profile.maxAttempts;
    if (isRetryable && m_budget.draw(service)) {
        ticket.avoid.push_back(ticket.place.endpoint);
        m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Requeue, now);
        return std::nullopt;
    }
    m_scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, now);
    if (run.errorAnswer)
        return std::move(*run.errorAnswer);
    if (isRetryable)
        return Unknown { Reason::RetryBudgetEmpty, "the service's retry budget is empty after: " + failure.detail, m_scheduler.retryAt(service, now) };
    if (isTimedOut)
        return Unknown { Reason::DeadlinePassed, std::move(failure.detail), m_scheduler.retryAt(service, now) };
    return Unknown { failure.reason, std::move(failure.detail), {} };
}

} // namespace vanillalift
