#pragma once

#include "demand_history_p.h"
#include "endpoint_session_p.h"
#include "job_store_p.h"
#include "policy/crash_attribution_p.h"
#include "policy/fair_share_p.h"
#include "policy/job_estimate_p.h"
#include "policy/paced_interval_p.h"
#include "policy/placement_p.h"
#include "policy/run_time_model_p.h"
#include "step_advice_p.h"

#include <vanillalift/features.h>

#include <functional>
#include <set>
#include <span>

namespace vanillalift {
class EventLog;
}

namespace vanillalift::jobs {

/// Settings and callbacks of a dispatcher.
struct DispatcherDesc {
    /// Raft term of this leader, used as fencing token.
    uint64_t term = 0;
    /// Appends a command to the replicated log. The result arrives through the StoreObserver callbacks.
    std::function<void(Command)> propose;
    /// @returns the latest time at which this control instance was certainly the only leader.
    std::function<TimePoint()> leaderConfirmedAt;
    /// Longest lease that endpoints accept.
    Duration maxLease = std::chrono::seconds(10);
    /// Upper bound on the time that an endpoint takes to stop a run.
    Duration stopTimeout = std::chrono::seconds(1);
    /// Age of an endpoint's report of its capacity up to which tasks are started there: the platform allows processes this time and
    /// one heartbeat interval to hear of a smaller capacity.
    Duration maxCapacityReportAge = std::chrono::seconds(3);
    /// Interval at which placement of waiting tasks is retried without a known change: an endpoint may become schedulable by
    /// the passing of time alone.
    Duration placementRetryInterval = std::chrono::milliseconds(100);
    Features features;
};

struct DispatcherStats {
    uint64_t startsSent = 0;
    uint64_t startsRefused = 0;
    uint64_t startsUnanswered = 0;
    uint64_t stopsSent = 0;
    uint64_t statusRequestsSent = 0;
    uint64_t statusRequestsUnanswered = 0;
    uint64_t runsDone = 0;
    uint64_t runsFailed = 0;
    uint64_t runsLost = 0;
    /// Endpoints that restarted, were replaced or removed while they had runs in progress.
    uint64_t endpointsLost = 0;
    /// Of these, endpoints that crashed by themselves, and jobs that were given up because of a task's crashes.
    uint64_t endpointsCrashed = 0;
    uint64_t jobsGivenUp = 0;
    /// Runs of which a speculative copy was wanted.
    uint64_t copiesWanted = 0;
    uint64_t placements = 0;
    /// Endpoints evaluated as candidates for a task, whether or not it was placed: the cost of placement.
    uint64_t endpointsEvaluated = 0;
    /// Reservations made; those whose room a task of their step has taken; those given up.
    uint64_t reservationsMade = 0;
    uint64_t reservationsKept = 0;
    uint64_t reservationsGivenUp = 0;
    /// Jobs placed after they were refused an endpoint because its room was reserved.
    uint64_t jobsBehindReservations = 0;
    size_t reservationsHeld = 0;
    /// Endpoints; those that do not answer, or have not in this term; those that answer but whose capacity is uncertain, so that no
    /// task is started there.
    size_t endpoints = 0;
    size_t endpointsSilent = 0;
    size_t endpointsUnreported = 0;
    size_t readyTasks = 0;
    size_t liveRuns = 0;
    size_t openJobs = 0;
    /// Runs in evacuated zones that have not ended.
    size_t evacuatedRuns = 0;
};

inline TaskKey firstTaskOfStep(const TaskKey& key) { return { key.job, key.occurrence, key.step, 0 }; }

/// Placement state of one active job.
struct JobPlan {
    Job* job = nullptr;
    /// When the job was accepted; for a scheduled job, the due time of its oldest occurrence that is not done.
    TimePoint acceptedAt;
    JobEstimate estimate;
    Duration objective {};
    double relativeSize = 1;
    /// Remaining work of occurrences that are due or due soon, for a scheduled job.
    double dueWorkMs = 0;
    double dueMemoryMs = 0;
    /// Tasks that can be placed now.
    std::vector<TaskKey> ready;
    /// Minimum over these tasks, separately for each resource.
    Resources smallestNeed;
    /// The largest of the needs of these tasks by processors.
    Resources largestNeed;
    bool hasWaitingGang = false;
    /// An endpoint has confirmed the start of a task, or may have confirmed it to an earlier leader.
    bool hasConfirmedRun = false;
    /// Run numbers of placements that are proposed but not committed yet. An earlier run of the task may end meanwhile.
    std::map<TaskKey, uint32_t> proposedRuns;
    bool isDirty = true;
    /// When the plan has to be recomputed because an occurrence becomes due or due soon.
    TimePoint refreshAt = TimePoint::max();
    /// Since when reservations of others have held back a task of the job; the epoch if they have not since its last placement.
    TimePoint heldSince;
    /// Earliest time of the next log entry about its waiting tasks.
    TimePoint nextWaitLogAt;

    /// Forgets the proposal of the run, if there is one: its outcome is known.
    void resolveProposal(const RunKey& run);
};

/// Job dispatcher of the leader: places tasks, sends endpoints start and stop requests, renews endpoint leases, and records
/// the ends of runs. Lives for one term; state that is not in the store is rebuilt from the endpoints' status replies.
class Dispatcher final : public StoreObserver {
public:
    Dispatcher(DispatcherDesc desc, JobStore& store, DemandHistory& demand, const Clock& clock, EndpointLinks& links, AdviceService& advice, EventLog& log);
    ~Dispatcher() override;

    /// Calls updateEndpoints() and placeTasks().
    void tick();
    /// Sends due requests to all endpoints and handles expired leases.
    void updateEndpoints();
    /// Places waiting tasks and proposes ended runs to the log.
    void placeTasks();

    /// An endpoint's report of its own state.
    struct Heartbeat {
        Endpoint endpoint;
        uint64_t sequence = 0;
        std::optional<int64_t> clockMs;
        /// Minimum time until the endpoint terminates while it drains, in milliseconds.
        std::optional<int64_t> remainingMs;
        /// Time for which the endpoint remains slow after its start, in milliseconds.
        int64_t warmUpMs = 0;
    };
    /// @param onRecorded called once the heartbeat is reflected in the store.
    void receiveHeartbeat(const Heartbeat& heartbeat, std::function<void()> onRecorded);
    void receiveDeregistration(const std::string& endpointId, std::function<void()> onRecorded);

    /// Sets the endpoints whose instances a wave or a move will take down: no more tasks are placed there.
    void setCordoned(const std::set<std::string>& endpointIds);
    /// Sets the endpoints whose instances the platform has been asked to take down: their end is no crash.
    void setTakenDown(const std::set<std::string>& endpointIds);
    /// Sets the endpoints whose instances an open wave has yet to take down: long-running tasks go elsewhere if they fit there.
    void setDueForMaintenance(const std::set<std::string>& endpointIds);
    /// Shortens the endpoint's status request interval for a while.
    void requestFreshStatus(const std::string& endpointId);
    /// Removes an endpoint that has ended because its instance was moved to another pool.
    void removeMovedEndpoint(const std::string& endpointId);
    /// Which room counts for a move: what is free, or also what tasks use that end by themselves.
    enum class MoveRoom : uint8_t {
        Free,
        AfterShortTasks,
    };
    /// @returns the long-running runs of the endpoint that other endpoints have no such room for, one after the other.
    [[nodiscard]] std::vector<RunKey> runsWithoutRoomElsewhere(const EndpointSession& session, MoveRoom room) const;
    /// @returns the endpoint's long-running runs that have not ended, those with the largest needs first.
    [[nodiscard]] static std::vector<RunKey> runsOfLongRunningTasks(const EndpointSession& session);
    enum class HeldRoom : uint8_t {
        /// No endpoint has room for the task, even once others have ended there.
        None,
        /// The room is in use, and no other task takes what becomes free there.
        Awaited,
        Free,
    };
    /// Holds room for the run's task on another endpoint, or renews the hold. It expires if it is not renewed.
    HeldRoom holdRoomElsewhere(const EndpointSession& session, const RunKey& run);
    /// Stops a run whose task has room elsewhere, and keeps that room until the task is placed.
    void moveAway(const std::string& endpointId, const RunKey& run);
    /// @returns whether a long-running task waits that fits here now, and on no endpoint that takes tasks.
    [[nodiscard]] bool isOnlyRoomForWaitingTask(const EndpointSession& session) const;
    /// @returns whether long-running tasks of the pool wait that fit on an endpoint once its other tasks have ended.
    [[nodiscard]] bool hasPlaceableLongRunningTasks(const std::string& service) const;
    /// Stops a run, so that its task is placed elsewhere.
    void evict(const std::string& endpointId, const RunKey& run);

    [[nodiscard]] const std::map<std::string, std::unique_ptr<EndpointSession>>& sessions() const { return m_sessions; }
    [[nodiscard]] const std::map<uint64_t, JobPlan>& plans() const { return m_plans; }
    [[nodiscard]] const Resources& usageOf(const std::string& workspace) { return m_workspaceUsage[workspace]; }
    [[nodiscard]] DispatcherStats stats() const;
    /// @returns the number of the queue's active jobs without a confirmed start of a task; scheduled jobs do not count.
    [[nodiscard]] size_t pendingJobCount(std::string_view queue) const;

    /// Load of a pool's queues, in thousandths of a core and megabytes.
    struct ServiceLoad {
        /// Resources of long-running tasks.
        Resources reservedByLongRunning;
        /// Long-running tasks that wait for placement.
        size_t waitingLongRunningTasks = 0;
        /// Mean work arriving per second: resources times seconds of run time.
        Resources arriving;
        /// The arrival rate started to rise recently and may still grow.
        bool isRising = false;
        /// Load of a peak that is due, in units of one instance.
        double expectedPeak = 0;
        /// Resources of other runs, and of tasks that could run now within their workspaces' limits.
        Resources running;
        Resources ready;
        /// Resources of tasks that are held back only by their workspaces' limits.
        Resources limited;
        /// The same for jobs beyond their workspaces' agreed rates and for jobs whose completion has no value, which run in room that
        /// nothing else wants: added to `ready` and `backlog` only while nothing else waits.
        Resources deferredReady;
        Resources deferredBacklog;
        /// Work accepted and not done: resources times seconds of run time.
        Resources backlog;
        /// Mean latency objective of the jobs in the backlog, counted from submission, in seconds.
        double objectiveSeconds = 0;
    };
    [[nodiscard]] std::map<std::string, ServiceLoad> loads();
    [[nodiscard]] bool isReachable(const EndpointSession& session) const { return isReachable(session, m_clock.now()); }

    void onCatalog() override;
    void onEndpoint(const Endpoint& endpoint) override;
    void onEndpointDeregistered(const Endpoint& endpoint) override;
    void onEndpointRemoved(const Endpoint& last) override;
    void onJob(Job& job) override;
    void onJobFinished(Job& job) override;
    void onRunPlaced(Job& job, const RunKey& run, const std::string& endpoint) override;
    void onPlacementRefused(Job& job, const RunKey& run, const std::string& endpoint) override;
    void onRunEnded(Job& job, const EndedRun& run, const std::string& endpoint) override;
    void onWave(const WaveState& /*wave*/) override { }
    void onSuspicion(Job& job, const TaskKey& task, bool isCause) override;
    void onEvacuation(const std::string& zone) override;

private:
    /// Usage of workspaces relative to their fair shares, see SchedulableJob.
    using ShareRatios = std::map<std::string, double>;

    struct Waiter {
        std::string endpoint;
        std::function<void()> onRecorded;
    };

    /// A crash that is not attributed yet.
    struct PendingCrash {
        EndpointLoss loss;
        int64_t startedAtMs = 0;
        TimePoint dueAt;
    };

    /// The newest heartbeat of an incarnation that is not recorded yet.
    struct Registration {
        Heartbeat heartbeat;
        TimePoint receivedAt;
    };

    // Takeover (dispatcher.cpp)
    void restoreState();
    void restorePlacements(Job& job);
    EndpointSession& openSession(const Endpoint& endpoint);
    Run& addRun(EndpointSession& session, Job& job, const RunKey& key);
    void releaseRun(EndpointSession& session, Run& run);
    void eraseRun(EndpointSession& session, const RunKey& key);
    EndpointSession* findSession(const std::string& id);
    Run* findRun(EndpointSession& session, const RunKey& key);
    JobPlan& planOf(Job& job);
    void markDirty(uint64_t serial);
    [[nodiscard]] TaskName taskNameOf(const Run& run) const;
    [[nodiscard]] bool isServiceKnown(std::string_view service) const;

    // Deregistered endpoints (dispatcher.cpp)
    /// Stops the runs of a deregistered endpoint, if it has drained. Otherwise the deregistration may be a late one of an earlier
    /// incarnation, and only starts that were not sent yet are withheld.
    static void stopRunsIfDeregistered(EndpointSession& session);
    /// Removes a deregistered endpoint once nothing runs there, and acknowledges its deregistration then or after a bounded time.
    void updateDeregistration(EndpointSession& session, TimePoint now);

    // Evacuated availability zones (dispatcher_evacuation.cpp)
    void updateEvacuation(EndpointSession& session);

    // Moves of long-running tasks (dispatcher_moves.cpp)
    /// Room kept on an endpoint for a long-running task that is to move there, from before it is stopped until it is placed.
    struct RoomHold {
        std::string endpoint;
        Resources need;
        TimePoint expiresAt;
    };
    class MoveCandidates;
    void releaseRoom(const TaskKey& task);
    void releaseExpiredRoom();
    /// @returns the endpoints that may run the task's step by the advice known so far; nothing if its queue needs no advice.
    [[nodiscard]] std::optional<std::vector<std::string>> advisedEndpoints(const Job& job, const TaskKey& key) const;
    void requestAdviceForMove(const Job& job, const TaskKey& key);
    /// @returns one task of each step in the pool with long-running tasks that wait and are within their workspace's limit: those of a step
    /// need the same.
    [[nodiscard]] std::vector<TaskKey> waitingLongRunningTasks(const std::string& service) const;

    // Ends (dispatcher.cpp)
    /// @param cause logged with the end.
    /// @param runTimeMs see EndedRun.
    void queueRunEnd(EndpointSession& session, Run& run, RunEnd end, const std::string& checkpoint, std::string_view cause, uint32_t runTimeMs = 0);
    void flushRunEnds();
    void logJobEnd(const Job& job);

    // Requests to endpoints, and leases (dispatcher_requests.cpp)
    [[nodiscard]] bool hasLeaderAuthority() const;
    [[nodiscard]] TimePoint leaseExpiryTarget() const;
    std::optional<int64_t> grantLease(EndpointSession& session);
    void updateSession(EndpointSession& session);
    void sendDueRequests(EndpointSession& session, TimePoint now);
    void sendDueRequest(EndpointSession& session, Run& run, TimePoint now);
    static void setReportedCapacity(EndpointSession& session, const Heartbeat& heartbeat, TimePoint receivedAt);
    /// @returns whether the endpoint's capacity is certain, and bears the runs that it has or may get by requests that were sent.
    [[nodiscard]] bool hasCapacityForStarts(const EndpointSession& session) const;
    void updateCapacityGuard(EndpointSession& session);
    /// Cancels runs whose start was never sent to the unreachable endpoint, so that they are placed elsewhere.
    static void cancelUnsentStarts(EndpointSession& session);
    /// Sends requests that were held back by the endpoint's limit of pending requests.
    void sendWaitingRequests(const std::string& endpointId);
    void sendStatusRequest(EndpointSession& session);
    void receiveStatusReply(EndpointSession& session, TimePoint sentAt, TimePoint deadline, const StatusReply& reply);
    void reconcile(EndpointSession& session, TimePoint sentAt, const StatusReply& reply);
    void updateProgress(EndpointSession& session, Run& run, const RunningRunReport& report, TimePoint sentAt);
    void handleReportedEnd(EndpointSession& session, const EndedRunReport& report);
    void resolveMissingRun(EndpointSession& session, Run& run, TimePoint sentAt);
    void sendStart(EndpointSession& session, Run& run);
    /// Notes that a task of the job was placed: it remains pending until a start is confirmed.
    void notePlacement(const Job& job);
    /// Records that the run has certainly started.
    void confirmStart(const Run& run);
    /// @returns how a run has ended whose endpoint or lease has: it counts as not started if no start was confirmed.
    [[nodiscard]] static RunEnd endWithoutReport(const Run& run);
    /// @returns the run that a reply refers to, or nullptr if it has ended since.
    Run* findRunOfReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply);
    void receiveStartReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply);
    void sendStop(EndpointSession& session, Run& run);
    void receiveStopReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply);
    void sendThrottle(EndpointSession& session, Run& run);
    void handleLeaseExpiry(EndpointSession& session);
    void removeEndpoint(EndpointSession& session, RemovalReason reason);
    void recordFailure(EndpointSession& session, const char* reason);
    void throttleBestEffortRuns(EndpointSession& session);

    // Crashes of endpoints, and the tasks that may be their cause (dispatcher_crashes.cpp)
    /// Records the runs that were in progress on an endpoint that does not answer.
    void recordSuspects(EndpointSession& session);
    void resolveSuspects(EndpointSession& session, bool hasCrashed);
    /// Resolves suspects of endpoints that an earlier leader knew and that are gone.
    void resolveOrphanedSuspects();
    /// Handles the end of the endpoint's incarnation.
    void handleIncarnationEnd(EndpointSession& session, std::string_view cause);
    /// Isolated tasks: nothing else is started on their endpoint shortly before and after them.
    void recordStart(EndpointSession& session, const Run& run);
    [[nodiscard]] bool isQuiet(const EndpointSession& session) const;
    /// Reserves an endpoint for an isolated task that waits for a quiet one.
    void reserveEndpoint(const StepSpec& step, PlacementHints hints, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions);
    /// Forgets crashes under long-running tasks that have been in progress for long enough.
    void forgetCrashes(EndpointSession& session);
    [[nodiscard]] bool isSuspect(const Run& run) const;
    /// @returns whether the endpoint's end was expected: it drains or has left, or its instance is moved or maintained.
    [[nodiscard]] static bool isEndPlanned(const EndpointSession& session);
    /// Decides about crashes once it is known whether other endpoints were lost at the same time.
    void resolveDueCrashes();
    [[nodiscard]] bool wasLostWithGroup(const EndpointLoss& loss) const;
    [[nodiscard]] static EndpointLoss describeLoss(const EndpointSession& session, TimePoint now);

    // Speculative copies and speed estimates of endpoints (dispatcher_speculation.cpp)
    void planSpeculativeCopies();
    /// @returns what is known of earlier run times, or nullptr if estimates rely on declarations alone.
    [[nodiscard]] const RunTimeModel* learnedRunTimes() const { return m_desc.features.learnedRunTimes ? &m_store.runTimes() : nullptr; }
    [[nodiscard]] RunTimeKey runTimeKeyOf(const Run& run) const;
    void logRunTimes();
    [[nodiscard]] Duration expectedRunTime(const Run& run);
    /// @returns how long the task took whose run has just ended, in milliseconds; 0 if that says nothing about other runs.
    [[nodiscard]] uint32_t measuredRunTimeMs(const EndpointSession& session, const Run& run) const;
    void updateSpeedEstimate(EndpointSession& session, const Run& run);
    /// @returns the run of a task that is not done and has exactly one, or nullptr.
    [[nodiscard]] const Run* onlyRunOf(const TaskKey& key, const Task& task) const;

    [[nodiscard]] static bool isReachable(const EndpointSession& session, TimePoint now);

    // Reservations (dispatcher_reservations.cpp)
    /// Gives up the reservations of the pool that have proved wrong or are of no use any more.
    void checkReservations(const std::string& service, TimePoint now);
    /// @returns why the reservation is of no use any more; empty if it holds.
    [[nodiscard]] std::string_view reservationFault(const EndpointSession& session, TimePoint now);
    void giveUpReservation(EndpointSession& session, std::string_view cause);
    /// Reserves room for large tasks that found none.
    void makeReservations(const std::string& service, const std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, const ShareRatios& shares);
    /// @param limit most reservations to make.
    /// @returns the number of reservations made for the task's step.
    size_t reserveRoom(const JobPlan& plan, const TaskKey& key, std::span<const ReservableEndpoint> endpoints, const std::vector<EndpointSession*>& sessions, size_t limit);
    /// Accounts for a task that is placed on an endpoint with a reservation.
    void updateReservation(EndpointSession& session, JobPlan& plan, const TaskKey& key);
    /// @returns when the job's remaining steps have to start for its result to be of use.
    [[nodiscard]] static TimePoint latestStartOf(const JobPlan& plan);
    /// @returns whether reservations have held back the job's tasks for as long as they may.
    [[nodiscard]] bool wasHeldLong(const JobPlan& plan, TimePoint now) const;
    /// Marks the endpoints on which the task would delay a reserved one.
    void markHeld(std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, const JobPlan& plan, const TaskKey& key) const;
    /// @returns the time that most tasks of the step take at most.
    [[nodiscard]] Duration longRunTime(const JobPlan& plan, const TaskKey& key) const;
    [[nodiscard]] TimePoint expectedEnd(const Run& run, TimePoint now) const;
    /// @returns the tasks of the step that wait.
    [[nodiscard]] static uint32_t waitingTasks(const JobPlan& plan, const TaskKey& step);

    // Placement (dispatcher_placement.cpp)
    /// Retry state of one service: placement of its waiting tasks is retried when something has changed.
    struct PlacementState {
        bool hasChanged = true;
        /// Some tasks are held back by their workspace's limit.
        bool isLimited = false;
        TimePoint retryAt;
        /// When large tasks that wait are looked at again.
        TimePoint reserveAt;
        /// Tasks were left without room by the last pass.
        bool isShort = false;
    };
    class UnplaceableNeeds;
    void place();
    void placeService(const std::string& service, PlacementState& state);
    /// @param maxFree largest free capacity among the schedulable endpoints, separately for each resource.
    std::vector<JobPlan*> candidatePlans(const std::string& service, const Resources& maxFree, size_t endpoints, PlacementState& state);
    void placeJob(JobPlan& plan, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, UnplaceableNeeds& failed, PlacementState& state);
    /// @returns the serial numbers of the plans' jobs, highest rank first.
    [[nodiscard]] std::vector<uint64_t> rankPlans(const std::vector<JobPlan*>& plans, const ShareRatios& shares, TimePoint now) const;
    /// Schedules a placement retry after a run released endpoint capacity and part of its workspace's limit.
    void markCapacityFreed(const EndpointSession& session, const Run& run);
    void retryAllPlacements();
    bool placeGang(JobPlan& plan, const TaskKey& first, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions);
    bool placeTask(JobPlan& plan, const TaskKey& key, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions);
    void proposePlacement(JobPlan& plan, const TaskKey& key, uint32_t run, EndpointSession& session, const std::string& ticket);
    /// @returns the usage of each workspace relative to its fair share, see SchedulableJob.
    [[nodiscard]] ShareRatios fairShareRatios(const std::vector<JobPlan*>& plans) const;
    /// @returns the same over time and for the pool alone.
    [[nodiscard]] ShareRatios poolShareRatios(const std::string& service, const std::vector<JobPlan*>& plans, const Resources& capacity) const;
    void logWaitingTasks(JobPlan& plan, size_t candidates);
    void refreshPlan(JobPlan& plan);
    void collectReady(JobPlan& plan, uint32_t occurrence);
    /// @returns whether the task waits because of crashes under it.
    [[nodiscard]] bool isRestartHeldBack(JobPlan& plan, const TaskKey& key, const Task& task);
    void flushPlacements();
    void addReadyNeeds(std::map<std::string, ServiceLoad>& loads);
    /// Adds the load of deferred jobs, unless other jobs have waited lately.
    void addDeferredLoad(std::map<std::string, ServiceLoad>& loads);
    /// @returns whether the job runs in room that nothing else wants.
    [[nodiscard]] bool isDeferred(const JobPlan& plan) const;
    [[nodiscard]] bool isWithinLimit(const Job& job, const StepSpec& step, uint32_t count) const;
    /// @returns whether a task may be placed there if it fits.
    [[nodiscard]] bool isPlaceable(const EndpointSession& session, TimePoint now) const;
    [[nodiscard]] bool isSchedulable(const EndpointSession& session, TimePoint now) const;
    /// @returns the advice for the task's step.
    StepAdvice& adviceOf(const TaskKey& key);
    /// Forgets the advice about an endpoint that refused its ticket.
    void forgetAdvice(const TaskKey& key, const std::string& endpointId);
    /// Asks the advice service about endpoints for the task's step that it has not answered about.
    /// @param needsRoom ask only about endpoints on which a task of the step fits now.
    void requestAdvice(const JobPlan& plan, const TaskKey& key, std::span<const PlacementCandidate> candidates, bool needsRoom);
    [[nodiscard]] static uint32_t runsOfStep(const EndpointSession& session, const TaskKey& key);
    void preparePlacement(PlacementCandidate& candidate, const EndpointSession& session, const TaskKey& key, const StepSpec& step) const;

    DispatcherDesc m_desc;
    JobStore& m_store;
    DemandHistory& m_demand;
    const Clock& m_clock;
    EndpointLinks& m_links;
    AdviceService& m_adviceService;
    EventLog& m_log;
    TimePoint m_startedAt;
    /// When a request to an endpoint last timed out.
    TimePoint m_lastUnansweredAt;
    std::map<std::string, std::unique_ptr<EndpointSession>> m_sessions;
    /// EndpointSession::staleAckUntil of removed endpoints, by endpoint id.
    std::map<std::string, TimePoint> m_staleAckUntil;
    /// Endpoints that ended recently without a plan.
    std::vector<EndpointLoss> m_losses;
    std::vector<PendingCrash> m_pendingCrashes;
    /// Isolated tasks that found no quiet endpoint in this placement pass of their service.
    size_t m_waitingIsolatedTasks = 0;
    /// Sessions that ended since the last setCordoned(): their successors at the same address are cordoned, too.
    std::set<std::string> m_cordonedAddresses;
    /// EndpointSession::unstableUntil by address.
    std::map<std::string, TimePoint> m_unstableUntil;
    std::map<uint64_t, JobPlan> m_plans;
    /// Active jobs that were placed and have no confirmed start yet.
    std::set<uint64_t> m_unconfirmedJobs;
    std::map<std::string, PlacementState> m_placementStates;
    PacedInterval m_placementPace;
    std::map<std::string, Resources> m_workspaceUsage;
    std::map<TaskKey, RoomHold> m_roomHolds;
    /// When long-running tasks may start again that have probably caused crashes.
    std::map<TaskKey, TimePoint> m_restartAt;
    /// By pool.
    std::map<std::string, FairShare> m_fairShares;
    /// Mean work of a job by queue, in milliseconds of one core.
    std::map<std::string, MovingAverage> m_meanWork;
    /// Mean ratio of measured to declared run time of tasks, by queue.
    std::map<std::string, MovingAverage> m_runTimeRatio;
    /// Steps with reservations in the pool whose tasks are being placed, and the largest need that waits there.
    std::set<TaskKey> m_reservedSteps;
    Resources m_largestWaiting;
    /// At least half of the room on that pool's endpoints is free.
    bool m_isHalfIdle = false;
    TimePoint m_nextSpeculationAt;
    /// When tasks of jobs that are not deferred last waited for room.
    TimePoint m_lastWaitingAt;
    TimePoint m_nextRunTimeLogAt;
    /// By the first task of the step.
    std::map<TaskKey, StepAdvice> m_advice;
    /// A call to the advice service is pending.
    bool m_isAdvicePending = false;
    /// By endpoint id.
    std::map<std::string, Registration> m_registrations;
    /// Callers waiting for their endpoint's registration or removal to commit, by endpoint id.
    std::map<std::string, std::vector<Waiter>> m_waiters;
    std::vector<PlacedRun> m_pendingPlacements;
    std::vector<EndedRun> m_pendingEnds;
    DispatcherStats m_stats;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace vanillalift::jobs
