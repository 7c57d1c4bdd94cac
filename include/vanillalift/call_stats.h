#pragma once

#include <cstdint>

namespace vanillalift {

/// Counters of HTTP requests sent to other processes.
struct CallStats {
    /// Connections opened.
    uint64_t connects = 0;
    uint64_t answered = 0;
    /// Requests whose deadline passed without a response.
    uint64_t expired = 0;
    /// Expired requests whose deadline this process noticed late.
    uint64_t expiredLate = 0;
};

} // namespace vanillalift
