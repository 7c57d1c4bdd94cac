#pragma once

#include <string>

namespace vanillalift {

/// @returns @p bytes cryptographically secure random bytes in hexadecimal.
std::string randomHex(size_t bytes);

} // namespace vanillalift
