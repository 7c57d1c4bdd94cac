#include <catch2/catch.hpp>

#include "crash_history.h"

using namespace vanillalift;
using namespace vanillalift::sim;

TEST_CASE("tasks that crash their endpoints stay within their budget among ordinary crashes, partitions and changes of leader", "[dispatcher][crash][history]")
{
    bool hasPartitions = GENERATE(false, true);
    for (uint64_t seed = 400; seed < 460; seed++) {
        Site site(seed, 6);
        simulateCrashes(site, { hasPartitions, true });
        INFO("seed " << seed << " partitions " << hasPartitions << "\n"
                     << site.world.violations.text());
        CHECK(site.world.violations.found.empty());
        CHECK(site.leader.store.suspects().empty());
        for (const auto& [serial, job] : site.leader.store.jobs()) {
            INFO("job " << job->spec.id);
            CHECK_FALSE(job->isActive());
        }
    }
}
