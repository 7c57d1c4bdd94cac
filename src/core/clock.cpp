#include <vanillalift/clock.h>

#include <ctime>

namespace vanillalift {

BootClock::time_point BootClock::now() noexcept
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace vanillalift
