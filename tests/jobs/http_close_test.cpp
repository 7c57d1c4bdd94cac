#include <catch2/catch.hpp>

#include "net/http_p.h"
#include "net_fixture.h"
#include "raw_client.h"

#include <atomic>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::net;
using std::chrono::milliseconds;

namespace {

/// Answers each request but "/late" at once.
struct Server {
    explicit Server(size_t maxConnections = 8)
        : server(loop, clock, memory, address, 1000, maxConnections, [this](const HttpRequest& request, HttpServer::Respond respond) {
            if (request.target == "/late")
                late.push_back(std::move(respond));
            else
                respond({ 200, {}, "seen " + request.target });
        })
    {
    }

    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    Address address = freeAddress();
    std::vector<HttpServer::Respond> late;
    HttpServer server;

    /// Runs the loop until a client's part, on its own thread, has ended.
    void play(const std::function<void()>& client)
    {
        std::atomic<bool> isDone = false;
        std::thread thread([&] {
            client();
            isDone = true;
        });
        runUntil(loop, [&] { return isDone.load(); });
        thread.join();
    }
};

} // namespace

TEST_CASE("a client that closes its sending side gets the response to a request in progress", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    REQUIRE(client.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n"));
    client.shutdownSend();
    runUntil(it.loop, [&] { return !it.late.empty(); });
    // The end of input has been read by the time that a later connection is served.
    RawClient other(it.address.port);
    std::string response;
    it.play([&] { response = other.roundTrip("GET /other HTTP/1.1\r\nHost: h\r\n\r\n"); });
    CHECK(response.ends_with("seen /other"));
    other.close();
    runUntil(it.loop, [&] { return it.server.openConnections() <= 1; });
    it.late.front()({ 200, {}, "late" });
    bool hasEnded = false;
    it.play([&] {
        response = client.readResponse();
        hasEnded = client.waitForEof();
    });
    CHECK(response.ends_with("late"));
    CHECK(hasEnded);
    CHECK(it.server.stats().abandonedRequests == 0);
    runUntil(it.loop, [&] { return it.server.openConnections() == 0; });
}

TEST_CASE("all whole requests before the end of input are answered, in order", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    REQUIRE(client.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /late HTTP/1.1\r\nHost: h\r\n\r\n"));
    client.shutdownSend();
    runUntil(it.loop, [&] { return it.late.size() == 1; });
    it.late[0]({ 200, {}, "first" });
    runUntil(it.loop, [&] { return it.late.size() == 2; });
    it.late[1]({ 200, {}, "third" });
    std::vector<std::string> responses;
    bool hasEnded = false;
    it.play([&] {
        for (int n = 0; n < 3; n++)
            responses.push_back(client.readResponse());
        hasEnded = client.waitForEof();
    });
    CHECK(responses[0].ends_with("first"));
    CHECK(responses[1].ends_with("seen /2"));
    CHECK(responses[2].ends_with("third"));
    CHECK(hasEnded);
}

TEST_CASE("a request whose input ends before it is whole is answered with 400", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    REQUIRE(client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf"));
    client.shutdownSend();
    std::string response;
    it.play([&] { response = client.readResponse(); });
    CHECK(response.starts_with("HTTP/1.1 400 "));
}

TEST_CASE("a connection that is reset while its request is in progress is dropped", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    REQUIRE(client.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n"));
    runUntil(it.loop, [&] { return !it.late.empty(); });
    client.reset();
    runUntil(it.loop, [&] { return it.server.openConnections() == 0; });
    CHECK(it.server.stats().abandonedRequests == 1);
}

// Guards against a reset that destroys the answer on its way, when the connection closes with unread input.
TEST_CASE("an error answer arrives although its request is still arriving", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    REQUIRE(client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n" + std::string(200000, 'x')));
    std::string response;
    bool hasEnded = false;
    it.play([&] {
        response = client.readResponse();
        hasEnded = client.waitForEof();
    });
    CHECK(response.starts_with("HTTP/1.1 413 "));
    CHECK(hasEnded);
}

TEST_CASE("input behind a request with Connection: close does not reset the connection", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    REQUIRE(client.send("GET /late HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + std::string(200000, 'x')));
    runUntil(it.loop, [&] { return !it.late.empty(); });
    it.late.front()({ 200, {}, "late" });
    std::string response;
    bool hasEnded = false;
    it.play([&] {
        response = client.readResponse();
        hasEnded = client.waitForEof();
    });
    CHECK(response.ends_with("late"));
    CHECK(hasEnded);
}

TEST_CASE("a client that neither stops sending nor closes is disconnected, and holds up no shutdown", "[http]")
{
    Server it;
    RawClient silent(it.address.port);
    RawClient sender(it.address.port);
    REQUIRE(silent.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    it.play([&] {
        CHECK(silent.readResponse().ends_with("seen /x"));
        CHECK(silent.waitForEof());
        std::string part(10000, 'x');
        while (sender.send(part))
            continue;
    });
    CHECK(it.server.openRequests() == 0);
    runUntil(it.loop, [&] { return it.server.openConnections() == 0; });
}
