#include "endpoint_session_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <array>

namespace vanillalift::jobs {

namespace {

    /// Longest time after which an endpoint carries out a request that had no answer.
    constexpr std::chrono::milliseconds longestOrderDelay { 12000 };
    /// A list proves a task at work for this long. An endpoint may fail at any moment without a sign, and the platform counts
    /// the task as away from then on; endpoints whose lists are needed send one 60 ms after each request.
    constexpr std::chrono::milliseconds atWorkFreshness { 160 };

} // namespace

std::string_view endpointReplyStatusName(EndpointReplyStatus status)
{
    constexpr std::array<std::string_view, static_cast<size_t>(EndpointReplyStatus::EndpointReplyStatusCount)> names {
        "accepted", "fenced", "superseded", "lease-ended", "no-room", "ticket-invalid", "unhealthy", "wrong-instance", "malformed", "not-sent", "unknown"
    };
    return names.at(static_cast<size_t>(status));
}

std::string_view instanceReplyStatusName(InstanceReplyStatus status)
{
    constexpr std::array<std::string_view, static_cast<size_t>(InstanceReplyStatus::InstanceReplyStatusCount)> names {
        "accepted", "fenced", "busy", "not-of-wave", "impossible", "rate-limited", "not-sent", "unknown"
    };
    return names.at(static_cast<size_t>(status));
}

bool Run::isConfirmedAvailable(TimePoint now) const
{
    bool isSeen = phase == RunPhase::Running && !mustStop && availableSince != TimePoint {};
    Duration confirmation = wasInherited ? config::availabilityConfirmation : Duration::zero();
    return isSeen && now - availableSince >= confirmation && now - reportedAt <= atWorkFreshness;
}

std::optional<int64_t> EndpointSession::clockAt(TimePoint moment) const
{
    if (!clock)
        return std::nullopt;
    auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(moment - clock->receivedAt).count();
    return clock->clockMs + static_cast<int64_t>(static_cast<double>(passed) * (1 - config::maxClockDrift));
}

void EndpointSession::addClockSample(int64_t clockMs, TimePoint receivedAt)
{
    auto known = clockAt(receivedAt);
    if (!known || clockMs >= *known)
        clock = ClockSample { clockMs, receivedAt };
}

bool EndpointSession::isReportedAvailable(const RunKey& run) const
{
    auto it = runs.find(run);
    return it != runs.end() && unansweredStatusRequests == 0 && it->second.phase == RunPhase::Running && !it->second.mustStop && it->second.availableSince != TimePoint {};
}

bool EndpointSession::isConfirmedAvailable(const RunKey& run, TimePoint now) const
{
    auto it = runs.find(run);
    return it != runs.end() && unansweredStatusRequests == 0 && it->second.isConfirmedAvailable(now);
}

bool EndpointSession::hasLiveRuns() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& it) { return it.second.phase != RunPhase::Ended; });
}

void EndpointSession::resetIncarnation(TimePoint now)
{
    if (isAckPending)
        unansweredAckAt = now;
    if (unansweredAckAt != TimePoint {})
        staleAckUntil = unansweredAckAt + longestOrderDelay;
    isAckPending = false;
    isReconciled = false;
    reconciledAt = {};
    clock.reset();
    lastHeartbeatSequence = 0;
    lastEndSeen = 0;
    lastEndRecorded = 0;
    lastEndAcknowledged = 0;
    consecutiveFailures = 0;
    backoffUntil = {};
    speed = {};
}

} // namespace vanillalift::jobs
