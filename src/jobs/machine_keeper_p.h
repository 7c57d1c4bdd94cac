#pragma once

#include "dispatcher_p.h"
#include "pool_plan_p.h"
#include "turn_forecast_p.h"
#include "wave_plan_p.h"

#include <vanillalift/endpoint_link.h>

#include <map>
#include <set>

namespace vanillalift::jobs {

struct MachineKeeperDesc {
    /// Whether there is a platform to call.
    bool isEnabled = false;
    Duration maintenance = std::chrono::seconds(2);
    Duration move = std::chrono::seconds(2);
    /// Calls a second that all instances together may make.
    double callsPerSecond = 1;
};

/// The leader's work on machines: carries maintenance waves through, and moves machines between pools. Exists for one
/// term.
class MachineKeeper {
public:
    MachineKeeper(MachineKeeperDesc desc, uint64_t term, JobStore& store, Dispatcher& dispatcher, MachineService& service, std::function<void(Command)> propose, const Clock& clock, EventLog& log);
    ~MachineKeeper();

    void tick();

private:
    struct Known {
        Machine machine;
        /// When the reading that told this was sent.
        TimePoint readAt;
    };
    struct Progress {
        TimePoint drainingSince;
        bool isCallOut = false;
        TimePoint nextCallAt;
        /// When the platform accepted the order; the epoch before.
        TimePoint acceptedAt;
        /// The machine has been seen up after the order.
        bool isBack = false;
    };

    /// A move that is planned or ordered.
    struct Move {
        /// Empty while the machine is only emptied.
        std::string pool;
        std::string from;
        bool isCallOut = false;
        bool isAccepted = false;
        TimePoint nextCallAt;
        TimePoint acceptedAt;
    };

    void servePools();
    std::vector<Pool> describePools();
    std::vector<PoolMachine> describeMachines(const std::vector<Pool>& pools);
    void callMove(const std::string& name);
    void settleMoves();
    [[nodiscard]] bool isInOpenWave(const std::string& machine) const;
    void readMachines();
    void readPage(const std::string& token, TimePoint sentAt);
    void serveWave(const WaveState& wave);
    WaveMachine describe(const WaveState& wave, const std::string& name);
    void beginMaintenance(const WaveState& wave, const std::string& name);
    void callMaintenance(uint64_t wave, const std::string& name);
    void emptyMachine(const std::string& name, bool isForced);
    [[nodiscard]] bool mayStop(const Run& run) const;
    [[nodiscard]] const Endpoint* endpointOf(const std::string& machine) const;
    [[nodiscard]] const EndpointSession* sessionOf(const std::string& machine) const;
    bool takeCall();
    void updateLeaving();

    MachineKeeperDesc m_desc;
    uint64_t m_term;
    JobStore& m_store;
    Dispatcher& m_dispatcher;
    MachineService& m_service;
    std::function<void(Command)> m_propose;
    const Clock& m_clock;
    EventLog& m_log;
    std::map<std::string, Known> m_machines;
    std::map<std::string, Machine> m_reading;
    bool m_hasRead = false;
    bool m_isReading = false;
    TimePoint m_nextReadAt;
    TimePoint m_nextTickAt;
    std::map<std::pair<uint64_t, std::string>, Progress> m_progress;
    std::map<std::string, Move> m_moves;
    std::map<std::string, TimePoint> m_idleSince;
    TurnForecast m_forecast;
    /// Work has arrived in this term: until then, idle machines say nothing about demand.
    bool m_hasDemand = false;
    TimePoint m_nextPoolPlanAt;
    TimePoint m_nextPoolLogAt;
    double m_callTokens = 0;
    TimePoint m_filledAt;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace vanillalift::jobs
