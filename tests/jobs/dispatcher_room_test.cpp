#include <catch2/catch.hpp>

#include "endpoint_sim.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

namespace {

/// Longest time from the change that makes room to the start of a task that waits for it: an endpoint's report, the commits and
/// the order.
constexpr milliseconds startTime { 1500 };

JobSpec makeJob(const std::string& id, int64_t cpu = 1000)
{
    JobSpec spec;
    spec.id = id;
    StepSpec step;
    step.need = { cpu, 100, 0 };
    step.estimateMs = 800;
    spec.steps = { step };
    return spec;
}

/// Four endpoints with room for four tasks each, taken by lasting jobs of one task.
class FullSite {
public:
    /// @param hasRetry tasks are tried again by the passing of time alone, which would hide that a change goes unnoticed.
    explicit FullSite(size_t freeTasks = 0, bool hasRetry = false)
        : site(1)
    {
        if (!hasRetry) {
            site.world.placementRetryInterval = std::chrono::hours(1);
            site.leader.restart();
        }
        for (size_t n = 0; n < 16 - freeTasks; n++)
            site.submit("full" + std::to_string(n), 1, true);
        site.run(seconds(2));
        REQUIRE(site.runningTasks() == 16 - freeTasks);
    }

    /// Hands the job in, and checks that it waits.
    void submitWaiting(const JobSpec& spec)
    {
        site.submit(spec);
        site.run(seconds(2));
        REQUIRE_FALSE(site.job(spec.id).hasStarted);
    }
    [[nodiscard]] bool starts(const std::string& id)
    {
        site.run(startTime);
        return site.job(id).hasStarted;
    }
    /// Ends one of the tasks that fill the endpoint.
    void makeRoom(const std::string& endpointId)
    {
        for (const auto& [task, places] : site.world.runningAt) {
            if (!places.contains(endpointId) || m_cancelled.contains(task.job))
                continue;
            m_cancelled.insert(task.job);
            return site.leader.propose(CancelJob { task.job, wallClockMs() });
        }
    }
    void useWorkspace(uint64_t version, int64_t cpuLimit)
    {
        auto catalog = site.leader.store.catalog();
        catalog.version = version;
        catalog.workspaces.clear();
        catalog.workspaces.push_back({ "w", { "k" }, 1, { cpuLimit, 0, 0 } });
        site.leader.propose(PutCatalog { catalog });
        site.run(milliseconds(100));
    }

    Site site;

private:
    std::set<std::string> m_cancelled;
};

} // namespace

TEST_CASE("a waiting task starts once another has ended", "[dispatcher][room]")
{
    FullSite full;
    full.submitWaiting(makeJob("a"));
    full.makeRoom("e2");
    CHECK(full.starts("a"));
}

TEST_CASE("a large waiting task starts once the last of several small ones has ended", "[dispatcher][room]")
{
    FullSite full;
    full.submitWaiting(makeJob("a", 3000));
    for (int n = 0; n < 2; n++) {
        full.makeRoom("e1");
        REQUIRE_FALSE(full.starts("a"));
    }
    full.makeRoom("e1");
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting gang starts once the last of its places is free", "[dispatcher][room]")
{
    FullSite full;
    auto spec = makeJob("a");
    spec.steps.front().taskCount = 2;
    spec.steps.front().isGang = true;
    full.submitWaiting(spec);
    full.makeRoom("e0");
    REQUIRE_FALSE(full.starts("a"));
    full.makeRoom("e3");
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once an endpoint joins", "[dispatcher][room]")
{
    FullSite full;
    full.submitWaiting(makeJob("a"));
    full.site.addEndpoint("e4");
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once an endpoint reports more room", "[dispatcher][room]")
{
    FullSite full;
    full.submitWaiting(makeJob("a"));
    full.site.endpoint("e1").described.capacity = { 8000, 8000, 0 };
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once an endpoint reports the label that it needs", "[dispatcher][room]")
{
    FullSite full(2);
    auto spec = makeJob("a");
    spec.steps.front().requiredLabel = "fast";
    full.submitWaiting(spec);
    for (auto& [key, it] : full.site.world.endpoints)
        it->described.labels = { "fast" };
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once an endpoint is no longer to be taken down", "[dispatcher][room]")
{
    FullSite full(2);
    full.site.leader.dispatcher->setCordoned({ "e0", "e1", "e2", "e3" });
    full.submitWaiting(makeJob("a"));
    full.site.leader.dispatcher->setCordoned({});
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once an endpoint with room is heard again", "[dispatcher][room]")
{
    FullSite full;
    auto& added = full.site.addEndpoint("e4");
    full.site.run(seconds(2));
    added.isCut = true;
    full.site.run(config::endpointContactTimeout + seconds(1));
    full.submitWaiting(makeJob("a"));
    added.isCut = false;
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once the pause of a failing endpoint is over", "[dispatcher][room]")
{
    FullSite full(2, true);
    full.site.world.faults.failedRun = 1;
    auto failing = makeJob("a");
    failing.steps.front().taskCount = 2;
    full.site.submit(failing);
    full.site.run(seconds(2));
    full.site.world.faults.failedRun = 0;
    full.site.run(seconds(10));
    CHECK(full.site.job("a").phase == JobPhase::Completed);
}

TEST_CASE("a waiting task starts once its workspace's limit is raised", "[dispatcher][room]")
{
    FullSite full(4);
    full.useWorkspace(2, 500);
    auto spec = makeJob("a");
    full.site.leader.propose(PutJob { spec, "w", "q", wallClockMs() });
    full.site.run(seconds(2));
    REQUIRE_FALSE(full.site.job("a").hasStarted);
    full.useWorkspace(3, 1000);
    CHECK(full.starts("a"));
}

TEST_CASE("a waiting task starts once another of its workspace has ended", "[dispatcher][room]")
{
    FullSite full(4);
    full.useWorkspace(2, 1000);
    for (const auto* id : { "a", "b", "c" })
        full.site.leader.propose(PutJob { makeJob(id), "w", "q", wallClockMs() });
    full.site.run(seconds(8));
    for (const auto* id : { "a", "b", "c" })
        CHECK(full.site.job(id).phase == JobPhase::Completed);
}

TEST_CASE("a waiting task of a step with one task an endpoint starts once another of the step has ended", "[dispatcher][room]")
{
    // The endpoint's capacity is free before the end is on record, and the place only after that.
    Site site(1);
    auto spec = makeJob("a");
    spec.steps.front().taskCount = 12;
    spec.steps.front().maxPerEndpoint = 1;
    site.submit(spec);
    site.run(seconds(8));
    CHECK(site.job("a").phase == JobPhase::Completed);
}

TEST_CASE("an occurrence does not wait for the places of an earlier one", "[dispatcher][room]")
{
    Site site(1);
    auto spec = makeJob("a");
    auto& step = spec.steps.front();
    step.taskCount = 5;
    step.maxPerEndpoint = 1;
    spec.occurrences = 2;
    spec.firstAtMs = wallClockMs() - 5000;
    spec.periodMs = 1000;
    for (uint32_t occurrence = 0; occurrence < spec.occurrences; occurrence++) {
        for (uint32_t n = 0; n < step.taskCount; n++)
            site.world.shapes[{ "a", occurrence, 0, n }] = { step.need, seconds(20) };
    }
    site.submit(spec);
    site.run(seconds(5));
    CHECK(site.runningTasks() == 8);
}

TEST_CASE("starts that wait for an endpoint that stops answering do not prolong its lease", "[dispatcher][room]")
{
    constexpr uint32_t tasks = 32;
    Site site(1, SiteDesc { 1, { 32000, 128000, 0 }, true });
    site.submit("before", 8, false);
    site.run(seconds(3));
    auto placed = site.leader.dispatcher->stats().placements;
    site.submit("a", tasks, false);
    while (site.leader.dispatcher->stats().placements == placed)
        site.run(milliseconds(1));
    site.endpoint("e0").isCut = true;
    site.addEndpoint("e1");
    site.run(config::endpointLease + seconds(1));
    const auto& job = site.job("a");
    auto away = tasks;
    if (job.isActive()) {
        const auto& all = job.occurrences[0].steps[0].tasks;
        away = static_cast<uint32_t>(std::count_if(all.begin(), all.end(), [](const Task& it) { return it.isDone || std::any_of(it.placements.begin(), it.placements.end(), [](const Placement& place) { return place.endpoint == "e1"; }); }));
    }
    CHECK(away == tasks);
}

TEST_CASE("a start that is repeated without an answer does not prolong the endpoint's lease for good", "[dispatcher][room]")
{
    // Connections to it are still made, as to a process that stands still.
    Site site(1, 1);
    site.run(seconds(2));
    auto placed = site.leader.dispatcher->stats().placements;
    site.submit("a", 4);
    while (site.leader.dispatcher->stats().placements == placed)
        site.run(milliseconds(1));
    site.endpoint("e0").isCut = true;
    site.addEndpoint("e1");
    site.run(config::endpointLease + seconds(2));
    const auto& job = site.job("a");
    CHECK((!job.isActive() || job.occurrences[0].steps[0].tasks[0].placements.front().endpoint == "e1"));
}
