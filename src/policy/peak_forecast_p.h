#pragma once

#include <vanillalift/clock.h>

#include <map>
#include <optional>
#include <string>

namespace vanillalift::jobs {

/// Forecasts demand that peaks in one pool after another: learns the order of the pools and the interval between peaks. Moving
/// an instance takes a third of the length of a peak, so a move that starts with the peak comes late. A wrong forecast has a
/// cost too: the instances are then lacking in the pool whose demand does peak.
class PeakForecast {
public:
    /// @param arriving work that arrives for the pool now, in units of one instance.
    /// @param fleetSize number of instances in all pools.
    void observe(const std::string& pool, double arriving, size_t fleetSize, TimePoint now);

    /// @returns the forecast load of the pool in units of one instance; 0 if none of its peaks is due.
    [[nodiscard]] double expected(const std::string& pool, TimePoint now) const;

private:
    struct PoolDemand {
        bool hasDemand = false;
        bool isInPeak = false;
        /// The load is high enough for a peak, as opposed to a short rise between peaks.
        bool isConfirmed = false;
        TimePoint onsetAt;
        /// Onset of the latest confirmed peak, and highest load of the latest complete peak and of the current one.
        TimePoint lastPeakAt;
        double lastPeakLoad = 0;
        double currentPeakLoad = 0;
    };
    struct ExpectedPeak {
        std::string pool;
        TimePoint dueAt;
    };

    void confirmPeak(const std::string& pool, PoolDemand& demand);
    /// @returns the peak that follows the latest one; nothing if it cannot be predicted.
    [[nodiscard]] std::optional<ExpectedPeak> nextPeak() const;
    void discardMissedPeak(TimePoint now);

    std::map<std::string, PoolDemand> m_demand;
    std::map<std::string, std::string> m_successors;
    /// Time between the onsets of the two latest peaks.
    Duration m_interval {};
    bool m_areIntervalsRegular = false;
    double m_largestPeakLoad = 0;
    std::string m_lastPool;
    TimePoint m_lastOnsetAt;
    bool m_wasPeakMissed = false;
};

} // namespace vanillalift::jobs
