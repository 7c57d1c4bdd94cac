#pragma once

#include <vanillalift/settings.h>

#include <map>
#include <string>

namespace vanillalift {

/// Settings of one control replica.
struct ControlSettings {
    std::string name;
    std::string zone;
    /// Folder of the replica's log and snapshots.
    std::string folder;
    std::string address;
    /// RPC port for replicas and entries.
    int64_t port = 0;
    /// RPC port for operators.
    int64_t operatorPort = 0;
    /// PEM files of the operator port. With both set, operators connect with TLS; one without the other is an error.
    std::string operatorCertificateFile;
    std::string operatorKeyFile;
    /// HTTP port of /healthz, /readyz and /metrics.
    int64_t adminPort = 0;
    /// Addresses ("ip:port") of the other replicas by name.
    std::map<std::string, std::string> peers;
    /// Shared secret of replicas and entries; empty to require none.
    std::string token;
    /// Lower end of the election timeout: an election starts after 1 to 2 times this time without contact to the leader, which
    /// sends 5 heartbeats in this time. 150 ms uses 1.5 to 3% of a core on each replica; with 500 ms a new leader accepts
    /// changes within 2 s after the old one is killed.
    int64_t minElectionTimeoutMs = 500;
    /// Seed of the random election timeouts.
    int64_t seed = 1;
};

/// @param location file and JSON pointer of the value, for error messages.
/// @returns the settings, or all errors found in them.
tl::expected<ControlSettings, SettingsErrors> controlSettingsFromJson(const nlohmann::json& value, const std::string& location);

} // namespace vanillalift
