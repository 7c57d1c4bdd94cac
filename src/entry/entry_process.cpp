#include "entry_process_p.h"

#include "admin_routes_p.h"
#include "core/static_authority_p.h"

#include <glog/logging.h>

#include <numeric>

namespace vanillalift {

namespace {

    using std::chrono::milliseconds;

    /// Interval between checks for expired endpoints.
    constexpr milliseconds endpointCheckInterval { 100 };

    /// Time after the start before the entry reports itself ready. Endpoints announce themselves once a second with a
    /// timeout of 0.5 s; until then the entry would refuse with no-endpoint requests that another entry could run.
    constexpr milliseconds readinessDelay { 1500 };

    HttpServerDesc serverDesc(const EntrySettings& settings, int64_t port)
    {
        return { .address = settings.address, .port = static_cast<int>(port), .idleTimeout = milliseconds(settings.idleTimeoutMs) };
    }

    HttpServerDesc callerDesc(const EntrySettings& settings)
    {
        auto desc = serverDesc(settings, settings.callerPort);
        desc.maxActiveRequests = static_cast<size_t>(settings.maxActiveRequests);
        desc.maxConnections = static_cast<size_t>(settings.maxConnections);
        desc.maxBodyBytes = static_cast<uint64_t>(settings.maxBodyBytes);
        return desc;
    }

    HolderSelector makeHolderSelector(const EntrySettings& settings)
    {
        std::vector<PeerEntry> entries;
        for (const auto& it : settings.entries)
            entries.push_back({ it.name, it.zone, it.peerAddress });
        return HolderSelector(std::move(entries));
    }

    std::map<std::string, std::string> peerAddresses(const EntrySettings& settings)
    {
        std::map<std::string, std::string> addresses;
        for (const auto& it : settings.entries) {
            if (it.name != settings.name)
                addresses[it.name] = it.peerAddress;
        }
        return addresses;
    }

    auto findOwnEntry(const EntrySettings& settings)
    {
        return std::find_if(settings.entries.begin(), settings.entries.end(), [&](const SiteEntry& it) { return it.name == settings.name; });
    }

    RpcServerDesc peerServerDesc(const EntrySettings& settings)
    {
        const auto& address = findOwnEntry(settings)->peerAddress;
        auto port = std::atoi(address.c_str() + address.rfind(':') + 1);
        // Each peer uses up to PeerClaimsDesc::maxCallsPerPeer connections, and each call in progress occupies a thread.
        auto threads = static_cast<int>(PeerClaimsDesc {}.maxCallsPerPeer * settings.entries.size());
        return { settings.address, port, threads, settings.token };
    }

    PeerClaimsDesc claimsDesc(const EntrySettings& settings, uint64_t incarnation)
    {
        PeerClaimsDesc desc;
        desc.holder.name = settings.name;
        desc.holder.incarnation = incarnation;
        desc.holder.recoveryTime = milliseconds(settings.claimRecoveryMs);
        return desc;
    }

    std::unique_ptr<ControlFollower> makeFollower(const EntrySettings& settings, const Clock& clock, uint64_t incarnation)
    {
        if (settings.controlReplicas.empty())
            return nullptr;
        ControlFollowerDesc desc { { settings.name, incarnation }, settings.zone, settings.controlReplicas, settings.token };
        return std::make_unique<ControlFollower>(std::move(desc), clock);
    }

    std::unique_ptr<Authority> makeStaticAuthority(const EntrySettings& settings, std::optional<Catalog> catalog)
    {
        if (!catalog)
            return nullptr;
        auto index = findOwnEntry(settings) - settings.entries.begin();
        return std::make_unique<StaticAuthority>(std::move(*catalog), static_cast<int64_t>(settings.entries.size()), index);
    }

} // namespace

EntryProcess::EntryProcess(const EntrySettings& settings, std::optional<Catalog> catalog, uint64_t incarnation)
    : m_settings(settings)
    , m_follower(makeFollower(settings, m_clock, incarnation))
    , m_staticAuthority(makeStaticAuthority(settings, std::move(catalog)))
    , m_authority(m_follower ? static_cast<Authority&>(*m_follower) : *m_staticAuthority)
    , m_endpoints(settings.zone, static_cast<int64_t>(settings.entries.size()), std::mt19937_64(incarnation))
    , m_client(m_clock)
    , m_scheduler(m_authority, m_endpoints, std::mt19937_64(incarnation))
    , m_peerTransport(peerAddresses(settings), settings.token)
    , m_claims(claimsDesc(settings, incarnation), makeHolderSelector(settings), m_peerTransport, m_clock)
    , m_claimServer(m_claims)
    , m_runner(settings.name, m_clock, m_authority, m_scheduler, m_client, m_claims)
    , m_callerServer({ settings.name, callerDesc(settings) }, m_clock, m_authority, m_runner, m_metrics, m_decisions, m_burnLog)
    , m_announcements(settings.name, static_cast<int64_t>(settings.entries.size()), m_endpoints, m_clock)
    , m_announcementServer(serverDesc(settings, settings.announcePort))
    , m_adminServer(serverDesc(settings, settings.adminPort))
    , m_peerServer(std::make_unique<RpcServer>(peerServerDesc(settings)))
{
    m_endpoints.addListener(m_client);
    m_endpoints.addListener(*this);
    m_announcements.addRoutes(m_announcementServer);
    m_claimServer.addMethods(*m_peerServer);
    addGauges();
    addAdminRoutes(m_adminServer, m_metrics, m_decisions, [this] { return isReady(); });
    addStatusRoutes();
}

EntryProcess::~EntryProcess()
{
    if (m_follower)
        m_follower->stop();
}

bool EntryProcess::isReady() const
{
    auto catalog = m_authority.catalog();
    if (m_isShuttingDown || !catalog || m_clock.now() < m_startedAt + readinessDelay)
        return false;
    // Without a lease the entry serves only services that are open to all. If there are none, the load balancer should use
    // another entry.
    auto isOpen = [&](const Service& it) { return catalog->profileOf(catalog->findService(it.name)).openToAll; };
    return m_clock.now() < m_authority.leaseEnd() || std::any_of(catalog->services.begin(), catalog->services.end(), isOpen);
}

void EntryProcess::addGauges()
{
    auto add = [this](const char* name, const char* help, std::function<double()> read) { m_metrics.addGauge(name, help, std::move(read)); };
    add("vanillalift_caller_connections", "Open caller connections", [this] { return static_cast<double>(m_callerServer.stats().connections); });
    add("vanillalift_active_requests", "Requests queued or running", [this] { return static_cast<double>(m_callerServer.stats().activeRequests); });
    add("vanillalift_worker_threads", "Worker threads started", [this] { return static_cast<double>(m_callerServer.stats().startedThreads); });
    add("vanillalift_configuration_revision", "Revision of the configuration in use", [this] {
        auto catalog = m_authority.catalog();
        return catalog ? static_cast<double>(catalog->revision) : 0;
    });
    add("vanillalift_lease_valid", "1 while the entry holds a valid lease on keys and limits", [this] { return m_clock.now() < m_authority.leaseEnd() ? 1.0 : 0.0; });
    add("vanillalift_claims_held", "Claims held for non-idempotent requests", [this] { return static_cast<double>(m_claims.stats().heldKeys); });
    add("vanillalift_claims_unavailable_total", "Claims refused because no majority of holders responded", [this] { return static_cast<double>(m_claims.stats().unavailable); });
    add("vanillalift_claims_ready", "1 once the entry votes on all claims; wait for this before restarting another entry", [this] { return m_claims.isReady() ? 1.0 : 0.0; });
    if (m_follower)
        add("vanillalift_follow_failures_total", "Failed polls of the control replicas", [this] { return static_cast<double>(m_follower->stats().failedPolls); });
}

void EntryProcess::addStatusRoutes()
{
    m_adminServer.Get("/v1/endpoints", [this](const httplib::Request& /*request*/, httplib::Response& response) {
        auto rows = nlohmann::json::array();
        for (const auto& it : m_endpoints.endpoints(m_clock.now()))
            rows.push_back(toJson(it));
        response.set_content(rows.dump() + "\n", "application/json");
    });
    m_adminServer.Get("/v1/burn", [this](const httplib::Request& /*request*/, httplib::Response& response) {
        response.set_content(burnToJson().dump() + "\n", "application/json");
    });
    m_adminServer.Get("/v1/teams", [this](const httplib::Request& /*request*/, httplib::Response& response) {
        auto rows = nlohmann::json::array();
        for (const auto& it : m_scheduler.teamUsage())
            rows.push_back({ { "team", it.team }, { "running", it.running }, { "queued", it.queued }, { "part", m_authority.limitPart(it.team, m_clock.now()) } });
        response.set_content(rows.dump() + "\n", "application/json");
    });
}

nlohmann::json EntryProcess::burnToJson() const
{
    nlohmann::json value { { "services", nlohmann::json::array() }, { "teams", nlohmann::json::array() } };
    auto catalog = m_authority.catalog();
    if (!catalog)
        return value;
    for (const auto& it : m_burnLog.burn(m_clock.now())) {
        auto service = catalog->findService(it.service);
        if (!service.isValid())
            continue;
        nlohmann::json row { { "service", it.service }, { "availability_budget", catalog->profileOf(service).availabilityBudget }, { "windows", nlohmann::json::array() } };
        for (const auto& window : it.windows)
            row["windows"].push_back({ { "length_s", window.length.count() }, { "good", window.good }, { "bad", window.bad } });
        value["services"].push_back(std::move(row));
    }
    for (const auto& it : m_scheduler.teamStats()) {
        auto team = catalog->findTeam(it.name);
        if (!team.isValid())
            continue;
        auto refused = std::accumulate(it.refused.byReason.begin(), it.refused.byReason.end(), uint64_t { 0 });
        value["teams"].push_back({ { "team", it.name }, { "share", catalog->at(team).share }, { "upper_limit", catalog->at(team).upperLimit },
            { "running", it.running }, { "queued", it.queued }, { "dispatched", it.dispatched }, { "refused", refused } });
    }
    return value;
}

bool EntryProcess::start()
{
    if (!m_peerServer->start() || !m_announcementServer.start() || !m_adminServer.start() || !m_callerServer.start()) {
        LOG(ERROR) << "entry " << m_settings.name << " cannot bind its ports on address " << m_settings.address;
        return false;
    }
    if (m_follower)
        m_follower->start(m_scheduler, *this);
    m_schedulerExpiry = std::jthread([this](const std::stop_token& stop) { m_scheduler.runExpiry(stop, m_clock); });
    m_endpointExpiry = std::jthread([this](const std::stop_token& stop) { expireEndpoints(stop); });
    LOG(INFO) << "entry " << m_settings.name << " serves callers on port " << m_callerServer.port() << ", announcements on port " << m_announcementServer.port()
              << ", administration on port " << m_adminServer.port() << ", entries on port " << m_peerServer->port();
    return true;
}

void EntryProcess::shutDown()
{
    LOG(INFO) << "entry " << m_settings.name << " is shutting down";
    m_isShuttingDown = true;
    std::this_thread::sleep_for(milliseconds(m_settings.drainNoticeMs));
    m_callerServer.beginShutdown();
    m_callerServer.stop();
    m_announcementServer.stop();
    m_adminServer.stop();
    m_peerServer->stop();
    LOG(INFO) << "entry " << m_settings.name << " has stopped";
}

void EntryProcess::endpointsChanged(std::string_view service)
{
    m_runner.endpointsChanged(service);
}

void EntryProcess::authorityChanged()
{
    if (auto catalog = m_authority.catalog())
        m_endpoints.setDraining({ catalog->draining.begin(), catalog->draining.end() });
    m_scheduler.authorityChanged(m_clock.now());
}

void EntryProcess::expireEndpoints(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        auto now = m_clock.now();
        if (now >= m_endpoints.nextChange())
            m_endpoints.expire(now);
        std::this_thread::sleep_for(endpointCheckInterval);
    }
}

} // namespace vanillalift
