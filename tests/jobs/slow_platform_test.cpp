#include <catch2/catch.hpp>

#include "net_fixture.h"
#include "platform/outgoing_p.h"
#include "raw_server.h"

#include <atomic>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against pools that cannot follow the demand while the platform answers slowly: each request waited for the answers to others.
TEST_CASE("moves do not wait for the answers to other moves", "[platform]")
{
    constexpr int moveCount = 16;
    std::atomic<int> received = 0;
    std::atomic<bool> mayAnswer = false;
    RawServer server([&](RawConnection& connection, int) {
        while (connection.readRequest()) {
            received++;
            while (!mayAnswer)
                std::this_thread::sleep_for(milliseconds(1));
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        }
    });
    net::EventLoop loop;
    net::OffsetClock clock;
    platform::HttpInstanceService service(loop, clock, server.address(), "controller");
    int accepted = 0;
    int completed = 0;
    auto deadline = clock.now() + seconds(10);
    for (int n = 0; n < moveCount; n++) {
        service.move("m-" + std::to_string(n), "pool", 1, deadline, deadline, [&](InstanceReplyStatus status) {
            completed++;
            accepted += status == InstanceReplyStatus::Accepted ? 1 : 0;
        });
    }
    net::runUntil(loop, [&] { return received == moveCount || completed == moveCount; });
    CHECK(received == moveCount);
    mayAnswer = true;
    net::runUntil(loop, [&] { return completed == moveCount; });
    CHECK(accepted == moveCount);
}
