#pragma once

#include "history_p.h"

#include <vanillalift/settings.h>

#include <chrono>

/// Load generator: sends requests to entries and records the responses.
namespace vanillalift::bench {

struct LoadTarget {
    std::string name;
    /// "ip:port" of an entry's caller port.
    std::string address;
    /// "ip:port" of its admin port. Like a load balancer, the load generator skips an entry whose /readyz fails. Empty: the
    /// entry is always taken as ready.
    std::string admin;
};

struct LoadTeam {
    std::string name;
    /// "keyId.secret"
    std::string key;
    double share = 1;
    int64_t limit = 1;
    /// Weight of this team in the choice of the team that sends a request.
    double demand = 1;
};

struct LoadService {
    std::string name;
    bool idempotent = false;
    /// Called without a key.
    bool isOpen = false;
    /// Mean requests per second; in the steady shape the rate at factor 1.
    double rate = 1;
};

enum class LoadShape : uint8_t {
    /// The services take turns: each gets requests at five times its rate for burstSeconds, and at a twentieth of it otherwise.
    Waves,
    /// Each service gets requests at factor times its rate.
    Steady,
    /// Closed loop: each caller sends its next request as soon as it has the response.
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
    /// Ends the run after this many requests; 0 means no limit.
    int64_t requests = 0;
    double burstSeconds = 2;
    /// Maximum concurrent calls; in the closed shape the number of callers.
    int64_t callers = 256;
    int64_t timeoutMs = 2000;
    int64_t bodyBytes = 64;
    /// Probability that a call without a response or with the outcome unknown is sent again through another entry.
    double resend = 0;
    int64_t maxResends = 3;
    /// Probability that the caller gives up after a random time of at most abandonMs.
    double abandon = 0;
    int64_t abandonMs = 50;
    /// Time after the start of leaving from which an endpoint must get no new attempts.
    int64_t leavingBoundMs = 4000;
    /// Time at the start of the run that is excluded from the saturated window.
    double warmUpSeconds = 1;
    /// The addresses of the entries are those of endpoints, for comparison; their responses carry no outcome.
    bool isDirect = false;
};

tl::expected<LoadSettings, SettingsErrors> loadSettingsFromJson(const nlohmann::json& value, const std::string& location);
/// @returns the shape of that name, or LoadShapeCount.
LoadShape shapeFromName(std::string_view name);

/// A request that is scheduled to be sent.
struct PlannedRequest {
    /// Time of sending, from the start of the run.
    std::chrono::nanoseconds at {};
    size_t service = 0;
    size_t team = 0;
};

/// @returns the requests of an open-loop run, sorted by time: Poisson arrivals drawn from the seed.
std::vector<PlannedRequest> planRequests(const LoadSettings& settings, uint64_t seed);

/// Runs the load to its end. @returns the calls and the run record; attempts are left empty.
History runLoad(const LoadSettings& settings, uint64_t seed);

/// Writes run.json and calls.jsonl. @returns false if a file cannot be written.
[[nodiscard]] bool writeHistory(const History& history, const std::string& folder);

} // namespace vanillalift::bench
