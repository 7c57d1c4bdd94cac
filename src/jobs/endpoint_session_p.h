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
    Resources share;
    bool isLongRunning = false;
    bool isBestEffort = false;
    bool savesProgress = false;
    /// A second copy may run at the same time; one is wanted.
    bool allowsSpeculativeCopy = false;
    bool wantsCopy = false;
    uint32_t latencyTargetMs = 0;
    uint32_t estimateMs = 0;
    /// An order to start it had no answer: a copy of that order may still be carried out.
    bool hasUnansweredStart = false;
    TimePoint unansweredSince;
    bool isOrderOut = false;
    /// The run has to end here.
    bool mustStop = false;
    /// Placed by an earlier leader: what became of it is unknown until the endpoint lists its runs.
    bool isInherited = false;
    /// Stays set: the earlier leader's order to stop it may be under way.
    bool wasInherited = false;
    std::string ticket;
    TimePoint placedAt;
    TimePoint nextOrderAt;
    /// Since when a list that lacks the run proves its end: an accepted start or stop.
    TimePoint settledAt;
    TimePoint startedAt;
    uint32_t percent = 0;
    TimePoint progressAt;
    int64_t figure = 0;
    /// When the newest request was sent whose answer lists it: the list is not older than that.
    TimePoint listedAt;
    std::string checkpoint;
    /// Checkpoint with which it was started.
    std::string resumedFrom;
    uint32_t pacePercent = 100;
    uint32_t wantedPacePercent = 100;
    bool isPaceOut = false;
    /// Since when a serving task has been over its latency bound; the epoch if it is not.
    TimePoint overTargetSince;

    /// Since when each list in this leader's term has shown it at work; the epoch if the newest did not.
    TimePoint atWorkSince;

    /// Whether the newest list certainly shows it at work: a run that an earlier leader has ordered to stop is still listed
    /// for a while, and an old list proves nothing.
    [[nodiscard]] bool isSurelyAtWork(TimePoint now) const;
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
    uint32_t latencySensitiveRuns = 0;
    uint32_t bestEffortRuns = 0;
    /// The endpoint has listed its runs in this leader's term.
    bool isConfirmed = false;
    /// When it has first done so, for its present life.
    TimePoint confirmedAt;
    std::optional<ClockSample> clock;
    TimePoint lastBeatAt;
    TimePoint lastAnswerAt;
    uint64_t lastBeatSequence = 0;
    bool isRegistrationOut = false;
    /// By when everything there has ended unless the lease is extended.
    TimePoint leaseEndsAt;
    /// Orders without an answer so far.
    size_t ordersOut = 0;
    bool isHoldOut = false;
    TimePoint holdSentAt;
    TimePoint nextHoldAt;
    uint32_t unansweredHolds = 0;
    /// Until then status requests wait for a short time only: a decision needs to know what runs there now.
    TimePoint freshUntil;
    /// Highest number of an end that was processed, and up to which all ends are recorded.
    uint64_t endsSeen = 0;
    uint64_t endsRecorded = 0;
    /// Up to which an answered request has told the endpoint to forget its ends.
    uint64_t endsForgotten = 0;
    /// Send time of the newest request of that kind without an answer; the epoch if there is none.
    TimePoint unansweredForgetAt;
    /// A request that tells the endpoint to forget ends is out.
    bool isForgetOut = false;
    /// Until then a request meant for an earlier life under the same id may still make this one forget ends that nobody has
    /// seen: nothing is placed.
    TimePoint staleForgetUntil;
    uint32_t endsWaiting = 0;
    /// Failures in a row, and until when no task is placed because of them.
    uint32_t failuresInRow = 0;
    TimePoint suspectUntil;
    SpeedEstimate speed;
    /// A wave or a move will take the instance down.
    bool isLeaving = false;
    bool isRemovalOut = false;

    /// @returns the endpoint's clock at least this early at a moment of ours: never ahead of the true one.
    [[nodiscard]] std::optional<int64_t> clockAt(TimePoint moment) const;
    void addClockSample(int64_t clockMs, TimePoint receivedAt);
    /// An order that waits behind others would use up its time limit before it is sent.
    [[nodiscard]] bool mayOrder() const { return ordersOut < config::maxOrdersPerEndpoint; }
    [[nodiscard]] Resources free() const { return endpoint.capacity - used; }
    /// Whether the newest list shows a run at work.
    [[nodiscard]] bool isListedAtWork(const RunKey& run) const;
    /// Whether a run is certainly at work: the endpoint has just listed it so, and answers.
    [[nodiscard]] bool isSurelyAtWork(const RunKey& run, TimePoint now) const;
    /// Whether runs that are not ended are there.
    [[nodiscard]] bool hasLiveRuns() const;
    /// Forgets what was known of an earlier life.
    void resetLife(TimePoint now);
};

} // namespace vanillalift::jobs
