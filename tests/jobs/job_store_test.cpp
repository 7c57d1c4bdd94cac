#include <catch2/catch.hpp>

#include "jobs/job_store_p.h"
#include "policy/job_estimate_p.h"

#include <array>
#include <random>

using namespace vanillalift::jobs;

namespace {

JobSpec makeSpec(const std::string& id, std::vector<uint32_t> taskCounts)
{
    JobSpec spec;
    spec.id = id;
    spec.payload = "payload";
    for (uint32_t n = 0; n < taskCounts.size(); n++) {
        StepSpec step;
        step.taskCount = taskCounts[n];
        if (n > 0)
            step.after = { n - 1 };
        spec.steps.push_back(step);
    }
    return spec;
}

struct Fixture {
    Fixture()
    {
        Catalog catalog;
        catalog.version = 3;
        Queue queue;
        queue.name = "q";
        queue.maxAttempts = 2;
        catalog.queues.push_back(queue);
        apply(PutCatalog { catalog });
        Endpoint endpoint;
        endpoint.id = "e";
        endpoint.address = "10.0.0.1:80";
        endpoint.startedAtMs = 10;
        apply(PutEndpoint { endpoint });
    }

    void apply(const Command& command)
    {
        std::string entry;
        appendCommand(entry, command);
        store.apply(entry);
    }
    uint64_t submit(const JobSpec& spec)
    {
        apply(PutJob { spec, "w", "q", 0 });
        return store.findJob(spec.id)->serial;
    }
    void place(const TaskKey& key, uint32_t run) { apply(PlaceRuns { { { { key, run }, "e" } } }); }
    void end(const TaskKey& key, uint32_t run, RunEnd outcome, const std::string& checkpoint = "") { apply(EndRuns { { { { key, run }, outcome, checkpoint } }, 0 }); }

    JobStore store;
};

} // namespace

TEST_CASE("a job completes when all tasks of all its steps are done", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 2, 1 }));
    CHECK_FALSE(f.store.findJob("a")->isStepReady(0, 1));
    for (uint32_t n = 0; n < 2; n++) {
        f.place({ job, 0, 0, n }, 1);
        f.end({ job, 0, 0, n }, 1, RunEnd::Done);
    }
    CHECK(f.store.findJob("a")->isStepReady(0, 1));
    CHECK(f.store.findJob("a")->isActive());
    f.place({ job, 0, 1, 0 }, 1);
    f.end({ job, 0, 1, 0 }, 1, RunEnd::Done);
    CHECK(f.store.findJob("a")->phase == JobPhase::Completed);
}

TEST_CASE("a duplicate run end, or one for a run that was not placed, is ignored", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 2 }));
    f.place({ job, 0, 0, 0 }, 1);
    f.end({ job, 0, 0, 0 }, 1, RunEnd::Failed);
    f.end({ job, 0, 0, 0 }, 1, RunEnd::Failed);
    f.end({ job, 0, 0, 0 }, 2, RunEnd::Done);
    f.end({ job, 9, 9, 9 }, 1, RunEnd::Done);
    CHECK(f.store.findJob("a")->findTask({ job, 0, 0, 0 })->failures == 1);
    CHECK(f.store.findJob("a")->isActive());
}

TEST_CASE("a placement with a run number that is not higher than the last one is rejected", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 1 }));
    f.place({ job, 0, 0, 0 }, 2);
    f.place({ job, 0, 0, 0 }, 2);
    f.place({ job, 0, 0, 0 }, 1);
    CHECK(f.store.findJob("a")->placementCount == 1);
}

TEST_CASE("a job fails after the maximum number of failed attempts of its queue; a long-running job never does", "[store]")
{
    Fixture f;
    auto lasting = makeSpec("l", { 1 });
    lasting.steps[0].isLongRunning = true;
    for (const auto& spec : { makeSpec("a", { 1 }), lasting }) {
        auto job = f.submit(spec);
        for (uint32_t run = 1; run <= 2; run++) {
            f.place({ job, 0, 0, 0 }, run);
            f.end({ job, 0, 0, 0 }, run, RunEnd::Failed);
        }
    }
    CHECK(f.store.findJob("a")->phase == JobPhase::Failed);
    CHECK(f.store.findJob("l")->isActive());
    auto job = f.store.findJob("l")->serial;
    f.place({ job, 0, 0, 0 }, 3);
    f.end({ job, 0, 0, 0 }, 3, RunEnd::Done);
    CHECK(f.store.findJob("l")->findTask({ job, 0, 0, 0 })->isIdle());
}

TEST_CASE("lost and stopped runs do not count as failed attempts and keep the latest checkpoint", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 1 }));
    TaskKey key { job, 0, 0, 0 };
    uint32_t run = 1;
    for (auto outcome : { RunEnd::Lost, RunEnd::Stopped, RunEnd::LeaseExpired, RunEnd::NotStarted, RunEnd::GangStartTimeout }) {
        f.place(key, run);
        f.end(key, run++, outcome, outcome == RunEnd::Stopped ? "c1" : "");
    }
    CHECK(f.store.findJob("a")->isActive());
    CHECK(f.store.findJob("a")->findTask(key)->failures == 0);
    CHECK(f.store.findJob("a")->findTask(key)->checkpoint == "c1");
}

TEST_CASE("a gang step is done when one of its tasks is reported done", "[store]")
{
    Fixture f;
    auto spec = makeSpec("g", { 3 });
    spec.steps[0].isGang = true;
    auto job = f.submit(spec);
    for (uint32_t n = 0; n < 3; n++)
        f.place({ job, 0, 0, n }, 1);
    f.end({ job, 0, 0, 1 }, 1, RunEnd::Done);
    CHECK(f.store.findJob("g")->phase == JobPhase::Completed);
    CHECK(f.store.findJob("g")->placementCount == 2);
}

// Guards against a gang that is given up after one run because several of its members failed in it.
TEST_CASE("members of a gang that fail in the same run count as one attempt", "[store]")
{
    Fixture f;
    auto spec = makeSpec("g", { 3 });
    spec.steps.front().isGang = true;
    auto job = f.submit(spec);
    for (uint32_t run = 1; run <= 2; run++) {
        CHECK(f.store.findJob("g")->isActive());
        for (uint32_t n = 0; n < 3; n++)
            f.place({ job, 0, 0, n }, run);
        for (uint32_t n = 0; n < 3; n++)
            f.end({ job, 0, 0, n }, run, RunEnd::Failed);
    }
    CHECK(f.store.findJob("g")->phase == JobPhase::Failed);
}

// Guards against members of a gang that are started with different checkpoints after a crash, run after run, and never work together (review/8).
TEST_CASE("the members of a gang share the newest checkpoint that one of them has shown", "[store]")
{
    std::vector<uint32_t> order { 0, 1, 2 };
    do {
        Fixture f;
        auto spec = makeSpec("g", { 3 });
        spec.steps.front().isGang = true;
        auto job = f.submit(spec);
        auto checkpoints = [&] {
            std::set<std::string> found;
            for (const auto& it : f.store.findJob("g")->occurrences.at(0).steps.at(0).tasks)
                found.insert(it.checkpoint);
            return found;
        };
        auto endAll = [&](uint32_t run, const std::array<RunEnd, 3>& ends, const std::array<std::string, 3>& saved) {
            for (uint32_t n = 0; n < 3; n++)
                f.place({ job, 0, 0, n }, run);
            for (auto n : order)
                f.end({ job, 0, 0, n }, run, ends.at(n), saved.at(n));
        };
        // The endpoint of one member has crashed: its last report is older than what the others list.
        endAll(1, { RunEnd::GangMemberEnded, RunEnd::Lost, RunEnd::GangMemberEnded }, { "new", "old", "new" });
        CHECK(checkpoints() == std::set<std::string> { "new" });
        endAll(2, { RunEnd::Lost, RunEnd::Lost, RunEnd::Lost }, { "", "", "" });
        CHECK(checkpoints() == std::set<std::string> { "new" });
        auto snapshot = f.store.snapshot();
        f.store.restore(snapshot);
        endAll(3, { RunEnd::Lost, RunEnd::Lost, RunEnd::Lost }, { "", "later", "" });
        CHECK(checkpoints() == std::set<std::string> { "later" });
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a number of pending jobs that leaves out those whose starts were refused.
TEST_CASE("a job whose starts were all refused is pending again", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 2 }));
    f.place({ job, 0, 0, 0 }, 1);
    f.place({ job, 0, 0, 1 }, 1);
    CHECK(f.store.pendingJobCount("q") == 0);
    f.end({ job, 0, 0, 0 }, 1, RunEnd::NotStarted);
    CHECK(f.store.pendingJobCount("q") == 0);
    f.end({ job, 0, 0, 1 }, 1, RunEnd::NotStarted);
    CHECK(f.store.pendingJobCount("q") == 1);
    f.place({ job, 0, 0, 0 }, 2);
    f.end({ job, 0, 0, 0 }, 2, RunEnd::Stopped);
    f.place({ job, 0, 0, 0 }, 3);
    f.end({ job, 0, 0, 0 }, 3, RunEnd::NotStarted);
    CHECK(f.store.pendingJobCount("q") == 0);
}

TEST_CASE("a cancelled job is not placed again, and a repeated submission does not reactivate it", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 1 }));
    f.apply(CancelJob { "a", 5 });
    f.place({ job, 0, 0, 0 }, 1);
    f.submit(makeSpec("a", { 1 }));
    CHECK(f.store.findJob("a")->phase == JobPhase::Cancelled);
    CHECK(f.store.findJob("a")->placementCount == 0);
}

TEST_CASE("a catalog with an older version does not replace the current one", "[store]")
{
    Fixture f;
    Catalog older;
    older.version = 2;
    f.apply(PutCatalog { older });
    CHECK(f.store.catalog().version == 3);
    CHECK(f.store.catalog().queueNamed("q"));
}

TEST_CASE("a newer incarnation at an address replaces the older one, whose late reports are ignored", "[store]")
{
    Fixture f;
    Endpoint newer;
    newer.id = "n";
    newer.address = "10.0.0.1:80";
    newer.startedAtMs = 20;
    f.apply(PutEndpoint { newer });
    CHECK_FALSE(f.store.findEndpoint("e"));
    Endpoint lateReport;
    lateReport.id = "e";
    lateReport.address = "10.0.0.1:80";
    lateReport.startedAtMs = 10;
    f.apply(PutEndpoint { lateReport });
    CHECK_FALSE(f.store.findEndpoint("e"));
    CHECK(f.store.findEndpoint("n"));
}

TEST_CASE("a new incarnation under a known id is marked as having an earlier incarnation", "[store]")
{
    Fixture f;
    auto restarted = *f.store.findEndpoint("e");
    CHECK_FALSE(restarted.hasEarlierIncarnation);
    restarted.startedAtMs = 11;
    f.apply(PutEndpoint { restarted });
    CHECK(f.store.findEndpoint("e")->hasEarlierIncarnation);
}

TEST_CASE("pending jobs are accepted jobs that have not started, without scheduled ones", "[store]")
{
    Fixture f;
    f.submit(makeSpec("a", { 1 }));
    auto timed = makeSpec("t", { 1 });
    timed.occurrences = 2;
    f.submit(timed);
    auto job = f.submit(makeSpec("b", { 1 }));
    CHECK(f.store.pendingJobCount("q") == 2);
    f.place({ job, 0, 0, 0 }, 1);
    CHECK(f.store.pendingJobCount("q") == 1);
}

// Guards against a number of pending jobs that drifts from the jobs themselves, as it is kept beside them.
TEST_CASE("the number of pending jobs is that of the jobs that are pending, whatever happens to them", "[store]")
{
    Fixture f;
    std::mt19937 random(17);
    auto draw = [&](size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); };
    std::vector<uint64_t> serials;
    std::map<uint64_t, uint32_t> runs;
    for (int n = 0; n < 4000; n++) {
        if (serials.empty() || draw(5) == 0)
            serials.push_back(f.submit(makeSpec("j" + std::to_string(serials.size()), { 1 })));
        auto serial = serials[draw(serials.size())];
        TaskKey task { serial, 0, 0, 0 };
        constexpr std::array ends { RunEnd::Done, RunEnd::Failed, RunEnd::NotStarted, RunEnd::NotStarted, RunEnd::Lost };
        switch (draw(4)) {
        case 0:
            f.place(task, ++runs[serial]);
            break;
        case 1:
            f.end(task, runs[serial], ends.at(draw(ends.size())));
            break;
        case 2:
            if (draw(8) == 0)
                f.apply(CancelJob { "j" + std::to_string(draw(serials.size())), 5 });
            break;
        default:
            if (draw(20) == 0)
                f.store.restore(f.store.snapshot());
        }
        const auto& jobs = f.store.jobs();
        auto expected = std::count_if(jobs.begin(), jobs.end(), [](const auto& it) { return it.second->isActive() && !it.second->hasStarted; });
        REQUIRE(f.store.pendingJobCount("q") == static_cast<size_t>(expected));
    }
}

TEST_CASE("a wave is complete once maintenance of each instance has started, with duplicates ignored", "[store]")
{
    Fixture f;
    f.apply(PutWave { { 1, { "m1", "m2" }, 0, 1 } });
    f.apply(RequestMaintenance { 1, "m1" });
    CHECK(f.store.waves().at(1).isRequested("m1"));
    f.apply(MarkMaintained { 1, "m1" });
    f.apply(MarkMaintained { 1, "m1" });
    CHECK_FALSE(f.store.waves().at(1).isComplete());
    f.apply(PutWave { { 1, { "m1" }, 0, 1 } });
    CHECK_FALSE(f.store.waves().at(1).isComplete());
    f.apply(MarkMaintained { 1, "m2" });
    CHECK(f.store.waves().at(1).isComplete());
}

TEST_CASE("restoring a snapshot reproduces the state", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 2, 1 }));
    f.place({ job, 0, 0, 0 }, 1);
    f.end({ job, 0, 0, 0 }, 1, RunEnd::Stopped, "c");
    f.place({ job, 0, 0, 1 }, 4);
    f.apply(PutWave { { 7, { "m" }, 9, 2 } });
    f.apply(PutReplica { "10.0.0.1:7000", "z", true });
    auto snapshot = f.store.snapshot();
    JobStore other;
    other.restore(snapshot);
    CHECK(other.snapshot() == snapshot);
    CHECK(other.findJob("a")->findTask({ job, 0, 0, 1 })->placements.front().run == 4);
    CHECK(other.catalog().version == 3);
    CHECK(other.waves().at(7).wave.maxConcurrent == 2);
    CHECK(other.replicas().at("10.0.0.1:7000").isReplacement);
}

TEST_CASE("evacuated availability zones are part of the state and of its snapshot, and repeated orders change nothing", "[store]")
{
    Fixture f;
    f.apply(PutEvacuation { "z1", true, 1000 });
    f.apply(PutEvacuation { "z2", true, 1500 });
    f.apply(PutEvacuation { "z1", true, 2000 });
    JobStore other;
    other.restore(f.store.snapshot());
    CHECK(other.evacuations() == std::map<std::string, int64_t> { { "z1", 1000 }, { "z2", 1500 } });
    f.apply(PutEvacuation { "z1", false, 3000 });
    f.apply(PutEvacuation { "z1", false, 3500 });
    CHECK(f.store.evacuations() == std::map<std::string, int64_t> { { "z2", 1500 } });
    other.restore(f.store.snapshot());
    CHECK(other.evacuations() == f.store.evacuations());
}

// Guards against a controller that cannot start after an update: the snapshot on its disk ends before the evacuations.
TEST_CASE("a snapshot of a version without evacuations is read", "[store]")
{
    Fixture f;
    auto snapshot = f.store.snapshot();
    // The evacuations and the run times.
    std::string emptyParts("\x80\x80");
    REQUIRE(snapshot.ends_with(emptyParts));
    snapshot.resize(snapshot.size() - emptyParts.size());
    JobStore other;
    other.apply([] {
        std::string entry;
        appendCommand(entry, PutEvacuation { "z1", true, 1000 });
        return entry;
    }());
    other.restore(snapshot);
    CHECK(other.evacuations().empty());
    CHECK(other.endpoints().size() == 1);
}

TEST_CASE("run times that the log carries are learned alike by every controller and kept by snapshots; failures teach nothing", "[store]")
{
    Fixture f;
    auto spec = makeSpec("a", { 40 });
    spec.steps[0].estimateMs = 1000;
    auto job = f.submit(spec);
    auto endAfter = [&](Fixture& it, uint32_t task, RunEnd outcome, uint32_t ms) {
        it.place({ job, 0, 0, task }, 1);
        it.apply(EndRuns { { { { { job, 0, 0, task }, 1 }, outcome, "", ms } }, 0 });
    };
    for (uint32_t n = 0; n < 16; n++)
        endAfter(f, n, RunEnd::Done, 2000);
    // Unknown times, as of commands of an earlier version, and other ends.
    endAfter(f, 16, RunEnd::Done, 0);
    endAfter(f, 17, RunEnd::Failed, 9000);
    endAfter(f, 18, RunEnd::Stopped, 9000);
    CHECK(f.store.runTimes().sums().at("q").all.runs == 16);
    auto key = f.store.findJob("a")->runTimeKey(0, 0);
    CHECK(key.siblings == 16);
    CHECK(key.siblingMs == Approx(2000));
    CHECK(f.store.runTimes().mean({ "q", 0, 1000 }) > 1500);
    Fixture other;
    other.store.restore(f.store.snapshot());
    for (auto* it : { &f, &other })
        endAfter(*it, 19, RunEnd::Done, 3000);
    CHECK(other.store.snapshot() == f.store.snapshot());
    CHECK(other.store.runTimes().sums().at("q").all.runs == 17);
    // A queue that is no longer configured is forgotten.
    Catalog catalog;
    catalog.version = 4;
    f.apply(PutCatalog { catalog });
    CHECK(f.store.runTimes().sums().empty());
}

TEST_CASE("a job's estimate follows the run times of earlier jobs and of its own tasks", "[store]")
{
    Fixture f;
    auto spec = makeSpec("a", { 20 });
    spec.steps[0].estimateMs = 1000;
    spec.steps[0].need.cpu = 1000;
    auto earlier = f.submit(spec);
    auto endAfter = [&](uint64_t job, uint32_t task, uint32_t ms) {
        f.place({ job, 0, 0, task }, 1);
        f.apply(EndRuns { { { { { job, 0, 0, task }, 1 }, RunEnd::Done, "", ms } }, 0 });
    };
    for (uint32_t n = 0; n < 20; n++)
        endAfter(earlier, n, 2000);
    spec.id = "b";
    auto job = f.submit(spec);
    const auto& added = *f.store.findJob("b");
    CHECK(estimateJob(added, 0).workMs == Approx(20000));
    CHECK(estimateJob(added, 0, &f.store.runTimes()).workMs > 28000);
    for (uint32_t n = 0; n < 4; n++)
        endAfter(job, n, 4000);
    auto estimate = estimateJob(added, 0, &f.store.runTimes());
    CHECK(estimate.workMs == Approx(16 * 4000).epsilon(0.25));
    CHECK(estimate.criticalPathMs > 3200);
}

TEST_CASE("finished jobs are purged only when they have no placements", "[store]")
{
    Fixture f;
    auto job = f.submit(makeSpec("a", { 1 }));
    f.place({ job, 0, 0, 0 }, 1);
    f.apply(CancelJob { "a", 5 });
    CHECK(f.store.jobsFinishedBefore(100, 10).empty());
    f.apply(PurgeJobs { { "a" } });
    CHECK(f.store.findJob("a"));
    f.end({ job, 0, 0, 0 }, 1, RunEnd::Stopped);
    CHECK(f.store.jobsFinishedBefore(100, 10) == std::vector<std::string> { "a" });
    f.apply(PurgeJobs { { "a" } });
    CHECK_FALSE(f.store.findJob("a"));
}
