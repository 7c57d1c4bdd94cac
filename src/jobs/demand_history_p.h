#pragma once

#include "job_store_p.h"
#include "policy/arrival_rate_p.h"
#include "policy/peak_forecast_p.h"

#include <vanillalift/clock.h>

#include <map>
#include <string>

namespace vanillalift::jobs {

/// Demand of the pools as far as it follows from the jobs that were accepted. Every controller keeps it, so that a new leader plans
/// pools by the demand of the time before its term. It is not durable.
class DemandHistory {
public:
    /// @param usesLearnedRunTimes see Features::learnedRunTimes.
    DemandHistory(const JobStore& store, const Clock& clock, bool usesLearnedRunTimes = false);

    /// Adds a job that was just accepted. One that was accepted longer ago is ignored: a controller that catches up applies many of them.
    void add(const Job& job);
    /// Learns peaks from the present arrivals. To be called on each tick.
    void update();

    /// @returns the rate of arriving work by service.
    [[nodiscard]] const std::map<std::string, ArrivalRate>& arrivals();
    /// @returns the load of a peak that is due in the pool, in units of one instance; 0 if none is.
    [[nodiscard]] double expectedPeak(const std::string& pool) const;

private:
    const JobStore& m_store;
    const Clock& m_clock;
    bool m_usesLearnedRunTimes;
    std::map<std::string, ArrivalRate> m_arrivals;
    PeakForecast m_forecast;
    /// Highest number of endpoints so far.
    size_t m_fleetSize = 0;
    TimePoint m_nextUpdateAt;
};

/// @returns the larger of the CPU and memory shares of `amount`, in units of one instance.
[[nodiscard]] double toInstances(const Resources& amount, const Resources& instance);

} // namespace vanillalift::jobs
