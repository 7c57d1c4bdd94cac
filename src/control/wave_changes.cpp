#include "change_applier_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    /// Maximum number of waves. Closed waves are kept up to this number, so that operators can look them up.
    constexpr size_t maxWaves = 64;

    std::string unknownWaveReason(const std::string& name) { return "there is no wave \"" + name + "\""; }

    void removeOldestClosedWave(std::vector<Wave>& waves)
    {
        auto isClosed = [](const Wave& it) { return !it.isOpen(); };
        auto oldest = std::find_if(waves.begin(), waves.end(), isClosed);
        if (waves.size() >= maxWaves && oldest != waves.end())
            waves.erase(oldest);
    }

} // namespace

std::string ChangeApplier::operator()(const StartWave& change)
{
    auto& fleet = m_state.m_fleet;
    if (fleet.findWave(change.name))
        return "a wave \"" + change.name + "\" was started before";
    if (change.pools.empty())
        return "the wave names no pool";
    Wave wave { change.name, change.pools, change.deadlineMs };
    for (const auto& pool : change.pools) {
        if (!m_state.m_pools.contains(pool))
            return "there is no pool \"" + pool + "\"";
        if (const auto* other = findOpenWave(pool))
            return "wave \"" + other->name + "\" covers pool \"" + pool + "\"";
    }
    for (const auto& [name, instance] : m_state.m_instances) {
        if (std::find(change.pools.begin(), change.pools.end(), instance.pool) != change.pools.end())
            wave.pending.push_back(name);
    }
    removeOldestClosedWave(fleet.waves);
    if (fleet.waves.size() >= maxWaves)
        return "too many waves are open (" + std::to_string(maxWaves) + ")";
    fleet.waves.push_back(std::move(wave));
    return {};
}

std::string ChangeApplier::operator()(const HaltWave& change)
{
    auto* wave = m_state.m_fleet.findWave(change.name);
    if (!wave)
        return unknownWaveReason(change.name);
    if (wave->phase != WavePhase::Running)
        return "the wave is " + std::string(wavePhaseName(wave->phase));
    wave->phase = WavePhase::Halted;
    wave->reason = "halted by an operator";
    return {};
}

std::string ChangeApplier::operator()(const ResumeWave& change)
{
    auto* wave = m_state.m_fleet.findWave(change.name);
    if (!wave)
        return unknownWaveReason(change.name);
    if (wave->phase != WavePhase::Halted)
        return "the wave is " + std::string(wavePhaseName(wave->phase));
    wave->phase = WavePhase::Running;
    wave->reason.clear();
    wave->outcomesBeforeResume = wave->outcomes.size();
    wave->maxBatchSize = 1;
    return {};
}

std::string ChangeApplier::operator()(const RollBackWave& change)
{
    auto* wave = m_state.m_fleet.findWave(change.name);
    if (!wave)
        return unknownWaveReason(change.name);
    if (!wave->isOpen())
        return "the wave is " + std::string(wavePhaseName(wave->phase));
    wave->phase = WavePhase::RollingBack;
    wave->reason = "rolled back by an operator";
    return {};
}

std::string ChangeApplier::operator()(const DrainStarted& /*change*/)
{
    return "only the control leader starts drains";
}

std::string ChangeApplier::operator()(const DrainEnded& /*change*/)
{
    return "only the control leader ends drains";
}

const Wave* ChangeApplier::findOpenWave(const std::string& pool) const
{
    for (const auto& it : m_state.m_fleet.waves) {
        if (it.isOpen() && std::find(it.pools.begin(), it.pools.end(), pool) != it.pools.end())
            return &it;
    }
    return nullptr;
}

std::string ChangeApplier::instanceBusyReason(const std::string& instance) const
{
    auto status = m_state.m_fleet.statusOf(instance);
    bool isBusy = status.phase != InstancePhase::Serving && status.phase != InstancePhase::Failed;
    return isBusy ? "the instance is " + std::string(phaseName(status.phase)) : std::string();
}

void ChangeApplier::removeFromFleetState(const std::string& instance)
{
    m_state.m_fleet.statuses.erase(instance);
    for (auto& it : m_state.m_fleet.waves)
        std::erase(it.pending, instance);
}

} // namespace vanillalift
