#include "core/event_log_p.h"
#include "node/storage_retry_p.h"
#include "replica/raft_storage_p.h"

#include <catch2/catch.hpp>

#include <cerrno>
#include <csignal>
#include <filesystem>
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
