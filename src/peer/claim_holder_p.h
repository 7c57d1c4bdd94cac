#pragma once

#include "claim_messages_p.h"
#include "holder_selector_p.h"

#include <functional>
#include <map>
#include <set>

namespace vanillalift {

struct ClaimHolderDesc {
    /// Name of this entry; one of the ring's.
    std::string name;
    /// Start time of this process in nanoseconds of the wall clock; larger is newer.
    uint64_t incarnation = 0;
    /// Most keys held at once.
    size_t capacity = 400000;
    /// Longest timeout_ms plus claim_retention_ms of any profile: claims granted before the start have expired by then.
    std::chrono::milliseconds recoveryTime { 925000 };
};

/// The latest incarnation of each entry that this process has heard of. Thread-safe.
class IncarnationTable {
public:
    /// @returns false if a newer incarnation of the entry is known.
    bool observe(const std::string& entry, uint64_t incarnation);
    [[nodiscard]] uint64_t latest(const std::string& entry) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, uint64_t, std::less<>> m_latest;
};

/// The holder's side of claims in one entry: votes on claims, and copies claims after a restart.
///
/// A restarted holder has lost its votes. For a key it votes again once it has copied from each other holder of the
/// key while that one was itself valid for the key, or when recoveryTime has passed. Each vote carries the
/// incarnations that the holder knows of the key's other holders. If a vote of an earlier incarnation was counted
/// beside a vote given after the copy, the restarted holder would not know of the claim; the carried incarnation lets
/// the claiming entry drop the earlier vote. A vote given before the copy is part of the copy.
class ClaimHolder {
public:
    ClaimHolder(ClaimHolderDesc desc, const HolderSelector& selector, const Clock& clock);

    nlohmann::json claim(const nlohmann::json& params);
    nlohmann::json settle(const nlohmann::json& params);
    nlohmann::json release(const nlohmann::json& params);
    nlohmann::json copyClaims(const nlohmann::json& params);

    /// Asks a peer for one page of its claims. @returns nothing if it could not be asked.
    using FetchPage = std::function<std::optional<nlohmann::json>(const std::string& peer, const nlohmann::json& params)>;
    /// Copies from the peers that are still missing. Called repeatedly until isRecovered().
    void recover(const FetchPage& ask);
    /// @returns whether the holder votes on every key.
    [[nodiscard]] bool isRecovered() const;

    /// @returns a message about the key with this entry as the sender.
    [[nodiscard]] nlohmann::json makeMessage(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil) const;

    [[nodiscard]] const ClaimHolderDesc& desc() const { return m_desc; }
    [[nodiscard]] ClaimTable& table() { return m_table; }
    [[nodiscard]] const ClaimTable& table() const { return m_table; }
    [[nodiscard]] IncarnationTable& incarnations() { return m_incarnations; }

private:
    [[nodiscard]] bool isRecoveryTimeOver() const { return m_clock.now() >= m_recoveryEnd; }
    [[nodiscard]] bool isRecoveredFor(std::span<const size_t> holders) const;
    [[nodiscard]] std::set<size_t> recoveredThirdHolders(size_t requester) const;
    std::optional<std::set<size_t>> copyFromPeer(const PeerEntry& peer, const FetchPage& ask);
    bool mergePage(const nlohmann::json& page);

    ClaimHolderDesc m_desc;
    const HolderSelector& m_selector;
    const Clock& m_clock;
    size_t m_self;
    TimePoint m_recoveryEnd;
    ClaimTable m_table;
    IncarnationTable m_incarnations;
    mutable std::mutex m_copyMutex;
    /// For each peer copied from, the entries q for which the peer was valid for holder set {this, peer, q}. In a site
    /// of two entries, this entry stands for the set of the two.
    std::map<size_t, std::set<size_t>> m_copiedPeers;
};

} // namespace vanillalift
