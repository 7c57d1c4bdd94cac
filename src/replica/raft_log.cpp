#include "raft_core_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <algorithm>

namespace vanillalift::raft {

void RaftCore::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Members)
        m_memberHistory[entry.index] = decodeMembers(entry.data);
    persistAction().entries.push_back(entry);
    m_log.push_back(std::move(entry));
}

void RaftCore::appendAsLeader(EntryKind kind, std::string data, uint64_t proposalId)
{
    LogEntry entry { lastIndex() + 1, m_hardState.term, kind, std::move(data) };
    if (proposalId != 0)
        m_pendingProposals[entry.index] = proposalId;
    append(std::move(entry));
}

void RaftCore::truncate(uint64_t from)
{
    CHECK_GT(from, m_commitIndex) << "a committed entry would be truncated";
    m_log.resize(from - m_snapshot.index - 1);
    m_memberHistory.erase(m_memberHistory.lower_bound(from), m_memberHistory.end());
    m_persistedIndex = std::min(m_persistedIndex, from - 1);
}

void RaftCore::handle(Propose& proposal)
{
    if (m_role != ReplicaRole::Leader || !m_transferTarget.empty())
        return respondError(proposal.id, ProposeErrorCode::NotLeader);
    if (proposal.command.size() > config::maxCommandBytes)
        return respondError(proposal.id, ProposeErrorCode::TooLarge);
    if (lastIndex() - m_commitIndex >= m_desc.maxUncommittedEntries)
        return respondError(proposal.id, ProposeErrorCode::Overloaded);
    appendAsLeader(EntryKind::Command, std::move(proposal.command), proposal.id);
    sendAppends(false);
}

void RaftCore::handle(const Persisted& persisted)
{
    m_persistedIndex = std::min(persisted.index, lastIndex());
    if (m_role == ReplicaRole::Leader)
        advanceCommit();
}

void RaftCore::advanceCommit()
{
    std::vector<uint64_t> matchIndices;
    for (const auto& it : members()) {
        if (!it.isVoter)
            continue;
        auto progress = m_progress.find(it.name);
        bool isCounted = progress != m_progress.end() && progress->second.storageId == it.storageId;
        matchIndices.push_back(it.name == m_desc.name ? m_persistedIndex : (isCounted ? progress->second.matchIndex : 0));
    }
    std::sort(matchIndices.rbegin(), matchIndices.rend());
    auto quorumIndex = matchIndices.empty() ? 0 : matchIndices[matchIndices.size() / 2];
    // An entry of an earlier term can still be overwritten although a majority stores it (Raft paper, section 5.4.2).
    if (quorumIndex > m_commitIndex && termAt(quorumIndex) == m_hardState.term)
        commitTo(quorumIndex);
    adjustVoters();
    tryTransfer();
    confirmReads();
}

void RaftCore::commitTo(uint64_t index)
{
    while (m_commitIndex < index) {
        const auto& committed = *entry(++m_commitIndex);
        auto proposal = m_pendingProposals.extract(committed.index);
        m_actions.emplace_back(Apply { committed, proposal.empty() ? 0 : proposal.mapped() });
    }
}

void RaftCore::handle(const ReadIndex& read)
{
    if (m_role != ReplicaRole::Leader)
        return respondError(read.id, ProposeErrorCode::NotLeader);
    m_pendingReads.push_back({ read.id, m_lastSequence + 1 });
    sendAppends(true);
    confirmReads();
}

void RaftCore::confirmReads()
{
    // Until an entry of the current term is committed, the commit index may lag behind that of earlier leaders.
    if (m_pendingReads.empty() || termAt(m_commitIndex) != m_hardState.term)
        return;
    std::vector<PendingRead> unconfirmed;
    for (const auto& read : m_pendingReads) {
        std::set<std::string> confirmed { m_desc.name };
        for (const auto& it : members()) {
            auto progress = m_progress.find(it.name);
            if (progress != m_progress.end() && progress->second.storageId == it.storageId && progress->second.ackedSequence >= read.sequence)
                confirmed.insert(it.name);
        }
        if (hasQuorum(confirmed))
            m_actions.emplace_back(Respond { read.id, ReadReady { m_commitIndex } });
        else
            unconfirmed.push_back(read);
    }
    m_pendingReads = std::move(unconfirmed);
}

void RaftCore::acceptLeader(const Message& message)
{
    if (m_role != ReplicaRole::Follower)
        becomeFollower(message.term, message.from);
    m_leader = message.from;
    m_lastLeaderContactAt = m_now;
    resetElectionDeadline();
}

void RaftCore::handleBody(const Message& message, const AppendRequest& request)
{
    AppendReply reply { request.sequence };
    if (message.term < m_hardState.term)
        return send(message.from, reply);
    acceptLeader(message);
    reply.success = appendFromLeader(request, reply);
    if (reply.success) {
        reply.matchIndex = request.previousIndex + request.entries.size();
        commitTo(std::max(m_commitIndex, std::min(request.commitIndex, reply.matchIndex)));
    }
    send(message.from, reply);
}

bool RaftCore::appendFromLeader(const AppendRequest& request, AppendReply& reply)
{
    bool isPreviousKnown = request.previousIndex <= m_snapshot.index
        || (request.previousIndex <= lastIndex() && termAt(request.previousIndex) == request.previousTerm);
    if (!isPreviousKnown) {
        setConflict(request.previousIndex, reply);
        return false;
    }
    for (const auto& it : request.entries) {
        if (it.index <= m_snapshot.index)
            continue;
        if (it.index <= lastIndex()) {
            if (termAt(it.index) == it.term)
                continue;
            truncate(it.index);
        }
        append(it);
    }
    return true;
}

void RaftCore::setConflict(uint64_t previousIndex, AppendReply& reply) const
{
    if (previousIndex > lastIndex()) {
        reply.conflictIndex = lastIndex() + 1;
        return;
    }
    reply.conflictTerm = termAt(previousIndex);
    reply.conflictIndex = previousIndex;
    while (reply.conflictIndex > m_commitIndex + 1 && termAt(reply.conflictIndex - 1) == reply.conflictTerm)
        reply.conflictIndex--;
}

void RaftCore::handle(Compact& compact)
{
    const auto* last = entry(compact.index);
    if (!last || compact.index > m_commitIndex)
        return;
    auto configuration = std::prev(m_memberHistory.upper_bound(compact.index));
    Snapshot snapshot { compact.index, last->term, configuration->second, std::make_shared<std::string>(std::move(compact.data)) };
    m_log.erase(m_log.begin(), m_log.begin() + static_cast<std::ptrdiff_t>(compact.index - m_snapshot.index));
    m_memberHistory.erase(m_memberHistory.begin(), configuration);
    m_snapshot = std::move(snapshot);
    persistAction().snapshot = m_snapshot;
    persistAction().retained.assign(m_log.begin(), m_log.end());
}

void RaftCore::handleBody(const Message& message, const SnapshotChunk& chunk)
{
    SnapshotReply reply { chunk.sequence, chunk.index };
    if (message.term < m_hardState.term)
        return send(message.from, reply);
    acceptLeader(message);
    if (chunk.index <= m_commitIndex) {
        reply.isInstalled = true;
        return send(message.from, reply);
    }
    if (chunk.offset == 0 || m_receivedSnapshotIndex != chunk.index || m_receivedSnapshotLeaderTerm != message.term) {
        m_receivedChunks.clear();
        m_receivedSnapshotIndex = chunk.index;
        m_receivedSnapshotLeaderTerm = message.term;
    }
    if (chunk.offset == m_receivedChunks.size()) {
        m_receivedChunks += chunk.data;
        if (chunk.isLast) {
            installSnapshot(chunk);
            reply.isInstalled = true;
        }
    }
    reply.nextOffset = m_receivedChunks.size();
    send(message.from, reply);
}

void RaftCore::installSnapshot(const SnapshotChunk& chunk)
{
    bool isSuffixValid = chunk.index <= lastIndex() && termAt(chunk.index) == chunk.snapshotTerm;
    if (isSuffixValid) {
        m_log.erase(m_log.begin(), m_log.begin() + static_cast<std::ptrdiff_t>(chunk.index - m_snapshot.index));
        m_memberHistory.erase(m_memberHistory.begin(), m_memberHistory.upper_bound(chunk.index));
    } else {
        m_log.clear();
        m_memberHistory.clear();
        m_persistedIndex = chunk.index;
    }
    m_snapshot = { chunk.index, chunk.snapshotTerm, chunk.members, std::make_shared<std::string>(std::exchange(m_receivedChunks, {})) };
    m_memberHistory[chunk.index] = chunk.members;
    m_commitIndex = chunk.index;
    persistAction().snapshot = m_snapshot;
    persistAction().retained.assign(m_log.begin(), m_log.end());
    m_actions.emplace_back(Restore { m_snapshot });
}

} // namespace vanillalift::raft
