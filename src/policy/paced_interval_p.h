#pragma once

#include <vanillalift/clock.h>

#include <algorithm>

namespace vanillalift::jobs {

/// Spaces periodic work so that it takes at most a share of the time of its thread, however long one pass of it takes.
class PacedInterval {
public:
    /// @param minInterval shortest time from the start of one pass to the next.
    /// @param maxShare share of the time, above 0 and up to 1.
    PacedInterval(Duration minInterval, double maxShare)
        : m_minInterval(minInterval)
        , m_maxShare(maxShare)
    {
    }

    [[nodiscard]] bool isDue(TimePoint now) const { return now >= m_nextAt; }
    /// Sets when the next pass is due.
    void recordPass(TimePoint startedAt, TimePoint endedAt)
    {
        m_nextAt = startedAt + std::max(m_minInterval, std::chrono::duration_cast<Duration>((endedAt - startedAt) / m_maxShare));
    }

private:
    Duration m_minInterval;
    double m_maxShare;
    TimePoint m_nextAt;
};

} // namespace vanillalift::jobs
