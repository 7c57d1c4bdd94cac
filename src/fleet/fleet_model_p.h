#pragma once

#include <vanillalift/control_state.h>
#include <vanillalift/platform.h>

#include <map>
#include <string>
#include <vector>

/// What the fleet planners decide on: a copy of the committed state together with observations.
namespace vanillalift {

struct InstanceObservation {
    bool isAnnounced = false;
    bool isLeaving = false;
    /// Wall-clock milliseconds at which isAnnounced last changed, as far as this leader knows.
    int64_t announcementChangedMs = 0;
    uint64_t incarnation = 0;
    std::string address;
    /// Whether the drain's revision is in force on each entry with a lease.
    bool isDrainApplied = false;
    /// Whether each entry with a lease has reported what it has in flight since then.
    bool isInFlightKnown = false;
    int64_t inFlight = 0;
    PlatformState platform = PlatformState::Unknown;
    /// Newest action that the platform has accepted for the instance.
    uint64_t platformActionId = 0;
};

struct FleetObservations {
    std::map<std::string, InstanceObservation> instances;
    /// Busy instances' worth of slots at the high quantile over the last hours, by pool.
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
    /// Empty for spare capacity.
    std::string service;
    /// Instances that carry the demand, at least the declared minimum.
    int64_t requiredInstances = 0;
    /// Instances that can take work now.
    int64_t available = 0;
    /// Indices of its instances.
    std::vector<size_t> members;
    double availabilityBudget = 0;
    /// Fraction of instance time in the window that was absent beyond the buffer.
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
    /// @returns the largest number of the pool's instances in one rack.
    [[nodiscard]] int64_t bufferOf(const PoolModel& pool) const;
};

/// @param nowMs wall-clock milliseconds, comparable with the committed times.
FleetModel makeFleetModel(const ControlState& state, const FleetObservations& observations, int64_t nowMs);

/// Takes the instance of a planned BeginDrain out of service in the model, so that no other plan counts on it.
void markUnavailable(FleetModel& model, const FleetAction& action);

} // namespace vanillalift
