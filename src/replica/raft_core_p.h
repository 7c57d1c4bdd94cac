#pragma once

#include "raft_types_p.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace vanillalift::raft {

struct CoreDesc {
    std::string name;
    /// Election timeouts are drawn uniformly from one to two times this value.
    Duration minElectionTimeout = std::chrono::milliseconds(150);
    uint64_t seed = 1;
    size_t maxAppendEntries = 1024;
    size_t maxAppendBytes = 512U << 10U;
    size_t maxChunkBytes = 512U << 10U;
    /// A voter without contact for this long is replaced by a caught-up learner, and the number of voters is kept odd: one more
    /// would only raise the majority, and a network partition into halves would leave no majority. Zero: all members vote.
    Duration voterReplacementTimeout {};
    /// Proposals fail with Overloaded while this many entries are uncommitted.
    size_t maxUncommittedEntries = 10000;
};

/// The Raft algorithm as a deterministic state machine without threads, clocks or I/O. Each step processes one input and
/// returns the actions to perform in order. A Persist must be durable before any later action is performed, except for a Send
/// without afterPersist.
class RaftCore {
public:
    RaftCore(CoreDesc desc, RecoveredState recovered, TimePoint now);

    Actions step(Input input, TimePoint now);

    [[nodiscard]] ReplicaStatus status() const;
    [[nodiscard]] TimePoint nextDeadline() const;
    /// Basis of the leader lease.
    /// @returns the latest time at which this replica was certainly the only leader: a majority, itself included, has since
    /// acknowledged messages sent at that time or later. The epoch if it is not the leader.
    [[nodiscard]] TimePoint lastQuorumContactAt() const;
    /// @returns when the peer last answered this leader; the epoch if it is not a member or this replica is not the leader.
    [[nodiscard]] TimePoint lastContactAt(const std::string& name) const;
    /// @returns the storage id under which the peer answers this leader, or an empty string.
    [[nodiscard]] std::string storageIdOf(const std::string& name) const;
    [[nodiscard]] uint64_t lastIndex() const { return m_snapshot.index + m_log.size(); }
    /// @returns the entry, or nullptr if it has been compacted or is beyond the end of the log.
    [[nodiscard]] const LogEntry* entry(uint64_t index) const;
    [[nodiscard]] const Snapshot& snapshot() const { return m_snapshot; }

private:
    /// The leader's replication state of a peer.
    struct Progress {
        std::string storageId;
        uint64_t nextIndex = 1;
        uint64_t matchIndex = 0;
        uint64_t ackedSequence = 0;
        /// Sequence of the unanswered append or snapshot chunk, 0 for none. One at a time keeps a slow peer's queue short.
        uint64_t inFlightSequence = 0;
        TimePoint inFlightSentAt;
        /// When the latest acknowledged message was sent.
        TimePoint ackedSentAt;
        TimePoint retransmitAt;
        TimePoint lastContactAt;
        uint64_t snapshotOffset = 0;
        uint64_t snapshotIndex = 0;
    };
    struct PendingRead {
        uint64_t id = 0;
        /// First message sent after the read arrived; only acknowledgements from it on confirm leadership.
        uint64_t sequence = 0;
    };

    void handle(const Message& message);
    void handle(Tick);
    void handle(Propose& proposal);
    void handle(const ReadIndex& read);
    void handle(const ReplaceMember& change);
    void handle(const RemoveMember& change);
    void handle(const TransferLeadership& transfer);
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
    /// @returns nullptr if this replica is not the leader, or the message is of another term or not from a member.
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
    /// Configurations by log index; a replica uses the latest one in its log, committed or not.
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
    bool m_isLeaving = false;
    /// Data of the snapshot being received, with its index and the term of the sending leader.
    std::string m_receivedChunks;
    uint64_t m_receivedSnapshotIndex = 0;
    uint64_t m_receivedSnapshotLeaderTerm = 0;

    std::optional<Persist> m_persist;
    Actions m_actions;
};

} // namespace vanillalift::raft
