#pragma once

#include <nlohmann/json.hpp>

#include <ostream>

namespace vanillalift {

/// Prints an array of objects as an aligned table with a column for each member, and any other value as indented JSON.
void printTable(std::ostream& out, const nlohmann::json& value);

} // namespace vanillalift
