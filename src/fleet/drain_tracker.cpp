#include "drain_tracker_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    using Kind = FleetActionKind;

    FleetAction makeAction(Kind kind, const InstanceModel& it, std::string reason, std::vector<std::string> alternatives = {})
    {
        FleetAction action { .kind = kind, .instance = it.instance.name, .wave = it.status.wave, .pool = it.status.targetPool, .reason = std::move(reason) };
        action.incarnation = it.observation.incarnation;
        action.alternatives = std::move(alternatives);
        return action;
    }

    bool isRollingBack(const FleetModel& model, const InstanceModel& it)
    {
        return std::any_of(model.waves.begin(), model.waves.end(), [&](const Wave& wave) { return wave.name == it.status.wave && wave.phase == WavePhase::RollingBack; });
    }

    bool isPhaseTimedOut(const FleetModel& model, const InstanceModel& it, int64_t timeoutMs)
    {
        return model.nowMs - it.status.phaseSinceMs > timeoutMs;
    }

    std::string seconds(int64_t durationMs)
    {
        return std::to_string(durationMs / 1000) + " s";
    }

    /// @returns whether the platform's report covers the instance's last action that required a call to it.
    bool isPlatformCurrent(const InstanceModel& it)
    {
        return it.observation.platformActionId >= it.status.actionId;
    }

    bool isAnnouncedServing(const InstanceModel& it)
    {
        return it.observation.isAnnounced && !it.observation.isLeaving;
    }

    /// @returns whether the endpoint's process was started after the planned stop, or needs no restart because its drain was
    /// cancelled, possibly before it took effect.
    bool isNewProcess(const InstanceModel& it)
    {
        return it.status.action == Kind::CancelDrain || it.observation.incarnation > it.status.incarnation;
    }

} // namespace

std::string DrainTracker::unmetDrainCondition(const InstanceModel& instance)
{
    const auto& seen = instance.observation;
    if (!seen.isDrainApplied)
        return "not all entries with a lease have applied the drain";
    if (!seen.isInFlightKnown)
        return "not all entries with a lease have reported their requests in flight";
    if (seen.inFlight != 0)
        return std::to_string(seen.inFlight) + " requests are in flight";
    if (!isPlatformCurrent(instance) || seen.platform != PlatformState::Drained)
        return "the platform has not confirmed the drain";
    return {};
}

std::optional<FleetAction> DrainTracker::actionWhenDraining(const FleetModel& model, const InstanceModel& it) const
{
    if (isRollingBack(model, it))
        return makeAction(Kind::CancelDrain, it, "the wave is being rolled back", { "finish the drain and reboot" });
    auto unmet = unmetDrainCondition(it);
    if (unmet.empty())
        return makeAction(Kind::ConfirmDrained, it, "the drain is applied on all entries, no requests are in flight, and the platform confirms the drain");
    if (isPhaseTimedOut(model, it, m_options.drainTimeoutMs))
        return makeAction(Kind::CancelDrain, it, "not drained within " + seconds(m_options.drainTimeoutMs) + ": " + unmet, { "keep waiting", "abort the running requests" });
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::actionWhenDrained(const FleetModel& model, const InstanceModel& it) const
{
    if (isRollingBack(model, it))
        return makeAction(Kind::CancelDrain, it, "the wave is being rolled back", { "reboot" });
    if (!it.status.targetPool.empty())
        return makeAction(Kind::ChangePool, it, "drained for the move to pool \"" + it.status.targetPool + "\"");
    return makeAction(Kind::BeginReboot, it, "drained for wave \"" + it.status.wave + "\"");
}

std::optional<FleetAction> DrainTracker::actionWhenRebooting(const FleetModel& model, const InstanceModel& it) const
{
    if (isPlatformCurrent(it) && it.observation.platform == PlatformState::Up)
        return makeAction(Kind::AwaitReturn, it, "the platform reports the reboot as complete");
    if (isPlatformCurrent(it) && it.observation.platform == PlatformState::Broken)
        return makeAction(Kind::Fail, it, "the platform reports the instance as broken after the reboot");
    if (isPhaseTimedOut(model, it, m_options.rebootTimeoutMs))
        return makeAction(Kind::Fail, it, "reboot not completed within " + seconds(m_options.rebootTimeoutMs), { "keep waiting" });
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::actionWhenReturning(const FleetModel& model, const InstanceModel& it) const
{
    const auto& seen = it.observation;
    bool isUp = isPlatformCurrent(it) && seen.platform == PlatformState::Up;
    if (isPlatformCurrent(it) && seen.platform == PlatformState::Broken)
        return makeAction(Kind::Fail, it, "the platform reports the instance as broken on its return");
    if (isUp && model.poolOf(it).isSpare())
        return makeAction(Kind::FinishReturn, it, "the platform reports the instance as healthy in the spare pool");
    if (isUp && isAnnouncedServing(it) && isNewProcess(it)) {
        if (seen.address == it.instance.address)
            return makeAction(Kind::FinishReturn, it, "announced by a new process, and the platform reports the instance as healthy");
        auto action = makeAction(Kind::SetAddress, it, "returned under the address " + seen.address + " instead of " + it.instance.address, { "fail the instance" });
        action.address = seen.address;
        return action;
    }
    if (isPhaseTimedOut(model, it, m_options.returnTimeoutMs))
        return makeAction(Kind::Fail, it, "not announced again within " + seconds(m_options.returnTimeoutMs), { "keep waiting" });
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::actionWhenFailed(const FleetModel& model, const InstanceModel& it) const
{
    const auto& seen = it.observation;
    bool isSpare = model.poolOf(it).isSpare();
    bool isDrained = it.status.drainRevision != 0 && seen.platform == PlatformState::Drained;
    if (isDrained)
        return makeAction(Kind::CancelDrain, it, "the platform reports the failed instance as drained", { "keep it out of service until an operator replaces it" });
    // No newer incarnation is required: the same process is healthy again if the platform refused the drain, or if the network
    // lost its announcements.
    bool isHealthy = seen.platform == PlatformState::Up && (isSpare || isAnnouncedServing(it));
    // The stability period keeps out a process that restarts repeatedly.
    bool isStable = isSpare ? isPhaseTimedOut(model, it, m_options.absenceTimeoutMs) : model.nowMs - seen.announcementChangedMs >= m_options.absenceTimeoutMs;
    if (!isHealthy || !isStable)
        return std::nullopt;
    if (isSpare || seen.address == it.instance.address)
        return makeAction(Kind::Recover, it, "healthy again for " + seconds(m_options.absenceTimeoutMs), { "keep it out of service until an operator replaces it" });
    auto action = makeAction(Kind::SetAddress, it, "healthy again under the address " + seen.address);
    action.address = seen.address;
    return action;
}

std::optional<FleetAction> DrainTracker::actionWhenServing(const FleetModel& model, const InstanceModel& it) const
{
    const auto& seen = it.observation;
    if (seen.platform == PlatformState::Broken)
        return makeAction(Kind::Fail, it, "the platform reports the instance as broken");
    bool isAbsent = !model.poolOf(it).isSpare() && !seen.isAnnounced && seen.announcementChangedMs != 0 && model.nowMs - seen.announcementChangedMs >= m_options.absenceTimeoutMs;
    if (isAbsent)
        return makeAction(Kind::Fail, it, "not announced for " + seconds(m_options.absenceTimeoutMs));
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::nextAction(const FleetModel& model, const InstanceModel& it) const
{
    switch (it.status.phase) {
    case InstancePhase::Draining:
        return actionWhenDraining(model, it);
    case InstancePhase::Drained:
        return actionWhenDrained(model, it);
    case InstancePhase::Rebooting:
        return actionWhenRebooting(model, it);
    case InstancePhase::Returning:
        return actionWhenReturning(model, it);
    case InstancePhase::Failed:
        return actionWhenFailed(model, it);
    case InstancePhase::Serving:
    case InstancePhase::InstancePhaseCount:
        break;
    }
    return actionWhenServing(model, it);
}

std::vector<FleetAction> DrainTracker::plan(const FleetModel& model) const
{
    std::vector<FleetAction> actions;
    for (const auto& it : model.instances) {
        if (auto action = nextAction(model, it))
            actions.push_back(std::move(*action));
    }
    return actions;
}

} // namespace vanillalift
