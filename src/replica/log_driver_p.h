#pragma once

#include "net/event_loop_p.h"
#include "raft_core_p.h"
#include "raft_storage_p.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>

namespace vanillalift {

/// Writes to a replica's files on a thread of its own, so that a slow disk does not stop the event loop. While the disk is
/// full it tries the same write again and again: nothing is acknowledged meanwhile, and the group goes on without it.
/// @remarks m_mutex guards the queue and the result, and is held across no I/O.
class StorageWriter {
public:
    /// @param onDone called on the loop's thread after each group of writes, and before that with DiskFull once it is known
    /// that the group has to wait for room.
    StorageWriter(net::EventLoop& loop, raft::RaftStorage storage, std::function<void(raft::StorageResult<void>)> onDone);
    ~StorageWriter();
    StorageWriter(const StorageWriter&) = delete;
    StorageWriter& operator=(const StorageWriter&) = delete;

    /// Makes the content durable with one sync and then calls onDone. One call at a time.
    void write(std::vector<raft::Persist> group);

private:
    void run();
    raft::StorageResult<void> writeBatch(const std::vector<raft::Persist>& group);
    void reportResult(const raft::StorageResult<void>& result);

    raft::RaftStorage m_storage;
    std::function<void(raft::StorageResult<void>)> m_onDone;
    std::mutex m_mutex;
    std::condition_variable m_wakeWriter;
    std::optional<std::vector<raft::Persist>> m_batch;
    std::vector<raft::StorageResult<void>> m_results;
    bool m_isStopping = false;
    net::Waker m_waker;
    std::thread m_thread;
};

/// Runs a Raft core on the event loop.
class LogDriver {
public:
    /// Outcome of a proposal: the index of its entry, or why it has none for certain.
    using Outcome = tl::expected<uint64_t, ProposeErrorCode>;

    struct Handlers {
        std::function<void(raft::Message)> send;
        /// Passes on the messages that have arrived. Called before the others count as silent, as the loop may be late.
        std::function<void()> readPendingMessages;
        /// Called for each committed command, before the outcome of its proposal.
        std::function<void(uint64_t index, std::string_view command)> apply;
        std::function<void(std::string_view snapshot)> restore;
        std::function<std::string()> snapshot;
        std::function<void(uint64_t proposal, Outcome outcome)> resolve;
        std::function<void(const ReplicaStatus& status)> roleChanged;
        /// Nothing more becomes durable here until there is room on the disk.
        std::function<void(bool isFull)> diskFull;
        /// The replica takes no further part; the process has to end.
        std::function<void(const raft::StorageError& error)> failed;
    };
    struct Desc {
        raft::CoreDesc core;
        /// Bytes of commands applied between two snapshots.
        size_t snapshotIntervalBytes = 0;
    };

    LogDriver(net::EventLoop& loop, const Clock& clock, Desc desc, raft::RaftStorage storage, Handlers handlers);

    /// @returns the number under which the outcome is reported. Reports nothing before it returns.
    uint64_t propose(std::string command);
    void receive(raft::Message message);
    /// Both report no outcome; the caller looks at the members and asks again.
    void replaceMember(const std::string& name, const std::string& storageId);
    void removeMember(const std::string& name);
    /// Hands leadership to another replica, if this is the leader.
    void transferLeadership();

    [[nodiscard]] const raft::RaftCore& core() const { return m_core; }
    [[nodiscard]] bool isLeader() const { return m_role == ReplicaRole::Leader; }
    /// Whether this replica leads and has applied all entries of earlier terms.
    [[nodiscard]] bool isReadyLeader() const;
    /// Entries and snapshots that are not durable yet.
    [[nodiscard]] bool hasPendingWrites() const { return m_isWriting || !m_pendingWrites.empty(); }

private:
    using Deferred = std::variant<raft::Message, raft::Persist>;

    void tick();
    void step(raft::Input input);
    void perform(raft::Action& action);
    void apply(const raft::Apply& committed);
    void applyCommitted();
    void startWrite();
    void finishWrite(const raft::StorageResult<void>& result);
    void publishRole();
    void compactIfDue();
    void stepPendingInputs();

    const Clock& m_clock;
    Desc m_desc;
    Handlers m_handlers;
    raft::RaftCore m_core;
    ReplicaRole m_role = ReplicaRole::Follower;
    uint64_t m_term = 0;
    std::string m_leader;
    uint64_t m_termStartIndex = 0;
    uint64_t m_appliedIndex = 0;
    size_t m_appliedBytesSinceSnapshot = 0;
    uint64_t m_lastProposalId = 0;
    bool m_isStepping = false;
    std::deque<raft::Input> m_inputs;
    /// Committed entries that wait for their turn.
    std::deque<raft::Apply> m_unappliedEntries;
    std::vector<raft::Persist> m_pendingWrites;
    /// Messages that wait for the writes before them.
    std::vector<raft::Message> m_deferredMessages;
    std::vector<raft::Message> m_deferredMessagesOfWrite;
    bool m_isWriting = false;
    bool m_isDiskFull = false;
    uint64_t m_writtenLastIndex = 0;
    uint64_t m_writtenLastTerm = 0;
    net::Timer m_timer;
    net::Timer m_inputTimer;
    net::Timer m_applyTimer;
    StorageWriter m_writer;
};

} // namespace vanillalift
