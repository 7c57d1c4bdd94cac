#pragma once

#include <vanillalift/replica.h>
#include <vanillalift/rpc.h>
#include <vanillalift/settings.h>

namespace vanillalift {

struct ControlSettings {
    std::string name;
    std::string zone;
    std::string folder;
    std::string address;
    int64_t port = 0;
    std::map<std::string, std::string> peers;
    std::string token;
    int64_t electionBaseMs = 150;
    int64_t seed = 1;
};

/// @returns all faults of the settings if there are any.
tl::expected<ControlSettings, SettingsFaults> controlSettingsFromJson(const nlohmann::json& value, const std::string& place);

/// A replica with the server of its methods.
class ControlProcess {
public:
    static tl::expected<std::unique_ptr<ControlProcess>, ReplicaFault> open(const ControlSettings& settings, bool bootstrap, StateMachine& machine, const Clock& clock);
    ~ControlProcess();
    ControlProcess(const ControlProcess&) = delete;
    ControlProcess& operator=(const ControlProcess&) = delete;

    /// @returns false if the address cannot be bound.
    [[nodiscard]] bool start();
    /// Hands leadership over, then stops serving.
    void stop();
    Replica& replica() { return *m_replica; }
    /// For methods besides the replica's own; they are added before start().
    RpcServer& server() { return m_server; }

private:
    ControlProcess(std::unique_ptr<Replica> replica, RpcServerDesc desc);

    std::unique_ptr<Replica> m_replica;
    RpcServer m_server;
};

/// Serves `replica_status` and `replace_replica`.
void addReplicaAdministration(RpcServer& server, Replica& replica);

} // namespace vanillalift
