#include <catch2/catch.hpp>

#include "endpoint_sim.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

TEST_CASE("a start that reaches an endpoint's next incarnation late does not make a task run twice", "[dispatcher][lease]")
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Site site(seed, 1);
        auto& world = site.world;
        site.run(seconds(30));
        // The endpoint restarts under its id. Before the leader hears of it, a start with a lease by the earlier clock is sent.
        site.hasHeartbeats = false;
        site.endpoint("e0").restartAs("e0");
        world.faults.lateRequestProbability = 1;
        site.submit("late", 1);
        site.run(milliseconds(100));
        world.faults.lateRequestProbability = 0;
        site.hasHeartbeats = true;
        site.run(seconds(8));
        site.submit("a", 1, true);
        site.run(seconds(5));
        site.addEndpoint("e1");
        site.run(seconds(1));
        site.endpoint("e0").isPartitioned = true;
        site.run(seconds(15));
        INFO("seed " << seed << "\n"
                     << world.violations.text());
        CHECK(world.violations.found.empty());
    }
}
