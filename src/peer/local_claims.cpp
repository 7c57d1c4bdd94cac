#include "local_claims_p.h"

namespace vanillalift {

namespace {

    size_t bytesOf(const Outcome& outcome)
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

Outcome alreadyRun() { return Unknown { Reason::AlreadyRun, "the request has run and its answer is not kept", {} }; }

LocalClaims::LocalClaims(LocalClaimsDesc desc)
    : m_desc(desc)
{
}

std::optional<LocalClaim> LocalClaims::begin(const ClaimKey& key, TimePoint retainUntil, TimePoint now, bool& isStarted)
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
    if (claim.state != LocalState::Closed && (claim.state != LocalState::Settled || claim.retainUntil > now))
        return claim;
    claim = { ++m_lastNumber, LocalState::Forming, std::max(claim.retainUntil, retainUntil), std::nullopt };
    isStarted = true;
    return claim;
}

void LocalClaims::waitUntilDecided(const ClaimKey& key, uint64_t number, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    m_decided.wait_until(lock, deadline, [&] {
        auto it = m_claims.find(key);
        return it == m_claims.end() || it->second.number != number || it->second.state == LocalState::Settled || it->second.state == LocalState::Closed;
    });
}

std::optional<LocalClaim> LocalClaims::move(const ClaimKey& key, LocalState from, LocalState to)
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
    if (it == m_claims.end() || it->second.state != LocalState::Running)
        return std::nullopt;
    it->second.state = LocalState::Settled;
    it->second.outcome = outcome;
    m_answers.push_back({ key, now + m_desc.answerRetention, bytesOf(outcome) });
    m_answerBytes += m_answers.back().bytes;
    auto settled = it->second;
    while (m_answerBytes > m_desc.answerBytes)
        dropOldestAnswer();
    m_decided.notify_all();
    return settled;
}

void LocalClaims::dropOldestAnswer()
{
    auto answer = std::move(m_answers.front());
    m_answers.pop_front();
    m_answerBytes -= answer.bytes;
    auto it = m_claims.find(answer.key);
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
    while (!m_answers.empty() && m_answers.front().keptUntil <= now)
        dropOldestAnswer();
    std::erase_if(m_claims, [&](const auto& it) {
        bool isOver = it.second.state == LocalState::Settled || it.second.state == LocalState::Closed;
        return isOver && it.second.retainUntil <= now;
    });
}

} // namespace vanillalift
