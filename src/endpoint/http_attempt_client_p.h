#pragma once

#include <vanillalift/endpoint.h>

#include <map>
#include <memory>
#include <mutex>

namespace vanillalift {

class AttemptConnection;

/// Sends attempts over kept HTTP connections. Add it to the EndpointTable as a listener, so that connections to
/// endpoints that are gone are closed. Thread-safe.
class HttpAttemptClient final : public AttemptClient, public EndpointPoolListener {
public:
    explicit HttpAttemptClient(const Clock& clock);
    ~HttpAttemptClient() override;

    AttemptResult send(const AttemptDesc& desc) override;

    void endpointsChanged(std::string_view /*service*/) override { }
    void endpointRemoved(std::string_view address, uint64_t incarnation) override;

    /// @returns the connections to any incarnation at the address that are kept for further attempts.
    [[nodiscard]] size_t idleConnections(std::string_view address) const;

private:
    using ConnectionPtr = std::unique_ptr<AttemptConnection>;
    /// Connections to one incarnation.
    struct Pool {
        std::vector<ConnectionPtr> idle;
        int64_t inUse = 0;
        /// Bound given with the latest attempt; 0 means none.
        int64_t bound = 0;
        bool isRemoved = false;
    };
    using Key = std::pair<std::string, uint64_t>;

    /// @returns whether the bound allows a connection; @p connection is an idle one or null.
    bool checkOut(const Key& key, int64_t bound, ConnectionPtr& connection);
    void checkIn(const Key& key, ConnectionPtr connection);

    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::map<Key, Pool> m_pools;
};

} // namespace vanillalift
