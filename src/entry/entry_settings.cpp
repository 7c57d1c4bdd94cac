#include "entry_settings_p.h"

#include <arpa/inet.h>

namespace vanillalift {

namespace {

    void checkName(SettingsReader& reader, const char* field, const std::string& name)
    {
        if (!name.empty() && !isValidName(name))
            reader.addError(field, "must be 1 to 64 lower-case letters, digits or hyphens");
    }

    bool isIpAddress(const std::string& text)
    {
        in6_addr bytes {};
        return inet_pton(AF_INET, text.c_str(), &bytes) == 1 || inet_pton(AF_INET6, text.c_str(), &bytes) == 1;
    }

    void checkPorts(SettingsReader& reader, const EntrySettings& settings)
    {
        auto isSame = [](int64_t a, int64_t b) { return a != 0 && a == b; };
        if (isSame(settings.announcePort, settings.callerPort))
            reader.addError("announce_port", "must differ from caller_port");
        if (isSame(settings.adminPort, settings.callerPort) || isSame(settings.adminPort, settings.announcePort))
            reader.addError("admin_port", "must differ from caller_port and announce_port");
    }

    SiteEntry siteEntryFromJson(const nlohmann::json& value, const std::string& location, SettingsErrors& errors)
    {
        SiteEntry entry;
        SettingsReader reader(value, location, errors);
        reader.read("name", entry.name);
        checkName(reader, "name", entry.name);
        reader.read("zone", entry.zone);
        checkName(reader, "zone", entry.zone);
        reader.read("peer_address", entry.peerAddress);
        if (!entry.peerAddress.empty() && entry.peerAddress.find(':') == std::string::npos)
            reader.addError("peer_address", "must be \"ip:port\"");
        reader.finish();
        return entry;
    }

    /// Reads the list of entries, which is optional for a site with a single entry.
    void readEntries(SettingsReader& reader, EntrySettings& settings, SettingsErrors& errors)
    {
        const auto* list = reader.child("entries");
        if (!list) {
            settings.entries = { { settings.name, settings.zone, settings.address + ":0" } };
            return;
        }
        if (!list->is_array() || list->size() > config::maxEntries)
            return reader.addError("entries", "must be an array of at most " + std::to_string(config::maxEntries) + " entries");
        bool isListed = false;
        for (size_t n = 0; n < list->size(); ++n) {
            settings.entries.push_back(siteEntryFromJson((*list)[n], reader.childLocation("entries") + "/" + std::to_string(n), errors));
            isListed = isListed || settings.entries.back().name == settings.name;
        }
        if (!isListed)
            reader.addError("entries", "must list this entry, \"" + settings.name + "\"");
    }

    void checkConfigurationSource(SettingsReader& reader, const EntrySettings& settings)
    {
        if (settings.catalogFile.empty() && settings.controlReplicas.empty())
            reader.addError("catalog_file", "is required unless control_replicas is given");
        if (!settings.catalogFile.empty() && !settings.controlReplicas.empty())
            reader.addError("catalog_file", "cannot be given together with control_replicas");
    }

} // namespace

tl::expected<EntrySettings, SettingsErrors> entrySettingsFromJson(const nlohmann::json& value, const std::string& location)
{
    constexpr IntegerRange ports { 0, 65535 };
    EntrySettings settings;
    SettingsErrors errors;
    SettingsReader reader(value, location, errors);
    reader.read("name", settings.name);
    checkName(reader, "name", settings.name);
    reader.read("zone", settings.zone);
    checkName(reader, "zone", settings.zone);
    reader.read("address", settings.address, Presence::Optional);
    if (!isIpAddress(settings.address))
        reader.addError("address", "must be an IP address");
    reader.read("caller_port", settings.callerPort, ports, Presence::Required);
    reader.read("announce_port", settings.announcePort, ports, Presence::Required);
    reader.read("admin_port", settings.adminPort, ports);
    checkPorts(reader, settings);
    readEntries(reader, settings, errors);
    reader.read("token", settings.token, Presence::Optional);
    reader.read("catalog_file", settings.catalogFile, Presence::Optional);
    reader.read("control_replicas", settings.controlReplicas);
    checkConfigurationSource(reader, settings);
    reader.read("claim_recovery_ms", settings.claimRecoveryMs, { 0, 2 * 86400000LL });
    reader.read("max_active_requests", settings.maxActiveRequests, { 1, 10000 });
    reader.read("max_connections", settings.maxConnections, { 1, 100000 });
    reader.read("max_body_bytes", settings.maxBodyBytes, { 0, 1 << 30 });
    reader.read("idle_timeout_ms", settings.idleTimeoutMs, { 100, 3600000 });
    reader.read("drain_notice_ms", settings.drainNoticeMs, { 0, 600000 });
    reader.finish();
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

tl::expected<EntrySettings, SettingsErrors> loadEntrySettings(const std::string& path)
{
    auto value = loadSettings(path);
    if (!value)
        return tl::unexpected(std::move(value.error()));
    return entrySettingsFromJson(*value, path);
}

} // namespace vanillalift
