#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Maintenance waves, phases of instances, and the leader's actions on them.
namespace vanillalift {

enum class InstancePhase : uint8_t {
    Serving,
    /// Entries dispatch nothing more to it.
    Draining,
    /// Proved to run nothing.
    Drained,
    Rebooting,
    /// Rebooted, moved or called back; not yet announced again.
    Returning,
    Failed,
    InstancePhaseCount,
};

enum class FleetActionKind : uint8_t {
    BeginDrain,
    /// Calls an instance back without a reboot or move: while it is draining, drained, or failed after that.
    CancelDrain,
    ConfirmDrained,
    BeginReboot,
    ChangePool,
    AwaitReturn,
    FinishReturn,
    Fail,
    /// A failed instance serves again.
    Recover,
    /// A returning instance announced itself under another address.
    SetAddress,
    HaltWave,
    /// All instances of the wave have returned or failed, or its roll back is complete.
    FinishWave,
    FleetActionKindCount,
};

/// A decision of the control leader, with why it was preferred.
struct FleetAction {
    FleetActionKind kind = FleetActionKind::BeginDrain;
    /// Empty for actions on a wave.
    std::string instance;
    /// Wave that the action belongs to, or empty.
    std::string wave;
    /// Target of a move, or empty.
    std::string pool;
    /// For SetAddress.
    std::string address;
    /// For BeginDrain: incarnation of the endpoint before the stop; a return needs a newer one.
    uint64_t incarnation = 0;
    std::string reason;
    std::vector<std::string> alternatives;
};

/// Where an instance is on its way through a planned stop. Instances without a status are serving.
struct InstanceStatus {
    InstancePhase phase = InstancePhase::Serving;
    std::string wave;
    /// Pool to which the instance moves, or empty for a reboot.
    std::string targetPool;
    /// Revision of the drain's start; 0 if entries may dispatch to the instance.
    uint64_t drainRevision = 0;
    uint64_t incarnation = 0;
    /// Wall-clock milliseconds at which the phase began.
    int64_t phaseSinceMs = 0;
    /// Id and kind of the last action that a call to the platform follows. The call carries the id.
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

/// An instance whose stop for the wave has ended; one that was called back without its reboot is not healthy.
struct WaveOutcome {
    std::string instance;
    int64_t timeMs = 0;
    bool isHealthy = false;
};

struct Wave {
    std::string name;
    std::vector<std::string> pools;
    /// Wall-clock milliseconds by which the wave should be complete.
    int64_t deadlineMs = 0;
    WavePhase phase = WavePhase::Running;
    /// Why it was halted, or empty.
    std::string reason;
    /// Instances that were not started yet, sorted.
    std::vector<std::string> pending;
    std::vector<WaveOutcome> outcomes;
    /// Outcomes before the last resume; they do not halt the wave again.
    uint64_t outcomesBeforeResume = 0;
    /// Largest next batch. Doubles with each batch that returned healthy, 1 after a failure.
    int64_t maxBatchSize = 1;
    bool hasBatchFailed = false;

    [[nodiscard]] bool isOpen() const { return phase != WavePhase::RolledBack && phase != WavePhase::Finished; }
};

/// An applied action.
struct FleetRecord {
    uint64_t id = 0;
    int64_t timeMs = 0;
    uint64_t term = 0;
    FleetAction action;
};

/// The leader's action on its way through the log.
struct FleetCommand {
    uint64_t term = 0;
    int64_t timeMs = 0;
    FleetAction action;
};

enum class FleetErrorCode : uint8_t {
    /// A command of a later term was applied before.
    OldTerm,
    InstanceUnknown,
    /// The instance is not in a phase in which the action starts.
    WrongPhase,
    PoolInvalid,
    /// The wave is unknown or does not run, or the instance is not waiting in it.
    WaveInvalid,
    FleetErrorCodeCount,
};

/// The part of the replicated state that waves and moves need.
struct FleetState {
    /// Highest term of an applied command.
    uint64_t term = 0;
    uint64_t lastActionId = 0;
    std::map<std::string, InstanceStatus> statuses;
    /// In the order in which they were started.
    std::vector<Wave> waves;
    std::deque<FleetRecord> records;

    [[nodiscard]] InstanceStatus statusOf(const std::string& instance) const;
    [[nodiscard]] const Wave* findWave(std::string_view name) const;
    Wave* findWave(std::string_view name);
    /// @returns whether an instance of the wave is between the start of its drain and its return or failure.
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

/// Readers of what the functions above wrote. They throw nlohmann::json::exception for anything else.
FleetCommand fleetCommandFromJson(const nlohmann::json& value);
FleetState fleetStateFromJson(const nlohmann::json& value);

} // namespace vanillalift
