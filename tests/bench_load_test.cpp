#include "bench/load_p.h"

#include <catch2/catch.hpp>

using namespace vanillalift::bench;

namespace {

LoadSettings settingsWithTwoServices()
{
    LoadSettings settings;
    settings.entries = { { "e1", "127.0.0.1:1" } };
    settings.teams = { { "red", "k1.x", 3, 9, 3 }, { "blue", "k2.x", 1, 9, 1 } };
    settings.services = { { "a", true, false, 400 }, { "b", false, false, 400 } };
    settings.seconds = 8;
    settings.burstSeconds = 2;
    return settings;
}

} // namespace

// Without the bursts, overload tests would pass without an overload.
TEST_CASE("the waves shape sends each service's bursts in turn", "[bench]")
{
    auto settings = settingsWithTwoServices();
    auto plan = planRequests(settings, 7);
    std::array<std::array<int, 4>, 2> counts {};
    std::array<double, 2> teams {};
    for (const auto& it : plan) {
        ++counts.at(it.service).at(static_cast<size_t>(it.at / std::chrono::seconds(2)));
        ++teams.at(it.team);
    }
    // The margins are five standard deviations of the Poisson counts 4000 and 40.
    for (size_t burst = 0; burst < 4; ++burst) {
        CHECK(counts[burst % 2][burst] == Approx(4000).margin(320));
        CHECK(counts[1 - burst % 2][burst] == Approx(40).margin(32));
    }
    CHECK(teams[0] / static_cast<double>(plan.size()) == Approx(0.75).margin(0.02));
}

// Failures found by a load run must be reproducible.
TEST_CASE("the plan of a run is repeatable from its seed", "[bench]")
{
    auto settings = settingsWithTwoServices();
    settings.shape = LoadShape::Steady;
    settings.factor = 2;
    settings.requests = 1000;
    auto first = planRequests(settings, 7);
    auto again = planRequests(settings, 7);
    auto other = planRequests(settings, 8);
    REQUIRE(first.size() == 1000);
    REQUIRE(again.size() == 1000);
    auto isSame = [](const auto& a, const auto& b) { return a.at == b.at && a.service == b.service && a.team == b.team; };
    CHECK(std::equal(first.begin(), first.end(), again.begin(), isSame));
    CHECK_FALSE(std::equal(first.begin(), first.end(), other.begin(), other.end(), isSame));
    CHECK(first.back().at.count() / 1e9 == Approx(1000 / 1600.0).epsilon(0.2));
}

TEST_CASE("a call to an unreachable entry is recorded as lost and resent to the next entry", "[bench]")
{
    auto settings = settingsWithTwoServices();
    settings.shape = LoadShape::Closed;
    settings.entries.push_back({ "e2", "127.0.0.1:1" });
    settings.requests = 1;
    settings.callers = 1;
    settings.maxResends = 1;
    auto history = runLoad(settings, 1);
    REQUIRE(history.calls.size() == 2);
    CHECK(history.calls[0].outcome == "lost");
    CHECK(history.calls[0].reason == "connect");
    CHECK(history.calls[0].request == history.calls[1].request);
    CHECK(history.calls[0].entry != history.calls[1].entry);
    CHECK(checkHistory(history).size() == 1);
}

TEST_CASE("an unknown or invalid load setting is rejected", "[bench]")
{
    auto read = [](const char* text) { return loadSettingsFromJson(nlohmann::json::parse(text), "load.json"); };
    CHECK(read(R"({"entries":[{"name":"e","address":"127.0.0.1:1"}],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}],"resend":0.5})"));
    CHECK_FALSE(read(R"({"entries":[{"name":"e","address":"127.0.0.1:1"}],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}],"resent":0.5})"));
    CHECK_FALSE(read(R"({"entries":[],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}]})"));
    CHECK_FALSE(read(R"({"entries":[{"name":"e","address":"127.0.0.1:1"}],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}],"shape":"square"})"));
}
