#pragma once

#include <vanillalift/endpoint.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace vanillalift::standin {

/// Announces an endpoint to each entry once a second. Each entry has its own thread, so that an unreachable entry does not delay
/// the others.
class Announcer {
public:
    /// @param running returns the number of running requests.
    Announcer(Announcement announcement, const std::vector<std::string>& entries, std::function<int64_t()> running);
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;
    ~Announcer();

    /// Sets the announced state to Leaving and announces it to each entry immediately.
    void announceLeaving();

private:
    void announceTo(const std::string& entry);
    /// @returns the next announcement. State and sequence are read under one lock, so that a newer sequence never carries an older
    /// state.
    Announcement nextAnnouncement();

    std::function<int64_t()> m_running;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Announcement m_announcement;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace vanillalift::standin
