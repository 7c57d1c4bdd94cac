#pragma once

#include "history_p.h"

#include <vanillalift/settings.h>

#include <chrono>

/// Load generator: calls entries as callers would and records what they got.
namespace vanillalift::bench {

struct LoadTarget {
    std::string name;
    /// "ip:port" of an entry's caller port.
    std::string address;
    /// "ip:port" of its admin port. As a balancer does, the load leaves out an entry whose /readyz fails. Empty: calls
    /// are always sent.
    std::string admin;
};

struct LoadTeam {
    std::string name;
    /// "keyId.secret"
    std::string key;
    double share = 1;
    int64_t limit = 1;
    /// Part of the requests that this team sends, relative to the other teams.
    double demand = 1;
};

struct LoadService {
    std::string name;
    bool idempotent = false;
    /// Called without a key.
    bool isOpen = false;
    /// Mean requests a second; in the steady shape the rate at factor 1.
    double rate = 1;
};

enum class LoadShape : uint8_t {
    /// Each service in turn asks five times its rate for burstSeconds, and a twentieth of it in between.
    Waves,
    /// Each service asks factor times its rate.
    Steady,
    /// Each caller sends its next request as soon as it has the answer.
    Closed,
    LoadShapeCount,
};

struct LoadSettings {
    std::vector<LoadTarget> entries;
    std::vector<LoadTeam> teams;
    std::vector<LoadService> services;
    LoadShape shape = LoadShape::Waves;
    double factor = 1;
    double seconds = 10;
    /// Ends the run after this many requests; 0 means no bound.
    int64_t requests = 0;
    double burstSeconds = 2;
    /// Calls in progress at once; in the closed shape the number of callers.
    int64_t callers = 256;
    int64_t timeoutMs = 2000;
    int64_t bodyBytes = 64;
    /// Probability that a call without an answer, or with the outcome unknown, is sent again through another entry.
    double resend = 0;
    int64_t maxResends = 3;
    /// Probability that the caller gives up within abandonMs.
    double abandon = 0;
    int64_t abandonMs = 50;
    /// Time after which a leaving endpoint gets no new work.
    int64_t leavingBoundMs = 4000;
    /// The part of the run that is not counted as full, from its start.
    double warmUpSeconds = 1;
    /// Entries are in fact endpoints, for comparison: the answers carry no outcome.
    bool isDirect = false;
};

tl::expected<LoadSettings, SettingsErrors> loadSettingsFromJson(const nlohmann::json& value, const std::string& place);
/// @returns the shape of that name, or LoadShapeCount.
LoadShape shapeFromName(std::string_view name);

/// One request before it is sent.
struct PlannedRequest {
    /// From the start of the run.
    std::chrono::nanoseconds at {};
    size_t service = 0;
    size_t team = 0;
};

/// @returns the requests of an open-loop run in the order of their times: Poisson arrivals drawn from the seed.
std::vector<PlannedRequest> planRequests(const LoadSettings& settings, uint64_t seed);

/// Sends the load and waits for its end. @returns the calls with the run's promises; attempts stay empty.
History runLoad(const LoadSettings& settings, uint64_t seed);

/// Writes run.json and calls.jsonl. @returns false if a file cannot be written.
[[nodiscard]] bool writeHistory(const History& history, const std::string& folder);

} // namespace vanillalift::bench
