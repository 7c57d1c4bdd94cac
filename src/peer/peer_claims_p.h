#pragma once

#include "claim_holder_p.h"
#include "local_claims_p.h"
#include "peer_channel_p.h"

#include <random>

namespace vanillalift {

struct PeerClaimsDesc {
    ClaimHolderDesc holder;
    LocalClaimsDesc local;
    /// Longest wait for a holder's reply.
    std::chrono::milliseconds callTimeout { 500 };
    /// Bounds of the random pause before a claim with split votes is tried again.
    std::chrono::milliseconds minRetryDelay { 2 };
    std::chrono::milliseconds maxRetryDelay { 20 };
    /// Longest pause between two questions to the entry that runs the request.
    std::chrono::milliseconds maxPollInterval { 100 };
    /// Most calls to one peer at once. Each uses a connection, and the peer's RpcServer a thread for each connection.
    size_t maxCallsPerPeer = 4;
    size_t maxQueuedCalls = 1024;
};

/// Counts since the start.
struct PeerClaimsStats {
    uint64_t won = 0;
    uint64_t failedAttempts = 0;
    uint64_t settledElsewhere = 0;
    uint64_t inProgress = 0;
    uint64_t unavailable = 0;
    uint64_t unconfirmedReleases = 0;
    size_t heldKeys = 0;
};

/// Claims over the entries of a site: the claiming side, with this entry's own holder.
///
/// A claim is won by votes of a majority of the key's holders. An attempt that did not win is given up for good before
/// its votes are rolled back, so a rollback that reaches only some holders does no harm. The same holds for a
/// release. Settling is sent to the other holders without waiting: a holder that misses it goes on refusing the key as
/// claimed, and the executing entry answers for it.
class PeerClaims final : public ClaimService {
public:
    PeerClaims(PeerClaimsDesc desc, HolderSelector selector, PeerTransport& transport, const Clock& clock);
    /// Sends what is queued and stops. No call may be in progress.
    ~PeerClaims() override;
    PeerClaims(const PeerClaims&) = delete;
    PeerClaims& operator=(const PeerClaims&) = delete;

    ClaimResult claim(const ClaimKey& key, TimePoint deadline, TimePoint retainUntil) override;
    void settle(const ClaimKey& key, const Outcome& outcome) override;
    bool release(const ClaimKey& key) override;

    /// What this entry knows of one of its attempts, for other entries.
    nlohmann::json fetchAnswer(const nlohmann::json& params) const;
    ClaimHolder& holder() { return m_holder; }
    /// @returns whether this entry votes on every key, so that another one may be restarted.
    [[nodiscard]] bool isReady() const { return m_holder.isRecovered(); }
    [[nodiscard]] PeerClaimsStats stats() const;

private:
    struct CallGroup;
    enum class VoteResult : uint8_t {
        Won,
        /// Another attempt holds or settled it; see owner.
        Held,
        Settled,
        /// The votes were split or the attempt was late.
        Retry,
        Unavailable,
        RoundResultCount,
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
        /// The owner restarted or no longer knows the attempt.
        AttemptUnknown,
        Unreachable,
        OwnerStateCount,
    };
    struct OwnerReply {
        OwnerState state = OwnerState::Unreachable;
        std::optional<Outcome> outcome;
    };

    std::shared_ptr<CallGroup> broadcast(const ClaimKey& key, const std::string& method, const nlohmann::json& params, TimePoint deadline);
    nlohmann::json callOwnHolder(const std::string& method, const nlohmann::json& params);
    Tally vote(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint deadline, TimePoint retainUntil);
    Tally tally(const CallGroup& group, size_t majority) const;
    bool isCurrentVote(const CallGroup& group, size_t index) const;
    std::optional<ClaimResult> tryClaim(const ClaimKey& key, const LocalClaim& local, TimePoint deadline);
    std::optional<ClaimResult> pollOwner(const ClaimKey& key, const Tally& tally, TimePoint deadline, TimePoint retainUntil);
    ClaimResult fetchSettled(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline);
    nlohmann::json callPeer(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline);
    OwnerReply queryOwner(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline);
    void broadcastRelease(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil);
    [[nodiscard]] ClaimAttempt attemptOf(const LocalClaim& local) const;
    TimePoint callDeadline(TimePoint deadline) const;
    void backOff(std::chrono::milliseconds longest, TimePoint deadline);
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
