#pragma once

#include "claim_messages_p.h"
#include "holder_selector_p.h"

#include <functional>
#include <map>
#include <set>

namespace vanillalift {

struct ClaimHolderDesc {
    /// Name of this entry, which must be among the selector's entries.
    std::string name;
    /// Start time of this process in nanoseconds of the wall clock. A larger value is a newer incarnation.
    uint64_t incarnation = 0;
    /// Maximum number of keys in the claim table.
    size_t capacity = 400000;
    /// Maximum of timeout_ms plus claim_retention_ms over all profiles: claims granted before the start have expired by then.
    std::chrono::milliseconds recoveryTime { 925000 };
};

/// The latest known incarnation of each entry. Thread-safe.
class IncarnationTable {
public:
    /// @returns false if a newer incarnation of the entry is known.
    bool observe(const std::string& entry, uint64_t incarnation);
    [[nodiscard]] uint64_t latest(const std::string& entry) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, uint64_t, std::less<>> m_latest;
};

/// The holder side of claims in one entry: votes on claims, and copies claims from its peers after a restart.
///
/// A restarted holder has lost the votes that it granted. It votes on a key again once it has copied from each other holder
/// of the key while that holder was itself recovered for the key, or when recoveryTime has passed.
///
/// Each vote carries the latest incarnations of the key's holders that the voting holder knows. If a vote of an earlier
/// incarnation were counted together with a vote that another holder granted after it was copied, the restarted holder would
/// not know of the claim. The claiming entry therefore drops a vote if a newer incarnation of its holder is reported. A vote
/// granted before the copy is part of the copy.
class ClaimHolder {
public:
    ClaimHolder(ClaimHolderDesc desc, const HolderSelector& selector, const Clock& clock);

    nlohmann::json claim(const nlohmann::json& params);
    nlohmann::json settle(const nlohmann::json& params);
    nlohmann::json release(const nlohmann::json& params);
    nlohmann::json copyClaims(const nlohmann::json& params);

    /// Requests one page of a peer's claims. @returns nothing if the call failed.
    using FetchPage = std::function<std::optional<nlohmann::json>(const std::string& peer, const nlohmann::json& params)>;
    /// Copies the claims of the peers that have not been copied completely. To be called repeatedly until isRecovered().
    void recover(const FetchPage& fetchPage);
    /// @returns whether the holder votes on every key.
    [[nodiscard]] bool isRecovered() const;

    /// @returns the parameters of a claim, settle or release call with this entry as the sender.
    [[nodiscard]] nlohmann::json makeMessage(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil) const;

    [[nodiscard]] const ClaimHolderDesc& desc() const { return m_desc; }
    [[nodiscard]] ClaimTable& table() { return m_table; }
    [[nodiscard]] const ClaimTable& table() const { return m_table; }
    [[nodiscard]] IncarnationTable& incarnations() { return m_incarnations; }

private:
    [[nodiscard]] bool isRecoveryTimeOver() const { return m_clock.now() >= m_recoveryEnd; }
    /// @returns whether this holder votes on the keys with these @p holders (indices into the selector's entries).
    [[nodiscard]] bool isRecoveredFor(std::span<const size_t> holders) const;
    /// @returns the entries q for which this holder is recovered for holder set {this, requester, q}; in a site of two
    /// entries, the requester if this holder is recovered for the two.
    [[nodiscard]] std::set<size_t> recoveredThirdHolders(size_t requester) const;
    std::optional<std::set<size_t>> copyFromPeer(const PeerEntry& peer, const FetchPage& fetchPage);
    /// @returns false if the claim table is full.
    bool mergePage(const nlohmann::json& page);

    ClaimHolderDesc m_desc;
    const HolderSelector& m_selector;
    const Clock& m_clock;
    size_t m_self;
    TimePoint m_recoveryEnd;
    ClaimTable m_table;
    IncarnationTable m_incarnations;
    mutable std::mutex m_copyMutex;
    /// For each copied peer, the entries q for which the peer was recovered for holder set {this, peer, q} at the time. In a
    /// site of two entries, this entry itself stands for the set of the two.
    std::map<size_t, std::set<size_t>> m_copiedPeers;
};

} // namespace vanillalift
