#include "bench/load_p.h"

#include <catch2/catch.hpp>

using namespace vanillalift::bench;

namespace {

LoadSettings twoServices()
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

TEST_CASE("waves that miss their bursts would make overload tests pass for nothing", "[bench]")
{
    auto settings = twoServices();
    auto plan = planRequests(settings, 7);
    std::array<std::array<int, 4>, 2> counts {};
    std::array<double, 2> teams {};
    for (const auto& it : plan) {
        ++counts.at(it.service).at(static_cast<size_t>(it.at / std::chrono::seconds(2)));
        ++teams.at(it.team);
    }
    // Five standard deviations of the Poisson counts 4000 and 40.
    for (size_t turn = 0; turn < 4; ++turn) {
        CHECK(counts[turn % 2][turn] == Approx(4000).margin(320));
        CHECK(counts[1 - turn % 2][turn] == Approx(40).margin(32));
    }
    CHECK(teams[0] / static_cast<double>(plan.size()) == Approx(0.75).margin(0.02));
}

TEST_CASE("a run that cannot be repeated from its seed hides the fault it found", "[bench]")
{
    auto settings = twoServices();
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

TEST_CASE("a call to an entry that is gone is recorded as lost and goes to the next entry", "[bench]")
{
    auto settings = twoServices();
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

TEST_CASE("a misspelt load setting is refused instead of running another load", "[bench]")
{
    auto read = [](const char* text) { return loadSettingsFromJson(nlohmann::json::parse(text), "load.json"); };
    CHECK(read(R"({"entries":[{"name":"e","address":"127.0.0.1:1"}],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}],"resend":0.5})"));
    CHECK_FALSE(read(R"({"entries":[{"name":"e","address":"127.0.0.1:1"}],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}],"resent":0.5})"));
    CHECK_FALSE(read(R"({"entries":[],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}]})"));
    CHECK_FALSE(read(R"({"entries":[{"name":"e","address":"127.0.0.1:1"}],"teams":[{"name":"t","key":"k.s"}],"services":[{"name":"s"}],"shape":"square"})"));
}
