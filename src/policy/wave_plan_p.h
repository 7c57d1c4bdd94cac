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
    /// Its maintenance has started, or was requested and may have started.
    bool isMaintenanceStarted = false;
    /// It is down or may be, since its maintenance was requested.
    bool isDown = false;
    /// It takes no new tasks, so that it becomes idle.
    bool isDraining = false;
    /// The platform refuses its maintenance for now, for example because it is moving.
    bool isBlocked = false;
    /// It is in a spare pool, so its maintenance takes no capacity from a pool with work.
    bool isSpare = false;
    /// Its availability zone is evacuated, so that it takes no tasks.
    bool isEvacuated = false;
    /// Its long-running tasks can neither run elsewhere nor be unavailable together: it stays in use for now.
    bool isHeld = false;
    /// All that runs on it are long-running tasks without room elsewhere that may be unavailable together during the maintenance.
    bool isPausable = false;
    /// These tasks have been told to stop.
    bool isPausing = false;
    /// Live runs on it, those of long-running tasks among them, and the expected time of the longest other run in milliseconds.
    size_t runs = 0;
    size_t runsOfLongRunningTasks = 0;
    /// Runs of long-running tasks that have to leave before the others may be stopped.
    size_t runsToMove = 0;
    double busyMs = 0;
    /// Share of its CPU capacity in use.
    double load = 0;
    /// When draining started; the epoch if it has not.
    TimePoint drainingSince;
};

struct WaveConstraints {
    /// Deadline of the whole wave.
    TimePoint dueAt;
    /// How long the maintenance of one instance takes.
    Duration maintenanceTime {};
    /// Instances that may be down at the same time.
    uint32_t maxConcurrent = 1;
};

/// What to do next for a wave, as indices into its instances.
struct WaveActions {
    std::vector<size_t> drain;
    std::vector<size_t> maintain;
    /// Instances whose long-running tasks are stopped for the time of the maintenance, which follows at once.
    std::vector<size_t> pause;
    /// Draining instances whose other tasks are stopped instead of waited for.
    std::vector<size_t> forceDrain;
};

/// Plans a wave so that it meets its deadline with the least work lost. Evacuated, spare, idle and lightly loaded instances go first, others
/// are drained while these are down, and no more are down at once than the deadline requires. Running tasks are stopped only
/// if the wave would be late or the drain has taken too long, and only where no long-running task has yet to move. Tasks without room elsewhere
/// are paused when nothing else keeps the instance from going down.
WaveActions planWave(std::span<const WaveInstance> instances, const WaveConstraints& constraints, TimePoint now);

} // namespace vanillalift::jobs
