#pragma once

#include "control/control_machine_p.h"
#include "drain_tracker_p.h"
#include "pool_planner_p.h"
#include "wave_planner_p.h"

#include <vanillalift/replicated_log.h>

#include <functional>
#include <set>
#include <thread>

namespace vanillalift {

/// A drain in progress that the observer reports on.
struct ObservedDrain {
    std::string instance;
    uint64_t revision = 0;
};

/// Provides the entries' observations to the controller. Called from the controller's thread.
class FleetObserver {
public:
    virtual ~FleetObserver() = default;
    /// @param drains the drains in progress, to which isDrainApplied, isInFlightKnown and inFlight refer.
    /// @remarks The controller fills in the platform's fields. An instance without an announcement counts as absent since
    /// announcementChangedMs, so an observer that has no report from any entry leaves announcementChangedMs at 0.
    virtual FleetObservations observe(const std::vector<ObservedDrain>& drains) = 0;
};

struct FleetControllerOptions {
    DrainTrackerOptions drains;
    WavePlannerOptions waves;
    PoolPlannerOptions pools;
};

struct FleetControllerStats {
    uint64_t rounds = 0;
    uint64_t committedActions = 0;
    /// Actions that the state machine rejected, or whose commit failed or timed out.
    uint64_t refusedActions = 0;
    uint64_t platformCalls = 0;
    uint64_t failedPlatformCalls = 0;
    /// Longest planning time of a round since the controller was created, without commits and platform calls, in microseconds.
    int64_t maxDecisionUs = 0;
};

/// The control leader's fleet loop: observes, plans, commits actions, and only then calls the platform. A new leader repeats the
/// calls for committed actions that the platform has not accepted yet. No lock is held during a commit or a platform call.
class FleetController {
public:
    /// @param wallMs returns the wall-clock time in milliseconds; it is compared with the committed times of other leaders.
    FleetController(ReplicatedLog& log, const ControlMachine& machine, Platform& platform, FleetObserver& observer, std::function<int64_t()> wallMs, FleetControllerOptions options = {});
    ~FleetController();
    FleetController(const FleetController&) = delete;
    FleetController& operator=(const FleetController&) = delete;

    /// Starts the thread that runs one round per second.
    void start();
    void stop();
    /// Runs one round. Public for tests and the benchmark.
    void runOnce();
    [[nodiscard]] FleetControllerStats stats() const;

private:
    bool ensureLeadership();
    /// @returns nothing if the list request to the platform failed; without its reports no step can be confirmed.
    std::optional<FleetObservations> observe();
    std::vector<FleetAction> decide(const FleetObservations& observations);
    /// @returns false if the commit failed or timed out, so that the round's remaining actions are not proposed.
    bool commit(const FleetAction& action);
    void callPlatform(const FleetObservations& observations);
    void run();
    void count(uint64_t FleetControllerStats::*field);

    ReplicatedLog& m_log;
    const ControlMachine& m_machine;
    Platform& m_platform;
    FleetObserver& m_observer;
    std::function<int64_t()> m_wallMs;
    FleetControllerOptions m_options;
    /// Written by the controller's thread only.
    uint64_t m_term = 0;
    DrainTracker m_drains;
    WavePlanner m_waves;
    PoolPlanner m_pools;

    mutable std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    FleetControllerStats m_stats;
    std::thread m_thread;
};

} // namespace vanillalift
