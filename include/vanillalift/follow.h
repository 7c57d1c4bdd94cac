#pragma once

#include <vanillalift/authority.h>
#include <vanillalift/change.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

/// Messages by which entries follow the control group.
namespace vanillalift {

/// One process of an entry; a restarted entry is another one.
struct EntryId {
    std::string name;
    /// Start time in wall-clock nanoseconds.
    uint64_t incarnation = 0;

    auto operator<=>(const EntryId&) const = default; // NOLINT(modernize-use-nullptr): false positive on defaulted comparisons
};

/// The part of one team's limit as the entry has to act on it.
struct HeldPart {
    std::string team;
    int64_t amount = 0;
    /// Dispatch stops at the target; at or above 0 and at most the amount.
    int64_t target = 0;

    bool operator==(const HeldPart&) const = default;
};

/// Long poll of an entry.
struct FollowRequest {
    EntryId entry;
    std::string zone;
    /// Revision that the entry acts on; 0 before the first.
    uint64_t revision = 0;
    /// Version of the parts that the entry acts on; 0 before the first.
    uint64_t partsVersion = 0;
    /// Present at most once a second, to save traffic.
    std::optional<std::vector<TeamUse>> use;
    /// Longest wait for something new, in milliseconds.
    int64_t waitMs = 0;
};

/// Answered by the leader after it has confirmed its leadership with a majority.
struct FollowResponse {
    /// Newest revision at some moment after the poll was sent.
    uint64_t revision = 0;
    /// Changes after the entry's revision in order, or nothing if the catalog is sent instead.
    std::vector<Change> changes;
    std::optional<Catalog> catalog;
    uint64_t partsVersion = 0;
    /// Present if the version differs from the entry's.
    std::optional<std::vector<HeldPart>> parts;
};

nlohmann::json toJson(const FollowRequest& request);
nlohmann::json toJson(const FollowResponse& response);
tl::expected<FollowRequest, SettingsErrors> followRequestFromJson(const nlohmann::json& value);
tl::expected<FollowResponse, SettingsErrors> followResponseFromJson(const nlohmann::json& value);

/// Applies the change to a catalog and raises its revision by one. Changes of pools, instances, operators
/// and waves only raise the revision, except that drains change the list of draining instances.
void applyToCatalog(Catalog& catalog, const Change& change);

} // namespace vanillalift
