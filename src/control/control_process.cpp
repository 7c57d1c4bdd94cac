#include "control_process_p.h"

#include <httplib.h>

namespace vanillalift {

namespace {

    /// The long poll of an entry occupies a thread while it waits, in addition to the threads that serve the replicas.
    constexpr int internalThreads = 2 * static_cast<int>(config::maxEntries) + 8;
    constexpr int operatorThreads = 16;

    nlohmann::json statusToJson(const ReplicaStatus& status)
    {
        auto members = nlohmann::json::array();
        for (const auto& it : status.members)
            members.push_back({ { "name", it.name }, { "storage_id", it.storageId }, { "votes", it.isVoter } });
        return { { "name", status.name }, { "storage_id", status.storageId }, { "role", replicaRoleName(status.role) }, { "leader", status.leader },
            { "term", status.term }, { "commit_index", status.commitIndex }, { "last_index", status.lastIndex },
            { "applied_index", status.appliedIndex }, { "snapshot_index", status.snapshotIndex }, { "members", std::move(members) }, { "fault", status.fault } };
    }

    RpcServerDesc rpcDesc(const ControlSettings& settings, int64_t port, int threads, std::string token)
    {
        return { .address = settings.address, .port = static_cast<int>(port), .threads = threads, .token = std::move(token) };
    }

    RpcServerDesc operatorDesc(const ControlSettings& settings)
    {
        auto desc = rpcDesc(settings, settings.operatorPort, operatorThreads, "");
        desc.certificateFile = settings.operatorCertificateFile;
        desc.keyFile = settings.operatorKeyFile;
        return desc;
    }

} // namespace

tl::expected<std::unique_ptr<ControlProcess>, ReplicaOpenError> ControlProcess::open(const ControlSettings& settings, bool bootstrap)
{
    std::unique_ptr<ControlProcess> process(new ControlProcess(settings));
    ReplicaDesc desc {
        .name = settings.name,
        .folder = settings.folder,
        .peers = settings.peers,
        .token = settings.token,
        .minElectionTimeout = std::chrono::milliseconds(settings.minElectionTimeoutMs),
        .seed = static_cast<uint64_t>(settings.seed),
        .bootstrap = bootstrap,
    };
    auto replica = Replica::open(std::move(desc), process->m_machine, process->m_clock);
    if (!replica)
        return tl::unexpected(replica.error());
    process->attachReplica(std::move(*replica));
    return process;
}

ControlProcess::ControlProcess(const ControlSettings& settings)
    : m_settings(settings)
    , m_server(rpcDesc(settings, settings.port, internalThreads, settings.token))
    , m_operatorServer(operatorDesc(settings))
    , m_adminServer({ .address = settings.address, .port = static_cast<int>(settings.adminPort) })
{
}

ControlProcess::~ControlProcess() { stop(); }

void ControlProcess::attachReplica(std::unique_ptr<Replica> replica)
{
    m_replica = std::move(replica);
    m_log = std::make_unique<ReplicaLog>(*m_replica);
    m_follow = std::make_unique<FollowService>(*m_log, m_machine, m_clock);
    m_operators = std::make_unique<OperatorService>(*m_log, m_machine, *m_follow);
    m_replica->addMethods(m_server);
    m_server.add("replica_status", [this](const nlohmann::json&) -> RpcResult { return statusToJson(m_replica->status()); });
    m_follow->addMethods(m_server);
    m_operators->addMethods(m_operatorServer);
    addAdminRoutes();
}

void ControlProcess::addAdminRoutes()
{
    auto add = [this](const char* name, const char* help, std::function<double()> read) { m_metrics.addGauge(name, help, std::move(read)); };
    add("vanillalift_control_is_leader", "1 while this replica is the leader, otherwise 0", [this] { return m_replica->status().role == ReplicaRole::Leader ? 1.0 : 0.0; });
    add("vanillalift_control_term", "Current Raft term", [this] { return static_cast<double>(m_replica->status().term); });
    add("vanillalift_control_commit_index", "Index of the last committed log entry", [this] { return static_cast<double>(m_replica->status().commitIndex); });
    add("vanillalift_control_revision", "Revision of the configuration", [this] { return static_cast<double>(m_machine.read([](const ControlState& state) { return state.revision(); })); });
    add("vanillalift_control_live_entries", "Entries that hold a lease from this leader", [this] { return static_cast<double>(m_follow->stats().liveEntries); });
    add("vanillalift_control_polls_total", "Polls received from entries", [this] { return static_cast<double>(m_follow->stats().polls); });
    add("vanillalift_control_parts_commands_total", "Commands proposed to change limit parts", [this] { return static_cast<double>(m_follow->stats().partsCommands); });
    m_adminServer.Get("/healthz", [this](const httplib::Request& /*request*/, httplib::Response& response) {
        auto fault = m_replica->status().fault;
        response.status = fault.empty() ? 200 : 500;
        response.set_content(fault.empty() ? "alive\n" : fault + "\n", "text/plain");
    });
    m_adminServer.Get("/readyz", [this](const httplib::Request& /*request*/, httplib::Response& response) {
        bool hasLeader = !m_replica->status().leader.empty();
        response.status = hasLeader ? 200 : 503;
        response.set_content(hasLeader ? "ready\n" : "no leader\n", "text/plain");
    });
    m_adminServer.Get("/metrics", [this](const httplib::Request& /*request*/, httplib::Response& response) { response.set_content(m_metrics.serialize(), "text/plain; version=0.0.4"); });
}

bool ControlProcess::start()
{
    if (!m_server.start() || !m_operatorServer.start() || !m_adminServer.start())
        return false;
    m_replica->start();
    m_follow->start();
    return true;
}

void ControlProcess::stop()
{
    if (m_follow)
        m_follow->stop();
    if (m_replica)
        m_replica->stop();
    m_operatorServer.stop();
    m_adminServer.stop();
    m_server.stop();
}

} // namespace vanillalift
