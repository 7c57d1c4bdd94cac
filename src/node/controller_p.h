#pragma once

#include "command_batcher_p.h"
#include "heartbeat_cache_p.h"
#include "job_service_p.h"
#include "jobs/instance_manager_p.h"
#include "leader_client_p.h"
#include "load_meter_p.h"
#include "net/frame_link_p.h"
#include "replica/log_driver_p.h"

#include <vanillalift/endpoint_link.h>
#include <vanillalift/features.h>

#include <set>

namespace vanillalift::node {

struct ControllerDesc {
    /// "ip:port" of the link listener, which is also the controller's name in the group.
    std::string name;
    std::string availabilityZone;
    /// Address to bind the link listener to if it differs from the name, e.g. behind a proxy or NAT.
    std::optional<net::Address> listen;
    /// Link listeners of the controllers to connect to at the start.
    std::vector<std::string> seeds;
    /// Whether this is the first start of the system, on which the seeds form a new group.
    bool isFirstStart = false;
    std::string dataFolder;
    /// Time for which clients may query a job after it has finished.
    Duration retention = std::chrono::seconds(120);
    Duration maxLease = std::chrono::seconds(10);
    Duration stopTimeout = std::chrono::seconds(1);
    /// See DispatcherDesc.
    Duration maxCapacityReportAge = std::chrono::seconds(3);
    jobs::InstanceManagerDesc instances;
    Features features;
    /// All availability zones of the deployment, as far as the settings name them.
    std::vector<std::string> availabilityZones;
};

/// External systems that a controller calls, behind adapters for the target platform.
struct ControllerDependencies {
    jobs::EndpointLinks* endpoints = nullptr;
    jobs::AdviceService* advice = nullptr;
    jobs::InstanceService* instances = nullptr;
};

/// A controller holds a replica of the state. While it is the leader it also schedules the tasks and manages the instances.
class Controller {
public:
    Controller(net::EventLoop& loop, const Clock& clock, EventLog& log, ControllerDesc desc, ControllerDependencies dependencies, raft::RaftStorage storage);
    ~Controller();

    /// Forwards a request to the leader, which may be this controller.
    void call(Request request, TimePoint deadline, LeaderClient::Handler handler);
    void addSeeds(const std::vector<std::string>& seeds) { m_leaderClient.addSeeds(seeds); }
    /// @returns the name of the controller to which the endpoint should send its next heartbeats; empty if none is known.
    [[nodiscard]] std::string heartbeatReceiver(std::string_view availabilityZone, std::string_view endpointId) const;
    [[nodiscard]] bool isOpen() const { return m_listener.isOpen(); }
    /// Whether the loop was stopped because what was acknowledged can no longer be kept here.
    [[nodiscard]] bool hasStorageFailed() const { return m_hasStorageFailed; }
    /// Begins to leave: transfers leadership to another controller, and is no candidate any more. Requests are forwarded until the process
    /// ends. Further calls have no effect.
    void beginStop();
    /// @returns whether this controller has stopped leading, or no other one can take over.
    [[nodiscard]] bool hasHandedOver() const;
    /// Completes all requests in progress without a reply, and each later one at once.
    void closeCalls() { m_leaderClient.close(); }
    /// Passes each metric to visit.
    void visitMetrics(const std::function<void(std::string_view name, std::string_view help, double value)>& visit) const;

private:
    struct InboundLink {
        std::unique_ptr<net::FrameLink> link;
        Hello hello;
    };

    void accept(evutil_socket_t fd);
    void receive(uint64_t id, std::string_view frame);
    void readPendingMessages();
    void handleCall(uint64_t linkId, Call call);
    void handleLocal(Request request, std::function<void(Reply)> respond);
    void handleRoleChange(const ReplicaStatus& status);
    void becomeLeader(const ReplicaStatus& status);
    void stepDown();
    void tick();
    void sendStatus();
    [[nodiscard]] ControllerStatus status() const;
    [[nodiscard]] bool hasLeaderAuthority() const;
    /// @returns the time until which no other controller can have been elected; the epoch if this one is not the leader.
    [[nodiscard]] TimePoint soleLeaderUntil() const;
    void sendRaftMessage(raft::Message message);
    void joinGroup();
    void handleJoin(const JoinRequest& request);
    void removeReplacedReplica();
    void purgeJobs();
    /// Sends a new leader the last heartbeats that arrived here: it starts no task on an endpoint before it has one. Those of endpoints
    /// that have been removed since are left out.
    void repeatHeartbeats();
    void logLoad();
    void handOver();

    net::EventLoop& m_loop;
    const Clock& m_clock;
    EventLog& m_log;
    ControllerDesc m_desc;
    ControllerDependencies m_dependencies;
    jobs::JobStore m_store;
    jobs::DemandHistory m_demand;
    LoadMeter m_loadMeter;
    std::string m_storageId;
    std::map<uint64_t, InboundLink> m_inboundLinks;
    std::vector<std::unique_ptr<net::FrameLink>> m_closedLinks;
    uint64_t m_lastInboundLinkId = 0;
    LeaderClient m_leaderClient;
    HeartbeatCache m_heartbeats;
    CommandBatcher m_batcher;
    std::unique_ptr<LogDriver> m_driver;
    std::unique_ptr<jobs::Dispatcher> m_dispatcher;
    std::unique_ptr<jobs::InstanceManager> m_instanceManager;
    std::unique_ptr<JobService> m_service;
    uint64_t m_leaderTerm = 0;
    TimePoint m_nextStatusAt;
    TimePoint m_nextJoinAt;
    TimePoint m_nextRepeatAt;
    TimePoint m_nextHousekeepingAt;
    TimePoint m_nextTickAt;
    TimePoint m_nextLoadLogAt;
    /// Counters at the last load log entry.
    jobs::DispatcherStats m_lastLoggedStats;
    CallStats m_lastLoggedCalls;
    bool m_isStopping = false;
    TimePoint m_handOverDeadline;
    uint64_t m_leadershipCount = 0;
    bool m_hasStorageFailed = false;
    net::Timer m_timer;
    net::Listener m_listener;
};

/// Opens the data folder. On the first start of a seed, it writes the membership of the new group to the folder. A damaged
/// state is set aside, and the controller joins the group as one that has lost its disk: empty and with a new storage id.
raft::StorageResult<raft::RaftStorage> openStorage(raft::Disk& disk, const ControllerDesc& desc, EventLog& log);

} // namespace vanillalift::node
