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

/// Writes to a replica's storage on a separate thread, so that a slow disk does not block the event loop. While it is
/// out of resources, such as disk space, it retries the same write: nothing is acknowledged meanwhile, and the other replicas
/// continue without this one. On a host that allows no thread it writes on the event loop's thread.
/// @remarks m_mutex guards the batch and the results, and is not held during I/O.
class StorageWriter {
public:
    /// @param onDone called on the event loop's thread after each batch, and before that once with OutOfResources if the batch
    /// has to wait.
    StorageWriter(net::EventLoop& loop, raft::RaftStorage storage, std::function<void(raft::StorageResult<void>)> onDone);
    ~StorageWriter();
    StorageWriter(const StorageWriter&) = delete;
    StorageWriter& operator=(const StorageWriter&) = delete;

    /// Makes the batch durable with one sync, then calls onDone. Only one batch may be in progress.
    void write(std::vector<raft::Persist> batch);

private:
    void run();
    void writeOnLoop();
    raft::StorageResult<void> writeBatch(const std::vector<raft::Persist>& batch);
    void reportResult(const raft::StorageResult<void>& result);

    raft::RaftStorage m_storage;
    std::function<void(raft::StorageResult<void>)> m_onDone;
    std::mutex m_mutex;
    std::condition_variable m_wakeWriter;
    std::optional<std::vector<raft::Persist>> m_batch;
    std::vector<raft::StorageResult<void>> m_results;
    bool m_isStopping = false;
    net::Waker m_waker;
    /// Without a thread: the next attempt, and whether the last one was out of resources.
    net::Timer m_loopTimer;
    bool m_isOutOfResources = false;
    std::thread m_thread;
};

/// Runs a Raft core on the event loop and carries out its actions.
class LogDriver {
public:
    /// Outcome of a proposal: the index of its committed entry, or why it is not known to be committed.
    using Outcome = tl::expected<uint64_t, ProposeErrorCode>;

    struct Handlers {
        std::function<void(raft::Message)> send;
        /// Delivers the messages that have arrived. Called before a contact timeout is acted on, as the event loop may be delayed.
        std::function<void()> readPendingMessages;
        /// Called for each committed command, before resolve() for its proposal.
        std::function<void(uint64_t index, std::string_view command)> apply;
        std::function<void(std::string_view snapshot)> restore;
        std::function<std::string()> snapshot;
        std::function<void(uint64_t proposal, Outcome outcome)> resolve;
        std::function<void(const ReplicaStatus& status)> roleChanged;
        /// Called when the storage is out of resources, after which nothing becomes durable here until resourcesAvailable().
        std::function<void(const raft::StorageError& error)> outOfResources;
        std::function<void()> resourcesAvailable;
        /// The replica takes no further part in the group after a storage error; the process has to exit.
        std::function<void(const raft::StorageError& error)> failed;
    };
    struct Desc {
        raft::CoreDesc core;
        /// Bytes of commands applied between two snapshots.
        size_t snapshotIntervalBytes = 0;
    };

    LogDriver(net::EventLoop& loop, const Clock& clock, Desc desc, raft::RaftStorage storage, Handlers handlers);

    /// @returns the proposal id under which resolve() reports the outcome, which never happens before this returns.
    uint64_t propose(std::string command);
    void receive(raft::Message message);
    /// Neither call reports an outcome; the caller checks the members and retries.
    void replaceMember(const std::string& name, const std::string& storageId);
    void removeMember(const std::string& name);
    /// Transfers leadership to another replica, if this is the leader. From now on this replica is no candidate.
    /// @param avoid replicas that are not to become the leader.
    void leave(std::vector<std::string> avoid);

    [[nodiscard]] const raft::RaftCore& core() const { return m_core; }
    [[nodiscard]] bool isLeader() const { return m_role == ReplicaRole::Leader; }
    /// Whether this replica leads and has applied all entries of earlier terms.
    [[nodiscard]] bool isReadyLeader() const;
    /// Whether any entries or snapshots are not durable yet.
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
    /// Committed entries that are not applied yet.
    std::deque<raft::Apply> m_unappliedEntries;
    std::vector<raft::Persist> m_pendingWrites;
    /// Messages to send once the writes before them are durable.
    std::vector<raft::Message> m_deferredMessages;
    std::vector<raft::Message> m_deferredMessagesOfWrite;
    bool m_isWriting = false;
    bool m_isOutOfResources = false;
    uint64_t m_writtenLastIndex = 0;
    uint64_t m_writtenLastTerm = 0;
    net::Timer m_timer;
    net::Timer m_inputTimer;
    net::Timer m_applyTimer;
    StorageWriter m_writer;
};

} // namespace vanillalift
