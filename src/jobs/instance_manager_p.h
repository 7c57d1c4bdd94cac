#pragma once

#include "dispatcher_p.h"
#include "policy/paced_interval_p.h"
#include "policy/pool_plan_p.h"
#include "policy/wave_plan_p.h"

#include <vanillalift/endpoint_link.h>
#include <vanillalift/features.h>

#include <map>
#include <set>

namespace vanillalift::jobs {

struct InstanceManagerDesc {
    /// False if no platform API is configured; the manager then does nothing.
    bool isEnabled = false;
    /// How long the platform takes for the maintenance of one instance.
    Duration maintenanceTime = std::chrono::seconds(2);
    /// How long the platform takes to move an instance to another pool.
    Duration moveTime = std::chrono::seconds(2);
    /// Rate limit of the platform API, shared by all controllers.
    double callsPerSecond = 1;
    Features features;
};

/// Runs on the leader: carries out maintenance waves and moves instances between pools. One object serves one leader term.
class InstanceManager {
public:
    /// @param authorityEndsAt returns the time until which no other controller can be the leader. The platform checks fencing tokens
    /// for each instance separately, so it accepts a late request of a previous leader for an instance that no newer one has used.
    InstanceManager(InstanceManagerDesc desc, uint64_t term, JobStore& store, Dispatcher& dispatcher, InstanceService& service, std::function<void(Command)> propose, std::function<TimePoint()> authorityEndsAt, const Clock& clock, EventLog& log);
    ~InstanceManager();

    void tick();

    /// Instances of all pools but the spare one, and moves in this term.
    struct PoolStats {
        double wanted = 0;
        /// Usable instances, and how many more those pools want that have less than they want.
        size_t held = 0;
        double shortage = 0;
        bool isScarce = false;
        uint64_t movesStarted = 0;
        /// Drains for a move that were cancelled, and moves that the platform did not carry out.
        uint64_t movesUndone = 0;
    };
    [[nodiscard]] const PoolStats& poolStats() const { return m_poolStats; }

    /// Waves in this term.
    struct WaveStats {
        /// Instances that stay in use for now, since their long-running tasks have room nowhere else and may not all be unavailable.
        size_t held = 0;
        uint64_t drainsCancelled = 0;
        /// Instances whose long-running tasks were stopped for the time of the maintenance.
        uint64_t pauses = 0;
    };
    [[nodiscard]] WaveStats waveStats() const;

private:
    /// Long, because the platform can be slow while it is available.
    static constexpr std::chrono::milliseconds callTimeout { 3000 };
    /// Delay before a request that was not accepted is sent again.
    static constexpr std::chrono::milliseconds callRetryDelay { 300 };

    struct ListedInstance {
        Instance instance;
        /// When the list request that returned this state was sent.
        TimePoint requestedAt;
    };
    /// How the long-running tasks of an instance can leave it.
    struct Departure {
        /// Those without room elsewhere.
        std::vector<RunKey> withoutRoom;
        /// These may be unavailable together, by what their steps allow.
        bool mayPause = true;

        [[nodiscard]] bool isPossible() const { return withoutRoom.empty() || mayPause; }
    };
    struct WaveProgress {
        TimePoint drainingSince;
        /// While the instance drains: its departure, and when it is looked at again.
        Departure departure;
        TimePoint nextDepartureAt;
        /// A task waits that has room only here.
        bool isNeeded = false;
        /// Since when tasks cannot leave, or a task waits that fits nowhere else; the epoch if neither is the case.
        TimePoint obstructedSince;
        /// The lowest number of runs that was left on the draining instance, and since when.
        size_t runsLeft = 0;
        TimePoint progressAt;
        /// When its tasks were stopped for the time of the maintenance; the epoch if they were not.
        TimePoint pausedAt;
        /// Until then it is not drained.
        TimePoint heldUntil;
        /// It is not drained since its tasks could not leave it, and until when its pool asks for another instance because of that.
        bool isHeldForRoom = false;
        TimePoint roomWantedUntil;
        TimePoint nextRoomRequestAt;
        /// This leader has decided to request the maintenance.
        bool isRequested = false;
        TimePoint nextCallAt;
        /// When the platform accepted the request; the epoch until then.
        TimePoint acceptedAt;
        /// The instance was listed as up after its maintenance, or needs none.
        bool hasReturned = false;
        /// The platform has refused the last request, so it has not taken the instance down.
        bool wasRefused = false;
        /// Since when the platform has both refused the request and omitted the instance from its list; the epoch if it has not.
        TimePoint unlistedSince;
    };

    /// A planned or requested move.
    struct Move {
        /// Target pool; empty while the instance is drained and has no target yet.
        std::string pool;
        std::string from;
        TimePoint drainingSince;
        bool isCallPending = false;
        bool isAccepted = false;
        TimePoint nextCallAt;
        TimePoint acceptedAt;
    };

    void update();
    void updatePools();
    std::vector<Pool> describePools();
    std::vector<PoolInstance> describeInstances(const std::vector<Pool>& pools);
    void requestMove(const std::string& name);
    void finishMoves();
    /// @returns how long a busy instance takes until it can move.
    [[nodiscard]] Duration expectedDrainTime() const;
    void countPools(std::span<const Pool> pools, std::span<const PoolInstance> instances, const PoolActions& actions);
    /// Takes over the moves that an earlier leader has requested and that the platform lists as under way.
    void adoptMoves();
    /// Removes endpoints without runs that do not answer and whose instance the platform lists in another pool: the move has ended them, and
    /// the leader that requested it could not record that.
    void removeMovedEndpoints();
    /// @returns the instances that a wave is draining or has under maintenance and that have not been listed as up since.
    [[nodiscard]] std::set<std::string_view> instancesInWaves() const;
    void listInstances();
    void listPage(const std::string& token, TimePoint sentAt);
    void updateWave(const WaveState& wave);
    WaveInstance describe(const WaveState& wave, const std::string& name);
    /// Notes which maintained instances the platform lists as up again, or no longer. A wave may be complete before that.
    void updateReturns();
    void startMaintenance(const WaveState& wave, const std::string& name);
    void requestMaintenance(uint64_t wave, const std::string& name);
    // Drains for waves (instance_manager_drains.cpp)
    [[nodiscard]] Departure departureOf(const EndpointSession& session, Dispatcher::MoveRoom room) const;
    void describeDrain(WaveInstance& described, WaveProgress& progress, const EndpointSession& session);
    /// Starts to drain the instance if its long-running tasks can leave it, and holds it in use otherwise.
    void startDrain(const WaveState& wave, const WaveInstance& instance);
    void holdInstance(const WaveState& wave, const std::string& name, const Departure& departure);
    /// @returns the pools that need another instance so that a wave can go on.
    [[nodiscard]] std::set<std::string> poolsShortOfRoom() const;
    /// Moves long-running tasks to other endpoints.
    void moveTasks(const EndpointSession& session, const Departure& departure);
    /// Stops all tasks that need no other endpoint first.
    void stopShortTasks(const EndpointSession& session);
    void pauseTasks(const WaveState& wave, const std::string& name);
    /// Gives the instance back to its pool if its tasks cannot leave it, or a task that waits needs it.
    void checkDrain(const WaveState& wave, const std::string& name);
    void cancelDrain(const WaveState& wave, const std::string& name, std::string_view cause, Duration heldFor);
    /// Which report of an endpoint's runs is accepted as proof that a task is available.
    enum class ReportAge : uint8_t { Latest,
        Fresh };
    [[nodiscard]] bool isAvailable(const TaskKey& key, const Task& task, ReportAge age) const;
    [[nodiscard]] bool mayStop(const RunKey& run, ReportAge age) const { return mayStopTogether({ &run, 1 }, age); }
    /// @returns whether the steps of the runs allow that their tasks are unavailable at the same time. Fresh reports are requested only if the
    /// latest ones allow it.
    [[nodiscard]] bool mayStopTogether(std::span<const RunKey> runs, ReportAge age) const;
    /// @returns how many tasks of the step are unavailable, not counting those at the indices.
    [[nodiscard]] uint32_t unavailableOthers(const TaskKey& step, const std::set<uint32_t>& indices, ReportAge age) const;
    [[nodiscard]] const Endpoint* endpointOf(const std::string& instance) const;
    [[nodiscard]] const EndpointSession* sessionOf(const std::string& instance) const;
    [[nodiscard]] bool isListedElsewhere(const ListedInstance& known, const EndpointSession& session) const;
    bool takeCallToken();
    void updateCordons();
    /// Moves long-running tasks out of evacuated zones, one of a pool at a time, where there is room and within what their step may miss.
    /// Other runs end by themselves.
    void vacateZones();
    [[nodiscard]] bool isEvacuated(const ListedInstance& known, const EndpointSession* session) const;

    InstanceManagerDesc m_desc;
    uint64_t m_term;
    JobStore& m_store;
    Dispatcher& m_dispatcher;
    InstanceService& m_service;
    std::function<void(Command)> m_propose;
    std::function<TimePoint()> m_authorityEndsAt;
    const Clock& m_clock;
    EventLog& m_log;
    std::map<std::string, ListedInstance> m_instances;
    std::map<std::string, Instance> m_listing;
    bool m_hasList = false;
    bool m_isListing = false;
    TimePoint m_startedAt;
    TimePoint m_nextListAt;
    PacedInterval m_pace;
    std::map<std::pair<uint64_t, std::string>, WaveProgress> m_progress;
    std::map<std::string, Move> m_moves;
    std::map<std::string, TimePoint> m_idleSince;
    /// When the last move of an instance ended. Moves by earlier leaders are not known.
    std::map<std::string, TimePoint> m_movedAt;
    /// Work has arrived in this term. Until then, idle instances are no sign of low demand.
    bool m_hasDemand = false;
    TimePoint m_nextVacateAt;
    TimePoint m_nextVacateLogAt;
    /// How long busy instances have taken to finish what they ran before a move, averaged over the latest.
    Duration m_drainTime = std::chrono::seconds(1);
    PoolStats m_poolStats;
    WaveStats m_waveStats;
    /// Drains have started or were cancelled since the last updateCordons().
    bool m_areCordonsOutdated = false;
    /// When the newest answered list request was sent.
    TimePoint m_listedAt;
    TimePoint m_nextPoolPlanAt;
    TimePoint m_nextPoolLogAt;
    double m_callTokens = 0;
    TimePoint m_tokensUpdatedAt;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace vanillalift::jobs
