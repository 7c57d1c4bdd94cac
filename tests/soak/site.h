#pragma once

#include "clients.h"
#include "kept_clients.h"
#include "platform/standin/endpoint_server_p.h"
#include "platform/standin/instance_server_p.h"
#include "processes.h"
#include "proxy.h"

#include <filesystem>

namespace vanillalift::soak {

struct SiteDesc {
    uint64_t seed = 1;
    /// Folder of the vanillalift programs.
    std::string programs;
    /// Folder for settings, data and logs.
    std::string folder;
    size_t controllers = 5;
    size_t gateways = 2;
    size_t endpoints = 6;
    Host host;
    /// Without the host model, clients that keep connections, and limits on stops.
    bool isFriendly = false;
};

/// A simulated endpoint with its HTTP server, which is reached through a proxy.
struct SoakEndpoint {
    std::string instance;
    sim::SimEndpoint* model = nullptr;
    std::unique_ptr<platform::standin::EndpointServer> server;
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<net::HttpChannel> heartbeatChannel;
    /// Controller that gets the next heartbeat; taken modulo the number of controllers.
    size_t heartbeatController = 0;
    /// Sequence number of the last heartbeat.
    uint64_t sequence = 0;
    TimePoint nextHeartbeatAt;
    uint32_t incarnation = 0;
    /// End of the instance's maintenance.
    TimePoint downUntil;
    /// No process runs until then because it crashed.
    TimePoint crashedUntil;
    /// Number of the wave in which the instance went into maintenance; 0 for none.
    uint64_t maintainedByWave = 0;
};

/// A deployment of real controller and gateway processes on its own loopback addresses. This process simulates the endpoints,
/// clients, operators and the platform.
class SoakSite {
public:
    SoakSite(net::EventLoop& loop, const Clock& clock, SiteDesc desc);

    /// @returns false if an address could not be listened on.
    bool start();
    /// Does all work that is due; called every few milliseconds.
    void poll();

    // Faults
    void startController(size_t n, bool isFirstStart = false);
    void startGateway(size_t n);
    [[nodiscard]] std::string controllerName(size_t n) const { return "controller-" + std::to_string(n); }
    [[nodiscard]] std::string gatewayName(size_t n) const { return "gateway-" + std::to_string(n); }
    /// Resumes the process if it is paused and sends the signal. Its exit is then expected and no violation.
    void stop(const std::string& name, int signal);
    /// Sends SIGTERM while clients that keep connections have requests under way. The exit is then expected.
    void askToStop(const std::string& name);
    /// Sends a signal to the process, which has to survive it.
    void signal(const std::string& name, int signal);
    [[nodiscard]] std::vector<std::string> processNames() const;
    void startProcess(const std::string& name, bool isFirstStart = false);
    /// @returns whether the process has run at least since then.
    [[nodiscard]] bool hasRunSince(const std::string& name, TimePoint time) const;
    /// Opens idle connections to each process, for as long as the soak has descriptors.
    void openIdleConnections();
    void closeIdleConnections() { m_idleConnections.clear(); }
    /// Cuts a log segment to nothing. The controller must be down. @returns false if it has none.
    bool damageLog(size_t n);
    void wipeDisk(size_t n);
    /// Appends to the log what a power loss may leave of a write that was not synced.
    void appendTornWrite(size_t n);
    Proxy& linkProxy(size_t n) { return *m_linkProxies[n]; }
    Proxy& controlProxy(size_t n) { return *m_controlProxies[n]; }
    Proxy& gatewayProxy(size_t n) { return *m_gatewayProxies[n]; }
    SoakEndpoint& endpoint(size_t n) { return *m_endpoints[n]; }
    /// Simulates a crash and restart of the endpoint's process.
    void restartEndpoint(size_t n, bool isSameId);
    /// Each start of a task of the job crashes its endpoint's process.
    void addCrashingJob(const std::string& id) { m_crashingJobs.insert(id); }
    [[nodiscard]] bool isCrashing(const std::string& job) const { return m_crashingJobs.contains(job); }
    /// Shrinks the endpoint's capacity, or restores it.
    void changeCapacity(size_t n);

    // Operators
    void changeCatalog();
    void startWave();
    /// Ends all network faults, resumes paused processes and starts those that are not running.
    void restoreAll();

    [[nodiscard]] const SiteDesc& desc() const { return m_desc; }
    [[nodiscard]] sim::World& world() { return m_world; }
    [[nodiscard]] Clients& clients() { return *m_clients; }
    [[nodiscard]] bool hasCatalog() const { return m_ackedVersion != 0; }
    [[nodiscard]] bool isWaveComplete() const { return m_wave.number == 0 || m_isWaveComplete; }
    Processes& processes() { return m_processes; }
    [[nodiscard]] const KeptClients& keptClients() const { return *m_keptClients; }
    /// Checks that no program has flooded its log.
    void checkLogs();
    /// @returns one line for each process that ended by itself.
    [[nodiscard]] std::string describeEnds() const;

private:
    /// What the soak has done to one process.
    struct ProcessState {
        TimePoint startedAt;
        /// When it was asked to stop; the epoch if not.
        TimePoint stopAskedAt;
        /// When it was killed, paused or resumed last.
        TimePoint harmedAt;
        /// Its settings say so, as they do when it is started again after it ended by itself.
        bool isFirstStart = false;
        /// It is not started again before, because it ended by itself; the epoch if it did not.
        TimePoint restartAt;
        /// Ends by itself since it last ran for long.
        uint32_t quickEnds = 0;
        /// Ends by itself, by description.
        std::map<std::string, size_t> ends;
    };

    void startMetricsListeners();
    void startKeptClients(const jobs::Queue& queue);
    /// @returns whether the process runs already or has to wait.
    [[nodiscard]] bool isStartRefused(const std::string& name) const;
    void launch(const std::string& name, const std::vector<std::string>& command);
    /// Starts processes again that ended by themselves, once they are due.
    void restartEnded();
    void handleExit(const std::string& name, int status);
    /// @returns when a process that met no other harm was asked to stop.
    [[nodiscard]] std::optional<TimePoint> stopAskedAt(const std::string& name) const;
    void checkStops();
    [[nodiscard]] net::Address address(int network, size_t host, uint16_t port) const;
    [[nodiscard]] std::string addressText(int network, size_t host, uint16_t port) const;
    void startEndpointServer(SoakEndpoint& it, size_t n);
    void sendHeartbeat(SoakEndpoint& it);
    /// Ends the process of an endpoint; poll() starts another one at its address later.
    void crashEndpoint(size_t n);
    void putCatalog();
    void readCatalog();
    void putWave();
    void readWave();
    void callControl(net::HttpRequest request, std::function<void(int status, const std::string& body)> handler);
    jobs::InstanceReplyStatus maintain(const std::string& instance, uint64_t wave);

    net::EventLoop& m_loop;
    const Clock& m_clock;
    SiteDesc m_desc;
    sim::World m_world;
    Processes m_processes;
    std::map<std::string, ProcessState> m_states;
    std::set<std::string> m_expectedExits;
    std::vector<std::unique_ptr<net::Listener>> m_metricsListeners;
    std::vector<std::unique_ptr<net::Stream>> m_idleConnections;
    std::unique_ptr<KeptClients> m_keptClients;
    std::vector<std::unique_ptr<Proxy>> m_linkProxies;
    std::vector<std::unique_ptr<Proxy>> m_controlProxies;
    std::vector<std::unique_ptr<Proxy>> m_gatewayProxies;
    std::vector<std::unique_ptr<SoakEndpoint>> m_endpoints;
    std::set<std::string> m_crashingJobs;
    std::unique_ptr<platform::standin::InstanceServer> m_instanceServer;
    std::vector<std::unique_ptr<net::HttpChannel>> m_operatorChannels;
    std::unique_ptr<Clients> m_clients;
    jobs::Catalog m_catalog;
    uint64_t m_ackedVersion = 0;
    TimePoint m_ackedAt;
    bool m_isPutPending = false;
    bool m_isReadPending = false;
    TimePoint m_nextReadAt;
    jobs::Wave m_wave;
    bool m_isWaveAccepted = false;
    bool m_isWaveComplete = false;
    bool m_isWaveCallPending = false;
    TimePoint m_nextWaveCallAt;
};

} // namespace vanillalift::soak
