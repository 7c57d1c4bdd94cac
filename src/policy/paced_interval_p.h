#pragma once

#include <vanillalift/clock.h>

#include <algorithm>

namespace vanillalift::jobs {

struct PacedIntervalDesc {
    /// Shortest and longest time from the start of one pass to the next. A pass seems long if the process is stopped during it.
    Duration minInterval {};
    Duration maxInterval {};
    /// Largest share of the thread's time, above 0 and up to 1; exceeded only by passes that are too long for the longest interval.
    double maxShare = 1;
};

/// Spaces periodic work so that it takes at most a share of the time of its thread, whatever one pass of it takes.
class PacedInterval {
public:
    explicit PacedInterval(const PacedIntervalDesc& desc)
        : m_desc(desc)
    {
    }

    [[nodiscard]] bool isDue(TimePoint now) const { return now >= m_nextAt; }
    /// Sets when the next pass is due.
    void recordPass(TimePoint startedAt, TimePoint endedAt)
    {
        auto spaced = std::chrono::duration_cast<Duration>((endedAt - startedAt) / m_desc.maxShare);
        m_nextAt = startedAt + std::clamp(spaced, m_desc.minInterval, m_desc.maxInterval);
    }

private:
    PacedIntervalDesc m_desc;
    TimePoint m_nextAt;
};

} // namespace vanillalift::jobs
