#pragma once

#include <cstdint>

namespace vanillalift {

/// Counters of requests to other processes.
struct CallStats {
    uint64_t connects = 0;
    uint64_t answered = 0;
    /// Deadlines that passed without a response, and those of them that this process noticed late.
    uint64_t expired = 0;
    uint64_t expiredLate = 0;
};

} // namespace vanillalift
