#include "net_fixture.h"
#include "replica/log_driver_p.h"

#include <csignal>
#include <filesystem>
#include <sys/resource.h>
#include <sys/wait.h>

using namespace vanillalift;
using namespace vanillalift::raft;

namespace {

constexpr uid_t unprivilegedUser = 65534;
constexpr rlim_t smallFileBytes = 200;

/// Limits a resource of this process, whose hard limit stays.
void limit(__rlimit_resource resource, rlim_t value)
{
    rlimit previous {};
    getrlimit(resource, &previous);
    previous.rlim_cur = value;
    setrlimit(resource, &previous);
}

/// Writes a batch on a host that allows no thread, and first finds no room for it.
/// @returns 0 if it was written once there was room.
int writeWithoutThread(const std::string& path)
{
    std::signal(SIGXFSZ, SIG_IGN);
    if (geteuid() == 0 && (setgid(unprivilegedUser) != 0 || setuid(unprivilegedUser) != 0))
        return 2;
    limit(RLIMIT_NPROC, 0);
    auto disk = openFolder(path);
    auto storage = disk ? RaftStorage::open(**disk, "storage") : tl::unexpected(disk.error());
    if (!storage)
        return 3;
    net::EventLoop loop;
    std::vector<StorageResult<void>> results;
    StorageWriter writer(loop, std::move(*storage), [&](StorageResult<void> it) {
        results.push_back(std::move(it));
        limit(RLIMIT_FSIZE, RLIM_INFINITY);
    });
    limit(RLIMIT_FSIZE, smallFileBytes);
    LogEntry entry { 1, 1, EntryKind::Command, std::string(2 * smallFileBytes, 'x') };
    writer.write({ { .entries = { entry } } });
    net::runUntil(loop, [&] { return results.size() == 2; });
    if (results[0] || results[0].error().code != StorageErrorCode::OutOfResources || !results[1])
        return 4;
    return RaftStorage::open(**disk, "other")->recovered().entries == std::vector { entry } ? 0 : 5;
}

} // namespace

// Guards against a controller that ends at each start because the host allows it no thread.
TEST_CASE("a storage without a thread of its own writes on the event loop, and waits for room", "[storage]")
{
    auto path = std::filesystem::temp_directory_path() / ("storage-writer-" + std::to_string(getpid()));
    std::filesystem::create_directories(path);
    std::filesystem::permissions(path, std::filesystem::perms::all);
    auto pid = fork();
    REQUIRE(pid >= 0);
    if (pid == 0)
        _exit(writeWithoutThread(path));
    int status = 0;
    REQUIRE(waitpid(pid, &status, 0) == pid);
    std::filesystem::remove_all(path);
    CAPTURE(status);
    CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
}
