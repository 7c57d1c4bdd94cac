#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

namespace vanillalift::jobs {

/// Work that arrives for a pool a second, averaged. While demand is beginning, the average is a short one, since a longer
/// one would follow it only when the first peak is half over, and a rise of many small jobs is extrapolated: an instance takes
/// 1.5 s to move.
class ArrivalRate {
public:
    /// @param cpuMs work in milliseconds of a whole core.
    /// @param memorySeconds work in megabytes times seconds.
    void add(double cpuMs, double memorySeconds, TimePoint now);
    void advance(TimePoint now);
    /// @returns cores (in thousandths) and memory that keep up with it.
    [[nodiscard]] Resources rate() const;
    [[nodiscard]] bool isRising() const { return m_isRising; }

private:
    struct Average {
        double cpu = 0;
        double memory = 0;
        double jobs = 0;
    };

    Average m_slow;
    Average m_fast;
    bool m_isRising = false;
    TimePoint m_onsetAt;
    TimePoint m_at;
};

} // namespace vanillalift::jobs
