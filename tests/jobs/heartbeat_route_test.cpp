#include <catch2/catch.hpp>

#include "node/heartbeat_route_p.h"

#include <map>
#include <vector>

using namespace vanillalift::node;

namespace {

std::string endpointName(int n) { return "i-" + std::to_string(n); }

} // namespace

TEST_CASE("heartbeats go to a controller in the endpoint's availability zone", "[heartbeats]")
{
    std::vector<HeartbeatReceiver> receivers { { "a", "z1" }, { "b", "z2" }, { "c", "z2" } };
    for (int n = 0; n < 20; n++) {
        CHECK(chooseHeartbeatReceiver(receivers, "z1", endpointName(n)) == "a");
        CHECK(chooseHeartbeatReceiver(receivers, "z2", endpointName(n)) != "a");
    }
}

// Guards against one controller that gets the heartbeats of a whole availability zone whose own controller leads or is gone.
TEST_CASE("heartbeats of an availability zone without a receiver are spread over the others", "[heartbeats]")
{
    std::vector<HeartbeatReceiver> receivers { { "a", "z1" }, { "b", "z2" }, { "c", "z3" } };
    std::map<std::string_view, int> counts;
    for (int n = 0; n < 300; n++)
        counts[chooseHeartbeatReceiver(receivers, "z4", endpointName(n))]++;
    for (const auto& it : receivers)
        CHECK(counts[it.name] >= 50);
}

TEST_CASE("the loss of a controller changes the receiver of its own endpoints only", "[heartbeats]")
{
    std::vector<HeartbeatReceiver> receivers { { "a", "z1" }, { "b", "z2" }, { "c", "z3" } };
    std::vector<HeartbeatReceiver> left { { "a", "z1" }, { "c", "z3" } };
    for (int n = 0; n < 100; n++) {
        auto before = chooseHeartbeatReceiver(receivers, "z4", endpointName(n));
        if (before != "b")
            CHECK(chooseHeartbeatReceiver(left, "z4", endpointName(n)) == before);
    }
    CHECK(chooseHeartbeatReceiver({}, "z1", endpointName(0)).empty());
}
