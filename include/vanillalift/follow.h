#pragma once

#include <vanillalift/authority.h>
#include <vanillalift/change.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

/// Messages of the long poll by which entries receive the configuration from the control replicas.
namespace vanillalift {

/// Identifies one process of an entry; a restarted entry has a new incarnation.
struct EntryId {
    std::string name;
    /// Start time of the process in wall-clock nanoseconds.
    uint64_t incarnation = 0;

    auto operator<=>(const EntryId&) const = default; // NOLINT(modernize-use-nullptr): false positive on defaulted comparisons
};

/// The part of one team's concurrency limit that an entry holds.
struct TeamLimitPart {
    std::string team;
    int64_t amount = 0;
    /// The entry starts no request above the target; between 0 and the amount. Below the amount, the leader is shrinking the part.
    int64_t target = 0;

    bool operator==(const TeamLimitPart&) const = default;
};

/// Long poll that an entry sends to the leader.
struct FollowRequest {
    EntryId entry;
    std::string zone;
    /// Revision that the entry has applied; 0 before the first.
    uint64_t revision = 0;
    /// Version of the limit parts that the entry has applied; 0 before the first.
    uint64_t partsVersion = 0;
    /// Present about once a second, to save traffic, and with the first poll after the parts version changed.
    std::optional<std::vector<TeamUsage>> use;
    /// Longest time in milliseconds for which the leader may delay the response while nothing changes.
    int64_t waitMs = 0;
};

/// Sent by the leader after it has confirmed its leadership with a majority.
struct FollowResponse {
    /// Newest committed revision at some time after the poll was sent.
    uint64_t revision = 0;
    /// Changes after the entry's revision, in order; empty if the catalog is sent instead.
    std::vector<Change> changes;
    std::optional<Catalog> catalog;
    uint64_t partsVersion = 0;
    /// All limit parts of the entry; present if the version differs from the entry's.
    std::optional<std::vector<TeamLimitPart>> parts;
};

nlohmann::json toJson(const FollowRequest& request);
nlohmann::json toJson(const FollowResponse& response);
tl::expected<FollowRequest, SettingsErrors> followRequestFromJson(const nlohmann::json& value);
tl::expected<FollowResponse, SettingsErrors> followResponseFromJson(const nlohmann::json& value);

/// Applies the change to a catalog and increments its revision. Changes of pools, instances, operators and waves only
/// increment the revision, except that drains and the removal of an instance update the list of draining instances.
void applyToCatalog(Catalog& catalog, const Change& change);

} // namespace vanillalift
