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
    /// Runs the loop for a duration: all timers due within it fire, and no later one, on a slow machine too, because timers
    /// fire in the order of their deadlines.
    void runFor(
        Duration duration, const std::function<void()>& onStart = [] {})
    {
        net::Timer timer(loop, [this] { loop.stop(); });
        timer.armAt(clock.now() + duration, clock.now());
        onStart();
        loop.run();
    }
    /// Proposes an entry with one command, and leaves it pending.
    void proposeEntry()
    {
        propose();
        runFor(2 * config::commandBatchWindow);
    }
};

} // namespace

TEST_CASE("commands that arrive while an entry is pending share the next entry", "[batcher]")
{
    Fixture f;
    f.proposeEntry();
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
    CHECK(f.batcher.entryCount() == 2);
    CHECK(f.batcher.commandCount() == 6);
}

TEST_CASE("a command waits no longer than the batch window when no earlier entry is pending", "[batcher]")
{
    Fixture f;
    for (uint64_t n = 1; n <= 3; n++) {
        f.proposeEntry();
        CHECK(f.entries.size() == n);
        f.batcher.resolve(n, true);
    }
}

TEST_CASE("an entry that never resolves delays later commands for a limited time only", "[batcher]")
{
    Fixture f;
    f.proposeEntry();
    f.propose();
    f.runFor(2 * CommandBatcher::maxBatchDelay);
    CHECK(f.entries.size() == 2);
}

TEST_CASE("commands that were batched when leadership was lost are reported as uncommitted", "[batcher]")
{
    Fixture f;
    f.proposeEntry();
    f.propose();
    f.batcher.resolve(1, false);
    REQUIRE(f.entries.size() == 2);
    f.batcher.resolve(2, false);
    CHECK(f.outcomes == std::vector<bool>(2, false));
}

TEST_CASE("a batch that reaches the size limit does not wait for a pending entry", "[batcher]")
{
    Fixture f;
    f.proposeEntry();
    f.propose(1U << 20U);
    CHECK(f.entries.size() == 2);
}
