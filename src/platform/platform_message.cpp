#include <vanillalift/platform.h>

#include <algorithm>
#include <array>

namespace vanillalift {

using nlohmann::json;

namespace {

    constexpr std::array<std::string_view, static_cast<size_t>(PlatformOperation::PlatformOperationCount)> operationNames { "drain", "reboot", "resume" };
    constexpr std::array<std::string_view, static_cast<size_t>(PlatformState::PlatformStateCount)> stateNames { "unknown", "up", "draining", "drained", "rebooting", "broken" };
    constexpr std::array<std::string_view, static_cast<size_t>(PlatformErrorCode::PlatformErrorCodeCount)> errorCodeNames { "unreachable", "old-term", "instance-unknown", "refused", "malformed" };

} // namespace

std::string_view platformOperationName(PlatformOperation operation) { return operationNames.at(static_cast<size_t>(operation)); }
std::string_view platformStateName(PlatformState state) { return stateNames.at(static_cast<size_t>(state)); }
std::string_view platformErrorCodeName(PlatformErrorCode code) { return errorCodeNames.at(static_cast<size_t>(code)); }

json toJson(const PlatformRequest& request)
{
    return { { "instance", request.instance }, { "pool", request.pool }, { "action", request.actionId }, { "term", request.term } };
}

std::optional<PlatformRequest> platformRequestFromJson(PlatformOperation operation, const json& value)
{
    try {
        return PlatformRequest { operation, value.at("instance"), value.at("pool"), value.at("action"), value.at("term") };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

json toJson(const PlatformInstances& instances)
{
    json value { { "instances", json::array() } };
    for (const auto& [name, it] : instances)
        value["instances"].push_back({ { "name", name }, { "state", platformStateName(it.state) }, { "action", it.actionId } });
    return value;
}

std::optional<PlatformInstances> platformInstancesFromJson(const json& value)
{
    PlatformInstances instances;
    try {
        for (const auto& it : value.at("instances")) {
            auto state = std::find(stateNames.begin(), stateNames.end(), it.at("state").get_ref<const std::string&>());
            // A state that only a newer platform version knows is read as Unknown, which confirms nothing.
            auto parsedState = state == stateNames.end() ? PlatformState::Unknown : static_cast<PlatformState>(state - stateNames.begin());
            instances[it.at("name")] = { parsedState, it.at("action") };
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return instances;
}

} // namespace vanillalift
