#include "control_process_p.h"

namespace vanillalift {

namespace {

    constexpr const char* proposeErrorNames[] = { "not-leader", "unknown", "overloaded", "too-large", "change-in-progress", "not-caught-up", "member-invalid" };
    static_assert(std::size(proposeErrorNames) == static_cast<size_t>(ProposeErrorCode::ProposeErrorCodeCount));
    constexpr const char* roleNames[] = { "follower", "pre-candidate", "candidate", "leader" };
    static_assert(std::size(roleNames) == static_cast<size_t>(ReplicaRole::ReplicaRoleCount));

    void readPeers(SettingsReader& reader, std::map<std::string, std::string>& peers)
    {
        const auto* value = reader.child("peers");
        if (!value)
            return;
        if (!value->is_object())
            return reader.fault("peers", "must be an object of name and \"ip:port\"");
        for (const auto& [name, address] : value->items()) {
            if (!isValidName(name) || !address.is_string() || address.get<std::string>().find(':') == std::string::npos)
                reader.fault("peers/" + name, "must be a valid name with \"ip:port\"");
            else
                peers[name] = address.get<std::string>();
        }
    }

    nlohmann::json toJson(const ReplicaStatus& status)
    {
        auto members = nlohmann::json::array();
        for (const auto& it : status.members)
            members.push_back({ { "name", it.name }, { "storage_id", it.storageId }, { "votes", it.isVoter } });
        return {
            { "name", status.name },
            { "storage_id", status.storageId },
            { "role", roleNames[static_cast<size_t>(status.role)] },
            { "leader", status.leader },
            { "term", status.term },
            { "commit_index", status.commitIndex },
            { "last_index", status.lastIndex },
            { "applied_index", status.appliedIndex },
            { "snapshot_index", status.snapshotIndex },
            { "members", std::move(members) },
            { "fault", status.fault },
        };
    }

    RpcResult replaceReplica(Replica& replica, const nlohmann::json& params)
    {
        auto text = [&](const char* name) { return params.contains(name) && params[name].is_string() ? params[name].get<std::string>() : std::string(); };
        auto name = text("name");
        auto storageId = text("storage_id");
        if (!isValidName(name) || storageId.empty())
            return tl::unexpected(RpcError { RpcErrorCode::ParametersMalformed, "name and storage_id are required" });
        auto result = replica.replaceMember(name, storageId).get();
        if (!result)
            return tl::unexpected(RpcError { RpcErrorCode::Refused, proposeErrorNames[static_cast<size_t>(result.error().code)] + (" leader=" + result.error().leaderHint) });
        return nlohmann::json { { "index", result->index } };
    }

} // namespace

tl::expected<ControlSettings, SettingsFaults> controlSettingsFromJson(const nlohmann::json& value, const std::string& place)
{
    ControlSettings settings;
    SettingsFaults faults;
    SettingsReader reader(value, place, faults);
    reader.read("name", settings.name);
    reader.read("zone", settings.zone);
    reader.read("data_folder", settings.folder);
    reader.read("address", settings.address);
    reader.read("port", settings.port, { 1, 65535 }, Presence::Required);
    readPeers(reader, settings.peers);
    reader.read("token", settings.token, Presence::Optional);
    reader.read("election_base_ms", settings.electionBaseMs, { 50, 5000 });
    reader.read("seed", settings.seed, {});
    if (!settings.name.empty() && !isValidName(settings.name))
        reader.fault("name", "must be 1 to 64 lower-case letters, digits and hyphens");
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

tl::expected<std::unique_ptr<ControlProcess>, ReplicaFault> ControlProcess::open(const ControlSettings& settings, bool bootstrap, StateMachine& machine, const Clock& clock)
{
    ReplicaDesc desc {
        .name = settings.name,
        .folder = settings.folder,
        .peers = settings.peers,
        .token = settings.token,
        .electionBase = std::chrono::milliseconds(settings.electionBaseMs),
        .seed = static_cast<uint64_t>(settings.seed),
        .bootstrap = bootstrap,
    };
    auto replica = Replica::open(std::move(desc), machine, clock);
    if (!replica)
        return tl::unexpected(replica.error());
    RpcServerDesc server { .address = settings.address, .port = static_cast<int>(settings.port), .token = settings.token };
    return std::unique_ptr<ControlProcess>(new ControlProcess(std::move(*replica), std::move(server)));
}

ControlProcess::ControlProcess(std::unique_ptr<Replica> replica, RpcServerDesc desc)
    : m_replica(std::move(replica))
    , m_server(std::move(desc))
{
    m_replica->addMethods(m_server);
    addReplicaAdministration(m_server, *m_replica);
}

ControlProcess::~ControlProcess() { stop(); }

bool ControlProcess::start()
{
    if (!m_server.start())
        return false;
    m_replica->start();
    return true;
}

void ControlProcess::stop()
{
    m_replica->stop();
    m_server.stop();
}

void addReplicaAdministration(RpcServer& server, Replica& replica)
{
    server.add("replica_status", [&replica](const nlohmann::json&) -> RpcResult { return toJson(replica.status()); });
    server.add("replace_replica", [&replica](const nlohmann::json& params) { return replaceReplica(replica, params); });
}

} // namespace vanillalift
