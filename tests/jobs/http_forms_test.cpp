#include <catch2/catch.hpp>

#include "core/event_log_p.h"
#include "net/http_p.h"
#include "net_fixture.h"
#include "node/metrics_page_p.h"
#include "platform/incoming_p.h"
#include "raw_client.h"

#include <atomic>
#include <fcntl.h>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::net;

namespace {

/// Describes each request in its response: method, target, host and body.
struct Server {
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    Address address = freeAddress();
    HttpServer server { loop, clock, memory, address, 1000, 8, [](const HttpRequest& request, const HttpServer::Respond& respond) {
                           respond({ 200, {}, request.method + ' ' + request.target + ' ' + std::string(headerValue(request.headers, "Host")) + ' ' + std::to_string(request.headers.size()) + ' ' + request.body });
                       } };

    /// @returns all that the server sends up to the end of the connection.
    std::string exchange(std::string_view bytes)
    {
        RawClient client(address.port);
        std::string received;
        std::atomic<bool> isDone = false;
        REQUIRE(client.send(bytes));
        std::thread thread([&] {
            for (auto response = client.readResponse(); !response.empty(); response = client.readResponse())
                received += response;
            isDone = true;
        });
        runUntil(loop, [&] { return isDone.load(); });
        thread.join();
        return received;
    }
};

struct Form {
    const char* name;
    /// Sent at once; the last request ends its connection.
    std::string_view request;
    /// How the answer begins and ends.
    std::string_view start;
    std::string_view end;
};

constexpr Form forms[] = {
    { "origin-form", "GET /a?b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\n", "\r\n\r\nGET /a?b h 2 " },
    { "absolute-form", "GET http://other:81/a?b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 ", "\r\n\r\nGET /a?b other:81 2 " },
    { "absolute-form without a path", "GET http://other HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 ", "\r\n\r\nGET / other 2 " },
    { "absolute-form without a host", "GET http:///a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400 ", "" },
    { "HEAD", "HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n", "Connection: close\r\n\r\n" },
    { "HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", "HTTP/1.1 200 ", "Connection: close\r\n\r\nGET /a  0 " },
    { "HTTP/1.0 with keep-alive", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /b HTTP/1.0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: keep-alive\r\n", "GET /b  0 " },
    { "Upgrade is ignored", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\n\r\n", "HTTP/1.1 200 ", "GET /a h 3 " },
    { "Upgrade with a body is ignored", "POST /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 ", "POST /a h 4 abc" },
    { "no Host", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 ", "GET /a  1 " },
    { "two Hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\nConnection: close\r\n\r\n", "HTTP/1.1 400 ", "" },
    { "conflicting lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd", "HTTP/1.1 400 ", "" },
    { "length and chunks", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 400 ", "" },
    { "coding that is not chunked", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\nConnection: close\r\n\r\nabc", "HTTP/1.1 400 ", "" },
    { "chunks with extensions and trailers", "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0;z\r\nHost: trailer\r\nT: 1\r\n\r\n", "HTTP/1.1 200 ", "POST /a h 3 abcde" },
    { "chunks of more than the limit", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nFFFFF\r\nabc", "HTTP/1.1 413 ", "" },
    { "pipelined", "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\nGET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nGET /1 h 1 HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nPOST /2 h 2 xHTTP/1.1 200 OK\r\n", "GET /3 h 2 " },
    { "100-continue with a body that is not awaited", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", "HTTP/1.1 200 ", "POST /a h 4 abc" },
    { "100-continue that is refused", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3000\r\n\r\n", "HTTP/1.1 413 ", "" },
    { "TLS", "\x16\x03\x01\x02", "HTTP/1.1 400 ", "" },
};

} // namespace

TEST_CASE("each form of request gets its answer", "[http]")
{
    Server it;
    for (const auto& form : forms) {
        INFO(form.name);
        auto received = it.exchange(form.request);
        INFO(received);
        CHECK(received.starts_with(form.start));
        CHECK(received.ends_with(form.end));
    }
}

TEST_CASE("a client that awaits 100 Continue gets it before its body, and then its answer", "[http]")
{
    Server it;
    RawClient client(it.address.port);
    std::string interim;
    std::string response;
    std::atomic<bool> isDone = false;
    std::thread thread([&] {
        client.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
        interim = client.readResponse();
        client.send("abc");
        response = client.readResponse();
        isDone = true;
    });
    runUntil(it.loop, [&] { return isDone.load(); });
    thread.join();
    CHECK(interim == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(response.ends_with("POST /a h 3 abc"));
}

TEST_CASE("each port answers unknown methods on its paths with 405 and HEAD like GET", "[http]")
{
    EventLoop loop;
    SystemClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    EventLog log { clock, open("/dev/null", O_WRONLY | O_CLOEXEC), {} };
    auto clientAddress = freeAddress();
    auto readinessAddress = freeAddress();
    auto controlAddress = freeAddress();
    auto metricsAddress = freeAddress();
    platform::ClientApi clients { loop, clock, memory, log, { clientAddress, readinessAddress, 8 },
        [](const node::Request&, TimePoint, TimePoint, const node::LeaderClient::Handler& handler) { handler({}); }, [] { return true; } };
    platform::ControlApi control { loop, clock, memory, log, controlAddress, 8,
        [](const node::Request&, TimePoint, const node::LeaderClient::Handler& handler) { handler({}); }, [](std::string_view, std::string_view) { return std::string(); }, true };
    node::MetricsPage metrics { loop, clock, memory, metricsAddress, "", [](const auto&) {} };
    struct Case {
        const Address& address;
        std::string request;
        std::string status;
        std::string allowed;
    };
    const Case cases[] = {
        { clientAddress, "OPTIONS /q/1", "405", "GET, HEAD, POST, DELETE" },
        { clientAddress, "HEAD /q/1", "503", "" },
        { readinessAddress, "OPTIONS /-/ready", "405", "GET, HEAD" },
        { readinessAddress, "HEAD /-/ready", "200", "" },
        { readinessAddress, "OPTIONS /other", "404", "" },
        { controlAddress, "GET /-/instances/i", "405", "PUT, DELETE" },
        { controlAddress, "OPTIONS /-/config", "405", "GET, HEAD, PUT" },
        { controlAddress, "HEAD /-/config", "503", "" },
        { controlAddress, "GET /-/wave-start", "405", "POST" },
        { controlAddress, "PATCH /-/wave-get/1", "405", "GET, HEAD" },
        { controlAddress, "GET /-/evacuation/z-1", "405", "POST, DELETE" },
        { controlAddress, "PUT /-/evacuation/z-1", "405", "POST, DELETE" },
        { controlAddress, "POST /-/evacuation/", "405", "GET, HEAD" },
        { controlAddress, "POST /-/evacuation/a/b", "400", "" },
        { controlAddress, "POST /-/evacuation/z-1", "503", "" },
        { controlAddress, "DELETE /-/evacuation/z-1", "503", "" },
        { controlAddress, "OPTIONS /other", "404", "" },
        { metricsAddress, "POST /metrics", "405", "GET, HEAD" },
        { metricsAddress, "HEAD /metrics", "200", "" },
    };
    for (const auto& it : cases) {
        INFO(it.request);
        RawClient client(it.address.port);
        std::string response;
        std::atomic<bool> isDone = false;
        std::thread thread([&] {
            client.send(it.request + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            client.waitForEof();
            response = client.readResponse();
            isDone = true;
        });
        runUntil(loop, [&] { return isDone.load(); });
        thread.join();
        INFO(response);
        CHECK(response.starts_with("HTTP/1.1 " + it.status + ' '));
        CHECK(response.ends_with("\r\n\r\n"));
        CHECK((it.allowed.empty() || response.find("Allow: " + it.allowed + "\r\n") != std::string::npos));
    }
}
