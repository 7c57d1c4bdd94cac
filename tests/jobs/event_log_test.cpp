#include "core/event_log_p.h"
#include "net_fixture.h"
#include "node/host_setup_p.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fcntl.h>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace vanillalift;

namespace {

std::string readAll(int fd)
{
    char buf[4096];
    auto n = read(fd, buf, sizeof(buf));
    return { buf, n > 0 ? static_cast<size_t>(n) : 0 };
}

/// A pipe without blocking; the ends are closed at the end of the test.
struct Pipe {
    int fds[2] = { -1, -1 };
    Pipe() { REQUIRE(pipe2(fds, O_NONBLOCK) == 0); }
    ~Pipe()
    {
        close(fds[0]);
        close(fds[1]);
    }
};

/// Runs a function in a child process.
/// @returns its status as waitpid() gives it.
template <typename F>
int statusOfChild(F run)
{
    auto pid = fork();
    REQUIRE(pid >= 0);
    if (pid == 0)
        _exit(run());
    int status = 0;
    REQUIRE(waitpid(pid, &status, 0) == pid);
    return status;
}

/// Fills a file of at most 100 bytes with log lines.
int logIntoLimitedFile()
{
    node::prepareHost();
    rlimit limit { 100, 100 };
    char path[] = "/tmp/event-log-XXXXXX";
    int fd = mkstemp(path);
    unlink(path);
    if (fd < 0 || setrlimit(RLIMIT_FSIZE, &limit) != 0)
        return 2;
    SystemClock clock;
    EventLog log(clock, fd, {});
    for (int n = 0; n < 10; n++) {
        log.stateLine("start").field("text", std::string_view("some-value"));
        log.flush();
    }
    bool isAtLimit = lseek(fd, 0, SEEK_END) == 100;
    return isAtLimit && log.dropped() >= 8 && log.dropped() <= 10 ? 0 : 1;
}

} // namespace

TEST_CASE("a log file that reaches the largest file size does not end the process")
{
    auto status = statusOfChild(logIntoLimitedFile);
    CAPTURE(status);
    CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
}

TEST_CASE("lines whose write failed are not kept, and reported once the log can be written again")
{
    SystemClock clock;
    Pipe pipe;
    int closed = dup(pipe.fds[1]);
    int target = dup(pipe.fds[1]);
    EventLog log(clock, target, {});
    int readOnly = open("/dev/null", O_RDONLY);
    dup2(readOnly, target);
    for (int n = 0; n < 3; n++) {
        log.stateLine("lost");
        log.flush();
    }
    CHECK(log.dropped() == 3);
    log.flush();
    CHECK(log.dropped() == 3);
    dup2(closed, target);
    log.stateLine("first");
    log.flush();
    log.flush();
    auto text = readAll(pipe.fds[0]);
    CHECK(text.find("event=lost") == std::string::npos);
    CHECK(text.find("event=first") != std::string::npos);
    CHECK(text.find("event=log-dropped lines=3") != std::string::npos);
    CHECK(log.dropped() == 3);
    close(readOnly);
    close(closed);
    close(target);
}

TEST_CASE("thousands of placements a second displace no refusal, and their number is summarized")
{
    net::OffsetClock clock;
    Pipe pipe;
    fcntl(pipe.fds[1], F_SETPIPE_SZ, 1 << 20);
    EventLog log(clock, pipe.fds[1], {});
    std::string text;
    auto flush = [&] {
        log.flush();
        for (auto part = readAll(pipe.fds[0]); !part.empty(); part = readAll(pipe.fds[0]))
            text += part;
    };
    for (int second = 0; second < 5; second++) {
        for (int n = 0; n < 2000; n++) {
            log.line("place").field("n", n);
            if (n % 40 == 0)
                log.decisionLine("request").field("n", n);
            if (n % 200 == 0)
                flush();
        }
        clock.advance(std::chrono::seconds(1));
    }
    flush();
    auto count = [&](const std::string& part) {
        size_t found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
            found++;
        return found;
    };
    CHECK(count("event=request ") == 250);
    CHECK(count("event=log-summary of=place ") >= 4);
    CHECK(count("event=log-summary of=request ") == 0);
    CHECK(count("event=place ") + log.dropped() == 10000);
}

TEST_CASE("a slow reader of the log loses no line that fits the buffer")
{
    SystemClock clock;
    Pipe pipe;
    EventLog log(clock, pipe.fds[1], {});
    std::string filler(4096, 'x');
    while (write(pipe.fds[1], filler.data(), filler.size()) > 0) { }
    log.stateLine("waiting");
    log.flush();
    CHECK(log.dropped() == 0);
    std::string text;
    for (auto part = readAll(pipe.fds[0]); !part.empty(); part = readAll(pipe.fds[0]))
        text = part;
    log.flush();
    CHECK(readAll(pipe.fds[0]).find("event=waiting") != std::string::npos);
}

TEST_CASE("a log without a reader does not end the process and does not fill its memory")
{
    auto status = statusOfChild([] {
        std::signal(SIGPIPE, SIG_DFL);
        node::prepareHost();
        Pipe pipe;
        close(pipe.fds[0]);
        SystemClock clock;
        EventLog log(clock, pipe.fds[1], {});
        log.stateLine("lost");
        log.flush();
        return log.dropped() == 1 ? 0 : 1;
    });
    CAPTURE(status);
    CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
}
