#include "raft_core_p.h"

#include <algorithm>

namespace vanillalift::raft {

RaftCore::Progress* RaftCore::progressOf(const Message& message)
{
    auto it = m_progress.find(message.from);
    if (m_role != ReplicaRole::Leader || message.term != m_hardState.term || it == m_progress.end())
        return nullptr;
    auto& progress = it->second;
    if (progress.storageId != message.fromStorageId) {
        // The peer has new storage, to which earlier acknowledgements do not apply.
        progress = {};
        progress.storageId = message.fromStorageId;
        progress.nextIndex = lastIndex() + 1;
    }
    progress.lastContactAt = m_now;
    return &progress;
}

void RaftCore::recordAcknowledgement(Progress& progress, uint64_t sequence)
{
    progress.ackedSequence = std::max(progress.ackedSequence, sequence);
    if (sequence == progress.inFlightSequence)
        progress.ackedSentAt = std::max(progress.ackedSentAt, progress.inFlightSentAt);
    if (sequence >= progress.inFlightSequence)
        progress.inFlightSequence = 0;
}

void RaftCore::handleBody(const Message& message, const AppendReply& reply)
{
    auto* progress = progressOf(message);
    if (!progress)
        return;
    bool isLatest = reply.sequence == progress->inFlightSequence;
    recordAcknowledgement(*progress, reply.sequence);
    if (reply.success) {
        progress->matchIndex = std::max(progress->matchIndex, reply.matchIndex);
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
        advanceCommit();
    } else {
        if (isLatest)
            backtrack(*progress, reply);
        confirmReads();
    }
    // advanceCommit() may have changed the members and with them m_progress.
    auto it = m_progress.find(message.from);
    bool hasWaitingRead = !m_pendingReads.empty() && m_pendingReads.back().sequence > reply.sequence;
    if (it != m_progress.end() && it->second.inFlightSequence == 0 && (it->second.nextIndex <= lastIndex() || hasWaitingRead))
        sendAppend(message.from, it->second);
}

void RaftCore::backtrack(Progress& progress, const AppendReply& reply) const
{
    auto previous = progress.nextIndex - 1;
    auto next = reply.conflictIndex;
    if (reply.conflictTerm != 0) {
        // If this log also has entries of the conflicting term, the last of them is the latest that can match.
        auto index = std::min(previous, lastIndex());
        while (index > m_snapshot.index && index >= reply.conflictIndex && termAt(index) > reply.conflictTerm)
            index--;
        if (index >= reply.conflictIndex && index > m_snapshot.index && termAt(index) == reply.conflictTerm)
            next = index + 1;
    }
    progress.nextIndex = std::max({ progress.matchIndex + 1, std::min(next, previous), uint64_t { 1 } });
}

void RaftCore::sendAppends(bool isHeartbeat)
{
    for (auto& [name, progress] : m_progress) {
        bool isTimedOut = progress.inFlightSequence != 0 && m_now >= progress.retransmitAt;
        bool isDue = progress.inFlightSequence == 0 && (isHeartbeat || progress.nextIndex <= lastIndex());
        if (isTimedOut || isDue)
            sendAppend(name, progress);
    }
}

void RaftCore::sendAppend(const std::string& name, Progress& progress)
{
    progress.inFlightSequence = ++m_lastSequence;
    progress.inFlightSentAt = m_now;
    progress.retransmitAt = m_now + m_desc.minElectionTimeout / 2;
    // A peer without recent contact gets empty probes, so that no large messages are built and queued for it.
    bool isReachable = m_now - progress.lastContactAt < m_desc.minElectionTimeout;
    if (isReachable && progress.nextIndex <= m_snapshot.index)
        return sendChunk(name, progress);
    AppendRequest request { m_lastSequence, std::max(progress.nextIndex - 1, m_snapshot.index), 0, m_commitIndex, {} };
    request.previousTerm = termAt(request.previousIndex);
    size_t bytes = 0;
    for (auto index = request.previousIndex + 1; isReachable && index <= lastIndex(); index++) {
        const auto& next = *entry(index);
        bytes += next.data.size() + sizeof(LogEntry);
        if (!request.entries.empty() && (bytes > m_desc.maxAppendBytes || request.entries.size() >= m_desc.maxAppendEntries))
            break;
        request.entries.push_back(next);
    }
    send(name, std::move(request), false);
}

void RaftCore::sendChunk(const std::string& name, Progress& progress)
{
    if (progress.snapshotIndex != m_snapshot.index) {
        progress.snapshotIndex = m_snapshot.index;
        progress.snapshotOffset = 0;
    }
    const auto& data = *m_snapshot.data;
    auto offset = std::min<uint64_t>(progress.snapshotOffset, data.size());
    auto chunk = data.substr(offset, m_desc.maxChunkBytes);
    bool isLast = offset + chunk.size() == data.size();
    send(name, SnapshotChunk { m_lastSequence, m_snapshot.index, m_snapshot.term, m_snapshot.members, offset, std::move(chunk), isLast });
}

void RaftCore::handleBody(const Message& message, const SnapshotReply& reply)
{
    auto* progress = progressOf(message);
    if (!progress)
        return;
    bool isLatest = reply.sequence == progress->inFlightSequence;
    recordAcknowledgement(*progress, reply.sequence);
    if (reply.isInstalled) {
        progress->matchIndex = std::max(progress->matchIndex, reply.index);
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
        advanceCommit();
    } else if (reply.index == progress->snapshotIndex) {
        progress->snapshotOffset = reply.nextOffset;
    }
    auto it = m_progress.find(message.from);
    if (isLatest && it != m_progress.end() && it->second.inFlightSequence == 0)
        sendAppend(message.from, it->second);
}

TimePoint RaftCore::lastQuorumContactAt() const
{
    if (m_role != ReplicaRole::Leader)
        return {};
    std::vector<TimePoint> contacts;
    for (const auto& it : members()) {
        if (!it.isVoter)
            continue;
        auto progress = m_progress.find(it.name);
        bool isCounted = progress != m_progress.end() && progress->second.storageId == it.storageId;
        contacts.push_back(it.name == m_desc.name ? m_now : (isCounted ? progress->second.ackedSentAt : TimePoint {}));
    }
    std::sort(contacts.rbegin(), contacts.rend());
    return contacts.empty() ? TimePoint {} : contacts[contacts.size() / 2];
}

TimePoint RaftCore::lastContactAt(const std::string& name) const
{
    auto it = m_progress.find(name);
    return m_role == ReplicaRole::Leader && it != m_progress.end() ? it->second.lastContactAt : TimePoint {};
}

std::string RaftCore::storageIdOf(const std::string& name) const
{
    auto it = m_progress.find(name);
    return m_role == ReplicaRole::Leader && it != m_progress.end() ? it->second.storageId : std::string();
}

void RaftCore::updateProgress()
{
    std::erase_if(m_progress, [this](const auto& it) { return !findMember(it.first); });
    for (const auto& it : members()) {
        if (it.name != m_desc.name && !m_progress.contains(it.name))
            m_progress[it.name] = { .storageId = it.storageId, .nextIndex = lastIndex() + 1, .lastContactAt = m_now };
    }
}

std::optional<ProposeErrorCode> RaftCore::membershipChangeError() const
{
    if (m_role != ReplicaRole::Leader || !m_transferTarget.empty())
        return ProposeErrorCode::NotLeader;
    // Two concurrent changes, or one based on an uncommitted change of an earlier term, could result in two disjoint
    // majorities.
    if (m_memberHistory.rbegin()->first > m_commitIndex || termAt(m_commitIndex) != m_hardState.term)
        return ProposeErrorCode::ChangeInProgress;
    return std::nullopt;
}

void RaftCore::changeMembers(const ReplicaMembers& members, uint64_t id)
{
    appendAsLeader(EntryKind::Members, encodeMembers(members), id);
    updateProgress();
    sendAppends(false);
}

void RaftCore::handle(const ReplaceMember& change)
{
    if (auto fault = membershipChangeError())
        return respondError(change.id, *fault);
    const auto* current = findMember(change.name);
    if (change.name == m_desc.name || change.storageId.empty() || (current && current->storageId == change.storageId))
        return respondError(change.id, ProposeErrorCode::MemberInvalid);
    auto changed = members();
    if (!current) {
        changed.push_back({ change.name, change.storageId, false });
        return changeMembers(changed, change.id);
    }
    // The new storage must catch up first, so that the group lacks a voter only briefly.
    const auto& progress = m_progress[change.name];
    if (progress.storageId != change.storageId || progress.matchIndex < m_commitIndex)
        return respondError(change.id, ProposeErrorCode::NotCaughtUp);
    for (auto& it : changed) {
        if (it.name == change.name)
            it = { change.name, change.storageId, false };
    }
    changeMembers(changed, change.id);
}

void RaftCore::handle(const RemoveMember& change)
{
    if (auto fault = membershipChangeError())
        return respondError(change.id, *fault);
    if (change.name == m_desc.name || !findMember(change.name))
        return respondError(change.id, ProposeErrorCode::MemberInvalid);
    auto changed = members();
    std::erase_if(changed, [&](const auto& it) { return it.name == change.name; });
    changeMembers(changed, change.id);
}

bool RaftCore::isCaughtUp(const ReplicaMember& member) const
{
    auto progress = m_progress.find(member.name);
    return progress != m_progress.end() && progress->second.storageId == member.storageId && progress->second.matchIndex >= m_commitIndex;
}

void RaftCore::adjustVoters()
{
    if (membershipChangeError())
        return;
    auto changed = members();
    // Promote only a learner with recent contact: one that has just been partitioned as well would count for the majority
    // but never answer.
    auto isPromotable = [this](const ReplicaMember& it) { return !it.isVoter && isCaughtUp(it) && (m_desc.voterReplacementTimeout == Duration::zero() || m_now - lastContactAt(it.name) < m_desc.minElectionTimeout); };
    auto isUnreachableVoter = [this](const ReplicaMember& it) { return it.isVoter && it.name != m_desc.name && m_now - lastContactAt(it.name) >= m_desc.voterReplacementTimeout; };
    auto voters = std::count_if(changed.begin(), changed.end(), [](const auto& it) { return it.isVoter; });
    auto learner = std::find_if(changed.begin(), changed.end(), isPromotable);
    auto unreachable = std::find_if(changed.begin(), changed.end(), isUnreachableVoter);
    bool allMembersVote = m_desc.voterReplacementTimeout == Duration::zero();
    bool isEven = voters % 2 == 0;
    bool hasTwoPromotable = std::count_if(changed.begin(), changed.end(), isPromotable) >= 2;
    if (learner != changed.end() && (allMembersVote || isEven || hasTwoPromotable || unreachable != changed.end()))
        learner->isVoter = true;
    else if (!allMembersVote && isEven && unreachable != changed.end())
        unreachable->isVoter = false;
    else
        return;
    changeMembers(changed, 0);
}

void RaftCore::handle(const TransferLeadership& transfer)
{
    m_isLeaving = m_isLeaving || transfer.isLeaving;
    if (m_role != ReplicaRole::Leader || !m_transferTarget.empty())
        return;
    uint64_t best = 0;
    for (const auto& it : members()) {
        auto progress = m_progress.find(it.name);
        if (!it.isVoter || progress == m_progress.end() || progress->second.storageId != it.storageId || progress->second.matchIndex <= best)
            continue;
        if (std::find(transfer.avoid.begin(), transfer.avoid.end(), it.name) != transfer.avoid.end())
            continue;
        best = progress->second.matchIndex;
        m_transferTarget = it.name;
    }
    m_transferDeadline = m_now + m_desc.minElectionTimeout;
    tryTransfer();
}

void RaftCore::tryTransfer()
{
    auto it = m_progress.find(m_transferTarget);
    if (it != m_progress.end() && it->second.matchIndex == lastIndex())
        send(m_transferTarget, TimeoutNow {});
}

} // namespace vanillalift::raft
