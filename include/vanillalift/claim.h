#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/outcome.h>

#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// Claims that make a non-idempotent request run at most once in a site, whichever entry receives a resend.
namespace vanillalift {

struct ClaimKey {
    std::string team;
    std::string service;
    std::string requestId;

    auto operator<=>(const ClaimKey&) const = default; // NOLINT(modernize-use-nullptr): reported for rewritten comparisons
};

/// This receipt won the claim: nothing has run under the key, and no other receipt may run it.
struct ClaimWon {
};
/// Another receipt ran the request; this is the first outcome (the answer, or Unknown if it is not kept or not known).
struct ClaimSettled {
    Outcome outcome;
};
/// Another receipt is still running the request, or the deadline passed while waiting for it.
struct ClaimInProgress {
};
/// No majority of the claim's holders could be asked.
struct ClaimUnavailable {
    std::string detail;
};
using ClaimResult = std::variant<ClaimWon, ClaimSettled, ClaimInProgress, ClaimUnavailable>;

/// Claims of this entry. Thread-safe; calls block for at most one round trip to the holders, except that claim()
/// waits until @p deadline for a request that another receipt is running.
class ClaimService {
public:
    virtual ~ClaimService() = default;

    /// @param retainUntil the claim is forgotten after this moment.
    virtual ClaimResult claim(const ClaimKey& key, TimePoint deadline, TimePoint retainUntil) = 0;

    /// Records the outcome of a won claim. Call before the outcome is sent to the caller.
    virtual void settle(const ClaimKey& key, const Outcome& outcome) = 0;

    /// Gives a won claim back, with proof that nothing was started. @returns whether a majority of the holders
    /// recorded it; if not, the caller must not be told "not run".
    virtual bool release(const ClaimKey& key) = 0;
};

} // namespace vanillalift
