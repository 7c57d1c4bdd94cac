#include <catch2/catch.hpp>

#include "memory_disk.h"
#include "replica/raft_storage_p.h"

#include <filesystem>
#include <unistd.h>

using namespace vanillalift;
using namespace vanillalift::raft;

namespace {

/// What a folder should hold after a number of steps.
struct Model {
    HardState hardState;
    Snapshot snapshot;
    std::map<uint64_t, LogEntry> log;
};

LogEntry command(uint64_t index, uint64_t term) { return { index, term, EntryKind::Command, "entry " + std::to_string(index * 100 + term) }; }

/// Appends, a new term, a replaced tail, a compaction, a snapshot from a leader that replaces the log.
std::vector<Persist> workload()
{
    std::vector<Persist> steps;
    steps.push_back({ .hardState = HardState { 1, "a" }, .entries = { command(1, 1), command(2, 1) } });
    steps.push_back({ .entries = { command(3, 1), command(4, 1), command(5, 1) } });
    steps.push_back({ .hardState = HardState { 2, "" }, .entries = { command(4, 2) } });
    steps.push_back({ .snapshot = Snapshot { 3, 1, { { "a", "sa", true } }, std::make_shared<std::string>("three") }, .retained = { command(4, 2) } });
    steps.push_back({ .entries = { command(5, 2), command(6, 2) } });
    steps.push_back({ .snapshot = Snapshot { 5, 3, {}, std::make_shared<std::string>("other five") } });
    steps.push_back({ .hardState = HardState { 4, "b" }, .entries = { command(6, 4) } });
    return steps;
}

Model after(Model model, const Persist& step)
{
    if (step.hardState)
        model.hardState = *step.hardState;
    if (step.snapshot) {
        model.snapshot = *step.snapshot;
        model.log.clear();
        for (const auto& it : step.retained)
            model.log[it.index] = it;
    }
    for (const auto& it : step.entries) {
        model.log.erase(model.log.lower_bound(it.index), model.log.end());
        model.log[it.index] = it;
    }
    return model;
}

bool isEither(const LogEntry& entry, const Model& before, const Model& next)
{
    auto isIn = [&](const Model& model) { return model.log.contains(entry.index) && model.log.at(entry.index) == entry; };
    return isIn(before) || isIn(next);
}

/// Checks that the content lies between what was acknowledged and what the interrupted step would have written.
void checkRecovered(const Recovered& recovered, const Model& before, const Model& next)
{
    auto term = recovered.hardState.term;
    CHECK((term == before.hardState.term || term == next.hardState.term));
    CHECK((recovered.snapshot.index == before.snapshot.index || recovered.snapshot.index == next.snapshot.index));
    auto last = recovered.snapshot.index;
    for (const auto& it : recovered.entries) {
        CHECK(it.index == ++last);
        CHECK(isEither(it, before, next));
    }
    for (const auto& [index, entry] : before.log) {
        bool isKept = next.log.contains(index) && next.log.at(index) == entry;
        if (isKept)
            CHECK(index <= last);
    }
}

/// Runs the workload to its end or the first error, which it returns. @param done counts the steps acknowledged.
std::optional<StorageError> runWorkload(Disk& disk, size_t& done)
{
    auto storage = RaftStorage::open(disk, "first");
    if (!storage)
        return storage.error();
    for (const auto& it : workload()) {
        auto result = storage->write(it);
        if (result)
            result = storage->sync();
        if (!result) {
            CHECK_FALSE(storage->write({ .entries = { command(9, 9) } }));
            CHECK_FALSE(storage->sync());
            return result.error();
        }
        done++;
    }
    return std::nullopt;
}

Model modelAfter(size_t steps)
{
    Model model;
    auto all = workload();
    for (size_t n = 0; n < std::min(steps, all.size()); n++)
        model = after(model, all[n]);
    return model;
}

} // namespace

// Guards against the loss of an acknowledged entry, term or vote by a crash between any two file operations.
TEST_CASE("a crash at each persist point leaves all that was acknowledged", "[storage]")
{
    bool hasCrashed = true;
    size_t point = 0;
    for (; hasCrashed; point++) {
        for (uint64_t seed = 1; seed <= 20; seed++) {
            INFO("crash at operation " << point << ", seed " << seed);
            MemoryDisk disk;
            disk.random.seed(seed);
            disk.firstFaultyOperation = point;
            hasCrashed = false;
            size_t done = 0;
            try {
                runWorkload(disk, done);
            } catch (const SimulatedCrash&) {
                hasCrashed = true;
            }
            disk.simulatePowerLoss();
            auto storage = RaftStorage::open(disk, "second");
            REQUIRE(storage);
            CHECK((done == 0 || storage->recovered().storageId == "first"));
            checkRecovered(storage->recovered(), modelAfter(done), modelAfter(done + 1));
            // What recovery repaired has to hold over one more restart.
            auto again = RaftStorage::open(disk, "third");
            REQUIRE(again);
            CHECK(again->recovered().entries == storage->recovered().entries);
        }
    }
    CHECK(point > 20);
}

// Guards against acknowledging after a failed write or sync, also when a later sync would succeed.
TEST_CASE("an error at each persist point is reported with its type and stays", "[storage]")
{
    for (auto code : { StorageErrorCode::WriteFailed, StorageErrorCode::SyncFailed, StorageErrorCode::DiskFull }) {
        for (size_t point = 0;; point++) {
            INFO("error at operation " << point);
            MemoryDisk disk;
            disk.firstFaultyOperation = point;
            disk.injectedError = code;
            size_t done = 0;
            auto error = runWorkload(disk, done);
            if (!error)
                break;
            CHECK(error->code == code);
            disk.simulatePowerLoss();
            auto storage = RaftStorage::open(disk, "second");
            REQUIRE(storage);
            checkRecovered(storage->recovered(), modelAfter(done), modelAfter(done + 1));
        }
    }
}

// Guards against taking a power loss for damage: of several entries that wait for one sync, a later one may reach the disk
// and an earlier one not. The replica then refused to start with all that it had acknowledged.
TEST_CASE("a power loss within a sync of several entries leaves all that was synced before", "[storage]")
{
    for (uint64_t seed = 1; seed <= 300; seed++) {
        INFO("seed " << seed);
        MemoryDisk disk;
        disk.random.seed(seed);
        auto storage = RaftStorage::open(disk, "first");
        REQUIRE(storage);
        REQUIRE(storage->write({ .hardState = HardState { 1, "a" }, .entries = { command(1, 1), command(2, 1) } }));
        REQUIRE(storage->sync());
        for (uint64_t n = 3; n <= 8; n++)
            REQUIRE(storage->write({ .entries = { command(n, 1) } }));
        disk.firstFaultyOperation = disk.operationCount + 1;
        CHECK_THROWS_AS(storage->sync(), SimulatedCrash);
        disk.simulatePowerLoss();
        auto again = RaftStorage::open(disk, "second");
        REQUIRE(again);
        const auto& entries = again->recovered().entries;
        REQUIRE(entries.size() >= 2);
        for (uint64_t n = 1; n <= entries.size(); n++)
            CHECK(entries[n - 1] == command(n, 1));
    }
}

// Guards against a replica that ends itself on a full disk, and against losing or doubling entries once there is room.
TEST_CASE("a write that a full disk refused is repeated once there is room", "[storage]")
{
    for (size_t point = 0, failures = 1; failures != 0; point++) {
        failures = 0;
        MemoryDisk disk;
        disk.injectedError = StorageErrorCode::DiskFull;
        auto storage = RaftStorage::open(disk, "first");
        REQUIRE(storage);
        disk.firstFaultyOperation = disk.operationCount + point;
        disk.faultyOperationCount = 3;
        INFO("disk full from operation " << point);
        for (const auto& it : workload()) {
            while (true) {
                auto result = storage->write(it);
                if (result)
                    result = storage->sync();
                if (result)
                    break;
                failures++;
                REQUIRE(failures < 10);
                CHECK(result.error().code == StorageErrorCode::DiskFull);
                CHECK_FALSE(storage->sync());
                while (!storage->resumeAfterFullDisk()) {
                    failures++;
                    REQUIRE(failures < 10);
                }
            }
        }
        disk.simulatePowerLoss();
        auto again = RaftStorage::open(disk, "second");
        REQUIRE(again);
        auto whole = modelAfter(workload().size());
        checkRecovered(again->recovered(), whole, whole);
        CHECK(again->recovered().entries.size() == whole.log.size());
    }
}

// Guards against reading a damaged entry, and against cutting acknowledged entries because one before them is damaged.
TEST_CASE("a flipped byte is found, and cuts at most the last record", "[storage]")
{
    MemoryDisk clean;
    size_t done = 0;
    REQUIRE_FALSE(runWorkload(clean, done));
    auto storage = RaftStorage::open(clean, "x");
    REQUIRE(storage);
    for (uint64_t n = 7; n <= 20; n++) {
        REQUIRE(storage->write({ .entries = { command(n, 4) } }));
        REQUIRE(storage->sync());
    }
    auto whole = RaftStorage::open(clean, "x")->recovered().entries;
    REQUIRE(whole.size() == 15);
    size_t damaged = 0;
    std::mt19937_64 random(1);
    for (int n = 0; n < 2000; n++) {
        MemoryDisk disk = clean;
        auto file = std::next(disk.files.begin(), static_cast<std::ptrdiff_t>(random() % disk.files.size()));
        auto& bytes = file->second.bytes;
        auto at = random() % bytes.size();
        INFO(file->first << " byte " << at);
        bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << random() % 8));
        auto opened = RaftStorage::open(disk, "x");
        if (!opened) {
            CHECK(opened.error().code == StorageErrorCode::Corrupted);
            damaged++;
            continue;
        }
        const auto& entries = opened->recovered().entries;
        REQUIRE(entries.size() + 1 == whole.size());
        CHECK(std::equal(entries.begin(), entries.end(), whole.begin()));
    }
    CHECK(damaged > 1000);
}

// Guards against a folder that lost a file passing for an empty one, which would let the replica vote twice.
TEST_CASE("a missing file is damage, and an empty folder is a new identity", "[storage]")
{
    MemoryDisk clean;
    size_t done = 0;
    REQUIRE_FALSE(runWorkload(clean, done));
    for (const auto& [name, file] : clean.files) {
        INFO(name);
        MemoryDisk disk = clean;
        disk.files.erase(name);
        auto opened = RaftStorage::open(disk, "x");
        REQUIRE_FALSE(opened);
        CHECK(opened.error().code == StorageErrorCode::Corrupted);
    }
    MemoryDisk empty;
    CHECK(RaftStorage::open(empty, "new")->recovered().storageId == "new");
}

// Guards against faults of the real files that the ones in memory cannot show, and two processes on one folder.
TEST_CASE("a real folder keeps its content, cuts a torn tail and takes one user", "[storage]")
{
    auto path = std::filesystem::temp_directory_path() / ("vanillalift-storage-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path);
    {
        auto disk = openFolder(path.string());
        REQUIRE(disk);
        size_t done = 0;
        CHECK_FALSE(runWorkload(**disk, done));
        auto second = openFolder(path.string());
        REQUIRE_FALSE(second);
        CHECK(second.error().code == StorageErrorCode::Locked);
    }
    for (const auto& it : std::filesystem::directory_iterator(path)) {
        if (it.path().extension() == ".seg")
            std::filesystem::resize_file(it.path(), it.file_size() - 3);
    }
    auto disk = openFolder(path.string());
    REQUIRE(disk);
    auto storage = RaftStorage::open(**disk, "x");
    REQUIRE(storage);
    CHECK(storage->recovered().entries.empty());
    CHECK(storage->recovered().snapshot.index == 5);
    CHECK(storage->recovered().hardState.vote == "b");
    REQUIRE(storage->write({ .entries = { command(6, 5) } }));
    REQUIRE(storage->sync());
    auto again = RaftStorage::open(**disk, "x");
    REQUIRE(again);
    CHECK(again->recovered().entries == std::vector<LogEntry> { command(6, 5) });
    std::filesystem::remove_all(path);
}
