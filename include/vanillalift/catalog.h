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

/// Configuration used by the entries: profiles, services, teams and keys at one revision.
namespace vanillalift {

enum class Urgency : uint8_t {
    Normal,
    Urgent,
    UrgencyCount,
};

/// Request handling policy, created by operators and shared by the services that refer to it.
struct Profile {
    std::string name;
    bool idempotent = false;
    /// Total number of attempts, including the first.
    int64_t maxAttempts = 3;
    /// Retry tokens that each first attempt adds to the service's retry budget.
    double retryRatio = 0.1;
    /// Maximum length of a service's queue on each entry.
    int64_t queueBound = 256;
    /// Largest accepted request timeout; also limits the run time of each attempt.
    int64_t timeoutMs = 10000;
    Urgency urgency = Urgency::Normal;
    /// Availability target of the service as a fraction from 0 to 1.
    double availabilityBudget = 0.999;
    /// Whether requests are accepted without a key.
    bool openToAll = false;
    /// Time for which the request at the head of a queue waits for an endpoint in its own zone before other zones are used.
    int64_t spillAfterMs = 5;
    /// Time for which an entry without a valid lease continues to serve services that are open to all; 0 disables it.
    int64_t isolationPeriodMs = 600000;
    /// Time for which the claim of a settled non-idempotent request is retained.
    int64_t claimRetentionMs = 900000;
    /// Share weights by team name, overriding Team::share.
    std::map<std::string, double> shareWeights;
    /// Relative weights of the planning goals: a short roll-out, adherence to the teams' shares, little spare capacity, and
    /// few moves of instances.
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
    /// Weight of the team in the division of capacity under full load.
    double share = 1;
    /// Maximum number of the team's requests and jobs running concurrently across the fleet.
    int64_t upperLimit = 1;
};

struct Key {
    std::string id;
    std::string team;
    /// Salt in hexadecimal, and SHA-256 in hexadecimal of the salt bytes followed by the secret.
    std::string salt;
    std::string hash;
    bool withdrawn = false;
};

/// Immutable configuration at one revision. The tables are sorted by name (keys by id) for lookup by binary search.
/// Handles are indices into the tables of this catalog and must not be used with another one.
struct Catalog {
    uint64_t revision = 0;
    std::vector<Profile> profiles;
    std::vector<Service> services;
    std::vector<Team> teams;
    std::vector<Key> keys;
    /// Names of draining instances, which receive no new requests; sorted.
    std::vector<std::string> draining;

    [[nodiscard]] ProfileHandle findProfile(std::string_view name) const;
    [[nodiscard]] ServiceHandle findService(std::string_view name) const;
    [[nodiscard]] TeamHandle findTeam(std::string_view name) const;
    [[nodiscard]] const Key* findKey(std::string_view id) const;

    [[nodiscard]] const Profile& profileOf(ServiceHandle service) const;
    [[nodiscard]] const Service& at(ServiceHandle service) const { return services.at(service.index); }
    [[nodiscard]] const Team& at(TeamHandle team) const { return teams.at(team.index); }

    /// @returns whether the service accepts the team's keys.
    [[nodiscard]] bool isTeamAllowed(ServiceHandle service, TeamHandle team) const;
    /// @returns the team's share weight for the service, after the profile's override.
    [[nodiscard]] double shareWeight(ServiceHandle service, TeamHandle team) const;
};

/// Read-only catalog shared by request threads, which may still use it while a newer one is installed.
using CatalogPtr = std::shared_ptr<const Catalog>;

/// Validates and converts the JSON form {"revision", "profiles", "services", "teams", "keys", "draining"}, including the
/// references between its parts. Unknown fields are errors.
/// @param location prefix of the locations of errors.
tl::expected<Catalog, SettingsErrors> catalogFromJson(const nlohmann::json& value, const std::string& location);

/// @returns the JSON form that catalogFromJson() reads.
nlohmann::json toJson(const Catalog& catalog);

/// Converters for the parts of a catalog, also used by the control state machine to validate operators' changes.
/// Errors are added to @p errors.
Profile profileFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
Service serviceFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
Team teamFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
Key keyFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors);
nlohmann::json toJson(const Profile& profile);
nlohmann::json toJson(const Service& service);
nlohmann::json toJson(const Team& team);
nlohmann::json toJson(const Key& key);

/// Result of checking a key of the form "{id}.{secret}".
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

/// Checks a key presented by a caller. The hash is compared in constant time.
KeyCheck checkKey(const Catalog& catalog, std::string_view presented);

/// @returns SHA-256 in hexadecimal of the salt bytes followed by the secret, or std::nullopt if the salt is not hexadecimal.
std::optional<std::string> hashKeySecret(std::string_view saltHex, std::string_view secret);

} // namespace vanillalift
