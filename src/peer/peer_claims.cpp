#include "peer_claims_p.h"

#include <algorithm>

namespace vanillalift {

/// Replies of a key's holders to one message. Shared with the channels, because replies may arrive after the wait has ended.
struct PeerClaims::CallGroup {
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> holders;
    /// One for each holder; null until it arrives, or if the call fails.
    std::vector<nlohmann::json> replies;
    size_t pending = 0;

    void add(size_t index, const RpcResult& result)
    {
        std::lock_guard lock(mutex);
        if (result)
            replies[index] = *result;
        --pending;
        changed.notify_all();
    }
};

PeerClaims::PeerClaims(PeerClaimsDesc desc, HolderSelector selector, PeerTransport& transport, const Clock& clock)
    : m_desc(std::move(desc))
    , m_selector(std::move(selector))
    , m_transport(transport)
    , m_clock(clock)
    , m_holder(m_desc.holder, m_selector, clock)
    , m_local(m_desc.local)
    , m_random(m_desc.holder.incarnation)
{
    for (const auto& it : m_selector.entries()) {
        if (it.name != m_desc.holder.name)
            m_channels[it.name] = std::make_unique<PeerChannel>(it.name, transport, m_desc.maxCallsPerPeer, m_desc.maxQueuedCalls);
    }
    m_maintenanceThread = std::thread([this] { runMaintenance(); });
}

PeerClaims::~PeerClaims()
{
    {
        std::lock_guard lock(m_stopMutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    m_maintenanceThread.join();
    m_channels.clear();
}

void PeerClaims::runMaintenance()
{
    constexpr std::chrono::milliseconds interval { 50 };
    auto fetchPage = [this](const std::string& peer, const nlohmann::json& params) -> std::optional<nlohmann::json> {
        auto result = m_transport.call(peer, "copy_claims", params, m_clock.now() + m_desc.callTimeout * 4);
        return result ? std::optional(*result) : std::nullopt;
    };
    std::unique_lock lock(m_stopMutex);
    while (!m_isStopping) {
        lock.unlock();
        try {
            if (!m_holder.isRecovered())
                m_holder.recover(fetchPage);
        } catch (const nlohmann::json::exception&) { // NOLINT(bugprone-empty-catch): a malformed page is requested again
        }
        m_holder.table().expireNextShard(m_clock.now());
        m_local.expire(m_clock.now());
        lock.lock();
        m_stopped.wait_for(lock, interval, [this] { return m_isStopping; });
    }
}

ClaimAttempt PeerClaims::attemptOf(const LocalClaim& local) const
{
    return { m_desc.holder.name, m_desc.holder.incarnation, local.number };
}

TimePoint PeerClaims::callDeadline(TimePoint deadline) const { return std::min(deadline, m_clock.now() + m_desc.callTimeout); }

nlohmann::json PeerClaims::callLocalHolder(const std::string& method, const nlohmann::json& params)
{
    if (method == "claim")
        return m_holder.claim(params);
    return method == "settle" ? m_holder.settle(params) : m_holder.release(params);
}

std::shared_ptr<PeerClaims::CallGroup> PeerClaims::broadcast(
    const ClaimKey& key, const std::string& method, const nlohmann::json& params, TimePoint deadline)
{
    auto group = std::make_shared<CallGroup>();
    for (auto it : m_selector.holders(key))
        group->holders.push_back(m_selector.entries()[it].name);
    group->replies.resize(group->holders.size());
    group->pending = group->holders.size();
    for (size_t n = 0; n < group->holders.size(); ++n) {
        auto it = m_channels.find(group->holders[n]);
        if (it != m_channels.end())
            it->second->post(method, params, deadline, [group, n](const RpcResult& result) { group->add(n, result); });
    }
    for (size_t n = 0; n < group->holders.size(); ++n) {
        if (group->holders[n] == m_desc.holder.name)
            group->add(n, callLocalHolder(method, params));
    }
    return group;
}

/// A vote does not count if any reply reports a newer incarnation of its holder: the holder has restarted and may have lost
/// the vote (see ClaimHolder).
bool PeerClaims::isCurrentVote(const CallGroup& group, size_t index) const
{
    auto incarnation = group.replies[index].at("incarnation").get<uint64_t>();
    const auto& holder = group.holders[index];
    for (const auto& it : group.replies) {
        if (!it.is_null() && it.at("known").value(holder, uint64_t { 0 }) > incarnation)
            return false;
    }
    return true;
}

PeerClaims::Tally PeerClaims::tallyVotes(const CallGroup& group, size_t majority) const
{
    size_t granted = 0;
    size_t voted = 0;
    std::map<ClaimAttempt, size_t> owners;
    Tally tally;
    for (size_t n = 0; n < group.replies.size(); ++n) {
        if (group.replies[n].is_null())
            continue;
        auto verdict = group.replies[n].at("verdict").get<ClaimVerdict>();
        auto owner = claimAttemptFromJson(group.replies[n].at("owner"));
        if (verdict == ClaimVerdict::Settled)
            return { VoteResult::Settled, owner, true };
        if (verdict != ClaimVerdict::Full && verdict != ClaimVerdict::Recovering)
            ++voted;
        if (verdict == ClaimVerdict::Held)
            ++owners[owner];
        if (verdict == ClaimVerdict::Granted && isCurrentVote(group, n))
            ++granted;
    }
    if (granted >= majority)
        return { VoteResult::Won, {}, false };
    if (!owners.empty()) {
        auto most = std::max_element(owners.begin(), owners.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        return { VoteResult::Held, most->first, most->second >= majority };
    }
    tally.result = voted >= majority ? VoteResult::Retry : VoteResult::Unavailable;
    return tally;
}

PeerClaims::Tally PeerClaims::vote(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint deadline, TimePoint retainUntil)
{
    auto until = callDeadline(deadline);
    auto group = broadcast(key, "claim", m_holder.makeMessage(key, attempt, retainUntil), until);
    auto majority = HolderSelector::majority(group->holders.size());
    std::unique_lock lock(group->mutex);
    Tally result;
    try {
        group->changed.wait_until(lock, until, [&] { return group->pending == 0 || tallyVotes(*group, majority).result == VoteResult::Won; });
        result = tallyVotes(*group, majority);
    } catch (const nlohmann::json::exception&) {
        result = {};
    }
    return result;
}

void PeerClaims::broadcastRelease(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil)
{
    broadcast(key, "release", m_holder.makeMessage(key, attempt, retainUntil), m_clock.now() + m_desc.callTimeout);
}

void PeerClaims::backOff(std::chrono::milliseconds maxDelay, TimePoint deadline)
{
    int64_t delayMs = 0;
    {
        std::lock_guard lock(m_randomMutex);
        delayMs = std::uniform_int_distribution<int64_t>(m_desc.minRetryDelay.count(), std::max(maxDelay, m_desc.minRetryDelay).count())(m_random);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(std::min(delayMs, millisecondsUntil(deadline, m_clock.now()) + 1)));
}

ClaimResult PeerClaims::countResult(ClaimResult result)
{
    ++m_results.at(result.index());
    return result;
}

ClaimResult PeerClaims::claim(const ClaimKey& key, TimePoint deadline, TimePoint retainUntil)
{
    bool hasAttempt = false;
    while (m_clock.now() < deadline) {
        bool isStarted = false;
        auto local = m_local.startAttempt(key, retainUntil, m_clock.now(), isStarted);
        if (!local)
            return countResult(ClaimUnavailable { "claim table of this entry is full" });
        if (!isStarted && local->state == LocalClaimState::Settled)
            return countResult(ClaimSettled { local->outcome.value_or(alreadyRunOutcome()) });
        hasAttempt = true;
        if (!isStarted) {
            m_local.waitUntilDecided(key, local->number, deadline);
            continue;
        }
        if (auto result = tryClaim(key, *local, deadline))
            return countResult(*result);
        backOff(m_desc.maxRetryDelay, deadline);
    }
    if (hasAttempt)
        return countResult(ClaimInProgress {});
    return countResult(ClaimUnavailable { "deadline passed before the claim was attempted" });
}

/// @returns nothing if another attempt should be made.
std::optional<ClaimResult> PeerClaims::tryClaim(const ClaimKey& key, const LocalClaim& local, TimePoint deadline)
{
    auto attempt = attemptOf(local);
    auto tally = vote(key, attempt, deadline, local.retainUntil);
    // If the process was suspended here, its votes may have expired at the holders, but not before the deadline.
    if (tally.result == VoteResult::Won && m_clock.now() < deadline && m_local.transition(key, LocalClaimState::CollectingVotes, LocalClaimState::Running))
        return ClaimWon {};
    m_local.transition(key, LocalClaimState::CollectingVotes, LocalClaimState::Aborted);
    broadcastRelease(key, attempt, local.retainUntil);
    ++m_failedAttempts;
    switch (tally.result) {
    case VoteResult::Settled:
        return fetchSettled(key, tally.owner, deadline);
    case VoteResult::Held:
        return pollOwner(key, tally, deadline, local.retainUntil);
    case VoteResult::Unavailable:
        return ClaimUnavailable { "no majority of the claim's holders voted" };
    default:
        return std::nullopt;
    }
}

ClaimResult PeerClaims::fetchSettled(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline)
{
    constexpr int maxTries = 2;
    for (int n = 0; n < maxTries; ++n) {
        auto reply = queryOwner(key, owner, deadline);
        if (reply.state == OwnerState::Settled)
            return ClaimSettled { reply.outcome.value_or(alreadyRunOutcome()) };
        if (reply.state != OwnerState::Unreachable)
            break;
    }
    return ClaimSettled { alreadyRunOutcome() };
}

std::optional<ClaimResult> PeerClaims::pollOwner(const ClaimKey& key, const Tally& tally, TimePoint deadline, TimePoint retainUntil)
{
    auto maxDelay = m_desc.minRetryDelay;
    while (m_clock.now() < deadline) {
        auto reply = queryOwner(key, tally.owner, deadline);
        if (reply.state == OwnerState::Settled)
            return ClaimSettled { reply.outcome.value_or(alreadyRunOutcome()) };
        if (reply.state == OwnerState::Aborted) {
            // The owner's rollback did not reach all holders. The owner states that the attempt will never run, so this entry may
            // roll it back too.
            broadcastRelease(key, tally.owner, retainUntil);
            return std::nullopt;
        }
        if (reply.state == OwnerState::AttemptUnknown && tally.isOwnerMajority)
            return ClaimSettled { Unknown { Reason::AlreadyRun, "entry that claimed the request has restarted", {} } };
        if (reply.state != OwnerState::Running)
            return std::nullopt;
        maxDelay = std::min(maxDelay * 2, m_desc.maxPollInterval);
        backOff(maxDelay, deadline);
    }
    return ClaimInProgress {};
}

/// Uses the peer's channel like all other calls, so that waiting resends do not open additional connections.
nlohmann::json PeerClaims::callPeer(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline)
{
    auto it = m_channels.find(peer);
    if (it == m_channels.end())
        return nullptr;
    auto group = std::make_shared<CallGroup>();
    group->holders = { peer };
    group->replies.resize(1);
    group->pending = 1;
    it->second->post(method, params, deadline, [group](const RpcResult& result) { group->add(0, result); });
    std::unique_lock lock(group->mutex);
    group->changed.wait_until(lock, deadline, [&] { return group->pending == 0; });
    return group->replies.front();
}

PeerClaims::OwnerReply PeerClaims::queryOwner(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline)
{
    nlohmann::json params { { "key", toJson(key) }, { "attempt", toJson(owner) } };
    auto reply = owner.entry == m_desc.holder.name ? fetchAnswer(params) : callPeer(owner.entry, "fetch_answer", params, callDeadline(deadline));
    if (reply.is_null())
        return {};
    try {
        OwnerReply result { reply.at("state").get<OwnerState>(), std::nullopt };
        if (reply.contains("outcome"))
            result.outcome = decodeOutcome(reply.at("outcome").get<std::string>());
        return result;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

nlohmann::json PeerClaims::fetchAnswer(const nlohmann::json& params) const
{
    auto attempt = claimAttemptFromJson(params.at("attempt"));
    auto local = m_local.find(claimKeyFromJson(params.at("key")));
    if (attempt.entry != m_desc.holder.name || attempt.incarnation != m_desc.holder.incarnation || !local || local->number < attempt.number)
        return { { "state", OwnerState::AttemptUnknown } };
    if (local->number > attempt.number || local->state == LocalClaimState::Aborted)
        return { { "state", OwnerState::Aborted } };
    if (local->state != LocalClaimState::Settled)
        return { { "state", OwnerState::Running } };
    nlohmann::json reply { { "state", OwnerState::Settled } };
    if (local->outcome)
        reply["outcome"] = encodeOutcome(*local->outcome);
    return reply;
}

void PeerClaims::settle(const ClaimKey& key, const Outcome& outcome)
{
    auto local = m_local.settle(key, outcome, m_clock.now());
    if (local)
        broadcast(key, "settle", m_holder.makeMessage(key, attemptOf(*local), local->retainUntil), m_clock.now() + m_desc.callTimeout);
}

bool PeerClaims::release(const ClaimKey& key)
{
    // From here on the attempt can never run, even if the release messages are lost.
    auto local = m_local.transition(key, LocalClaimState::Running, LocalClaimState::Aborted);
    if (!local)
        return false;
    constexpr int maxTries = 2;
    std::vector<bool> recorded;
    for (int n = 0; n < maxTries; ++n) {
        auto until = m_clock.now() + m_desc.callTimeout;
        auto group = broadcast(key, "release", m_holder.makeMessage(key, attemptOf(*local), local->retainUntil), until);
        recorded.resize(group->holders.size());
        auto isConfirmed = [&] {
            for (size_t it = 0; it < recorded.size(); ++it)
                recorded[it] = recorded[it] || (!group->replies[it].is_null() && group->replies[it].value("recorded", false));
            return std::count(recorded.begin(), recorded.end(), true) >= static_cast<int64_t>(HolderSelector::majority(recorded.size()));
        };
        std::unique_lock lock(group->mutex);
        group->changed.wait_until(lock, until, [&] { return group->pending == 0 || isConfirmed(); });
        if (isConfirmed())
            return true;
    }
    ++m_unconfirmedReleases;
    return false;
}

PeerClaimsStats PeerClaims::stats() const
{
    return { m_results[0], m_failedAttempts, m_results[1], m_results[2], m_results[3], m_unconfirmedReleases, m_holder.table().size() };
}

} // namespace vanillalift
