#include <catch2/catch.hpp>

#include "net/http_p.h"
#include "net_fixture.h"
#include "raw_client.h"

#include <atomic>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::net;

namespace {

constexpr size_t memoryBytes = 1U << 20U;
constexpr size_t partBytes = 100000;
constexpr size_t clientCount = 20;

struct Server {
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, memoryBytes };
    Address address = freeAddress();
    std::string responseBody = "seen";
    HttpServer server { loop, clock, memory, address, 200000, 100, [this](const HttpRequest& request, const HttpServer::Respond& respond) { respond({ 200, {}, responseBody + std::to_string(request.body.size()) }); } };

    std::string roundTrip(RawClient& client, std::string_view text)
    {
        std::string response;
        std::atomic<bool> isDone = false;
        std::thread thread([&] {
            response = client.roundTrip(text);
            isDone = true;
        });
        runUntil(loop, [&] { return isDone.load(); });
        thread.join();
        return response;
    }
};

std::string head(size_t length) { return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n"; }

} // namespace

// Guards against a process that grows past its limit: 1,500 unfinished bodies held 341 MB in a gateway.
TEST_CASE("the oldest incomplete requests are answered with 503 once they hold too much memory, and whole ones are served", "[http]")
{
    Server it;
    std::vector<std::unique_ptr<RawClient>> clients;
    size_t mostUsed = 0;
    for (size_t n = 0; n < clientCount; n++) {
        clients.push_back(std::make_unique<RawClient>(it.address.port));
        REQUIRE(clients.back()->send(head(partBytes + 1) + std::string(partBytes, 'x')));
        runUntil(it.loop, [&] {
            mostUsed = std::max(mostUsed, it.memory.usedBytes());
            return clients.back()->hasNoInput() && it.memory.usedBytes() <= memoryBytes;
        });
        RawClient whole(it.address.port);
        CHECK(it.roundTrip(whole, head(1000) + std::string(1000, 'x')).ends_with("seen1000"));
    }
    CHECK(mostUsed < 2 * memoryBytes);
    CHECK(it.server.stats().shedConnections > 0);
    auto first = it.roundTrip(*clients.front(), "");
    CHECK(first.starts_with("HTTP/1.1 503 "));
    CHECK(first.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(it.roundTrip(*clients.back(), "x").ends_with("seen" + std::to_string(partBytes + 1)));
    clients.clear();
    runUntil(it.loop, [&] { return it.server.openConnections() == 0; });
    CHECK(it.memory.usedBytes() == 0);
}

TEST_CASE("responses that clients do not read are dropped once they hold too much memory", "[http]")
{
    Server it;
    it.responseBody = std::string(8U << 20U, 'r');
    std::vector<std::unique_ptr<RawClient>> clients;
    for (size_t n = 0; n < 3; n++) {
        clients.push_back(std::make_unique<RawClient>(it.address.port));
        REQUIRE(clients.back()->send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    runUntil(it.loop, [&] { return it.server.stats().shedConnections > 0 && it.memory.usedBytes() <= memoryBytes; });
    it.responseBody = "seen";
    RawClient other(it.address.port);
    CHECK(it.roundTrip(other, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("seen0"));
}

TEST_CASE("a request whose head does not arrive in time is answered with 408", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    CHECK(it.roundTrip(client, "GET /x HTTP/1.1\r\nHost: ").starts_with("HTTP/1.1 408 "));
    CHECK(it.server.stats().lateRequests == 1);
    CHECK(it.server.stats().malformedRequests == 0);
}

TEST_CASE("a request whose body does not arrive in time is answered with 408, and an idle connection stays open", "[http]")
{
    Server it;
    RawClient idle(it.address.port);
    CHECK(it.roundTrip(idle, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("seen0"));
    RawClient client(it.address.port);
    CHECK(it.roundTrip(client, head(10) + "half").starts_with("HTTP/1.1 408 "));
    CHECK(it.roundTrip(idle, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("seen0"));
}

TEST_CASE("the number of headers is bounded, whatever their size", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    std::string headers;
    for (int n = 0; n < 2000; n++)
        headers += "a:\r\n";
    CHECK(it.roundTrip(client, "GET /x HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n").starts_with("HTTP/1.1 413 "));
}
