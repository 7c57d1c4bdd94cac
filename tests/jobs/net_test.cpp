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

/// Sends bytes and collects what comes back until the peer closes.
std::string exchange(EventLoop& loop, const Address& address, std::string_view bytes)
{
    std::string received;
    bool hasEnded = false;
    Stream stream(loop, address, { [&] { stream.write(bytes); }, [&](std::string_view more) { received += more; return more.size(); }, [&](StreamCloseReason) { hasEnded = true; } });
    runUntil(loop, [&] { return hasEnded; });
    return received;
}

struct Fixture {
    EventLoop loop;
    SystemClock clock;
    Address address = freeAddress();
    std::vector<HttpRequest> requests;
    HttpServer server { loop, address, 1000, 8, [this](const HttpRequest& request, const HttpServer::Respond& respond) {
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

TEST_CASE("a response after which the connection closes is delivered whole", "[net]")
{
    // Before, the close came first and the caller got no byte: readiness requests were taken for missed.
    Fixture f;
    auto received = exchange(f.loop, f.address, "GET /x HTTP/1.0\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(received.ends_with("\r\n\r\nseen "));
    received = exchange(f.loop, f.address, "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(received.ends_with("seen "));
}

TEST_CASE("requests on one connection are answered in order, also if they arrive together or in pieces", "[net]")
{
    Fixture f;
    auto received = exchange(f.loop, f.address, "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\n\r\nPOST /3 HTTP/1.1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree");
    auto first = received.find("seen one");
    auto last = received.find("seen three");
    CHECK(first != std::string::npos);
    CHECK(last != std::string::npos);
    CHECK(first < last);
    REQUIRE(f.requests.size() == 3);
    CHECK(f.requests[1].target == "/2");
}

TEST_CASE("malformed and oversized requests are refused and end their connection", "[net]")
{
    Fixture f;
    CHECK(exchange(f.loop, f.address, "NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(exchange(f.loop, f.address, "POST /x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(exchange(f.loop, f.address, "GET /x HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(f.requests.empty());
}

TEST_CASE("a channel tells requests that were not sent from those that may have run", "[net]")
{
    Fixture f;
    HttpChannel channel(f.loop, f.clock, f.address);
    auto answered = f.call(channel, "/x", "body");
    REQUIRE(std::holds_alternative<HttpResponse>(answered));
    CHECK(std::get<HttpResponse>(answered).body == "seen body");

    HttpChannel nobody(f.loop, f.clock, freeAddress());
    CHECK(std::get<HttpFailure>(f.call(nobody, "/x", "")) == HttpFailure::Refused);

    // The first request is sent and not answered; the second one waits behind it and was never sent.
    std::vector<HttpFailure> failures;
    auto deadline = f.clock.now() + milliseconds(100);
    for (int n = 0; n < 2; n++)
        channel.send({ "POST", "/silent", {}, "" }, deadline, [&](HttpResult it) { failures.push_back(std::get<HttpFailure>(it)); });
    runUntil(f.loop, [&] { return failures.size() == 2; });
    CHECK(failures[0] == HttpFailure::Unknown);
    CHECK(failures[1] == HttpFailure::NotSent);
    CHECK(std::holds_alternative<HttpResponse>(f.call(channel, "/x", "again")));
}

TEST_CASE("a channel keeps its connection open between requests", "[net]")
{
    Fixture f;
    HttpChannel channel(f.loop, f.clock, f.address);
    for (int n = 0; n < 5; n++)
        CHECK(std::holds_alternative<HttpResponse>(f.call(channel, "/x", "b")));
    CHECK(channel.connections() == 1);
}

TEST_CASE("a process that ends once no request is open has sent its last response", "[net]")
{
    EventLoop loop;
    SystemClock clock;
    auto address = freeAddress();
    HttpServer::Respond respond;
    auto server = std::make_unique<HttpServer>(loop, address, 1000, 8, [&](const HttpRequest&, HttpServer::Respond it) { respond = std::move(it); });
    RawClient client(address.port);
    REQUIRE(client.send("GET /x HTTP/1.1\r\n\r\n"));
    runUntil(loop, [&] { return respond != nullptr; });
    runUntil(loop, [&] {
        if (auto once = std::exchange(respond, nullptr))
            once({ 200, {}, "last" });
        return server->openRequests() == 0;
    });
    server.reset();
    CHECK(client.readResponse().ends_with("last"));
}

TEST_CASE("a response that a slow client has not taken keeps its request open, and a dropped connection does not", "[net]")
{
    // More than the kernel holds for one connection.
    const std::string large(64U << 20U, 'x');
    EventLoop loop;
    auto address = freeAddress();
    HttpServer server(loop, address, 1000, 8, [&](const HttpRequest&, const HttpServer::Respond& respond) { respond({ 200, {}, large }); });
    RawClient slow(address.port);
    RawClient dropped(address.port);
    REQUIRE(slow.send("GET /x HTTP/1.1\r\n\r\n"));
    REQUIRE(dropped.send("GET /x HTTP/1.1\r\n\r\n"));
    runUntil(loop, [&] { return server.openRequests() == 2; });
    dropped.close();
    runUntil(loop, [&] { return server.openRequests() == 1; });
    std::string received;
    std::thread reader([&] { received = slow.readResponse(); });
    runUntil(loop, [&] { return server.openRequests() == 0; });
    reader.join();
    CHECK(received.ends_with(large));
}

TEST_CASE("a request that was read and not yet handled is not cut by a process that ends", "[net]")
{
    EventLoop loop;
    SystemClock clock;
    auto address = freeAddress();
    HttpServer server(loop, address, 1000, 8, [&](const HttpRequest&, const HttpServer::Respond& respond) { respond({ 200, {}, "seen" }); });
    RawClient client(address.port);
    REQUIRE(client.send("GET /1 HTTP/1.1\r\n\r\n"));
    runUntil(loop, [&] { return !client.hasNoInput(); });
    REQUIRE(client.readResponse().ends_with("seen"));
    // Armed for each pass of the loop, the timer runs between the read of the request and its handler.
    bool wasSent = false;
    bool wasOpen = false;
    Timer* next = nullptr;
    Timer timer(loop, [&] {
        wasOpen = wasOpen || server.openRequests() != 0;
        if (wasSent && !client.hasNoInput())
            return loop.stop();
        if (!std::exchange(wasSent, true))
            CHECK(client.send("GET /2 HTTP/1.1\r\n\r\n"));
        next->armAt(clock.now(), clock.now());
    });
    next = &timer;
    timer.armAt(clock.now(), clock.now());
    loop.run();
    CHECK(wasOpen);
}

TEST_CASE("an answer that arrived while the loop was late for its deadline is delivered", "[net]")
{
    // More than one pass of the loop reads.
    const std::string body(20000, 'x');
    std::promise<void> received;
    std::promise<void> mayAnswer;
    std::promise<void> answered;
    RawServer server([&](RawConnection& connection, int) {
        connection.readRequest();
        received.set_value();
        mayAnswer.get_future().wait();
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
    bool wasHeld = false;
    runUntil(loop, [&] {
        if (!wasHeld && wasReceived.wait_for(seconds(0)) == std::future_status::ready) {
            wasHeld = true;
            mayAnswer.set_value();
            answered.get_future().wait();
            clock.advance(seconds(100));
            // Due at once, it also lets the channel look at the first one's deadline.
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

TEST_CASE("frames arrive whole and in order, and an oversized one ends its link", "[net]")
{
    EventLoop loop;
    auto address = freeAddress();
    std::unique_ptr<FrameLink> inbound;
    std::vector<std::string> frames;
    bool hasEnded = false;
    Listener listener(loop, address, [&](evutil_socket_t fd) {
        inbound = std::make_unique<FrameLink>(loop, fd, FrameLink::Handlers { nullptr, [&](std::string_view it) { frames.emplace_back(it); }, [&] { hasEnded = true; } });
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
    Stream liar(loop, address, { [&] { liar.write("\xFF\xFF\xFF\x7F"); }, [](std::string_view it) { return it.size(); }, [](StreamCloseReason) {} });
    runUntil(loop, [&] { return hasEnded; });
    CHECK(hasEnded);
}

TEST_CASE("addresses are IPv4 numbers with a port", "[net]")
{
    CHECK(parseAddress("10.0.0.1:80")->port == 80);
    for (const auto* it : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "host:80", "10.0.0.1:80x" })
        CHECK_FALSE(parseAddress(it));
}
