#pragma once

#include "control_machine_p.h"
#include "control_settings_p.h"
#include "core/metrics_p.h"
#include "follow/follow_service_p.h"
#include "http/http_server_p.h"
#include "operator/operator_service_p.h"

#include <vanillalift/replica.h>
#include <vanillalift/replicated_log.h>
#include <vanillalift/rpc.h>

namespace vanillalift {

/// ReplicatedLog on top of a local replica, to which it forwards all calls.
class ReplicaLog final : public ReplicatedLog {
public:
    explicit ReplicaLog(Replica& replica)
        : m_replica(replica)
    {
    }

    std::future<ProposeResult> propose(std::string command) override { return m_replica.propose(std::move(command)); }
    std::future<ReadResult> readIndex() override { return m_replica.readIndex(); }
    std::future<ProposeResult> replaceMember(std::string name, std::string storageId) override { return m_replica.replaceMember(name, storageId); }
    [[nodiscard]] ReplicaStatus status() const override { return m_replica.status(); }

private:
    Replica& m_replica;
};

/// Owns the replica, services and servers of one control process.
class ControlProcess {
public:
    /// @param bootstrap forms a new group with this replica as its first member.
    /// @returns the error of Replica::open() if the replica cannot be opened.
    static tl::expected<std::unique_ptr<ControlProcess>, ReplicaOpenError> open(const ControlSettings& settings, bool bootstrap);
    ~ControlProcess();
    ControlProcess(const ControlProcess&) = delete;
    ControlProcess& operator=(const ControlProcess&) = delete;

    /// @returns false if a port cannot be bound.
    [[nodiscard]] bool start();
    /// Stops the services, transfers leadership if this replica leads, then stops the servers.
    void stop();

private:
    explicit ControlProcess(const ControlSettings& settings);
    /// Takes the opened replica, creates the services on it and registers their methods.
    void attachReplica(std::unique_ptr<Replica> replica);
    void addAdminRoutes();

    ControlSettings m_settings;
    SystemClock m_clock;
    Metrics m_metrics;
    ControlMachine m_machine;
    std::unique_ptr<Replica> m_replica;
    std::unique_ptr<ReplicaLog> m_log;
    std::unique_ptr<FollowService> m_follow;
    std::unique_ptr<OperatorService> m_operators;
    RpcServer m_server;
    RpcServer m_operatorServer;
    HttpServer m_adminServer;
};

} // namespace vanillalift
