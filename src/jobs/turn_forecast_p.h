#pragma once

#include <vanillalift/clock.h>

#include <map>
#include <string>

namespace vanillalift::jobs {

/// Learns which pool's demand peaks after which, and how long after, where demand goes round in turns. An instance takes as
/// long to move as a third of a peak lasts, so one that is moved when the peak shows comes late.
class TurnForecast {
public:
    /// @param arriving work that arrives for the pool now, in instances.
    void observe(const std::string& pool, double arriving, TimePoint now);

    /// @returns the work expected for the pool shortly, in instances; 0 if no turn of it is due.
    [[nodiscard]] double expected(const std::string& pool, TimePoint now) const;

private:
    struct PoolDemand {
        bool isInTurn = false;
        /// Largest arriving work of the newest turn, and of the one under way.
        double peak = 0;
        double rising = 0;
    };
    /// Forgets the successor of the newest turn if that one did not come.
    void dropMissed(TimePoint now);

    struct Successor {
        std::string pool;
        Duration gap {};
    };

    std::map<std::string, PoolDemand> m_demand;
    std::map<std::string, Successor> m_successors;
    std::string m_lastPool;
    TimePoint m_lastOnset;
};

} // namespace vanillalift::jobs
