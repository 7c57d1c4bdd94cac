#include "site.h"

#include <csignal>
#include <fstream>
#include <sys/stat.h>
#include <sys/wait.h>

namespace vanillalift::soak {

using namespace jobs;
using namespace platform::standin;
using std::chrono::milliseconds;

namespace {

    constexpr uint16_t linkPort = 7000;
    constexpr uint16_t metricsPort = 7015;
    constexpr uint16_t controlPort = 8345;
    constexpr uint16_t clientPort = 8340;
    constexpr uint16_t readinessPort = 8343;
    constexpr uint16_t endpointPort = 8080;
    constexpr uint16_t instancePort = 8344;
    // Third octet N of the addresses 127.S.N.host: processes, the proxies in front of them, endpoints, the proxies in front of
    // those.
    constexpr int processNetwork = 1;
    constexpr int proxyNetwork = 2;
    constexpr int endpointNetwork = 3;
    constexpr int endpointProxyNetwork = 4;
    constexpr size_t firstGatewayHost = 100;
    /// Number of values of the second octet S, which is chosen by the seed modulo this number: concurrent runs need seeds that
    /// give different values.
    constexpr uint64_t networkCount = 200;
    constexpr int firstNetwork = 20;

    constexpr milliseconds heartbeatInterval { 500 };
    constexpr Resources fullCapacity { 4000, 4000, 0 };
    /// Proxies hold back a start, and the heartbeats that would have prevented it, for up to 7 s each.
    constexpr milliseconds capacityNotice { 18000 };
    constexpr milliseconds callTimeout { 1000 };
    constexpr milliseconds operatorInterval { 300 };
    /// The target platform requires that a version is in effect everywhere this long after its acknowledgement.
    constexpr milliseconds applyLimit { 2000 };
    constexpr milliseconds maintenanceDuration { 2000 };
    /// Hosts of one network that share its third octet; the next ones have it greater by networkStep.
    constexpr size_t hostsPerNetwork = 250;
    constexpr size_t networkStep = 10;

    constexpr milliseconds metricsPortTime { 3000 };
    /// A gateway that has lasting requests ends 5.8 s after it was asked to.
    constexpr milliseconds stopLimit { 7000 };
    /// A request that a process could not answer when it was paused may end this long after.
    constexpr milliseconds harmPeriod { 5000 };
    constexpr milliseconds minRestartDelay { 200 };
    constexpr milliseconds maxRestartDelay { 5000 };
    constexpr milliseconds longRun { 10000 };
    constexpr int64_t maxLogBytes = 8 << 20;
    /// Unit of st_blocks.
    constexpr int64_t statBlockBytes = 512;
    constexpr milliseconds hurryTime { 1000 };
    constexpr milliseconds hurryBeforeStop { 20 };
    constexpr size_t idleConnectionsPerProcess = 100;
    /// Share of the soak's own descriptors that idle connections may use: one of this many.
    constexpr size_t idleConnectionsShare = 2;
    constexpr size_t maxKeptClients = 32;
    constexpr size_t maxKeptClientsPerProcess = 4;

    std::string dataFolder(const SiteDesc& desc, size_t n) { return desc.folder + "/disks/" + std::to_string(n); }

    std::string describeExit(int status) { return WIFEXITED(status) ? "status " + std::to_string(WEXITSTATUS(status)) : "signal " + std::to_string(WTERMSIG(status)); }

    /// @returns the log segments of a data folder, oldest first.
    std::vector<std::filesystem::path> segments(const std::string& folder)
    {
        std::vector<std::filesystem::path> list;
        std::error_code ec;
        for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
            if (it.path().extension() == ".seg")
                list.push_back(it.path());
        }
        std::sort(list.begin(), list.end());
        return list;
    }

} // namespace

SoakSite::SoakSite(net::EventLoop& loop, const Clock& clock, SiteDesc desc)
    : m_loop(loop)
    , m_clock(clock)
    , m_desc(std::move(desc))
    , m_world(m_desc.seed)
    , m_processes(m_desc.host)
{
    m_world.clock.time = clock.now();
    m_world.faults.failedRunProbability = 0.02;
    m_world.capacityNotice = capacityNotice;
}

net::Address SoakSite::address(int network, size_t host, uint16_t port) const { return *net::parseAddress(addressText(network, host, port)); }

std::string SoakSite::addressText(int network, size_t host, uint16_t port) const
{
    auto thirdOctet = static_cast<size_t>(network) + host / hostsPerNetwork * networkStep;
    return "127." + std::to_string(firstNetwork + m_desc.seed % networkCount) + '.' + std::to_string(thirdOctet) + '.' + std::to_string(host % hostsPerNetwork + 1) + ':' + std::to_string(port);
}

bool SoakSite::start()
{
    std::filesystem::remove_all(m_desc.folder);
    std::filesystem::create_directories(m_desc.folder);
    bool isOpen = true;
    auto makeProxy = [&](int from, int to, size_t host, uint16_t port) {
        auto proxy = std::make_unique<Proxy>(m_loop, m_clock, address(from, host, port), address(to, host, port));
        isOpen = isOpen && proxy->isOpen();
        return proxy;
    };
    for (size_t n = 0; n < m_desc.controllers; n++) {
        m_linkProxies.push_back(makeProxy(proxyNetwork, processNetwork, n, linkPort));
        m_controlProxies.push_back(makeProxy(proxyNetwork, processNetwork, n, controlPort));
        m_operatorChannels.push_back(std::make_unique<net::HttpChannel>(m_loop, m_clock, address(proxyNetwork, n, controlPort)));
    }
    std::vector<net::Address> gateways;
    for (size_t n = 0; n < m_desc.gateways; n++) {
        m_gatewayProxies.push_back(makeProxy(proxyNetwork, processNetwork, firstGatewayHost + n, clientPort));
        gateways.push_back(address(proxyNetwork, firstGatewayHost + n, clientPort));
    }
    m_catalog.version = 1;
    Queue queue;
    queue.name = "q";
    queue.host = "soak.example";
    queue.pathPrefix = "/jobs/";
    queue.service = "pool";
    queue.maxAttempts = 4;
    queue.timeoutMs = 3000;
    queue.targetLatencyMs = 2500;
    m_catalog.queues.push_back(queue);
    Service service;
    service.name = "pool";
    m_catalog.services.push_back(service);
    m_catalog.workspaces.push_back({ "workspace", { "soak-key" }, 10, {} });
    m_clients = std::make_unique<Clients>(m_loop, m_clock, m_world, gateways, queue, "soak-key");

    InstanceServer::Handlers handlers;
    handlers.list = [this] {
        std::vector<Instance> instances;
        for (const auto& it : m_endpoints) {
            bool isDown = it->downUntil > m_clock.now();
            instances.push_back({ it->instance, "pool", isDown ? InstanceState::Maintenance : InstanceState::Up, "zone-a", it->model->description.capacity, {}, isDown ? "" : it->model->description.id });
        }
        return instances;
    };
    handlers.move = [](const std::string&, const std::string&, uint64_t) { return InstanceReplyStatus::Impossible; };
    handlers.maintain = [this](const std::string& instance, uint64_t wave, uint64_t) { return maintain(instance, wave); };
    m_instanceServer = std::make_unique<InstanceServer>(m_loop, m_clock, address(endpointNetwork, firstGatewayHost, instancePort), std::move(handlers));
    isOpen = isOpen && m_instanceServer->isOpen();

    for (size_t n = 0; n < m_desc.endpoints; n++) {
        auto& it = *m_endpoints.emplace_back(std::make_unique<SoakEndpoint>());
        it.instance = "m-" + std::to_string(n);
        Endpoint endpoint;
        endpoint.id = "e-" + std::to_string(n);
        endpoint.startedAtMs = wallClockMs();
        endpoint.service = "pool";
        endpoint.address = addressText(endpointProxyNetwork, n, endpointPort);
        endpoint.availabilityZone = "zone-a";
        endpoint.instance = it.instance;
        endpoint.capacity = fullCapacity;
        auto& model = m_world.endpoints[endpoint.id];
        model = std::make_unique<sim::SimEndpoint>(m_world, endpoint);
        model->need = { 1000, 100, 0 };
        it.model = model.get();
        it.proxy = std::make_unique<Proxy>(m_loop, m_clock, address(endpointProxyNetwork, n, endpointPort), address(endpointNetwork, n, endpointPort));
        isOpen = isOpen && it.proxy->isOpen();
        startEndpointServer(it, n);
    }
    startMetricsListeners();
    for (size_t n = 0; n < m_desc.controllers; n++)
        startController(n, true);
    for (size_t n = 0; n < m_desc.gateways; n++)
        startGateway(n);
    startKeptClients(queue);
    return isOpen;
}

void SoakSite::startMetricsListeners()
{
    if (!m_processes.host().isMetricsPortBusy())
        return;
    auto listen = [this](size_t host) { m_metricsListeners.push_back(std::make_unique<net::Listener>(m_loop, address(processNetwork, host, metricsPort), [](evutil_socket_t fd) { evutil_closesocket(fd); })); };
    for (size_t n = 0; n < m_desc.controllers; n++)
        listen(n);
    for (size_t n = 0; n < m_desc.gateways; n++)
        listen(firstGatewayHost + n);
    m_world.eventQueue.after(metricsPortTime, [this] { m_metricsListeners.clear(); });
}

void SoakSite::startKeptClients(const Queue& queue)
{
    auto onCut = [this](const std::string& name) { m_world.violations.add("a request on a kept connection got no answer when " + name + " was asked to stop"); };
    m_keptClients = std::make_unique<KeptClients>(
        m_loop, m_clock, [this](const std::string& name) { return stopAskedAt(name); }, onCut);
    if (m_desc.isFriendly)
        return;
    auto count = std::clamp<size_t>(maxKeptClients / (m_desc.controllers + m_desc.gateways), 1, maxKeptClientsPerProcess);
    for (size_t n = 0; n < m_desc.controllers; n++)
        m_keptClients->add(controllerName(n), address(processNetwork, n, controlPort), readCatalogRequest(), count);
    for (size_t n = 0; n < m_desc.gateways; n++)
        m_keptClients->add(gatewayName(n), address(processNetwork, firstGatewayHost + n, clientPort), readJobRequest(queue, "kept", m_catalog.workspaces.front().keys.front()), count);
}

void SoakSite::startEndpointServer(SoakEndpoint& it, size_t n)
{
    auto* model = it.model;
    EndpointHandlers handlers;
    handlers.start = [this, model, n](const StartRequest& order) {
        auto isKnown = m_world.runningAt[order.task].contains(model->description.id);
        auto reply = model->start(order, "");
        if (reply.status == EndpointReplyStatus::Accepted && m_crashingJobs.contains(order.task.job))
            m_world.eventQueue.after(sim::crashDelay, [this, n, incarnation = model->incarnation()] {
                if (m_endpoints[n]->model->incarnation() == incarnation)
                    crashEndpoint(n);
            });
        if (reply.status == EndpointReplyStatus::Accepted && !isKnown)
            m_clients->checkStart(order);
        return reply;
    };
    handlers.stop = [model](const StopRequest& order) { return model->stop(order); };
    handlers.throttle = [model](const ThrottleRequest&) { return RunRequestReply { EndpointReplyStatus::Accepted, model->clockMs() }; };
    handlers.requestStatus = [model](const StatusRequest& order) { return model->requestStatus(order); };
    handlers.hasUnacknowledgedEnds = [model](const StatusRequest& order) { return model->lastEnd() > order.acknowledgedThrough && model->hasEnds(); };
    handlers.clockMs = [model] { return model->clockMs(); };
    // The previous server has to release the address first.
    it.server.reset();
    it.server = std::make_unique<EndpointServer>(m_loop, m_clock, address(endpointNetwork, n, endpointPort), model->description.id, std::move(handlers));
    if (!it.server->isOpen())
        m_world.violations.add("the server of a simulated endpoint could not listen on its address");
}

void SoakSite::restartEndpoint(size_t n, bool isSameId)
{
    auto& it = *m_endpoints[n];
    it.incarnation++;
    it.model->restartAs(isSameId ? it.model->description.id : "e-" + std::to_string(n) + "-" + std::to_string(it.incarnation));
    it.model->description.startedAtMs = wallClockMs();
    it.sequence = 0;
    it.proxy->resetConnections();
    startEndpointServer(it, n);
}

void SoakSite::crashEndpoint(size_t n)
{
    auto& it = *m_endpoints[n];
    it.model->crash();
    it.server.reset();
    it.proxy->resetConnections();
    it.crashedUntil = m_clock.now() + m_world.restartTime;
}

void SoakSite::changeCapacity(size_t n)
{
    auto& model = *m_endpoints[n]->model;
    model.setCapacity(model.description.capacity == fullCapacity ? Resources { 2000, 2000, 0 } : fullCapacity);
}

void SoakSite::startController(size_t n, bool isFirstStart)
{
    auto name = controllerName(n);
    if (isStartRefused(name))
        return;
    NodeSettings file;
    file.node = name;
    file.ip = addressText(proxyNetwork, n, linkPort);
    file.ip.resize(file.ip.find(':'));
    file.availabilityZone = "zone-" + std::string(1, static_cast<char>('a' + n % 3));
    file.controlAddress = addressText(processNetwork, n, controlPort);
    file.firstPort = linkPort;
    file.lastPort = metricsPort;
    for (size_t it = 0; it < std::min<size_t>(m_desc.controllers, 3); it++)
        file.seeds.push_back(addressText(proxyNetwork, it, controlPort));
    file.isFirstStart = isFirstStart;
    m_states[name].isFirstStart = isFirstStart;
    file.dataFolder = dataFolder(m_desc, n);
    file.instanceServiceAddress = addressText(endpointNetwork, firstGatewayHost, instancePort);
    auto path = m_desc.folder + '/' + name + ".json";
    std::ofstream(path) << formatSettings(file);
    m_processes.host().createDataFolder(file.dataFolder);
    launch(name, { m_desc.programs + "/vanillalift-controller", "--settings", path, "--listen", addressText(processNetwork, n, linkPort) });
}

void SoakSite::startGateway(size_t n)
{
    auto name = gatewayName(n);
    if (isStartRefused(name))
        return;
    NodeSettings file;
    file.node = name;
    auto host = firstGatewayHost + n;
    file.ip = addressText(processNetwork, host, linkPort);
    file.ip.resize(file.ip.find(':'));
    file.availabilityZone = "zone-a";
    file.clientAddress = addressText(processNetwork, host, clientPort);
    file.readinessAddress = addressText(processNetwork, host, readinessPort);
    file.firstPort = linkPort;
    file.lastPort = metricsPort;
    for (size_t it = 0; it < std::min<size_t>(m_desc.controllers, 3); it++)
        file.seeds.push_back(addressText(proxyNetwork, it, controlPort));
    auto path = m_desc.folder + '/' + name + ".json";
    std::ofstream(path) << formatSettings(file);
    launch(name, { m_desc.programs + "/vanillalift-gateway", "--settings", path });
}

void SoakSite::stop(const std::string& name, int signal)
{
    if (!m_processes.isRunning(name))
        return;
    m_expectedExits.insert(name);
    m_processes.signal(name, SIGCONT);
    this->signal(name, signal);
}

void SoakSite::askToStop(const std::string& name)
{
    if (m_desc.isFriendly)
        return stop(name, SIGTERM);
    m_keptClients->hurry(name, m_clock.now() + hurryTime);
    m_world.eventQueue.after(hurryBeforeStop, [this, name] { stop(name, SIGTERM); });
}

void SoakSite::signal(const std::string& name, int signal)
{
    auto& state = m_states[name];
    auto now = m_clock.now();
    if (signal == SIGTERM && state.stopAskedAt == TimePoint {})
        state.stopAskedAt = now;
    if (signal != SIGTERM && signal != SIGHUP)
        state.harmedAt = now;
    m_processes.signal(name, signal);
}

std::vector<std::string> SoakSite::processNames() const
{
    std::vector<std::string> names;
    for (size_t n = 0; n < m_desc.controllers; n++)
        names.push_back(controllerName(n));
    for (size_t n = 0; n < m_desc.gateways; n++)
        names.push_back(gatewayName(n));
    return names;
}

void SoakSite::startProcess(const std::string& name, bool isFirstStart)
{
    for (size_t n = 0; n < m_desc.controllers; n++) {
        if (name == controllerName(n))
            return startController(n, isFirstStart);
    }
    for (size_t n = 0; n < m_desc.gateways; n++) {
        if (name == gatewayName(n))
            return startGateway(n);
    }
}

bool SoakSite::isStartRefused(const std::string& name) const
{
    auto it = m_states.find(name);
    return m_processes.isRunning(name) || (it != m_states.end() && m_clock.now() < it->second.restartAt);
}

void SoakSite::launch(const std::string& name, const std::vector<std::string>& command)
{
    auto& state = m_states[name];
    state.startedAt = m_clock.now();
    state.stopAskedAt = {};
    state.restartAt = {};
    m_expectedExits.erase(name);
    if (!m_processes.start(name, command, m_desc.folder + '/' + name + ".log"))
        m_world.violations.add("cannot start " + name);
}

bool SoakSite::hasRunSince(const std::string& name, TimePoint time) const
{
    auto it = m_states.find(name);
    return m_processes.isRunning(name) && it != m_states.end() && it->second.startedAt <= time;
}

void SoakSite::handleExit(const std::string& name, int status)
{
    if (m_expectedExits.erase(name) != 0)
        return;
    auto& state = m_states[name];
    auto now = m_clock.now();
    auto end = describeExit(status);
    if (++state.ends[end] == 1)
        m_world.violations.add(name + " exited unexpectedly: " + end);
    if (now - state.startedAt > longRun)
        state.quickEnds = 0;
    auto delay = std::min(maxRestartDelay, minRestartDelay * (1U << std::min(state.quickEnds++, 10U)));
    state.restartAt = now + delay;
}

void SoakSite::restartEnded()
{
    auto now = m_clock.now();
    for (const auto& name : processNames()) {
        const auto& state = m_states[name];
        if (state.restartAt != TimePoint {} && now >= state.restartAt)
            startProcess(name, state.isFirstStart);
    }
}

void SoakSite::checkLogs()
{
    for (const auto& name : processNames()) {
        struct stat status { };
        auto path = m_desc.folder + '/' + name + ".log";
        // Not its length: the host may have extended it without use of space.
        if (!m_desc.isFriendly && ::stat(path.c_str(), &status) == 0 && status.st_blocks * statBlockBytes > maxLogBytes)
            m_world.violations.add(name + " has written more than " + std::to_string(maxLogBytes) + " bytes to its log");
    }
}

std::string SoakSite::describeEnds() const
{
    std::string lines;
    for (const auto& [name, state] : m_states) {
        for (const auto& [end, count] : state.ends)
            lines.append(name).append(" ended by itself ").append(std::to_string(count)).append(" times: ").append(end).append("\n");
    }
    return lines;
}

std::optional<TimePoint> SoakSite::stopAskedAt(const std::string& name) const
{
    auto it = m_states.find(name);
    if (it == m_states.end() || it->second.stopAskedAt == TimePoint {} || it->second.harmedAt + harmPeriod > it->second.stopAskedAt)
        return std::nullopt;
    return it->second.stopAskedAt;
}

void SoakSite::checkStops()
{
    auto now = m_clock.now();
    for (const auto& name : processNames()) {
        auto askedAt = stopAskedAt(name);
        if (m_desc.isFriendly || !askedAt || !m_processes.isRunning(name) || now - *askedAt < stopLimit)
            continue;
        m_world.violations.add(name + " still runs " + std::to_string(stopLimit.count()) + " ms after it was asked to stop");
        stop(name, SIGKILL);
    }
}

void SoakSite::openIdleConnections()
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    auto left = static_cast<size_t>(limit.rlim_cur) / idleConnectionsShare;
    auto open = [&](const net::Address& to) {
        for (size_t n = 0; n < idleConnectionsPerProcess && left > 0; n++, left--)
            m_idleConnections.push_back(std::make_unique<net::Stream>(m_loop, to, net::Stream::Handlers { [] {}, [](std::string_view bytes) { return bytes.size(); }, [](net::StreamCloseReason) {} }));
    };
    for (size_t n = 0; n < m_desc.controllers; n++)
        open(address(processNetwork, n, controlPort));
    for (size_t n = 0; n < m_desc.gateways; n++)
        open(address(processNetwork, firstGatewayHost + n, clientPort));
}

bool SoakSite::damageLog(size_t n)
{
    auto list = segments(dataFolder(m_desc, n));
    if (list.empty())
        return false;
    std::filesystem::resize_file(list[std::uniform_int_distribution<size_t>(0, list.size() - 1)(m_world.random)], 0);
    return true;
}

void SoakSite::wipeDisk(size_t n) { std::filesystem::remove_all(dataFolder(m_desc, n)); }

void SoakSite::appendTornWrite(size_t n)
{
    auto list = segments(dataFolder(m_desc, n));
    if (list.empty())
        return;
    std::string torn("\xF7VLR\x90\x01\x00\x00", 8);
    torn.append(static_cast<size_t>(std::uniform_int_distribution<>(0, 300)(m_world.random)), '\0');
    std::ofstream(list.back(), std::ios::app | std::ios::binary) << torn;
}

InstanceReplyStatus SoakSite::maintain(const std::string& instance, uint64_t wave)
{
    auto now = m_clock.now();
    if (wave != m_wave.number || std::find(m_wave.instances.begin(), m_wave.instances.end(), instance) == m_wave.instances.end())
        return InstanceReplyStatus::NotInWave;
    for (size_t n = 0; n < m_endpoints.size(); n++) {
        auto& it = *m_endpoints[n];
        if (it.instance != instance)
            continue;
        if (it.maintainedByWave == wave)
            return InstanceReplyStatus::Accepted;
        auto down = std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& other) { return other->downUntil > now; });
        if (down >= static_cast<std::ptrdiff_t>(m_wave.maxConcurrent))
            m_world.violations.add("more instances in maintenance at once than the wave allows: " + instance);
        it.maintainedByWave = wave;
        it.downUntil = now + maintenanceDuration;
        it.model->crash();
        it.model->isPartitioned = true;
        it.server.reset();
        it.proxy->resetConnections();
        return InstanceReplyStatus::Accepted;
    }
    return InstanceReplyStatus::Impossible;
}

void SoakSite::sendHeartbeat(SoakEndpoint& it)
{
    auto now = m_clock.now();
    if (now < it.nextHeartbeatAt || !it.server)
        return;
    it.nextHeartbeatAt = now + heartbeatInterval;
    if (it.heartbeatChannel && it.heartbeatChannel->pending() != 0)
        return;
    if (!it.heartbeatChannel)
        it.heartbeatChannel = std::make_unique<net::HttpChannel>(m_loop, m_clock, address(proxyNetwork, it.heartbeatController % m_desc.controllers, controlPort));
    it.heartbeatChannel->send(heartbeatRequest(it.model->description, ++it.sequence, it.model->clockMs()), now + callTimeout, [this, &it](const net::HttpResult& result) {
        const auto* response = std::get_if<net::HttpResponse>(&result);
        if (response && response->status == 200)
            return;
        // The next heartbeat goes to another controller. poll() replaces the channel, as this handler runs inside it.
        it.heartbeatController++;
        it.nextHeartbeatAt = m_clock.now() + milliseconds(100);
    });
}

void SoakSite::callControl(net::HttpRequest request, std::function<void(int, const std::string&)> handler)
{
    auto n = std::uniform_int_distribution<size_t>(0, m_operatorChannels.size() - 1)(m_world.random);
    m_operatorChannels[n]->send(std::move(request), m_clock.now() + callTimeout, [handler = std::move(handler)](const net::HttpResult& result) {
        const auto* response = std::get_if<net::HttpResponse>(&result);
        handler(response ? response->status : 0, response ? response->body : std::string());
    });
}

void SoakSite::changeCatalog()
{
    if (m_ackedVersion != m_catalog.version)
        return;
    m_catalog.version++;
    m_catalog.queues.front().targetLatencyMs = 2000 + 10 * static_cast<uint32_t>(m_catalog.version);
}

void SoakSite::putCatalog()
{
    m_isPutPending = true;
    callControl(putCatalogRequest(m_catalog), [this, version = m_catalog.version](int status, const std::string&) {
        m_isPutPending = false;
        if (status == 200) {
            m_ackedVersion = std::max(m_ackedVersion, version);
            m_ackedAt = m_clock.now();
        } else if (status != 0 && status != 503) {
            m_world.violations.add("a valid configuration was answered with status " + std::to_string(status));
        }
    });
}

void SoakSite::readCatalog()
{
    m_isReadPending = true;
    bool isApplied = m_clock.now() - m_ackedAt > applyLimit;
    callControl(readCatalogRequest(), [this, acked = m_ackedVersion, isApplied](int status, const std::string& body) {
        m_isReadPending = false;
        m_nextReadAt = m_clock.now() + operatorInterval;
        auto version = status == 200 ? decodeCatalogVersion(body) : std::nullopt;
        if (version && isApplied && *version < acked)
            m_world.violations.add("a read returned configuration version " + std::to_string(*version) + " after the acknowledgement of version " + std::to_string(acked));
    });
}

void SoakSite::startWave()
{
    if (m_wave.number != 0)
        return;
    m_wave.number = 1;
    m_wave.maxConcurrent = 2;
    for (const auto& it : m_endpoints)
        m_wave.instances.push_back(it->instance);
}

void SoakSite::putWave()
{
    m_isWaveCallPending = true;
    callControl(startWaveRequest(m_wave, std::chrono::seconds(20)), [this](int status, const std::string&) {
        m_isWaveCallPending = false;
        m_nextWaveCallAt = m_clock.now() + operatorInterval;
        m_isWaveAccepted = m_isWaveAccepted || status == 200;
    });
}

void SoakSite::readWave()
{
    m_isWaveCallPending = true;
    callControl(readWaveRequest(m_wave.number), [this](int status, const std::string& body) {
        m_isWaveCallPending = false;
        m_nextWaveCallAt = m_clock.now() + operatorInterval;
        if (status != 200 || !decodeWaveCompletion(body).value_or(false))
            return;
        m_isWaveComplete = true;
        for (const auto& it : m_endpoints) {
            if (it->maintainedByWave != m_wave.number)
                m_world.violations.add("the wave was reported as complete without maintenance of " + it->instance);
        }
    });
}

void SoakSite::poll()
{
    auto now = m_clock.now();
    m_world.eventQueue.runUntil(now);
    for (auto* list : { &m_linkProxies, &m_controlProxies, &m_gatewayProxies }) {
        for (auto& it : *list)
            it->poll();
    }
    for (size_t n = 0; n < m_endpoints.size(); n++) {
        auto& it = *m_endpoints[n];
        it.model->enforceLease();
        it.proxy->poll();
        if (!it.server && now >= std::max(it.downUntil, it.crashedUntil)) {
            it.model->isPartitioned = false;
            restartEndpoint(n, false);
        }
        if (it.server)
            it.server->answerDueRequests();
        if (it.heartbeatChannel && it.heartbeatChannel->pending() == 0 && it.heartbeatController % m_desc.controllers != 0)
            it.heartbeatChannel.reset();
        sendHeartbeat(it);
    }
    m_clients->poll();
    m_keptClients->poll();
    if (!m_isPutPending && m_ackedVersion < m_catalog.version)
        putCatalog();
    if (!m_isReadPending && m_ackedVersion != 0 && now >= m_nextReadAt)
        readCatalog();
    if (m_wave.number != 0 && !m_isWaveComplete && !m_isWaveCallPending && now >= m_nextWaveCallAt) {
        if (m_isWaveAccepted)
            readWave();
        else
            putWave();
    }
    m_processes.reap([this](const std::string& name, int status) { handleExit(name, status); });
    restartEnded();
    checkStops();
}

void SoakSite::restoreAll()
{
    closeIdleConnections();
    for (auto* list : { &m_linkProxies, &m_controlProxies, &m_gatewayProxies }) {
        for (auto& it : *list) {
            it->setBlocked(false, false);
            it->setDelay({});
        }
    }
    for (auto& it : m_endpoints) {
        it->proxy->setBlocked(false, false);
        if (it->model->description.capacity != fullCapacity)
            it->model->setCapacity(fullCapacity);
    }
    for (size_t n = 0; n < m_desc.controllers; n++) {
        m_processes.signal(controllerName(n), SIGCONT);
        startController(n);
    }
    for (size_t n = 0; n < m_desc.gateways; n++) {
        m_processes.signal(gatewayName(n), SIGCONT);
        startGateway(n);
    }
}

} // namespace vanillalift::soak
