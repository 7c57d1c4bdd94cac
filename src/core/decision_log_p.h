#pragma once

#include <vanillalift/outcome.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>

namespace vanillalift {

/// One refusal and the numbers behind it.
struct Decision {
    /// Wall clock, milliseconds since the Unix epoch.
    int64_t atMs = 0;
    std::string service;
    std::string team;
    std::string requestId;
    /// "not-run" or "unknown".
    std::string outcome;
    Reason reason = Reason::InternalError;
    std::string detail;
    /// Values by name, with the unit in the name, for example "timeout_ms".
    std::vector<std::pair<std::string, int64_t>> numbers;
};

/// The latest refusals, for operators. Thread-safe.
class DecisionLog {
public:
    explicit DecisionLog(size_t bound = 1000);

    void record(Decision decision);
    /// @param team empty for all teams.
    /// @returns an array, newest first.
    [[nodiscard]] nlohmann::json latest(std::string_view team) const;

private:
    size_t m_bound;
    mutable std::mutex m_mutex;
    std::deque<Decision> m_decisions;
};

} // namespace vanillalift
