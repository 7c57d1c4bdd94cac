#pragma once

#include <vanillalift/control_state.h>

#include <optional>
#include <string_view>

/// Views of the control state for operators. None of them shows salts or hashes.
namespace vanillalift {

/// @returns {"revision", "items"} for a kind such as "pools", or nothing if there is no such kind.
std::optional<nlohmann::json> readItems(const ControlState& state, std::string_view kind);

/// @returns the object that a change concerns, or null if it does not exist.
nlohmann::json describeSubject(const ControlState& state, const nlohmann::json& change);

/// @returns facts about an instance or a team with the changes that led to them, or nothing if it does not exist.
std::optional<nlohmann::json> explainSubject(const ControlState& state, std::string_view kind, const std::string& name);

/// @returns the value with all salts and hashes removed.
nlohmann::json withoutSecrets(nlohmann::json value);

} // namespace vanillalift
