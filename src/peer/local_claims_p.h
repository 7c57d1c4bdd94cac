#pragma once

#include "claim_table_p.h"

#include <condition_variable>
#include <deque>
#include <map>

namespace vanillalift {

/// State of this entry's own attempt for one key.
enum class LocalClaimState : uint8_t {
    CollectingVotes,
    /// The claim was won; the request may be running.
    Running,
    Settled,
    /// Lost or released; the attempt will never run.
    Aborted,
    LocalClaimStateCount,
};

struct LocalClaim {
    uint64_t number = 0;
    LocalClaimState state = LocalClaimState::Aborted;
    TimePoint retainUntil;
    /// Set when settled, until it is evicted from the response cache.
    std::optional<Outcome> outcome;
};

struct LocalClaimsDesc {
    /// Maximum number of keys. If it is reached, claims of new keys are refused.
    size_t capacity = 200000;
    /// Maximum total size of the bodies and headers of cached responses, in bytes.
    size_t maxCachedBytes = 64U << 20U;
    std::chrono::milliseconds responseRetention { 60000 };
};

/// The claim attempts of this entry, one at a time for each key, and the outcomes of the requests that it ran. Thread-safe.
class LocalClaims {
public:
    explicit LocalClaims(LocalClaimsDesc desc);

    /// Starts the key's next attempt unless one is collecting votes, running or settled.
    /// @param isStarted set to whether the returned attempt is new.
    /// @returns the attempt, or nothing if the table is full.
    std::optional<LocalClaim> startAttempt(const ClaimKey& key, TimePoint retainUntil, TimePoint now, bool& isStarted);
    /// Waits until the attempt is neither collecting votes nor running, or until the deadline.
    void waitUntilDecided(const ClaimKey& key, uint64_t number, TimePoint deadline);
    /// Changes the state of the key's attempt from @p from to @p to. @returns the attempt, or nothing if it was in another state.
    std::optional<LocalClaim> transition(const ClaimKey& key, LocalClaimState from, LocalClaimState to);
    /// Records the outcome of a running attempt. @returns the attempt, or nothing if none is running.
    std::optional<LocalClaim> settle(const ClaimKey& key, const Outcome& outcome, TimePoint now);
    [[nodiscard]] std::optional<LocalClaim> find(const ClaimKey& key) const;

    /// Removes expired attempts and evicts responses after their retention.
    void expire(TimePoint now);

private:
    struct CachedResponse {
        ClaimKey key;
        TimePoint expiresAt;
        size_t bytes = 0;
    };
    void evictOldestResponse();

    LocalClaimsDesc m_desc;
    mutable std::mutex m_mutex;
    std::condition_variable m_decided;
    /// Shared by all keys, so that the number of an expired attempt is not used again for its key.
    uint64_t m_lastNumber = 0;
    std::map<ClaimKey, LocalClaim> m_claims;
    std::deque<CachedResponse> m_responses;
    size_t m_cachedBytes = 0;
};

/// @returns the outcome of a request that has run and whose response is not kept.
Outcome alreadyRunOutcome();

} // namespace vanillalift
