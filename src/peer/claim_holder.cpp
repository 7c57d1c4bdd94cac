#include "claim_holder_p.h"

#include <algorithm>

namespace vanillalift {

bool IncarnationTable::observe(const std::string& entry, uint64_t incarnation)
{
    std::lock_guard lock(m_mutex);
    auto& latest = m_latest[entry];
    if (incarnation < latest)
        return false;
    latest = incarnation;
    return true;
}

uint64_t IncarnationTable::latest(const std::string& entry) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_latest.find(entry);
    return it == m_latest.end() ? 0 : it->second;
}

ClaimHolder::ClaimHolder(ClaimHolderDesc desc, const HolderSelector& selector, const Clock& clock)
    : m_desc(std::move(desc))
    , m_selector(selector)
    , m_clock(clock)
    , m_self(selector.find(m_desc.name))
    , m_recoveryEnd(clock.now() + m_desc.recoveryTime)
    , m_table(m_desc.capacity)
{
    m_incarnations.observe(m_desc.name, m_desc.incarnation);
}

nlohmann::json ClaimHolder::makeMessage(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil) const
{
    return { { "from", m_desc.name }, { "incarnation", m_desc.incarnation }, { "key", toJson(key) }, { "attempt", toJson(attempt) },
        { "retain_ms", millisecondsUntil(retainUntil, m_clock.now()) + 1 } };
}

nlohmann::json ClaimHolder::claim(const nlohmann::json& params)
{
    auto key = claimKeyFromJson(params.at("key"));
    auto attempt = claimAttemptFromJson(params.at("attempt"));
    auto expiry = claimExpiryFromJson(params, m_clock.now());
    bool isLatest = m_incarnations.observe(attempt.entry, attempt.incarnation);
    auto holders = m_selector.holders(key);
    ClaimReply reply { ClaimVerdict::Recovering, {} };
    if (!isLatest)
        reply.verdict = ClaimVerdict::Aborted;
    else if (isRecoveredFor(holders))
        reply = m_table.claim(key, attempt, expiry, m_clock.now());
    // Read after the vote is recorded, so that a vote that a restarted holder's copy missed carries that holder's new
    // incarnation (see ClaimHolder).
    auto knownIncarnations = nlohmann::json::object();
    for (auto it : holders) {
        const auto& name = m_selector.entries()[it].name;
        knownIncarnations[name] = m_incarnations.latest(name);
    }
    return { { "incarnation", m_desc.incarnation }, { "verdict", reply.verdict }, { "owner", toJson(reply.owner) }, { "known", knownIncarnations } };
}

nlohmann::json ClaimHolder::settle(const nlohmann::json& params)
{
    auto now = m_clock.now();
    auto expiry = claimExpiryFromJson(params, now);
    bool isRecorded = m_table.settle(claimKeyFromJson(params.at("key")), claimAttemptFromJson(params.at("attempt")), expiry, now);
    return { { "incarnation", m_desc.incarnation }, { "recorded", isRecorded } };
}

nlohmann::json ClaimHolder::release(const nlohmann::json& params)
{
    auto now = m_clock.now();
    auto expiry = claimExpiryFromJson(params, now);
    bool isRecorded = m_table.release(claimKeyFromJson(params.at("key")), claimAttemptFromJson(params.at("attempt")), expiry, now);
    return { { "incarnation", m_desc.incarnation }, { "recorded", isRecorded } };
}

nlohmann::json ClaimHolder::copyClaims(const nlohmann::json& params)
{
    auto from = params.at("from").get<std::string>();
    auto requester = m_selector.find(from);
    auto shard = params.at("shard").get<size_t>();
    nlohmann::json reply { { "incarnation", m_desc.incarnation }, { "claims", nlohmann::json::array() }, { "valid", nlohmann::json::array() },
        { "refused", true } };
    // The incarnation is recorded before any claim is read, so that later votes carry it (see ClaimHolder).
    if (!m_incarnations.observe(from, params.at("incarnation").get<uint64_t>()) || requester == m_selector.entries().size() || shard >= ClaimTable::shardCount)
        return reply;
    reply["refused"] = false;
    reply["shards"] = ClaimTable::shardCount;
    for (auto it : recoveredThirdHolders(requester))
        reply["valid"].push_back(m_selector.entries()[it].name);
    auto now = m_clock.now();
    for (const auto& it : m_table.copy(shard, now)) {
        auto holders = m_selector.holders(it.key);
        if (std::find(holders.begin(), holders.end(), requester) != holders.end())
            reply["claims"].push_back(toJson(it, now));
    }
    return reply;
}

bool ClaimHolder::isRecoveredFor(std::span<const size_t> holders) const
{
    if (std::find(holders.begin(), holders.end(), m_self) == holders.end())
        return false;
    if (isRecoveryTimeOver())
        return true;
    if (holders.size() == 1)
        return false;
    std::lock_guard lock(m_copyMutex);
    for (auto peer : holders) {
        if (peer == m_self)
            continue;
        auto it = m_copiedPeers.find(peer);
        if (it == m_copiedPeers.end())
            return false;
        for (auto third : holders) {
            bool isRequired = third != peer && (third != m_self || holders.size() == 2);
            if (isRequired && !it->second.contains(third))
                return false;
        }
    }
    return true;
}

std::set<size_t> ClaimHolder::recoveredThirdHolders(size_t requester) const
{
    std::set<size_t> recovered;
    auto n = m_selector.entries().size();
    if (n == 2) {
        if (isRecoveredFor(std::vector { m_self, requester }))
            recovered.insert(requester);
        return recovered;
    }
    for (size_t third = 0; third < n; ++third) {
        if (third != requester && third != m_self && isRecoveredFor(std::vector { m_self, requester, third }))
            recovered.insert(third);
    }
    return recovered;
}

bool ClaimHolder::isRecovered() const
{
    if (isRecoveryTimeOver())
        return true;
    auto n = m_selector.entries().size();
    if (n == 1)
        return false;
    for (size_t peer = 0; peer < n; ++peer) {
        if (peer == m_self)
            continue;
        if (n == 2)
            return isRecoveredFor(std::vector { m_self, peer });
        for (size_t third = peer + 1; third < n; ++third) {
            if (third != m_self && !isRecoveredFor(std::vector { m_self, peer, third }))
                return false;
        }
    }
    return true;
}

bool ClaimHolder::mergePage(const nlohmann::json& page)
{
    auto now = m_clock.now();
    bool isComplete = true;
    for (const auto& it : page.at("claims")) {
        auto claim = keyedClaimFromJson(it, now);
        // If recovered for the key, this holder already knows the key's claims, and the votes that it granted since must not
        // change.
        if (!isRecoveredFor(m_selector.holders(claim.key)))
            isComplete = m_table.merge(claim, now) && isComplete;
    }
    return isComplete;
}

std::optional<std::set<size_t>> ClaimHolder::copyFromPeer(const PeerEntry& peer, const FetchPage& fetchPage)
{
    std::set<size_t> recovered;
    std::optional<uint64_t> incarnation;
    size_t shardCount = 1;
    for (size_t shard = 0; shard < shardCount; ++shard) {
        auto page = fetchPage(peer.name, { { "from", m_desc.name }, { "incarnation", m_desc.incarnation }, { "shard", shard } });
        if (!page || page->at("refused").get<bool>())
            return std::nullopt;
        auto peerIncarnation = page->at("incarnation").get<uint64_t>();
        // Pages of different incarnations do not form one consistent copy.
        if (incarnation.value_or(peerIncarnation) != peerIncarnation || !m_incarnations.observe(peer.name, peerIncarnation))
            return std::nullopt;
        if (!incarnation) {
            // Only the first page's list counts: the peer stays recovered for those sets, but sets that a later page adds were not
            // recovered when the earlier pages were read.
            for (const auto& it : page->at("valid"))
                recovered.insert(m_selector.find(it.get<std::string>()));
            if (recovered.empty())
                return std::nullopt;
            shardCount = std::min(page->at("shards").get<size_t>(), ClaimTable::shardCount);
        }
        incarnation = peerIncarnation;
        if (!mergePage(*page))
            return std::nullopt;
    }
    return recovered;
}

void ClaimHolder::recover(const FetchPage& fetchPage)
{
    auto entries = m_selector.entries();
    // With two entries, the peer reports a single holder set; with more, one for each third entry.
    auto requiredCount = entries.size() == 2 ? 1 : entries.size() - 2;
    for (size_t peer = 0; peer < entries.size(); ++peer) {
        if (peer == m_self)
            continue;
        {
            std::lock_guard lock(m_copyMutex);
            if (m_copiedPeers[peer].size() >= requiredCount)
                continue;
        }
        auto recovered = copyFromPeer(entries[peer], fetchPage);
        if (!recovered)
            continue;
        std::lock_guard lock(m_copyMutex);
        m_copiedPeers[peer].insert(recovered->begin(), recovered->end());
    }
}

} // namespace vanillalift
