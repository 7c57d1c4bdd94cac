#pragma once

#include <vanillalift/control_state.h>

namespace vanillalift {

/// Validates one change against the state and applies it. The state is not modified if the change is refused.
class ChangeApplier {
public:
    explicit ChangeApplier(ControlState& state)
        : m_state(state)
    {
    }

    /// @returns the reason for the refusal, or an empty string if the change was applied.
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
    /// @returns the number of admin accounts other than @p name.
    [[nodiscard]] size_t adminCountWithout(const std::string& name) const;
    /// @returns the open wave that covers the pool, or null.
    [[nodiscard]] const Wave* findOpenWave(const std::string& pool) const;
    /// @returns why the instance cannot be moved or removed at present, or an empty string.
    [[nodiscard]] std::string instanceBusyReason(const std::string& instance) const;
    /// Removes the status of the instance and its pending maintenance in waves.
    void removeFromFleetState(const std::string& instance);

    ControlState& m_state;
};

} // namespace vanillalift
