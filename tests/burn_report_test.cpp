#include <catch2/catch.hpp>

#include "core/burn_log_p.h"
#include "report/burn_report_p.h"

#include <sstream>

using namespace vanillalift;
using nlohmann::json;

namespace {

TimePoint at(std::chrono::seconds time) { return TimePoint(std::chrono::hours(100) + time); }

json burnResponse(const char* service, double budget, uint64_t shortGood, uint64_t shortBad, uint64_t longGood, uint64_t longBad)
{
    json windows {
        { { "length_s", 300 }, { "good", shortGood }, { "bad", shortBad } },
        { { "length_s", 3600 }, { "good", longGood }, { "bad", longBad } },
    };
    return { { "services", { { { "service", service }, { "availability_budget", budget }, { "windows", windows } } } },
        { "teams", { { { "team", "red" }, { "share", 3 }, { "upper_limit", 8 }, { "running", 1 }, { "queued", 2 }, { "dispatched", 30 }, { "refused", 4 } } } } };
}

} // namespace

TEST_CASE("a request drops out of each window when the window has passed, also after the ring of time slots has wrapped around", "[report]")
{
    BurnLog log;
    log.record("quote", true, at(std::chrono::seconds(0)));
    log.record("quote", false, at(std::chrono::minutes(10)));
    auto windows = log.burn(at(std::chrono::minutes(10))).front().windows;
    CHECK(windows[0].bad == 0);
    CHECK(windows[0].good == 1);
    CHECK(windows[1].bad == 1);
    windows = log.burn(at(std::chrono::hours(7))).front().windows;
    CHECK(windows[3].bad + windows[3].good == 0);
    log.record("quote", false, at(std::chrono::hours(6)));
    CHECK(log.burn(at(std::chrono::hours(6))).front().windows[3].bad == 0);
}

TEST_CASE("caller errors do not consume the service's budget", "[report]")
{
    CHECK_FALSE(isServiceFailure(NotRun { Reason::KeyUnknown, "", {} }));
    CHECK_FALSE(isServiceFailure(Answered { 404, {}, "" }));
    CHECK(isServiceFailure(NotRun { Reason::QueueFull, "", {} }));
    CHECK(isServiceFailure(Unknown { Reason::EndpointFailed, "", {} }));
    CHECK(isServiceFailure(Answered { 503, {}, "" }));
}

TEST_CASE("the burn is summed over the entries, and an alert needs both the long and the short window", "[report]")
{
    std::vector<std::string> entries { "e1", "e2", "e3" };
    auto failing = burnResponse("quote", 0.99, 0, 100, 0, 100);
    auto healthy = burnResponse("quote", 0.99, 100, 0, 100, 0);
    auto report = makeBurnReport(entries, std::vector<json> { failing, healthy, nullptr });
    CHECK(report.missing == std::vector<std::string> { "e3" });
    REQUIRE(report.services.size() == 1);
    CHECK(report.services.front().windows[1].burnRate == Approx(50));
    CHECK(report.services.front().alert == BurnAlert::Fast);
    CHECK(report.teams.front().dispatched == 60);
    auto recovered = burnResponse("quote", 0.99, 100, 0, 0, 100);
    CHECK(makeBurnReport(std::span(entries).first(1), std::vector<json> { recovered }).services.front().alert == BurnAlert::None);
}

TEST_CASE("a service name cannot inject markup into the page", "[report]")
{
    std::vector<std::string> entries { "e1" };
    std::ostringstream out;
    printHtml(out, makeBurnReport(entries, std::vector<json> { burnResponse("<script>", 0.99, 1, 0, 1, 0) }));
    CHECK(out.str().find("<script>") == std::string::npos);
}
