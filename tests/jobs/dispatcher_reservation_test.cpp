#include <catch2/catch.hpp>

#include "endpoint_sim.h"

#include <cmath>
#include <iostream>

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

namespace {

constexpr SiteDesc smallSite { 8, { 8000, 8000, 0 } };

/// How declared run times differ from the real ones.
struct EstimateError {
    /// Declared times are between 1 - error and 1 + error times the real ones.
    double error = 0;
    /// Share of the tasks that take tailFactor times as long as usual.
    double tailShare = 0;
    double tailFactor = 7;
};

/// Endpoints under a stream of small jobs, which rank above large ones, and a few large jobs that need three quarters of an endpoint.
class MixedLoad {
public:
    MixedLoad(uint64_t seed, bool hasReservations, const EstimateError& error = {})
        : site(seed, smallSite)
        , m_random(seed)
        , m_error(error)
    {
        site.world.features.reservations = hasReservations;
        site.leader.restart();
        auto catalog = site.leader.store.catalog();
        catalog.version++;
        // The objective is far enough that all jobs can meet it, so that the order among them is by value.
        catalog.queues.front().targetLatencyMs = 20000;
        site.leader.propose(PutCatalog { catalog });
        site.run(seconds(2));
    }

    void submit(const std::string& id, int64_t cpu, int runMs, uint32_t tasks = 1, bool isGang = false)
    {
        JobSpec spec;
        spec.id = id;
        StepSpec step;
        step.need = { cpu, cpu / 2, 0 };
        step.taskCount = tasks;
        step.isGang = isGang;
        std::uniform_real_distribution<> factor(1 - m_error.error, 1 + m_error.error);
        step.estimateMs = static_cast<uint32_t>(runMs * factor(m_random));
        spec.steps = { step };
        for (uint32_t index = 0; index < tasks; index++) {
            bool isTail = std::uniform_real_distribution<>(0, 1)(m_random) < m_error.tailShare;
            site.world.taskLoads[{ id, 0, 0, index }] = { step.need, milliseconds(static_cast<int>(runMs * (isTail ? m_error.tailFactor : 1))) };
        }
        site.submit(spec);
        m_submittedAt[id] = site.world.clock.time;
    }

    /// Submits small jobs that use a little more than all endpoints, and large jobs at the given interval; notes when jobs start.
    void run(Duration time, Duration largeInterval)
    {
        auto endsAt = site.world.clock.time + time;
        auto nextLargeAt = site.world.clock.time + seconds(1);
        while (site.world.clock.time < endsAt) {
            if (largeInterval > Duration::zero() && site.world.clock.time >= nextLargeAt) {
                submit("large" + std::to_string(m_large++), 6000, 500);
                nextLargeAt += largeInterval;
            }
            for (int n = 0; n < 4 && backlog() < 40; n++)
                submit("small" + std::to_string(m_small++), 1000 + 500 * static_cast<int64_t>(m_random() % 3), 300 + static_cast<int>(m_random() % 400));
            step();
        }
    }

    void step()
    {
        site.run(milliseconds(20));
        for (auto it = m_submittedAt.begin(); it != m_submittedAt.end();) {
            const auto* job = site.leader.store.findJob(it->first);
            bool hasStarted = job && job->hasStarted;
            if (hasStarted)
                waits[it->first] = std::chrono::duration<double>(site.world.clock.time - it->second).count();
            it = hasStarted ? m_submittedAt.erase(it) : std::next(it);
        }
    }
    [[nodiscard]] size_t backlog() const { return m_submittedAt.size(); }

    /// Mean wait until the start of the jobs whose names begin so, in seconds; those that still wait count with their wait so far.
    [[nodiscard]] double meanWait(std::string_view prefix) const
    {
        double sum = 0;
        size_t n = 0;
        auto add = [&](const std::string& id, double wait) {
            if (!id.starts_with(prefix))
                return;
            sum += wait;
            n++;
        };
        for (const auto& [id, wait] : waits)
            add(id, wait);
        for (const auto& [id, at] : m_submittedAt)
            add(id, std::chrono::duration<double>(site.world.clock.time - at).count());
        return n == 0 ? 0 : sum / static_cast<double>(n);
    }
    [[nodiscard]] size_t started(std::string_view prefix) const
    {
        return static_cast<size_t>(std::count_if(waits.begin(), waits.end(), [&](const auto& it) { return it.first.starts_with(prefix); }));
    }
    [[nodiscard]] DispatcherStats stats() const { return site.leader.dispatcher->stats(); }
    /// @returns the endpoint with a reservation, or nullptr.
    [[nodiscard]] const EndpointSession* reserved() const
    {
        for (const auto& [id, session] : site.leader.dispatcher->sessions()) {
            if (session->reservation)
                return session.get();
        }
        return nullptr;
    }

    Site site;
    std::map<std::string, double> waits;

private:
    std::mt19937_64 m_random;
    EstimateError m_error;
    std::map<std::string, TimePoint> m_submittedAt;
    int m_small = 0;
    int m_large = 0;
};

} // namespace

TEST_CASE("large jobs do not starve under a stream of small ones", "[dispatcher][reservation]")
{
    MixedLoad before(1, false);
    MixedLoad after(1, true);
    before.run(seconds(30), seconds(2));
    after.run(seconds(30), seconds(2));
    auto print = [](const char* name, const MixedLoad& it) {
        std::cout << name << ": large started " << it.started("large") << ", wait " << it.meanWait("large") << " s; small started " << it.started("small") << ", wait " << it.meanWait("small") << " s; reservations " << it.stats().reservationsMade << ", kept " << it.stats().reservationsKept << ", given up " << it.stats().reservationsGivenUp << std::endl;
    };
    print("before", before);
    print("after", after);
    CHECK(after.started("large") >= 13);
    CHECK(after.meanWait("large") < 3);
    CHECK(static_cast<double>(after.started("small")) > 0.9 * static_cast<double>(before.started("small")));
    CHECK(after.site.world.violations.text().empty());
}

TEST_CASE("large jobs do not starve when run times are declared wrong by nine tenths and a few take seven times as long", "[dispatcher][reservation]")
{
    MixedLoad before(2, false, { 0.9, 0.03 });
    MixedLoad load(2, true, { 0.9, 0.03 });
    before.run(seconds(30), seconds(2));
    load.run(seconds(30), seconds(2));
    std::cout << "wrong estimates: large started " << load.started("large") << " (before " << before.started("large") << "), wait " << load.meanWait("large") << " s (" << before.meanWait("large") << "), small started " << load.started("small") << " (" << before.started("small") << "), kept " << load.stats().reservationsKept << ", given up " << load.stats().reservationsGivenUp << std::endl;
    CHECK(load.started("large") >= 12);
    CHECK(load.meanWait("large") < 5);
}

TEST_CASE("a reservation whose endpoint crashes is given up, and the task gets room elsewhere", "[dispatcher][reservation]")
{
    MixedLoad load(3, true);
    load.run(seconds(2), {});
    load.submit("large", 6000, 500);
    for (int n = 0; n < 100 && !load.reserved(); n++)
        load.run(milliseconds(20), {});
    const auto* session = load.reserved();
    REQUIRE(session);
    auto id = session->endpoint.id;
    load.site.endpoint(id).crashProcess();
    load.run(seconds(6), {});
    CHECK(load.started("large") == 1);
    CHECK(load.stats().reservationsGivenUp >= 1);
    CHECK(load.site.world.violations.text().empty());
}

TEST_CASE("a cordoned endpoint and one due for maintenance lose their reservation", "[dispatcher][reservation]")
{
    for (bool isCordoned : { true, false }) {
        MixedLoad load(4, true);
        load.run(seconds(2), {});
        load.submit("large", 6000, 500);
        for (int n = 0; n < 100 && !load.reserved(); n++)
            load.run(milliseconds(20), {});
        const auto* session = load.reserved();
        REQUIRE(session);
        auto id = session->endpoint.id;
        auto& dispatcher = *load.site.leader.dispatcher;
        isCordoned ? dispatcher.setCordoned({ id }) : dispatcher.setDueForMaintenance({ id });
        load.run(milliseconds(200), {});
        CHECK_FALSE(dispatcher.sessions().at(id)->reservation);
        CHECK(load.stats().reservationsGivenUp == 1);
        load.run(seconds(5), {});
        CHECK(load.started("large") == 1);
    }
}

TEST_CASE("no reservation outlives its leader, its job or its time", "[dispatcher][reservation]")
{
    MixedLoad load(5, true);
    load.run(seconds(2), {});
    load.submit("large", 6000, 500);
    for (int n = 0; n < 100 && !load.reserved(); n++)
        load.run(milliseconds(20), {});
    REQUIRE(load.reserved());
    load.site.leader.propose(CancelJob { "large", wallClockMs() });
    load.run(milliseconds(300), {});
    CHECK_FALSE(load.reserved());

    load.submit("large2", 6000, 500);
    for (int n = 0; n < 100 && !load.reserved(); n++)
        load.run(milliseconds(20), {});
    REQUIRE(load.reserved());
    load.site.leader.restart();
    CHECK_FALSE(load.reserved());
    load.run(seconds(6), {});
    CHECK(load.started("large2") == 1);
}
