#include <catch2/catch.hpp>

#include "endpoint_sim.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

namespace {

/// Two endpoints, the first of which drains and runs lasting tasks.
struct DeregisteringSite {
    explicit DeregisteringSite(uint64_t seed)
        : site(seed, 1)
    {
        site.submit("a", 3, true);
        site.run(seconds(1));
        REQUIRE(first().used.cpu == 3000);
        site.addEndpoint("e1");
        first().description.isDraining = true;
        site.run(seconds(1));
    }

    SimEndpoint& first() { return site.endpoint("e0"); }
    SimEndpoint& second() { return site.endpoint("e1"); }

    /// Delivers a deregistration of the first endpoint.
    void deregister()
    {
        site.leader.dispatcher->receiveDeregistration("e0", [this] { acknowledgements++; });
    }

    Site site;
    int acknowledgements = 0;
};

} // namespace

// Guards against tasks that run twice while an endpoint waits for the acknowledgement of its deregistration, which was lost.
TEST_CASE("a deregistration does not start tasks elsewhere while the endpoint still runs them", "[deregistration]")
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        DeregisteringSite f(seed);
        f.deregister();
        f.site.run(seconds(5));
        INFO("seed " << seed << "\n"
                     << f.site.world.violations.text());
        CHECK(f.site.world.violations.found.empty());
        CHECK(f.second().used.cpu == 3000);
    }
}

TEST_CASE("a deregistration is acknowledged once the endpoint's tasks have stopped", "[deregistration]")
{
    DeregisteringSite f(1);
    f.deregister();
    for (int n = 0; n < 1000 && f.acknowledgements == 0; n++)
        f.site.run(milliseconds(1));
    CHECK(f.acknowledgements == 1);
    CHECK(f.first().used == Resources {});
    // A repeated one is acknowledged at once.
    f.deregister();
    CHECK(f.acknowledgements == 2);
    f.site.run(seconds(1));
    CHECK(f.second().used.cpu == 3000);
}

TEST_CASE("a deregistration is acknowledged within a second even if the endpoint's tasks do not stop, and their lease is awaited", "[deregistration]")
{
    DeregisteringSite f(2);
    f.first().isPartitioned = true;
    f.deregister();
    f.site.run(seconds(1));
    CHECK(f.acknowledgements == 1);
    CHECK(f.second().used == Resources {});
    f.site.run(config::endpointLease + seconds(1));
    CHECK(f.site.world.violations.text().empty());
    CHECK(f.second().used.cpu == 3000);
    CHECK(f.site.leader.store.findEndpoint("e0") == nullptr);
}

TEST_CASE("a new leader starts no tasks on a deregistered endpoint, and stops those that run there", "[deregistration]")
{
    DeregisteringSite f(3);
    f.first().isPartitioned = true;
    f.deregister();
    f.site.run(milliseconds(100));
    f.site.leader.restart();
    f.first().isPartitioned = false;
    f.site.run(seconds(3));
    CHECK(f.site.world.violations.text().empty());
    CHECK(f.first().used == Resources {});
    CHECK(f.second().used.cpu == 3000);
}

// Guards against a deregistration that a paused process passes on when the endpoint has started again under its id.
TEST_CASE("a deregistration that arrives after the endpoint has started again neither stops nor repeats its tasks", "[deregistration]")
{
    Site site(4, 1);
    site.submit("a", 3, true);
    site.run(seconds(1));
    site.endpoint("e0").restartAs("e0");
    site.run(seconds(3));
    REQUIRE(site.endpoint("e0").used.cpu == 3000);
    auto incarnation = site.endpoint("e0").incarnation();
    site.addEndpoint("e1");
    site.leader.dispatcher->receiveDeregistration("e0", [] {});
    site.run(seconds(3));
    CHECK(site.world.violations.text().empty());
    CHECK(site.endpoint("e0").used.cpu == 3000);
    CHECK(site.endpoint("e0").lastEnd() == 0);
    CHECK(site.endpoint("e0").incarnation() == incarnation);
    // Its next heartbeats show that it stays.
    CHECK_FALSE(site.leader.store.findEndpoint("e0")->hasDeregistered);
}

TEST_CASE("no task runs twice when endpoints deregister with lost acknowledgements, partitions, restarts and changes of leader", "[deregistration][history]")
{
    for (uint64_t seed = 300; seed < 340; seed++) {
        Site site(seed, 5);
        auto& world = site.world;
        world.faults = { 0.03, 0.03, 0.02, 0.02 };
        for (int round = 0; round < 60; round++) {
            site.submit("j" + std::to_string(round), 3);
            if (world.chance(0.1))
                site.submit("l" + std::to_string(round), 1, true);
            auto& endpoint = site.endpoint("e" + std::to_string(std::uniform_int_distribution<>(0, 4)(world.random)));
            auto& description = endpoint.description;
            if (!description.isDraining && world.chance(0.15)) {
                description.isDraining = true;
            } else if (description.isDraining && world.chance(0.5)) {
                // Whether or not the acknowledgement arrives, the endpoint goes on for a while, and then starts anew.
                site.leader.dispatcher->receiveDeregistration(description.id, [] {});
                world.eventQueue.after(world.randomDelay(0, 6000), [&endpoint, incarnation = endpoint.incarnation()] {
                    if (endpoint.incarnation() != incarnation)
                        return;
                    endpoint.description.isDraining = false;
                    endpoint.restartAs(endpoint.description.id + "n");
                });
            } else if (world.chance(0.05)) {
                endpoint.isPartitioned = !endpoint.isPartitioned;
            } else if (!description.isDraining && world.chance(0.05)) {
                // A late deregistration of an earlier incarnation.
                site.leader.dispatcher->receiveDeregistration(description.id, [] {});
            }
            if (world.chance(0.08))
                site.leader.restart();
            site.run(seconds(1));
        }
        world.faults = {};
        for (auto& [key, it] : world.endpoints) {
            it->isPartitioned = false;
            it->description.isDraining = false;
            it->restartAs(it->description.id + "z");
        }
        site.run(seconds(60));
        INFO("seed " << seed << "\n"
                     << world.violations.text());
        CHECK(world.violations.found.empty());
        for (const auto& [serial, job] : site.leader.store.jobs()) {
            INFO("job " << job->spec.id);
            CHECK((job->isLongRunning() || !job->isActive()));
        }
    }
}
