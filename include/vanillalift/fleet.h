#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// State of fleet maintenance: maintenance waves, the phase of each instance, and the control leader's actions on them.
namespace vanillalift {

enum class InstancePhase : uint8_t {
    Serving,
    /// Entries dispatch no new requests to it.
    Draining,
    /// Confirmed to run no requests.
    Drained,
    Rebooting,
    /// Rebooted, moved, or its drain was cancelled; its endpoint has not announced itself again yet.
    Returning,
    Failed,
    InstancePhaseCount,
};

enum class FleetActionKind : uint8_t {
    BeginDrain,
    /// Returns an instance to service without a reboot or move, while it is draining or drained, or after it failed in one of
    /// these phases.
    CancelDrain,
    ConfirmDrained,
    BeginReboot,
    ChangePool,
    AwaitReturn,
    FinishReturn,
    Fail,
    /// Returns a failed instance that is healthy again to service.
    Recover,
    /// Records the new address of an instance that returned under another one.
    SetAddress,
    HaltWave,
    /// Closes a wave whose instances have all returned or failed, or whose rollback is complete.
    FinishWave,
    FleetActionKindCount,
};

/// A decision of the control leader, with the reason and the rejected alternatives.
struct FleetAction {
    FleetActionKind kind = FleetActionKind::BeginDrain;
    /// Empty for actions on a wave.
    std::string instance;
    /// Name of the wave that the action belongs to, or empty.
    std::string wave;
    /// Target pool of a move, or empty.
    std::string pool;
    /// New address, for SetAddress only.
    std::string address;
    /// For BeginDrain: the endpoint's incarnation before the drain. An instance has returned only with a newer one.
    uint64_t incarnation = 0;
    std::string reason;
    std::vector<std::string> alternatives;
};

/// Progress of an instance through a planned stop (maintenance or move). Instances without a status are serving.
struct InstanceStatus {
    InstancePhase phase = InstancePhase::Serving;
    std::string wave;
    /// Pool to which the instance moves, or empty for a reboot.
    std::string targetPool;
    /// Revision at which the drain started; 0 if entries may dispatch to the instance.
    uint64_t drainRevision = 0;
    uint64_t incarnation = 0;
    /// Wall-clock time at which the phase began, in milliseconds.
    int64_t phaseSinceMs = 0;
    /// Id and kind of the last action that requires a call to the platform. The call carries the id.
    uint64_t actionId = 0;
    FleetActionKind action = FleetActionKind::BeginDrain;

    bool operator==(const InstanceStatus&) const = default;
};

enum class WavePhase : uint8_t {
    Running,
    Halted,
    RollingBack,
    RolledBack,
    Finished,
    WavePhaseCount,
};

/// Result of one instance's stop in a wave. An instance whose drain was cancelled before its reboot counts as not healthy.
struct WaveOutcome {
    std::string instance;
    int64_t timeMs = 0;
    bool isHealthy = false;
};

struct Wave {
    std::string name;
    std::vector<std::string> pools;
    /// Wall-clock time by which the wave should be complete, in milliseconds.
    int64_t deadlineMs = 0;
    WavePhase phase = WavePhase::Running;
    /// Why the wave was halted, or empty.
    std::string reason;
    /// Instances whose drain has not started yet, sorted.
    std::vector<std::string> pending;
    std::vector<WaveOutcome> outcomes;
    /// Number of outcomes before the last resume; their failures do not halt the wave again.
    uint64_t outcomesBeforeResume = 0;
    /// Maximum size of the next batch. Doubles after each batch that returned healthy; reset to 1 after a failure.
    int64_t maxBatchSize = 1;
    bool hasBatchFailed = false;

    [[nodiscard]] bool isOpen() const { return phase != WavePhase::RolledBack && phase != WavePhase::Finished; }
};

/// An applied action, kept as history.
struct FleetRecord {
    uint64_t id = 0;
    int64_t timeMs = 0;
    uint64_t term = 0;
    FleetAction action;
};

/// Replicated log command that applies an action of the leader.
struct FleetCommand {
    uint64_t term = 0;
    int64_t timeMs = 0;
    FleetAction action;
};

enum class FleetErrorCode : uint8_t {
    /// A command of a later term has already been applied.
    OldTerm,
    InstanceUnknown,
    /// The action is not allowed in the instance's current phase.
    WrongPhase,
    PoolInvalid,
    /// The wave is unknown or not running, or the instance is not pending in it.
    WaveInvalid,
    FleetErrorCodeCount,
};

/// Part of the replicated state that belongs to waves and moves.
struct FleetState {
    /// Highest term of an applied command.
    uint64_t term = 0;
    uint64_t lastActionId = 0;
    std::map<std::string, InstanceStatus> statuses;
    /// In start order.
    std::vector<Wave> waves;
    std::deque<FleetRecord> records;

    [[nodiscard]] InstanceStatus statusOf(const std::string& instance) const;
    [[nodiscard]] const Wave* findWave(std::string_view name) const;
    Wave* findWave(std::string_view name);
    /// @returns whether any instance of the wave is between the start of its drain and its return or failure.
    [[nodiscard]] bool hasInstancesInProgress(std::string_view wave) const;
};

std::string_view phaseName(InstancePhase phase);
std::string_view wavePhaseName(WavePhase phase);
std::string_view fleetActionName(FleetActionKind kind);
std::string_view fleetErrorCodeName(FleetErrorCode fault);

nlohmann::json toJson(const FleetAction& action);
nlohmann::json toJson(const InstanceStatus& status);
nlohmann::json toJson(const Wave& wave);
nlohmann::json toJson(const FleetRecord& record);
nlohmann::json toJson(const FleetCommand& command);
nlohmann::json toJson(const FleetState& state);

/// Parsers of the output of toJson(). They throw nlohmann::json::exception for any other input.
FleetCommand fleetCommandFromJson(const nlohmann::json& value);
FleetState fleetStateFromJson(const nlohmann::json& value);

} // namespace vanillalift
