#pragma once

#include <vanillalift/settings.h>

#include <map>
#include <string>

namespace vanillalift {

struct ControlSettings {
    std::string name;
    std::string zone;
    /// Folder of this replica's files.
    std::string folder;
    std::string address;
    /// Port for replicas and entries.
    int64_t port = 0;
    /// Port for operators.
    int64_t operatorPort = 0;
    /// PEM files of the operators' port; with both, operators connect by TLS.
    std::string operatorCertificateFile;
    std::string operatorKeyFile;
    /// Port of /healthz, /readyz and /metrics.
    int64_t adminPort = 0;
    /// "ip:port" of the other replicas by name.
    std::map<std::string, std::string> peers;
    /// Secret that replicas and entries present; empty for none.
    std::string token;
    /// An election starts after 1 to 2 times this time without the leader, and heartbeats are sent 5 times in it. A base of
    /// 150 ms cost each replica 1.5 to 3% of a core; with 500 ms the next leader accepts changes within 2 s of a kill.
    int64_t electionBaseMs = 500;
    int64_t seed = 1;
};

/// @returns all faults of the settings if there are any.
tl::expected<ControlSettings, SettingsErrors> controlSettingsFromJson(const nlohmann::json& value, const std::string& place);

} // namespace vanillalift
