#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace vanillalift {
class EventLog;
} // namespace vanillalift

namespace vanillalift::node {

/// Limits that the host sets for this process; 0 for none or unknown.
struct ProcessLimits {
    uint64_t descriptors = 0;
    /// Largest file that it may write, in bytes.
    uint64_t fileBytes = 0;
    uint64_t addressSpaceBytes = 0;
};

ProcessLimits processLimits();

/// What this process holds; 0 where the host does not tell.
struct ProcessUsage {
    uint64_t residentBytes = 0;
    uint64_t descriptors = 0;
};

ProcessUsage processUsage();

/// Logs the user that this process runs as and its limits.
void logHost(EventLog& log);

/// Logs why this process ends and what it holds, and writes out the log.
/// @returns status.
int logExit(EventLog& log, int status, std::string_view reason);

} // namespace vanillalift::node
