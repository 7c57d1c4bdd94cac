#include "peer_claims_p.h"

#include <algorithm>

namespace vanillalift {

/// Replies of a key's holders to one message. Shared with the channels, since late replies arrive after the wait.
struct PeerClaims::Round {
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> holders;
    /// One for each holder; null until it arrives.
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

PeerClaims::PeerClaims(PeerClaimsDesc desc, HolderRing ring, PeerTransport& transport, const Clock& clock)
    : m_desc(std::move(desc))
    , m_ring(std::move(ring))
    , m_transport(transport)
    , m_clock(clock)
    , m_holder(m_desc.holder, m_ring, clock)
    , m_local(m_desc.local)
    , m_random(m_desc.holder.incarnation)
{
    for (const auto& it : m_ring.entries()) {
        if (it.name != m_desc.holder.name)
            m_channels[it.name] = std::make_unique<PeerChannel>(it.name, transport, m_desc.callsPerPeer, m_desc.queueBound);
    }
    m_housekeeping = std::thread([this] { keepHouse(); });
}

PeerClaims::~PeerClaims()
{
    {
        std::lock_guard lock(m_stopMutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    m_housekeeping.join();
    m_channels.clear();
}

void PeerClaims::keepHouse()
{
    constexpr std::chrono::milliseconds interval { 50 };
    auto ask = [this](const std::string& peer, const nlohmann::json& params) -> std::optional<nlohmann::json> {
        auto result = m_transport.call(peer, "copy_claims", params, m_clock.now() + m_desc.callTimeout * 4);
        return result ? std::optional(*result) : std::nullopt;
    };
    std::unique_lock lock(m_stopMutex);
    while (!m_isStopping) {
        lock.unlock();
        try {
            if (!m_holder.isRecovered())
                m_holder.recover(ask);
        } catch (const nlohmann::json::exception&) { // NOLINT(bugprone-empty-catch): a malformed page is asked for again
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

nlohmann::json PeerClaims::callOwnHolder(const std::string& method, const nlohmann::json& params)
{
    if (method == "claim")
        return m_holder.claim(params);
    return method == "settle" ? m_holder.settle(params) : m_holder.release(params);
}

std::shared_ptr<PeerClaims::Round> PeerClaims::broadcast(
    const ClaimKey& key, const std::string& method, const nlohmann::json& params, TimePoint deadline)
{
    auto round = std::make_shared<Round>();
    for (auto it : m_ring.holders(key))
        round->holders.push_back(m_ring.entries()[it].name);
    round->replies.resize(round->holders.size());
    round->pending = round->holders.size();
    for (size_t n = 0; n < round->holders.size(); ++n) {
        auto it = m_channels.find(round->holders[n]);
        if (it != m_channels.end())
            it->second->post(method, params, deadline, [round, n](const RpcResult& result) { round->add(n, result); });
    }
    for (size_t n = 0; n < round->holders.size(); ++n) {
        if (round->holders[n] == m_desc.holder.name)
            round->add(n, callOwnHolder(method, params));
    }
    return round;
}

/// A vote does not count if any reply, or an earlier message, tells of a newer incarnation of its holder: that holder
/// may have lost the vote.
bool PeerClaims::isCurrentVote(const Round& round, size_t index) const
{
    auto incarnation = round.replies[index].at("incarnation").get<uint64_t>();
    const auto& holder = round.holders[index];
    for (const auto& it : round.replies) {
        if (!it.is_null() && it.at("known").value(holder, uint64_t { 0 }) > incarnation)
            return false;
    }
    return true;
}

PeerClaims::Tally PeerClaims::tally(const Round& round, size_t majority) const
{
    size_t granted = 0;
    size_t voted = 0;
    std::map<ClaimAttempt, size_t> owners;
    Tally tally;
    for (size_t n = 0; n < round.replies.size(); ++n) {
        if (round.replies[n].is_null())
            continue;
        auto verdict = round.replies[n].at("verdict").get<ClaimVerdict>();
        auto owner = claimAttemptFromJson(round.replies[n].at("owner"));
        if (verdict == ClaimVerdict::Settled)
            return { RoundResult::Settled, owner, true };
        if (verdict != ClaimVerdict::Full && verdict != ClaimVerdict::Recovering)
            ++voted;
        if (verdict == ClaimVerdict::Held)
            ++owners[owner];
        if (verdict == ClaimVerdict::Granted && isCurrentVote(round, n))
            ++granted;
    }
    if (granted >= majority)
        return { RoundResult::Won, {}, false };
    if (!owners.empty()) {
        auto most = std::max_element(owners.begin(), owners.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        return { RoundResult::Held, most->first, most->second >= majority };
    }
    tally.result = voted >= majority ? RoundResult::Retry : RoundResult::Unavailable;
    return tally;
}

PeerClaims::Tally PeerClaims::vote(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint deadline, TimePoint retainUntil)
{
    auto until = callDeadline(deadline);
    auto round = broadcast(key, "claim", m_holder.message(key, attempt, retainUntil), until);
    auto majority = HolderRing::majority(round->holders.size());
    std::unique_lock lock(round->mutex);
    Tally result;
    try {
        round->changed.wait_until(lock, until, [&] { return round->pending == 0 || tally(*round, majority).result == RoundResult::Won; });
        result = tally(*round, majority);
    } catch (const nlohmann::json::exception&) {
        result = {};
    }
    return result;
}

void PeerClaims::giveUp(const ClaimKey& key, const ClaimAttempt& attempt, TimePoint retainUntil)
{
    broadcast(key, "release", m_holder.message(key, attempt, retainUntil), m_clock.now() + m_desc.callTimeout);
}

void PeerClaims::pause(std::chrono::milliseconds longest, TimePoint deadline)
{
    int64_t drawnMs = 0;
    {
        std::lock_guard lock(m_randomMutex);
        drawnMs = std::uniform_int_distribution<int64_t>(m_desc.retryMin.count(), std::max(longest, m_desc.retryMin).count())(m_random);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(std::min(drawnMs, millisecondsUntil(deadline, m_clock.now()) + 1)));
}

ClaimResult PeerClaims::count(ClaimResult result)
{
    ++m_results.at(result.index());
    return result;
}

ClaimResult PeerClaims::claim(const ClaimKey& key, TimePoint deadline, TimePoint retainUntil)
{
    bool isHeld = false;
    while (m_clock.now() < deadline) {
        bool isStarted = false;
        auto local = m_local.begin(key, retainUntil, m_clock.now(), isStarted);
        if (!local)
            return count(ClaimUnavailable { "this entry's table of claims is full" });
        if (!isStarted && local->state == LocalState::Settled)
            return count(ClaimSettled { local->outcome.value_or(alreadyRun()) });
        isHeld = true;
        if (!isStarted) {
            m_local.waitUntilDecided(key, local->number, deadline);
            continue;
        }
        if (auto result = claimOnce(key, *local, deadline))
            return count(*result);
        pause(m_desc.retryMax, deadline);
    }
    if (isHeld)
        return count(ClaimInProgress {});
    return count(ClaimUnavailable { "the deadline passed before the claim was made" });
}

/// @returns nothing if the claim is worth another attempt.
std::optional<ClaimResult> PeerClaims::claimOnce(const ClaimKey& key, const LocalClaim& local, TimePoint deadline)
{
    auto attempt = attemptOf(local);
    auto tally = vote(key, attempt, deadline, local.retainUntil);
    // A process that was paused here may find its claims expired, but not before the deadline.
    if (tally.result == RoundResult::Won && m_clock.now() < deadline && m_local.move(key, LocalState::Forming, LocalState::Running))
        return ClaimWon {};
    m_local.move(key, LocalState::Forming, LocalState::Closed);
    giveUp(key, attempt, local.retainUntil);
    ++m_lostVotes;
    switch (tally.result) {
    case RoundResult::Settled:
        return fetchSettled(key, tally.owner, deadline);
    case RoundResult::Held:
        return followOwner(key, tally, deadline, local.retainUntil);
    case RoundResult::Unavailable:
        return ClaimUnavailable { "a majority of the holders of the claim did not vote" };
    default:
        return std::nullopt;
    }
}

ClaimResult PeerClaims::fetchSettled(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline)
{
    constexpr int tries = 2;
    for (int n = 0; n < tries; ++n) {
        auto reply = askOwner(key, owner, deadline);
        if (reply.state == OwnerState::Settled)
            return ClaimSettled { reply.outcome.value_or(alreadyRun()) };
        if (reply.state != OwnerState::Unreachable)
            break;
    }
    return ClaimSettled { alreadyRun() };
}

std::optional<ClaimResult> PeerClaims::followOwner(const ClaimKey& key, const Tally& tally, TimePoint deadline, TimePoint retainUntil)
{
    auto longest = m_desc.retryMin;
    while (m_clock.now() < deadline) {
        auto reply = askOwner(key, tally.owner, deadline);
        if (reply.state == OwnerState::Settled)
            return ClaimSettled { reply.outcome.value_or(alreadyRun()) };
        if (reply.state == OwnerState::Closed) {
            // The owner's rollback was lost. Its word that the attempt will never run frees the holders too.
            giveUp(key, tally.owner, retainUntil);
            return std::nullopt;
        }
        if (reply.state == OwnerState::Gone && tally.isOwnerMajority)
            return ClaimSettled { Unknown { Reason::AlreadyRun, "the entry that claimed the request has restarted", {} } };
        if (reply.state != OwnerState::Running)
            return std::nullopt;
        longest = std::min(longest * 2, m_desc.askMax);
        pause(longest, deadline);
    }
    return ClaimInProgress {};
}

/// Goes through the peer's channel like every call, so that waiting resends do not add connections.
nlohmann::json PeerClaims::callPeer(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline)
{
    auto it = m_channels.find(peer);
    if (it == m_channels.end())
        return nullptr;
    auto round = std::make_shared<Round>();
    round->holders = { peer };
    round->replies.resize(1);
    round->pending = 1;
    it->second->post(method, params, deadline, [round](const RpcResult& result) { round->add(0, result); });
    std::unique_lock lock(round->mutex);
    round->changed.wait_until(lock, deadline, [&] { return round->pending == 0; });
    return round->replies.front();
}

PeerClaims::OwnerReply PeerClaims::askOwner(const ClaimKey& key, const ClaimAttempt& owner, TimePoint deadline)
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
        return { { "state", OwnerState::Gone } };
    if (local->number > attempt.number || local->state == LocalState::Closed)
        return { { "state", OwnerState::Closed } };
    if (local->state != LocalState::Settled)
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
        broadcast(key, "settle", m_holder.message(key, attemptOf(*local), local->retainUntil), m_clock.now() + m_desc.callTimeout);
}

bool PeerClaims::release(const ClaimKey& key)
{
    // From here on the attempt can never run, whatever becomes of the messages.
    auto local = m_local.move(key, LocalState::Running, LocalState::Closed);
    if (!local)
        return false;
    constexpr int tries = 2;
    std::vector<bool> recorded;
    for (int n = 0; n < tries; ++n) {
        auto until = m_clock.now() + m_desc.callTimeout;
        auto round = broadcast(key, "release", m_holder.message(key, attemptOf(*local), local->retainUntil), until);
        recorded.resize(round->holders.size());
        auto isConfirmed = [&] {
            for (size_t it = 0; it < recorded.size(); ++it)
                recorded[it] = recorded[it] || (!round->replies[it].is_null() && round->replies[it].value("recorded", false));
            return std::count(recorded.begin(), recorded.end(), true) >= static_cast<int64_t>(HolderRing::majority(recorded.size()));
        };
        std::unique_lock lock(round->mutex);
        round->changed.wait_until(lock, until, [&] { return round->pending == 0 || isConfirmed(); });
        if (isConfirmed())
            return true;
    }
    ++m_unconfirmedReleases;
    return false;
}

PeerClaimsStats PeerClaims::stats() const
{
    return { m_results[0], m_lostVotes, m_results[1], m_results[2], m_results[3], m_unconfirmedReleases, m_holder.table().size() };
}

} // namespace vanillalift
