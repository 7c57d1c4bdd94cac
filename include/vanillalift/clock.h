#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace vanillalift {

/// CLOCK_BOOTTIME: monotonic and includes the time during which the machine is suspended, so that leases expire during a
/// suspension.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name given by the standard

    static time_point now() noexcept;
};

using Duration = BootClock::duration;
/// A time on this machine's boot clock; not comparable between machines.
using TimePoint = BootClock::time_point;

/// Time source for modules that work with deadlines; tests substitute a manual clock.
class Clock {
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

class SystemClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override { return BootClock::now(); }
};

/// Waits on a condition variable until @p isDone returns true or @p clock reaches @p deadline. The wait is relative, since
/// a test's clock may be far behind or ahead of the machine's uptime.
/// @returns the last result of @p isDone.
template <typename Condition, typename Lock, typename Predicate>
bool waitUntil(const Clock& clock, Condition& condition, Lock& lock, TimePoint deadline, Predicate isDone)
{
    // A longer timeout would overflow the time point that the condition variable computes.
    constexpr Duration maxTimeout = std::chrono::hours(24 * 365);
    return condition.wait_for(lock, std::clamp(deadline - clock.now(), Duration::zero(), maxTimeout), isDone);
}

/// @returns wall-clock time in milliseconds since the Unix epoch, for logs and records that operators read.
int64_t wallClockMs();

/// @returns milliseconds from @p now to @p deadline, rounded down, or 0 if the deadline has passed.
inline int64_t millisecondsUntil(TimePoint deadline, TimePoint now)
{
    return deadline <= now ? 0 : std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

} // namespace vanillalift
