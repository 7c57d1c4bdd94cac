#include "raft_core_p.h"

#include <algorithm>

namespace vanillalift::raft {

RaftCore::RaftCore(CoreDesc desc, RecoveredState recovered, TimePoint now)
    : m_desc(std::move(desc))
    , m_storageId(std::move(recovered.storageId))
    , m_random(m_desc.seed)
    , m_now(now)
    , m_hardState(std::move(recovered.hardState))
    , m_lastLeaderContactAt(now)
    , m_snapshot(std::move(recovered.snapshot))
    , m_log(recovered.entries.begin(), recovered.entries.end())
    , m_commitIndex(m_snapshot.index)
    , m_persistedIndex(m_snapshot.index + m_log.size())
{
    m_memberHistory[m_snapshot.index] = m_snapshot.members;
    for (const auto& it : m_log) {
        if (it.kind == EntryKind::Members)
            m_memberHistory[it.index] = decodeMembers(it.data);
    }
    resetElectionDeadline();
}

Actions RaftCore::step(Input input, TimePoint now)
{
    m_now = std::max(m_now, now);
    std::visit([this](auto& it) { handle(it); }, input);
    if (m_persist)
        m_actions.insert(m_actions.begin(), std::move(*m_persist));
    m_persist.reset();
    return std::exchange(m_actions, {});
}

void RaftCore::handle(const Message& message)
{
    const auto* vote = std::get_if<VoteRequest>(&message.body);
    // A vote request with another storage id is meant for the storage that this replica lost.
    if (message.to != m_desc.name || (vote && vote->recipientStorageId != m_storageId))
        return;
    bool isPreVote = vote && vote->isPreVote;
    if (!isPreVote && message.term > m_hardState.term)
        becomeFollower(message.term, "");
    std::visit([&](const auto& body) { handleBody(message, body); }, message.body);
}

void RaftCore::handle(Tick)
{
    if (m_role != ReplicaRole::Leader) {
        if (m_now < m_electionDeadline)
            return;
        resetElectionDeadline();
        if (isSelfVoter() && !m_isLeaving)
            startElection(true);
        return;
    }
    if (!hasQuorumContact())
        return becomeFollower(m_hardState.term, "");
    if (!m_transferTarget.empty() && m_now >= m_transferDeadline)
        m_transferTarget.clear();
    bool isHeartbeat = m_now >= m_heartbeatAt;
    if (isHeartbeat)
        m_heartbeatAt = m_now + m_desc.minElectionTimeout / 5;
    sendAppends(isHeartbeat);
}

TimePoint RaftCore::nextDeadline() const
{
    return m_role == ReplicaRole::Leader ? m_heartbeatAt : m_electionDeadline;
}

void RaftCore::resetElectionDeadline()
{
    std::uniform_int_distribution<int64_t> extra(0, m_desc.minElectionTimeout.count());
    m_electionDeadline = m_now + m_desc.minElectionTimeout + Duration(extra(m_random));
}

void RaftCore::becomeFollower(uint64_t term, const std::string& leader)
{
    if (term > m_hardState.term) {
        m_hardState = { term, "" };
        saveHardState();
    }
    m_role = ReplicaRole::Follower;
    m_leader = leader;
    m_transferTarget.clear();
    m_isForcedElection = false;
    m_progress.clear();
    resetElectionDeadline();
    for (const auto& [index, id] : std::exchange(m_pendingProposals, {}))
        respondError(id, ProposeErrorCode::OutcomeUnknown);
    for (const auto& it : std::exchange(m_pendingReads, {}))
        respondError(it.id, ProposeErrorCode::NotLeader);
}

void RaftCore::startElection(bool isPreVote)
{
    m_role = isPreVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    m_leader.clear();
    m_votes = { m_desc.name };
    if (!isPreVote) {
        m_hardState = { m_hardState.term + 1, m_desc.name };
        saveHardState();
    }
    resetElectionDeadline();
    for (const auto& it : members()) {
        if (it.isVoter && it.name != m_desc.name)
            send(it.name, VoteRequest { isPreVote, lastIndex(), termAt(lastIndex()), it.storageId });
    }
    countVotes();
}

void RaftCore::countVotes()
{
    if (!hasQuorum(m_votes))
        return;
    if (m_role == ReplicaRole::PreCandidate)
        startElection(false);
    else if (m_role == ReplicaRole::Candidate)
        becomeLeader();
}

void RaftCore::becomeLeader()
{
    m_role = ReplicaRole::Leader;
    m_leader = m_desc.name;
    m_progress.clear();
    m_heartbeatAt = m_now + m_desc.minElectionTimeout / 5;
    // Entries of earlier terms are committed only indirectly, by committing an entry of the current term.
    appendAsLeader(EntryKind::NoOp, "", 0);
    updateProgress();
    sendAppends(true);
}

bool RaftCore::hasQuorum(const std::set<std::string>& names) const
{
    size_t voters = 0;
    size_t votes = 0;
    for (const auto& it : members()) {
        voters += it.isVoter ? 1 : 0;
        votes += it.isVoter && names.contains(it.name) ? 1 : 0;
    }
    return votes > voters / 2;
}

bool RaftCore::hasQuorumContact() const
{
    std::set<std::string> reachable { m_desc.name };
    for (const auto& it : members()) {
        auto progress = m_progress.find(it.name);
        if (progress != m_progress.end() && progress->second.storageId == it.storageId && m_now - progress->second.lastContactAt < m_desc.minElectionTimeout)
            reachable.insert(it.name);
    }
    return hasQuorum(reachable);
}

bool RaftCore::isUpToDate(const VoteRequest& request) const
{
    auto lastTerm = termAt(lastIndex());
    return request.lastTerm > lastTerm || (request.lastTerm == lastTerm && request.lastIndex >= lastIndex());
}

void RaftCore::handleBody(const Message& message, const VoteRequest& request)
{
    VoteReply reply { request.isPreVote, false, message.term };
    if (request.isPreVote) {
        // Reject while in contact with a leader, so that a rejoining replica cannot depose a healthy leader.
        bool hasLeader = m_role == ReplicaRole::Leader || (!m_leader.empty() && m_now - m_lastLeaderContactAt < m_desc.minElectionTimeout);
        reply.granted = !hasLeader && message.term > m_hardState.term && isUpToDate(request);
    } else if (message.term == m_hardState.term && (m_hardState.vote.empty() || m_hardState.vote == message.from) && isUpToDate(request)) {
        reply.granted = true;
        if (m_hardState.vote.empty()) {
            m_hardState.vote = message.from;
            saveHardState();
        }
        resetElectionDeadline();
    }
    send(message.from, reply);
}

void RaftCore::handleBody(const Message& message, const VoteReply& reply)
{
    const auto* member = findMember(message.from);
    bool isExpected = reply.isPreVote ? m_role == ReplicaRole::PreCandidate && reply.requestTerm == m_hardState.term + 1
                                      : m_role == ReplicaRole::Candidate && reply.requestTerm == m_hardState.term;
    if (!isExpected || !reply.granted || !member || member->storageId != message.fromStorageId)
        return;
    m_votes.insert(message.from);
    countVotes();
}

void RaftCore::handleBody(const Message& message, const TimeoutNow& /*request*/)
{
    if (message.term == m_hardState.term && m_role == ReplicaRole::Follower && isSelfVoter() && !m_isLeaving)
        startElection(false);
}

ReplicaStatus RaftCore::status() const
{
    return { m_desc.name, m_storageId, m_role, m_leader, m_hardState.term, m_commitIndex, lastIndex(), m_commitIndex, m_snapshot.index, members(), "" };
}

const LogEntry* RaftCore::entry(uint64_t index) const
{
    bool isInLog = index > m_snapshot.index && index <= lastIndex();
    return isInLog ? &m_log[index - m_snapshot.index - 1] : nullptr;
}

uint64_t RaftCore::termAt(uint64_t index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    const auto* found = entry(index);
    return found ? found->term : 0;
}

const ReplicaMember* RaftCore::findMember(const std::string& name) const
{
    auto it = std::find_if(members().begin(), members().end(), [&](const auto& member) { return member.name == name; });
    return it == members().end() ? nullptr : &*it;
}

bool RaftCore::isSelfVoter() const
{
    const auto* own = findMember(m_desc.name);
    return own && own->isVoter && own->storageId == m_storageId;
}

void RaftCore::send(const std::string& to, MessageBody body, bool afterPersist)
{
    auto term = m_hardState.term;
    const auto* vote = std::get_if<VoteRequest>(&body);
    if (vote && vote->isPreVote)
        term++;
    // The term must be durable before any message of that term is sent.
    bool isTermUnsaved = m_persist && m_persist->hardState;
    m_actions.emplace_back(Send { { m_desc.name, m_storageId, to, term, std::move(body) }, afterPersist || isTermUnsaved });
}

Persist& RaftCore::persistAction()
{
    if (!m_persist)
        m_persist.emplace();
    return *m_persist;
}

void RaftCore::saveHardState() { persistAction().hardState = m_hardState; }

void RaftCore::respondError(uint64_t id, ProposeErrorCode code)
{
    if (id != 0)
        m_actions.emplace_back(Respond { id, ProposeError { code, m_leader } });
}

} // namespace vanillalift::raft
