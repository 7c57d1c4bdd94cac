#include <catch2/catch.hpp>

#include "endpoint_sim.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

namespace {

constexpr uint64_t seedCount = 20;
const Resources whole { 4000, 4000, 0 };
const Resources quarter { 1000, 1000, 0 };

/// Shrinks and grows the capacities of random endpoints while jobs arrive faster than they can run.
void changeCapacities(Site& site, bool changesLeader)
{
    auto& world = site.world;
    for (int round = 0; round < 80; round++) {
        site.submit("j" + std::to_string(round), 4);
        auto& endpoint = site.endpoint("e" + std::to_string(std::uniform_int_distribution<>(0, 3)(world.random)));
        if (world.chance(0.3))
            endpoint.setCapacity(endpoint.description.capacity == whole ? quarter : whole);
        if (changesLeader && world.chance(0.15))
            site.leader.restart();
        site.run(milliseconds(400));
    }
    for (auto& [key, it] : world.endpoints)
        it->setCapacity(whole);
    site.run(seconds(60));
    INFO(world.violations.text());
    CHECK(world.violations.found.empty());
    for (const auto& [serial, job] : site.leader.store.jobs())
        CHECK(job->phase == JobPhase::Completed);
}

} // namespace

TEST_CASE("no start exceeds a capacity that has shrunk, and one that has grown again is used", "[dispatcher][capacity]")
{
    for (uint64_t seed = 1; seed <= seedCount; seed++) {
        Site site(seed, 4);
        changeCapacities(site, false);
    }
}

TEST_CASE("heartbeats that arrive late, twice and out of order do not bring back a capacity that has shrunk", "[dispatcher][capacity]")
{
    for (uint64_t seed = 1; seed <= seedCount; seed++) {
        Site site(seed, 4);
        site.world.maxHeartbeatDelay = seconds(5);
        site.world.doubledHeartbeatProbability = 0.3;
        changeCapacities(site, false);
    }
}

TEST_CASE("a new leader does not use a capacity that shrank before its term", "[dispatcher][capacity]")
{
    bool areHeartbeatsLate = GENERATE(false, true);
    for (uint64_t seed = 1; seed <= seedCount; seed++) {
        Site site(seed, 4);
        if (areHeartbeatsLate) {
            site.world.maxHeartbeatDelay = seconds(4);
            site.world.doubledHeartbeatProbability = 0.3;
        }
        changeCapacities(site, true);
    }
}

// The cause of deploy/days/shrunk*.toml: the capacity of a quarter of the endpoints shrinks, and a burst of jobs follows.
TEST_CASE("a burst on endpoints whose capacity has shrunk exceeds none of them and uses all once they have grown", "[dispatcher][capacity]")
{
    for (uint64_t seed = 1; seed <= seedCount; seed++) {
        Site site(seed, 8);
        auto& world = site.world;
        auto isShrinking = [](const std::string& id) { return id == "e1" || id == "e6"; };
        auto setCapacities = [&](const Resources& capacity) {
            for (auto& [key, it] : world.endpoints) {
                if (isShrinking(key))
                    it->setCapacity(capacity);
            }
        };
        int jobCount = 0;
        auto submit = [&](int count) {
            for (int n = 0; n < count; n++)
                site.submit("j" + std::to_string(jobCount++), 4);
        };
        submit(8);
        site.run(milliseconds(500));
        setCapacities({ 2200, 2200, 0 });
        site.run(capacityNotice);
        submit(20);
        site.run(seconds(2));
        site.leader.restart();
        submit(20);
        site.run(seconds(3));
        CHECK(std::all_of(world.endpoints.begin(), world.endpoints.end(), [&](const auto& it) { return it.second->used.cpu <= (isShrinking(it.first) ? 2000 : 4000); }));
        setCapacities(whole);
        submit(20);
        auto areGrownInUse = [&] { return site.endpoint("e1").used.cpu + site.endpoint("e6").used.cpu > 4000; };
        for (int n = 0; n < 300 && !areGrownInUse(); n++)
            site.run(milliseconds(10));
        CHECK(areGrownInUse());
        site.run(seconds(60));
        INFO("seed " << seed << "\n"
                     << world.violations.text());
        CHECK(world.violations.found.empty());
        for (const auto& [serial, job] : site.leader.store.jobs())
            CHECK(job->phase == JobPhase::Completed);
    }
}

TEST_CASE("a start under way when the capacity shrinks is not repeated, and other starts are not sent", "[dispatcher][capacity]")
{
    for (uint64_t seed = 1; seed <= seedCount; seed++) {
        Site site(seed, 4);
        site.world.faults.lostRequestProbability = 0.3;
        site.world.faults.lostAnswerProbability = 0.1;
        changeCapacities(site, false);
    }
}

TEST_CASE("a start that may be carried out late is stopped when the capacity shrinks", "[dispatcher][capacity]")
{
    Site site(1, 1);
    site.submit("a", 1);
    site.world.faults.lateRequestProbability = 1;
    auto sent = site.leader.dispatcher->stats().startsSent;
    while (site.leader.dispatcher->stats().startsSent == sent)
        site.run(milliseconds(1));
    site.world.faults.lateRequestProbability = 0;
    site.endpoint("e0").setCapacity({ 500, 500, 0 });
    site.run(seconds(20));
    INFO(site.world.violations.text());
    CHECK(site.world.violations.found.empty());
    CHECK(site.runningTasks() == 0);
}

TEST_CASE("without heartbeats an endpoint that answers gets no tasks, as its capacity may have shrunk", "[dispatcher][capacity]")
{
    Site site(1, 1);
    site.submit("a", 1, true);
    site.run(seconds(1));
    site.hasHeartbeats = false;
    site.endpoint("e0").setCapacity(quarter);
    site.run(capacityNotice);
    site.submit("b", 3);
    site.run(seconds(3));
    CHECK_FALSE(site.job("b").hasStarted);
    CHECK(site.world.violations.found.empty());
    site.hasHeartbeats = true;
    site.endpoint("e0").setCapacity(whole);
    site.run(seconds(5));
    CHECK(site.job("b").phase == JobPhase::Completed);
}
