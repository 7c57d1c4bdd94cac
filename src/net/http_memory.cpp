#include "http_memory_p.h"

#include <utility>

namespace vanillalift::net {

HttpMemory::Holder::Holder(HttpMemory& memory, std::function<void()> onReclaim)
    : m_memory(memory)
    , m_onReclaim(std::move(onReclaim))
    , m_position(memory.m_empty.insert(memory.m_empty.end(), this))
{
}

HttpMemory::Holder::~Holder()
{
    update(0);
    m_memory.m_empty.erase(m_position);
}

void HttpMemory::Holder::update(size_t bytes)
{
    if (bytes == m_bytes)
        return;
    auto& memory = m_memory;
    if (m_bytes == 0)
        memory.m_holding.splice(memory.m_holding.end(), memory.m_empty, m_position);
    else if (bytes == 0)
        memory.m_empty.splice(memory.m_empty.end(), memory.m_holding, m_position);
    memory.m_usedBytes += bytes - m_bytes;
    m_bytes = bytes;
    // From the event loop: the caller may be in the middle of a callback of its connection.
    if (memory.m_usedBytes > memory.m_limitBytes && !std::exchange(memory.m_isReclaiming, true))
        memory.m_timer.armAt(memory.m_clock.now(), memory.m_clock.now());
}

HttpMemory::HttpMemory(EventLoop& loop, const Clock& clock, size_t limitBytes)
    : m_clock(clock)
    , m_limitBytes(limitBytes)
    , m_timer(loop, [this] { reclaim(); })
{
}

void HttpMemory::reclaim()
{
    // One that releases nothing becomes the youngest, and is asked again after all others.
    for (auto count = m_holding.size(); count > 0 && m_usedBytes > m_limitBytes && !m_holding.empty(); count--) {
        auto* oldest = m_holding.front();
        m_holding.splice(m_holding.end(), m_holding, m_holding.begin());
        oldest->m_onReclaim();
    }
    m_isReclaiming = false;
}

} // namespace vanillalift::net
