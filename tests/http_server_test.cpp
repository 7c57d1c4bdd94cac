#include <catch2/catch.hpp>

#include "http/http_server_p.h"
#include "raw_client.h"

#include <vanillalift/rpc.h>

#include <future>
#include <memory>

using namespace vanillalift;

namespace {

/// A server whose /wait route blocks until the test calls open().
class GatedServer {
public:
    explicit GatedServer(HttpServerDesc desc)
        : server(std::move(desc))
        , m_opened(m_gate.get_future().share())
    {
        auto echo = [](const httplib::Request& request, httplib::Response& response) { response.set_content("echo:" + request.body, "text/plain"); };
        server.Get("/echo", echo);
        server.Post("/echo", echo);
        server.Get("/wait", [this](const httplib::Request& /*request*/, httplib::Response& response) {
            if (onWait)
                onWait(*HttpServer::current());
            m_entered.set_value();
            m_opened.wait();
            response.set_content("waited", "text/plain");
        });
        REQUIRE(server.start());
    }
    ~GatedServer()
    {
        open();
        server.stop();
    }

    void open()
    {
        if (!std::exchange(m_isOpen, true))
            m_gate.set_value();
    }
    void waitUntilEntered() { m_entered.get_future().wait(); }

    HttpServer server;
    std::function<void(const HttpConnection&)> onWait;

private:
    std::promise<void> m_gate;
    std::promise<void> m_entered;
    std::shared_future<void> m_opened;
    bool m_isOpen = false;
};

HttpServerDesc loopback(size_t workers)
{
    return { .address = "127.0.0.1", .maxActiveRequests = workers };
}

constexpr const char* getEcho = "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* getWait = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n";

bool isAnswered(const std::string& response) { return response.rfind("HTTP/1.1 200", 0) == 0; }

} // namespace

TEST_CASE("idle connections do not occupy worker threads", "[http]")
{
    GatedServer it(loopback(2));
    std::vector<std::unique_ptr<RawClient>> clients;
    clients.reserve(40);
    for (int n = 0; n < 40; ++n)
        clients.push_back(std::make_unique<RawClient>(it.server.port()));
    for (int round = 0; round < 3; ++round) {
        for (auto& client : clients)
            CHECK(isAnswered(client->roundTrip(getEcho)));
    }
    CHECK(it.server.stats().startedThreads <= 10);
    CHECK(it.server.stats().connections == 40);
}

TEST_CASE("a request is refused immediately when all workers are busy", "[http]")
{
    GatedServer it(loopback(1));
    RawClient first(it.server.port());
    first.send(getWait);
    it.waitUntilEntered();
    RawClient second(it.server.port());
    auto refusal = second.roundTrip(getEcho);
    CHECK(refusal.rfind("HTTP/1.1 429", 0) == 0);
    CHECK(refusal.find("Vanillalift-Reason: connection-limit") != std::string::npos);
    CHECK(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(second.waitForEof());
    it.open();
    CHECK(isAnswered(first.readResponse()));
}

TEST_CASE("connections beyond the limit are refused with a response", "[http]")
{
    auto desc = loopback(1);
    desc.maxConnections = 1;
    GatedServer it(desc);
    RawClient first(it.server.port());
    REQUIRE(isAnswered(first.roundTrip(getEcho)));
    RawClient second(it.server.port());
    CHECK(second.readResponse().find("connection-limit") != std::string::npos);
    CHECK(isAnswered(first.roundTrip(getEcho)));
}

TEST_CASE("a route is notified when its caller disconnects while the request waits", "[http]")
{
    bool isHalfClose = GENERATE(false, true);
    GatedServer it(loopback(1));
    std::promise<void> gone;
    it.onWait = [&](const HttpConnection& connection) {
        CHECK_FALSE(connection.isClosed());
        connection.onClose([&] { gone.set_value(); });
    };
    RawClient client(it.server.port());
    client.send(getWait);
    it.waitUntilEntered();
    isHalfClose ? client.shutdownSend() : client.close();
    gone.get_future().wait();
    it.open();
    if (isHalfClose)
        CHECK(isAnswered(client.readResponse()));
}

TEST_CASE("a close callback is not called after its request has been answered", "[http]")
{
    GatedServer it(loopback(1));
    std::atomic<int> calls { 0 };
    it.onWait = [&](const HttpConnection& connection) { connection.onClose([&] { ++calls; }); };
    it.open();
    RawClient client(it.server.port());
    CHECK(isAnswered(client.roundTrip(getWait)));
    client.close();
    it.server.stop();
    CHECK(calls == 0);
}

TEST_CASE("a graceful stop finishes the running request and closes idle connections", "[http]")
{
    GatedServer it(loopback(2));
    RawClient idle(it.server.port());
    REQUIRE(isAnswered(idle.roundTrip(getEcho)));
    RawClient running(it.server.port());
    running.send(getWait);
    it.waitUntilEntered();
    std::thread stopper([&] { it.server.stop(); });
    CHECK(idle.waitForEof());
    it.open();
    auto answer = running.readResponse();
    CHECK(isAnswered(answer));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(running.waitForEof());
    stopper.join();
    CHECK_FALSE(RawClient(it.server.port()).isConnected());
}

TEST_CASE("pipelined and fragmented requests are each answered once and in order", "[http]")
{
    GatedServer it(loopback(1));
    RawClient client(it.server.port());
    client.send("POST /echo HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /echo HTTP/1.1\r\n\r\nPOST /echo HTTP/1.1\r\nContent-");
    CHECK(client.readResponse().find("echo:one") != std::string::npos);
    CHECK(isAnswered(client.readResponse()));
    client.send("Length: 5\r\n\r\nth");
    client.send("ree");
    CHECK(client.readResponse().find("echo:three") != std::string::npos);
}

TEST_CASE("a POST without a Content-Length is answered instead of being read until the connection closes", "[http]")
{
    GatedServer it(loopback(1));
    RawClient client(it.server.port());
    CHECK(isAnswered(client.roundTrip("POST /echo HTTP/1.1\r\n\r\n")));
    CHECK(isAnswered(client.roundTrip(getEcho)));
}

TEST_CASE("a chunked body is read completely, and its connection is closed normally", "[http]")
{
    GatedServer it(loopback(1));
    RawClient client(it.server.port());
    auto answer = client.roundTrip("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(answer.find("echo:abcde") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(client.waitForEof());
}

TEST_CASE("an idle connection is closed after the idle timeout", "[http]")
{
    auto desc = loopback(1);
    desc.idleTimeout = std::chrono::milliseconds(50);
    GatedServer it(desc);
    RawClient client(it.server.port());
    CHECK(isAnswered(client.roundTrip(getEcho)));
    CHECK(client.waitForEof());
    CHECK(it.server.stats().connections == 0);
}

TEST_CASE("two servers cannot share a port unnoticed", "[http]")
{
    GatedServer it(loopback(1));
    HttpServer second({ .address = "127.0.0.1", .port = it.server.port() });
    CHECK_FALSE(second.start());
}

TEST_CASE("an RPC server on any free port answers more keep-alive connections than it has threads", "[http]")
{
    RpcServer server({ .address = "127.0.0.1", .port = 0, .threads = 1 });
    server.add("double", [](const nlohmann::json& params) -> RpcResult { return params.at("n").get<int>() * 2; });
    REQUIRE(server.start());
    auto address = "127.0.0.1:" + std::to_string(server.port());
    std::vector<std::unique_ptr<RpcClient>> clients;
    clients.reserve(10);
    for (int n = 0; n < 10; ++n) {
        clients.push_back(std::make_unique<RpcClient>(address, ""));
        auto result = clients.back()->call("double", { { "n", n } }, BootClock::now() + std::chrono::seconds(20));
        REQUIRE(result);
        CHECK(*result == 2 * n);
    }
}
