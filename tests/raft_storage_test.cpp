#include <catch2/catch.hpp>

#include "memory_disk.h"
#include "replica/raft_storage_p.h"

#include <filesystem>
#include <unistd.h>

using namespace vanillalift;
using namespace vanillalift::raft;

namespace {

/// Expected content of a folder after a number of writes.
struct Model {
    HardState hardState;
    Snapshot snapshot;
    std::map<uint64_t, LogEntry> log;
};

LogEntry command(uint64_t index, uint64_t term) { return { index, term, EntryKind::Command, "entry " + std::to_string(index * 100 + term) }; }

/// Appends, a new term, replaced entries at the end of the log, a compaction, and a leader's snapshot that replaces the log.
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

bool isEither(const LogEntry& entry, const Model& acknowledged, const Model& next)
{
    auto isIn = [&](const Model& model) { return model.log.contains(entry.index) && model.log.at(entry.index) == entry; };
    return isIn(acknowledged) || isIn(next);
}

/// Checks that the content lies between the acknowledged state and the state that the interrupted write would have left.
void checkRecovered(const RecoveredState& recovered, const Model& acknowledged, const Model& next)
{
    auto term = recovered.hardState.term;
    CHECK((term == acknowledged.hardState.term || term == next.hardState.term));
    CHECK((recovered.snapshot.index == acknowledged.snapshot.index || recovered.snapshot.index == next.snapshot.index));
    auto last = recovered.snapshot.index;
    for (const auto& it : recovered.entries) {
        CHECK(it.index == ++last);
        CHECK(isEither(it, acknowledged, next));
    }
    for (const auto& [index, entry] : acknowledged.log) {
        bool isKept = next.log.contains(index) && next.log.at(index) == entry;
        if (isKept)
            CHECK(index <= last);
    }
}

/// Runs the workload to its end or to the first error, which it returns. @param ackedCount counts the acknowledged writes.
std::optional<StorageError> runWorkload(Disk& disk, size_t& ackedCount)
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
        ackedCount++;
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

// Guards against losing an acknowledged entry, term or vote in a crash at any file operation.
TEST_CASE("a crash at any file operation keeps all acknowledged state", "[storage]")
{
    bool hasCrashed = true;
    size_t operation = 0;
    for (; hasCrashed; operation++) {
        for (uint64_t seed = 1; seed <= 20; seed++) {
            INFO("crash at operation " << operation << ", seed " << seed);
            MemoryDisk disk;
            disk.random.seed(seed);
            disk.firstFaultyOperation = operation;
            hasCrashed = false;
            size_t ackedCount = 0;
            try {
                runWorkload(disk, ackedCount);
            } catch (const SimulatedCrash&) {
                hasCrashed = true;
            }
            disk.simulatePowerLoss();
            auto storage = RaftStorage::open(disk, "second");
            REQUIRE(storage);
            CHECK((ackedCount == 0 || storage->recovered().storageId == "first"));
            checkRecovered(storage->recovered(), modelAfter(ackedCount), modelAfter(ackedCount + 1));
            // A second recovery must find the same state.
            auto reopened = RaftStorage::open(disk, "third");
            REQUIRE(reopened);
            CHECK(reopened->recovered().entries == storage->recovered().entries);
        }
    }
    CHECK(operation > 20);
}

// Guards against an acknowledgement after a failed write or sync, even if a later sync would succeed.
TEST_CASE("an error at any file operation is reported with its code and is sticky", "[storage]")
{
    for (auto code : { StorageErrorCode::WriteFailed, StorageErrorCode::SyncFailed, StorageErrorCode::OutOfResources }) {
        for (size_t operation = 0;; operation++) {
            INFO("error at operation " << operation);
            MemoryDisk disk;
            disk.firstFaultyOperation = operation;
            disk.injectedError = code;
            size_t ackedCount = 0;
            auto error = runWorkload(disk, ackedCount);
            if (!error)
                break;
            CHECK(error->code == code);
            disk.simulatePowerLoss();
            auto storage = RaftStorage::open(disk, "second");
            REQUIRE(storage);
            checkRecovered(storage->recovered(), modelAfter(ackedCount), modelAfter(ackedCount + 1));
        }
    }
}

// Guards against mistaking a power loss for corruption: of several entries in one sync, a later one may reach the disk
// while an earlier one does not. The replica then refused to start, with all that it had acknowledged.
TEST_CASE("a power loss during a sync of several entries keeps all entries synced before", "[storage]")
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
        auto reopened = RaftStorage::open(disk, "second");
        REQUIRE(reopened);
        const auto& entries = reopened->recovered().entries;
        REQUIRE(entries.size() >= 2);
        for (uint64_t n = 1; n <= entries.size(); n++)
            CHECK(entries[n - 1] == command(n, 1));
    }
}

// Guards against a replica that stops on a full disk, and against lost or duplicate entries once there is space again.
TEST_CASE("a write that failed on a full disk is retried once there is space", "[storage]")
{
    for (size_t operation = 0, failures = 1; failures != 0; operation++) {
        failures = 0;
        MemoryDisk disk;
        disk.injectedError = StorageErrorCode::OutOfResources;
        auto storage = RaftStorage::open(disk, "first");
        REQUIRE(storage);
        disk.firstFaultyOperation = disk.operationCount + operation;
        disk.faultyOperationCount = 3;
        INFO("disk full from operation " << operation);
        for (const auto& it : workload()) {
            while (true) {
                auto result = storage->write(it);
                if (result)
                    result = storage->sync();
                if (result)
                    break;
                failures++;
                REQUIRE(failures < 10);
                CHECK(result.error().code == StorageErrorCode::OutOfResources);
                CHECK_FALSE(storage->sync());
                while (!storage->resume()) {
                    failures++;
                    REQUIRE(failures < 10);
                }
            }
        }
        disk.simulatePowerLoss();
        auto reopened = RaftStorage::open(disk, "second");
        REQUIRE(reopened);
        auto expected = modelAfter(workload().size());
        checkRecovered(reopened->recovered(), expected, expected);
        CHECK(reopened->recovered().entries.size() == expected.log.size());
    }
}

// Guards against a replica that does not start on a full disk because it cannot clean up.
TEST_CASE("a folder opens although older files cannot be removed", "[storage]")
{
    MemoryDisk disk;
    size_t ackedCount = 0;
    REQUIRE_FALSE(runWorkload(disk, ackedCount));
    auto expected = RaftStorage::open(disk, "x")->recovered().entries;
    auto oldSegment = std::string("log-00000000000000000000.seg");
    auto oldSnapshot = std::string("snapshot-00000000000000000001.cbor");
    disk.files[oldSegment] = { "old", 3 };
    disk.files[oldSnapshot] = { "old", 3 };
    for (auto code : { StorageErrorCode::OutOfResources, StorageErrorCode::WriteFailed }) {
        disk.injectedError = code;
        disk.firstFaultyOperation = disk.operationCount;
        disk.faultyOperationCount = 100;
        auto storage = RaftStorage::open(disk, "x");
        REQUIRE(storage);
        CHECK(storage->recovered().entries == expected);
    }
    disk.firstFaultyOperation = SIZE_MAX;
    REQUIRE(RaftStorage::open(disk, "x"));
    CHECK_FALSE(disk.files.contains(oldSegment));
    CHECK_FALSE(disk.files.contains(oldSnapshot));
}

// Guards against reading a corrupted entry, and against truncating acknowledged entries because an earlier one is corrupted.
TEST_CASE("a flipped bit is detected and loses at most the last record", "[storage]")
{
    MemoryDisk intact;
    size_t ackedCount = 0;
    REQUIRE_FALSE(runWorkload(intact, ackedCount));
    auto storage = RaftStorage::open(intact, "x");
    REQUIRE(storage);
    for (uint64_t n = 7; n <= 20; n++) {
        REQUIRE(storage->write({ .entries = { command(n, 4) } }));
        REQUIRE(storage->sync());
    }
    auto expected = RaftStorage::open(intact, "x")->recovered().entries;
    REQUIRE(expected.size() == 15);
    size_t corruptedCount = 0;
    std::mt19937_64 random(1);
    for (int n = 0; n < 2000; n++) {
        MemoryDisk disk = intact;
        auto file = std::next(disk.files.begin(), static_cast<std::ptrdiff_t>(random() % disk.files.size()));
        auto& bytes = file->second.bytes;
        auto at = random() % bytes.size();
        INFO(file->first << " byte " << at);
        bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << random() % 8));
        auto opened = RaftStorage::open(disk, "x");
        if (!opened) {
            CHECK(opened.error().code == StorageErrorCode::Corrupted);
            corruptedCount++;
            continue;
        }
        const auto& entries = opened->recovered().entries;
        REQUIRE(entries.size() + 1 == expected.size());
        CHECK(std::equal(entries.begin(), entries.end(), expected.begin()));
    }
    CHECK(corruptedCount > 1000);
}

// Guards against treating a folder with a missing file as empty, which would let the replica vote twice in a term.
TEST_CASE("a missing file is corruption, and an empty folder gets the new storage id", "[storage]")
{
    MemoryDisk intact;
    size_t ackedCount = 0;
    REQUIRE_FALSE(runWorkload(intact, ackedCount));
    for (const auto& [name, file] : intact.files) {
        INFO(name);
        MemoryDisk disk = intact;
        disk.files.erase(name);
        auto opened = RaftStorage::open(disk, "x");
        REQUIRE_FALSE(opened);
        CHECK(opened.error().code == StorageErrorCode::Corrupted);
    }
    MemoryDisk empty;
    CHECK(RaftStorage::open(empty, "new")->recovered().storageId == "new");
}

// Guards against faults with real files that files in memory cannot show, and against two processes on one folder.
TEST_CASE("a real folder keeps its content, truncates a torn write and admits one process", "[storage]")
{
    auto path = std::filesystem::temp_directory_path() / ("vanillalift-storage-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path);
    {
        auto disk = openFolder(path.string());
        REQUIRE(disk);
        size_t ackedCount = 0;
        CHECK_FALSE(runWorkload(**disk, ackedCount));
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
    auto reopened = RaftStorage::open(**disk, "x");
    REQUIRE(reopened);
    CHECK(reopened->recovered().entries == std::vector<LogEntry> { command(6, 5) });
    std::filesystem::remove_all(path);
}
