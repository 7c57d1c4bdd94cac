#pragma once

#include "messages_p.h"

#include <vanillalift/clock.h>

#include <map>
#include <string>

namespace vanillalift::node {

/// The newest heartbeat of each endpoint that reports to this controller.
class HeartbeatCache {
public:
    struct Entry {
        HeartbeatRequest request;
        TimePoint receivedAt;
    };

    /// Ignores a heartbeat that is older than the one it has.
    void add(const HeartbeatRequest& request, TimePoint now);
    void remove(const std::string& endpointId) { m_entries.erase(endpointId); }
    /// Removes heartbeats that arrived before the time.
    void prune(TimePoint oldest);
    [[nodiscard]] const std::map<std::string, Entry>& all() const { return m_entries; }

private:
    std::map<std::string, Entry> m_entries;
};

} // namespace vanillalift::node
