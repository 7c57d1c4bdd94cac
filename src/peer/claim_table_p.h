#pragma once

#include <vanillalift/claim.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillalift {

/// One attempt of an entry to win a claim. An entry makes one attempt at a time for each key, with ascending numbers.
struct ClaimAttempt {
    std::string entry;
    uint64_t incarnation = 0;
    uint64_t number = 0;

    auto operator<=>(const ClaimAttempt&) const = default; // NOLINT(modernize-use-nullptr): reported for rewritten comparisons
};

enum class ClaimVerdict : uint8_t {
    Granted,
    /// Another attempt holds the claim.
    Held,
    /// The request has run.
    Settled,
    /// The attempt was aborted by its entry, so the message is stale.
    Aborted,
    /// The claim table is full.
    Full,
    /// The holder restarted and has not yet recovered the votes that it granted before.
    Recovering,
    ClaimVerdictCount,
};

struct ClaimReply {
    ClaimVerdict verdict = ClaimVerdict::Full;
    /// The attempt that holds or settled the claim.
    ClaimAttempt owner;
};

/// State of one key at a holder. Without granted votes and not settled, the key is free (released).
struct ClaimRecord {
    struct GrantedVote {
        ClaimAttempt attempt;
        /// Copied from another holder. It blocks other attempts but is never granted again, not even to its own attempt:
        /// the copied vote may not have been part of a majority.
        bool isCopied = false;
    };
    std::vector<GrantedVote> grantedVotes;
    std::optional<ClaimAttempt> settled;
    /// Latest aborted attempt of each entry. Earlier attempts of the same incarnation are aborted as well.
    std::vector<ClaimAttempt> aborted;
    TimePoint expiry;
};

struct KeyedClaim {
    ClaimKey key;
    ClaimRecord record;
};

/// Claims that this entry holds for the site. Does no I/O and reads no clock. Thread-safe.
/// @remarks Sharded, with a mutex for each shard: copy() iterates over a shard while other threads make claims, which
/// tbb::concurrent_hash_map does not allow.
class ClaimTable {
public:
    static constexpr size_t shardCount = 64;

    /// @param capacity maximum number of keys. A full table refuses new keys and evicts none before its expiry.
    explicit ClaimTable(size_t capacity);

    ClaimReply claim(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now);
    /// @returns whether the settled state is recorded.
    bool settle(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now);
    /// Records that the attempt is aborted and will never run. @returns whether it is recorded.
    bool release(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now);

    /// @returns the unexpired claims of the shard with this index.
    [[nodiscard]] std::vector<KeyedClaim> copy(size_t shard, TimePoint now) const;
    /// Merges in another holder's record of a key. @returns false if the table is full.
    bool merge(const KeyedClaim& claim, TimePoint now);

    /// Removes the expired claims of the next shard.
    void expireNextShard(TimePoint now);
    [[nodiscard]] size_t size() const { return m_size; }

private:
    struct KeyHash {
        size_t operator()(const ClaimKey& key) const;
    };
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<ClaimKey, ClaimRecord, KeyHash> records;
    };

    Shard& shardOf(const ClaimKey& key);
    /// The shard's mutex must be held. @returns the key's record, a new one if there was none, or nullptr if the table is full.
    ClaimRecord* findOrCreate(Shard& shard, const ClaimKey& key, TimePoint now);
    void expire(Shard& shard, TimePoint now);

    size_t m_capacity;
    std::atomic<size_t> m_size { 0 };
    std::atomic<size_t> m_nextExpiry { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace vanillalift
