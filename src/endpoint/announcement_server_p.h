#pragma once

#include "endpoint_table_p.h"

namespace httplib {
class Server;
}

namespace vanillalift {

/// Serves POST /v1/announce to endpoints.
class AnnouncementServer {
public:
    /// @param entry name of this entry, @p entryCount number of entries; both are told to the endpoints.
    AnnouncementServer(std::string entry, int64_t entryCount, EndpointTable& endpoints, const Clock& clock);

    /// Adds the route; this object must outlive the server's last request.
    void addRoutes(httplib::Server& server);

private:
    std::string m_entry;
    int64_t m_entryCount;
    EndpointTable& m_endpoints;
    const Clock& m_clock;
};

} // namespace vanillalift
