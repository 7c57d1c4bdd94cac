#include <vanillalift/catalog.h>

#include <algorithm>

namespace vanillalift {

namespace {

    template <typename H, typename T>
    H findByName(const std::vector<T>& table, std::string_view name)
    {
        auto it = std::lower_bound(table.begin(), table.end(), name, [](const T& entry, std::string_view n) { return entry.name < n; });
        if (it == table.end() || it->name != name)
            return {};
        return H { static_cast<uint16_t>(it - table.begin()) };
    }

} // namespace

ProfileHandle Catalog::findProfile(std::string_view name) const
{
    return findByName<ProfileHandle>(profiles, name);
}

ServiceHandle Catalog::findService(std::string_view name) const
{
    return findByName<ServiceHandle>(services, name);
}

TeamHandle Catalog::findTeam(std::string_view name) const
{
    return findByName<TeamHandle>(teams, name);
}

const Key* Catalog::findKey(std::string_view id) const
{
    auto it = std::lower_bound(keys.begin(), keys.end(), id, [](const Key& key, std::string_view n) { return key.id < n; });
    return it != keys.end() && it->id == id ? &*it : nullptr;
}

const Profile& Catalog::profileOf(ServiceHandle service) const
{
    return profiles.at(findProfile(at(service).profile).index);
}

bool Catalog::isTeamAllowed(ServiceHandle service, TeamHandle team) const
{
    const auto& allowed = at(service).teams;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), at(team).name) != allowed.end();
}

double Catalog::shareWeight(ServiceHandle service, TeamHandle team) const
{
    const auto& weights = profileOf(service).shareWeights;
    auto it = weights.find(at(team).name);
    return it == weights.end() ? at(team).share : it->second;
}

} // namespace vanillalift
