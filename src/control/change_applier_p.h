#pragma once

#include <vanillalift/control_state.h>

namespace vanillalift {

/// Checks the references of one change and applies it. The state is untouched if the change is refused.
class ChangeApplier {
public:
    explicit ChangeApplier(ControlState& state)
        : m_state(state)
    {
    }

    /// Each returns the reason for a refusal, or an empty string after the change was applied.
    std::string operator()(const PutProfile& change);
    std::string operator()(const DeleteProfile& change);
    std::string operator()(const PutService& change);
    std::string operator()(const DeleteService& change);
    std::string operator()(const PutTeam& change);
    std::string operator()(const DeleteTeam& change);
    std::string operator()(const GiveKey& change);
    std::string operator()(const WithdrawKey& change);
    std::string operator()(const PutPool& change);
    std::string operator()(const DeletePool& change);
    std::string operator()(const PutInstance& change);
    std::string operator()(const MoveInstance& change);
    std::string operator()(const RemoveInstance& change);
    std::string operator()(const PutOperator& change);
    std::string operator()(const DeleteOperator& change);
    std::string operator()(const RemoveEntry& change);
    std::string operator()(const StartWave& change);
    std::string operator()(const HaltWave& change);
    std::string operator()(const ResumeWave& change);
    std::string operator()(const RollBackWave& change);
    std::string operator()(const DrainStarted& change);
    std::string operator()(const DrainEnded& change);

private:
    [[nodiscard]] size_t adminCountWithout(const std::string& name) const;
    [[nodiscard]] const Wave* findOpenWave(const std::string& pool) const;
    /// @returns why the instance cannot be moved or removed now, or an empty string.
    [[nodiscard]] std::string instanceBusyReason(const std::string& instance) const;
    void removeFromFleetState(const std::string& instance);

    ControlState& m_state;
};

} // namespace vanillalift
