#pragma once

#include "speed_estimate_p.h"

#include <vanillalift/clock.h>
#include <vanillalift/config.h>
#include <vanillalift/endpoint_link.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace vanillalift::jobs {

enum class RunPhase : uint8_t {
    /// The placement is not committed yet; no order has been sent.
    Committing,
    /// An order to start has been or will be sent; none was accepted yet.
    Starting,
    Running,
    /// The end is known and waits for its commit. Holds no capacity.
    Ended,
    RunPhaseCount,
};

/// The leader's view of one run.
struct Run {
    RunKey key;
    std::string jobId;
    std::string workspace;
    RunPhase phase = RunPhase::Committing;
    /// Counted against the endpoint's capacity.
    Resources need;
    /// Counted against the workspace's limit.
    Resources workspaceDemand;
    bool isLasting = false;
    bool isFiller = false;
    bool savesProgress = false;
    /// A second copy may run at the same time; one is wanted.
    bool mayCopy = false;
    bool wantsSpeculativeCopy = false;
    uint32_t targetMs = 0;
    uint32_t estimateMs = 0;
    /// An order to start it had no answer: a copy of that order may still be carried out.
    bool hasUnansweredStart = false;
    TimePoint unansweredSince;
    bool isRequestPending = false;
    /// The run has to end here.
    bool mustStop = false;
    /// Placed by an earlier leader: what became of it is unknown until the endpoint lists its runs.
    bool isInherited = false;
    /// Stays set: the earlier leader's order to stop it may be under way.
    bool wasInherited = false;
    std::string ticket;
    TimePoint placedAt;
    TimePoint nextRunRequestAt;
    /// Since when a list that lacks the run proves its end: an accepted start or stop.
    TimePoint knownToEndpointAt;
    TimePoint startedAt;
    uint32_t percent = 0;
    TimePoint progressAt;
    int64_t metricValue = 0;
    /// When the newest request was sent whose answer lists it: the list is not older than that.
    TimePoint reportedAt;
    std::string checkpoint;
    /// Checkpoint with which it was started.
    std::string resumedFrom;
    uint32_t speedPercent = 100;
    uint32_t targetSpeedPercent = 100;
    bool isThrottlePending = false;
    /// Since when a serving task has been over its latency bound; the epoch if it is not.
    TimePoint overTargetSince;

    /// Since when each list in this leader's term has shown it at work; the epoch if the newest did not.
    TimePoint availableSince;

    /// Whether the newest list certainly shows it at work: a run that an earlier leader has ordered to stop is still listed
    /// for a while, and an old list proves nothing.
    [[nodiscard]] bool isConfirmedAvailable(TimePoint now) const;
};

/// A moment on an endpoint's clock.
struct ClockSample {
    int64_t clockMs = 0;
    /// On our clock, when the sample arrived: the endpoint's clock has not been behind it since.
    TimePoint receivedAt;
};

/// The leader's view of one endpoint.
struct EndpointSession {
    Endpoint endpoint;
    std::unique_ptr<EndpointLink> link;
    std::map<RunKey, Run> runs;
    /// Needs of the runs that have not ended.
    Resources used;
    /// Those of them that serve callers with a latency bound, and those that use what others leave.
    uint32_t servingRuns = 0;
    uint32_t fillerRuns = 0;
    /// The endpoint has listed its runs in this leader's term.
    bool isReconciled = false;
    /// When it has first done so, for its present life.
    TimePoint reconciledAt;
    std::optional<ClockSample> clock;
    TimePoint lastHeartbeatAt;
    TimePoint lastAnswerAt;
    uint64_t lastHeartbeatSequence = 0;
    bool isRegistrationPending = false;
    /// By when everything there has ended unless the lease is extended.
    TimePoint leaseEndsAt;
    /// Orders without an answer so far.
    size_t pendingRunRequests = 0;
    bool isStatusRequestPending = false;
    TimePoint statusRequestSentAt;
    TimePoint nextStatusRequestAt;
    uint32_t unansweredStatusRequests = 0;
    /// Until then status requests wait for a short time only: a decision needs to know what runs there now.
    TimePoint freshStatusUntil;
    /// Highest number of an end that was processed, and up to which all ends are recorded.
    uint64_t lastEndSeen = 0;
    uint64_t lastEndRecorded = 0;
    /// Up to which an answered request has told the endpoint to forget its ends.
    uint64_t lastEndAcknowledged = 0;
    /// Send time of the newest request of that kind without an answer; the epoch if there is none.
    TimePoint unansweredAckAt;
    /// A request that tells the endpoint to forget ends is out.
    bool isAckPending = false;
    /// Until then a request meant for an earlier life under the same id may still make this one forget ends that nobody has
    /// seen: nothing is placed.
    TimePoint staleAckUntil;
    uint32_t uncommittedEnds = 0;
    /// Failures in a row, and until when no task is placed because of them.
    uint32_t consecutiveFailures = 0;
    TimePoint backoffUntil;
    SpeedEstimate speed;
    /// A wave or a move will take the instance down.
    bool isCordoned = false;
    bool isRemovalPending = false;

    /// @returns the endpoint's clock at least this early at a moment of ours: never ahead of the true one.
    [[nodiscard]] std::optional<int64_t> clockAt(TimePoint moment) const;
    void addClockSample(int64_t clockMs, TimePoint receivedAt);
    /// An order that waits behind others would use up its time limit before it is sent.
    [[nodiscard]] bool canSendRunRequest() const { return pendingRunRequests < config::maxRunRequestsPerEndpoint; }
    [[nodiscard]] Resources free() const { return endpoint.capacity - used; }
    /// Whether the newest list shows a run at work.
    [[nodiscard]] bool isReportedAvailable(const RunKey& run) const;
    /// Whether a run is certainly at work: the endpoint has just listed it so, and answers.
    [[nodiscard]] bool isConfirmedAvailable(const RunKey& run, TimePoint now) const;
    /// Whether runs that are not ended are there.
    [[nodiscard]] bool hasLiveRuns() const;
    /// Forgets what was known of an earlier life.
    void resetIncarnation(TimePoint now);
};

} // namespace vanillalift::jobs
