#pragma once

#include <vanillalift/change.h>
#include <vanillalift/fleet.h>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// The replicated state of the control group. Deterministic: the same commands in the same order give the same state
/// on each replica; the time is part of the command.
namespace vanillalift {

/// An accepted change.
struct ChangeRecord {
    uint64_t revision = 0;
    /// Wall-clock milliseconds of the leader that accepted it.
    int64_t timeMs = 0;
    std::string author;
    std::string operation;
    nlohmann::json change;
};

enum class ChangeFault : uint8_t {
    Malformed,
    NotPermitted,
    /// Another change was accepted since the base revision.
    Conflict,
    /// The change names something that does not exist, or removes something in use.
    Reference,
    ChangeFaultCount,
};

std::string_view changeFaultName(ChangeFault fault);

struct ChangeAccepted {
    uint64_t revision = 0;
};
struct ChangeRejected {
    ChangeFault fault = ChangeFault::Malformed;
    std::string detail;
    /// For a conflict: the first change accepted after the base revision, if it is still in the history.
    std::optional<ChangeRecord> lostTo;
    uint64_t currentRevision = 0;
};
using ChangeOutcome = std::variant<ChangeAccepted, ChangeRejected>;

nlohmann::json toJson(const ChangeOutcome& outcome);
nlohmann::json toJson(const ChangeRecord& record);

/// A proposed change with what identifies it.
struct ChangeCommand {
    std::string author;
    /// Chosen by the submitter, unique for each intended change; a resend repeats it.
    std::string operation;
    uint64_t baseRevision = 0;
    int64_t timeMs = 0;
    nlohmann::json change;
};

/// One entry's part of a team's upper limit.
struct LimitPart {
    std::string team;
    std::string entry;
    /// Start of the entry process; a restarted entry is a new holder.
    uint64_t incarnation = 0;
    /// Requests that the holder may have running.
    int64_t amount = 0;
    /// Amount that the holder was asked to come down to; never above the amount.
    int64_t target = 0;
};

/// Sets parts; a part with amount 0 is removed. Applied as a whole or not at all.
struct PartsCommand {
    std::vector<LimitPart> parts;
};

enum class PartsFault : uint8_t {
    TeamUnknown,
    /// The sum of the team's parts would exceed its upper limit and grow.
    OverLimit,
    TargetAboveAmount,
    PartsFaultCount,
};

/// Adds an entry to the register when it polls for the first time, so that each later leader knows of it.
struct RegisterEntryCommand {
    std::string name;
    std::string zone;
};

using ControlCommand = std::variant<ChangeCommand, PartsCommand, RegisterEntryCommand, FleetCommand>;

/// @returns the encoded form for the replicated log (CBOR).
std::string encodeCommand(const ControlCommand& command);
std::optional<ControlCommand> decodeCommand(std::string_view bytes);

class ControlState {
public:
    /// @returns the outcome; for a repeated operation id the first outcome.
    ChangeOutcome apply(const ChangeCommand& command);
    /// @returns nothing on success.
    std::optional<PartsFault> apply(const PartsCommand& command);
    void apply(const RegisterEntryCommand& command);
    /// @returns nothing on success.
    std::optional<FleetFault> apply(const FleetCommand& command);

    [[nodiscard]] uint64_t revision() const { return m_revision; }
    /// The catalog for entries at the current revision.
    [[nodiscard]] Catalog catalog() const;
    [[nodiscard]] const std::map<std::string, Pool>& pools() const { return m_pools; }
    [[nodiscard]] const std::map<std::string, Instance>& instances() const { return m_instances; }
    [[nodiscard]] const std::map<std::string, OperatorAccount>& operators() const { return m_operators; }
    [[nodiscard]] const std::map<std::string, Team>& teams() const { return m_teams; }
    [[nodiscard]] const std::vector<LimitPart>& parts() const { return m_parts; }
    /// Counts the applied PartsCommands.
    [[nodiscard]] uint64_t partsVersion() const { return m_partsVersion; }
    /// @returns the longest time in milliseconds for which work that entries dispatched up to now may run: the longest
    /// timeout of any profile, those that were replaced or deleted recently included.
    [[nodiscard]] int64_t runBoundMs(int64_t nowMs) const;
    /// Zones of all entries that ever polled and were not removed, by name.
    [[nodiscard]] const std::map<std::string, std::string>& entries() const { return m_entries; }
    [[nodiscard]] const std::deque<ChangeRecord>& history() const { return m_history; }
    [[nodiscard]] const FleetState& fleet() const { return m_fleet; }
    [[nodiscard]] const std::map<std::string, Profile>& profiles() const { return m_profiles; }
    [[nodiscard]] const std::map<std::string, Service>& services() const { return m_services; }
    /// @returns the first outcome of an operation, or nothing if the operation is unknown.
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

    ChangeOutcome decide(const ChangeCommand& command);
    [[nodiscard]] bool isPermitted(const ChangeCommand& command, const Change& change) const;
    [[nodiscard]] ChangeRejected conflict(uint64_t baseRevision) const;
    [[nodiscard]] int64_t longestTimeoutMs() const;
    void keepRunBound(int64_t previousMs, int64_t nowMs);
    /// Raises the revision to the record's and keeps the record.
    void appendHistory(ChangeRecord record);
    void remember(const ChangeCommand& command, const ChangeOutcome& outcome);

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
    /// Longest timeout among replaced profiles whose work may still run, and until when.
    int64_t m_pastRunBoundMs = 0;
    int64_t m_pastRunBoundUntilMs = 0;
    std::map<std::string, std::string> m_entries;
    FleetState m_fleet;
    std::deque<ChangeRecord> m_history;
    std::map<std::string, OperationRecord, std::less<>> m_operations;
    /// Operation ids in the order of their first submission, oldest first.
    std::deque<std::string> m_operationOrder;
};

} // namespace vanillalift
