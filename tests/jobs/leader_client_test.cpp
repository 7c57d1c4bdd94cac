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

std::string frameOf(const Message& message)
{
    auto bytes = encode(message);
    std::string frame;
    for (unsigned n = 0; n < sizeof(uint32_t); n++)
        frame.push_back(static_cast<char>(bytes.size() >> (8 * n) & 0xFFU));
    return frame + bytes;
}

/// A controller that leads, says so once, and sends one more message while the other side's loop stands still.
struct LateFixture {
    explicit LateFixture(const Message& message)
        : server([this, bytes = frameOf(message)](RawConnection& connection, int number) {
            connection.write(frameOf(Status { 1, true, "leader", {} }));
            if (number == 0) {
                mayWrite.get_future().wait();
                connection.write(bytes);
                connection.waitUntilAcked();
                written.set_value();
            }
            connection.waitForClose();
        })
    {
        net::runUntil(loop, [this] { return leaders.hasLeader(); });
    }

    /// Runs the next pass of the loop with the message in the socket and with the client's timer due.
    void holdLoop(Duration by)
    {
        mayWrite.set_value();
        written.get_future().wait();
        clock.advance(by);
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
    LeaderClient leaders { loop, clock, log, { { "", "zone", "" }, { server.address() }, nullptr } };
};

} // namespace

TEST_CASE("a link whose status arrived while the loop was late is not taken for silent", "[leader-client]")
{
    LateFixture it(Status { 1, true, "leader", {} });
    it.holdLoop(2 * config::linkSilence);
    CHECK(it.leaders.hasLeader());
}

TEST_CASE("an answer of the leader that arrived while the loop was late for its deadline is delivered", "[leader-client]")
{
    LateFixture it(Answer { 1, {} });
    std::optional<LeaderClient::Outcome> outcome;
    auto deadline = it.clock.now() + config::linkSilence / 4;
    it.leaders.call(ReadCatalogRequest {}, deadline, deadline, [&](const LeaderClient::Outcome& got) { outcome = got; });
    it.holdLoop(config::linkSilence / 2);
    REQUIRE(outcome);
    CHECK(outcome->reply);
}
