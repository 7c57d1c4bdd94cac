#include "speed_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Weight of one run: about four runs are needed to tell a slow endpoint from a long task.
    constexpr double runWeight = 0.3;
    /// Time constant of the decay: the deviation from 1 shrinks by about two thirds in this time.
    constexpr std::chrono::seconds decayTime { 8 };
    /// Limits for the ratio of one run: a task that hung or had little to do says nothing about the endpoint.
    constexpr double minSpeed = 0.05;
    constexpr double maxSpeed = 2;
    /// Weight of one value: the average follows a change within about twenty values and hardly reacts to a single one.
    constexpr double averageWeight = 0.05;

} // namespace

double SpeedEstimate::at(TimePoint now) const
{
    auto elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    return 1 + (m_speed - 1) * std::exp(-elapsed / std::chrono::duration<double>(decayTime).count());
}

void SpeedEstimate::add(double ratio, TimePoint now)
{
    auto current = at(now);
    m_speed = current + runWeight * (std::clamp(ratio, minSpeed, maxSpeed) - current);
    m_updatedAt = now;
}

void MovingAverage::add(double value)
{
    m_value = m_hasValue ? m_value + averageWeight * (value - m_value) : value;
    m_hasValue = true;
}

} // namespace vanillalift::jobs
