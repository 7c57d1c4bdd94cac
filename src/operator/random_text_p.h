#pragma once

#include <string>

namespace vanillalift {

/// @returns @p bytes random bytes from the operating system's generator as hexadecimal digits.
std::string randomHex(size_t bytes);

} // namespace vanillalift
