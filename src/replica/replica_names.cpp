#include <vanillalift/replica.h>

#include <array>

namespace vanillalift {

std::string_view proposeErrorName(ProposeErrorCode code)
{
    constexpr std::array<std::string_view, static_cast<size_t>(ProposeErrorCode::ProposeErrorCodeCount)> names { "not-leader", "outcome-unknown", "overloaded", "too-large", "change-in-progress", "not-caught-up", "member-invalid" };
    return names.at(static_cast<size_t>(code));
}

std::string_view replicaRoleName(ReplicaRole role)
{
    constexpr std::array<std::string_view, static_cast<size_t>(ReplicaRole::ReplicaRoleCount)> names { "follower", "pre-candidate", "candidate", "leader" };
    return names.at(static_cast<size_t>(role));
}

} // namespace vanillalift
