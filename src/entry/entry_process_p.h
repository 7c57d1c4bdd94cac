#pragma once

#include "caller/caller_server_p.h"
#include "endpoint/announcement_server_p.h"
#include "endpoint/endpoint_table_p.h"
#include "endpoint/http_attempt_client_p.h"
#include "entry_settings_p.h"
#include "follow/control_follower_p.h"
#include "peer/claim_server_p.h"
#include "peer/peer_claims_p.h"
#include "request/request_runner_p.h"

#include <atomic>
#include <optional>
#include <thread>

namespace vanillalift {

/// Owns the components of one entry: the servers for callers, announcements, peers and administration, the scheduler, the
/// claims, and the source of its configuration.
class EntryProcess final : public EndpointPoolListener, public AuthorityListener {
public:
    /// @param catalog configuration of a site without control replicas.
    /// @param incarnation differs on every start of the process; also seeds the random generators.
    EntryProcess(const EntrySettings& settings, std::optional<Catalog> catalog, uint64_t incarnation);
    ~EntryProcess() override;
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    /// Binds the ports and starts all threads. @returns false if a port cannot be bound.
    [[nodiscard]] bool start();
    /// Shuts down gracefully: fails the readiness check for drainNoticeMs, then completes queued and running requests.
    void shutDown();

    void endpointsChanged(std::string_view service) override;
    void authorityChanged() override;

private:
    void addGauges();
    void addStatusRoutes();
    [[nodiscard]] nlohmann::json burnToJson() const;
    void expireEndpoints(const std::stop_token& stop);
    [[nodiscard]] bool isReady() const;

    EntrySettings m_settings;
    SystemClock m_clock;
    TimePoint m_startedAt = m_clock.now();
    Metrics m_metrics;
    DecisionLog m_decisions;
    BurnLog m_burnLog;
    std::atomic<bool> m_isShuttingDown { false };
    std::unique_ptr<ControlFollower> m_follower;
    std::unique_ptr<Authority> m_staticAuthority;
    Authority& m_authority;
    EndpointTable m_endpoints;
    HttpAttemptClient m_client;
    Scheduler m_scheduler;
    RpcPeerTransport m_peerTransport;
    PeerClaims m_claims;
    ClaimServer m_claimServer;
    RequestRunner m_runner;
    CallerServer m_callerServer;
    AnnouncementServer m_announcements;
    HttpServer m_announcementServer;
    HttpServer m_adminServer;
    std::unique_ptr<RpcServer> m_peerServer;
    std::jthread m_schedulerExpiry;
    std::jthread m_endpointExpiry;
};

} // namespace vanillalift
