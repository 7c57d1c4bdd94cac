#include "node/process_usage_p.h"
#include "node/run_record_p.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <unistd.h>

using namespace vanillalift::node;

namespace {

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
    std::filesystem::path path = std::filesystem::temp_directory_path() / ("run-record-" + std::to_string(getpid()));
    TemporaryFolder() { std::filesystem::create_directories(path); }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

} // namespace

TEST_CASE("a crash loop is counted by the runs in a row that did not finish")
{
    TemporaryFolder folder;
    CHECK(RunRecord(folder.path).unfinishedRuns() == 0);
    CHECK(RunRecord(folder.path).unfinishedRuns() == 1);
    RunRecord third(folder.path);
    CHECK(third.unfinishedRuns() == 2);
    third.finish();
    CHECK(RunRecord(folder.path).unfinishedRuns() == 0);
}

TEST_CASE("the run record of a folder that cannot be written does not end the process")
{
    RunRecord record("/does-not-exist");
    CHECK(record.unfinishedRuns() == 0);
    record.finish();
}

TEST_CASE("the usage of a process tells its memory and descriptors")
{
    auto usage = processUsage();
    CHECK(usage.residentBytes > 0);
    CHECK(usage.descriptors >= 3);
    CHECK(processLimits().descriptors >= usage.descriptors);
}
