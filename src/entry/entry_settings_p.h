#pragma once

#include <vanillalift/config.h>
#include <vanillalift/settings.h>

namespace vanillalift {

/// An entry of the site, as each entry's settings list them.
struct SiteEntry {
    std::string name;
    std::string zone;
    /// "ip:port" of its peer server.
    std::string peerAddress;
};

struct EntrySettings {
    /// Unique in the site.
    std::string name;
    std::string zone;
    /// Address that all ports are bound to.
    std::string address = "127.0.0.1";
    int64_t callerPort = 0;
    int64_t announcePort = 0;
    int64_t adminPort = 0;
    /// All entries of the site, this one included; the same list on each of them.
    std::vector<SiteEntry> entries;
    /// Secret that entries and control replicas present to each other; empty for none.
    std::string token;
    /// Configuration file of a site without control; empty if control is used.
    std::string catalogFile;
    /// "ip:port" of each control replica; empty if a catalog file is used.
    std::vector<std::string> controlReplicas;
    /// Longest timeout_ms plus claim_retention_ms of any profile: time after which a restarted entry votes on claims
    /// even if it could not copy those of the other entries.
    int64_t claimRecoveryMs = 925000;
    /// Requests queued or running at once; each holds a thread with a stack of 256 KiB.
    int64_t maxActiveRequests = 1024;
    int64_t maxConnections = 4096;
    int64_t maxBodyBytes = config::maxBodyBytes;
    int64_t idleTimeoutMs = 60000;
    /// Time from the readiness check's 503 until requests are refused.
    int64_t drainNoticeMs = 2000;
};

/// Checks and converts the settings of an entry; all faults are reported.
tl::expected<EntrySettings, SettingsErrors> entrySettingsFromJson(const nlohmann::json& value, const std::string& location);

/// Loads and checks a settings file.
tl::expected<EntrySettings, SettingsErrors> loadEntrySettings(const std::string& path);

} // namespace vanillalift
