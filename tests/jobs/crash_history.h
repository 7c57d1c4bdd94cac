#pragma once

#include "endpoint_sim.h"

namespace vanillalift::sim {

struct CrashHistory {
    bool hasPartitions = false;
    /// One task in thirty crashes each endpoint that starts it.
    bool hasDeadlyTasks = false;
};

/// Runs jobs for 32 s among random crashes, late reports and changes of leader, and then for 60 s without.
inline void simulateCrashes(Site& site, const CrashHistory& history)
{
    using std::chrono::seconds;
    auto& world = site.world;
    world.faults = { 0.02, 0.02, 0.01, 0 };
    world.maxHeartbeatDelay = milliseconds(400);
    for (int n = 0; n < 80; n++) {
        auto id = "j" + std::to_string(n);
        site.submit(id, 2);
        if (history.hasDeadlyTasks && n % 15 == 7)
            world.crashingTasks.insert({ id, 0, 0, 0 });
        world.restartTime = world.randomDelay(200, 3500);
        auto& endpoint = site.endpoint("e" + std::to_string(std::uniform_int_distribution<>(0, 5)(world.random)));
        // A submission that is not committed would be lost with its leader.
        site.run(milliseconds(100));
        if (world.chance(0.2) && !endpoint.isDown)
            endpoint.crashProcess();
        if (world.chance(0.05)) {
            endpoint.crash();
            endpoint.restartAs(endpoint.description.id);
        }
        if (history.hasPartitions && world.chance(0.05))
            endpoint.isPartitioned = !endpoint.isPartitioned;
        if (world.chance(0.06))
            site.leader.restart();
        site.run(milliseconds(300));
    }
    world.faults = {};
    world.maxHeartbeatDelay = Duration::zero();
    for (auto& [key, it] : world.endpoints)
        it->isPartitioned = false;
    site.run(seconds(60));
}

} // namespace vanillalift::sim
