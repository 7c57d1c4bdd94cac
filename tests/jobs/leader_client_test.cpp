#include <catch2/catch.hpp>

#include "core/event_log_p.h"
#include "net_fixture.h"
#include "node/leader_client_p.h"
#include "raw_server.h"

#include <vanillalift/config.h>

#include <fcntl.h>
#include <future>

using namespace vanillalift;
using namespace vanillalift::node;
using std::chrono::milliseconds;

namespace {

std::string encodeFrame(const Message& message)
{
    auto bytes = encode(message);
    std::string frame;
    for (unsigned n = 0; n < sizeof(uint32_t); n++)
        frame.push_back(static_cast<char>(bytes.size() >> (8 * n) & 0xFFU));
    return frame + bytes;
}

/// A leader that sends its status once, and one more message while the client's event loop is blocked.
struct DelayedLoopFixture {
    explicit DelayedLoopFixture(const Message& message)
        : server([this, bytes = encodeFrame(message)](RawConnection& connection, int number) {
            connection.write(encodeFrame(ControllerStatus { 1, true, "leader", {} }));
            if (number == 0) {
                mayWrite.get_future().wait();
                connection.write(bytes);
                connection.waitUntilAcked();
                written.set_value();
            }
            connection.waitForClose();
        })
    {
        net::runUntil(loop, [this] { return client.hasLeader(); });
    }

    /// Runs one iteration of the loop, in which both the message in the socket and the client's timer are due.
    void delayLoop(Duration delay)
    {
        mayWrite.set_value();
        written.get_future().wait();
        clock.advance(delay);
        std::this_thread::sleep_for(2 * LeaderClient::tickInterval);
        net::Timer end(loop, [this] { loop.stop(); });
        end.armAt(clock.now(), clock.now());
        loop.run();
    }

    std::promise<void> mayWrite;
    std::promise<void> written;
    RawServer server;
    net::EventLoop loop;
    net::OffsetClock clock;
    EventLog log { clock, open("/dev/null", O_WRONLY | O_CLOEXEC), {} };
    LeaderClient client { loop, clock, log, { { "", "zone", "" }, { server.address() }, nullptr } };
};

} // namespace

TEST_CASE("a link does not time out if a status arrived while the event loop was delayed", "[leader-client]")
{
    DelayedLoopFixture it(ControllerStatus { 1, true, "leader", {} });
    it.delayLoop(2 * config::linkTimeout);
    CHECK(it.client.hasLeader());
}

TEST_CASE("a reply that arrived while the event loop was delayed past its deadline is delivered", "[leader-client]")
{
    DelayedLoopFixture it(CallReply { 1, {} });
    std::optional<LeaderClient::Outcome> outcome;
    auto deadline = it.clock.now() + config::linkTimeout / 4;
    it.client.call(ReadCatalogRequest {}, deadline, deadline, [&](const LeaderClient::Outcome& result) { outcome = result; });
    it.delayLoop(config::linkTimeout / 2);
    REQUIRE(outcome);
    CHECK(outcome->reply);
}

// Guards against a request that waits for its deadline because the leader that had it lost and regained its leadership meanwhile.
TEST_CASE("a request is sent again to a leader that leads again in a later term", "[leader-client]")
{
    net::EventLoop loop;
    SystemClock clock;
    EventLog log(clock, -1, { 0, 0, 0 });
    std::vector<std::function<void(Reply)>> received;
    LeaderClient client(loop, clock, log, { { "self", "zone", "" }, {}, [&](const Request&, std::function<void(Reply)> respond) { received.push_back(std::move(respond)); } });
    client.setLocalLeader(true, 1);
    std::optional<LeaderClient::Outcome> outcome;
    auto deadline = clock.now() + std::chrono::hours(1);
    client.call(ReadCatalogRequest {}, deadline, deadline, [&](const LeaderClient::Outcome& result) { outcome = result; });
    CHECK(received.size() == 1);
    client.setLocalLeader(false, 0);
    client.setLocalLeader(true, 3);
    REQUIRE(received.size() == 2);
    received.back()({});
    REQUIRE(outcome);
    CHECK(outcome->reply);
}

// Guards against calls that wait at a controller or gateway that has been cut off for long, while others would answer them at once.
TEST_CASE("a request waits for a leader only as long as an election may take since the loss of the last one", "[leader-client]")
{
    net::EventLoop loop;
    net::OffsetClock clock;
    EventLog log(clock, -1, { 0, 0, 0 });
    LeaderClient client(loop, clock, log, { { "self", "zone", "" }, {}, [](const Request&, const std::function<void(Reply)>&) {} });
    std::vector<LeaderClient::Outcome> outcomes;
    auto call = [&] {
        auto deadline = clock.now() + std::chrono::hours(1);
        client.call(ReadCatalogRequest {}, deadline, deadline, [&](const LeaderClient::Outcome& result) { outcomes.push_back(result); });
    };
    call();
    CHECK(outcomes.empty());
    clock.advance(config::leaderWaitTimeout);
    call();
    REQUIRE(outcomes.size() == 1);
    CHECK_FALSE(outcomes.back().reply);
    CHECK_FALSE(outcomes.back().wasSent);
    // The loss of a leader starts the time anew.
    client.setLocalLeader(true, 1);
    client.setLocalLeader(false, 0);
    call();
    CHECK(outcomes.size() == 1);
}

// Guards against callers that are told "unknown" at their deadline although every controller has turned the request down.
TEST_CASE("a request counts as not sent once each controller that received it has said that it did not handle it", "[leader-client]")
{
    net::EventLoop loop;
    net::OffsetClock clock;
    EventLog log(clock, -1, { 0, 0, 0 });
    std::vector<std::function<void(Reply)>> received;
    LeaderClient client(loop, clock, log, { { "self", "zone", "" }, {}, [&](const Request&, std::function<void(Reply)> respond) { received.push_back(std::move(respond)); } });
    client.setLocalLeader(true, 1);
    std::vector<LeaderClient::Outcome> outcomes;
    auto call = [&] {
        auto deadline = clock.now() + std::chrono::hours(1);
        client.call(ReadCatalogRequest {}, deadline, deadline, [&](const LeaderClient::Outcome& result) { outcomes.push_back(result); });
    };
    auto turnDown = [&](bool isUnhandled) {
        Reply reply;
        reply.status = ReplyStatus::NotLeader;
        reply.isUnhandled = isUnhandled;
        received.back()(reply);
    };
    call();
    turnDown(true);
    call();
    turnDown(false);
    call();
    client.close();
    REQUIRE(outcomes.size() == 3);
    CHECK_FALSE(outcomes[0].wasSent);
    CHECK(outcomes[1].wasSent);
    CHECK(outcomes[2].wasSent);
}
