#include <catch2/catch.hpp>

#include "core/event_log_p.h"
#include "jobs/dispatcher_p.h"
#include "net_fixture.h"
#include "platform/codec_p.h"
#include "platform/outgoing_p.h"
#include "platform/platform_settings_p.h"

#include <filesystem>
#include <fstream>

using namespace vanillalift;
using namespace vanillalift::jobs;

namespace {

class NoAdvice final : public AdviceService {
public:
    void requestAdvice(const TaskName& /*step*/, std::vector<std::string> /*endpoints*/, TimePoint /*deadline*/, std::function<void(AdviceReply)> /*handler*/) override { }
};

std::string heartbeatFrom(const std::string& address)
{
    return R"({"service":"s","addr":")" + address + R"(","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700000000000,"machine":"m-1"})";
}

} // namespace

// Guards against a heartbeat that is acknowledged and recorded although no connection can be opened to its address.
TEST_CASE("a heartbeat without a usable address is refused", "[platform]")
{
    REQUIRE(platform::decodeHeartbeat("i-1", heartbeatFrom("10.128.0.9:8080"), wallClockMs()));
    for (const auto* it : { "", "[::1]:8080", "10.128.0.9", "10.128.0.9:", "10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:18446744073709551696", "10.128.0.9:-1", "10.128.0.9:+80", "10.128.0.9:80 ", " 10.128.0.9:80", "10.128.0.256:80", "10.128.9:80", "desk.example:80", "10.128.0.9:80:80" }) {
        INFO(it);
        CHECK_FALSE(platform::decodeHeartbeat("i-1", heartbeatFrom(it), wallClockMs()));
    }
}

// Guards against a controller that ends each time it becomes the leader, because the replicated state holds such an address:
// earlier versions recorded it.
TEST_CASE("a leader keeps running with a recorded endpoint whose address is malformed", "[platform]")
{
    net::EventLoop loop;
    SystemClock clock;
    EventLog log(clock, -1, { 0, 0, 0 });
    platform::HttpEndpointLinks links(loop, clock, 8);
    NoAdvice advice;
    JobStore store;
    auto put = [&](const std::string& id, const std::string& address) {
        Endpoint endpoint;
        endpoint.id = id;
        endpoint.startedAtMs = 1;
        endpoint.service = "s";
        endpoint.address = address;
        std::string entry;
        appendCommand(entry, PutEndpoint { endpoint });
        store.apply(entry);
    };
    put("recorded-before", "[::1]:8080");
    DispatcherDesc desc;
    desc.term = 1;
    desc.propose = [](const Command&) {};
    desc.leaderConfirmedAt = [&] { return clock.now(); };
    DemandHistory demand(store, clock);
    Dispatcher dispatcher(std::move(desc), store, demand, clock, links, advice, log);
    put("recorded-now", "10.0.0.1:65536");
    put("moved", "127.0.0.1:9");
    put("moved", "nowhere");
    net::runUntil(loop, [&] {
        dispatcher.tick();
        const auto& sessions = dispatcher.sessions();
        return std::all_of(sessions.begin(), sessions.end(), [](const auto& it) { return it.second->unansweredStatusRequests >= 2; });
    });
    CHECK(dispatcher.sessions().size() == 3);
    CHECK(std::none_of(dispatcher.sessions().begin(), dispatcher.sessions().end(), [](const auto& it) { return it.second->isReconciled; }));
}

// Guards against a controller that ends when it first calls a service whose address in the settings is malformed.
TEST_CASE("a malformed address of an outside service is a fault of the settings", "[platform]")
{
    auto path = std::filesystem::temp_directory_path() / "vanillalift-service-address-test.json";
    std::ofstream(path) << R"({"node":"n","ip":"10.1.0.1","zone":"z","listen":{"control":"10.1.0.1:8345"},"portRange":[7000,7015],"seeds":["10.1.0.1:8345"],"dataDir":"/data","advice":"10.9.0.1","cloud":{"addr":"10.9.0.1:99999"}})";
    auto settings = platform::loadPlatformSettings(path.string());
    REQUIRE_FALSE(settings);
    CHECK(settings.error().size() == 2);
    std::filesystem::remove(path);
}
