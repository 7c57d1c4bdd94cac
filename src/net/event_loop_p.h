#pragma once

#include <vanillalift/clock.h>

#include <event2/event.h>

#include <functional>
#include <memory>
#include <vector>

/// Single-threaded network I/O on libevent: event loop, HTTP/1.1, and framed connections between the system's processes.
namespace vanillalift::net {

struct EventDeleter {
    void operator()(event* it) const { event_free(it); }
    void operator()(event_base* it) const { event_base_free(it); }
};

/// Runs callbacks on one thread. Unless noted otherwise, classes of this namespace may be used on that thread only.
class EventLoop {
public:
    EventLoop();

    [[nodiscard]] event_base* base() const { return m_base.get(); }
    void run();
    void stop();
    /// Calls @p handler on the loop's thread for each delivery of @p signal.
    void onSignal(int signal, std::function<void()> handler);

private:
    struct SignalHandler {
        std::function<void()> handler;
        std::unique_ptr<event, EventDeleter> signalEvent;
    };

    std::unique_ptr<event_base, EventDeleter> m_base;
    std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

/// One-shot timer: calls its handler once the deadline has passed.
class Timer {
public:
    Timer(EventLoop& loop, std::function<void()> handler);

    void armAt(TimePoint deadline, TimePoint now);
    void disarm();

private:
    std::function<void()> m_handler;
    std::unique_ptr<event, EventDeleter> m_event;
};

/// Runs a handler on the loop's thread when any thread requests it.
class Waker {
public:
    Waker(EventLoop& loop, std::function<void()> handler);
    ~Waker();
    Waker(const Waker&) = delete;
    Waker& operator=(const Waker&) = delete;

    /// Requests a call of the handler; several requests may result in one call. Thread-safe.
    void wake() const;

private:
    std::function<void()> m_handler;
    int m_readEnd = -1;
    int m_writeEnd = -1;
    std::unique_ptr<event, EventDeleter> m_event;
};

} // namespace vanillalift::net
