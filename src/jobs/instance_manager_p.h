#pragma once

#include "dispatcher_p.h"
#include "peak_forecast_p.h"
#include "pool_plan_p.h"
#include "wave_plan_p.h"

#include <vanillalift/endpoint_link.h>

#include <map>
#include <set>

namespace vanillalift::jobs {

struct InstanceManagerDesc {
    /// Whether there is a platform to call.
    bool isEnabled = false;
    Duration maintenanceTime = std::chrono::seconds(2);
    Duration moveTime = std::chrono::seconds(2);
    /// Calls a second that all instances together may make.
    double callsPerSecond = 1;
};

/// The leader's work on instances: carries maintenance waves through, and moves instances between pools. Exists for one
/// term.
class InstanceManager {
public:
    InstanceManager(InstanceManagerDesc desc, uint64_t term, JobStore& store, Dispatcher& dispatcher, InstanceService& service, std::function<void(Command)> propose, const Clock& clock, EventLog& log);
    ~InstanceManager();

    void tick();

private:
    /// The platform may be slow without being unavailable.
    static constexpr std::chrono::milliseconds callTimeout { 3000 };
    /// Pause before an order that was not accepted is given again.
    static constexpr std::chrono::milliseconds callRetry { 300 };

    struct Known {
        Instance instance;
        /// When the reading that told this was sent.
        TimePoint readAt;
    };
    struct Progress {
        TimePoint drainingSince;
        bool isCallOut = false;
        TimePoint nextCallAt;
        /// When the platform accepted the order; the epoch before.
        TimePoint acceptedAt;
        /// The instance has been seen up after the order.
        bool isBack = false;
        /// Since when the platform has refused the order and not listed the instance; the epoch if it lists it.
        TimePoint unlistedSince;
    };

    /// A move that is planned or ordered.
    struct Move {
        /// Empty while the instance is only emptied.
        std::string pool;
        std::string from;
        bool isCallOut = false;
        bool isAccepted = false;
        TimePoint nextCallAt;
        TimePoint acceptedAt;
    };

    void servePools();
    std::vector<Pool> describePools();
    std::vector<PoolInstance> describeInstances(const std::vector<Pool>& pools);
    void callMove(const std::string& name);
    void settleMoves();
    /// @returns the instances that a wave takes down or has not yet seen back.
    [[nodiscard]] std::set<std::string_view> instancesInWaves() const;
    void readInstances();
    void readPage(const std::string& token, TimePoint sentAt);
    void serveWave(const WaveState& wave);
    WaveInstance describe(const WaveState& wave, const std::string& name);
    void beginMaintenance(const WaveState& wave, const std::string& name);
    void callMaintenance(uint64_t wave, const std::string& name);
    void emptyInstance(const std::string& name, bool isForced);
    /// What shows that a task is at work.
    enum class Evidence : uint8_t { NewestList,
        FreshList };
    [[nodiscard]] bool isAtWork(const TaskKey& key, const Task& task, Evidence evidence) const;
    [[nodiscard]] bool mayStop(const Run& run) const;
    [[nodiscard]] const Endpoint* endpointOf(const std::string& instance) const;
    [[nodiscard]] const EndpointSession* sessionOf(const std::string& instance) const;
    bool takeCall();
    void updateLeaving();

    InstanceManagerDesc m_desc;
    uint64_t m_term;
    JobStore& m_store;
    Dispatcher& m_dispatcher;
    InstanceService& m_service;
    std::function<void(Command)> m_propose;
    const Clock& m_clock;
    EventLog& m_log;
    std::map<std::string, Known> m_instances;
    std::map<std::string, Instance> m_reading;
    bool m_hasRead = false;
    bool m_isReading = false;
    TimePoint m_nextReadAt;
    TimePoint m_nextTickAt;
    std::map<std::pair<uint64_t, std::string>, Progress> m_progress;
    std::map<std::string, Move> m_moves;
    std::map<std::string, TimePoint> m_idleSince;
    PeakForecast m_forecast;
    /// Work has arrived in this term: until then, idle instances say nothing about demand.
    bool m_hasDemand = false;
    TimePoint m_nextPoolPlanAt;
    TimePoint m_nextPoolLogAt;
    double m_callTokens = 0;
    TimePoint m_filledAt;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace vanillalift::jobs
