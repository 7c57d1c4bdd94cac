#include "load_p.h"

namespace vanillalift::bench {

using nlohmann::json;

namespace {

    constexpr double maxRate = 1e6;

    template <typename Item>
    void readList(SettingsReader& reader, const char* name, std::vector<Item>& list, SettingsErrors& faults, void (*readItem)(SettingsReader&, Item&))
    {
        const auto* array = reader.child(name, Presence::Required);
        if (!array)
            return;
        if (!array->is_array() || array->empty())
            return reader.addError(name, "must be an array that is not empty");
        for (size_t n = 0; n < array->size(); ++n) {
            SettingsReader itemReader((*array)[n], reader.childLocation(name) + "/" + std::to_string(n), faults);
            readItem(itemReader, list.emplace_back());
            itemReader.finish();
        }
    }

    void readTarget(SettingsReader& reader, LoadTarget& target)
    {
        reader.read("name", target.name);
        reader.read("address", target.address);
        reader.read("admin", target.admin, Presence::Optional);
    }

    void readTeam(SettingsReader& reader, LoadTeam& team)
    {
        reader.read("name", team.name);
        reader.read("key", team.key);
        reader.read("share", team.share, 0, maxRate);
        reader.read("limit", team.limit, { 0, 1000000 });
        team.demand = team.share;
        reader.read("demand", team.demand, 0, maxRate);
    }

    void readService(SettingsReader& reader, LoadService& service)
    {
        reader.read("name", service.name);
        reader.read("idempotent", service.idempotent);
        reader.read("open", service.isOpen);
        reader.read("rate", service.rate, 0, maxRate);
    }

    void readLoadOptions(SettingsReader& reader, LoadSettings& settings)
    {
        reader.read("factor", settings.factor, 0, 1000);
        reader.read("seconds", settings.seconds, 0, 3600);
        reader.read("requests", settings.requests, { 0, 100000000 });
        reader.read("burst_seconds", settings.burstSeconds, 0.01, 3600);
        reader.read("callers", settings.callers, { 1, 4096 });
        reader.read("timeout_ms", settings.timeoutMs, { 1, 600000 });
        reader.read("body_bytes", settings.bodyBytes, { 0, 1 << 22 });
        reader.read("resend", settings.resend, 0, 1);
        reader.read("max_resends", settings.maxResends, { 0, 100 });
        reader.read("abandon", settings.abandon, 0, 1);
        reader.read("abandon_ms", settings.abandonMs, { 1, 60000 });
        reader.read("leaving_bound_ms", settings.leavingBoundMs, { 0, 600000 });
        reader.read("warm_up_seconds", settings.warmUpSeconds, 0, 3600);
        reader.read("direct", settings.isDirect);
    }

} // namespace

LoadShape shapeFromName(std::string_view name)
{
    if (name == "waves")
        return LoadShape::Waves;
    if (name == "steady")
        return LoadShape::Steady;
    return name == "closed" ? LoadShape::Closed : LoadShape::LoadShapeCount;
}

tl::expected<LoadSettings, SettingsErrors> loadSettingsFromJson(const json& value, const std::string& location)
{
    LoadSettings settings;
    SettingsErrors faults;
    SettingsReader reader(value, location, faults);
    readList(reader, "entries", settings.entries, faults, readTarget);
    readList(reader, "teams", settings.teams, faults, readTeam);
    readList(reader, "services", settings.services, faults, readService);
    std::string shape = "waves";
    reader.read("shape", shape, Presence::Optional);
    settings.shape = shapeFromName(shape);
    if (settings.shape == LoadShape::LoadShapeCount)
        reader.addError("shape", "must be \"waves\", \"steady\" or \"closed\"");
    readLoadOptions(reader, settings);
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

} // namespace vanillalift::bench
