#pragma once

#include <vanillalift/config.h>
#include <vanillalift/settings.h>

namespace vanillalift {

struct EntrySettings {
    /// Unique in the site.
    std::string name;
    std::string zone;
    /// Address that all ports are bound to.
    std::string address = "127.0.0.1";
    int64_t callerPort = 0;
    int64_t announcePort = 0;
    int64_t adminPort = 0;
    /// Entries of the site, this one included.
    int64_t entryCount = 1;
    std::string catalogFile;
    /// Requests queued or running at once; each holds a thread with a stack of 256 KiB.
    int64_t maxActiveRequests = 1024;
    int64_t maxConnections = 4096;
    int64_t maxBodyBytes = config::maxBodyBytes;
    int64_t idleTimeoutMs = 60000;
    /// Time from the readiness check's 503 until requests are refused.
    int64_t drainNoticeMs = 2000;
};

/// Checks and converts the settings of an entry; all faults are reported.
tl::expected<EntrySettings, SettingsFaults> entrySettingsFromJson(const nlohmann::json& value, const std::string& place);

/// Loads and checks a settings file.
tl::expected<EntrySettings, SettingsFaults> loadEntrySettings(const std::string& path);

} // namespace vanillalift
