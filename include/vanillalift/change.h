#pragma once

#include <vanillalift/catalog.h>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>
#include <variant>
#include <vector>

/// Changes that operators propose to the replicated state.
namespace vanillalift {

/// What an operator may do. Each role includes the ones before it.
enum class OperatorRole : uint8_t {
    Viewer,
    Editor,
    Admin,
    OperatorRoleCount,
};

/// A group of instances. A pool without a service is spare capacity shared by all services.
struct Pool {
    std::string name;
    std::string service;
    /// Fewest instances that the pool needs, whatever its demand.
    int64_t minimum = 0;
};

/// A machine of the fleet. Each instance names its one pool, so it cannot be in two.
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
    /// Salted hash of the account's secret, as for Key.
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
/// A withdrawn key stays known and refused; its id cannot be given again while its team exists.
struct WithdrawKey {
    std::string id;
};
struct PutPool {
    Pool pool;
};
struct DeletePool {
    std::string name;
};
/// Adds an instance to the fleet, or changes its place and address but not its pool.
struct PutInstance {
    Instance instance;
};
/// Moves an instance; refused if it is not in the pool that it is said to come from.
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
/// Removes an entry that is gone for good from the register of entries.
struct RemoveEntry {
    std::string name;
};
/// Starts maintenance of all instances that are in the pools now.
struct StartWave {
    std::string name;
    std::vector<std::string> pools;
    /// Wall-clock milliseconds by which the wave should be complete.
    int64_t deadlineMs = 0;
};
/// Starts no further instance; those under way finish.
struct HaltWave {
    std::string name;
};
struct ResumeWave {
    std::string name;
};
/// Leaves instances that were not started untouched and calls drained ones back.
struct RollBackWave {
    std::string name;
};
/// From this revision on entries dispatch nothing to the instance. Made by the control leader, not by operators.
struct DrainStarted {
    std::string instance;
};
/// Made by the control leader, not by operators.
struct DrainEnded {
    std::string instance;
};

using Change = std::variant<PutProfile, DeleteProfile, PutService, DeleteService, PutTeam, DeleteTeam, GiveKey, WithdrawKey,
    PutPool, DeletePool, PutInstance, MoveInstance, RemoveInstance, PutOperator, DeleteOperator, RemoveEntry, StartWave, HaltWave, ResumeWave, RollBackWave,
    DrainStarted, DrainEnded>;

/// Parses {"kind": "put-profile", ...}. Each fault names its field.
tl::expected<Change, SettingsErrors> changeFromJson(const nlohmann::json& value, const std::string& place);
nlohmann::json toJson(const Change& change);

/// @returns the kind as written in JSON, e.g. "withdraw-key".
std::string_view changeKind(const Change& change);

/// @returns the role that an operator needs for the change: Admin for operators' accounts, otherwise Editor.
OperatorRole requiredRole(const Change& change);

/// @returns whether the change concerns how a service is served, beyond keys, teams, pools and accounts. Entries that serve
/// open services without a lease may not know of such a change.
bool isServiceChange(const Change& change);

std::string_view roleName(OperatorRole role);

} // namespace vanillalift
