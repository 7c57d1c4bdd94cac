#include "announcer_p.h"

#include <httplib.h>

namespace vanillalift::standin {

namespace {

    constexpr std::chrono::seconds announceInterval { 1 };
    constexpr std::chrono::milliseconds requestTimeout { 500 };

} // namespace

Announcer::Announcer(Announcement announcement, const std::vector<std::string>& entries, std::function<int64_t()> running)
    : m_running(std::move(running))
    , m_announcement(std::move(announcement))
{
    for (const auto& it : entries)
        m_threads.emplace_back([this, it] { announceTo(it); });
}

Announcer::~Announcer()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (auto& it : m_threads)
        it.join();
}

void Announcer::announceLeaving()
{
    {
        std::lock_guard lock(m_mutex);
        m_announcement.state = EndpointState::Leaving;
    }
    m_changed.notify_all();
}

Announcement Announcer::nextAnnouncement()
{
    auto running = m_running();
    std::lock_guard lock(m_mutex);
    ++m_announcement.sequence;
    m_announcement.running = running;
    return m_announcement;
}

void Announcer::announceTo(const std::string& entry)
{
    httplib::Client client("http://" + entry);
    client.set_connection_timeout(requestTimeout);
    client.set_read_timeout(requestTimeout);
    client.set_write_timeout(requestTimeout);
    client.set_tcp_nodelay(true);
    while (true) {
        auto announcement = nextAnnouncement();
        client.Post("/v1/announce", toJson(announcement).dump(), "application/json");
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, announceInterval, [&] { return m_isStopping || m_announcement.state != announcement.state; });
        if (m_isStopping)
            return;
    }
}

} // namespace vanillalift::standin
