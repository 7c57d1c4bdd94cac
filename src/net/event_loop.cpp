#include "event_loop_p.h"

#include <event2/event.h>
#include <glog/logging.h>

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace vanillalift::net {

EventLoop::EventLoop()
    : m_base(event_base_new())
{
    CHECK(m_base) << "libevent has no usable event backend";
    std::signal(SIGPIPE, SIG_IGN);
}

void EventLoop::run() { event_base_dispatch(m_base.get()); }

void EventLoop::stop() { event_base_loopbreak(m_base.get()); }

void EventLoop::onSignal(int signal, std::function<void()> handler)
{
    auto entry = std::make_unique<SignalHandler>(SignalHandler { std::move(handler), nullptr });
    auto call = [](evutil_socket_t, short, void* self) { static_cast<SignalHandler*>(self)->handler(); };
    entry->signalEvent.reset(evsignal_new(m_base.get(), signal, call, entry.get()));
    event_add(entry->signalEvent.get(), nullptr);
    m_signals.push_back(std::move(entry));
}

Timer::Timer(EventLoop& loop, std::function<void()> handler)
    : m_handler(std::move(handler))
{
    auto call = [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->m_handler(); };
    m_event.reset(evtimer_new(loop.base(), call, this));
}

void Timer::armAt(TimePoint deadline, TimePoint now)
{
    auto wait = std::chrono::duration_cast<std::chrono::microseconds>(std::max(deadline - now, Duration::zero()));
    timeval tv { static_cast<time_t>(wait.count() / 1000000), static_cast<suseconds_t>(wait.count() % 1000000) };
    event_add(m_event.get(), &tv);
}

void Timer::disarm() { event_del(m_event.get()); }

Waker::Waker(EventLoop& loop, std::function<void()> handler)
    : m_handler(std::move(handler))
{
    int fds[2] = { -1, -1 };
    PCHECK(pipe2(fds, O_NONBLOCK | O_CLOEXEC) == 0) << "cannot create the event loop's wake-up pipe";
    m_readEnd = fds[0];
    m_writeEnd = fds[1];
    auto call = [](evutil_socket_t fd, short, void* self) {
        char buf[64];
        while (read(fd, buf, sizeof(buf)) > 0) { }
        static_cast<Waker*>(self)->m_handler();
    };
    m_event.reset(event_new(loop.base(), m_readEnd, EV_READ | EV_PERSIST, call, this));
    event_add(m_event.get(), nullptr);
}

Waker::~Waker()
{
    m_event.reset();
    close(m_readEnd);
    close(m_writeEnd);
}

void Waker::wake() const
{
    // If the pipe is full, a wake-up is already pending.
    [[maybe_unused]] auto written = write(m_writeEnd, "w", 1);
}

} // namespace vanillalift::net
