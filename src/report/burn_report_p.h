#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <span>
#include <string>
#include <vector>

/// Report on how fast services consume their availability budgets, summed over all entries of a site.
namespace vanillalift {

/// Alert level of a service. The thresholds are those of multi-window burn-rate alerts: a fast burn consumes 2% of a 30-day
/// budget in one hour, a slow burn 5% in six hours.
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
    /// Rate at which the budget is consumed; at 1 it is used up exactly at the end of its period.
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
    /// Fraction of all dispatched requests that are of this team.
    double dispatchedFraction = 0;
    /// Fraction that the team's share entitles it to when all teams have queued requests.
    double owedFraction = 0;
};

struct BurnReport {
    /// Entries that responded, and those that did not.
    std::vector<std::string> entries;
    std::vector<std::string> missing;
    std::vector<ServiceReport> services;
    std::vector<TeamReport> teams;
};

/// Merges the responses of the entries to GET /v1/burn.
/// @param responses one value per entry; null for an entry that did not respond.
BurnReport makeBurnReport(std::span<const std::string> entries, std::span<const nlohmann::json> responses);

nlohmann::json toJson(const BurnReport& report);
void printText(std::ostream& out, const BurnReport& report);
/// Prints a page without scripts or external resources.
void printHtml(std::ostream& out, const BurnReport& report);

std::string_view alertName(BurnAlert alert);

} // namespace vanillalift
