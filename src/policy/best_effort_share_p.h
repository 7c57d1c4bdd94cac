#pragma once

#include <cstdint>
#include <span>

namespace vanillalift::jobs {

/// Measured tail latency of a latency-sensitive task and its upper bound, in milliseconds.
struct TailLatency {
    int64_t tailLatencyMs = 0;
    uint32_t latencyTargetMs = 0;
};

/// Throttles the best-effort tasks of an endpoint by the tail latencies of the latency-sensitive tasks beside them.
/// @param percent current speed of the best-effort tasks, 0 to 100.
/// @returns the next speed: 0 while a latency exceeds its bound, half when one is close to it, and a small increase while all
/// are well below.
uint32_t nextBestEffortPercent(uint32_t percent, std::span<const TailLatency> latencies);

} // namespace vanillalift::jobs
