#pragma once

#include "policy/reservation_plan_p.h"
#include "policy/speed_estimate_p.h"

#include <vanillalift/clock.h>
#include <vanillalift/config.h>
#include <vanillalift/endpoint_link.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillalift::jobs {

enum class RunPhase : uint8_t {
    /// The placement is not committed yet; no request has been sent.
    Committing,
    /// A start request has been or will be sent; none was accepted yet.
    Starting,
    Running,
    /// The end is known but not committed yet. Uses no capacity.
    Ended,
    RunPhaseCount,
};

/// The leader's view of one run.
struct Run {
    RunKey key;
    std::string jobId;
    std::string workspace;
    /// Pool of the endpoint when the run was placed.
    std::string service;
    RunPhase phase = RunPhase::Committing;
    /// Resources counted against the endpoint's capacity.
    Resources need;
    /// Resources counted against the workspace's limit.
    Resources workspaceNeed;
    bool isLongRunning = false;
    bool isBestEffort = false;
    bool savesProgress = false;
    /// Whether a speculative copy is allowed, and whether one should be placed.
    bool allowsSpeculativeCopy = false;
    bool wantsSpeculativeCopy = false;
    uint32_t latencyTargetMs = 0;
    uint32_t estimateMs = 0;
    /// Possible crashes under the task when the run was placed, and whether it is started apart from others because of them.
    uint32_t crashes = 0;
    bool isIsolated = false;
    /// A start request timed out: the endpoint may still carry it out.
    bool hasUnansweredStart = false;
    /// The connection of a start request broke before its deadline: the endpoint was running and has probably received it.
    bool wasStartInterrupted = false;
    TimePoint unansweredSince;
    bool isRequestPending = false;
    /// The run has to be stopped here.
    bool mustStop = false;
    /// Placed by an earlier leader: its state is unknown until the endpoint reports its runs.
    bool isInherited = false;
    /// Like isInherited, but never cleared: a stop request of the earlier leader may still be in transit.
    bool wasInherited = false;
    std::string ticket;
    TimePoint placedAt;
    TimePoint nextRunRequestAt;
    /// When the endpoint answered a start or stop request for the run, or first reported it: a reply without the run to a status
    /// request sent later proves that the run has ended.
    TimePoint knownToEndpointAt;
    TimePoint startedAt;
    uint32_t percent = 0;
    TimePoint progressAt;
    /// See RunningRunReport::metricValue.
    int64_t metricValue = 0;
    /// Send time of the newest status request whose reply includes the run: the reported state is not older than that.
    TimePoint reportedAt;
    std::string checkpoint;
    /// Checkpoint with which it was started.
    std::string resumedFrom;
    uint32_t speedPercent = 100;
    uint32_t targetSpeedPercent = 100;
    bool isThrottlePending = false;
    /// Since when a latency-sensitive task has exceeded its latency bound; the epoch if it does not.
    TimePoint overTargetSince;

    /// Since when every report in this leader's term has shown the run available; the epoch if the newest did not.
    TimePoint availableSince;

    /// @returns whether a start, stop or throttle request has to be sent.
    [[nodiscard]] bool isRequestDue(TimePoint now) const
    {
        bool isThrottleDue = speedPercent != targetSpeedPercent && !isThrottlePending;
        bool isNeeded = phase == RunPhase::Starting || (phase == RunPhase::Running && (mustStop || isThrottleDue));
        return isNeeded && !isRequestPending && now >= nextRunRequestAt;
    }
    /// @returns whether the newest report proves that the run is available: a run that an earlier leader has asked to stop is
    /// still reported for a while, and an old report proves nothing.
    [[nodiscard]] bool isConfirmedAvailable(TimePoint now) const;
};

/// A reading of an endpoint's clock.
struct ClockSample {
    int64_t clockMs = 0;
    /// Arrival time of the sample on the local clock: from then on, the endpoint's clock is at or past clockMs.
    TimePoint receivedAt;
};

/// Why the leader has asked for an endpoint's removal.
enum class RemovalReason : uint8_t {
    None,
    /// It has deregistered.
    Left,
    /// Neither heartbeats nor replies arrive.
    Silent,
    /// Another incarnation answers at its address.
    Replaced,
    /// No service of the configuration has its name.
    UnknownService,
    /// Its instance is in another pool.
    Moved,
};

/// The leader's view of one endpoint.
struct EndpointSession {
    Endpoint endpoint;
    std::unique_ptr<EndpointLink> link;
    std::map<RunKey, Run> runs;
    /// Total resource need of the runs that have not ended.
    Resources used;
    /// The part of it that long-running tasks need.
    Resources usedByLongRunning;
    /// Room that is held for long-running tasks that are to move here, see RoomHold.
    Resources heldRoom;
    /// Number of these runs that are latency-sensitive, and that are best-effort.
    uint32_t latencySensitiveRuns = 0;
    uint32_t bestEffortRuns = 0;
    /// Number of these runs under whose tasks endpoints may have crashed, and of all of them.
    uint32_t suspectRuns = 0;
    uint32_t liveRuns = 0;
    /// Number of these runs that are long-running.
    uint32_t runsOfLongRunningTasks = 0;
    /// No start is to be added until then: an isolated task has just been started, or is to be started.
    TimePoint reservedUntil;
    /// Room that is kept for a large task, and from when there may be another one after it was given up.
    std::optional<Reservation> reservation;
    TimePoint reservableFrom;
    /// When a run was last placed or its start accepted.
    TimePoint lastStartAt;
    /// The endpoint has reported its runs in this leader's term, and they were compared with the store.
    bool isReconciled = false;
    /// When this first happened for the current incarnation.
    TimePoint reconciledAt;
    std::optional<ClockSample> clock;
    /// When this leader first knew of the current incarnation.
    TimePoint knownSince;
    TimePoint lastHeartbeatAt;
    TimePoint lastReplyAt;
    uint64_t lastHeartbeatSequence = 0;
    bool isRegistrationPending = false;
    /// A later incarnation with this id has answered or reported itself and is not recorded yet: nothing that belongs to the recorded
    /// one is sent to it, neither a lease by its clock nor an acknowledgement of its run ends.
    bool isSuperseded = false;
    /// Capacity in the newest heartbeat of this incarnation in this leader's term, which may not be committed yet; nothing without
    /// one. An earlier leader may have known of a smaller capacity.
    std::optional<Resources> reportedCapacity;
    /// When that heartbeat arrived, and the endpoint's clock when it was sent, in milliseconds.
    TimePoint capacityReportedAt;
    std::optional<int64_t> capacityClockMs;
    /// Until when it is slow by that heartbeat, and for how long at most by those of this incarnation.
    TimePoint warmAt;
    Duration coldTime {};
    /// Resources of runs that the endpoint lists but the store does not: they are being stopped.
    Resources strayUse;
    /// The endpoint refuses starts that exceed its capacity.
    bool guardsCapacity = false;
    /// When all runs there have ended unless the lease is renewed.
    TimePoint leaseEndsAt;
    /// Send time of the newest request that carried a lease and was not answered; the epoch if there is none. The next incarnation
    /// with this id may carry it out.
    TimePoint unansweredLeaseAt;
    /// A status request with a lease is pending.
    bool isLeasePending = false;
    /// Start, stop and throttle requests without a reply so far.
    size_t pendingRunRequests = 0;
    bool isStatusRequestPending = false;
    TimePoint statusRequestSentAt;
    TimePoint nextStatusRequestAt;
    uint32_t unansweredStatusRequests = 0;
    /// When the first of these failed.
    TimePoint silentSince;
    /// One of these failed before its deadline: the connection was reset or refused, so the process may have ended.
    bool isConnectionLost = false;
    /// Tasks recorded as suspects since the endpoint stopped answering.
    std::set<TaskKey> suspects;
    /// An endpoint at the same address crashed recently: until then, tasks that are hit by crashes avoid it.
    TimePoint unstableUntil;
    /// Until then the endpoint answers status requests after a short wait: a decision needs its current runs.
    TimePoint freshStatusUntil;
    /// Highest number of a run end that was processed, and the number up to which all ends are committed.
    uint64_t lastEndSeen = 0;
    uint64_t lastEndRecorded = 0;
    /// Number up to which an answered status request has acknowledged run ends, so that the endpoint forgets them.
    uint64_t lastEndAcknowledged = 0;
    /// Send time of the newest unanswered status request with an acknowledgement; the epoch if there is none.
    TimePoint unansweredAckAt;
    /// A status request with an acknowledgement is pending.
    bool isAckPending = false;
    /// Until then a delayed acknowledgement for an earlier incarnation with the same id may make this one forget run ends that
    /// were never received: no task is placed.
    TimePoint staleAckUntil;
    /// Run ends that are known but not committed.
    uint32_t uncommittedEnds = 0;
    /// Consecutive failures, and until when no task is placed because of them.
    uint32_t consecutiveFailures = 0;
    TimePoint backoffUntil;
    SpeedEstimate speed;
    /// A wave or a move will take the instance down: no task is placed.
    bool isCordoned = false;
    /// The platform has been asked to take the instance down.
    bool isTakenDown = false;
    /// An open wave has yet to take the instance down.
    bool isDueForMaintenance = false;
    /// Its availability zone is evacuated: no task is started.
    bool isEvacuated = false;
    bool isRemovalPending = false;
    RemovalReason removalReason = RemovalReason::None;
    /// Callers that wait for the acknowledgement of its deregistration, and when they get it even if tasks still run there.
    std::vector<std::function<void()>> deregistrationWaiters;
    TimePoint deregistrationAckDueAt;
    /// The deregistration is proposed and not recorded yet.
    bool isDeregistrationPending = false;

    /// @returns a lower bound of the endpoint's clock at a local time, in milliseconds; nothing without a clock sample.
    [[nodiscard]] std::optional<int64_t> clockAt(TimePoint time) const;
    void addClockSample(int64_t clockMs, TimePoint receivedAt);
    /// @returns whether a request can be sent at once: one queued behind others would use up its timeout before it is sent.
    [[nodiscard]] bool canSendRunRequest() const { return pendingRunRequests < config::maxRunRequestsPerEndpoint; }
    /// @returns the smaller of the recorded and the last reported capacity, separately for each resource.
    [[nodiscard]] Resources usableCapacity() const;
    [[nodiscard]] Resources freeCapacity() const { return usableCapacity() - used - strayUse - heldRoom; }
    /// @returns what would be free if only long-running tasks ran here.
    [[nodiscard]] Resources roomForLongRunningTasks() const { return usableCapacity() - usedByLongRunning - strayUse - heldRoom; }
    /// @returns whether the capacity was reported recently enough for a start that the endpoint would not refuse.
    [[nodiscard]] bool isCapacityCertain(TimePoint now, Duration maxReportAge) const;
    /// @returns whether the newest report shows the run available.
    [[nodiscard]] bool isReportedAvailable(const RunKey& run) const;
    /// @returns whether the run is certainly available: the endpoint answers and has just reported it so.
    [[nodiscard]] bool isConfirmedAvailable(const RunKey& run, TimePoint now) const;
    /// @returns whether any run there has not ended.
    [[nodiscard]] bool hasLiveRuns() const;
    /// @returns whether the endpoint ends soon: it has drained and deregistered. A deregistration names no incarnation, so one without
    /// draining may be a late one of an earlier incarnation.
    [[nodiscard]] bool isAboutToEnd() const { return endpoint.hasDeregistered && endpoint.isDraining; }
    /// Discards the state that belongs to an earlier incarnation.
    /// @param maxLease longest lease that the endpoint accepts.
    void resetIncarnation(TimePoint now, Duration maxLease);
};

} // namespace vanillalift::jobs
