#include <catch2/catch.hpp>

#include "endpoint_sim.h"

#include <cmath>

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

namespace {

// Time that the leader's thread takes at its share of 0.35 of a core.
constexpr nanoseconds trialCost { 500 };
constexpr microseconds orderCost { 150 };
constexpr microseconds answerCost { 150 };
constexpr microseconds commandCost { 60 };

constexpr SiteDesc largeSite { 60, { 32000, 128000, 0 }, true };
/// Jobs accepted at once, as after a restart of all machines.
constexpr size_t backlogJobs = 600;
/// Work that arrives from then on, as a share of what the endpoints can do.
constexpr double arrivalShare = 0.8;
/// Work that the endpoints have to get done while tasks wait, as a share of what they can do.
constexpr double leastGoodput = 0.8;
/// After the backlog has come, before and while goodput is measured.
constexpr seconds rampTime { 1 };
constexpr seconds measuredTime { 10 };

/// Mean, relative standard deviation and bound of a property of jobs.
struct Spread {
    double mean = 0;
    double deviation = 0;
    double most = 0;

    double draw(std::mt19937_64& random) const
    {
        auto variance = std::log(1 + deviation * deviation);
        return std::min(most, std::lognormal_distribution<>(std::log(mean) - variance / 2, std::sqrt(variance))(random));
    }
};

constexpr uint32_t stepsOfJob = 2;
constexpr Spread width { 8, 0.6, 32 };
constexpr Spread cpuNeed { 3100, 0.45, 9300 };
constexpr Spread memoryNeed { 8800, 0.6, 27000 };
constexpr Spread runTimeMs { 640, 0.5, 1600 };
/// Run times of a step's tasks by their mean, and estimates by what is true.
constexpr Spread unevenness { 1, 0.3, 3 };
constexpr Spread estimateError { 1, 0.2, 2 };
/// Steps of which an endpoint takes a bounded number of tasks, and that number.
constexpr double shareSpreadOut = 0.15;
constexpr uint32_t mostPerEndpoint = 2;

/// A large site whose leader has a thread of bounded speed.
class OverloadedSite {
public:
    explicit OverloadedSite(uint64_t seed, bool hasFreeThread = false)
        : site(seed, largeSite)
        , m_random(seed)
    {
        if (!hasFreeThread)
            site.world.thread.setMeter([this] { return spent(); });
        // All endpoints are known and have listed their runs.
        site.run(seconds(2));
    }

    void play()
    {
        for (size_t n = 0; n < backlogJobs; n++)
            site.submit(drawJob().spec);
        arrive();
        site.run(rampTime);
        auto before = site.world.doneWork;
        site.run(measuredTime);
        goodput = (site.world.doneWork - before) / (capacity() * std::chrono::duration<double, std::milli>(measuredTime).count());
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
        add("not started", site.leader.notStarted);
        add("placed again", site.leader.placedAgain);
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
    /// Work done by what the endpoints can do, 0 to 1.
    double goodput = 0;

private:
    static double capacity() { return static_cast<double>(largeSite.endpointCount) * static_cast<double>(largeSite.capacity.cpu); }

    Duration spent()
    {
        auto stats = site.leader.dispatcher->stats();
        auto requests = stats.startsSent + stats.stopsSent + stats.statusRequestsSent;
        Duration total = stats.endpointsEvaluated * trialCost + requests * orderCost + site.world.answersHandled * answerCost + site.leader.commandsProposed * commandCost;
        return total - std::exchange(m_total, total);
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
        spec.id = "j" + std::to_string(m_jobs++);
        for (uint32_t n = 0; n < stepsOfJob; n++) {
            StepSpec step;
            step.taskCount = static_cast<uint32_t>(std::max(1.0, width.draw(m_random)));
            step.need = { static_cast<int64_t>(cpuNeed.draw(m_random)), static_cast<int64_t>(memoryNeed.draw(m_random)), 0 };
            auto meanMs = runTimeMs.draw(m_random);
            step.estimateMs = static_cast<uint32_t>(meanMs * estimateError.draw(m_random));
            if (std::uniform_real_distribution<>(0, 1)(m_random) < shareSpreadOut)
                step.maxPerEndpoint = mostPerEndpoint;
            if (n > 0)
                step.after = { n - 1 };
            for (uint32_t index = 0; index < step.taskCount; index++) {
                milliseconds duration(static_cast<int64_t>(meanMs * unevenness.draw(m_random)));
                site.world.shapes[{ spec.id, 0, n, index }] = { step.need, duration };
                job.work += static_cast<double>(step.need.cpu) * static_cast<double>(duration.count());
            }
            spec.steps.push_back(std::move(step));
        }
        return job;
    }

    void arrive()
    {
        auto job = drawJob();
        site.world.thread.post([this, spec = job.spec] {
            site.world.answersHandled++;
            site.submit(spec);
        });
        auto pauseMs = job.work / (capacity() * arrivalShare);
        site.world.agenda.after(microseconds(static_cast<int64_t>(pauseMs * 1000)), [this] { arrive(); });
    }

    std::mt19937_64 m_random;
    size_t m_jobs = 0;
    Duration m_total {};
};

constexpr uint64_t firstSeed = 1;
constexpr uint64_t lastSeed = 3;

} // namespace

TEST_CASE("a backlog of waiting tasks does not slow the leader down", "[dispatcher][overload]")
{
    auto seed = GENERATE(range(firstSeed, lastSeed + 1));
    OverloadedSite overloaded(seed);
    overloaded.play();
    INFO("seed " << seed << ": " << overloaded.text());
    CHECK(overloaded.goodput >= leastGoodput);
}

TEST_CASE("no order is given up because it waits behind others in the leader's own queue", "[dispatcher][overload]")
{
    auto seed = GENERATE(range(firstSeed, lastSeed + 1));
    OverloadedSite overloaded(seed);
    overloaded.play();
    INFO("seed " << seed << ": " << overloaded.text());
    CHECK(overloaded.site.leader.notStarted == 0);
    CHECK(overloaded.site.leader.dispatcher->stats().startsUnanswered == 0);
    CHECK(overloaded.site.leader.placedAgain == 0);
    CHECK(overloaded.site.world.violations.text().empty());
}

TEST_CASE("tasks that found no room are not weighed again before anything has changed", "[dispatcher][overload]")
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

TEST_CASE("tasks that lack more than room are not weighed on each tick", "[dispatcher][overload]")
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
    // One retry, of one task of each step at four endpoints.
    CHECK(dispatcher.stats().endpointsEvaluated - before <= 8);
}
