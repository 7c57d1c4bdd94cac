#include <catch2/catch.hpp>

#include "node/command_batcher_p.h"

#include <vanillalift/config.h>

using namespace vanillalift;
using namespace vanillalift::node;

namespace {

struct Fixture {
    net::EventLoop loop;
    SystemClock clock;
    std::vector<std::string> entries;
    std::vector<bool> outcomes;
    CommandBatcher batcher { loop, clock, [this](std::string entry) {
                                entries.push_back(std::move(entry));
                                return entries.size();
                            } };

    void propose(size_t bytes = 1)
    {
        batcher.propose(jobs::CancelJob { std::string(bytes, 'x'), 0 }, [this](bool isCommitted) { outcomes.push_back(isCommitted); });
    }
    /// Runs the loop through all deadlines up to a time from now, and none after it, however slow the machine is: timers fire
    /// in the order of their deadlines.
    void runFor(
        Duration time, const std::function<void()>& first = [] {})
    {
        net::Timer timer(loop, [this] { loop.stop(); });
        timer.armAt(clock.now() + time, clock.now());
        first();
        loop.run();
    }
    /// Hands over one entry more, without an outcome.
    void handOver()
    {
        propose();
        runFor(2 * config::commandBatchWindow);
    }
};

} // namespace

TEST_CASE("commands that arrive while an entry is on its way do not each cost another entry", "[batcher]")
{
    Fixture f;
    f.handOver();
    REQUIRE(f.entries.size() == 1);
    f.runFor(2 * config::commandBatchWindow, [&] {
        for (int n = 0; n < 5; n++)
            f.propose();
    });
    CHECK(f.entries.size() == 1);
    f.batcher.resolve(1, true);
    CHECK(f.entries.size() == 2);
    CHECK(f.outcomes == std::vector<bool> { true });
    f.batcher.resolve(2, true);
    CHECK(f.outcomes == std::vector<bool>(6, true));
    CHECK(f.batcher.entries() == 2);
    CHECK(f.batcher.commands() == 6);
}

TEST_CASE("a command waits no longer than the batch's time once earlier entries have their outcome", "[batcher]")
{
    Fixture f;
    for (uint64_t n = 1; n <= 3; n++) {
        f.handOver();
        CHECK(f.entries.size() == n);
        f.batcher.resolve(n, true);
    }
}

TEST_CASE("commands are not held back for ever by an entry that never has an outcome", "[batcher]")
{
    Fixture f;
    f.handOver();
    f.propose();
    f.runFor(2 * CommandBatcher::longestGather);
    CHECK(f.entries.size() == 2);
}

TEST_CASE("commands gathered while the lead is lost are reported, not kept", "[batcher]")
{
    Fixture f;
    f.handOver();
    f.propose();
    f.batcher.resolve(1, false);
    REQUIRE(f.entries.size() == 2);
    f.batcher.resolve(2, false);
    CHECK(f.outcomes == std::vector<bool>(2, false));
}

TEST_CASE("an entry that is large enough does not wait for an earlier one", "[batcher]")
{
    Fixture f;
    f.handOver();
    f.propose(1U << 20U);
    CHECK(f.entries.size() == 2);
}
