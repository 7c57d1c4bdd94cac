#pragma once

#include "retry_budget_p.h"
#include "scheduler_p.h"

#include <vanillalift/claim.h>
#include <vanillalift/request.h>

#include <atomic>

namespace vanillalift {

/// Processes requests from the claim (for non-idempotent services) through admission, queueing and attempts to the outcome.
class RequestRunner final : public RequestHandler, public EndpointPoolListener {
public:
    /// @param name unique name of this entry in the site; prefix of each attempt id.
    RequestRunner(std::string name, const Clock& clock, const Authority& authority, Scheduler& scheduler, AttemptClient& client, ClaimService& claims);

    Outcome handle(const Request& request, const CallerConnection& caller) override;
    void endpointsChanged(std::string_view service) override { m_scheduler.endpointsChanged(service, m_clock.now()); }

private:
    /// State of one delivery of a request.
    struct RequestContext;
    struct AttemptResultVisitor;

    /// Claims the request id before execution, so that deliveries of the same id start at most one execution.
    Outcome executeAtMostOnce(RequestContext& context);
    /// Executes a request whose claim was won and settles or releases the claim.
    Outcome executeClaimed(const ClaimKey& key, RequestContext& context);
    Outcome execute(RequestContext& context);
    /// @returns a refusal if the request's key was withdrawn or its team is no longer allowed to use the service.
    std::optional<NotRun> recheckKey(const Request& request);
    /// @returns the outcome of a request that gets no (further) attempt.
    static Outcome refuse(RequestContext& context, NotRun refusal);
    /// Sends one attempt.
    /// @returns the outcome, or nothing if the ticket was queued again.
    std::optional<Outcome> attempt(RequestContext& context);
    /// Queues the request again after an attempt that provably did not start; from the second one on after a pause.
    void requeueNotStarted(RequestContext& context, AttemptVerdict verdict);
    std::optional<Outcome> handleResponse(RequestContext& context, Answered answer);
    std::optional<Outcome> handleFailure(RequestContext& context, AttemptFailed failure);
    /// @returns the outcome of a request whose claim could not be checked for earlier deliveries.
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
    /// Part of each attempt id, so that a restarted entry does not reuse ids.
    int64_t m_startedAtMs;
};

} // namespace vanillalift
