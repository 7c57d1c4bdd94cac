#pragma once

#include <span>
#include <string>
#include <string_view>

namespace vanillalift::node {

/// A controller that endpoints may send their heartbeats to.
struct HeartbeatReceiver {
    std::string name;
    std::string availabilityZone;
};

/// Selects the controller for an endpoint's next heartbeats: one in its availability zone if there is any, and the same one as long as
/// the receivers do not change.
/// @param receivers controllers that do not lead: a new leader starts nothing on an endpoint without a recent heartbeat, and gets those of
/// a silent predecessor only from the controllers that have received them.
/// @returns the name of the controller, empty without receivers.
[[nodiscard]] std::string_view chooseHeartbeatReceiver(std::span<const HeartbeatReceiver> receivers, std::string_view availabilityZone, std::string_view endpointId);

} // namespace vanillalift::node
