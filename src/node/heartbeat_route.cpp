#include "heartbeat_route_p.h"

#include <functional>
#include <tuple>

namespace vanillalift::node {

std::string_view chooseHeartbeatReceiver(std::span<const HeartbeatReceiver> receivers, std::string_view availabilityZone, std::string_view endpointId)
{
    std::string_view chosen;
    std::tuple<bool, size_t> best;
    for (const auto& it : receivers) {
        // Rendezvous hashing: a receiver that is lost changes the choice of its own endpoints only.
        std::tuple rank(it.availabilityZone == availabilityZone, std::hash<std::string> {}(it.name + '/' + std::string(endpointId)));
        if (!chosen.empty() && rank <= best)
            continue;
        chosen = it.name;
        best = rank;
    }
    return chosen;
}

} // namespace vanillalift::node
