#pragma once

#include "messages_p.h"

#include <vanillalift/clock.h>

#include <functional>
#include <map>
#include <string>

namespace vanillalift::node {

/// The newest heartbeat of each endpoint that reports to this controller.
class HeartbeatCache {
public:
    struct Entry {
        HeartbeatRequest request;
        TimePoint receivedAt;
        /// Term of the leader to which it was sent last.
        uint64_t sentInTerm = 0;
    };

    /// Ignores a heartbeat that is older than the one it has.
    /// @param term term of the leader to which it is sent, 0 if there is none.
    void add(const HeartbeatRequest& request, TimePoint now, uint64_t term);
    /// @param send sends a heartbeat to the leader of the term; returns false if it is to be passed again later.
    /// @returns the number of heartbeats sent.
    size_t sendOnce(uint64_t term, const std::function<bool(const HeartbeatRequest&)>& send);
    void remove(const std::string& endpointId) { m_entries.erase(endpointId); }
    /// Removes heartbeats that arrived before the time.
    void prune(TimePoint oldest);
    [[nodiscard]] const std::map<std::string, Entry>& all() const { return m_entries; }

private:
    std::map<std::string, Entry> m_entries;
};

} // namespace vanillalift::node
