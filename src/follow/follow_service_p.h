#pragma once

#include "control/control_machine_p.h"
#include "entry_table_p.h"

#include <vanillalift/replicated_log.h>
#include <vanillalift/rpc.h>

#include <optional>
#include <thread>

namespace vanillalift {

/// Whether a revision is in force: no entry can act on an older one any more.
struct InForceReport {
    bool isInForce = false;
    uint64_t revision = 0;
    /// Entries with a lease that may not have applied the revision.
    std::vector<PendingEntry> pending;
    /// Entries without a lease that may still serve open services by an older revision.
    std::vector<PendingEntry> isolated;
};

struct FollowServiceStats {
    uint64_t polls = 0;
    uint64_t refusedPolls = 0;
    uint64_t partsCommands = 0;
    int64_t liveEntries = 0;
};

/// The leader's side of the follow protocol: responds to polls, maintains the table of entries, and plans the limit parts once
/// a second. Lock order: m_mutex, then the machine's mutex.
class FollowService {
public:
    FollowService(ReplicatedLog& log, const ControlMachine& machine, const Clock& clock);
    ~FollowService();
    FollowService(const FollowService&) = delete;
    FollowService& operator=(const FollowService&) = delete;

    /// Adds the method "follow".
    void addMethods(RpcServer& server);
    /// Starts the planner thread.
    void start();
    void stop();

    /// Handles a poll: waits for a change, confirms the leadership, and responds.
    RpcResult follow(const nlohmann::json& params);
    /// @returns nothing if this replica is not the leader.
    std::optional<InForceReport> inForce(uint64_t revision);
    [[nodiscard]] FollowServiceStats stats() const;

    /// Plans and proposes the limit parts once. Public for tests.
    void planOnce();

private:
    /// Creates a new table of entries if this replica became leader of a new term; removes it if the replica is not leader.
    /// Call with m_mutex held.
    /// @returns whether this replica is leader.
    bool refreshLeadership();
    /// Adds an entry that polls for the first time to the replicated register.
    /// @returns whether the entry is registered.
    bool registerEntry(const FollowRequest& request);
    [[nodiscard]] FollowResponse makeResponse(const FollowRequest& request) const;
    void run();

    ReplicatedLog& m_log;
    const ControlMachine& m_machine;
    const Clock& m_clock;

    mutable std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    uint64_t m_term = 0;
    std::optional<EntryTable> m_entries;
    FollowServiceStats m_stats;
    std::thread m_thread;
};

} // namespace vanillalift
