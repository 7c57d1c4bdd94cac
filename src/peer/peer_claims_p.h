#pragma once

#include "claim_holder_p.h"
#include "local_claims_p.h"
#include "peer_channel_p.h"

#include <random>

namespace vanillalift {

struct PeerClaimsDesc {
    ClaimHolderDesc holder;
    LocalClaimsDesc local;
    /// Timeout of a call to a holder.
    std::chrono::milliseconds callTimeout { 500 };
    /// Bounds of the random delay before the next attempt after a split vote.
    std::chrono::milliseconds minRetryDelay { 2 };
    std::chrono::milliseconds maxRetryDelay { 20 };
    /// Maximum delay between two status queries to the entry that runs the request.
    std::chrono::milliseconds maxPollInterval { 100 };
    /// Maximum concurrent calls to one peer. Each uses a connection, and the peer's RpcServer uses a thread for each connection.
    size_t maxCallsPerPeer = 4;
    size_t maxQueuedCalls = 1024;
};

/// Counters since the start of the process.
struct PeerClaimsStats {
    uint64_t won = 0;
    /// Attempts that did not win, including those that were tried again.
    uint64_t failedAttempts = 0;
    uint64_t settledElsewhere = 0;
    uint64_t inProgress = 0;
    uint64_t unavailable = 0;
    /// Releases that no majority of the holders recorded.
    uint64_t unconfirmedReleases = 0;
    /// Current number of keys in this entry's claim table.
    size_t heldKeys = 0;
};

/// Claims across the entries of a site: the claiming side, together with this entry's own holder.
///
/// A claim is won by the votes of a majority of the key's holders. An attempt that did not win is aborted locally, for good,
/// before a release rolls back its votes, so a rollback that reaches only some holders does no harm. The same applies to the
/// release of a won claim. settle() does not wait for the holders' replies: a holder that misses the message still refuses the
/// key as held, and other entries get the outcome from the entry that ran the request.
class PeerClaims final : public ClaimService {
public:
    PeerClaims(PeerClaimsDesc desc, HolderSelector selector, PeerTransport& transport, const Clock& clock);
    /// Completes the queued calls to the peers and stops. No call of claim(), settle() or release() may be in progress.
    ~PeerClaims() override;
    PeerClaims(const PeerClaims&) = delete;
    PeerClaims& operator=(const PeerClaims&) = delete;

    ClaimResult claim(const ClaimKey& key, TimePoint deadline, TimePoint retainUntil) override;
    void settle(const ClaimKey& key, const Outcome& outcome) override;
    bool release(const ClaimKey& key) override;

    /// Serves fetch_answer. @returns the state of one of this entry's attempts, with the outcome if it is kept.
    nlohmann::json fetchAnswer(const nlohmann::json& params) const;
    ClaimHolder& holder() { return m_holder; }
    /// @returns whether this entry votes on every key, so that the next entry may be restarted.
    [[nodiscard]] bool isReady() const { return m_holder.isRecovered(); }
    [[nodiscard]] PeerClaimsStats stats() const;

private:
    struct CallGroup;
    enum class VoteResult : uint8_t {
        Won,
        /// Another attempt holds the claim; see owner.
        Held,
        Settled,
        /// A majority voted, but neither granted the claim nor reported an owner.
        Retry,
        Unavailable,
        VoteResultCount,
    };
    struct Tally {
        VoteResult result = VoteResult::Unavailable;
        ClaimAttempt owner;
        bool isOwnerMajority = false;
    };
    enum class OwnerState : uint8_t {
        Running,
        Settled,
        /// The attempt will never run.
        Aborted,
        /// The owner has restarted or no longer knows the attempt.
        AttemptUnknown,
        Unreachable,
        OwnerStateCount,
    };
    struct OwnerReply {
        OwnerState state = OwnerState::Unreachable;
        std::optional<Outcome> outcome;
    };

    std::shared_ptr<CallGroup> broadcast(const ClaimKey& key, const std::string& method, const nlohmann::json& params, TimePoint deadline);
    nlohmann::json callLocalHolder(const std::string& method, const nlohmann::json& params);
    Tally vote(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint deadline, TimePoint retainUntil);
    Tally tallyVotes(const CallGroup& group, size_t majority) const;
    bool isCurrentVote(const CallGroup& group, size_t index) const;
    std::optional<ClaimResult> tryClaim(const ClaimKey& key, const LocalClaim& local, TimePoint deadline);
    std::optional<ClaimResult> pollOwner(const ClaimKey& key, const Tally& tally, TimePoint deadline, TimePoint retainUntil);
    ClaimResult fetchSettled(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline);
    nlohmann::json callPeer(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline);
    OwnerReply queryOwner(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline);
    void broadcastRelease(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil);
    [[nodiscard]] ClaimAttempt attemptOf(const LocalClaim& local) const;
    TimePoint callDeadline(TimePoint deadline) const;
    /// Sleeps for a random time between minRetryDelay and @p maxDelay, but not beyond the deadline.
    void backOff(std::chrono::milliseconds maxDelay, TimePoint deadline);
    ClaimResult countResult(ClaimResult result);
    void runMaintenance();

    PeerClaimsDesc m_desc;
    HolderSelector m_selector;
    PeerTransport& m_transport;
    const Clock& m_clock;
    ClaimHolder m_holder;
    LocalClaims m_local;
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
    std::atomic<uint64_t> m_failedAttempts { 0 };
    std::atomic<uint64_t> m_unconfirmedReleases { 0 };
    std::array<std::atomic<uint64_t>, std::variant_size_v<ClaimResult>> m_results {};
    std::mutex m_stopMutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::map<std::string, std::unique_ptr<PeerChannel>> m_channels;
    std::thread m_maintenanceThread;
};

} // namespace vanillalift
