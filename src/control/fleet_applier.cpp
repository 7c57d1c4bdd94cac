#include "fleet_applier_p.h"

#include <algorithm>
#include <array>

namespace vanillalift {

namespace {

    /// Enough for a wave over 550 instances with 6 actions each.
    constexpr size_t maxRecords = 4000;

    constexpr uint8_t phaseBit(InstancePhase phase) { return static_cast<uint8_t>(1U << static_cast<uint8_t>(phase)); }

    struct Transition {
        FleetActionKind kind;
        /// Bit set of the phases in which the action is permitted.
        uint8_t allowedPhases;
        InstancePhase nextPhase;
    };

    using enum InstancePhase;
    constexpr std::array<Transition, 10> transitions { {
        { FleetActionKind::BeginDrain, phaseBit(Serving), Draining },
        { FleetActionKind::CancelDrain, phaseBit(Draining) | phaseBit(Drained) | phaseBit(Failed), Returning },
        { FleetActionKind::ConfirmDrained, phaseBit(Draining), Drained },
        { FleetActionKind::BeginReboot, phaseBit(Drained), Rebooting },
        { FleetActionKind::ChangePool, phaseBit(Drained), Returning },
        { FleetActionKind::AwaitReturn, phaseBit(Rebooting), Returning },
        { FleetActionKind::FinishReturn, phaseBit(Returning), Serving },
        { FleetActionKind::Fail, phaseBit(Serving) | phaseBit(Draining) | phaseBit(Drained) | phaseBit(Rebooting) | phaseBit(Returning), Failed },
        { FleetActionKind::Recover, phaseBit(Failed), Serving },
        { FleetActionKind::SetAddress, phaseBit(Returning) | phaseBit(Failed), Returning },
    } };

    bool callsPlatform(FleetActionKind kind)
    {
        return kind == FleetActionKind::BeginDrain || kind == FleetActionKind::CancelDrain || kind == FleetActionKind::BeginReboot || kind == FleetActionKind::ChangePool;
    }

    const Transition* findTransition(FleetActionKind kind)
    {
        const auto* it = std::find_if(transitions.begin(), transitions.end(), [&](const Transition& transition) { return transition.kind == kind; });
        return it == transitions.end() ? nullptr : it;
    }

} // namespace

FleetApplier::FleetApplier(ControlState& state, const FleetCommand& command)
    : m_state(state)
    , m_fleet(state.m_fleet)
    , m_command(command)
    , m_action(command.action)
{
}

std::optional<FleetErrorCode> FleetApplier::run()
{
    if (m_command.term < m_fleet.term)
        return FleetErrorCode::OldTerm;
    bool isInstanceAction = findTransition(m_action.kind);
    auto error = isInstanceAction ? checkInstance() : applyToWave();
    if (error)
        return error;
    m_fleet.term = m_command.term;
    recordAction();
    if (isInstanceAction)
        applyToInstance();
    return std::nullopt;
}

std::optional<FleetErrorCode> FleetApplier::checkInstance() const
{
    if (!m_state.m_instances.contains(m_action.instance))
        return FleetErrorCode::InstanceUnknown;
    auto status = m_fleet.statusOf(m_action.instance);
    if ((findTransition(m_action.kind)->allowedPhases & phaseBit(status.phase)) == 0)
        return FleetErrorCode::WrongPhase;
    if (m_action.kind == FleetActionKind::BeginDrain)
        return checkBeginDrain();
    bool needsTarget = m_action.kind == FleetActionKind::ChangePool;
    bool forbidsTarget = m_action.kind == FleetActionKind::BeginReboot;
    if ((needsTarget && status.targetPool.empty()) || (forbidsTarget && !status.targetPool.empty()))
        return FleetErrorCode::WrongPhase;
    return std::nullopt;
}

std::optional<FleetErrorCode> FleetApplier::checkBeginDrain() const
{
    if (!m_action.pool.empty() && (!m_state.m_pools.contains(m_action.pool) || m_state.m_instances.at(m_action.instance).pool == m_action.pool))
        return FleetErrorCode::PoolInvalid;
    // A drain is either for a wave (reboot) or for a move, never for both.
    if (m_action.wave.empty() == m_action.pool.empty())
        return m_action.wave.empty() ? FleetErrorCode::PoolInvalid : FleetErrorCode::WaveInvalid;
    if (m_action.wave.empty())
        return std::nullopt;
    const auto* wave = m_fleet.findWave(m_action.wave);
    bool isPending = wave && wave->phase == WavePhase::Running && std::binary_search(wave->pending.begin(), wave->pending.end(), m_action.instance);
    return isPending ? std::nullopt : std::optional(FleetErrorCode::WaveInvalid);
}

std::optional<FleetErrorCode> FleetApplier::applyToWave()
{
    auto* wave = m_fleet.findWave(m_action.wave);
    bool isHalt = m_action.kind == FleetActionKind::HaltWave;
    if (!wave || (isHalt && wave->phase != WavePhase::Running))
        return FleetErrorCode::WaveInvalid;
    bool isComplete = !m_fleet.hasInstancesInProgress(wave->name) && (wave->pending.empty() || wave->phase == WavePhase::RollingBack);
    if (!isHalt && (!wave->isOpen() || !isComplete))
        return FleetErrorCode::WaveInvalid;
    wave->reason = m_action.reason;
    if (isHalt)
        wave->phase = WavePhase::Halted;
    else
        wave->phase = wave->phase == WavePhase::RollingBack ? WavePhase::RolledBack : WavePhase::Finished;
    return std::nullopt;
}

void FleetApplier::applyToInstance()
{
    auto& status = m_fleet.statuses[m_action.instance];
    if (m_action.kind == FleetActionKind::SetAddress) {
        auto instance = m_state.m_instances.at(m_action.instance);
        instance.address = m_action.address;
        m_state.m_instances[instance.name] = instance;
        return recordRevision(PutInstance { instance });
    }
    auto previous = status;
    status.phase = findTransition(m_action.kind)->nextPhase;
    status.phaseSinceMs = m_command.timeMs;
    if (callsPlatform(m_action.kind)) {
        status.actionId = m_fleet.lastActionId;
        status.action = m_action.kind;
    }
    if (m_action.kind == FleetActionKind::CancelDrain)
        status.targetPool.clear();
    if (m_action.kind == FleetActionKind::BeginDrain)
        return beginDrain(status);
    if (m_action.kind == FleetActionKind::ChangePool)
        return changePool(previous);
    if (status.phase == Failed) {
        status.wave.clear();
        return recordOutcome(previous, false);
    }
    if (status.phase != Serving)
        return;
    m_fleet.statuses.erase(m_action.instance);
    endDrain(previous);
    if (m_action.kind == FleetActionKind::FinishReturn)
        recordOutcome(previous, previous.action == FleetActionKind::BeginReboot);
}

void FleetApplier::beginDrain(InstanceStatus& status)
{
    status.wave = m_action.wave;
    status.targetPool = m_action.pool;
    status.incarnation = m_action.incarnation;
    recordRevision(DrainStarted { m_action.instance });
    status.drainRevision = m_state.m_revision;
    if (auto* wave = m_fleet.findWave(m_action.wave))
        std::erase(wave->pending, m_action.instance);
}

void FleetApplier::endDrain(const InstanceStatus& status)
{
    if (status.drainRevision != 0)
        recordRevision(DrainEnded { m_action.instance });
}

void FleetApplier::changePool(const InstanceStatus& status)
{
    auto& instance = m_state.m_instances.at(m_action.instance);
    MoveInstance move { instance.name, instance.pool, status.targetPool };
    instance.pool = status.targetPool;
    recordRevision(move);
}

void FleetApplier::recordOutcome(const InstanceStatus& status, bool isHealthy)
{
    auto* wave = m_fleet.findWave(status.wave);
    // Instances that a rollback returned to service were not maintained, but did not fail either.
    if (!wave || wave->phase == WavePhase::RollingBack)
        return;
    wave->outcomes.push_back({ m_action.instance, m_command.timeMs, isHealthy });
    if (!isHealthy) {
        wave->maxBatchSize = 1;
        wave->hasBatchFailed = true;
    }
    if (m_fleet.hasInstancesInProgress(wave->name))
        return;
    if (!wave->hasBatchFailed)
        wave->maxBatchSize = std::min<int64_t>(wave->maxBatchSize * 2, config::maxInstances);
    wave->hasBatchFailed = false;
}

void FleetApplier::recordRevision(const Change& change)
{
    m_state.appendHistory({ m_state.m_revision + 1, m_command.timeMs, "fleet", "fleet-" + std::to_string(m_fleet.lastActionId), toJson(change) });
}

void FleetApplier::recordAction()
{
    m_fleet.records.push_back({ ++m_fleet.lastActionId, m_command.timeMs, m_command.term, m_action });
    if (m_fleet.records.size() > maxRecords)
        m_fleet.records.pop_front();
}

InstanceStatus FleetState::statusOf(const std::string& instance) const
{
    auto it = statuses.find(instance);
    return it == statuses.end() ? InstanceStatus {} : it->second;
}

const Wave* FleetState::findWave(std::string_view name) const
{
    auto it = std::find_if(waves.begin(), waves.end(), [&](const Wave& wave) { return wave.name == name; });
    return it == waves.end() ? nullptr : &*it;
}

Wave* FleetState::findWave(std::string_view name)
{
    return const_cast<Wave*>(std::as_const(*this).findWave(name));
}

bool FleetState::hasInstancesInProgress(std::string_view wave) const
{
    return std::any_of(statuses.begin(), statuses.end(), [&](const auto& it) { return it.second.wave == wave; });
}

} // namespace vanillalift
