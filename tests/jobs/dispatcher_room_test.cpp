#include <catch2/catch.hpp>

#include "endpoint_sim.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

namespace {

/// Longest time from the change that frees capacity to the start of a task that waits for it: a report of the endpoint, the
/// commits and the start request.
constexpr milliseconds maxStartDelay { 1500 };

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

/// Four endpoints with capacity for four tasks each, filled by long-running jobs of one task.
class FullSite {
public:
    /// @param freeTasks number of tasks for which capacity stays free.
    /// @param hasTimedRetry whether placement is retried periodically, which would hide that a change is not noticed.
    explicit FullSite(size_t freeTasks = 0, bool hasTimedRetry = false)
        : site(1)
    {
        if (!hasTimedRetry) {
            site.world.placementRetryInterval = std::chrono::hours(1);
            site.leader.restart();
        }
        for (size_t n = 0; n < 16 - freeTasks; n++)
            site.submit("full" + std::to_string(n), 1, true);
        site.run(seconds(2));
        REQUIRE(site.runningTasks() == 16 - freeTasks);
    }

    /// Submits the job and checks that it waits.
    void submitAndExpectWait(const JobSpec& spec)
    {
        site.submit(spec);
        site.run(seconds(2));
        REQUIRE_FALSE(site.job(spec.id).hasStarted);
    }
    [[nodiscard]] bool startsInTime(const std::string& id)
    {
        site.run(maxStartDelay);
        return site.job(id).hasStarted;
    }
    /// Cancels one of the jobs that fill the endpoint.
    void freeCapacity(const std::string& endpointId)
    {
        for (const auto& [task, places] : site.world.runningAt) {
            if (!places.contains(endpointId) || m_cancelled.contains(task.job))
                continue;
            m_cancelled.insert(task.job);
            return site.leader.propose(CancelJob { task.job, wallClockMs() });
        }
    }
    /// Replaces the workspaces of the catalog by one with the given limit, in thousandths of a core.
    void putWorkspace(uint64_t version, int64_t cpuLimit)
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

TEST_CASE("a waiting task starts once a running one ends", "[dispatcher][room]")
{
    FullSite full;
    full.submitAndExpectWait(makeJob("a"));
    full.freeCapacity("e2");
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a large waiting task starts once enough small ones have ended", "[dispatcher][room]")
{
    FullSite full;
    full.submitAndExpectWait(makeJob("a", 3000));
    for (int n = 0; n < 2; n++) {
        full.freeCapacity("e1");
        REQUIRE_FALSE(full.startsInTime("a"));
    }
    full.freeCapacity("e1");
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting gang starts once there is free capacity for all of its tasks", "[dispatcher][room]")
{
    FullSite full;
    auto spec = makeJob("a");
    spec.steps.front().taskCount = 2;
    spec.steps.front().isGang = true;
    full.submitAndExpectWait(spec);
    full.freeCapacity("e0");
    REQUIRE_FALSE(full.startsInTime("a"));
    full.freeCapacity("e3");
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting task starts once an endpoint joins", "[dispatcher][room]")
{
    FullSite full;
    full.submitAndExpectWait(makeJob("a"));
    full.site.addEndpoint("e4");
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting task starts once an endpoint reports more capacity", "[dispatcher][room]")
{
    FullSite full;
    full.submitAndExpectWait(makeJob("a"));
    full.site.endpoint("e1").description.capacity = { 8000, 8000, 0 };
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting task starts once an endpoint reports the required label", "[dispatcher][room]")
{
    FullSite full(2);
    auto spec = makeJob("a");
    spec.steps.front().requiredLabel = "fast";
    full.submitAndExpectWait(spec);
    for (auto& [key, it] : full.site.world.endpoints)
        it->description.labels = { "fast" };
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting task starts once endpoints are no longer cordoned", "[dispatcher][room]")
{
    FullSite full(2);
    full.site.leader.dispatcher->setCordoned({ "e0", "e1", "e2", "e3" });
    full.submitAndExpectWait(makeJob("a"));
    full.site.leader.dispatcher->setCordoned({});
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting task starts once an endpoint with free capacity is reachable again", "[dispatcher][room]")
{
    FullSite full;
    auto& newEndpoint = full.site.addEndpoint("e4");
    full.site.run(seconds(2));
    newEndpoint.isPartitioned = true;
    full.site.run(config::endpointContactTimeout + seconds(1));
    full.submitAndExpectWait(makeJob("a"));
    newEndpoint.isPartitioned = false;
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a waiting task starts once the failure backoff of an endpoint is over", "[dispatcher][room]")
{
    FullSite full(2, true);
    full.site.world.faults.failedRunProbability = 1;
    auto failingJob = makeJob("a");
    failingJob.steps.front().taskCount = 2;
    full.site.submit(failingJob);
    full.site.run(seconds(2));
    full.site.world.faults.failedRunProbability = 0;
    full.site.run(seconds(10));
    CHECK(full.site.job("a").phase == JobPhase::Completed);
}

TEST_CASE("a waiting task starts once its workspace's limit is raised", "[dispatcher][room]")
{
    FullSite full(4);
    full.putWorkspace(2, 500);
    auto spec = makeJob("a");
    full.site.leader.propose(PutJob { spec, "w", "q", wallClockMs() });
    full.site.run(seconds(2));
    REQUIRE_FALSE(full.site.job("a").hasStarted);
    full.putWorkspace(3, 1000);
    CHECK(full.startsInTime("a"));
}

TEST_CASE("a task that waits for its workspace's limit starts once another task of the workspace ends", "[dispatcher][room]")
{
    FullSite full(4);
    full.putWorkspace(2, 1000);
    for (const auto* id : { "a", "b", "c" })
        full.site.leader.propose(PutJob { makeJob(id), "w", "q", wallClockMs() });
    full.site.run(seconds(8));
    for (const auto* id : { "a", "b", "c" })
        CHECK(full.site.job(id).phase == JobPhase::Completed);
}

TEST_CASE("a waiting task of a step with one task per endpoint starts once another task of the step ends", "[dispatcher][room]")
{
    // The endpoint's capacity becomes free before the end is recorded, and the step's per-endpoint limit allows the task only
    // after that.
    Site site(1);
    auto spec = makeJob("a");
    spec.steps.front().taskCount = 12;
    spec.steps.front().maxPerEndpoint = 1;
    site.submit(spec);
    site.run(seconds(8));
    CHECK(site.job("a").phase == JobPhase::Completed);
}

TEST_CASE("an occurrence's per-endpoint limit does not count tasks of an earlier occurrence", "[dispatcher][room]")
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
            site.world.taskLoads[{ "a", occurrence, 0, n }] = { step.need, seconds(20) };
    }
    site.submit(spec);
    site.run(seconds(5));
    CHECK(site.runningTasks() == 8);
}

TEST_CASE("queued start requests do not extend the lease of an endpoint that has stopped answering", "[dispatcher][room]")
{
    constexpr uint32_t totalTasks = 32;
    Site site(1, SiteDesc { 1, { 32000, 128000, 0 }, true });
    site.submit("before", 8, false);
    site.run(seconds(3));
    auto placementsBefore = site.leader.dispatcher->stats().placements;
    site.submit("a", totalTasks, false);
    while (site.leader.dispatcher->stats().placements == placementsBefore)
        site.run(milliseconds(1));
    site.endpoint("e0").isPartitioned = true;
    site.addEndpoint("e1");
    site.run(config::endpointLease + seconds(1));
    const auto& job = site.job("a");
    auto startedElsewhere = totalTasks;
    if (job.isActive()) {
        const auto& all = job.occurrences[0].steps[0].tasks;
        startedElsewhere = static_cast<uint32_t>(std::count_if(all.begin(), all.end(), [](const Task& it) { return it.isDone || std::any_of(it.placements.begin(), it.placements.end(), [](const Placement& place) { return place.endpoint == "e1"; }); }));
    }
    CHECK(startedElsewhere == totalTasks);
}

TEST_CASE("repeated unanswered start requests do not extend an endpoint's lease indefinitely", "[dispatcher][room]")
{
    // Connections to the endpoint still succeed, as with a suspended process.
    Site site(1, 1);
    site.run(seconds(2));
    auto placementsBefore = site.leader.dispatcher->stats().placements;
    site.submit("a", 4);
    while (site.leader.dispatcher->stats().placements == placementsBefore)
        site.run(milliseconds(1));
    site.endpoint("e0").isPartitioned = true;
    site.addEndpoint("e1");
    site.run(config::endpointLease + seconds(2));
    const auto& job = site.job("a");
    CHECK((!job.isActive() || job.occurrences[0].steps[0].tasks[0].placements.front().endpoint == "e1"));
}
