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
    static constexpr std::chrono::milliseconds longestGather { 100 };

    /// @param append hands an entry to the log and returns the number under which resolve() is called.
    CommandBatcher(net::EventLoop& loop, const Clock& clock, std::function<uint64_t(std::string)> append);

    void propose(const jobs::Command& command, Handler handler = nullptr);
    void resolve(uint64_t number, bool isCommitted);
    [[nodiscard]] uint64_t entries() const { return m_entries; }
    [[nodiscard]] uint64_t commands() const { return m_commands; }
    /// @returns the longest time from an entry's hand-over to its outcome since the last call, of those that wait too.
    Duration takeWorstCommit();

private:
    void flush();

    const Clock& m_clock;
    std::function<uint64_t(std::string)> m_append;
    std::string m_entry;
    std::vector<Handler> m_handlers;
    struct Waiting {
        TimePoint appendedAt;
        std::vector<Handler> handlers;
    };
    std::map<uint64_t, Waiting> m_waiting;
    Duration m_worstCommit {};
    bool m_isArmed = false;
    uint64_t m_entries = 0;
    uint64_t m_commands = 0;
    net::Timer m_timer;
};

} // namespace vanillalift::node
