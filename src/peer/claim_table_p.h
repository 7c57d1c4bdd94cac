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

/// One try of an entry to win a claim. For each key an entry has one attempt at a time and numbers them upwards.
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
    /// The attempt was given up by its entry, so the message is late.
    Aborted,
    /// No room for another claim.
    Full,
    /// This holder restarted and does not yet know the claims it held before.
    Recovering,
    ClaimVerdictCount,
};

struct ClaimReply {
    ClaimVerdict verdict = ClaimVerdict::Full;
    /// The attempt that holds or settled the claim.
    ClaimAttempt owner;
};

/// State of one key at a holder. Without a hold and not settled, the key is free (released).
struct ClaimRecord {
    struct GrantedVote {
        ClaimAttempt attempt;
        /// Copied from another holder. It blocks other attempts but is never granted, not even to its own attempt:
        /// the copy may stem from a vote that was not part of a majority.
        bool isCopied = false;
    };
    std::vector<GrantedVote> grantedVotes;
    std::optional<ClaimAttempt> settled;
    /// Newest given-up attempt of each entry; its older attempts are given up as well.
    std::vector<ClaimAttempt> aborted;
    TimePoint expiry;
};

struct KeyedClaim {
    ClaimKey key;
    ClaimRecord record;
};

/// Claims that this entry holds for the site. Pure state, thread-safe.
/// @remarks Shards with a mutex each instead of a oneTBB map: copying walks a shard while claims go on, which
/// tbb::concurrent_hash_map does not allow.
class ClaimTable {
public:
    static constexpr size_t shardCount = 64;

    /// @param capacity bound on the number of keys. A full table refuses new keys and forgets none early.
    explicit ClaimTable(size_t capacity);

    ClaimReply claim(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now);
    /// @returns whether the settled state is recorded.
    bool settle(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now);
    /// Records that the attempt will never run. @returns whether it is recorded.
    bool release(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now);

    [[nodiscard]] std::vector<KeyedClaim> copy(size_t shard, TimePoint now) const;
    /// Adds another holder's record. @returns false if there is no room.
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
    /// The shard's mutex is held. @returns the record, a new one if there was none, or nullptr without room.
    ClaimRecord* findOrCreate(Shard& shard, const ClaimKey& key, TimePoint now);
    void expire(Shard& shard, TimePoint now);

    size_t m_capacity;
    std::atomic<size_t> m_size { 0 };
    std::atomic<size_t> m_nextExpiry { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace vanillalift
