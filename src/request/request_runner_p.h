#pragma once

#include "retry_budget_p.h"
#include "scheduler_p.h"

#include <vanillalift/claim.h>
#include <vanillalift/request.h>

#include <atomic>

namespace vanillalift {

/// Takes a request through claim, admission, dispatch and attempts to its outcome.
class RequestRunner final : public RequestHandler, public EndpointPoolListener {
public:
    /// @param name name of this entry, unique in the site; part of each attempt id.
    RequestRunner(std::string name, const Clock& clock, const Authority& authority, Scheduler& scheduler, AttemptClient& client, ClaimService& claims);

    Outcome handle(const Request& request, const CallerConnection& caller) override;
    void endpointsChanged(std::string_view service) override { m_scheduler.endpointsChanged(service, m_clock.now()); }

private:
    /// One receipt of a request.
    struct RequestContext;
    struct AttemptResultVisitor;

    Outcome executeAtMostOnce(RequestContext& context);
    Outcome executeClaimed(const ClaimKey& key, RequestContext& context);
    Outcome execute(RequestContext& context);
    /// @returns the refusal of a request whose key no longer works.
    std::optional<NotRun> recheckKey(const Request& request);
    /// @returns the outcome of a request that is given up before an attempt.
    static Outcome refuse(RequestContext& context, NotRun refusal);
    /// @returns the outcome, or nothing if the ticket is queued again.
    std::optional<Outcome> attempt(RequestContext& context);
    void requeueUnstarted(RequestContext& context, AttemptVerdict verdict);
    std::optional<Outcome> handleAnswer(RequestContext& context, Answered answer);
    std::optional<Outcome> handleFailure(RequestContext& context, AttemptFailed failure);
    /// The outcome of a request that is not known to have been checked for earlier receipts.
    Outcome refuseUnclaimed(const Request& request, Reason reason, std::string detail);
    std::string nextAttemptId();

    std::string m_name;
    const Clock& m_clock;
    const Authority& m_authority;
    Scheduler& m_scheduler;
    AttemptClient& m_client;
    ClaimService& m_claims;
    RetryBudget m_budget;
    std::atomic<uint64_t> m_attemptCount { 0 };
    /// Part of each attempt id, so that a restarted entry does not repeat ids.
    int64_t m_startedAtMs;
};

} // namespace vanillalift
