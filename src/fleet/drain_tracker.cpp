#include "drain_tracker_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    using Kind = FleetActionKind;

    FleetAction make(Kind kind, const InstanceModel& it, std::string reason, std::vector<std::string> alternatives = {})
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

    bool isOver(const FleetModel& model, const InstanceModel& it, int64_t limitMs)
    {
        return model.nowMs - it.status.phaseSinceMs > limitMs;
    }

    std::string seconds(int64_t limitMs)
    {
        return std::to_string(limitMs / 1000) + " s";
    }

    /// @returns whether the platform reports on the action that began the current phase, or a later one.
    bool isPlatformCurrent(const InstanceModel& it)
    {
        return it.observation.platformActionId >= it.status.actionId;
    }

    bool isAnnouncedServing(const InstanceModel& it)
    {
        return it.observation.isAnnounced && !it.observation.isLeaving;
    }

    /// @returns whether the endpoint is a process started after the stop. A drain that was called back before it took
    /// effect needs no restart.
    bool isNewProcess(const InstanceModel& it)
    {
        return it.status.action == Kind::CancelDrain || it.observation.incarnation > it.status.incarnation;
    }

} // namespace

std::string DrainTracker::unmetDrainCondition(const InstanceModel& instance)
{
    const auto& seen = instance.observation;
    if (!seen.isDrainApplied)
        return "the drain is not in force on each entry with a lease";
    if (!seen.isInFlightKnown)
        return "an entry with a lease has not reported its requests in flight";
    if (seen.inFlight != 0)
        return std::to_string(seen.inFlight) + " requests are in flight";
    if (!isPlatformCurrent(instance) || seen.platform != PlatformState::Drained)
        return "the platform has not confirmed the drain";
    return {};
}

std::optional<FleetAction> DrainTracker::actionWhenDraining(const FleetModel& model, const InstanceModel& it) const
{
    if (isRollingBack(model, it))
        return make(Kind::CancelDrain, it, "the wave is rolled back", { "finish the drain and reboot" });
    auto missing = unmetDrainCondition(it);
    if (missing.empty())
        return make(Kind::ConfirmDrained, it, "the drain is in force, nothing is in flight, and the platform confirms it");
    if (isOver(model, it, m_options.drainTimeoutMs))
        return make(Kind::CancelDrain, it, "not drained within " + seconds(m_options.drainTimeoutMs) + ": " + missing, { "wait on", "stop what still runs" });
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::actionWhenDrained(const FleetModel& model, const InstanceModel& it) const
{
    if (isRollingBack(model, it))
        return make(Kind::CancelDrain, it, "the wave is rolled back", { "reboot" });
    if (!it.status.targetPool.empty())
        return make(Kind::ChangePool, it, "drained for the move to pool \"" + it.status.targetPool + "\"");
    return make(Kind::BeginReboot, it, "drained for wave \"" + it.status.wave + "\"");
}

std::optional<FleetAction> DrainTracker::actionWhenRebooting(const FleetModel& model, const InstanceModel& it) const
{
    if (isPlatformCurrent(it) && it.observation.platform == PlatformState::Up)
        return make(Kind::AwaitReturn, it, "the platform reports the reboot as complete");
    if (isPlatformCurrent(it) && it.observation.platform == PlatformState::Broken)
        return make(Kind::Fail, it, "broken after the reboot");
    if (isOver(model, it, m_options.rebootTimeoutMs))
        return make(Kind::Fail, it, "not back from the reboot within " + seconds(m_options.rebootTimeoutMs), { "wait on" });
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::actionWhenReturning(const FleetModel& model, const InstanceModel& it) const
{
    const auto& seen = it.observation;
    bool isUp = isPlatformCurrent(it) && seen.platform == PlatformState::Up;
    if (isPlatformCurrent(it) && seen.platform == PlatformState::Broken)
        return make(Kind::Fail, it, "returned broken");
    if (isUp && model.poolOf(it).isSpare())
        return make(Kind::FinishReturn, it, "the platform reports it healthy in the spare pool");
    if (isUp && isAnnouncedServing(it) && isNewProcess(it)) {
        if (seen.address == it.instance.address)
            return make(Kind::FinishReturn, it, "announced by a new process, and the platform reports it healthy");
        auto action = make(Kind::SetAddress, it, "returned under the address " + seen.address + " instead of " + it.instance.address, { "fail the instance" });
        action.address = seen.address;
        return action;
    }
    if (isOver(model, it, m_options.returnTimeoutMs))
        return make(Kind::Fail, it, "not announced again within " + seconds(m_options.returnTimeoutMs), { "wait on" });
    return std::nullopt;
}

std::optional<FleetAction> DrainTracker::actionWhenFailed(const FleetModel& model, const InstanceModel& it) const
{
    const auto& seen = it.observation;
    bool isSpare = model.poolOf(it).isSpare();
    bool isKnownStopped = it.status.drainRevision != 0 && seen.platform == PlatformState::Drained;
    if (isKnownStopped)
        return make(Kind::CancelDrain, it, "the platform holds it drained", { "leave it out until an operator replaces it" });
    // The same process may be back: the platform refused the drain, or the network lost its announcements.
    bool isBack = seen.platform == PlatformState::Up && (isSpare || isAnnouncedServing(it));
    // A process that restarts again and again is not back.
    bool isStable = isSpare ? isOver(model, it, m_options.absenceTimeoutMs) : model.nowMs - seen.announcementChangedMs >= m_options.absenceTimeoutMs;
    if (!isBack || !isStable)
        return std::nullopt;
    if (isSpare || seen.address == it.instance.address)
        return make(Kind::Recover, it, "healthy again for " + seconds(m_options.absenceTimeoutMs), { "leave it out until an operator replaces it" });
    auto action = make(Kind::SetAddress, it, "repaired under the address " + seen.address);
    action.address = seen.address;
    return action;
}

std::optional<FleetAction> DrainTracker::actionWhenServing(const FleetModel& model, const InstanceModel& it) const
{
    const auto& seen = it.observation;
    if (seen.platform == PlatformState::Broken)
        return make(Kind::Fail, it, "the platform reports it broken");
    bool isGone = !model.poolOf(it).isSpare() && !seen.isAnnounced && seen.announcementChangedMs != 0 && model.nowMs - seen.announcementChangedMs >= m_options.absenceTimeoutMs;
    if (isGone)
        return make(Kind::Fail, it, "not announced for " + seconds(m_options.absenceTimeoutMs));
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
