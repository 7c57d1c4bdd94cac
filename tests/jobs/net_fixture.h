#pragma once

#include "net/stream_p.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillalift::net {

/// @returns a loopback address on whose port no process listens.
inline Address freeAddress()
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in sin {};
    sin.sin_family = AF_INET;
    sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&sin), sizeof(sin)) == 0);
    socklen_t n = sizeof(sin);
    REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&sin), &n) == 0);
    close(fd);
    return { INADDR_LOOPBACK, ntohs(sin.sin_port) };
}

/// A clock that a test can advance.
class OffsetClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override { return BootClock::now() + m_offset; }
    void advance(Duration by) { m_offset += by; }

private:
    Duration m_offset {};
};

/// Runs the loop until the condition holds. There is no timeout here: CTest ends a test that hangs.
inline void runUntil(EventLoop& loop, const std::function<bool()>& isDone)
{
    SystemClock clock;
    Timer* next = nullptr;
    Timer timer(loop, [&] {
        if (isDone())
            return loop.stop();
        next->armAt(clock.now() + std::chrono::milliseconds(1), clock.now());
    });
    next = &timer;
    timer.armAt(clock.now(), clock.now());
    loop.run();
}

} // namespace vanillalift::net
