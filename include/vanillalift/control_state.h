#pragma once

#include <vanillalift/change.h>
#include <vanillalift/fleet.h>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// The replicated state of the control group. Deterministic: the same commands in the same order produce the same state on
/// each replica. Commands therefore carry the time.
namespace vanillalift {

/// An accepted change.
struct ChangeRecord {
    uint64_t revision = 0;
    /// Wall-clock time in milliseconds on the leader that proposed the change.
    int64_t timeMs = 0;
    std::string author;
    std::string operation;
    nlohmann::json change;
};

enum class ChangeErrorCode : uint8_t {
    Malformed,
    NotPermitted,
    /// Another change was accepted after the base revision.
    Conflict,
    /// The change refers to an object that does not exist, removes one in use, or breaks another rule of the state.
    Reference,
    ChangeErrorCodeCount,
};

std::string_view changeErrorCodeName(ChangeErrorCode code);

struct ChangeAccepted {
    uint64_t revision = 0;
};
struct ChangeRejected {
    ChangeErrorCode code = ChangeErrorCode::Malformed;
    std::string detail;
    /// With Conflict: the first change accepted after the base revision, if the history still has it.
    std::optional<ChangeRecord> conflictingChange;
    uint64_t currentRevision = 0;
};
using ChangeOutcome = std::variant<ChangeAccepted, ChangeRejected>;

nlohmann::json toJson(const ChangeOutcome& outcome);
nlohmann::json toJson(const ChangeRecord& record);

/// A proposed change with its author and operation id.
struct ChangeCommand {
    std::string author;
    /// Idempotency key of 1 to 128 characters, chosen by the client; a retry sends the same one.
    std::string operation;
    /// Revision on which the change is based; refused with Conflict unless it is the current one.
    uint64_t baseRevision = 0;
    int64_t timeMs = 0;
    nlohmann::json change;
};

/// The part of a team's concurrency limit that is assigned to one entry.
struct LimitPart {
    std::string team;
    std::string entry;
    /// Incarnation of the entry process; a restarted entry counts as another holder.
    uint64_t incarnation = 0;
    /// Number of requests that the holder may run at the same time.
    int64_t amount = 0;
    /// Amount to which the holder was asked to reduce its part, from 0 to `amount`.
    int64_t target = 0;
};

/// Sets limit parts atomically. A part with amount 0 is removed.
struct LimitPartsCommand {
    std::vector<LimitPart> parts;
};

enum class LimitPartsErrorCode : uint8_t {
    TeamUnknown,
    /// The sum of the team's parts would grow and exceed the team's upper limit.
    OverLimit,
    /// A target is negative or above its amount.
    TargetOutOfRange,
    LimitPartsErrorCodeCount,
};

/// Adds an entry to the register on its first poll, so that later leaders know that it exists.
struct RegisterEntryCommand {
    std::string name;
    std::string zone;
};

using ControlCommand = std::variant<ChangeCommand, LimitPartsCommand, RegisterEntryCommand, FleetCommand>;

/// @returns the command in CBOR, as stored in the replicated log.
std::string encodeCommand(const ControlCommand& command);
/// @returns nothing if the bytes are not a valid command.
std::optional<ControlCommand> decodeCommand(std::string_view bytes);

class ControlState {
public:
    /// @returns the outcome. A repeated operation id gets the outcome of its first submission and changes nothing.
    ChangeOutcome apply(const ChangeCommand& command);
    /// @returns the reason for the refusal, or nothing on success.
    std::optional<LimitPartsErrorCode> apply(const LimitPartsCommand& command);
    void apply(const RegisterEntryCommand& command);
    /// @returns the reason for the refusal, or nothing on success.
    std::optional<FleetErrorCode> apply(const FleetCommand& command);

    [[nodiscard]] uint64_t revision() const { return m_revision; }
    /// @returns the catalog for entries at the current revision.
    [[nodiscard]] Catalog catalog() const;
    [[nodiscard]] const std::map<std::string, Pool>& pools() const { return m_pools; }
    [[nodiscard]] const std::map<std::string, Instance>& instances() const { return m_instances; }
    [[nodiscard]] const std::map<std::string, OperatorAccount>& operators() const { return m_operators; }
    [[nodiscard]] const std::map<std::string, Team>& teams() const { return m_teams; }
    [[nodiscard]] const std::vector<LimitPart>& parts() const { return m_parts; }
    /// Number of LimitPartsCommands applied so far.
    [[nodiscard]] uint64_t partsVersion() const { return m_partsVersion; }
    /// @returns the maximum run time in milliseconds of requests dispatched up to now: the largest timeout of all profiles,
    /// including profiles that were replaced or deleted recently.
    [[nodiscard]] int64_t maxRunTimeMs(int64_t nowMs) const;
    /// Zones by entry name, of all entries that have polled and were not removed.
    [[nodiscard]] const std::map<std::string, std::string>& entries() const { return m_entries; }
    [[nodiscard]] const std::deque<ChangeRecord>& history() const { return m_history; }
    [[nodiscard]] const FleetState& fleet() const { return m_fleet; }
    [[nodiscard]] const std::map<std::string, Profile>& profiles() const { return m_profiles; }
    [[nodiscard]] const std::map<std::string, Service>& services() const { return m_services; }
    /// @returns the outcome of an earlier operation, or nothing if the operation is unknown.
    [[nodiscard]] std::optional<ChangeOutcome> findOperation(std::string_view operation) const;

    [[nodiscard]] nlohmann::json toJson() const;
    static tl::expected<ControlState, SettingsErrors> fromJson(const nlohmann::json& value);

private:
    friend class ChangeApplier;
    friend class FleetApplier;

    struct OperationRecord {
        int64_t timeMs = 0;
        ChangeOutcome outcome;
    };

    /// Validates and applies a command whose operation id is new.
    ChangeOutcome applyNewOperation(const ChangeCommand& command);
    [[nodiscard]] bool isPermitted(const ChangeCommand& command, const Change& change) const;
    [[nodiscard]] ChangeRejected makeConflict(uint64_t baseRevision) const;
    [[nodiscard]] int64_t maxTimeoutMs() const;
    /// Keeps the previous maximum timeout in effect for a while if the change at @p nowMs lowered it.
    void retainMaxRunTime(int64_t previousMs, int64_t nowMs);
    /// Adds the record to the history and sets the revision to the record's.
    void appendHistory(ChangeRecord record);
    void recordOperation(const ChangeCommand& command, const ChangeOutcome& outcome);

    uint64_t m_revision = 0;
    std::map<std::string, Profile> m_profiles;
    std::map<std::string, Service> m_services;
    std::map<std::string, Team> m_teams;
    std::map<std::string, Key> m_keys;
    std::map<std::string, Pool> m_pools;
    std::map<std::string, Instance> m_instances;
    std::map<std::string, OperatorAccount> m_operators;
    std::vector<LimitPart> m_parts;
    uint64_t m_partsVersion = 0;
    /// Largest timeout of replaced or deleted profiles whose requests may still run, and the time until which it counts.
    int64_t m_pastMaxRunTimeMs = 0;
    int64_t m_pastMaxRunTimeUntilMs = 0;
    std::map<std::string, std::string> m_entries;
    FleetState m_fleet;
    std::deque<ChangeRecord> m_history;
    std::map<std::string, OperationRecord, std::less<>> m_operations;
    /// Operation ids in the order of submission, oldest first.
    std::deque<std::string> m_operationOrder;
};

} // namespace vanillalift
