#include "core/event_log_p.h"
#include "node/controller_p.h"
#include "node/storage_retry_p.h"
#include "replica/raft_storage_p.h"

#include <catch2/catch.hpp>

#include "../memory_disk.h"

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace vanillalift::node;
using namespace vanillalift::raft;

namespace {

constexpr uid_t unprivilegedUser = 65534;

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
    std::filesystem::path path = std::filesystem::temp_directory_path() / ("data-folder-" + std::to_string(getpid()));
    TemporaryFolder()
    {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    ~TemporaryFolder()
    {
        std::filesystem::permissions(path, std::filesystem::perms::owner_all);
        std::filesystem::remove_all(path);
    }
};

/// Runs @p isHolding in a child process that has no rights of root.
bool holdsUnprivileged(const std::function<bool()>& isHolding)
{
    auto pid = ::fork();
    if (pid == 0) {
        bool isUnprivileged = ::geteuid() != 0 || (::setgid(unprivilegedUser) == 0 && ::setuid(unprivilegedUser) == 0);
        ::_exit(isUnprivileged && isHolding() ? 0 : 1);
    }
    int status = 1;
    ::waitpid(pid, &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/// Lets the children of this process use the folder.
void giveAway(const std::filesystem::path& path)
{
    if (::geteuid() == 0)
        REQUIRE(::chown(path.c_str(), unprivilegedUser, unprivilegedUser) == 0);
}

/// Time that passes only while the code under test waits.
struct WaitClock final : vanillalift::Clock {
    [[nodiscard]] vanillalift::TimePoint now() const override { return time; }
    vanillalift::TimePoint time { std::chrono::seconds(1) };
};

/// Lowers the soft limit of a resource of this process while it lives.
class LoweredLimit {
public:
    LoweredLimit(__rlimit_resource resource, rlim_t value)
        : m_resource(resource)
    {
        ::getrlimit(m_resource, &m_previous);
        auto lowered = m_previous;
        lowered.rlim_cur = value;
        ::setrlimit(m_resource, &lowered);
    }
    ~LoweredLimit() { ::setrlimit(m_resource, &m_previous); }
    LoweredLimit(const LoweredLimit&) = delete;
    LoweredLimit& operator=(const LoweredLimit&) = delete;

private:
    __rlimit_resource m_resource;
    rlimit m_previous {};
};

LogEntry command(uint64_t index) { return { index, 1, EntryKind::Command, "entry" }; }

ControllerDesc seed(bool isFirstStart)
{
    ControllerDesc desc;
    desc.name = "10.0.0.1:7000";
    desc.seeds = { desc.name, "10.0.0.2:7000", "10.0.0.3:7000" };
    desc.isFirstStart = isFirstStart;
    return desc;
}

/// Writes the state of a founding member that has voted, has a snapshot and has entries after it.
void writeMember(Disk& disk, vanillalift::EventLog& log)
{
    auto storage = openStorage(disk, seed(true), log);
    REQUIRE(storage);
    CHECK(storage->recovered().entries.size() == 1);
    REQUIRE(storage->write({ .hardState = HardState { 5, "b" }, .entries = { command(2) } }));
    REQUIRE(storage->sync());
    REQUIRE(storage->write({ .snapshot = Snapshot { 2, 1, {}, std::make_shared<std::string>("state") } }));
    REQUIRE(storage->write({ .entries = { command(3) } }));
    REQUIRE(storage->sync());
}

/// Whether the state is that of a controller that has never been a member.
bool isNewcomer(const RecoveredState& state)
{
    return state.storageId != "founding" && state.hardState.term == 0 && state.hardState.vote.empty() && state.entries.empty() && state.snapshot.index == 0;
}

} // namespace

// Guards against a controller that ends at each start because it may not read the folder above its own.
TEST_CASE("a data folder opens below a parent that can be searched but not read", "[storage]")
{
    TemporaryFolder parent;
    giveAway(parent.path);
    auto existing = parent.path / "existing";
    std::filesystem::create_directory(existing);
    giveAway(existing);
    std::filesystem::permissions(parent.path, std::filesystem::perms::owner_write | std::filesystem::perms::owner_exec);
    for (const auto& it : { existing, parent.path / "missing" }) {
        INFO(it);
        CHECK(holdsUnprivileged([&] {
            auto disk = openFolder(it.string());
            return disk && (*disk)->replace("file", "bytes") && (*disk)->read("file") == "bytes";
        }));
    }
}

// Guards against a controller that ends at each start because the host grants no locks.
TEST_CASE("a folder on a host without locks is used without one", "[storage]")
{
    for (auto error : { ENOLCK, EOPNOTSUPP, ENOSYS, EINVAL }) {
        INFO(error);
        TemporaryFolder folder;
        auto disk = openFolder(folder.path.string(), [&](int, int) {
            errno = error;
            return -1;
        });
        REQUIRE(disk);
        CHECK((*disk)->replace("file", "bytes"));
    }
}

TEST_CASE("a signal during the locking of a folder does not leave it without its lock", "[storage]")
{
    TemporaryFolder folder;
    bool isInterrupted = false;
    auto disk = openFolder(folder.path.string(), [&](int fd, int operation) {
        if (std::exchange(isInterrupted, true))
            return ::flock(fd, operation);
        errno = EINTR;
        return -1;
    });
    REQUIRE(disk);
    auto second = openFolder(folder.path.string());
    REQUIRE_FALSE(second);
    CHECK(second.error().code == StorageErrorCode::Locked);
}

// Guards against a controller that refuses to start because the process before it is still ending.
TEST_CASE("a start waits for the process before it to release the folder, and not for ever", "[storage]")
{
    WaitClock clock;
    size_t pauses = 0;
    vanillalift::EventLog log(clock, STDERR_FILENO, {});
    StorageRetry retry(clock, log, [&](vanillalift::Duration it) {
        clock.time += it;
        pauses++;
    });
    StorageError locked { StorageErrorCode::Locked, "folder", "" };
    auto startedAt = clock.time;
    while (retry.wait(locked))
        REQUIRE(pauses < 10000);
    CHECK(pauses > 1);
    CHECK(clock.time - startedAt <= StorageRetry::lockTimeout);
    CHECK_FALSE(retry.wait({ StorageErrorCode::ReadFailed, "folder", "" }));
}

// Guards against a controller that ends when connections have taken all of its descriptors.
TEST_CASE("a write without a free descriptor fails for the moment and works again later", "[storage]")
{
    TemporaryFolder folder;
    auto disk = openFolder(folder.path.string());
    REQUIRE(disk);
    auto storage = RaftStorage::open(**disk, "first");
    REQUIRE(storage);
    Persist persist { .hardState = HardState { 2, "a" }, .entries = { command(1) } };
    {
        LoweredLimit limit(RLIMIT_NOFILE, 0);
        CHECK_FALSE(storage->write(persist));
        CHECK(storage->sync().error().code == StorageErrorCode::OutOfResources);
        CHECK(storage->resume().error().code == StorageErrorCode::OutOfResources);
        CHECK((*disk)->list().error().code == StorageErrorCode::OutOfResources);
        CHECK(openFolder(folder.path.string()).error().code == StorageErrorCode::OutOfResources);
    }
    REQUIRE(storage->resume());
    REQUIRE(storage->write(persist));
    REQUIRE(storage->sync());
    CHECK(RaftStorage::open(**disk, "second")->recovered().entries == persist.entries);
}

// Guards against appending to a segment that could not be opened once.
TEST_CASE("an append without a free descriptor works again later", "[storage]")
{
    TemporaryFolder folder;
    auto disk = openFolder(folder.path.string());
    REQUIRE(disk);
    auto storage = RaftStorage::open(**disk, "first");
    REQUIRE(storage);
    REQUIRE(storage->write({ .entries = { command(1) } }));
    {
        LoweredLimit limit(RLIMIT_NOFILE, 0);
        CHECK(storage->sync().error().code == StorageErrorCode::OutOfResources);
    }
    REQUIRE(storage->resume());
    REQUIRE(storage->write({ .entries = { command(1) } }));
    REQUIRE(storage->sync());
}

// Guards against a controller that ends when its log has grown to the largest file allowed.
TEST_CASE("a log at the largest file allowed is a full disk", "[storage]")
{
    TemporaryFolder folder;
    auto disk = openFolder(folder.path.string());
    REQUIRE(disk);
    auto storage = RaftStorage::open(**disk, "first");
    REQUIRE(storage);
    REQUIRE(storage->write({ .entries = { command(1) } }));
    REQUIRE(storage->sync());
    auto previousHandler = std::signal(SIGXFSZ, SIG_IGN);
    {
        LoweredLimit limit(RLIMIT_FSIZE, 60);
        CHECK(storage->write({ .entries = { command(2) } }));
        CHECK(storage->sync().error().code == StorageErrorCode::OutOfResources);
    }
    std::signal(SIGXFSZ, previousHandler);
    REQUIRE(storage->resume());
    REQUIRE(storage->write({ .entries = { command(2) } }));
    REQUIRE(storage->sync());
    CHECK(RaftStorage::open(**disk, "second")->recovered().entries == std::vector<LogEntry> { command(1), command(2) });
}

// Guards against a controller that ends at each start while the disk is full.
TEST_CASE("a start waits for resources for as long as they are missing", "[storage]")
{
    WaitClock clock;
    vanillalift::EventLog log(clock, STDERR_FILENO, {});
    StorageRetry retry(clock, log, [&](vanillalift::Duration it) { clock.time += it; });
    auto startedAt = clock.time;
    while (clock.time - startedAt < std::chrono::minutes(10))
        REQUIRE(retry.wait({ StorageErrorCode::OutOfResources, "folder", "" }));
}

// Guards against a controller that ends at each start because its folder is damaged, and against one that then votes as before or
// founds the group again.
TEST_CASE("a controller with a damaged folder starts as an empty one with a new identity", "[storage]")
{
    vanillalift::SystemClock clock;
    vanillalift::EventLog log(clock, STDERR_FILENO, {});
    auto damage = GENERATE(as<std::string>(), "cut to nothing", "missing", "overwritten", "a folder");
    auto prefix = GENERATE(as<std::string>(), "hard-state", "log-", "snapshot-");
    bool isFirstStart = GENERATE(false, true);
    INFO(prefix << " " << damage << ", first start " << isFirstStart);
    TemporaryFolder folder;
    auto disk = openFolder(folder.path.string());
    REQUIRE(disk);
    writeMember(**disk, log);
    auto names = *(*disk)->list();
    auto name = *std::find_if(names.begin(), names.end(), [&](const auto& it) { return it.starts_with(prefix); });
    auto path = folder.path / name;
    if (damage == "cut to nothing")
        std::filesystem::resize_file(path, 0);
    else if (damage == "overwritten")
        std::ofstream(path, std::ios::trunc) << "not a record";
    else
        std::filesystem::remove(path);
    if (damage == "a folder")
        std::filesystem::create_directory(path);
    auto storage = openStorage(**disk, seed(isFirstStart), log);
    REQUIRE(storage);
    CHECK(isNewcomer(storage->recovered()));
    for (const auto& it : names)
        CHECK(std::filesystem::exists(folder.path / "set-aside" / it) == (it != name || damage != "missing"));
    auto reopened = openStorage(**disk, seed(isFirstStart), log);
    REQUIRE(reopened);
    CHECK(reopened->recovered().storageId == storage->recovered().storageId);
}

// Guards against a founding member that forgets its vote, and founds the group again, because its log was cut to the first record.
TEST_CASE("a founding member without its log but with a term starts as an empty one", "[storage]")
{
    vanillalift::SystemClock clock;
    vanillalift::EventLog log(clock, STDERR_FILENO, {});
    bool isFirstStart = GENERATE(false, true);
    MemoryDisk disk;
    auto storage = RaftStorage::open(disk, "founding");
    REQUIRE(storage->write({ .hardState = HardState { 5, "b" } }));
    auto opened = openStorage(disk, seed(isFirstStart), log);
    REQUIRE(opened);
    CHECK(isNewcomer(opened->recovered()));
}

// Guards against a state that looks sound because a crash has left only a part of the damaged one.
TEST_CASE("a crash while a damaged folder is set aside brings back neither identity nor group", "[storage]")
{
    vanillalift::SystemClock clock;
    vanillalift::EventLog log(clock, STDERR_FILENO, {});
    bool isSnapshotDamaged = GENERATE(false, true);
    bool hasCrashed = true;
    for (size_t operation = 0; hasCrashed; operation++) {
        for (uint64_t seedOfDisk = 1; seedOfDisk <= 20; seedOfDisk++) {
            INFO("crash at operation " << operation << ", seed " << seedOfDisk);
            MemoryDisk disk;
            disk.random.seed(seedOfDisk);
            if (isSnapshotDamaged) {
                // Without its snapshot, this state is one that was valid before.
                auto storage = openStorage(disk, seed(true), log);
                REQUIRE(storage->write({ .hardState = HardState { 5, "b" }, .entries = { command(2) } }));
                REQUIRE(storage->sync());
                disk.files["snapshot-00000000000000000002.cbor"] = {};
            } else {
                writeMember(disk, log);
                disk.files.at("hard-state") = {};
            }
            disk.firstFaultyOperation = disk.operationCount + operation;
            hasCrashed = false;
            try {
                auto storage = openStorage(disk, seed(true), log);
                CHECK(storage);
            } catch (const SimulatedCrash&) {
                hasCrashed = true;
            }
            disk.simulatePowerLoss();
            auto storage = openStorage(disk, seed(true), log);
            REQUIRE(storage);
            CHECK(isNewcomer(storage->recovered()));
            CHECK(disk.filesSetAside.contains("hard-state"));
        }
    }
}

TEST_CASE("only the newest set of damaged files is kept, and an interrupted move is finished", "[storage]")
{
    vanillalift::SystemClock clock;
    vanillalift::EventLog log(clock, STDERR_FILENO, {});
    TemporaryFolder folder;
    auto disk = openFolder(folder.path.string());
    REQUIRE(disk);
    writeMember(**disk, log);
    std::filesystem::create_directory(folder.path / "set-aside");
    std::ofstream(folder.path / "set-aside" / "older") << "x";
    std::filesystem::create_directory(folder.path / "set-aside.new");
    std::filesystem::rename(folder.path / "hard-state", folder.path / "set-aside.new" / "hard-state");
    auto storage = openStorage(**disk, seed(true), log);
    REQUIRE(storage);
    CHECK(isNewcomer(storage->recovered()));
    CHECK_FALSE(std::filesystem::exists(folder.path / "set-aside.new"));
    CHECK_FALSE(std::filesystem::exists(folder.path / "set-aside" / "older"));
    CHECK(std::filesystem::exists(folder.path / "set-aside" / "hard-state"));
}
