#include <catch2/catch.hpp>

#include "policy/paced_interval_p.h"

using namespace vanillalift;
using namespace vanillalift::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { std::chrono::hours(1000) };

/// @returns the time from the start of a pass until the next one is due.
Duration intervalAfter(Duration pass)
{
    PacedInterval pace({ milliseconds(50), milliseconds(1000), 0.2 });
    pace.recordPass(start, start + pass);
    auto at = start;
    while (!pace.isDue(at))
        at += milliseconds(1);
    return at - start;
}

} // namespace

TEST_CASE("a pass is followed by a pause in proportion to its time", "[pace]")
{
    CHECK(intervalAfter({}) == milliseconds(50));
    CHECK(intervalAfter(milliseconds(10)) == milliseconds(50));
    CHECK(intervalAfter(milliseconds(40)) == milliseconds(200));
}

// Guards against a leader that starts nothing for half a minute after its process was stopped for some seconds, as on a suspended machine.
TEST_CASE("a pass during which the process was stopped delays the next one no longer than the longest interval", "[pace]")
{
    CHECK(intervalAfter(seconds(7)) == milliseconds(1000));
}
