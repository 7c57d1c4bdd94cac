#include <catch2/catch.hpp>

#include "endpoint/announcement_server_p.h"
#include "endpoint/http_attempt_client_p.h"
#include "standin/announcer_p.h"
#include "standin/endpoint_server_p.h"

#include <vanillalift/request.h>

#include <cstdio>

using namespace vanillalift;
using namespace vanillalift::standin;

namespace {

/// Runs a server on a free loopback port in its own thread.
struct RunningServer {
    explicit RunningServer(httplib::Server& httpServer)
        : server(httpServer)
        , port(httpServer.bind_to_any_port("127.0.0.1"))
        , thread([&httpServer] { httpServer.listen_after_bind(); })
    {
        while (!server.is_running())
            std::this_thread::yield();
    }
    ~RunningServer()
    {
        server.stop();
        thread.join();
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    httplib::Server& server;
    int port;
    std::thread thread;
};

EndpointSettings settingsWith(const std::function<void(EndpointSettings&)>& change)
{
    EndpointSettings settings;
    settings.announcement = { "count", "127.0.0.1:1", "z1", "i1", 1, 0, EndpointState::Serving, 2, 16 };
    change(settings);
    return settings;
}

struct Endpoint {
    explicit Endpoint(const std::function<void(EndpointSettings&)>& change)
        : simulated(settingsWith(change), clock)
    {
    }
    AttemptResult send(const std::string& id, int64_t timeoutMs = 20000)
    {
        std::vector<Header> headers;
        auto address = runningServer.address();
        return client.send({ address, 1, id, "r" + id, "blue", "POST", "/x", &headers, "body", clock.now() + std::chrono::milliseconds(timeoutMs) });
    }
    /// @returns the reason why an attempt failed that started but got no complete response.
    Reason failureReasonOf(const std::string& id)
    {
        auto result = send(id);
        REQUIRE(std::holds_alternative<AttemptFailed>(result));
        return std::get<AttemptFailed>(result).reason;
    }

    SystemClock clock;
    SimulatedEndpoint simulated;
    EndpointServer server { simulated, 16 };
    RunningServer runningServer { server };
    HttpAttemptClient client { clock };
};

int statusOf(const AttemptResult& result)
{
    REQUIRE(std::holds_alternative<AttemptAnswered>(result));
    return std::get<AttemptAnswered>(result).answer.status;
}

} // namespace

// Fault tests would pass without testing anything if an enabled fault did not occur.
TEST_CASE("each enabled fault occurs", "[standin]")
{
    CHECK(statusOf(Endpoint([](auto&) {}).send("1")) == 200);
    CHECK(Endpoint([](auto& it) { it.faults.truncate = 1; }).failureReasonOf("1") == Reason::AnswerTruncated);
    CHECK(Endpoint([](auto& it) { it.faults.close = 1; }).failureReasonOf("1") == Reason::EndpointFailed);
    CHECK(statusOf(Endpoint([](auto& it) { it.faults.failFast = 1; }).send("1")) == 500);
    Endpoint frozen([](auto& it) { it.faults.freeze = 1; });
    CHECK(std::holds_alternative<AttemptFailed>(frozen.send("1", 100)));
    Endpoint twice([](auto& it) { it.faults.twice = 1; });
    CHECK(statusOf(twice.send("1")) == 200);
    CHECK(twice.client.idleConnections(twice.runningServer.address()) == 0);
}

TEST_CASE("swapped responses are delivered to neither caller", "[standin]")
{
    Endpoint endpoint([](auto& it) { it.faults.cross = 1; });
    std::array<AttemptResult, 2> results;
    std::thread other([&] { results[0] = endpoint.send("1"); });
    results[1] = endpoint.send("2");
    other.join();
    // If the second request comes too late, the endpoint does not swap the responses. Both outcomes are allowed, but only for both
    // requests alike.
    auto isCrossed = [](const AttemptResult& it) { return std::holds_alternative<AttemptFailed>(it) && std::get<AttemptFailed>(it).reason == Reason::AnswerCrossed; };
    CHECK(isCrossed(results[0]) == isCrossed(results[1]));
    CHECK(std::holds_alternative<AttemptAnswered>(results[0]) != isCrossed(results[0]));
}

TEST_CASE("a request without a free slot or after close() is refused as not started", "[standin]")
{
    Endpoint endpoint([](auto& it) { it.announcement.slots = 1; it.faults.freeze = 1; });
    std::thread slotHolder([&] { endpoint.send("1", 1000); });
    while (endpoint.simulated.running() == 0)
        std::this_thread::yield();
    CHECK(std::holds_alternative<AttemptNotStarted>(endpoint.send("2")));
    slotHolder.join();
    endpoint.simulated.close();
    CHECK(std::holds_alternative<AttemptNotStarted>(endpoint.send("3")));
}

TEST_CASE("an idle connection of an entry does not prevent a stopped endpoint from exiting", "[standin]")
{
    SystemClock clock;
    HttpAttemptClient client(clock);
    Endpoint endpoint([](auto&) {});
    std::vector<Header> headers;
    auto address = endpoint.runningServer.address();
    CHECK(statusOf(client.send({ address, 1, "1", "r1", "blue", "POST", "/x", &headers, "body", clock.now() + std::chrono::seconds(20) })) == 200);
    // The endpoint is destroyed first, so its server has to join its threads while this connection is open.
    CHECK(client.idleConnections(address) == 1);
}

// Histories would be wrong if work outlived its deadline or were missing from the record file.
TEST_CASE("attempts end by their deadline and are recorded", "[standin]")
{
    char name[] = "/tmp/standin_endpoint_test.XXXXXX";
    REQUIRE(mkstemp(name) >= 0);
    {
        Endpoint endpoint([&](auto& it) { it.recordFile = name; it.serviceMs = 50; });
        CHECK(statusOf(endpoint.send("1")) == 200);
        (void)endpoint.send("2", 20);
        while (endpoint.simulated.running() != 0)
            std::this_thread::yield();
    }
    std::ifstream in(name);
    std::vector<nlohmann::json> lines;
    for (std::string it; std::getline(in, it);)
        lines.push_back(nlohmann::json::parse(it));
    std::remove(name);
    // Each attempt has a start line, which remains if the endpoint is killed, and an end line.
    REQUIRE(lines.size() == 4);
    for (const auto& it : { lines[0], lines[1] }) {
        CHECK(it["request"] == "r1");
        CHECK(it["attempt"] == "1");
        CHECK(it["instance"] == "i1");
        CHECK(it["service"] == "count");
    }
    CHECK(lines[0]["event"] == "start");
    CHECK(lines[1]["event"] == "end");
    CHECK(lines[1]["finished"] == true);
    CHECK(lines[3]["event"] == "end");
    CHECK(lines[3]["finished"] == false);
    CHECK(lines[1]["end_ns"].get<int64_t>() >= lines[1]["start_ns"].get<int64_t>() + 50000000);
    // Histories of several processes are compared by BootClock.
    CHECK(lines[0]["start_ns"].get<int64_t>() <= BootClock::now().time_since_epoch().count());
}

TEST_CASE("announcements reach an entry although another is unreachable, and leaving is announced immediately", "[standin]")
{
    SystemClock clock;
    EndpointTable table("z1", 3);
    AnnouncementServer announcements("e1", 3, table, clock);
    httplib::Server server;
    announcements.addRoutes(server);
    RunningServer runningServer(server);
    Announcement announcement { "count", "127.0.0.1:1", "z1", "i1", 1, 0, EndpointState::Serving, 8, 64 };
    Announcer announcer(announcement, { "127.0.0.1:1", runningServer.address() }, [] { return 3; });
    auto waitFor = [&](EndpointState state) {
        // Bounded by the timeout of the test program.
        while (table.endpoints(clock.now()).empty() || table.endpoints(clock.now()).front().state != state)
            std::this_thread::yield();
    };
    waitFor(EndpointState::Serving);
    announcer.announceLeaving();
    waitFor(EndpointState::Leaving);
    CHECK_FALSE(table.acquire({ "count" }, clock.now()));
}

TEST_CASE("malformed announcements are refused with the error and do not enter the table", "[standin]")
{
    SystemClock clock;
    EndpointTable table("z1", 3);
    AnnouncementServer announcements("e1", 3, table, clock);
    httplib::Server server;
    announcements.addRoutes(server);
    RunningServer runningServer(server);
    httplib::Client client("http://" + runningServer.address());
    Announcement announcement { "count", "127.0.0.1:9", "z1", "i1", 1, 1, EndpointState::Serving, 8, 64 };
    auto post = [&](const std::string& body) { return client.Post("/v1/announce", body, "application/json"); };
    auto good = toJson(announcement);
    auto result = post(good.dump());
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(nlohmann::json::parse(result->body) == nlohmann::json { { "entry", "e1" }, { "entries", 3 } });
    auto zeroSlots = good;
    zeroSlots["slots"] = 0;
    for (const auto& body : { std::string("{"), std::string("[]"), zeroSlots.dump() }) {
        auto refused = post(body);
        REQUIRE(refused);
        CHECK(refused->status == 400);
        CHECK_FALSE(nlohmann::json::parse(refused->body)["detail"].get<std::string>().empty());
    }
    CHECK(table.endpoints(clock.now()).size() == 1);
}

TEST_CASE("an unknown or invalid setting is rejected, so that no run lacks the fault it asks for", "[standin]")
{
    auto read = [](std::vector<const char*> arguments) {
        for (const auto* it : { "--service=count", "--address=127.0.0.1:1", "--zone=z1", "--instance=i1", "--entries=127.0.0.1:2,127.0.0.1:3" })
            arguments.push_back(it);
        arguments.insert(arguments.begin(), "vanillalift-endpoint");
        return endpointSettingsFromCommandLine(static_cast<int>(arguments.size()), arguments.data());
    };
    auto settings = read({ "--truncate=0.5", "--ignore-leaving", "--slots=3" });
    REQUIRE(settings);
    CHECK(settings->faults.truncate == 0.5);
    CHECK(settings->faults.ignoreLeaving);
    CHECK(settings->announcement.slots == 3);
    CHECK(settings->entries.size() == 2);
    CHECK_FALSE(read({ "--truncate=2" }));
    CHECK_FALSE(read({ "--truncat=0.5" }));
    CHECK_FALSE(read({ "--slots=many" }));
}
