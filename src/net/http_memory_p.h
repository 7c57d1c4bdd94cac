#pragma once

#include "event_loop_p.h"

#include <functional>
#include <list>

namespace vanillalift::net {

/// Bounds the memory of HTTP connections: requests that are not complete, and responses that their clients have not read. The servers
/// of a process share one. Over the limit, those who have held memory longest are asked to release it.
class HttpMemory {
public:
    /// Memory of one connection.
    class Holder {
    public:
        /// @param onReclaim asks for the release of the memory, from the event loop. It may destroy the holder.
        Holder(HttpMemory& memory, std::function<void()> onReclaim);
        ~Holder();
        Holder(const Holder&) = delete;
        Holder& operator=(const Holder&) = delete;

        /// Sets the number of bytes held. A holder that has held nothing becomes the youngest.
        void update(size_t bytes);

    private:
        friend class HttpMemory;
        HttpMemory& m_memory;
        std::function<void()> m_onReclaim;
        size_t m_bytes = 0;
        /// In one of the lists of the memory.
        std::list<Holder*>::iterator m_position;
    };

    HttpMemory(EventLoop& loop, const Clock& clock, size_t limitBytes);

    [[nodiscard]] size_t usedBytes() const { return m_usedBytes; }

private:
    void reclaim();

    const Clock& m_clock;
    size_t m_limitBytes;
    size_t m_usedBytes = 0;
    bool m_isReclaiming = false;
    /// Oldest first.
    std::list<Holder*> m_holding;
    std::list<Holder*> m_empty;
    Timer m_timer;
};

} // namespace vanillalift::net
