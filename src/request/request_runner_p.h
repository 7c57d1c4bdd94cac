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
    struct Run;
    struct OnAttemptResult;

    Outcome runOnce(Run& run);
    Outcome runWon(const ClaimKey& key, Run& run);
    Outcome execute(Run& run);
    /// @returns the refusal of a request whose key no longer works.
    std::optional<NotRun> checkKeyAgain(const Request& request);
    /// @returns the outcome of a request that is given up before an attempt.
    static Outcome refuse(Run& run, NotRun refusal);
    /// @returns the outcome, or nothing if the ticket is queued again.
    std::optional<Outcome> attempt(Run& run);
    void requeueUnstarted(Run& run, AttemptVerdict verdict);
    std::optional<Outcome> afterAnswer(Run& run, Answered answer);
    std::optional<Outcome> afterFailure(Run& run, AttemptFailed failure);
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
    std::atomic<uint64_t> m_attempts { 0 };
    /// Part of each attempt id, so that a restarted entry does not repeat ids.
    int64_t m_startedAt;
};

} // namespace vanillalift
