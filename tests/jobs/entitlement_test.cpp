#include <catch2/catch.hpp>

#include "jobs/job_store_p.h"

#include <deque>

using namespace vanillalift;
using namespace vanillalift::jobs;

namespace {

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
