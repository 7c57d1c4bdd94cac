#include "speed_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Weight of one run: about four runs tell a slow endpoint from a long task.
    constexpr double runWeight = 0.3;
    /// Time in which two thirds of what was learned is forgotten.
    constexpr std::chrono::seconds memory { 8 };
    /// Bounds of what one run may say: a task that hung, or had little to do, tells nothing of the endpoint.
    constexpr double leastSpeed = 0.05;
    constexpr double mostSpeed = 2;
    /// Weight of one value of a mean: it follows a change within some twenty values and no single one.
    constexpr double meanWeight = 0.05;

} // namespace

double SpeedEstimate::at(TimePoint now) const
{
    auto passed = std::chrono::duration<double>(now - m_updatedAt).count();
    return 1 + (m_speed - 1) * std::exp(-passed / std::chrono::duration<double>(memory).count());
}

void SpeedEstimate::add(double ratio, TimePoint now)
{
    auto known = at(now);
    m_speed = known + runWeight * (std::clamp(ratio, leastSpeed, mostSpeed) - known);
    m_updatedAt = now;
}

void MovingAverage::add(double value)
{
    m_value = m_hasValue ? m_value + meanWeight * (value - m_value) : value;
    m_hasValue = true;
}

} // namespace vanillalift::jobs
