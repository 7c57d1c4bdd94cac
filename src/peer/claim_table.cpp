#include "claim_table_p.h"

#include <algorithm>
#include <functional>

namespace vanillalift {

namespace {

    /// An incarnation makes its attempts for a key one at a time, so an aborted attempt implies that its earlier attempts are
    /// aborted too. This says nothing about attempts of other incarnations: their last attempt may have run.
    bool supersedes(const ClaimAttempt& aborted, const ClaimAttempt& attempt)
    {
        return aborted.entry == attempt.entry && aborted.incarnation == attempt.incarnation && aborted.number >= attempt.number;
    }

    /// Attempts of an older incarnation are stale as well: that process no longer waits for the vote.
    bool isStale(const ClaimRecord& record, const ClaimAttempt& attempt)
    {
        return std::any_of(record.aborted.begin(), record.aborted.end(),
            [&](const auto& aborted) { return aborted.entry == attempt.entry && aborted >= attempt; });
    }

    void markAborted(ClaimRecord& record, const ClaimAttempt& attempt)
    {
        std::erase_if(record.grantedVotes, [&](const auto& vote) { return supersedes(attempt, vote.attempt); });
        auto it = std::find_if(record.aborted.begin(), record.aborted.end(), [&](const auto& aborted) { return aborted.entry == attempt.entry; });
        if (it == record.aborted.end())
            record.aborted.push_back(attempt);
        else
            *it = std::max(*it, attempt);
    }

    void addCopiedVote(ClaimRecord& record, const ClaimAttempt& attempt)
    {
        bool isKnown = std::any_of(record.grantedVotes.begin(), record.grantedVotes.end(), [&](const auto& vote) { return vote.attempt == attempt; });
        bool isClosed = std::any_of(record.aborted.begin(), record.aborted.end(), [&](const auto& aborted) { return supersedes(aborted, attempt); });
        if (!isKnown && !isClosed)
            record.grantedVotes.push_back({ attempt, true });
    }

} // namespace

size_t ClaimTable::KeyHash::operator()(const ClaimKey& key) const
{
    std::hash<std::string> hash;
    return (hash(key.requestId) * 31 + hash(key.service)) * 31 + hash(key.team);
}

ClaimTable::ClaimTable(size_t capacity)
    : m_capacity(capacity)
{
}

ClaimTable::Shard& ClaimTable::shardOf(const ClaimKey& key) { return m_shards.at(KeyHash {}(key) % shardCount); }

void ClaimTable::expire(Shard& shard, TimePoint now)
{
    m_size -= std::erase_if(shard.records, [&](const auto& it) { return it.second.expiry <= now; });
}

ClaimRecord* ClaimTable::findOrCreate(Shard& shard, const ClaimKey& key, TimePoint now)
{
    auto it = shard.records.find(key);
    if (it != shard.records.end()) {
        if (it->second.expiry <= now)
            it->second = {};
        return &it->second;
    }
    if (m_size >= m_capacity)
        expire(shard, now);
    if (++m_size > m_capacity) {
        --m_size;
        return nullptr;
    }
    return &shard.records[key];
}

ClaimReply ClaimTable::claim(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now)
{
    auto& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    auto* record = findOrCreate(shard, key, now);
    if (!record)
        return { ClaimVerdict::Full, {} };
    if (record->settled)
        return { ClaimVerdict::Settled, *record->settled };
    if (isStale(*record, attempt))
        return { ClaimVerdict::Aborted, attempt };
    if (attempt.number > 0)
        markAborted(*record, { attempt.entry, attempt.incarnation, attempt.number - 1 });
    if (record->grantedVotes.empty()) {
        record->grantedVotes.push_back({ attempt, false });
        record->expiry = std::max(record->expiry, expiry);
        return { ClaimVerdict::Granted, attempt };
    }
    const auto& vote = record->grantedVotes.front();
    bool isGranted = vote.attempt == attempt && !vote.isCopied && record->grantedVotes.size() == 1;
    return { isGranted ? ClaimVerdict::Granted : ClaimVerdict::Held, vote.attempt };
}

bool ClaimTable::settle(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now)
{
    auto& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    auto* record = findOrCreate(shard, key, now);
    if (!record)
        return false;
    if (record->settled)
        return *record->settled == attempt;
    if (std::any_of(record->aborted.begin(), record->aborted.end(), [&](const auto& aborted) { return supersedes(aborted, attempt); }))
        return false;
    record->settled = attempt;
    // Only the winning attempt settles, so votes for other attempts are not needed any more.
    record->grantedVotes.clear();
    record->expiry = std::max(record->expiry, expiry);
    return true;
}

bool ClaimTable::release(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint expiry, TimePoint now)
{
    auto& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    auto* record = findOrCreate(shard, key, now);
    if (!record)
        return false;
    if (record->settled)
        return *record->settled != attempt;
    markAborted(*record, attempt);
    record->expiry = std::max(record->expiry, expiry);
    return true;
}

std::vector<KeyedClaim> ClaimTable::copy(size_t shardIndex, TimePoint now) const
{
    const auto& shard = m_shards.at(shardIndex);
    std::lock_guard lock(shard.mutex);
    std::vector<KeyedClaim> claims;
    for (const auto& [key, record] : shard.records) {
        if (record.expiry > now)
            claims.push_back({ key, record });
    }
    return claims;
}

bool ClaimTable::merge(const KeyedClaim& claim, TimePoint now)
{
    auto& shard = shardOf(claim.key);
    std::lock_guard lock(shard.mutex);
    auto* record = findOrCreate(shard, claim.key, now);
    if (!record)
        return false;
    record->expiry = std::max(record->expiry, claim.record.expiry);
    if (!record->settled)
        record->settled = claim.record.settled;
    for (const auto& it : claim.record.aborted)
        markAborted(*record, it);
    for (const auto& it : claim.record.grantedVotes)
        addCopiedVote(*record, it.attempt);
    if (record->settled)
        record->grantedVotes.clear();
    return true;
}

void ClaimTable::expireNextShard(TimePoint now)
{
    auto& shard = m_shards.at(m_nextExpiry++ % shardCount);
    std::lock_guard lock(shard.mutex);
    expire(shard, now);
}

} // namespace vanillalift
