#include "platform_work_p.h"

namespace vanillalift::standin {

using nlohmann::json;

namespace {

    tl::unexpected<PlatformError> fail(PlatformFault fault, std::string detail)
    {
        return tl::unexpected(PlatformError { fault, std::move(detail) });
    }

    void readInstances(SettingsReader& reader, std::vector<PlatformInstanceSettings>& instances, SettingsErrors& faults)
    {
        const auto* array = reader.child("instances");
        if (!array)
            return;
        if (!array->is_array())
            return reader.addError("instances", "must be an array of objects");
        for (size_t n = 0; n < array->size(); ++n) {
            auto& it = instances.emplace_back();
            SettingsReader row((*array)[n], reader.childLocation("instances") + "/" + std::to_string(n), faults);
            row.read("name", it.name);
            row.read("rack", it.rack);
            row.read("address", it.address, Presence::Optional);
            row.finish();
        }
    }

} // namespace

tl::expected<PlatformSettings, SettingsErrors> platformSettingsFromJson(const json& value, const std::string& place)
{
    PlatformSettings settings;
    SettingsErrors faults;
    SettingsReader reader(value, place, faults);
    reader.read("address", settings.address, Presence::Optional);
    readInstances(reader, settings.instances, faults);
    reader.read("drain_ms", settings.drainMs, { 0, 3600000 });
    reader.read("reboot_ms", settings.rebootMs, { 0, 3600000 });
    reader.read("return_ms", settings.returnMs, { 0, 3600000 });
    reader.read("slow_ms", settings.slowMs, { 0, 3600000 });
    reader.read("never_returns", settings.neverReturns, 0, 1);
    reader.read("returns_broken", settings.returnsBroken, 0, 1);
    reader.read("new_address", settings.newAddress, 0, 1);
    reader.read("slow", settings.slow, 0, 1);
    reader.read("refuses", settings.refuses, 0, 1);
    reader.read("rack_fails", settings.rackFails, 0, 1);
    reader.read("seed", settings.seed, {});
    if (settings.address.find(':') == std::string::npos)
        reader.addError("address", "must be ip:port");
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

PlatformWork::PlatformWork(PlatformSettings settings)
    : m_settings(std::move(settings))
    , m_random(static_cast<uint64_t>(m_settings.seed))
{
    for (const auto& it : m_settings.instances)
        m_rows[it.name].settings = it;
}

bool PlatformWork::happens(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

PlatformResult PlatformWork::request(const PlatformRequest& request, int64_t nowMs)
{
    std::lock_guard lock(m_mutex);
    if (request.term < m_term)
        return fail(PlatformFault::OldTerm, "term " + std::to_string(m_term) + " was seen");
    m_term = request.term;
    if (auto known = m_outcomes.find(request.actionId); known != m_outcomes.end())
        return known->second;
    auto row = m_rows.find(request.instance);
    if (row == m_rows.end())
        return fail(PlatformFault::InstanceUnknown, request.instance);
    advance(row->second, nowMs);
    if (request.actionId < row->second.actionId)
        return fail(PlatformFault::Refused, "a newer action was accepted");
    auto result = carryOut(row->second, request, nowMs);
    if (result)
        row->second.actionId = request.actionId;
    m_outcomes[request.actionId] = result;
    return result;
}

PlatformResult PlatformWork::carryOut(Row& row, const PlatformRequest& request, int64_t nowMs)
{
    if (request.operation != PlatformOperation::Resume && happens(m_settings.refuses))
        return fail(PlatformFault::Refused, "refused by a simulated fault");
    bool isStopped = row.state == PlatformState::Draining || row.state == PlatformState::Drained;
    if (request.operation == PlatformOperation::Drain) {
        m_repeatedDrains += isStopped ? 1 : 0;
        if (isStopped)
            return {};
        row.state = PlatformState::Draining;
        row.changeMs = nowMs + m_settings.drainMs;
        return {};
    }
    if (request.operation == PlatformOperation::Resume) {
        if (isStopped) {
            row.state = PlatformState::Rebooting;
            row.changeMs = nowMs;
            row.fails = row.isBroken = row.changesAddress = false;
            advance(row, nowMs);
        }
        return {};
    }
    if (row.state != PlatformState::Drained)
        return fail(PlatformFault::Refused, "the instance is " + std::string(platformStateName(row.state)) + ", not drained");
    startReboot(row, nowMs);
    return {};
}

void PlatformWork::startReboot(Row& row, int64_t nowMs)
{
    ++row.reboots;
    auto& hasRackFailed = m_failedRacks[row.settings.rack];
    row.fails = happens(m_settings.neverReturns) || (hasRackFailed && happens(m_settings.rackFails));
    row.isBroken = happens(m_settings.returnsBroken);
    row.changesAddress = happens(m_settings.newAddress);
    hasRackFailed = hasRackFailed || row.fails || row.isBroken;
    row.state = PlatformState::Rebooting;
    row.changeMs = nowMs + m_settings.rebootMs + (happens(m_settings.slow) ? m_settings.slowMs : 0);
}

void PlatformWork::start(Row& row)
{
    row.state = row.isBroken ? PlatformState::Broken : PlatformState::Up;
    ++row.incarnation;
    row.changeMs += m_settings.returnMs;
    if (row.changesAddress)
        row.settings.address = "127.0.0.1:" + std::to_string(20000 + m_addresses++);
}

void PlatformWork::advance(Row& row, int64_t nowMs)
{
    if (row.lostUntilMs > nowMs)
        return;
    if (row.lostUntilMs != 0) {
        bool isStopped = row.state == PlatformState::Draining || row.state == PlatformState::Drained;
        row.changeMs = row.lostUntilMs;
        row.lostUntilMs = 0;
        row.fails = row.isBroken = row.changesAddress = false;
        // The platform does not start the endpoint of an instance that it was told to drain.
        if (isStopped)
            row.state = PlatformState::Drained;
        else
            start(row);
    }
    if (row.state == PlatformState::Draining && nowMs >= row.changeMs)
        row.state = PlatformState::Drained;
    if (row.state == PlatformState::Rebooting && nowMs >= row.changeMs && !row.fails)
        start(row);
}

PlatformInstances PlatformWork::instances(int64_t nowMs)
{
    PlatformInstances result;
    for (const auto& [name, it] : observe(nowMs))
        result[name] = it.platform;
    return result;
}

std::map<std::string, SimulatedInstance> PlatformWork::observe(int64_t nowMs)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, SimulatedInstance> result;
    for (auto& [name, row] : m_rows) {
        advance(row, nowMs);
        bool isLost = row.lostUntilMs > nowMs;
        auto& it = result[name];
        it.platform = { isLost ? PlatformState::Unknown : row.state, row.actionId };
        it.isLeaving = row.state == PlatformState::Draining;
        it.isAnnounced = !isLost && (it.isLeaving || (row.state == PlatformState::Up && nowMs >= row.changeMs));
        it.incarnation = row.incarnation;
        it.address = row.settings.address;
    }
    return result;
}

void PlatformWork::lose(const std::string& instance, int64_t untilMs)
{
    std::lock_guard lock(m_mutex);
    m_rows.at(instance).lostUntilMs = untilMs;
}

std::map<std::string, int> PlatformWork::reboots() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, int> counts;
    for (const auto& [name, row] : m_rows)
        counts[name] = row.reboots;
    return counts;
}

int PlatformWork::repeatedDrains() const
{
    std::lock_guard lock(m_mutex);
    return m_repeatedDrains;
}

} // namespace vanillalift::standin
