#include <catch2/catch.hpp>

#include "core/event_log_p.h"
#include "net_fixture.h"
#include "platform/gateway_stop_p.h"
#include "raw_client.h"

#include <fcntl.h>

using namespace vanillalift;
using namespace vanillalift::platform;
using std::chrono::milliseconds;

namespace {

/// A leading controller that takes requests and answers none.
struct SilentLeader {
    SilentLeader(net::EventLoop& loop, const net::Address& address)
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
            link->send(node::encode(node::Status { 1, true, "leader", {} }));
        calls += std::holds_alternative<node::Call>(*message) ? 1 : 0;
    }

    std::unique_ptr<net::FrameLink> link;
    int calls = 0;
    net::Listener listener;
};

struct Gateway {
    net::EventLoop loop;
    SystemClock clock;
    EventLog log { clock, open("/dev/null", O_WRONLY | O_CLOEXEC), {} };
    net::Address leaderAddress = net::freeAddress();
    SilentLeader leader { loop, leaderAddress };
    node::LeaderClient leaders { loop, clock, log, { { "", "zone", "" }, { "127.0.0.1:" + std::to_string(leaderAddress.port) }, nullptr } };
    net::Address clientAddress = net::freeAddress();
    ClientApi clients { loop, clock, log, { clientAddress, net::freeAddress(), 8 },
        [this](node::Request request, TimePoint unsentDeadline, TimePoint deadline, node::LeaderClient::Handler handler) { leaders.call(std::move(request), unsentDeadline, deadline, std::move(handler)); }, [] { return true; } };
    GatewayStop stop { clients, leaders };
    TimePoint begun = clock.now();

    void runUntilEnd(milliseconds sinceSignal)
    {
        net::runUntil(loop, [&] { return stop.tick(begun + sinceSignal); });
    }
};

constexpr const char* request = "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 60000\r\n\r\n";

} // namespace

TEST_CASE("a request that a slow leader has when the gateway ends is answered as unknown", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send(request));
    net::runUntil(it.loop, [&] { return it.leader.calls >= 1; });
    it.stop.begin(it.begun);
    CHECK_FALSE(it.stop.tick(it.begun + GatewayStop::rotationWait));
    CHECK_FALSE(it.stop.tick(it.begun + GatewayStop::drainWait - milliseconds(1)));
    net::runUntil(it.loop, [] { return true; });
    CHECK(client.hasNoInput());
    it.runUntilEnd(GatewayStop::drainWait);
    CHECK(client.readResponse().starts_with("HTTP/1.1 504"));
}

TEST_CASE("a request that no controller has when the gateway ends is refused as not run", "[gateway]")
{
    Gateway it;
    it.leader.listener.close();
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send(request));
    net::runUntil(it.loop, [&] { return it.leaders.pendingCalls() == 1; });
    it.stop.begin(it.begun);
    it.runUntilEnd(GatewayStop::drainWait);
    auto response = client.readResponse();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
}

TEST_CASE("a request on a kept connection after the last answers is refused and not cut", "[gateway]")
{
    Gateway it;
    RawClient slow(it.clientAddress.port);
    RawClient kept(it.clientAddress.port);
    REQUIRE(slow.send(request));
    REQUIRE(kept.send("PUT /x HTTP/1.1\r\n\r\n"));
    net::runUntil(it.loop, [&] { return it.leader.calls >= 1 && !kept.hasNoInput(); });
    REQUIRE(kept.readResponse().starts_with("HTTP/1.1 400"));
    it.stop.begin(it.begun);
    CHECK_FALSE(it.stop.tick(it.begun + GatewayStop::drainWait));
    REQUIRE(kept.send(request));
    net::runUntil(it.loop, [&] { return !kept.hasNoInput(); });
    CHECK(kept.readResponse().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a client that does not take its answer does not keep a stopped gateway until it is killed", "[gateway]")
{
    Gateway it;
    RawClient client(it.clientAddress.port);
    REQUIRE(client.send(request));
    net::runUntil(it.loop, [&] { return it.leader.calls >= 1; });
    it.stop.begin(it.begun);
    CHECK_FALSE(it.stop.tick(it.begun + GatewayStop::drainWait));
    CHECK(it.stop.tick(it.begun + GatewayStop::endWait));
}
