#pragma once

#include <vanillalift/clock.h>

namespace vanillalift::jobs {

/// Speed of one endpoint relative to the others of its pool, from the run times of its tasks. The estimate decays towards 1, so
/// that an endpoint that was slow gets work again and is measured anew.
class SpeedEstimate {
public:
    /// @param ratio expected run time of a task divided by its actual run time on this endpoint.
    void add(double ratio, TimePoint now);
    /// @returns 1 if as fast as the others, less if slower.
    [[nodiscard]] double at(TimePoint now) const;

private:
    double m_speed = 1;
    TimePoint m_updatedAt;
};

/// Exponential moving average of a stream of values.
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
