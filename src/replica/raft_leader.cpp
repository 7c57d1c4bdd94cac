#include "raft_core_p.h"

#include <algorithm>

namespace vanillalift::raft {

RaftCore::Progress* RaftCore::progressOf(const Message& message)
{
    auto it = m_progress.find(message.from);
    if (m_role != ReplicaRole::Leader || message.term != m_hardState.term || it == m_progress.end())
        return nullptr;
    auto& progress = it->second;
    if (progress.storageId != message.fromStorage) {
        // Another disk answers under this name: what the old one acknowledged says nothing about it.
        progress = {};
        progress.storageId = message.fromStorage;
        progress.next = lastIndex() + 1;
    }
    progress.heardAt = m_now;
    return &progress;
}

void RaftCore::acknowledge(Progress& progress, uint64_t round)
{
    progress.ackedRound = std::max(progress.ackedRound, round);
    if (round == progress.inFlight)
        progress.ackedSentAt = std::max(progress.ackedSentAt, progress.inFlightSentAt);
    if (round >= progress.inFlight)
        progress.inFlight = 0;
}

void RaftCore::handleBody(const Message& message, const AppendReply& reply)
{
    auto* progress = progressOf(message);
    if (!progress)
        return;
    bool isNewest = reply.round == progress->inFlight;
    acknowledge(*progress, reply.round);
    if (reply.matches) {
        progress->match = std::max(progress->match, reply.matchIndex);
        progress->next = std::max(progress->next, progress->match + 1);
        advanceCommit();
    } else {
        if (isNewest)
            backtrack(*progress, reply);
        confirmReads();
    }
    // The commit may have changed the members, and with them the table of progress.
    auto it = m_progress.find(message.from);
    bool isReadWaiting = !m_reads.empty() && m_reads.back().round > reply.round;
    if (it != m_progress.end() && it->second.inFlight == 0 && (it->second.next <= lastIndex() || isReadWaiting))
        sendAppend(message.from, it->second);
}

void RaftCore::backtrack(Progress& progress, const AppendReply& reply) const
{
    auto previous = progress.next - 1;
    auto next = reply.conflictIndex;
    if (reply.conflictTerm != 0) {
        // If this log has the conflicting term too, its last entry of that term is the newest that can match.
        auto index = std::min(previous, lastIndex());
        while (index > m_snapshot.index && index >= reply.conflictIndex && termAt(index) > reply.conflictTerm)
            index--;
        if (index >= reply.conflictIndex && index > m_snapshot.index && termAt(index) == reply.conflictTerm)
            next = index + 1;
    }
    progress.next = std::max({ progress.match + 1, std::min(next, previous), uint64_t { 1 } });
}

void RaftCore::sendAppends(bool isHeartbeat)
{
    for (auto& [name, progress] : m_progress) {
        bool isLost = progress.inFlight != 0 && m_now >= progress.resendAt;
        bool isDue = progress.inFlight == 0 && (isHeartbeat || progress.next <= lastIndex());
        if (isLost || isDue)
            sendAppend(name, progress);
    }
}

void RaftCore::sendAppend(const std::string& name, Progress& progress)
{
    progress.inFlight = ++m_round;
    progress.inFlightSentAt = m_now;
    progress.resendAt = m_now + m_desc.electionBase / 2;
    // A silent peer gets empty probes, so that nothing large is built and queued for it.
    bool isReachable = m_now - progress.heardAt < m_desc.electionBase;
    if (isReachable && progress.next <= m_snapshot.index)
        return sendChunk(name, progress);
    AppendRequest request { m_round, std::max(progress.next - 1, m_snapshot.index), 0, m_commitIndex, {} };
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
    if (progress.chunkIndex != m_snapshot.index) {
        progress.chunkIndex = m_snapshot.index;
        progress.chunkOffset = 0;
    }
    const auto& data = *m_snapshot.data;
    auto offset = std::min<uint64_t>(progress.chunkOffset, data.size());
    auto part = data.substr(offset, m_desc.maxChunkBytes);
    bool isLast = offset + part.size() == data.size();
    send(name, SnapshotChunk { m_round, m_snapshot.index, m_snapshot.term, m_snapshot.members, offset, std::move(part), isLast });
}

void RaftCore::handleBody(const Message& message, const SnapshotReply& reply)
{
    auto* progress = progressOf(message);
    if (!progress)
        return;
    bool isNewest = reply.round == progress->inFlight;
    acknowledge(*progress, reply.round);
    if (reply.isInstalled) {
        progress->match = std::max(progress->match, reply.index);
        progress->next = std::max(progress->next, progress->match + 1);
        advanceCommit();
    } else if (reply.index == progress->chunkIndex) {
        progress->chunkOffset = reply.nextOffset;
    }
    auto it = m_progress.find(message.from);
    if (isNewest && it != m_progress.end() && it->second.inFlight == 0)
        sendAppend(message.from, it->second);
}

TimePoint RaftCore::quorumContactAt() const
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

TimePoint RaftCore::heardAt(const std::string& name) const
{
    auto it = m_progress.find(name);
    return m_role == ReplicaRole::Leader && it != m_progress.end() ? it->second.heardAt : TimePoint {};
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
            m_progress[it.name] = { .storageId = it.storageId, .next = lastIndex() + 1, .heardAt = m_now };
    }
}

std::optional<ProposeErrorCode> RaftCore::changeFault() const
{
    if (m_role != ReplicaRole::Leader || !m_transferTarget.empty())
        return ProposeErrorCode::NotLeader;
    // Two changes in progress, or one that builds on an uncommitted change of an older term, could give two
    // majorities without a common member.
    if (m_memberHistory.rbegin()->first > m_commitIndex || termAt(m_commitIndex) != m_hardState.term)
        return ProposeErrorCode::ChangeInProgress;
    return std::nullopt;
}

void RaftCore::changeMembers(const ReplicaMembers& members, uint64_t id)
{
    appendOwn(EntryKind::Members, encodeMembers(members), id);
    updateProgress();
    sendAppends(false);
}

void RaftCore::handle(const ReplaceMember& change)
{
    if (auto fault = changeFault())
        return respondError(change.id, *fault);
    const auto* current = findMember(change.name);
    if (change.name == m_desc.name || change.storageId.empty() || (current && current->storageId == change.storageId))
        return respondError(change.id, ProposeErrorCode::MemberInvalid);
    auto changed = members();
    if (!current) {
        changed.push_back({ change.name, change.storageId, false });
        return changeMembers(changed, change.id);
    }
    // The new disk first catches up, so that the group is short of a voter only for a moment.
    const auto& progress = m_progress[change.name];
    if (progress.storageId != change.storageId || progress.match < m_commitIndex)
        return respondError(change.id, ProposeErrorCode::NotCaughtUp);
    for (auto& it : changed) {
        if (it.name == change.name)
            it = { change.name, change.storageId, false };
    }
    changeMembers(changed, change.id);
}

void RaftCore::handle(const RemoveMember& change)
{
    if (auto fault = changeFault())
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
    return progress != m_progress.end() && progress->second.storageId == member.storageId && progress->second.match >= m_commitIndex;
}

void RaftCore::balanceVoters()
{
    if (changeFault())
        return;
    auto changed = members();
    // A member that has just been cut off as well would count for the majority and never answer.
    auto isReady = [this](const ReplicaMember& it) { return !it.isVoter && isCaughtUp(it) && (m_desc.voterSilence == Duration::zero() || m_now - heardAt(it.name) < m_desc.electionBase); };
    auto isSilentVoter = [this](const ReplicaMember& it) { return it.isVoter && it.name != m_desc.name && m_now - heardAt(it.name) >= m_desc.voterSilence; };
    auto voters = std::count_if(changed.begin(), changed.end(), [](const auto& it) { return it.isVoter; });
    auto ready = std::find_if(changed.begin(), changed.end(), isReady);
    auto silent = std::find_if(changed.begin(), changed.end(), isSilentVoter);
    bool mayAllVote = m_desc.voterSilence == Duration::zero();
    bool isEven = voters % 2 == 0;
    bool isPairReady = std::count_if(changed.begin(), changed.end(), isReady) >= 2;
    if (ready != changed.end() && (mayAllVote || isEven || isPairReady || silent != changed.end()))
        ready->isVoter = true;
    else if (!mayAllVote && isEven && silent != changed.end())
        silent->isVoter = false;
    else
        return;
    changeMembers(changed, 0);
}

void RaftCore::handle(Transfer)
{
    if (m_role != ReplicaRole::Leader || !m_transferTarget.empty())
        return;
    uint64_t best = 0;
    for (const auto& it : members()) {
        auto progress = m_progress.find(it.name);
        if (!it.isVoter || progress == m_progress.end() || progress->second.storageId != it.storageId || progress->second.match <= best)
            continue;
        best = progress->second.match;
        m_transferTarget = it.name;
    }
    m_transferDeadline = m_now + m_desc.electionBase;
    tryTransfer();
}

void RaftCore::tryTransfer()
{
    auto it = m_progress.find(m_transferTarget);
    if (it != m_progress.end() && it->second.match == lastIndex())
        send(m_transferTarget, TimeoutNow {});
}

} // namespace vanillalift::raft
