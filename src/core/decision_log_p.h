#pragma once

#include <vanillalift/outcome.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>

namespace vanillalift {

/// A refused request, with the values that the decision was based on.
struct Decision {
    /// Wall clock, milliseconds since the Unix epoch.
    int64_t atMs = 0;
    std::string service;
    std::string team;
    std::string requestId;
    /// Outcome name: "not-run" or "unknown".
    std::string outcome;
    Reason reason = Reason::InternalError;
    std::string detail;
    /// Values by name, with the unit in the name, for example "timeout_ms".
    std::vector<std::pair<std::string, int64_t>> numbers;
};

/// Bounded list of the most recent refusals, for operators. Thread-safe.
class DecisionLog {
public:
    /// @param capacity number of refusals kept; the oldest is dropped first.
    explicit DecisionLog(size_t capacity = 1000);

    void record(Decision decision);
    /// @param team only refusals of this team; empty for all teams.
    /// @returns a JSON array, newest first.
    [[nodiscard]] nlohmann::json latest(std::string_view team) const;

private:
    size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Decision> m_decisions;
};

} // namespace vanillalift
