#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/outcome.h>

#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// Claims ensure that a non-idempotent request runs at most once in a site, whichever entries receive it and its resends.
namespace vanillalift {

struct ClaimKey {
    std::string team;
    std::string service;
    std::string requestId;

    auto operator<=>(const ClaimKey&) const = default; // NOLINT(modernize-use-nullptr): reported for rewritten comparisons
};

/// This delivery won the claim: no request with the key has run, and no other delivery of it may run.
struct ClaimWon {
};
/// Another delivery ran the request. Holds the outcome of that run: the response, or Unknown if it is not kept or not known.
struct ClaimSettled {
    Outcome outcome;
};
/// Another delivery is still running the request, or the deadline passed while waiting for it.
struct ClaimInProgress {
};
/// The claim could not be decided, for example because no majority of the key's holders could be reached.
struct ClaimUnavailable {
    std::string detail;
};
using ClaimResult = std::variant<ClaimWon, ClaimSettled, ClaimInProgress, ClaimUnavailable>;

/// Makes, settles and releases the claims of this entry. Thread-safe. A call usually blocks for at most one round trip to the
/// holders; release() may take two, and claim() waits until @p deadline for a request that another delivery is running.
class ClaimService {
public:
    virtual ~ClaimService() = default;

    /// @param retainUntil the claim expires at this time.
    virtual ClaimResult claim(const ClaimKey& key, TimePoint deadline, TimePoint retainUntil) = 0;

    /// Records the outcome of a won claim. Must be called before the outcome is sent to the caller.
    virtual void settle(const ClaimKey& key, const Outcome& outcome) = 0;

    /// Gives up a won claim of a request that has provably not been started. @returns whether a majority of the holders
    /// recorded the release; if not, the caller must not be told "not run".
    virtual bool release(const ClaimKey& key) = 0;
};

} // namespace vanillalift
