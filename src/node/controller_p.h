#pragma once

#include "command_batcher_p.h"
#include "job_service_p.h"
#include "jobs/instance_keeper_p.h"
#include "leader_client_p.h"
#include "load_meter_p.h"
#include "net/frame_link_p.h"
#include "replica/log_driver_p.h"

#include <vanillalift/endpoint_link.h>

#include <set>

namespace vanillalift::node {

struct ControllerDesc {
    /// "ip:port" of the link listener: the controller's name in the group.
    std::string name;
    std::string availabilityZone;
    /// Where to listen for links, if that is not the address in the name: behind a proxy or an address translation.
    std::optional<net::Address> listen;
    /// Link listeners of controllers to ask first.
    std::vector<std::string> seeds;
    /// The seeds form a new group.
    bool isFirstStart = false;
    std::string dataFolder;
    /// Time after its end for which clients may ask for a job.
    Duration retention = std::chrono::seconds(120);
    Duration maxLease = std::chrono::seconds(10);
    Duration stopTimeout = std::chrono::seconds(1);
    jobs::InstanceKeeperDesc instances;
};

/// Outside systems that a controller calls; translated by an adapter.
struct ControllerDependencies {
    jobs::EndpointLinks* endpoints = nullptr;
    jobs::AdviceService* advice = nullptr;
    jobs::InstanceService* instances = nullptr;
};

/// A controller: a replica of the state, and while it leads, the one that decides.
class Controller {
public:
    Controller(net::EventLoop& loop, const Clock& clock, EventLog& log, ControllerDesc desc, ControllerDependencies peers, raft::RaftStorage storage);
    ~Controller();

    /// Brings a request to the leader, which may be this controller.
    void call(Request request, TimePoint deadline, LeaderClient::Handler handler);
    void addSeeds(const std::vector<std::string>& seeds) { m_leaderClient.addSeeds(seeds); }
    /// @returns the name of the controller that leads, or an empty text.
    [[nodiscard]] const std::string& leader() const { return m_leaderClient.leader(); }
    [[nodiscard]] bool isOpen() const { return m_listener.isOpen(); }
    /// Hands the lead over. The process ends when done is called.
    void stop(std::function<void()> done);
    /// "name value" lines of counters for the metrics page.
    void visitMetrics(const std::function<void(std::string_view name, std::string_view help, double value)>& visit) const;

private:
    struct InboundLink {
        std::unique_ptr<net::FrameLink> link;
        Hello hello;
    };

    void accept(evutil_socket_t fd);
    void receive(uint64_t id, std::string_view frame);
    void readPendingMessages();
    void handleCall(uint64_t link, Call call);
    void handleLocal(Request request, std::function<void(Reply)> respond);
    void handleRoleChange(const ReplicaStatus& status);
    void becomeLeader(const ReplicaStatus& status);
    void stepDown();
    void tick();
    void sendStatus();
    [[nodiscard]] ControllerStatus status() const;
    [[nodiscard]] bool hasLeaderAuthority() const;
    void sendRaftMessage(raft::Message message);
    void joinGroup();
    void handleJoin(const JoinRequest& request);
    void removeReplacedReplica();
    void purgeJobs();
    void logLoad();

    net::EventLoop& m_loop;
    const Clock& m_clock;
    EventLog& m_log;
    ControllerDesc m_desc;
    ControllerDependencies m_dependencies;
    jobs::JobStore m_store;
    LoadMeter m_loadMeter;
    std::string m_storageId;
    std::map<uint64_t, InboundLink> m_inboundLinks;
    std::vector<std::unique_ptr<net::FrameLink>> m_closedLinks;
    uint64_t m_lastInboundLinkId = 0;
    LeaderClient m_leaderClient;
    CommandBatcher m_batcher;
    std::unique_ptr<LogDriver> m_driver;
    std::unique_ptr<jobs::Dispatcher> m_dispatcher;
    std::unique_ptr<jobs::InstanceKeeper> m_instanceManager;
    std::unique_ptr<JobService> m_service;
    uint64_t m_leaderTerm = 0;
    TimePoint m_nextStatusAt;
    TimePoint m_nextJoinAt;
    TimePoint m_nextHousekeepingAt;
    TimePoint m_nextTickAt;
    TimePoint m_nextLoadLogAt;
    /// Counters at the last line about the load.
    jobs::DispatcherStats m_lastLoggedStats;
    CallStats m_lastLoggedCalls;
    std::function<void()> m_onStopped;
    TimePoint m_stopDeadline;
    uint64_t m_leadershipCount = 0;
    net::Timer m_timer;
    net::Listener m_listener;
};

/// Opens the data folder; on the first start it is prepared with the group that the seeds form.
raft::StorageResult<raft::RaftStorage> openStorage(raft::Disk& disk, const ControllerDesc& desc);

} // namespace vanillalift::node
