#include "local_claims_p.h"

namespace vanillalift {

namespace {

    size_t responseBytes(const Outcome& outcome)
    {
        const auto* answered = std::get_if<Answered>(&outcome);
        if (!answered)
            return 0;
        size_t bytes = answered->body.size();
        for (const auto& [name, value] : answered->headers)
            bytes += name.size() + value.size();
        return bytes;
    }

} // namespace

Outcome alreadyRunOutcome() { return Unknown { Reason::AlreadyRun, "request has already run and its response is not kept", {} }; }

LocalClaims::LocalClaims(LocalClaimsDesc desc)
    : m_desc(desc)
{
}

std::optional<LocalClaim> LocalClaims::startAttempt(const ClaimKey& key, TimePoint retainUntil, TimePoint now, bool& isStarted)
{
    std::lock_guard lock(m_mutex);
    isStarted = false;
    auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        if (m_claims.size() >= m_desc.capacity)
            return std::nullopt;
        it = m_claims.emplace(key, LocalClaim {}).first;
    }
    auto& claim = it->second;
    if (claim.state != LocalClaimState::Aborted && (claim.state != LocalClaimState::Settled || claim.retainUntil > now))
        return claim;
    claim = { ++m_lastNumber, LocalClaimState::CollectingVotes, std::max(claim.retainUntil, retainUntil), std::nullopt };
    isStarted = true;
    return claim;
}

void LocalClaims::waitUntilDecided(const ClaimKey& key, uint64_t number, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    m_decided.wait_until(lock, deadline, [&] {
        auto it = m_claims.find(key);
        return it == m_claims.end() || it->second.number != number || it->second.state == LocalClaimState::Settled || it->second.state == LocalClaimState::Aborted;
    });
}

std::optional<LocalClaim> LocalClaims::transition(const ClaimKey& key, LocalClaimState from, LocalClaimState to)
{
    std::lock_guard lock(m_mutex);
    auto it = m_claims.find(key);
    if (it == m_claims.end() || it->second.state != from)
        return std::nullopt;
    it->second.state = to;
    m_decided.notify_all();
    return it->second;
}

std::optional<LocalClaim> LocalClaims::settle(const ClaimKey& key, const Outcome& outcome, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto it = m_claims.find(key);
    if (it == m_claims.end() || it->second.state != LocalClaimState::Running)
        return std::nullopt;
    it->second.state = LocalClaimState::Settled;
    it->second.outcome = outcome;
    m_responses.push_back({ key, now + m_desc.responseRetention, responseBytes(outcome) });
    m_cachedBytes += m_responses.back().bytes;
    auto settled = it->second;
    while (m_cachedBytes > m_desc.maxCachedBytes)
        evictOldestResponse();
    m_decided.notify_all();
    return settled;
}

void LocalClaims::evictOldestResponse()
{
    auto response = std::move(m_responses.front());
    m_responses.pop_front();
    m_cachedBytes -= response.bytes;
    auto it = m_claims.find(response.key);
    if (it != m_claims.end())
        it->second.outcome.reset();
}

std::optional<LocalClaim> LocalClaims::find(const ClaimKey& key) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_claims.find(key);
    return it == m_claims.end() ? std::nullopt : std::optional(it->second);
}

void LocalClaims::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    while (!m_responses.empty() && m_responses.front().expiresAt <= now)
        evictOldestResponse();
    std::erase_if(m_claims, [&](const auto& it) {
        bool isDecided = it.second.state == LocalClaimState::Settled || it.second.state == LocalClaimState::Aborted;
        return isDecided && it.second.retainUntil <= now;
    });
}

} // namespace vanillalift
