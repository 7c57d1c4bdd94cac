#pragma once

#include "jobs/job_store_p.h"
#include "net/event_loop_p.h"
#include "replica/log_driver_p.h"

#include <functional>
#include <map>

namespace vanillalift::node {

/// Batches commands into entries of the replicated log. A batch is proposed after a short window or, while earlier entries
/// are pending, once their outcome is known.
class CommandBatcher {
public:
    /// Receives true once the command is committed and applied, and false if its outcome is unknown and may stay so.
    using Handler = std::function<void(bool isCommitted)>;

    /// Longest time that a command waits for the outcome of an earlier entry.
    static constexpr std::chrono::milliseconds maxBatchDelay { 100 };

    /// @param append proposes an entry to the log and returns the proposal number with which resolve() will be called.
    CommandBatcher(net::EventLoop& loop, const Clock& clock, std::function<uint64_t(std::string)> append);

    void propose(const jobs::Command& command, Handler handler = nullptr);
    void resolve(uint64_t proposal, bool isCommitted);
    [[nodiscard]] uint64_t entryCount() const { return m_entryCount; }
    [[nodiscard]] uint64_t commandCount() const { return m_commandCount; }
    /// @returns the longest time from the proposal of an entry to its outcome since the last call; an entry that is still
    /// pending counts with its age.
    Duration takeMaxCommitTime();

private:
    void flush();

    const Clock& m_clock;
    std::function<uint64_t(std::string)> m_append;
    std::string m_batch;
    std::vector<Handler> m_batchHandlers;
    struct PendingEntry {
        TimePoint proposedAt;
        std::vector<Handler> handlers;
    };
    std::map<uint64_t, PendingEntry> m_pendingEntries;
    Duration m_maxCommitTime {};
    bool m_isFlushScheduled = false;
    uint64_t m_entryCount = 0;
    uint64_t m_commandCount = 0;
    net::Timer m_timer;
};

} // namespace vanillalift::node
