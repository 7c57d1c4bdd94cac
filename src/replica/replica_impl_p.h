#pragma once

#include "disk_p.h"
#include "peer_sender_p.h"
#include "raft_core_p.h"
#include "raft_storage_p.h"

#include <vanillalift/replica.h>
#include <vanillalift/rpc.h>

#include <atomic>

namespace vanillalift {

/// @remarks m_mutex guards the input queue, the promises and the published status, and is not held during I/O. All other
/// members belong to the replica's thread.
class Replica::Impl {
public:
    Impl(ReplicaDesc desc, StateMachine& machine, const Clock& clock, std::unique_ptr<raft::Disk> disk, raft::RaftStorage storage);
    ~Impl();

    void start();
    void stop();
    RpcResult receive(const nlohmann::json& params);
    [[nodiscard]] ReplicaStatus status() const;

    /// Queues the input that @p makeInput builds from a new id.
    template <typename Result, typename Make>
    std::future<Result> submit(std::map<uint64_t, std::promise<Result>>& promises, Make makeInput)
    {
        std::promise<Result> promise;
        auto future = promise.get_future();
        std::lock_guard lock(m_mutex);
        if (!m_isRunning) {
            promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::NotLeader, "" }));
            return future;
        }
        auto id = ++m_lastId;
        promises.emplace(id, std::move(promise));
        m_inputQueue.emplace_back(makeInput(id));
        m_wake.notify_one();
        return future;
    }

    std::map<uint64_t, std::promise<ProposeResult>>& proposalPromises() { return m_proposalPromises; }
    std::map<uint64_t, std::promise<ReadResult>>& readPromises() { return m_readPromises; }

private:
    using InputQueue = std::deque<raft::Input>;
    struct CompletedProposal {
        uint64_t id = 0;
        ProposeResult result;
    };

    void run();
    InputQueue waitForInputs();
    bool process(InputQueue inputs);
    bool executeActions(raft::Actions actions);
    bool compact();
    void sendBeforePersist(raft::Actions& actions);
    /// @returns whether anything was written, or nothing after a failed write.
    std::optional<bool> persist(raft::Actions& actions);
    void perform(raft::Actions& actions);
    void perform(raft::Send& send);
    void perform(const raft::Apply& apply);
    void perform(const raft::Restore& restore);
    void perform(const raft::Respond& respond);
    void perform(const raft::Persist&) { }
    void resolveOutcomes();
    void resolve(CompletedProposal& completed);
    void resolve(const raft::Respond& respond);
    void publishStatus();
    void reportStorageError(const raft::StorageError& error);

    ReplicaDesc m_desc;
    StateMachine& m_machine;
    const Clock& m_clock;
    std::unique_ptr<raft::Disk> m_disk;
    raft::RaftStorage m_storage;
    raft::RaftCore m_core;
    std::map<std::string, std::unique_ptr<raft::PeerSender>> m_senders;
    uint64_t m_appliedIndex = 0;
    /// Resolved after the status is published, so that a caller that has an outcome finds its entry applied.
    std::vector<std::variant<CompletedProposal, raft::Respond>> m_pendingOutcomes;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_statusChanged;
    InputQueue m_inputQueue;
    std::map<uint64_t, std::promise<ProposeResult>> m_proposalPromises;
    std::map<uint64_t, std::promise<ReadResult>> m_readPromises;
    uint64_t m_lastId = 0;
    ReplicaStatus m_status;
    bool m_isRunning = false;
    std::thread m_thread;
};

} // namespace vanillalift
