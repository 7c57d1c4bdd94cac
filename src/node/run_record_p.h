#pragma once

#include <cstdint>
#include <string>

namespace vanillalift::node {

/// A file in the data folder that exists while a process runs, so that the next one can tell how the last one ended: a
/// process that is ended by a signal leaves no log line. Best effort: the file is not synced, and a failure to write it is logged.
class RunRecord {
public:
    /// Reads what the last run left, and records the start of this one.
    explicit RunRecord(const std::string& folder);

    /// Runs in a row before this one that have not called finish().
    [[nodiscard]] uint64_t unfinishedRuns() const { return m_unfinishedRuns; }
    /// Records that this run ends in an orderly way.
    void finish();

private:
    std::string m_path;
    uint64_t m_unfinishedRuns = 0;
};

} // namespace vanillalift::node
