#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

namespace vanillalift::jobs {

/// Average rate of the work that arrives for a pool. After the onset of demand a fast average is used, since the slow one lags
/// until the first peak is half over. A rise made up of many small jobs is extrapolated, since an instance takes 1.5 s to move.
class ArrivalRate {
public:
    /// @param cpuMs CPU work of a job in core-milliseconds.
    /// @param memorySeconds memory use of a job in megabyte-seconds.
    void add(double cpuMs, double memorySeconds, TimePoint now);
    void advance(TimePoint now);
    /// @returns the resources that keep up with the arriving work: thousandths of a core, and megabytes.
    [[nodiscard]] Resources rate() const;
    [[nodiscard]] bool isRising() const { return m_isRising; }

private:
    /// Exponentially decaying sums.
    struct Average {
        double cpu = 0;
        double memory = 0;
        double jobs = 0;
    };

    Average m_slowAverage;
    Average m_fastAverage;
    bool m_isRising = false;
    TimePoint m_onsetAt;
    TimePoint m_updatedAt;
};

} // namespace vanillalift::jobs
