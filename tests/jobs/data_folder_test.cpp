#include "replica/disk_p.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <functional>
#include <sys/wait.h>
#include <unistd.h>

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
