#pragma once

#include <vanillalift/control_state.h>

#include <optional>
#include <string_view>

/// JSON views of the control state for operators, without salts and hashes.
namespace vanillalift {

/// @returns {"revision", "items"} for a kind of object such as "pools", or nothing if the kind is unknown.
std::optional<nlohmann::json> readItems(const ControlState& state, std::string_view kind);

/// @returns the object that a change concerns, or null if it does not exist.
nlohmann::json describeSubject(const ControlState& state, const nlohmann::json& change);

/// @returns the state of an instance or a team with the changes that led to it, or nothing if it does not exist.
std::optional<nlohmann::json> explainSubject(const ControlState& state, std::string_view kind, const std::string& name);

/// @returns the value without "salt" and "hash" members at any depth.
nlohmann::json withoutSecrets(nlohmann::json value);

} // namespace vanillalift
