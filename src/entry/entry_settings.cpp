#include "entry_settings_p.h"

#include <arpa/inet.h>

namespace vanillalift {

namespace {

    void checkName(SettingsReader& reader, const char* field, const std::string& name)
    {
        if (!name.empty() && !isValidName(name))
            reader.fault(field, "must be 1 to 64 lower-case letters, digits or hyphens");
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
            reader.fault("announce_port", "must differ from caller_port");
        if (isSame(settings.adminPort, settings.callerPort) || isSame(settings.adminPort, settings.announcePort))
            reader.fault("admin_port", "must differ from caller_port and announce_port");
    }

} // namespace

tl::expected<EntrySettings, SettingsFaults> entrySettingsFromJson(const nlohmann::json& value, const std::string& place)
{
    constexpr IntegerRange ports { 0, 65535 };
    EntrySettings settings;
    SettingsFaults faults;
    SettingsReader reader(value, place, faults);
    reader.read("name", settings.name);
    checkName(reader, "name", settings.name);
    reader.read("zone", settings.zone);
    checkName(reader, "zone", settings.zone);
    reader.read("address", settings.address, Presence::Optional);
    if (!isIpAddress(settings.address))
        reader.fault("address", "must be an IP address");
    reader.read("caller_port", settings.callerPort, ports, Presence::Required);
    reader.read("announce_port", settings.announcePort, ports, Presence::Required);
    reader.read("admin_port", settings.adminPort, ports);
    checkPorts(reader, settings);
    reader.read("entry_count", settings.entryCount, { 1, config::maxEntries });
    reader.read("catalog_file", settings.catalogFile);
    reader.read("max_active_requests", settings.maxActiveRequests, { 1, 10000 });
    reader.read("max_connections", settings.maxConnections, { 1, 100000 });
    reader.read("max_body_bytes", settings.maxBodyBytes, { 0, 1 << 30 });
    reader.read("idle_timeout_ms", settings.idleTimeoutMs, { 100, 3600000 });
    reader.read("drain_notice_ms", settings.drainNoticeMs, { 0, 600000 });
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

tl::expected<EntrySettings, SettingsFaults> loadEntrySettings(const std::string& path)
{
    auto value = loadSettings(path);
    if (!value)
        return tl::unexpected(std::move(value.error()));
    return entrySettingsFromJson(*value, path);
}

} // namespace vanillalift
