#pragma once

#include <vanillalift/endpoint.h>

#include <map>
#include <memory>
#include <mutex>

namespace vanillalift {

class AttemptConnection;

/// Sends attempts over persistent HTTP connections. Add it to the EndpointTable as a listener, so that the connections
/// to removed endpoints are closed. Thread-safe.
class HttpAttemptClient final : public AttemptClient, public EndpointPoolListener {
public:
    explicit HttpAttemptClient(const Clock& clock);
    ~HttpAttemptClient() override;

    AttemptResult send(const AttemptDesc& desc) override;

    void endpointsChanged(std::string_view /*service*/) override { }
    void endpointRemoved(std::string_view address, uint64_t incarnation) override;

    /// @returns the number of idle connections to all incarnations at the address.
    [[nodiscard]] size_t idleConnections(std::string_view address) const;

private:
    using ConnectionPtr = std::unique_ptr<AttemptConnection>;
    /// Connections to one endpoint incarnation.
    struct Pool {
        std::vector<ConnectionPtr> idle;
        int64_t inUse = 0;
        /// From the latest attempt; 0 means no limit.
        int64_t maxConnections = 0;
        bool isRemoved = false;
    };
    /// Address and incarnation.
    using Key = std::pair<std::string, uint64_t>;

    /// @param connection receives an idle connection, or null if the caller has to open one.
    /// @returns false if @p maxConnections connections are in use.
    bool checkOut(const Key& key, int64_t maxConnections, ConnectionPtr& connection);
    /// Returns a connection to the pool.
    /// @param connection null if it was closed.
    void checkIn(const Key& key, ConnectionPtr connection);

    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::map<Key, Pool> m_pools;
};

} // namespace vanillalift
