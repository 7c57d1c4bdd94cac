#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <span>
#include <string>
#include <vector>

/// Report on how fast services use up their availability budgets, over all entries of a site.
namespace vanillalift {

/// Urgency of a service's burn. Thresholds are those of multi-window burn-rate alerts: a fast burn uses 2% of a 30-day
/// budget in an hour, a slow one 5% in six hours.
enum class BurnAlert : uint8_t {
    None,
    Slow,
    Fast,
    BurnAlertCount,
};

struct WindowReport {
    int64_t lengthS = 0;
    uint64_t good = 0;
    uint64_t bad = 0;
    /// Rate of use of the budget; 1 uses it up exactly over its period.
    double burnRate = 0;
};

struct ServiceReport {
    std::string service;
    double availabilityBudget = 0;
    std::vector<WindowReport> windows;
    BurnAlert alert = BurnAlert::None;
};

struct TeamReport {
    std::string team;
    double share = 0;
    int64_t upperLimit = 0;
    int64_t running = 0;
    int64_t queued = 0;
    uint64_t dispatched = 0;
    uint64_t refused = 0;
    /// Fraction of all dispatched requests, beside the fraction owed to the team when all is full.
    double dispatchedFraction = 0;
    double owedFraction = 0;
};

struct BurnReport {
    /// Entries that answered, and those that did not.
    std::vector<std::string> entries;
    std::vector<std::string> missing;
    std::vector<ServiceReport> services;
    std::vector<TeamReport> teams;
};

/// Sums up the answers of the entries' /v1/burn.
/// @param answers one value for each entry; null for an entry that did not answer.
BurnReport makeBurnReport(std::span<const std::string> entries, std::span<const nlohmann::json> answers);

nlohmann::json toJson(const BurnReport& report);
void printText(std::ostream& out, const BurnReport& report);
/// A page without scripts or outside resources.
void printHtml(std::ostream& out, const BurnReport& report);

std::string_view alertName(BurnAlert alert);

} // namespace vanillalift
