#include <catch2/catch.hpp>

#include "platform/http_platform_p.h"
#include "standin/platform_server_p.h"

#include <atomic>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::standin;
using Operation = PlatformOperation;

namespace {

/// Serves the platform stand-in over HTTP on a loopback port, with a clock that the test sets.
class PlatformFixture {
public:
    explicit PlatformFixture(PlatformSettings settings = {})
        : work(withInstances(std::move(settings)))
    {
        addPlatformRoutes(m_server, work, [this] { return nowMs.load(); });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
        client.emplace("127.0.0.1:" + std::to_string(m_port), std::chrono::seconds(2));
    }
    ~PlatformFixture()
    {
        client.reset();
        m_server.stop();
        m_thread.join();
    }
    PlatformFixture(const PlatformFixture&) = delete;
    PlatformFixture& operator=(const PlatformFixture&) = delete;

    PlatformResult request(Operation operation, uint64_t actionId, uint64_t term = 1) { return client->request({ operation, "i0", "pool", actionId, term }); }
    PlatformInstance status() { return client->instances().value().at("i0"); }

    std::atomic<int64_t> nowMs { 1000 };
    SimulatedPlatform work;
    std::optional<HttpPlatform> client;

private:
    static PlatformSettings withInstances(PlatformSettings settings)
    {
        settings.instances = { { "i0", "r0", "127.0.0.1:1" }, { "i1", "r0", "127.0.0.1:2" } };
        return settings;
    }

    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("an instance drains, reboots and returns with a new incarnation", "[platform]")
{
    PlatformFixture platform;
    REQUIRE(platform.request(Operation::Drain, 1));
    CHECK(platform.status().state == PlatformState::Draining);
    // A reboot now would abort the running requests.
    CHECK(platform.request(Operation::Reboot, 2).error().code == PlatformErrorCode::Refused);
    platform.nowMs += 5000;
    CHECK(platform.status().state == PlatformState::Drained);
    REQUIRE(platform.request(Operation::Reboot, 3));
    CHECK(platform.status().actionId == 3);
    platform.nowMs += 63000;
    CHECK(platform.status().state == PlatformState::Up);
    auto seen = platform.work.observe(platform.nowMs).at("i0");
    CHECK(seen.isAnnounced);
    CHECK(seen.incarnation == 2);
}

TEST_CASE("a repeated action gets its first outcome and is not executed again", "[platform]")
{
    PlatformFixture platform;
    REQUIRE(platform.request(Operation::Drain, 1));
    platform.nowMs += 5000;
    REQUIRE(platform.request(Operation::Reboot, 2));
    platform.nowMs += 70000;
    CHECK(platform.request(Operation::Reboot, 2));
    CHECK(platform.status().state == PlatformState::Up);
    CHECK(platform.work.reboots().at("i0") == 1);
}

TEST_CASE("a deposed leader's term is rejected once a later one was seen", "[platform]")
{
    PlatformFixture platform;
    REQUIRE(platform.request(Operation::Drain, 1, 5));
    platform.nowMs += 5000;
    CHECK(platform.request(Operation::Reboot, 2, 4).error().code == PlatformErrorCode::OldTerm);
    CHECK(platform.status().state == PlatformState::Drained);
}

TEST_CASE("an unknown instance and an unreachable platform are distinguished from a refusal", "[platform]")
{
    PlatformFixture platform;
    CHECK(platform.client->request({ Operation::Drain, "none", "pool", 1, 1 }).error().code == PlatformErrorCode::InstanceUnknown);
    HttpPlatform nobody("127.0.0.1:1", std::chrono::milliseconds(200));
    CHECK(nobody.instances().error().code == PlatformErrorCode::Unreachable);
}

TEST_CASE("with correlated rack failures no reboot in a rack succeeds after the first failure", "[platform]")
{
    auto resultsOf = [](double rackFails) {
        PlatformSettings settings;
        settings.neverReturns = 0.3;
        settings.rackFails = rackFails;
        for (int n = 0; n < 20; ++n)
            settings.instances.push_back({ "i" + std::to_string(n), "r0", "" });
        SimulatedPlatform work(settings);
        std::vector<bool> results;
        uint64_t action = 0;
        for (int n = 0; n < 20; ++n) {
            auto name = "i" + std::to_string(n);
            auto startMs = 10000000LL * n;
            REQUIRE(work.request({ Operation::Drain, name, "", ++action, 1 }, startMs));
            REQUIRE(work.request({ Operation::Reboot, name, "", ++action, 1 }, startMs + 5000));
            results.push_back(work.instances(startMs + 9000000).at(name).state == PlatformState::Up);
        }
        return results;
    };
    auto correlated = resultsOf(1);
    auto failure = std::find(correlated.begin(), correlated.end(), false);
    REQUIRE(std::distance(failure, correlated.end()) > 5);
    CHECK(std::none_of(failure, correlated.end(), [](bool isUp) { return isUp; }));
    auto independent = resultsOf(0);
    CHECK(std::find(std::find(independent.begin(), independent.end(), false), independent.end(), true) != independent.end());
}
