#include <catch2/catch.hpp>

#include "core/event_log_p.h"
#include "net_fixture.h"
#include "node/shutdown_p.h"
#include "platform/incoming_p.h"
#include "raw_client.h"

#include <fcntl.h>

using namespace vanillalift;
using namespace vanillalift::platform;
using std::chrono::milliseconds;

namespace {

/// A leader that receives requests and answers none.
struct UnresponsiveLeader {
    UnresponsiveLeader(net::EventLoop& loop, const net::Address& address)
        : listener(loop, address, [this, &loop](evutil_socket_t fd) {
            link = std::make_unique<net::FrameLink>(loop, fd, net::FrameLink::Handlers { nullptr, [this](std::string_view frame) { receive(frame); }, [] {} });
        })
    {
    }
    void receive(std::string_view frame)
    {
        auto message = node::decode(frame);
        REQUIRE(message);
        if (std::holds_alternative<node::Hello>(*message))
            link->send(node::encode(node::ControllerStatus { 1, true, "leader", {} }));
        calls += std::holds_alternative<node::Call>(*message) ? 1 : 0;
    }

    std::unique_ptr<net::FrameLink> link;
    int calls = 0;
    net::Listener listener;
};

struct Gateway {
    net::EventLoop loop;
    SystemClock clock;
    net::HttpMemory memory { loop, clock, 64U << 20U };
    EventLog log { clock, open("/dev/null", O_WRONLY | O_CLOEXEC), {} };
    net::Address leaderAddress = net::freeAddress();
    UnresponsiveLeader leader { loop, leaderAddress };
    node::LeaderClient leaderClient { loop, clock, log, { { "", "zone", "" }, { "127.0.0.1:" + std::to_string(leaderAddress.port) }, nullptr } };
    net::Address clientAddress = net::freeAddress();
    ClientApi clientApi { loop, clock, memory, log, { clientAddress, net::freeAddress(), 8 },
        [this](node::Request request, TimePoint sendDeadline, TimePoint deadline, node::LeaderClient::Handler handler) { leaderClient.call(std::move(request), sendDeadline, deadline, std::move(handler)); }, [] { return true; } };
    node::Shutdown shutdown { clientApi.clientServer(), node::gatewayShutdown, { nullptr, [this] { leaderClient.close(); } } };
    TimePoint startedAt = clock.now();

    void runUntilExit(milliseconds sinceSignal)
    {
        net::runUntil(loop, [&] { return shutdown.tick(startedAt + sinceSignal); });
    }
};

/// Late enough for everything but the answers to requests that are still in progress.
constexpr milliseconds beforeAnswerAll = node::gatewayShutdown.answerAll - milliseconds(1);
constexpr const char* request = "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 60000\r\n\r\n";

} // namespace

TEST_CASE("a request that a slow leader holds when the gateway shuts down is answered as unknown", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send(request));
    net::runUntil(it.loop, [&] { return it.leader.calls >= 1; });
    it.shutdown.begin(it.startedAt);
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.announce));
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.answerAll - milliseconds(1)));
    net::runUntil(it.loop, [] { return true; });
    CHECK(client.hasNoInput());
    it.runUntilExit(node::gatewayShutdown.answerAll);
    CHECK(client.readResponse().starts_with("HTTP/1.1 504"));
}

TEST_CASE("a request that no controller received before the gateway shuts down is refused as not run", "[gateway]")
{
    Gateway it;
    it.leader.listener.close();
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send(request));
    net::runUntil(it.loop, [&] { return it.leaderClient.pendingCalls() == 1; });
    it.shutdown.begin(it.startedAt);
    it.runUntilExit(node::gatewayShutdown.answerAll);
    auto response = client.readResponse();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
}

TEST_CASE("a request on a kept-alive connection after the drain time-out is refused, and its connection is not cut", "[gateway]")
{
    Gateway it;
    RawClient slow(it.clientAddress.port);
    RawClient reused(it.clientAddress.port);
    REQUIRE(slow.send(request));
    REQUIRE(reused.send("PUT /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    net::runUntil(it.loop, [&] { return it.leader.calls >= 1 && !reused.hasNoInput(); });
    REQUIRE(reused.readResponse().starts_with("HTTP/1.1 405"));
    it.shutdown.begin(it.startedAt);
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.answerAll));
    REQUIRE(reused.send(request));
    net::runUntil(it.loop, [&] { return !reused.hasNoInput(); });
    CHECK(reused.readResponse().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a client that does not read its response does not delay the gateway's exit beyond the exit time-out", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send(request));
    net::runUntil(it.loop, [&] { return it.leader.calls >= 1; });
    it.shutdown.begin(it.startedAt);
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.answerAll));
    CHECK(it.shutdown.tick(it.startedAt + node::gatewayShutdown.exit));
}

// Guards against a gateway that exits between two requests of a client that keeps its connection.
TEST_CASE("an idle connection keeps the gateway until its next request has been answered as the last one", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send("PUT /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
    net::runUntil(it.loop, [&] { return !client.hasNoInput(); });
    CHECK(client.readResponse().find("Connection: close") == std::string::npos);
    it.shutdown.begin(it.startedAt);
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.stopAccepting));
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.answerAll - milliseconds(1)));
    REQUIRE(client.send("PUT /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
    it.runUntilExit(beforeAnswerAll);
    auto response = client.readResponse();
    CHECK(response.starts_with("HTTP/1.1 405"));
    CHECK(response.find("Connection: close\r\n") != std::string::npos);
    CHECK(client.waitForEof());
}

// Guards against a reset of connections that wait in the listen queue when the listening socket closes.
TEST_CASE("a connection that is established but not accepted when the gateway stops accepting is served", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send("PUT /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
    it.shutdown.begin(it.startedAt);
    it.shutdown.tick(it.startedAt + node::gatewayShutdown.stopAccepting);
    CHECK_FALSE(it.clientApi.isOpen());
    it.runUntilExit(beforeAnswerAll);
    CHECK(client.readResponse().starts_with("HTTP/1.1 405"));
}

TEST_CASE("an idle client sees the end of its connection before the gateway exits, and the gateway waits for its close", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send("PUT /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
    net::runUntil(it.loop, [&] { return !client.hasNoInput(); });
    client.readResponse();
    it.shutdown.begin(it.startedAt);
    CHECK_FALSE(it.shutdown.tick(it.startedAt + node::gatewayShutdown.endIdle));
    CHECK(client.waitForEof());
    client.close();
    it.runUntilExit(node::gatewayShutdown.endIdle);
}

// Guards against a request that arrived before its idle connection ends, but has not been read yet.
TEST_CASE("a request that arrives as idle connections end is refused as not run", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send("PUT /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
    net::runUntil(it.loop, [&] { return !client.hasNoInput(); });
    client.readResponse();
    it.shutdown.begin(it.startedAt);
    REQUIRE(client.send(request));
    it.runUntilExit(node::gatewayShutdown.endIdle);
    CHECK(client.readResponse().starts_with("HTTP/1.1 503"));
}

TEST_CASE("all requests that a client sent at once are answered while the gateway drains", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    it.shutdown.begin(it.startedAt);
    it.shutdown.tick(it.startedAt + node::gatewayShutdown.announce);
    REQUIRE(client.send("PUT /1 HTTP/1.1\r\nHost: h\r\n\r\nPUT /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
    it.runUntilExit(beforeAnswerAll);
    CHECK(client.readResponse().find("Connection: close") == std::string::npos);
    CHECK(client.readResponse().find("Connection: close") != std::string::npos);
}

// Guards against a connection that is cut while its request is arriving.
TEST_CASE("a request that has not arrived completely when idle connections end is refused as not run", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send("POST /queue/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"));
    net::runUntil(it.loop, [&] { return it.clientApi.clientServer().openConnections() == 1; });
    it.shutdown.begin(it.startedAt);
    it.runUntilExit(node::gatewayShutdown.endIdle);
    auto response = client.readResponse();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(response.find("Connection: close\r\n") != std::string::npos);
}

TEST_CASE("a controller that could not pass a request on says when to try again", "[gateway]")
{
    net::EventLoop loop;
    SystemClock clock;
    EventLog log { clock, open("/dev/null", O_WRONLY | O_CLOEXEC), {} };
    auto address = net::freeAddress();
    net::HttpMemory memory { loop, clock, 64U << 20U };
    ControlApi control(
        loop, clock, memory, log, address, 8, [](const node::Request&, TimePoint, const node::LeaderClient::Handler& handler) { handler({ std::nullopt, false }); }, [](std::string_view, std::string_view) { return std::string(); });
    RawClient client(address.port);
    REQUIRE(client.send("GET /-/config HTTP/1.1\r\n\r\n"));
    net::runUntil(loop, [&] { return !client.hasNoInput(); });
    auto response = client.readResponse();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
}
