#include <catch2/catch.hpp>

#include "endpoint_sim.h"

#include <cmath>

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

namespace {

// Time that operations take on the leader's thread, which has 0.35 of a core.
constexpr nanoseconds evaluationCost { 500 };
constexpr microseconds requestCost { 150 };
constexpr microseconds messageCost { 150 };
constexpr microseconds commandCost { 60 };

constexpr SiteDesc largeSite { 60, { 32000, 128000, 0 }, true };
/// Jobs accepted at the same moment, as after a restart of all instances.
constexpr size_t backlogJobCount = 600;
/// Work that arrives after the backlog, as a share of the endpoints' capacity.
constexpr double arrivalLoad = 0.8;
/// Work that the endpoints must complete while tasks wait, as a share of their capacity.
constexpr double minGoodput = 0.8;
/// Time after the submission of the backlog before goodput is measured, and time of the measurement.
constexpr seconds warmUpTime { 1 };
constexpr seconds measurementTime { 10 };

/// Log-normal distribution of a property of jobs, with an upper bound.
struct Distribution {
    double mean = 0;
    double relativeDeviation = 0;
    double maximum = 0;

    double draw(std::mt19937_64& random) const
    {
        auto variance = std::log(1 + relativeDeviation * relativeDeviation);
        return std::min(maximum, std::lognormal_distribution<>(std::log(mean) - variance / 2, std::sqrt(variance))(random));
    }
};

constexpr uint32_t stepsPerJob = 2;
constexpr Distribution tasksPerStep { 8, 0.6, 32 };
constexpr Distribution cpuDemand { 3100, 0.45, 9300 };
constexpr Distribution memoryDemand { 8800, 0.6, 27000 };
constexpr Distribution runTimeMs { 640, 0.5, 1600 };
/// Run time of a task relative to the mean of its step, and estimate relative to the true mean.
constexpr Distribution runTimeVariation { 1, 0.3, 3 };
constexpr Distribution estimateError { 1, 0.2, 2 };
/// Share of steps with a limit of tasks per endpoint, and that limit.
constexpr double limitedStepShare = 0.15;
constexpr uint32_t limitedTasksPerEndpoint = 2;

/// A large site whose leader has a thread of limited speed.
class OverloadedSite {
public:
    explicit OverloadedSite(uint64_t seed, bool hasUnlimitedThread = false)
        : site(seed, largeSite)
        , m_random(seed)
    {
        if (!hasUnlimitedThread)
            site.world.thread.setCostFunction([this] { return takeCost(); });
        // The leader learns of all endpoints and of their runs.
        site.run(seconds(2));
    }

    void simulate()
    {
        for (size_t n = 0; n < backlogJobCount; n++)
            site.submit(drawJob().spec);
        submitNext();
        site.run(warmUpTime);
        auto before = site.world.completedWork;
        site.run(measurementTime);
        goodput = (site.world.completedWork - before) / (capacity() * std::chrono::duration<double, std::milli>(measurementTime).count());
    }

    [[nodiscard]] std::string text() const
    {
        auto stats = site.leader.dispatcher->stats();
        std::string text = "goodput " + std::to_string(goodput);
        auto add = [&](const char* name, uint64_t value) { text += std::string(", ") + name + ' ' + std::to_string(value); };
        add("done", stats.runsDone);
        add("placed", stats.placements);
        add("trials", stats.endpointsEvaluated);
        add("starts", stats.startsSent);
        add("unanswered", stats.startsUnanswered);
        add("not started", site.leader.runsNotStarted);
        add("placed again", site.leader.repeatedPlacements);
        add("status requests", stats.statusRequestsSent);
        add("unanswered", stats.statusRequestsUnanswered);
        add("connections", site.leader.callStats().connects);
        add("waiting", stats.readyTasks);
        add("live", stats.liveRuns);
        add("open jobs", stats.openJobs);
        add("busy ms", static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(site.world.thread.busyTime()).count()));
        return text;
    }

    Site site;
    /// Completed work relative to the endpoints' capacity, 0 to 1.
    double goodput = 0;

private:
    static double capacity() { return static_cast<double>(largeSite.endpointCount) * static_cast<double>(largeSite.capacity.cpu); }

    Duration takeCost()
    {
        auto stats = site.leader.dispatcher->stats();
        auto requests = stats.startsSent + stats.stopsSent + stats.statusRequestsSent;
        Duration totalCost = stats.endpointsEvaluated * evaluationCost + requests * requestCost + site.world.messagesHandled * messageCost + site.leader.commandsProposed * commandCost;
        return totalCost - std::exchange(m_totalCost, totalCost);
    }

    struct DrawnJob {
        JobSpec spec;
        /// In thousandths of a core times milliseconds.
        double work = 0;
    };
    DrawnJob drawJob()
    {
        DrawnJob job;
        auto& spec = job.spec;
        spec.id = "j" + std::to_string(m_jobCount++);
        for (uint32_t n = 0; n < stepsPerJob; n++) {
            StepSpec step;
            step.taskCount = static_cast<uint32_t>(std::max(1.0, tasksPerStep.draw(m_random)));
            step.need = { static_cast<int64_t>(cpuDemand.draw(m_random)), static_cast<int64_t>(memoryDemand.draw(m_random)), 0 };
            auto meanMs = runTimeMs.draw(m_random);
            step.estimateMs = static_cast<uint32_t>(meanMs * estimateError.draw(m_random));
            if (std::uniform_real_distribution<>(0, 1)(m_random) < limitedStepShare)
                step.maxPerEndpoint = limitedTasksPerEndpoint;
            if (n > 0)
                step.after = { n - 1 };
            for (uint32_t index = 0; index < step.taskCount; index++) {
                milliseconds duration(static_cast<int64_t>(meanMs * runTimeVariation.draw(m_random)));
                site.world.taskLoads[{ spec.id, 0, n, index }] = { step.need, duration };
                job.work += static_cast<double>(step.need.cpu) * static_cast<double>(duration.count());
            }
            spec.steps.push_back(std::move(step));
        }
        return job;
    }

    void submitNext()
    {
        auto job = drawJob();
        site.world.thread.post([this, spec = job.spec] {
            site.world.messagesHandled++;
            site.submit(spec);
        });
        auto intervalMs = job.work / (capacity() * arrivalLoad);
        site.world.eventQueue.after(microseconds(static_cast<int64_t>(intervalMs * 1000)), [this] { submitNext(); });
    }

    std::mt19937_64 m_random;
    size_t m_jobCount = 0;
    Duration m_totalCost {};
};

constexpr uint64_t firstSeed = 1;
constexpr uint64_t lastSeed = 3;

} // namespace

TEST_CASE("a backlog of waiting tasks does not reduce goodput below its bound", "[dispatcher][overload]")
{
    auto seed = GENERATE(range(firstSeed, lastSeed + 1));
    OverloadedSite overloaded(seed);
    overloaded.simulate();
    INFO("seed " << seed << ": " << overloaded.text());
    CHECK(overloaded.goodput >= minGoodput);
}

TEST_CASE("no request expires while it waits for others in the leader's own queue", "[dispatcher][overload]")
{
    auto seed = GENERATE(range(firstSeed, lastSeed + 1));
    OverloadedSite overloaded(seed);
    overloaded.simulate();
    INFO("seed " << seed << ": " << overloaded.text());
    CHECK(overloaded.site.leader.runsNotStarted == 0);
    CHECK(overloaded.site.leader.dispatcher->stats().startsUnanswered == 0);
    CHECK(overloaded.site.leader.repeatedPlacements == 0);
    CHECK(overloaded.site.world.violations.text().empty());
}

TEST_CASE("endpoints are not evaluated again for tasks that did not fit before anything has changed", "[dispatcher][overload]")
{
    Site site(1);
    site.submit("full", 16, true);
    site.run(seconds(2));
    REQUIRE(site.runningTasks() == 16);
    JobSpec spec;
    for (const auto* kind : { "plain", "spread-out", "gang" }) {
        spec.id = kind;
        StepSpec step;
        step.taskCount = 3;
        step.need = { 1000, 100, 0 };
        step.estimateMs = 800;
        step.maxPerEndpoint = spec.id == "spread-out" ? 1 : 0;
        step.isGang = spec.id == "gang";
        spec.steps = { step };
        site.submit(spec);
    }
    site.run(seconds(1));
    auto& dispatcher = *site.leader.dispatcher;
    REQUIRE(dispatcher.stats().readyTasks == 9);
    auto before = dispatcher.stats().endpointsEvaluated;
    for (int n = 0; n < 10; n++) {
        site.world.clock.time += milliseconds(10);
        dispatcher.tick();
    }
    CHECK(dispatcher.stats().endpointsEvaluated == before);
}

TEST_CASE("endpoints are not evaluated on each tick for tasks whose required label no endpoint has", "[dispatcher][overload]")
{
    bool isScheduled = GENERATE(false, true);
    Site site(1);
    site.submit("lasting", 12, true);
    site.run(seconds(2));
    REQUIRE(site.runningTasks() == 12);
    for (const auto* id : { "a", "b" }) {
        JobSpec spec;
        spec.id = id;
        StepSpec step;
        step.taskCount = 3;
        step.need = { 1000, 100, 0 };
        step.estimateMs = 800;
        step.requiredLabel = "nowhere";
        spec.steps = { step };
        if (isScheduled) {
            spec.occurrences = 5;
            spec.firstAtMs = wallClockMs() - 1000;
            spec.periodMs = 3600000;
        }
        site.submit(spec);
    }
    site.run(seconds(1));
    auto& dispatcher = *site.leader.dispatcher;
    REQUIRE(dispatcher.stats().readyTasks == 6);
    auto before = dispatcher.stats().endpointsEvaluated;
    for (int n = 0; n < 9; n++) {
        site.world.clock.time += milliseconds(10);
        dispatcher.tick();
    }
    // One retry for one task of each step on four endpoints.
    CHECK(dispatcher.stats().endpointsEvaluated - before <= 8);
}

// Guards against a leader that has no time left to start tasks, as it looks for room for all that wait meanwhile.
TEST_CASE("placement leaves a slow thread two thirds of its time", "[dispatcher][overload]")
{
    constexpr size_t jobCount = 300;
    Site site(11);
    for (size_t n = 0; n < jobCount; n++)
        site.submit("j" + std::to_string(n), 2);
    site.run(seconds(1));
    site.world.leaderClock.readingTime = microseconds(50);
    site.leader.timeInPlacement = {};
    auto startedAt = site.world.clock.time;
    site.run(seconds(10));
    CHECK(site.leader.timeInPlacement <= (site.world.clock.time - startedAt) / 3);
    site.run(seconds(60));
    for (size_t n = 0; n < jobCount; n++)
        CHECK(site.job("j" + std::to_string(n)).phase == JobPhase::Completed);
    CHECK(site.world.violations.text().empty());
}
