#pragma once

#include "jobs/job_store_p.h"
#include "net/event_loop_p.h"
#include "replica/log_driver_p.h"

#include <functional>
#include <map>

namespace vanillalift::node {

/// Gathers commands into entries of the replicated log: those of a short time, or while an entry is on its way, those that
/// arrive until its outcome.
class CommandBatcher {
public:
    /// Told whether the command is committed and applied; false if that is not known and may never be.
    using Handler = std::function<void(bool isCommitted)>;

    /// Commands wait no longer than this for the outcome of an earlier entry.
    static constexpr std::chrono::milliseconds maxBatchDelay { 100 };

    /// @param append hands an entry to the log and returns the number under which resolve() is called.
    CommandBatcher(net::EventLoop& loop, const Clock& clock, std::function<uint64_t(std::string)> append);

    void propose(const jobs::Command& command, Handler handler = nullptr);
    void resolve(uint64_t number, bool isCommitted);
    [[nodiscard]] uint64_t entryCount() const { return m_entryCount; }
    [[nodiscard]] uint64_t commandCount() const { return m_commandCount; }
    /// @returns the longest time from an entry's hand-over to its outcome since the last call, of those that wait too.
    Duration takeMaxCommitTime();

private:
    void flush();

    const Clock& m_clock;
    std::function<uint64_t(std::string)> m_append;
    std::string m_batch;
    std::vector<Handler> m_batchHandlers;
    struct PendingEntry {
        TimePoint appendedAt;
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
