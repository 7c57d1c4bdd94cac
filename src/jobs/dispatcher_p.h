#pragma once

#include "arrival_rate_p.h"
#include "endpoint_session_p.h"
#include "job_estimate_p.h"
#include "job_store_p.h"
#include "placement_p.h"

#include <functional>
#include <set>

namespace vanillalift {
class EventLog;
}

namespace vanillalift::jobs {

/// What a dispatcher needs of its surroundings.
struct DispatcherDesc {
    /// Term of this leader, used as fencing token.
    uint64_t term = 0;
    /// Appends a command to the replicated log. The outcome shows in the store.
    std::function<void(Command)> propose;
    /// Newest moment at which this instance was certainly the only leader.
    std::function<TimePoint()> leaderContactAt;
    /// Longest lease that endpoints take.
    Duration maxLease = std::chrono::seconds(10);
    /// How long an endpoint takes to stop a run, at most.
    Duration stopTimeout = std::chrono::seconds(1);
    /// Time after which tasks without a place are tried again although nothing is known to have changed: an endpoint may have
    /// become usable by the passing of time alone.
    Duration placeRetry = std::chrono::milliseconds(100);
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
    uint64_t placements = 0;
    /// Endpoints that were weighed for a task, also in vain: what placing costs.
    uint64_t placementTrials = 0;
    size_t readyTasks = 0;
    size_t liveRuns = 0;
    size_t openJobs = 0;
};

/// A job's place in the leader's plans.
struct JobPlan {
    Job* job = nullptr;
    /// Of a job that runs by the wall clock: when its oldest occurrence that is not done was due.
    TimePoint acceptedAt;
    JobEstimate estimate;
    Duration objective {};
    double relativeSize = 1;
    /// Work left in occurrences that are due or soon will be, for a job that runs by the wall clock.
    double dueWorkMs = 0;
    double dueMemoryMs = 0;
    /// Tasks that may be placed now.
    std::vector<TaskKey> ready;
    /// The least that any of them needs, by resource.
    Resources smallestNeed;
    /// Tasks whose placement is proposed and not committed.
    std::set<TaskKey> committing;
    bool isDirty = true;
    /// When an occurrence comes near or is due.
    TimePoint refreshAt = TimePoint::max();
    /// When a line says next why its tasks wait.
    TimePoint nextWaitLogAt;
};

/// Tickets of one step.
struct StepAdvice {
    TimePoint nextRequestAt;
    TimePoint validUntil;
    std::vector<std::string> endpoints;
    std::vector<std::string> tickets;
};

/// The leader's work: places tasks, orders endpoints to start and stop them, keeps their leases, and records their ends.
/// Exists for one term; all it knows beyond the store is learned from the endpoints again.
class Dispatcher final : public StoreObserver {
public:
    Dispatcher(DispatcherDesc desc, JobStore& store, const Clock& clock, EndpointLinks& links, AdviceService& advice, EventLog& log);
    ~Dispatcher() override;

    /// Does all that is due: both of the following.
    void tick();
    void updateEndpoints();
    /// Places waiting tasks and hands ends to the log.
    void placeTasks();

    /// What an endpoint says of itself.
    struct Heartbeat {
        Endpoint endpoint;
        uint64_t sequence = 0;
        std::optional<int64_t> clockMs;
        /// Least time until the endpoint ends, while it drains.
        std::optional<int64_t> remainingMs;
    };
    /// @param onRecorded called once the report is on record.
    void receiveHeartbeat(const Heartbeat& beat, std::function<void()> onRecorded);
    void receiveDeregistration(const std::string& endpointId, std::function<void()> onRecorded);

    /// Marks the endpoints that a wave or a move will take down: nothing more is placed there.
    void setCordoned(const std::set<std::string>& endpointIds);
    /// Has the endpoint asked for its runs more often for a while.
    void requestFreshStatus(const std::string& endpointId);
    /// Orders a run to end and its task to be started elsewhere.
    void evict(const std::string& endpointId, const RunKey& run);

    [[nodiscard]] const std::map<std::string, std::unique_ptr<EndpointSession>>& sessions() const { return m_sessions; }
    [[nodiscard]] const std::map<uint64_t, JobPlan>& plans() const { return m_plans; }
    [[nodiscard]] const Resources& usageOf(const std::string& workspace) { return m_workspaceUsage[workspace]; }
    [[nodiscard]] DispatcherStats stats() const;

    /// Work of a pool's queues, in thousandths of a core and megabytes.
    struct ServiceLoad {
        /// Held by lasting tasks.
        Resources longRunning;
        /// Lasting tasks that wait for a place.
        size_t waitingLongRunningTasks = 0;
        /// Arriving a second, averaged, times seconds of run time.
        Resources arriving;
        /// Demand has begun a short while ago and may still grow.
        bool isRising = false;
        /// Held by other runs, and needed by tasks that could run now within their workspaces' limits.
        Resources running;
        Resources ready;
        /// Needed by tasks that wait only for their workspaces' limits.
        Resources limited;
        /// Accepted and not done, times seconds of run time.
        Resources backlog;
        /// Mean time from hand-in within which the backlog's jobs have to complete, in seconds.
        double objectiveSeconds = 0;
    };
    [[nodiscard]] std::map<std::string, ServiceLoad> loads();
    [[nodiscard]] bool isReachable(const EndpointSession& session) const { return isReachable(session, m_clock.now()); }
    /// Whether lasting tasks of the pool wait for a place.
    [[nodiscard]] bool hasWaitingLongRunningTasks(std::string_view service) const;

    void onCatalog() override;
    void onEndpoint(const Endpoint& endpoint) override;
    void onEndpointRemoved(const Endpoint& last) override;
    void onJob(Job& job) override;
    void onJobFinished(Job& job) override;
    void onRunPlaced(Job& job, const RunKey& run, const std::string& endpoint) override;
    void onRunEnded(Job& job, const EndedRun& run, const std::string& endpoint) override;
    void onWave(const WaveState& /*wave*/) override { }

private:
    struct Waiter {
        std::string endpoint;
        std::function<void()> onRecorded;
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
    [[nodiscard]] TaskName nameOf(const Run& run) const;

    // Ends (dispatcher.cpp)
    void queueRunEnd(EndpointSession& session, Run& run, RunEnd end, const std::string& checkpoint);
    void flushRunEnds();

    // Orders and leases (dispatcher_orders.cpp)
    [[nodiscard]] bool hasLeaderAuthority() const;
    [[nodiscard]] TimePoint leaseTarget() const;
    std::optional<int64_t> grantLease(EndpointSession& session);
    void updateSession(EndpointSession& session);
    void sendDueRequests(EndpointSession& session, TimePoint now);
    void sendDueRequest(EndpointSession& session, Run& run, TimePoint now);
    /// Has runs placed elsewhere that the endpoint, which cannot be reached, has not been told of.
    static void cancelUnsentStarts(EndpointSession& session);
    /// Sends the orders that have waited for others of the endpoint.
    void sendWaitingRequests(const std::string& endpointId);
    void sendStatusRequest(EndpointSession& session);
    void receiveStatusReply(EndpointSession& session, TimePoint sentAt, const StatusReply& reply);
    void reconcile(EndpointSession& session, TimePoint sentAt, const StatusReply& reply);
    void updateProgress(EndpointSession& session, Run& run, const RunningRunReport& row, TimePoint sentAt);
    void handleReportedEnd(EndpointSession& session, const EndedRunReport& row);
    void resolveMissingRun(EndpointSession& session, Run& run, TimePoint sentAt);
    void sendStart(EndpointSession& session, Run& run);
    /// @returns the run that an order's reply is about, or nullptr if it has ended since.
    Run* runOfReply(EndpointSession& session, const RunKey& key, const RunRequestReply& reply);
    void receiveStart(EndpointSession& session, const RunKey& key, const RunRequestReply& reply);
    void sendStop(EndpointSession& session, Run& run);
    void receiveStop(EndpointSession& session, const RunKey& key, const RunRequestReply& reply);
    void sendThrottle(EndpointSession& session, Run& run);
    void expireSession(EndpointSession& session);
    void removeEndpoint(EndpointSession& session, const char* reason);
    void recordFailure(EndpointSession& session, const char* reason);
    void throttleBestEffortRuns(EndpointSession& session);

    // Second copies and what run times tell of endpoints (dispatcher_copies.cpp)
    void planSpeculativeCopies();
    [[nodiscard]] Duration expectedRunTime(const Run& run);
    void updateSpeedEstimate(EndpointSession& session, const Run& run);
    /// @returns the run of a task that is not done and has one, or nullptr.
    [[nodiscard]] const Run* onlyRunOf(const TaskKey& key, const Task& task) const;

    [[nodiscard]] static bool isReachable(const EndpointSession& session, TimePoint now);

    // Placing (dispatcher_placing.cpp)
    /// Of one service: its tasks without a place are tried again once something has changed.
    struct PlacementState {
        bool hasChanged = true;
        /// Some wait for their workspace's limit.
        bool isLimited = false;
        TimePoint retryAt;
    };
    class FailedDemands;
    void place();
    void placeService(const std::string& service, PlacementState& waiting);
    /// @param room largest room of any of the usable endpoints, by resource.
    std::vector<JobPlan*> candidatePlans(const std::string& service, const Resources& room, size_t endpoints);
    void placeJob(JobPlan& plan, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, FailedDemands& failed, PlacementState& waiting);
    /// Room of an endpoint, and part of a workspace's limit, has become free.
    void markCapacityFreed(const EndpointSession& session, const Run& run);
    void retryAllPlacements();
    bool placeGang(JobPlan& plan, const TaskKey& first, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions);
    bool placeTask(JobPlan& plan, const TaskKey& key, std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions);
    void proposePlacement(JobPlan& plan, const TaskKey& key, uint32_t run, EndpointSession& session, const std::string& ticket);
    /// @returns what workspaces use by what their weights give them, see OrderedJob.
    [[nodiscard]] std::map<std::string, double> workspaceShares(const std::vector<JobPlan*>& plans) const;
    void logWaitingTasks(JobPlan& plan, size_t candidates);
    void refreshPlan(JobPlan& plan);
    void collectReady(JobPlan& plan, uint32_t occurrence);
    void flushPlacements();
    void addReadyNeeds(std::map<std::string, ServiceLoad>& loads);
    [[nodiscard]] bool isWithinLimit(const Job& job, const StepSpec& step, uint32_t count);
    [[nodiscard]] bool isSchedulable(const EndpointSession& session, TimePoint now) const;
    const StepAdvice* findAdvice(JobPlan& plan, const TaskKey& key, const std::vector<EndpointSession*>& sessions);
    void preparePlacement(PlacementCandidate& candidate, const EndpointSession& session, const TaskKey& key, const StepSpec& step) const;

    DispatcherDesc m_desc;
    JobStore& m_store;
    const Clock& m_clock;
    EndpointLinks& m_links;
    AdviceService& m_adviceService;
    EventLog& m_log;
    TimePoint m_startedAt;
    /// When the newest request or order without an answer was given up.
    TimePoint m_lastUnansweredAt;
    std::map<std::string, std::unique_ptr<EndpointSession>> m_sessions;
    /// EndpointSession::staleAckUntil of endpoints that were removed.
    std::map<std::string, TimePoint> m_staleAckUntil;
    std::map<uint64_t, JobPlan> m_plans;
    std::map<std::string, PlacementState> m_placementStates;
    std::map<std::string, Resources> m_workspaceUsage;
    /// Recent arrivals by service.
    std::map<std::string, ArrivalRate> m_arrivals;
    /// Mean work of a queue's jobs, in milliseconds of a whole core.
    std::map<std::string, RunningMean> m_meanWork;
    /// Run times of a queue's tasks by those that were declared.
    std::map<std::string, RunningMean> m_runTimeRatio;
    TimePoint m_nextSpeculationAt;
    std::map<TaskKey, StepAdvice> m_advice;
    /// A call of the advice service has no answer yet.
    bool m_isAdvicePending = false;
    std::map<std::string, std::vector<Waiter>> m_waiters;
    std::vector<PlacedRun> m_pendingPlacements;
    std::vector<EndedRun> m_pendingEnds;
    DispatcherStats m_stats;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace vanillalift::jobs
