#pragma once

#include <cstdint>
#include <span>

namespace vanillalift::jobs {

/// The tail latency of a task that serves callers, and its bound, in milliseconds.
struct TailLatency {
    int64_t tailLatencyMs = 0;
    uint32_t latencyTargetMs = 0;
};

/// @param percent present pace of the tasks that fill the endpoint, 0 to 100.
/// @returns their next pace: none while a serving task beside them is over its bound, half when one comes close to it,
/// and slowly more while all are well below.
uint32_t nextBestEffortPercent(uint32_t percent, std::span<const TailLatency> serving);

} // namespace vanillalift::jobs
