#include "warm_up_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Speed assumed of an endpoint that has just started: endpoints report how long they are slow, not how slow they are.
    constexpr double coldSpeed = 0.5;

} // namespace

double warmUpSpeed(Duration coldLeft, Duration coldTime)
{
    if (coldLeft <= Duration::zero() || coldTime <= Duration::zero())
        return 1;
    auto left = std::chrono::duration<double>(coldLeft) / std::chrono::duration<double>(coldTime);
    return 1 - (1 - coldSpeed) * std::min(left, 1.0);
}

} // namespace vanillalift::jobs
