#include "net/event_loop_p.h"
#include "node/host_setup_p.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fcntl.h>
#include <memory>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace vanillalift;

namespace {

/// Ends a child whose event loop is not stopped by a signal.
constexpr unsigned childSeconds = 10;

/// Runs a function in a child process.
/// @returns its exit status, or the negative number of the signal that ended it.
template <typename F>
int statusOfChild(F run)
{
    auto pid = fork();
    REQUIRE(pid >= 0);
    if (pid == 0) {
        alarm(childSeconds);
        _exit(run());
    }
    int status = 0;
    REQUIRE(waitpid(pid, &status, 0) == pid);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

/// Runs an event loop that SIGTERM stops, with both signals sent before the handlers are installed.
/// @returns 0 if both were handled.
int runWithEarlySignals()
{
    node::prepareHost();
    raise(SIGHUP);
    raise(SIGTERM);
    net::EventLoop loop;
    bool hasReloaded = false;
    loop.onSignal(SIGHUP, [&] { hasReloaded = true; });
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    node::releaseSignals();
    loop.run();
    return hasReloaded ? 0 : 1;
}

} // namespace

TEST_CASE("signals that arrive during the start are handled later and do not end the process")
{
    CHECK(statusOfChild(runWithEarlySignals) == 0);
}

TEST_CASE("signals that the parent had blocked are handled")
{
    CHECK(statusOfChild([] {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return runWithEarlySignals();
    }) == 0);
}

TEST_CASE("signals that the parent had ignored are handled")
{
    CHECK(statusOfChild([] {
        std::signal(SIGHUP, SIG_IGN);
        std::signal(SIGTERM, SIG_IGN);
        return runWithEarlySignals();
    }) == 0);
}

TEST_CASE("a file opened after the start never takes the place of a closed standard stream")
{
    CHECK(statusOfChild([] {
        for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
            close(fd);
        node::prepareHost();
        return open("/", O_RDONLY) > STDERR_FILENO && write(STDOUT_FILENO, "x", 1) == 1 ? 0 : 1;
    }) == 0);
}

TEST_CASE("a soft limit of descriptors below what the settings allow is raised up to the hard limit")
{
    auto run = [](rlim_t hard, size_t expected) {
        return statusOfChild([&] {
            rlimit limit { 64, hard };
            if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
                return 2;
            auto allowed = node::allowDescriptors(500);
            return getrlimit(RLIMIT_NOFILE, &limit) == 0 && allowed == expected && limit.rlim_cur == expected ? 0 : 1;
        });
    };
    CHECK(run(1000, 500) == 0);
    CHECK(run(500, 500) == 0);
    CHECK(run(200, 200) == 0);
    CHECK(run(64, 64) == 0);
}

TEST_CASE("a soft limit of descriptors above what the settings allow stays, and does not allow more")
{
    CHECK(statusOfChild([] {
        rlimit limit { 600, 600 };
        return setrlimit(RLIMIT_NOFILE, &limit) == 0 && node::allowDescriptors(500) == 500 && getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur == 600 ? 0 : 1;
    }) == 0);
}

TEST_CASE("few descriptors leave half for files and links instead of none")
{
    CHECK(node::reservedOf(4096, 1100) == 1100);
    CHECK(node::reservedOf(64, 1100) == 32);
}

TEST_CASE("a signal after the handlers are removed does not end the process")
{
    CHECK(statusOfChild([] {
        auto status = runWithEarlySignals();
        auto loop = std::make_unique<net::EventLoop>();
        loop->onSignal(SIGHUP, [] {});
        node::holdSignals();
        loop.reset();
        raise(SIGHUP);
        return status;
    }) == 0);
}
