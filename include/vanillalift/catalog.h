#pragma once

#include <vanillalift/config.h>
#include <vanillalift/handle.h>
#include <vanillalift/settings.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration as entries use it: profiles, services, teams and keys at one revision.
namespace vanillalift {

enum class Urgency : uint8_t {
    Normal,
    Urgent,
    UrgencyCount,
};

/// How a kind of work is treated. Operators create profiles; each service picks one.
struct Profile {
    std::string name;
    bool idempotent = false;
    /// Attempts in all, the first one included.
    int64_t maxAttempts = 3;
    /// Retry tokens that each first attempt adds to the service's budget.
    double retryRatio = 0.1;
    /// Requests that may wait in one entry's queue of a service.
    int64_t queueBound = 256;
    /// Longest accepted time from receipt to answer; also the bound on the run time of an attempt.
    int64_t timeoutMs = 10000;
    Urgency urgency = Urgency::Normal;
    /// Fraction of time for which the service has to be available, 0 to 1.
    double availabilityBudget = 0.999;
    /// Whether requests are accepted without a key.
    bool openToAll = false;
    /// How long the request at the head of a queue waits for its own zone before other zones are used.
    int64_t spillAfterMs = 5;
    /// How long an entry without a valid lease goes on serving a service that is open to all. 0: not at all.
    int64_t isolationPeriodMs = 600000;
    /// How long the claim of a settled non-idempotent request is kept.
    int64_t claimRetentionMs = 900000;
    /// Share weights by team name that replace the teams' own.
    std::map<std::string, double> shareWeights;
    /// How much a short roll-out, the teams' shares, little spare capacity and few moves count against each other.
    double rollOutWeight = 1;
    double shareWeight = 1;
    double bufferWeight = 1;
    double moveWeight = 1;
};

struct Service {
    std::string name;
    std::string profile;
    /// Teams whose keys are accepted; empty means all teams.
    std::vector<std::string> teams;
};

struct Team {
    std::string name;
    /// Weight of the team when all is full.
    double share = 1;
    /// Most requests and jobs that may run at any instant across the fleet.
    int64_t upperLimit = 1;
};

struct Key {
    std::string id;
    std::string team;
    /// Hexadecimal salt, and hexadecimal SHA-256 of salt bytes followed by the secret.
    std::string salt;
    std::string hash;
    bool withdrawn = false;
};

/// Immutable configuration at one revision. Lookups by name are binary searches over sorted tables.
/// A handle is an index into this catalog's tables and is valid with this catalog only.
struct Catalog {
    uint64_t revision = 0;
    std::vector<Profile> profiles;
    std::vector<Service> services;
    std::vector<Team> teams;
    std::vector<Key> keys;
    /// Names of instances to which nothing is dispatched, sorted.
    std::vector<std::string> draining;

    [[nodiscard]] ProfileHandle findProfile(std::string_view name) const;
    [[nodiscard]] ServiceHandle findService(std::string_view name) const;
    [[nodiscard]] TeamHandle findTeam(std::string_view name) const;
    [[nodiscard]] const Key* findKey(std::string_view id) const;

    [[nodiscard]] const Profile& profileOf(ServiceHandle service) const;
    [[nodiscard]] const Service& at(ServiceHandle service) const { return services.at(service.index); }
    [[nodiscard]] const Team& at(TeamHandle team) const { return teams.at(team.index); }

    /// @returns whether a key of the team is accepted by the service.
    [[nodiscard]] bool isTeamAllowed(ServiceHandle service, TeamHandle team) const;
    /// @returns the team's share weight under the service's profile.
    [[nodiscard]] double shareWeight(ServiceHandle service, TeamHandle team) const;
};

/// Catalogs are shared read-only between request threads while a newer one is being installed.
using CatalogPtr = std::shared_ptr<const Catalog>;

/// Checks and converts the JSON form {"revision", "profiles", "services", "teams", "keys", "draining"}. References between the
/// parts are checked. An unknown field is a fault.
tl::expected<Catalog, SettingsErrors> catalogFromJson(const nlohmann::json& value, const std::string& location);

/// @returns the JSON form that catalogFromJson() accepts.
nlohmann::json toJson(const Catalog& catalog);

/// Converters of the parts; the control state machine uses them to check an operator's change.
Profile profileFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
Service serviceFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
Team teamFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
Key keyFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
nlohmann::json toJson(const Profile& profile);
nlohmann::json toJson(const Service& service);
nlohmann::json toJson(const Team& team);
nlohmann::json toJson(const Key& key);

/// Result of checking a presented key "{id}.{secret}".
enum class KeyVerdict : uint8_t {
    Accepted,
    Unknown,
    Withdrawn,
    KeyVerdictCount,
};

struct KeyCheck {
    KeyVerdict verdict = KeyVerdict::Unknown;
    TeamHandle team;
};

/// Checks a presented key against the catalog. The secret is compared in constant time.
KeyCheck checkKey(const Catalog& catalog, std::string_view presented);

/// @returns hexadecimal SHA-256 of the salt's bytes followed by the secret, or nothing if the salt is not hexadecimal.
std::optional<std::string> hashKeySecret(std::string_view saltHex, std::string_view secret);

} // namespace vanillalift
