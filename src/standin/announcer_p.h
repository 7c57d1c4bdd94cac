#pragma once

#include <vanillalift/endpoint.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace vanillalift::standin {

/// Announces an endpoint once a second, with one thread for each entry, so that a dead entry delays no other.
class Announcer {
public:
    /// @param running returns the number of running requests.
    Announcer(Announcement announcement, const std::vector<std::string>& entries, std::function<int64_t()> running);
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;
    ~Announcer();

    /// Announces leaving to each entry at once, and from then on.
    void announceLeaving();

private:
    void run(const std::string& entry);
    /// Takes state and sequence together, so that a newer sequence never carries an older state.
    Announcement next();

    std::function<int64_t()> m_running;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Announcement m_announcement;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace vanillalift::standin
