#include "control_machine_p.h"

#include <vanillalift/clock.h>

#include <stdexcept>

namespace vanillalift {

using nlohmann::json;

namespace {

    struct CommandVisitor {
        ControlState& state;

        json operator()(const ChangeCommand& command) const { return toJson(state.apply(command)); }
        json operator()(const LimitPartsCommand& command) const
        {
            auto error = state.apply(command);
            return { { "accepted", !error.has_value() } };
        }
        json operator()(const RegisterEntryCommand& command) const
        {
            state.apply(command);
            return { { "accepted", true } };
        }
        json operator()(const FleetCommand& command) const
        {
            auto error = state.apply(command);
            if (error)
                return { { "accepted", false }, { "fault", fleetErrorCodeName(*error) } };
            return { { "accepted", true }, { "action_id", state.fleet().lastActionId } };
        }
    };

    std::string toCbor(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    }

} // namespace

std::string ControlMachine::apply(uint64_t /*index*/, std::string_view bytes)
{
    auto command = decodeCommand(bytes);
    if (!command)
        return toCbor({ { "accepted", false }, { "fault", "malformed" } });
    json result;
    {
        std::lock_guard lock(m_mutex);
        result = std::visit(CommandVisitor { m_state }, *command);
    }
    m_changed.notify_all();
    return toCbor(result);
}

std::string ControlMachine::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return toCbor(m_state.toJson());
}

void ControlMachine::restore(std::string_view snapshot)
{
    auto value = json::from_cbor(snapshot.begin(), snapshot.end(), true, false);
    auto state = ControlState::fromJson(value);
    // The checksum of the snapshot was valid, so unreadable content means that a newer version wrote it.
    if (!state)
        throw std::runtime_error(describe(state.error()));
    {
        std::lock_guard lock(m_mutex);
        m_state = std::move(*state);
    }
    m_changed.notify_all();
}

void ControlMachine::waitForChange(uint64_t revision, uint64_t partsVersion, TimePoint deadline, const Clock& clock) const
{
    std::unique_lock lock(m_mutex);
    waitUntil(clock, m_changed, lock, deadline, [&] { return m_state.revision() != revision || m_state.partsVersion() != partsVersion; });
}

json commandResultToJson(std::string_view result)
{
    return json::from_cbor(result.begin(), result.end(), true, false);
}

} // namespace vanillalift
