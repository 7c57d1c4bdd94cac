#pragma once

#include <vanillalift/config.h>
#include <vanillalift/settings.h>

namespace vanillalift {

/// An entry as listed in the settings of every entry of the site.
struct SiteEntry {
    std::string name;
    std::string zone;
    /// "ip:port" of its peer server.
    std::string peerAddress;
};

/// Settings of one entry process.
struct EntrySettings {
    /// Unique within the site.
    std::string name;
    std::string zone;
    /// IP address to which all ports are bound.
    std::string address = "127.0.0.1";
    int64_t callerPort = 0;
    int64_t announcePort = 0;
    int64_t adminPort = 0;
    /// All entries of the site including this one. The list must be the same on every entry.
    std::vector<SiteEntry> entries;
    /// Shared secret with which entries and control replicas authenticate to each other; empty for none.
    std::string token;
    /// Catalog file of a site without control replicas; otherwise empty.
    std::string catalogFile;
    /// "ip:port" of each control replica; empty if catalogFile is given.
    std::vector<std::string> controlReplicas;
    /// Time after which a restarted entry votes on claims even if it could not copy the claims of the other entries. Must
    /// cover the longest timeout_ms plus claim_retention_ms of any profile.
    int64_t claimRecoveryMs = 925000;
    /// Limit of requests queued or running. Each occupies a thread with a stack of 256 KiB.
    int64_t maxActiveRequests = 1024;
    int64_t maxConnections = 4096;
    int64_t maxBodyBytes = config::maxBodyBytes;
    int64_t idleTimeoutMs = 60000;
    /// Time at shutdown from the first 503 of the readiness check until new requests are refused.
    int64_t drainNoticeMs = 2000;
};

/// Validates and converts the settings of an entry.
/// @returns the settings, or all errors found.
tl::expected<EntrySettings, SettingsErrors> entrySettingsFromJson(const nlohmann::json& value, const std::string& location);

/// Loads and validates a settings file.
/// @returns the settings, or all errors found.
tl::expected<EntrySettings, SettingsErrors> loadEntrySettings(const std::string& path);

} // namespace vanillalift
