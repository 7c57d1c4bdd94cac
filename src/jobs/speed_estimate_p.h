#pragma once

#include <vanillalift/clock.h>

namespace vanillalift::jobs {

/// Speed of one endpoint compared with the others of its pool, from the run times of its tasks. Forgets: an endpoint that
/// was slow gets work again, and shows what it does now.
class SpeedEstimate {
public:
    /// @param ratio run time that the task would take elsewhere, by the run time it took here.
    void add(double ratio, TimePoint now);
    /// @returns 1 for as fast as others, less for slower.
    [[nodiscard]] double at(TimePoint now) const;

private:
    double m_speed = 1;
    TimePoint m_updatedAt;
};

/// Mean of a stream of values, the newest weighted most.
class MovingAverage {
public:
    void add(double value);
    /// @returns 1 before the first value.
    [[nodiscard]] double value() const { return m_value; }

private:
    double m_value = 1;
    bool m_hasValue = false;
};

} // namespace vanillalift::jobs
