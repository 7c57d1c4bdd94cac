#include <catch2/catch.hpp>

#include "endpoint_sim.h"
#include "jobs/job_store_p.h"
#include "policy/queue_order_p.h"

#include <algorithm>
#include <deque>

using namespace vanillalift;
using namespace vanillalift::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start { std::chrono::hours(100) };

Catalog makeCatalog(double weight)
{
    Catalog catalog;
    catalog.version = 1;
    Queue queue;
    queue.name = "q";
    catalog.queues.push_back(queue);
    catalog.workspaces.push_back({ "large", {}, weight, {} });
    catalog.workspaces.push_back({ "small", {}, 1, {} });
    return catalog;
}

/// Accepts jobs as a leader does, and records them in a store.
struct Leader {
    explicit Leader(JobStore& applied)
        : store(applied)
        , rate(applied.agreedRate())
    {
    }
    bool accept(const std::string& id, const std::string& name, int64_t atMs)
    {
        auto weight = store.catalog().workspaceNamed(name)->weight;
        bool isBeyond = rate.isBeyond(name, weight, atMs, {});
        rate.record(name, weight, atMs, isBeyond);
        JobSpec spec;
        spec.id = id;
        spec.steps.emplace_back();
        std::string entry;
        appendCommand(entry, PutJob { spec, name, "q", atMs, isBeyond });
        store.apply(entry);
        return isBeyond;
    }
    JobStore& store;
    AgreedRate rate;
};

void applyCatalog(JobStore& store, const Catalog& catalog)
{
    std::string entry;
    appendCommand(entry, PutCatalog { catalog });
    store.apply(entry);
}

} // namespace

TEST_CASE("a workspace that sends ten times its agreed rate gets its rate in every window, and others are not counted with it", "[entitlement]")
{
    // Load: 100 jobs a second for 60 s where 10 are agreed, beside a workspace that sends what is agreed.
    AgreedRate rate;
    AgreedRateSettings settings;
    std::deque<int64_t> within;
    size_t total = 0;
    for (int64_t ms = 0; ms < 60000; ms += 10) {
        bool isBeyond = rate.isBeyond("large", 10, ms, settings);
        rate.record("large", 10, ms, isBeyond);
        if (!isBeyond) {
            total++;
            within.push_back(ms);
        }
        while (!within.empty() && within.front() <= ms - 5000)
            within.pop_front();
        REQUIRE(within.size() <= 10 * 5 * 1.1 + settings.slack);
        if (ms % 1000 == 0) {
            CHECK_FALSE(rate.isBeyond("small", 1, ms, settings));
            rate.record("small", 1, ms, false);
        }
    }
    CHECK(total >= 600);
}

TEST_CASE("a new leader and one that starts from a snapshot continue the agreed rates where the old leader stopped", "[entitlement]")
{
    // Failure: the leader ends in the middle of a burst.
    JobStore store;
    applyCatalog(store, makeCatalog(10));
    Leader first(store);
    for (int n = 0; n < 200; n++)
        first.accept("a" + std::to_string(n), "large", 1000 + n * 10);
    JobStore restored;
    restored.restore(store.snapshot());
    Leader second(restored);
    size_t beyond = 0;
    for (int n = 0; n < 300; n++) {
        auto atMs = 3000 + n * 25;
        bool isBeyond = first.accept("b" + std::to_string(n), "large", atMs);
        REQUIRE(second.accept("b" + std::to_string(n), "large", atMs) == isBeyond);
        beyond += isBeyond ? 1 : 0;
    }
    CHECK(beyond > 100);
    CHECK(beyond < 300);
    CHECK(restored.findJob("a199")->isBeyondRate);
}

TEST_CASE("a changed weight and a removed workspace take effect on the agreed rate", "[entitlement]")
{
    JobStore store;
    auto catalog = makeCatalog(1);
    applyCatalog(store, catalog);
    Leader leader(store);
    for (int n = 0; n < 40; n++)
        leader.accept("a" + std::to_string(n), "large", 1000);
    CHECK(store.findJob("a39")->isBeyondRate);
    catalog.version = 2;
    catalog.workspaces.front().weight = 100;
    applyCatalog(store, catalog);
    CHECK_FALSE(leader.accept("b", "large", 2000));
    catalog.version = 3;
    catalog.workspaces.erase(catalog.workspaces.begin());
    applyCatalog(store, catalog);
    CHECK_FALSE(store.agreedRate().isBeyond("large", 1, 2000, {}));
}

TEST_CASE("jobs beyond the agreed rate come after those within it, and before those whose result has no value", "[entitlement]")
{
    // Load: one workspace sends many small jobs beyond its rate, which have the highest value for their work.
    std::vector<SchedulableJob> jobs(5);
    for (size_t n = 0; n < jobs.size(); n++) {
        auto& it = jobs[n];
        it.serial = n + 1;
        it.workMs = n < 2 ? 100 : 4000;
        it.criticalPathMs = 100;
        it.objectiveAt = start + seconds(2);
        it.expiresAt = start + seconds(6);
        it.isBeyondRate = n < 2;
    }
    jobs[1].objectiveAt = jobs[3].objectiveAt = start;
    jobs[4].expiresAt = jobs[4].objectiveAt = start - seconds(1);
    CHECK(orderJobs(jobs, start) == std::vector<uint64_t> { 3, 4, 1, 2, 5 });
    // What runs until it is cancelled is restarted first.
    jobs[0].isLongRunning = true;
    CHECK(orderJobs(jobs, start).front() == 1);
}

TEST_CASE("pools ask for instances for jobs beyond the agreed rate only while nothing else waits", "[entitlement]")
{
    // Load: all endpoints are full, and one job within and one beyond its workspace's rate wait.
    sim::Site site(1);
    for (int n = 0; n < 16; n++)
        site.submit("full" + std::to_string(n), 1, true);
    site.run(seconds(2));
    auto propose = [&](const std::string& id, int64_t cpu, bool isBeyondRate) {
        JobSpec spec;
        spec.id = id;
        spec.steps.emplace_back();
        spec.steps.front().need = { cpu, 100, 0 };
        spec.steps.front().estimateMs = 800;
        site.leader.propose(PutJob { spec, "", "q", wallClockMs(), isBeyondRate });
    };
    auto waitAndLoad = [&](Duration time) {
        auto until = site.world.clock.time + time;
        while (site.world.clock.time < until) {
            std::ignore = site.leader.dispatcher->loads();
            site.run(milliseconds(100));
        }
        return site.leader.dispatcher->loads()["s"];
    };
    propose("beyond", 1000, true);
    propose("within", 2000, false);
    auto load = waitAndLoad(seconds(1));
    CHECK(load.ready.cpu == 2000);
    CHECK(load.backlog.cpu == 1600);
    site.leader.propose(CancelJob { "within", wallClockMs() });
    CHECK(waitAndLoad(seconds(2)).ready.cpu == 0);
    load = waitAndLoad(seconds(2));
    CHECK(load.ready.cpu == 1000);
    CHECK(load.backlog.cpu == 800);
}
