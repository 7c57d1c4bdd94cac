#pragma once

#include "endpoint_table_p.h"

namespace httplib {
class Server;
}

namespace vanillalift {

/// HTTP handler of POST /v1/announce, by which endpoints announce themselves.
class AnnouncementServer {
public:
    /// @param entry name of this entry, returned to the endpoints.
    /// @param entryCount number of entries, returned to the endpoints.
    AnnouncementServer(std::string entry, int64_t entryCount, EndpointTable& endpoints, const Clock& clock);

    /// Adds the route. This object must outlive the server's last request.
    void addRoutes(httplib::Server& server);

private:
    std::string m_entry;
    int64_t m_entryCount;
    EndpointTable& m_endpoints;
    const Clock& m_clock;
};

} // namespace vanillalift
