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

private:
    [[nodiscard]] size_t adminCountWithout(const std::string& name) const;

    ControlState& m_state;
};

} // namespace vanillalift
