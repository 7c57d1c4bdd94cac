#pragma once

#include "control/control_machine_p.h"
#include "entry_table_p.h"

#include <vanillalift/replicated_log.h>
#include <vanillalift/rpc.h>

#include <optional>
#include <thread>

namespace vanillalift {

/// Whether a revision is in force everywhere.
struct InForceReport {
    bool isInForce = false;
    uint64_t revision = 0;
    /// Entries with a lease that have not applied the revision.
    std::vector<PendingEntry> pending;
    /// Entries without a lease that may go on serving open services without it.
    std::vector<PendingEntry> isolated;
};

struct FollowServiceStats {
    uint64_t polls = 0;
    uint64_t refusedPolls = 0;
    uint64_t partsCommands = 0;
    int64_t liveEntries = 0;
};

/// The leader's side of the follow protocol: answers polls, keeps the table of entries, and sizes the parts of limits once
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

    RpcResult follow(const nlohmann::json& params);
    /// @returns nothing if this replica is not the leader.
    std::optional<InForceReport> inForce(uint64_t revision);
    [[nodiscard]] FollowServiceStats stats() const;

    /// One round of the planner. Public for tests.
    void planOnce();

private:
    /// Starts a table of entries when this replica has become leader of a new term. Call with m_mutex held.
    bool refreshLeadership();
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
