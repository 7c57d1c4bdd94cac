#include <catch2/catch.hpp>

#include "net/frame_link_p.h"
#include "net/http_p.h"
#include "net_fixture.h"
#include "raw_client.h"
#include "raw_server.h"

#include <future>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::net;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Sends bytes and returns everything received until the peer closes the connection.
std::string exchange(EventLoop& loop, const Address& address, std::string_view bytes)
{
    std::string received;
    bool hasClosed = false;
    Stream stream(loop, address, { [&] { stream.write(bytes); }, [&](std::string_view more) { received += more; return more.size(); }, [&](StreamCloseReason) { hasClosed = true; } });
    runUntil(loop, [&] { return hasClosed; });
    return received;
}

struct Fixture {
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    Address address = freeAddress();
    std::vector<HttpRequest> requests;
    HttpServer server { loop, clock, memory, address, 1000, 8, [this](const HttpRequest& request, const HttpServer::Respond& respond) {
                           requests.push_back(request);
                           if (request.target != "/silent")
                               respond({ 200, {}, "seen " + request.body });
                       } };

    HttpResult call(HttpChannel& channel, const std::string& target, const std::string& body, milliseconds timeout = milliseconds(20000))
    {
        std::optional<HttpResult> result;
        channel.send({ "POST", target, { { "Host", "h" } }, body }, clock.now() + timeout, [&](HttpResult it) { result = std::move(it); });
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    }
};

} // namespace

TEST_CASE("a response is delivered completely before its connection is closed", "[net]")
{
    // Guards against closing the connection before the response is written: the caller then receives no byte, and readiness
    // requests count as missed.
    Fixture f;
    auto received = exchange(f.loop, f.address, "GET /x HTTP/1.0\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(received.ends_with("\r\n\r\nseen "));
    received = exchange(f.loop, f.address, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(received.ends_with("seen "));
}

TEST_CASE("pipelined and fragmented requests on one connection are answered in order", "[net]")
{
    Fixture f;
    auto received = exchange(f.loop, f.address, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: h\r\n\r\nPOST /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree");
    auto first = received.find("seen one");
    auto last = received.find("seen three");
    CHECK(first != std::string::npos);
    CHECK(last != std::string::npos);
    CHECK(first < last);
    REQUIRE(f.requests.size() == 3);
    CHECK(f.requests[1].target == "/2");
}

TEST_CASE("malformed and oversized requests are refused and their connections closed", "[net]")
{
    Fixture f;
    CHECK(exchange(f.loop, f.address, "NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(exchange(f.loop, f.address, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(exchange(f.loop, f.address, "GET /x HTTP/1.1\r\nHost: h\r\nA: " + std::string(20000, 'a') + "\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(f.requests.empty());
}

TEST_CASE("a channel distinguishes requests that were not sent from those that may have run", "[net]")
{
    Fixture f;
    HttpChannel channel(f.loop, f.clock, f.address);
    auto answered = f.call(channel, "/x", "body");
    REQUIRE(std::holds_alternative<HttpResponse>(answered));
    CHECK(std::get<HttpResponse>(answered).body == "seen body");

    HttpChannel unreachable(f.loop, f.clock, freeAddress());
    CHECK(std::get<HttpFailure>(f.call(unreachable, "/x", "")) == HttpFailure::Refused);

    // The first request is sent but gets no response. The second one is queued behind it and never sent.
    std::vector<HttpFailure> failures;
    auto deadline = f.clock.now() + milliseconds(100);
    for (int n = 0; n < 2; n++)
        channel.send({ "POST", "/silent", { { "Host", "h" } }, "" }, deadline, [&](HttpResult it) { failures.push_back(std::get<HttpFailure>(it)); });
    runUntil(f.loop, [&] { return failures.size() == 2; });
    CHECK(failures[0] == HttpFailure::Unknown);
    CHECK(failures[1] == HttpFailure::NotSent);
    CHECK(std::holds_alternative<HttpResponse>(f.call(channel, "/x", "again")));
}

// Guards against a request that a paused process sends when it runs again, although the permission for it has run out.
TEST_CASE("a queued request is not sent after its send deadline, even if a response would be accepted later", "[net]")
{
    Fixture f;
    HttpChannel channel(f.loop, f.clock, f.address);
    std::vector<HttpResult> results;
    auto handler = [&](HttpResult it) { results.push_back(std::move(it)); };
    auto now = f.clock.now();
    channel.send({ "POST", "/silent", { { "Host", "h" } }, "" }, now + milliseconds(300), handler);
    channel.send({ "POST", "/x", { { "Host", "h" } }, "late" }, now + milliseconds(100), now + std::chrono::seconds(20), handler);
    runUntil(f.loop, [&] { return !results.empty(); });
    REQUIRE(std::holds_alternative<HttpFailure>(results[0]));
    CHECK(std::get<HttpFailure>(results[0]) == HttpFailure::NotSent);
    runUntil(f.loop, [&] { return results.size() == 2; });
    CHECK(std::none_of(f.requests.begin(), f.requests.end(), [](const auto& it) { return it.body == "late"; }));
}

// Guards against a leader that runs out of descriptors: with 3,006 endpoints it had 4,912 connections, 4,096 descriptors, and
// served 0.025 of its requests (sweep of hvtw-lift-large).
TEST_CASE("channels with a common budget close idle connections for others, and wait while all are in use", "[net]")
{
    Fixture f;
    CallStats stats;
    ConnectionBudget budget(f.loop, f.clock, 2);
    std::vector<std::unique_ptr<HttpChannel>> channels;
    constexpr size_t channelCount = 5;
    channels.reserve(channelCount);
    for (size_t n = 0; n < channelCount; n++)
        channels.push_back(std::make_unique<HttpChannel>(f.loop, f.clock, f.address, &stats, &budget));
    for (int round = 0; round < 3; round++) {
        size_t answered = 0;
        size_t mostOpen = 0;
        auto deadline = f.clock.now() + std::chrono::seconds(20);
        for (auto& it : channels)
            it->send({ "POST", "/x", { { "Host", "h" } }, "b" }, deadline, [&](const HttpResult& result) { answered += std::holds_alternative<HttpResponse>(result) ? 1 : 0; });
        runUntil(f.loop, [&] {
            mostOpen = std::max(mostOpen, budget.open());
            return answered == channels.size();
        });
        CHECK(mostOpen <= 2);
    }
    // While both connections wait for responses, a third request is not sent, and they are not closed for it.
    std::vector<HttpFailure> failures;
    auto now = f.clock.now();
    auto fail = [&](const HttpResult& it) { failures.push_back(std::get<HttpFailure>(it)); };
    channels[0]->send({ "POST", "/silent", { { "Host", "h" } }, "" }, now + milliseconds(400), fail);
    channels[1]->send({ "POST", "/silent", { { "Host", "h" } }, "" }, now + milliseconds(400), fail);
    channels[2]->send({ "POST", "/x", { { "Host", "h" } }, "third" }, now + milliseconds(200), fail);
    runUntil(f.loop, [&] { return failures.size() == 3; });
    CHECK(failures == std::vector { HttpFailure::NotSent, HttpFailure::Unknown, HttpFailure::Unknown });
    CHECK(std::none_of(f.requests.begin(), f.requests.end(), [](const auto& it) { return it.body == "third"; }));
    channels.clear();
    CHECK(budget.open() == 0);
}

TEST_CASE("a response without a length, or after an interim response, is not lost", "[net]")
{
    EventLoop loop;
    SystemClock clock;
    RawServer server([](RawConnection& connection, int n) {
        if (!connection.readRequest())
            return;
        connection.write(n == 0 ? "HTTP/1.0 200 OK\r\n\r\nto the end" : n == 1 ? "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nafter"
                                                                               : "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
        if (n == 1)
            connection.waitForClose();
    });
    std::vector<HttpResult> results;
    for (size_t n = 0; n < 3; n++) {
        HttpChannel channel(loop, clock, *parseAddress(server.address()));
        channel.send({ "POST", "/", { { "Host", "h" } }, "x" }, clock.now() + seconds(20), [&](HttpResult it) { results.push_back(std::move(it)); });
        runUntil(loop, [&] { return results.size() > n; });
    }
    REQUIRE(std::holds_alternative<HttpResponse>(results[0]));
    CHECK(std::get<HttpResponse>(results[0]).body == "to the end");
    REQUIRE(std::holds_alternative<HttpResponse>(results[1]));
    CHECK(std::get<HttpResponse>(results[1]).body == "after");
    REQUIRE(std::holds_alternative<HttpFailure>(results[2]));
    CHECK(std::get<HttpFailure>(results[2]) == HttpFailure::Unknown);
}

TEST_CASE("a channel keeps its connection open between requests", "[net]")
{
    Fixture f;
    HttpChannel channel(f.loop, f.clock, f.address);
    for (int n = 0; n < 5; n++)
        CHECK(std::holds_alternative<HttpResponse>(f.call(channel, "/x", "b")));
    CHECK(channel.connections() == 1);
}

TEST_CASE("the last response has been sent once the server reports no open requests", "[net]")
{
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    auto address = freeAddress();
    HttpServer::Respond respond;
    auto server = std::make_unique<HttpServer>(loop, clock, memory, address, 1000, 8, [&](const HttpRequest&, HttpServer::Respond it) { respond = std::move(it); });
    RawClient client(address.port);
    REQUIRE(client.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    runUntil(loop, [&] { return respond != nullptr; });
    runUntil(loop, [&] {
        if (auto once = std::exchange(respond, nullptr))
            once({ 200, {}, "last" });
        return server->openRequests() == 0;
    });
    server.reset();
    CHECK(client.readResponse().ends_with("last"));
}

TEST_CASE("a response that a slow client has not read keeps its request open, and a dropped connection does not", "[net]")
{
    // Larger than the kernel's socket buffers.
    const std::string large(64U << 20U, 'x');
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 512U << 20U };
    auto address = freeAddress();
    HttpServer server(loop, clock, memory, address, 1000, 8, [&](const HttpRequest&, const HttpServer::Respond& respond) { respond({ 200, {}, large }); });
    RawClient slow(address.port);
    RawClient dropped(address.port);
    REQUIRE(slow.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    REQUIRE(dropped.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    runUntil(loop, [&] { return server.openRequests() == 2; });
    dropped.close();
    runUntil(loop, [&] { return server.openRequests() == 1; });
    std::string received;
    std::thread reader([&] { received = slow.readResponse(); });
    runUntil(loop, [&] { return server.openRequests() == 0; });
    reader.join();
    CHECK(received.ends_with(large));
}

TEST_CASE("a request that was read but not yet handled counts as open, so that a shutdown does not drop it", "[net]")
{
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    auto address = freeAddress();
    HttpServer server(loop, clock, memory, address, 1000, 8, [&](const HttpRequest&, const HttpServer::Respond& respond) { respond({ 200, {}, "seen" }); });
    RawClient client(address.port);
    REQUIRE(client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
    runUntil(loop, [&] { return !client.hasNoInput(); });
    REQUIRE(client.readResponse().ends_with("seen"));
    // The timer is due in each iteration of the loop, so it runs between the read of the request and the deferred callback that
    // handles it.
    bool wasSent = false;
    bool wasOpen = false;
    Timer* next = nullptr;
    Timer timer(loop, [&] {
        wasOpen = wasOpen || server.openRequests() != 0;
        if (wasSent && !client.hasNoInput())
            return loop.stop();
        if (!std::exchange(wasSent, true))
            CHECK(client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
        next->armAt(clock.now(), clock.now());
    });
    next = &timer;
    timer.armAt(clock.now(), clock.now());
    loop.run();
    CHECK(wasOpen);
}

TEST_CASE("a response that arrived before a delayed loop handles the request's deadline is delivered", "[net]")
{
    // Larger than what one iteration of the loop reads.
    const std::string body(20000, 'x');
    std::promise<void> received;
    std::promise<void> mayRespond;
    std::promise<void> answered;
    RawServer server([&](RawConnection& connection, int) {
        connection.readRequest();
        received.set_value();
        mayRespond.get_future().wait();
        connection.answer(body);
        connection.waitUntilAcked();
        answered.set_value();
        connection.waitForClose();
    });
    EventLoop loop;
    OffsetClock clock;
    CallStats stats;
    HttpChannel channel(loop, clock, *parseAddress(server.address()), &stats);
    std::vector<HttpResult> results;
    auto collect = [&](HttpResult it) { results.push_back(std::move(it)); };
    channel.send({ "POST", "/1", {}, {} }, clock.now() + seconds(60), collect);
    auto wasReceived = received.get_future();
    bool wasDelayed = false;
    runUntil(loop, [&] {
        if (!wasDelayed && wasReceived.wait_for(seconds(0)) == std::future_status::ready) {
            wasDelayed = true;
            mayRespond.set_value();
            answered.get_future().wait();
            clock.advance(seconds(100));
            // Already expired: it makes the channel's timer run at once, which then also checks the deadline of the first request.
            channel.send({ "POST", "/2", {}, {} }, clock.now() - seconds(1), collect);
        }
        return results.size() == 2;
    });
    REQUIRE(std::holds_alternative<HttpResponse>(results[0]));
    CHECK(std::get<HttpResponse>(results[0]).body == body);
    REQUIRE(std::holds_alternative<HttpFailure>(results[1]));
    CHECK(std::get<HttpFailure>(results[1]) == HttpFailure::NotSent);
    CHECK(stats.answered == 1);
    CHECK(stats.expired == 1);
    CHECK(channel.connections() == 1);
}

TEST_CASE("frames arrive complete and in order, and an oversized one closes its link", "[net]")
{
    EventLoop loop;
    auto address = freeAddress();
    std::unique_ptr<FrameLink> inbound;
    std::vector<std::string> frames;
    bool hasClosed = false;
    Listener listener(loop, address, [&](evutil_socket_t fd) {
        inbound = std::make_unique<FrameLink>(loop, fd, FrameLink::Handlers { nullptr, [&](std::string_view it) { frames.emplace_back(it); }, [&] { hasClosed = true; } });
    });
    std::string large(1U << 20U, 'x');
    FrameLink outbound(loop, address, { [&] {
                                           outbound.send("a");
                                           outbound.send(large);
                                           outbound.send("");
                                       },
                                          [](std::string_view) {}, [] {} });
    runUntil(loop, [&] { return frames.size() == 3; });
    CHECK(frames[0] == "a");
    CHECK(frames[1] == large);
    CHECK(frames[2].empty());
    Stream oversized(loop, address, { [&] { oversized.write("\xFF\xFF\xFF\x7F"); }, [](std::string_view it) { return it.size(); }, [](StreamCloseReason) {} });
    runUntil(loop, [&] { return hasClosed; });
    CHECK(hasClosed);
}

TEST_CASE("addresses consist of an IPv4 address and a port", "[net]")
{
    CHECK(parseAddress("10.0.0.1:80")->port == 80);
    for (const auto* it : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "host:80", "10.0.0.1:80x" })
        CHECK_FALSE(parseAddress(it));
}
