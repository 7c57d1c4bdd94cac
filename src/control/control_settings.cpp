#include "control_settings_p.h"

namespace vanillalift {

namespace {

    void readPeers(SettingsReader& reader, std::map<std::string, std::string>& peers)
    {
        const auto* value = reader.child("peers");
        if (!value)
            return;
        if (!value->is_object())
            return reader.addError("peers", "must be an object of name and \"ip:port\"");
        for (const auto& [name, address] : value->items()) {
            if (!isValidName(name) || !address.is_string() || address.get<std::string>().find(':') == std::string::npos)
                reader.addError("peers/" + name, "must be a valid name with \"ip:port\"");
            else
                peers[name] = address.get<std::string>();
        }
    }

} // namespace

tl::expected<ControlSettings, SettingsErrors> controlSettingsFromJson(const nlohmann::json& value, const std::string& location)
{
    constexpr IntegerRange ports { 1, 65535 };
    ControlSettings settings;
    SettingsErrors errors;
    SettingsReader reader(value, location, errors);
    reader.read("name", settings.name);
    reader.read("zone", settings.zone);
    reader.read("data_folder", settings.folder);
    reader.read("address", settings.address);
    reader.read("port", settings.port, ports, Presence::Required);
    reader.read("operator_port", settings.operatorPort, ports, Presence::Required);
    reader.read("operator_certificate_file", settings.operatorCertificateFile, Presence::Optional);
    reader.read("operator_key_file", settings.operatorKeyFile, Presence::Optional);
    if (settings.operatorCertificateFile.empty() != settings.operatorKeyFile.empty())
        reader.addError("operator_key_file", "must be given together with operator_certificate_file");
    reader.read("admin_port", settings.adminPort, ports, Presence::Required);
    readPeers(reader, settings.peers);
    reader.read("token", settings.token, Presence::Optional);
    reader.read("election_base_ms", settings.minElectionTimeoutMs, { 50, 5000 });
    reader.read("seed", settings.seed, {});
    if (!settings.name.empty() && !isValidName(settings.name))
        reader.addError("name", "must be 1 to 64 lower-case letters, digits or hyphens");
    reader.finish();
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

} // namespace vanillalift
