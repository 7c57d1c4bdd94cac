#include <vanillalift/catalog.h>

#include <algorithm>

namespace vanillalift {

using nlohmann::json;

namespace {

    constexpr std::array<const char*, static_cast<size_t>(Urgency::UrgencyCount)> urgencyNames { "normal", "urgent" };

    void readName(SettingsReader& reader, const char* field, std::string& name)
    {
        reader.read(field, name);
        if (!name.empty() && !isValidName(name))
            reader.addError(field, "must be 1 to 64 lower-case letters, digits or hyphens");
    }

    void readUrgency(SettingsReader& reader, Urgency& urgency)
    {
        std::string text = urgencyNames[static_cast<size_t>(urgency)];
        reader.read("urgency", text, Presence::Optional);
        auto it = std::find(urgencyNames.begin(), urgencyNames.end(), text);
        if (it == urgencyNames.end())
            return reader.addError("urgency", "must be \"normal\" or \"urgent\"");
        urgency = static_cast<Urgency>(it - urgencyNames.begin());
    }

    void readShareWeights(SettingsReader& reader, std::map<std::string, double>& weights)
    {
        const auto* object = reader.child("share_weights");
        if (!object)
            return;
        if (!object->is_object())
            return reader.addError("share_weights", "must be an object of numbers by team");
        for (const auto& [team, weight] : object->items()) {
            if (!weight.is_number() || weight.get<double>() <= 0 || weight.get<double>() > 1e6)
                reader.addError("share_weights/" + team, "must be a number above 0 and at most 1000000");
            else
                weights[team] = weight.get<double>();
        }
    }

    template <typename T, typename Convert>
    void readTable(SettingsReader& reader, const char* field, size_t limit, std::vector<T>& table, SettingsErrors& errors, Convert convert)
    {
        const auto* array = reader.child(field);
        if (!array)
            return;
        if (!array->is_array() || array->size() > limit)
            return reader.addError(field, "must be an array of at most " + std::to_string(limit) + " objects");
        for (size_t n = 0; n < array->size(); ++n)
            table.push_back(convert((*array)[n], reader.childLocation(field) + "/" + std::to_string(n), errors));
    }

    template <typename T, typename Name>
    void sortAndCheckUnique(std::vector<T>& table, Name name, SettingsReader& reader, const char* field)
    {
        std::sort(table.begin(), table.end(), [&](const T& a, const T& b) { return name(a) < name(b); });
        auto it = std::adjacent_find(table.begin(), table.end(), [&](const T& a, const T& b) { return name(a) == name(b); });
        if (it != table.end())
            reader.addError(field, "\"" + name(*it) + "\" is a duplicate name");
    }

    void checkReferences(const Catalog& catalog, SettingsReader& reader)
    {
        for (const auto& it : catalog.services) {
            if (!catalog.findProfile(it.profile).isValid())
                reader.addError("services", "service \"" + it.name + "\" refers to the unknown profile \"" + it.profile + "\"");
            for (const auto& team : it.teams) {
                if (!catalog.findTeam(team).isValid())
                    reader.addError("services", "service \"" + it.name + "\" refers to the unknown team \"" + team + "\"");
            }
        }
        for (const auto& it : catalog.keys) {
            if (!catalog.findTeam(it.team).isValid())
                reader.addError("keys", "key \"" + it.id + "\" refers to the unknown team \"" + it.team + "\"");
        }
    }

} // namespace

Profile profileFromJson(const json& value, const std::string& location, SettingsErrors& errors)
{
    Profile profile;
    SettingsReader reader(value, location, errors);
    readName(reader, "name", profile.name);
    reader.read("idempotent", profile.idempotent);
    reader.read("max_attempts", profile.maxAttempts, { 1, 10 });
    reader.read("retry_ratio", profile.retryRatio, 0, 1);
    reader.read("queue_bound", profile.queueBound, { 1, 100000 });
    reader.read("timeout_ms", profile.timeoutMs, { 1, 3600000 });
    readUrgency(reader, profile.urgency);
    reader.read("availability_budget", profile.availabilityBudget, 0, 1);
    reader.read("open_to_all", profile.openToAll);
    reader.read("spill_after_ms", profile.spillAfterMs, { 0, 60000 });
    reader.read("isolated_ms", profile.isolationPeriodMs, { 0, 86400000 });
    reader.read("claim_retention_ms", profile.claimRetentionMs, { 1000, 86400000 });
    readShareWeights(reader, profile.shareWeights);
    reader.read("roll_out_weight", profile.rollOutWeight, 0, 1000);
    reader.read("share_weight", profile.shareWeight, 0, 1000);
    reader.read("buffer_weight", profile.bufferWeight, 0, 1000);
    reader.read("move_weight", profile.moveWeight, 0, 1000);
    reader.finish();
    return profile;
}

Service serviceFromJson(const json& value, const std::string& location, SettingsErrors& errors)
{
    Service service;
    SettingsReader reader(value, location, errors);
    readName(reader, "name", service.name);
    readName(reader, "profile", service.profile);
    reader.read("teams", service.teams);
    reader.finish();
    return service;
}

Team teamFromJson(const json& value, const std::string& location, SettingsErrors& errors)
{
    Team team;
    SettingsReader reader(value, location, errors);
    readName(reader, "name", team.name);
    reader.read("share", team.share, 0.001, 1e6);
    reader.read("upper_limit", team.upperLimit, { 0, 1000000 }, Presence::Required);
    reader.finish();
    return team;
}

Key keyFromJson(const json& value, const std::string& location, SettingsErrors& errors)
{
    Key key;
    SettingsReader reader(value, location, errors);
    readName(reader, "id", key.id);
    readName(reader, "team", key.team);
    reader.read("salt", key.salt);
    reader.read("hash", key.hash);
    reader.read("withdrawn", key.withdrawn);
    if (key.hash.size() != 64)
        reader.addError("hash", "must be 64 hexadecimal digits");
    if (!hashKeySecret(key.salt, ""))
        reader.addError("salt", "must be an even number of hexadecimal digits");
    reader.finish();
    return key;
}

tl::expected<Catalog, SettingsErrors> catalogFromJson(const json& value, const std::string& location)
{
    Catalog catalog;
    SettingsErrors errors;
    SettingsReader reader(value, location, errors);
    int64_t revision = 0;
    reader.read("revision", revision, {});
    catalog.revision = static_cast<uint64_t>(revision);
    readTable(reader, "profiles", config::maxProfiles, catalog.profiles, errors, profileFromJson);
    readTable(reader, "services", config::maxServices, catalog.services, errors, serviceFromJson);
    readTable(reader, "teams", config::maxTeams, catalog.teams, errors, teamFromJson);
    readTable(reader, "keys", 100000, catalog.keys, errors, keyFromJson);
    reader.read("draining", catalog.draining);
    std::sort(catalog.draining.begin(), catalog.draining.end());
    reader.finish();
    auto byName = [](const auto& it) -> const std::string& { return it.name; };
    sortAndCheckUnique(catalog.profiles, byName, reader, "profiles");
    sortAndCheckUnique(catalog.services, byName, reader, "services");
    sortAndCheckUnique(catalog.teams, byName, reader, "teams");
    sortAndCheckUnique(
        catalog.keys, [](const Key& it) -> const std::string& { return it.id; }, reader, "keys");
    checkReferences(catalog, reader);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return catalog;
}

json toJson(const Profile& profile)
{
    return { { "name", profile.name }, { "idempotent", profile.idempotent }, { "max_attempts", profile.maxAttempts },
        { "retry_ratio", profile.retryRatio }, { "queue_bound", profile.queueBound }, { "timeout_ms", profile.timeoutMs },
        { "urgency", urgencyNames[static_cast<size_t>(profile.urgency)] }, { "availability_budget", profile.availabilityBudget },
        { "open_to_all", profile.openToAll }, { "spill_after_ms", profile.spillAfterMs }, { "isolated_ms", profile.isolationPeriodMs },
        { "claim_retention_ms", profile.claimRetentionMs }, { "share_weights", profile.shareWeights },
        { "roll_out_weight", profile.rollOutWeight }, { "share_weight", profile.shareWeight }, { "buffer_weight", profile.bufferWeight },
        { "move_weight", profile.moveWeight } };
}

json toJson(const Service& service)
{
    return { { "name", service.name }, { "profile", service.profile }, { "teams", service.teams } };
}

json toJson(const Team& team)
{
    return { { "name", team.name }, { "share", team.share }, { "upper_limit", team.upperLimit } };
}

json toJson(const Key& key)
{
    return { { "id", key.id }, { "team", key.team }, { "salt", key.salt }, { "hash", key.hash }, { "withdrawn", key.withdrawn } };
}

json toJson(const Catalog& catalog)
{
    json value { { "revision", catalog.revision }, { "profiles", json::array() }, { "services", json::array() }, { "teams", json::array() }, { "keys", json::array() } };
    for (const auto& it : catalog.profiles)
        value["profiles"].push_back(toJson(it));
    for (const auto& it : catalog.services)
        value["services"].push_back(toJson(it));
    for (const auto& it : catalog.teams)
        value["teams"].push_back(toJson(it));
    for (const auto& it : catalog.keys)
        value["keys"].push_back(toJson(it));
    value["draining"] = catalog.draining;
    return value;
}

} // namespace vanillalift
