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

/// A drain whose progress has to be observed.
struct ObservedDrain {
    std::string instance;
    uint64_t revision = 0;
};

/// Tells the controller what the entries see. Called from the controller's thread.
class FleetObserver {
public:
    virtual ~FleetObserver() = default;
    /// @param drains the drains that are under way, for isDrainApplied, isInFlightKnown and inFlight.
    /// @remarks The platform's fields are filled in by the controller. An instance without an announcement counts as absent
    /// from announcementChangedMs on, so an observer that no entry has reported to leaves announcementChangedMs at 0.
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
    /// Actions that the state machine refused, or whose commit failed.
    uint64_t refusedActions = 0;
    uint64_t platformCalls = 0;
    uint64_t failedPlatformCalls = 0;
    /// Longest time of a decision in this process, without commits and calls, in microseconds.
    int64_t maxDecisionUs = 0;
};

/// The leader's loop over the fleet: observes, plans, commits actions, and only then calls the platform. A new leader
/// repeats the calls of committed phases that the platform has not accepted. No lock is held across a commit or a call.
class FleetController {
public:
    /// @param wallMs wall-clock milliseconds; committed times of different leaders are compared with it.
    FleetController(ReplicatedLog& log, const ControlMachine& machine, Platform& platform, FleetObserver& observer, std::function<int64_t()> wallMs, FleetControllerOptions options = {});
    ~FleetController();
    FleetController(const FleetController&) = delete;
    FleetController& operator=(const FleetController&) = delete;

    /// Starts the thread that runs a round each second.
    void start();
    void stop();
    /// One round. Public for tests and the benchmark.
    void runOnce();
    [[nodiscard]] FleetControllerStats stats() const;

private:
    bool ensureLeadership();
    /// @returns nothing if the platform did not answer; without its reports no step is proved.
    std::optional<FleetObservations> observe();
    std::vector<FleetAction> decide(const FleetObservations& observations);
    /// @returns false if this replica cannot commit any more.
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
