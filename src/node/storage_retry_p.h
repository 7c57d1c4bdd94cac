#pragma once

#include "replica/disk_p.h"

#include <vanillalift/clock.h>

#include <functional>
#include <optional>

namespace vanillalift {
class EventLog;
} // namespace vanillalift

namespace vanillalift::node {

/// Waits at the start of a process for what keeps its storage from being opened and may pass by itself.
class StorageRetry {
public:
    /// Longest time that an earlier process on the same folder is given to end.
    static constexpr std::chrono::seconds lockTimeout { 10 };

    /// @param pause returns after the given time.
    StorageRetry(const Clock& clock, EventLog& log, std::function<void(Duration)> pause);

    /// Waits until the next attempt and logs now and then what for.
    /// @returns whether there is to be another attempt.
    bool wait(const raft::StorageError& error);

private:
    [[nodiscard]] bool isWorthwhile(const raft::StorageError& error);

    const Clock& m_clock;
    EventLog& m_log;
    std::function<void(Duration)> m_pause;
    std::optional<TimePoint> m_lockDeadline;
    TimePoint m_nextLogAt;
};

} // namespace vanillalift::node
