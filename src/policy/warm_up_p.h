#pragma once

#include <vanillalift/clock.h>

namespace vanillalift::jobs {

/// @param coldLeft time for which the endpoint remains slow after its start.
/// @param coldTime longest such time that this incarnation has reported.
/// @returns the speed to expect of an endpoint relative to a warm one: it rises evenly to 1.
double warmUpSpeed(Duration coldLeft, Duration coldTime);

} // namespace vanillalift::jobs
