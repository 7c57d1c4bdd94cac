#pragma once

#include <vanillalift/catalog.h>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>
#include <variant>
#include <vector>

/// Changes that operators submit to the replicated state.
namespace vanillalift {

/// Permissions of an operator. Each role includes those of the roles before it.
enum class OperatorRole : uint8_t {
    Viewer,
    Editor,
    Admin,
    OperatorRoleCount,
};

/// A group of instances. A pool without a service holds spare capacity for all services.
struct Pool {
    std::string name;
    std::string service;
    /// Lower limit of the number of instances, independent of demand.
    int64_t minimum = 0;
};

/// A machine of the fleet. Stores the name of its pool, so that it belongs to exactly one.
struct Instance {
    std::string name;
    std::string zone;
    std::string rack;
    /// "ip:port" of its endpoint, or empty.
    std::string address;
    std::string pool;
};

struct OperatorAccount {
    std::string name;
    OperatorRole role = OperatorRole::Viewer;
    /// Salt and hash of the account's secret in hexadecimal digits, as for Key.
    std::string salt;
    std::string hash;
};

struct PutProfile {
    Profile profile;
};
struct DeleteProfile {
    std::string name;
};
struct PutService {
    Service service;
};
struct DeleteService {
    std::string name;
};
struct PutTeam {
    Team team;
};
struct DeleteTeam {
    std::string name;
};
struct GiveKey {
    Key key;
};
/// Withdraws a key. Its record is kept and requests with it are refused; the id cannot be given again while the team exists.
struct WithdrawKey {
    std::string id;
};
struct PutPool {
    Pool pool;
};
struct DeletePool {
    std::string name;
};
/// Adds an instance to the fleet, or updates its zone, rack and address. Does not change the pool of an existing instance.
struct PutInstance {
    Instance instance;
};
/// Moves an instance to another pool; refused unless it is in pool `from`.
struct MoveInstance {
    std::string instance;
    std::string from;
    std::string to;
};
struct RemoveInstance {
    std::string name;
};
struct PutOperator {
    OperatorAccount account;
};
struct DeleteOperator {
    std::string name;
};
/// Removes a decommissioned entry from the register of entries.
struct RemoveEntry {
    std::string name;
};
/// Starts maintenance of all instances that are in the pools when the change is applied.
struct StartWave {
    std::string name;
    std::vector<std::string> pools;
    /// Wall-clock time in milliseconds by which the wave should be complete.
    int64_t deadlineMs = 0;
};
/// Stops the wave from starting maintenance of further instances; those in progress complete.
struct HaltWave {
    std::string name;
};
struct ResumeWave {
    std::string name;
};
/// Rolls a wave back: pending instances are left as they are, draining and drained instances return to service.
struct RollBackWave {
    std::string name;
};
/// Entries dispatch no requests to the instance from this revision on. Made only by the control leader, never by operators.
struct DrainStarted {
    std::string instance;
};
/// Entries may dispatch to the instance again. Made only by the control leader, never by operators.
struct DrainEnded {
    std::string instance;
};

using Change = std::variant<PutProfile, DeleteProfile, PutService, DeleteService, PutTeam, DeleteTeam, GiveKey, WithdrawKey,
    PutPool, DeletePool, PutInstance, MoveInstance, RemoveInstance, PutOperator, DeleteOperator, RemoveEntry, StartWave, HaltWave, ResumeWave, RollBackWave,
    DrainStarted, DrainEnded>;

/// Parses a change such as {"kind": "put-profile", ...}.
/// @param location JSON pointer of the value, for error messages.
/// @returns the change, or every malformed, missing or unknown field.
tl::expected<Change, SettingsErrors> changeFromJson(const nlohmann::json& value, const std::string& location);
nlohmann::json toJson(const Change& change);

/// @returns the "kind" of the change in JSON, e.g. "withdraw-key".
std::string_view changeKind(const Change& change);

/// @returns the role required for the change: Admin for changes of operator accounts, otherwise Editor.
OperatorRole requiredRole(const Change& change);

/// @returns whether the change affects how a service is served (its profile or definition), as opposed to keys, teams, pools
/// and accounts. Entries that serve open services without a lease may not have received such a change.
bool isServiceChange(const Change& change);

std::string_view roleName(OperatorRole role);

} // namespace vanillalift
