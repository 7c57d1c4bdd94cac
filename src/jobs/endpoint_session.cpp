#include "endpoint_session_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <array>

namespace vanillalift::jobs {

namespace {

    /// Longest time after which an endpoint may still carry out an unanswered request.
    constexpr std::chrono::milliseconds maxRequestDelay { 12000 };
    /// Time for which a report proves a task available. An endpoint may fail at any time without a sign, and the platform counts
    /// its tasks as unavailable from then on; endpoints whose reports are needed answer 60 ms after each request.
    constexpr std::chrono::milliseconds reportFreshness { 160 };

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
    bool isReported = phase == RunPhase::Running && !mustStop && availableSince != TimePoint {};
    Duration confirmationTime = wasInherited ? config::availabilityConfirmation : Duration::zero();
    return isReported && now - availableSince >= confirmationTime && now - reportedAt <= reportFreshness;
}

std::optional<int64_t> EndpointSession::clockAt(TimePoint time) const
{
    if (!clock)
        return std::nullopt;
    auto elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(time - clock->receivedAt).count();
    return clock->clockMs + static_cast<int64_t>(static_cast<double>(elapsedMs) * (1 - config::maxClockDrift));
}

void EndpointSession::addClockSample(int64_t clockMs, TimePoint receivedAt)
{
    auto lowerBound = clockAt(receivedAt);
    if (!lowerBound || clockMs >= *lowerBound)
        clock = ClockSample { clockMs, receivedAt };
}

Resources EndpointSession::usableCapacity() const
{
    const auto& recorded = endpoint.capacity;
    if (!reportedCapacity)
        return recorded;
    return { std::min(recorded.cpu, reportedCapacity->cpu), std::min(recorded.memory, reportedCapacity->memory), std::min(recorded.gpus, reportedCapacity->gpus) };
}

bool EndpointSession::isCapacityCertain(TimePoint now, Duration maxReportAge) const
{
    if (guardsCapacity)
        return true;
    if (!reportedCapacity || now - capacityReportedAt > maxReportAge)
        return false;
    // A heartbeat may have been under way for long.
    auto clockMs = clockAt(now);
    return !clockMs || !capacityClockMs || std::chrono::milliseconds(*clockMs - *capacityClockMs) <= maxReportAge;
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

void EndpointSession::resetIncarnation(TimePoint now, Duration maxLease)
{
    bool isStartPending = std::any_of(runs.begin(), runs.end(), [](const auto& it) { return it.second.isRequestPending && it.second.phase == RunPhase::Starting; });
    if (isLeasePending || isStartPending)
        unansweredLeaseAt = now;
    // The next incarnation limits a lease by the earlier clock to the longest one, counted from when it carries out the request.
    auto lateLeaseEnd = unansweredLeaseAt == TimePoint {} ? now : unansweredLeaseAt + maxRequestDelay;
    leaseEndsAt = std::max(now, lateLeaseEnd) + maxLease;
    isLeasePending = false;
    if (isAckPending)
        unansweredAckAt = now;
    if (unansweredAckAt != TimePoint {})
        staleAckUntil = unansweredAckAt + maxRequestDelay;
    isAckPending = false;
    isReconciled = false;
    knownSince = now;
    isSuperseded = false;
    isConnectionLost = false;
    silentSince = {};
    suspects.clear();
    reconciledAt = {};
    clock.reset();
    lastHeartbeatSequence = 0;
    isDeregistrationPending = false;
    deregistrationAckDueAt = {};
    reportedCapacity.reset();
    warmAt = {};
    coldTime = {};
    capacityClockMs.reset();
    strayUse = {};
    lastEndSeen = 0;
    lastEndRecorded = 0;
    lastEndAcknowledged = 0;
    consecutiveFailures = 0;
    backoffUntil = {};
    speed = {};
}

} // namespace vanillalift::jobs
