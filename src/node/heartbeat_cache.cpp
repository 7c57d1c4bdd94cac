#include "heartbeat_cache_p.h"

#include <utility>

namespace vanillalift::node {

void HeartbeatCache::add(const HeartbeatRequest& request, TimePoint now)
{
    auto& entry = m_entries[request.endpoint.id];
    auto age = [](const HeartbeatRequest& it) { return std::pair(it.endpoint.startedAtMs, it.sequence); };
    if (age(request) >= age(entry.request))
        entry = { request, now };
}

void HeartbeatCache::prune(TimePoint oldest)
{
    std::erase_if(m_entries, [&](const auto& it) { return it.second.receivedAt < oldest; });
}

} // namespace vanillalift::node
