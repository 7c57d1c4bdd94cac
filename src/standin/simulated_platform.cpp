#include "simulated_platform_p.h"

namespace vanillalift::standin {

using nlohmann::json;

namespace {

    tl::unexpected<PlatformError> fail(PlatformErrorCode fault, std::string detail)
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
            SettingsReader itemReader((*array)[n], reader.childLocation("instances") + "/" + std::to_string(n), faults);
            itemReader.read("name", it.name);
            itemReader.read("rack", it.rack);
            itemReader.read("address", it.address, Presence::Optional);
            itemReader.finish();
        }
    }

} // namespace

tl::expected<PlatformSettings, SettingsErrors> platformSettingsFromJson(const json& value, const std::string& location)
{
    PlatformSettings settings;
    SettingsErrors faults;
    SettingsReader reader(value, location, faults);
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

SimulatedPlatform::SimulatedPlatform(PlatformSettings settings)
    : m_settings(std::move(settings))
    , m_random(static_cast<uint64_t>(m_settings.seed))
{
    for (const auto& it : m_settings.instances)
        m_instances[it.name].settings = it;
}

bool SimulatedPlatform::happens(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

PlatformResult SimulatedPlatform::request(const PlatformRequest& request, int64_t nowMs)
{
    std::lock_guard lock(m_mutex);
    if (request.term < m_term)
        return fail(PlatformErrorCode::OldTerm, "term " + std::to_string(m_term) + " was seen");
    m_term = request.term;
    if (auto known = m_outcomesByAction.find(request.actionId); known != m_outcomesByAction.end())
        return known->second;
    auto record = m_instances.find(request.instance);
    if (record == m_instances.end())
        return fail(PlatformErrorCode::InstanceUnknown, request.instance);
    advance(record->second, nowMs);
    if (request.actionId < record->second.actionId)
        return fail(PlatformErrorCode::Refused, "a newer action was accepted");
    auto result = execute(record->second, request, nowMs);
    if (result)
        record->second.actionId = request.actionId;
    m_outcomesByAction[request.actionId] = result;
    return result;
}

PlatformResult SimulatedPlatform::execute(InstanceRecord& record, const PlatformRequest& request, int64_t nowMs)
{
    if (request.operation != PlatformOperation::Resume && happens(m_settings.refuses))
        return fail(PlatformErrorCode::Refused, "refused by a simulated fault");
    bool isDrainingOrDrained = record.state == PlatformState::Draining || record.state == PlatformState::Drained;
    if (request.operation == PlatformOperation::Drain) {
        m_repeatedDrains += isDrainingOrDrained ? 1 : 0;
        if (isDrainingOrDrained)
            return {};
        record.state = PlatformState::Draining;
        record.nextChangeMs = nowMs + m_settings.drainMs;
        return {};
    }
    if (request.operation == PlatformOperation::Resume) {
        if (isDrainingOrDrained) {
            record.state = PlatformState::Rebooting;
            record.nextChangeMs = nowMs;
            record.willNotReturn = record.isBroken = record.changesAddress = false;
            advance(record, nowMs);
        }
        return {};
    }
    if (record.state != PlatformState::Drained)
        return fail(PlatformErrorCode::Refused, "the instance is " + std::string(platformStateName(record.state)) + ", not drained");
    startReboot(record, nowMs);
    return {};
}

void SimulatedPlatform::startReboot(InstanceRecord& record, int64_t nowMs)
{
    ++record.reboots;
    auto& hasRackFailed = m_failedRacks[record.settings.rack];
    record.willNotReturn = happens(m_settings.neverReturns) || (hasRackFailed && happens(m_settings.rackFails));
    record.isBroken = happens(m_settings.returnsBroken);
    record.changesAddress = happens(m_settings.newAddress);
    hasRackFailed = hasRackFailed || record.willNotReturn || record.isBroken;
    record.state = PlatformState::Rebooting;
    record.nextChangeMs = nowMs + m_settings.rebootMs + (happens(m_settings.slow) ? m_settings.slowMs : 0);
}

void SimulatedPlatform::startEndpoint(InstanceRecord& record)
{
    record.state = record.isBroken ? PlatformState::Broken : PlatformState::Up;
    ++record.incarnation;
    record.nextChangeMs += m_settings.returnMs;
    if (record.changesAddress)
        record.settings.address = "127.0.0.1:" + std::to_string(20000 + m_newAddressCount++);
}

void SimulatedPlatform::advance(InstanceRecord& record, int64_t nowMs)
{
    if (record.failedUntilMs > nowMs)
        return;
    if (record.failedUntilMs != 0) {
        bool isDrainingOrDrained = record.state == PlatformState::Draining || record.state == PlatformState::Drained;
        record.nextChangeMs = record.failedUntilMs;
        record.failedUntilMs = 0;
        record.willNotReturn = record.isBroken = record.changesAddress = false;
        // The platform does not start the endpoint of an instance with an accepted drain request.
        if (isDrainingOrDrained)
            record.state = PlatformState::Drained;
        else
            startEndpoint(record);
    }
    if (record.state == PlatformState::Draining && nowMs >= record.nextChangeMs)
        record.state = PlatformState::Drained;
    if (record.state == PlatformState::Rebooting && nowMs >= record.nextChangeMs && !record.willNotReturn)
        startEndpoint(record);
}

PlatformInstances SimulatedPlatform::instances(int64_t nowMs)
{
    PlatformInstances result;
    for (const auto& [name, it] : observe(nowMs))
        result[name] = it.platform;
    return result;
}

std::map<std::string, SimulatedInstance> SimulatedPlatform::observe(int64_t nowMs)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, SimulatedInstance> result;
    for (auto& [name, record] : m_instances) {
        advance(record, nowMs);
        bool isFailed = record.failedUntilMs > nowMs;
        auto& it = result[name];
        it.platform = { isFailed ? PlatformState::Unknown : record.state, record.actionId };
        it.isLeaving = record.state == PlatformState::Draining;
        it.isAnnounced = !isFailed && (it.isLeaving || (record.state == PlatformState::Up && nowMs >= record.nextChangeMs));
        it.incarnation = record.incarnation;
        it.address = record.settings.address;
    }
    return result;
}

void SimulatedPlatform::failUntil(const std::string& instance, int64_t untilMs)
{
    std::lock_guard lock(m_mutex);
    m_instances.at(instance).failedUntilMs = untilMs;
}

std::map<std::string, int> SimulatedPlatform::reboots() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, int> counts;
    for (const auto& [name, record] : m_instances)
        counts[name] = record.reboots;
    return counts;
}

int SimulatedPlatform::repeatedDrains() const
{
    std::lock_guard lock(m_mutex);
    return m_repeatedDrains;
}

} // namespace vanillalift::standin
