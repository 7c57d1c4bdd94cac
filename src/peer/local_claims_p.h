#pragma once

#include "claim_table_p.h"

#include <condition_variable>
#include <deque>
#include <map>

namespace vanillalift {

/// Own attempt of this entry at one key.
enum class LocalClaimState : uint8_t {
    /// Votes are being collected.
    CollectingVotes,
    /// Won; the request may run.
    Running,
    Settled,
    /// Lost or released; the attempt will never run.
    Aborted,
    LocalStateCount,
};

struct LocalClaim {
    uint64_t number = 0;
    LocalClaimState state = LocalClaimState::Aborted;
    TimePoint retainUntil;
    /// Set once settled, until the answer is dropped from the cache.
    std::optional<Outcome> outcome;
};

struct LocalClaimsDesc {
    /// Most keys kept at once; beyond it claims are refused.
    size_t capacity = 200000;
    /// Bound on the bodies of kept answers.
    size_t maxCachedBytes = 64U << 20U;
    std::chrono::milliseconds responseRetention { 60000 };
};

/// The attempts of this entry with the answers of those it ran. One attempt at a time for each key. Thread-safe.
class LocalClaims {
public:
    explicit LocalClaims(LocalClaimsDesc desc);

    /// Starts the next attempt unless one is forming, running or settled.
    /// @param isStarted set if the attempt in the result is a new one.
    /// @returns the attempt, or nothing if the table is full.
    std::optional<LocalClaim> startAttempt(const ClaimKey& key, TimePoint retainUntil, TimePoint now, bool& isStarted);
    /// Waits until the attempt is neither forming nor running, or until the deadline.
    void waitUntilDecided(const ClaimKey& key, uint64_t number, TimePoint deadline);
    /// Changes the state of the key's attempt if it is in state @p from. @returns the attempt if it was.
    std::optional<LocalClaim> transition(const ClaimKey& key, LocalClaimState from, LocalClaimState to);
    std::optional<LocalClaim> settle(const ClaimKey& key, const Outcome& outcome, TimePoint now);
    [[nodiscard]] std::optional<LocalClaim> find(const ClaimKey& key) const;

    /// Forgets expired attempts and old answers.
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
    /// Grows over all keys, so that an attempt after an expired one has a number of its own.
    uint64_t m_lastNumber = 0;
    std::map<ClaimKey, LocalClaim> m_claims;
    std::deque<CachedResponse> m_responses;
    size_t m_cachedBytes = 0;
};

/// The outcome of a request that ran and whose answer is not kept.
Outcome alreadyRunOutcome();

} // namespace vanillalift
