#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <span>
#include <string>
#include <vector>

namespace vanillalift::jobs {

/// An instance of a maintenance wave.
struct WaveInstance {
    std::string name;
    /// Its maintenance has begun, or is ordered and may have begun.
    bool isMaintenanceStarted = false;
    /// It is down, or may be.
    bool isDown = false;
    /// It is being emptied.
    bool isDraining = false;
    /// The platform does not take it down now, for example because it is moving.
    bool isBlocked = false;
    /// Live runs there, and how long the longest of those that are not lasting is expected to take, in milliseconds.
    size_t runs = 0;
    size_t lastingRuns = 0;
    double busyMs = 0;
    /// Share of its capacity that is in use.
    double load = 0;
    /// Since when it has been draining.
    TimePoint drainingSince;
};

struct WaveConstraints {
    TimePoint dueAt;
    Duration maintenanceTime {};
    uint32_t maxAtOnce = 1;
};

/// What to do next for a wave, as indices into its instances.
struct WaveActions {
    std::vector<size_t> drain;
    std::vector<size_t> maintain;
    /// Instances whose tasks are stopped rather than waited for: the wave would end late.
    std::vector<size_t> forceDrain;
};

/// Plans a wave so that it ends in time with the least work lost: instances that are idle or nearly so go first, instances
/// are emptied while others are down, no more are away at once than the time asks for, and running tasks are stopped only if the wave would end late otherwise.
WaveActions planWave(std::span<const WaveInstance> instances, const WaveConstraints& times, TimePoint now);

} // namespace vanillalift::jobs
