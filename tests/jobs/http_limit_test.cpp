#include <catch2/catch.hpp>

#include "net/http_p.h"
#include "net_fixture.h"
#include "raw_client.h"

#include <vanillalift/config.h>

#include <atomic>
#include <fcntl.h>
#include <sys/resource.h>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::net;
using std::chrono::milliseconds;

namespace {

constexpr const char* request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* lateRequest = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";

struct Server {
    explicit Server(size_t maxConnections)
        : server(loop, clock, memory, address, 1000, maxConnections, [this](const HttpRequest& it, HttpServer::Respond respond) {
            if (it.target == "/late")
                late.push_back(std::move(respond));
            else
                respond({ 200, {}, "seen" });
        })
    {
    }

    EventLoop loop;
    OffsetClock clock;
    HttpMemory memory { loop, clock, 64U << 20U };
    Address address = freeAddress();
    std::vector<HttpServer::Respond> late;
    HttpServer server;

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

    std::vector<std::unique_ptr<RawClient>> connect(size_t count)
    {
        std::vector<std::unique_ptr<RawClient>> clients;
        for (size_t n = 0; n < count; n++)
            clients.push_back(std::make_unique<RawClient>(address.port));
        return clients;
    }
};

/// Takes all descriptors that the process may still open.
class DescriptorHog {
public:
    DescriptorHog()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit lowered { 200, m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (int fd = open("/dev/null", O_RDONLY | O_CLOEXEC); fd >= 0; fd = open("/dev/null", O_RDONLY | O_CLOEXEC))
            m_taken.push_back(fd);
    }
    ~DescriptorHog()
    {
        for (auto fd : m_taken)
            close(fd);
        setrlimit(RLIMIT_NOFILE, &m_before);
    }
    DescriptorHog(const DescriptorHog&) = delete;
    DescriptorHog& operator=(const DescriptorHog&) = delete;

    void release(size_t count)
    {
        for (; count > 0 && !m_taken.empty(); count--) {
            close(m_taken.back());
            m_taken.pop_back();
        }
    }

private:
    rlimit m_before {};
    std::vector<int> m_taken;
};

} // namespace

// Guards against refused connections that close without a byte: 1,800 of 3,000 on a controller.
TEST_CASE("a caller beyond the limit of connections gets 503 while all others have requests in progress", "[http]")
{
    Server it(2);
    auto clients = it.connect(2);
    for (auto& client : clients)
        REQUIRE(client->send(lateRequest));
    runUntil(it.loop, [&] { return it.late.size() == 2; });
    for (int n = 0; n < 3; n++) {
        RawClient extra(it.address.port);
        auto response = it.roundTrip(extra, request);
        CHECK(response.starts_with("HTTP/1.1 503 "));
        CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
    }
    CHECK(it.server.stats().refusedConnections == 3);
    for (auto& respond : it.late)
        respond({ 200, {}, "late" });
    std::string response = it.roundTrip(*clients[1], "");
    CHECK(response.ends_with("late"));
}

TEST_CASE("the connection that has been idle longest is closed for a new caller, and its last request is not lost", "[http]")
{
    Server it(3);
    auto clients = it.connect(3);
    for (auto& client : clients)
        CHECK(it.roundTrip(*client, request).ends_with("seen"));
    it.clock.advance(config::minHttpIdleTime);
    // The first one's next request has arrived when the new caller connects.
    REQUIRE(clients[0]->send(lateRequest));
    RawClient extra(it.address.port);
    CHECK(it.roundTrip(extra, request).ends_with("seen"));
    runUntil(it.loop, [&] { return it.late.size() == 1; });
    it.late.front()({ 200, {}, "late" });
    CHECK(it.roundTrip(*clients[0], "").ends_with("late"));
    CHECK(it.roundTrip(*clients[1], "").empty());
    CHECK(it.roundTrip(*clients[2], request).ends_with("seen"));
    CHECK(it.server.stats().evictedConnections == 1);
    CHECK(it.server.stats().refusedConnections == 0);
}

TEST_CASE("connections that keep coming beyond the limit are held within a bound", "[http]")
{
    Server it(1);
    RawClient first(it.address.port);
    REQUIRE(first.send(lateRequest));
    runUntil(it.loop, [&] { return it.late.size() == 1; });
    constexpr size_t extraCount = 300;
    auto clients = it.connect(extraCount);
    size_t mostOpen = 0;
    runUntil(it.loop, [&] {
        mostOpen = std::max(mostOpen, it.server.openConnections());
        return it.server.stats().refusedConnections == extraCount;
    });
    CHECK(mostOpen <= 1 + config::maxLingeringConnections);
    for (auto& client : clients)
        REQUIRE(client->readResponse().starts_with("HTTP/1.1 503 "));
}

// Guards against a loop that tries the same failing accept() without a pause while callers hang.
TEST_CASE("a process without descriptors closes idle connections for new callers, and accepts later if there is none", "[http]")
{
    Server it(100);
    RawClient idle(it.address.port);
    CHECK(it.roundTrip(idle, request).ends_with("seen"));
    it.clock.advance(config::minHttpIdleTime);
    RawClient second(it.address.port);
    RawClient third(it.address.port);
    std::string answer;
    {
        DescriptorHog hog;
        REQUIRE(second.send(lateRequest));
        runUntil(it.loop, [&] { return it.late.size() == 1; });
        CHECK(it.server.stats().evictedConnections == 1);
        REQUIRE(third.send(request));
        runUntil(it.loop, [&] { return it.server.stats().failedAccepts >= 3; });
        hog.release(1);
        answer = it.roundTrip(third, "");
    }
    CHECK(answer.ends_with("seen"));
    CHECK(it.server.stats().failedAccepts < 20);
}
