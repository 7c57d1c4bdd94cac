#include "change_applier_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    std::string unknownReason(const char* kind, const std::string& name)
    {
        return std::string("there is no ") + kind + " \"" + name + "\"";
    }

    template <typename T>
    std::string putNamed(std::map<std::string, T>& table, const T& value, size_t maxSize)
    {
        if (table.size() >= maxSize && !table.contains(value.name))
            return "the table is full (" + std::to_string(maxSize) + ")";
        table[value.name] = value;
        return {};
    }

    template <typename T>
    std::string eraseNamed(std::map<std::string, T>& table, const char* kind, const std::string& name)
    {
        return table.erase(name) == 0 ? unknownReason(kind, name) : std::string();
    }

} // namespace

std::string ChangeApplier::operator()(const PutProfile& change)
{
    for (const auto& [team, weight] : change.profile.shareWeights) {
        if (!m_state.m_teams.contains(team))
            return unknownReason("team", team);
    }
    return putNamed(m_state.m_profiles, change.profile, config::maxProfiles);
}

std::string ChangeApplier::operator()(const DeleteProfile& change)
{
    for (const auto& [name, service] : m_state.m_services) {
        if (service.profile == change.name)
            return "service \"" + name + "\" uses the profile";
    }
    return eraseNamed(m_state.m_profiles, "profile", change.name);
}

std::string ChangeApplier::operator()(const PutService& change)
{
    if (!m_state.m_profiles.contains(change.service.profile))
        return unknownReason("profile", change.service.profile);
    for (const auto& it : change.service.teams) {
        if (!m_state.m_teams.contains(it))
            return unknownReason("team", it);
    }
    return putNamed(m_state.m_services, change.service, config::maxServices);
}

std::string ChangeApplier::operator()(const DeleteService& change)
{
    for (const auto& [name, pool] : m_state.m_pools) {
        if (pool.service == change.name)
            return "pool \"" + name + "\" serves it";
    }
    return eraseNamed(m_state.m_services, "service", change.name);
}

std::string ChangeApplier::operator()(const PutTeam& change)
{
    return putNamed(m_state.m_teams, change.team, config::maxTeams);
}

std::string ChangeApplier::operator()(const DeleteTeam& change)
{
    for (const auto& [id, key] : m_state.m_keys) {
        if (key.team == change.name && !key.withdrawn)
            return "key \"" + id + "\" of the team is not withdrawn";
    }
    for (const auto& [name, service] : m_state.m_services) {
        if (std::find(service.teams.begin(), service.teams.end(), change.name) != service.teams.end())
            return "service \"" + name + "\" names the team";
    }
    for (const auto& [name, profile] : m_state.m_profiles) {
        if (profile.shareWeights.contains(change.name))
            return "profile \"" + name + "\" names the team";
    }
    auto holdsPart = [&](const LimitPart& it) { return it.team == change.name; };
    if (std::any_of(m_state.m_parts.begin(), m_state.m_parts.end(), holdsPart))
        return "entries still hold parts of the team's limit; set the limit to 0 first";
    std::erase_if(m_state.m_keys, [&](const auto& it) { return it.second.team == change.name; });
    return eraseNamed(m_state.m_teams, "team", change.name);
}

std::string ChangeApplier::operator()(const GiveKey& change)
{
    if (!m_state.m_teams.contains(change.key.team))
        return unknownReason("team", change.key.team);
    if (m_state.m_keys.contains(change.key.id))
        return "a key with this id was given before";
    m_state.m_keys[change.key.id] = change.key;
    return {};
}

std::string ChangeApplier::operator()(const WithdrawKey& change)
{
    auto it = m_state.m_keys.find(change.id);
    if (it == m_state.m_keys.end())
        return unknownReason("key", change.id);
    it->second.withdrawn = true;
    return {};
}

std::string ChangeApplier::operator()(const PutPool& change)
{
    if (!change.pool.service.empty() && !m_state.m_services.contains(change.pool.service))
        return unknownReason("service", change.pool.service);
    return putNamed(m_state.m_pools, change.pool, config::maxServices);
}

std::string ChangeApplier::operator()(const DeletePool& change)
{
    for (const auto& [name, instance] : m_state.m_instances) {
        if (instance.pool == change.name)
            return "instance \"" + name + "\" is in the pool";
    }
    for (const auto& [name, status] : m_state.m_fleet.statuses) {
        if (status.targetPool == change.name)
            return "instance \"" + name + "\" moves to the pool";
    }
    if (const auto* wave = findOpenWave(change.name))
        return "wave \"" + wave->name + "\" covers the pool";
    return eraseNamed(m_state.m_pools, "pool", change.name);
}

std::string ChangeApplier::operator()(const PutInstance& change)
{
    const auto& instance = change.instance;
    if (!m_state.m_pools.contains(instance.pool))
        return unknownReason("pool", instance.pool);
    auto it = m_state.m_instances.find(instance.name);
    if (it != m_state.m_instances.end() && it->second.pool != instance.pool)
        return "the instance is in pool \"" + it->second.pool + "\"; use move-instance";
    return putNamed(m_state.m_instances, instance, config::maxInstances);
}

std::string ChangeApplier::operator()(const MoveInstance& change)
{
    auto it = m_state.m_instances.find(change.instance);
    if (it == m_state.m_instances.end())
        return unknownReason("instance", change.instance);
    if (it->second.pool != change.from)
        return "the instance is in pool \"" + it->second.pool + "\", not in \"" + change.from + "\"";
    if (!m_state.m_pools.contains(change.to))
        return unknownReason("pool", change.to);
    if (auto reason = instanceBusyReason(change.instance); !reason.empty())
        return reason;
    it->second.pool = change.to;
    return {};
}

std::string ChangeApplier::operator()(const RemoveInstance& change)
{
    if (auto reason = instanceBusyReason(change.name); !reason.empty())
        return reason;
    removeFromFleetState(change.name);
    return eraseNamed(m_state.m_instances, "instance", change.name);
}

size_t ChangeApplier::adminCountWithout(const std::string& name) const
{
    auto isOtherAdmin = [&](const auto& it) { return it.first != name && it.second.role == OperatorRole::Admin; };
    return static_cast<size_t>(std::count_if(m_state.m_operators.begin(), m_state.m_operators.end(), isOtherAdmin));
}

std::string ChangeApplier::operator()(const PutOperator& change)
{
    if (change.account.hash.size() != 64 || !hashKeySecret(change.account.salt, ""))
        return "the account needs a hexadecimal salt and a SHA-256 hash of 64 digits";
    if (change.account.role != OperatorRole::Admin && adminCountWithout(change.account.name) == 0)
        return "at least one account must keep the role admin";
    m_state.m_operators[change.account.name] = change.account;
    return {};
}

std::string ChangeApplier::operator()(const DeleteOperator& change)
{
    if (adminCountWithout(change.name) == 0)
        return "at least one account must keep the role admin";
    return eraseNamed(m_state.m_operators, "operator", change.name);
}

std::string ChangeApplier::operator()(const RemoveEntry& change)
{
    return m_state.m_entries.erase(change.name) == 0 ? unknownReason("entry", change.name) : std::string();
}

} // namespace vanillalift
