#include "heartbeat_cache_p.h"

#include <utility>

namespace vanillalift::node {

void HeartbeatCache::add(const HeartbeatRequest& request, TimePoint now, uint64_t term)
{
    auto& entry = m_entries[request.endpoint.id];
    auto age = [](const HeartbeatRequest& it) { return std::pair(it.endpoint.startedAtMs, it.sequence); };
    if (age(request) >= age(entry.request))
        entry = { request, now, term };
}

size_t HeartbeatCache::sendOnce(uint64_t term, const std::function<bool(const HeartbeatRequest&)>& send)
{
    size_t count = 0;
    for (auto& [id, it] : m_entries) {
        if (it.sentInTerm == term || !send(it.request))
            continue;
        it.sentInTerm = term;
        count++;
    }
    return count;
}

void HeartbeatCache::prune(TimePoint oldest)
{
    std::erase_if(m_entries, [&](const auto& it) { return it.second.receivedAt < oldest; });
}

} // namespace vanillalift::node
