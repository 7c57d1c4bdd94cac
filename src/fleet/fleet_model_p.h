#pragma once

#include <vanillalift/control_state.h>
#include <vanillalift/platform.h>

#include <map>
#include <string>
#include <vector>

/// Input of the fleet planners: a copy of the committed state combined with observations.
namespace vanillalift {

struct InstanceObservation {
    bool isAnnounced = false;
    bool isLeaving = false;
    /// Wall-clock time of the last change of isAnnounced that this leader knows of, in milliseconds; 0 if unknown.
    int64_t announcementChangedMs = 0;
    uint64_t incarnation = 0;
    std::string address;
    /// Whether each entry with a lease has applied the drain's revision.
    bool isDrainApplied = false;
    /// Whether each entry with a lease has reported its requests in flight since it applied the drain.
    bool isInFlightKnown = false;
    int64_t inFlight = 0;
    PlatformState platform = PlatformState::Unknown;
    /// Id of the newest action that the platform has accepted for the instance.
    uint64_t platformActionId = 0;
};

struct FleetObservations {
    std::map<std::string, InstanceObservation> instances;
    /// Demand by pool: high quantile of the busy slots over the last hours, in instances.
    std::map<std::string, double> demand;
};

struct InstanceModel {
    Instance instance;
    InstanceStatus status;
    InstanceObservation observation;
    size_t pool = 0;
    bool isAvailable = false;
};

struct PoolModel {
    std::string name;
    /// Empty for the spare pool.
    std::string service;
    /// Number of instances required for the demand, at least the configured minimum.
    int64_t requiredInstances = 0;
    /// Number of instances that can take requests now.
    int64_t available = 0;
    /// Indices of its instances in FleetModel::instances.
    std::vector<size_t> members;
    double availabilityBudget = 0;
    /// Fraction of the instance time in the budget window by which absences exceeded the rack buffer.
    double consumedBudget = 0;
    double rollOutWeight = 1;
    double shareWeight = 1;
    double bufferWeight = 1;
    double moveWeight = 1;

    [[nodiscard]] bool isSpare() const { return service.empty(); }
    [[nodiscard]] bool isBudgetExhausted() const { return consumedBudget >= 1 - availabilityBudget; }
};

struct FleetModel {
    int64_t nowMs = 0;
    std::vector<InstanceModel> instances;
    std::vector<PoolModel> pools;
    std::vector<Wave> waves;

    [[nodiscard]] const InstanceModel* findInstance(std::string_view name) const;
    [[nodiscard]] const PoolModel& poolOf(const InstanceModel& instance) const { return pools[instance.pool]; }
    /// @returns the pool's buffer for the loss of a rack: the largest number of its instances in one rack.
    [[nodiscard]] int64_t bufferOf(const PoolModel& pool) const;
};

/// @param nowMs wall-clock time in milliseconds, on the same clock as the committed times.
FleetModel makeFleetModel(const ControlState& state, const FleetObservations& observations, int64_t nowMs);

/// Marks the instance of a planned BeginDrain as unavailable in the model, so that later planning steps do not count it.
void markUnavailable(FleetModel& model, const FleetAction& action);

} // namespace vanillalift
