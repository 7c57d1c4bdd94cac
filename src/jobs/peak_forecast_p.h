#pragma once

#include <vanillalift/clock.h>

#include <map>
#include <optional>
#include <string>

namespace vanillalift::jobs {

/// Learns which pool's demand peaks after which, and how long after, where demand goes round in turns. An instance takes as
/// long to move as a third of a peak lasts, so one that is moved when the peak shows comes late; but instances that are
/// moved for a peak that does not come are missed where it does.
class PeakForecast {
public:
    /// @param arriving work that arrives for the pool now, in instances.
    /// @param fleet instances of all pools.
    void observe(const std::string& pool, double arriving, size_t fleet, TimePoint now);

    /// @returns the work expected for the pool shortly, in instances; 0 if no turn of it is due.
    [[nodiscard]] double expected(const std::string& pool, TimePoint now) const;

private:
    struct PoolDemand {
        bool hasDemand = false;
        bool isInTurn = false;
        /// The demand is large enough to be a turn and not a short rise between turns.
        bool isCounted = false;
        TimePoint onsetAt;
        /// Onset of the newest counted turn, and largest arriving work of the newest whole one and of the one under way.
        TimePoint lastTurnAt;
        double peak = 0;
        double rising = 0;
    };
    struct Turn {
        std::string pool;
        TimePoint dueAt;
    };

    void count(const std::string& pool, PoolDemand& demand);
    /// @returns the turn after the newest one, as far as it is known.
    [[nodiscard]] std::optional<Turn> nextTurn() const;
    void dropMissed(TimePoint now);

    std::map<std::string, PoolDemand> m_demand;
    std::map<std::string, std::string> m_successors;
    /// Time between the onsets of the two newest turns.
    Duration m_gap {};
    bool m_areGapsRegular = false;
    double m_largestPeak = 0;
    std::string m_lastPool;
    TimePoint m_lastOnset;
    bool m_wasMissed = false;
};

} // namespace vanillalift::jobs
