#pragma once

#include "raft_types_p.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace vanillalift::raft {

struct CoreDesc {
    std::string name;
    /// Shortest election timeout; deadlines are drawn from one to two times this.
    Duration minElectionTimeout = std::chrono::milliseconds(150);
    uint64_t seed = 1;
    size_t maxAppendEntries = 1024;
    size_t maxAppendBytes = 512U << 10U;
    size_t maxChunkBytes = 512U << 10U;
    /// Keeps the number of voters odd: one more would only raise the majority, and a cut into halves would leave none. A
    /// voter that is not heard for this long is replaced by a learner that has caught up. Zero: all members vote.
    Duration voterReplacementTimeout {};
    /// Proposals are refused while this many entries wait for commit.
    size_t maxUncommittedEntries = 10000;
};

/// The Raft algorithm without threads, clocks or I/O. Each step takes one input and returns the actions to take,
/// in order; Persist has to be durable before any later action, and any Send with afterPersist, is carried out.
class RaftCore {
public:
    RaftCore(CoreDesc desc, RecoveredState recovered, TimePoint now);

    Actions step(Input input, TimePoint now);

    [[nodiscard]] ReplicaStatus status() const;
    [[nodiscard]] TimePoint nextDeadline() const;
    /// @returns for a leader, a moment at which it was certainly the only leader: the newest by which a majority,
    /// itself included, had been sent a message that it has acknowledged since. The epoch otherwise.
    [[nodiscard]] TimePoint lastQuorumContactAt() const;
    /// @returns when the peer last answered this leader; the epoch if it is not a member or this is no leader.
    [[nodiscard]] TimePoint lastContactAt(const std::string& name) const;
    /// @returns the storage id under which the peer answers this leader, or an empty text.
    [[nodiscard]] std::string storageIdOf(const std::string& name) const;
    [[nodiscard]] uint64_t lastIndex() const { return m_snapshot.index + m_log.size(); }
    /// @returns the entry, or nullptr if it is in the snapshot or beyond the end.
    [[nodiscard]] const LogEntry* entry(uint64_t index) const;
    [[nodiscard]] const Snapshot& snapshot() const { return m_snapshot; }

private:
    /// What a leader knows of another replica.
    struct Progress {
        std::string storageId;
        uint64_t nextIndex = 1;
        uint64_t matchIndex = 0;
        uint64_t ackedSequence = 0;
        /// Round of the append in flight, 0 for none: one at a time keeps a slow peer's queue short.
        uint64_t inFlightSequence = 0;
        TimePoint inFlightSentAt;
        /// When the newest acknowledged round was sent.
        TimePoint ackedSentAt;
        TimePoint retransmitAt;
        TimePoint lastContactAt;
        uint64_t snapshotOffset = 0;
        uint64_t snapshotIndex = 0;
    };
    struct PendingRead {
        uint64_t id = 0;
        /// Rounds before this one left before the read arrived.
        uint64_t sequence = 0;
    };

    void handle(const Message& message);
    void handle(Tick);
    void handle(Propose& proposal);
    void handle(const ReadIndex& read);
    void handle(const ReplaceMember& change);
    void handle(const RemoveMember& change);
    void handle(TransferLeadership);
    void handle(const Persisted& persisted);
    void handle(Compact& compact);

    void handleBody(const Message& message, const VoteRequest& request);
    void handleBody(const Message& message, const VoteReply& reply);
    void handleBody(const Message& message, const AppendRequest& request);
    void handleBody(const Message& message, const AppendReply& reply);
    void handleBody(const Message& message, const SnapshotChunk& chunk);
    void handleBody(const Message& message, const SnapshotReply& reply);
    void handleBody(const Message& message, const TimeoutNow& request);

    void becomeFollower(uint64_t term, const std::string& leader);
    void startElection(bool isPreVote);
    void becomeLeader();
    void countVotes();
    void resetElectionDeadline();
    [[nodiscard]] bool hasQuorum(const std::set<std::string>& names) const;
    [[nodiscard]] bool hasQuorumContact() const;

    void acceptLeader(const Message& message);
    bool appendFromLeader(const AppendRequest& request, AppendReply& reply);
    void setConflict(uint64_t previousIndex, AppendReply& reply) const;
    void installSnapshot(const SnapshotChunk& chunk);
    /// @returns nullptr if the message is not for this leader and term.
    Progress* progressOf(const Message& message);
    void recordAcknowledgement(Progress& progress, uint64_t sequence);
    void sendAppend(const std::string& name, Progress& progress);
    void sendChunk(const std::string& name, Progress& progress);
    void sendAppends(bool isHeartbeat);
    void backtrack(Progress& progress, const AppendReply& reply) const;

    void appendAsLeader(EntryKind kind, std::string data, uint64_t proposalId);
    void append(LogEntry entry);
    void truncate(uint64_t from);
    void advanceCommit();
    void commitTo(uint64_t index);
    void confirmReads();
    void tryTransfer();
    void adjustVoters();
    [[nodiscard]] bool isCaughtUp(const ReplicaMember& member) const;
    [[nodiscard]] std::optional<ProposeErrorCode> membershipChangeError() const;
    void respondError(uint64_t id, ProposeErrorCode code);

    [[nodiscard]] const ReplicaMembers& members() const { return m_memberHistory.rbegin()->second; }
    [[nodiscard]] const ReplicaMember* findMember(const std::string& name) const;
    [[nodiscard]] bool isSelfVoter() const;
    [[nodiscard]] uint64_t termAt(uint64_t index) const;
    [[nodiscard]] bool isUpToDate(const VoteRequest& request) const;
    void changeMembers(const ReplicaMembers& members, uint64_t id);
    void updateProgress();
    void send(const std::string& to, MessageBody body, bool afterPersist = true);
    void saveHardState();
    Persist& persistAction();

    CoreDesc m_desc;
    std::string m_storageId;
    std::mt19937_64 m_random;
    TimePoint m_now;
    ReplicaRole m_role = ReplicaRole::Follower;
    HardState m_hardState;
    std::string m_leader;
    TimePoint m_lastLeaderContactAt;
    TimePoint m_electionDeadline;
    TimePoint m_heartbeatAt;

    Snapshot m_snapshot;
    std::deque<LogEntry> m_log;
    /// Configurations by the index of their entry; the newest one is in force as soon as it is in the log.
    std::map<uint64_t, ReplicaMembers> m_memberHistory;
    uint64_t m_commitIndex = 0;
    uint64_t m_persistedIndex = 0;

    std::set<std::string> m_votes;
    bool m_isForcedElection = false;
    std::map<std::string, Progress> m_progress;
    std::map<uint64_t, uint64_t> m_pendingProposals;
    std::vector<PendingRead> m_pendingReads;
    uint64_t m_lastSequence = 0;
    std::string m_transferTarget;
    TimePoint m_transferDeadline;
    std::string m_receivedChunks;
    uint64_t m_receivedSnapshotIndex = 0;
    uint64_t m_receivedSnapshotLeaderTerm = 0;

    std::optional<Persist> m_persist;
    Actions m_actions;
};

} // namespace vanillalift::raft
