#include "endpoint_sim.h"

#include <ctime>
#include <iostream>

using namespace vanillalift;
using namespace vanillalift::sim;

/// Measures the time of placement passes of a leader with many endpoints and many waiting tasks, with and without reservations.
namespace {

constexpr size_t endpointCount = 542;
constexpr size_t waitingJobs = 2000;
constexpr int passes = 400;
constexpr SiteDesc site { endpointCount, { 32000, 64000, 0 } };

/// @returns the processor time of this thread, in milliseconds.
double processorMs()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

struct PassTimes {
    double meanMs = 0;
    double maxMs = 0;
};

JobSpec makeJob(std::mt19937_64& random, int n)
{
    JobSpec spec;
    spec.id = "j" + std::to_string(n);
    StepSpec step;
    // One job in ten needs most of an endpoint.
    bool isLarge = random() % 10 == 0;
    step.need = { isLarge ? 20000 + static_cast<int64_t>(random() % 8000) : 1000 + static_cast<int64_t>(random() % 6000), 2000 + static_cast<int64_t>(random() % 8000), 0 };
    step.estimateMs = 500 + static_cast<uint32_t>(random() % 1500);
    spec.steps = { step };
    return spec;
}

PassTimes measure(bool hasReservations)
{
    Site it(1, site);
    it.world.features.reservations = hasReservations;
    it.leader.restart();
    auto catalog = it.leader.store.catalog();
    catalog.version++;
    catalog.queues.front().targetLatencyMs = 600000;
    it.leader.propose(PutCatalog { catalog });
    it.run(milliseconds(2000));
    std::mt19937_64 random(1);
    int submitted = 0;
    auto refill = [&] {
        while (it.leader.dispatcher->stats().readyTasks < waitingJobs) {
            for (int n = 0; n < 200; n++, submitted++) {
                auto spec = makeJob(random, submitted);
                it.world.taskLoads[{ spec.id, 0, 0, 0 }] = { spec.steps.front().need, milliseconds(spec.steps.front().estimateMs) };
                it.submit(spec);
            }
            it.run(milliseconds(20));
        }
    };
    PassTimes times;
    for (int n = 0; n < passes; n++) {
        refill();
        it.world.eventQueue.runUntil(it.world.clock.time + milliseconds(10));
        auto startMs = processorMs();
        it.leader.dispatcher->placeTasks();
        auto ms = processorMs() - startMs;
        times.meanMs += ms / passes;
        times.maxMs = std::max(times.maxMs, ms);
    }
    auto stats = it.leader.dispatcher->stats();
    std::cout << "reservations " << (hasReservations ? "on" : "off") << ": waiting " << stats.readyTasks << ", running " << stats.liveRuns << ", reserved " << stats.reservationsHeld << " (made " << stats.reservationsMade << ", kept " << stats.reservationsKept << "), pass mean " << times.meanMs << " ms, most " << times.maxMs << " ms" << std::endl;
    return times;
}

} // namespace

int main()
{
    measure(false);
    measure(true);
    return 0;
}
