#include <catch2/catch.hpp>

#include "node/load_meter_p.h"

using namespace vanillalift;
using namespace vanillalift::node;
using std::chrono::milliseconds;

namespace {

struct ManualClock final : Clock {
    TimePoint time = TimePoint() + milliseconds(1000);
    [[nodiscard]] TimePoint now() const override { return time; }
};

} // namespace

TEST_CASE("time spent applying a commit does not count towards the frame that completed it", "[load]")
{
    ManualClock clock;
    LoadMeter meter(clock);
    {
        LoadMeter::Span frame(meter, LoopActivity::Links);
        clock.time += milliseconds(1);
        {
            LoadMeter::Span apply(meter, LoopActivity::Apply);
            clock.time += milliseconds(10);
            LoadMeter::Span snapshot(meter, LoopActivity::Snapshot);
            clock.time += milliseconds(100);
        }
        clock.time += milliseconds(2);
    }
    {
        LoadMeter::Span frame(meter, LoopActivity::Links);
        clock.time += milliseconds(4);
    }
    auto report = meter.takeReport();
    auto activityTime = [&](LoopActivity it) { return report.activityTimes.at(static_cast<size_t>(it)); };
    CHECK(activityTime(LoopActivity::Links) == milliseconds(7));
    CHECK(activityTime(LoopActivity::Apply) == milliseconds(10));
    CHECK(activityTime(LoopActivity::Snapshot) == milliseconds(100));
}
