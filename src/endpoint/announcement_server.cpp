#include "announcement_server_p.h"

#include <httplib.h>

namespace vanillalift {

AnnouncementServer::AnnouncementServer(std::string entry, int64_t entryCount, EndpointTable& endpoints, const Clock& clock)
    : m_entry(std::move(entry))
    , m_entryCount(entryCount)
    , m_endpoints(endpoints)
    , m_clock(clock)
{
}

void AnnouncementServer::addRoutes(httplib::Server& server)
{
    server.Post("/v1/announce", [this](const httplib::Request& request, httplib::Response& response) {
        auto value = nlohmann::json::parse(request.body, nullptr, false);
        std::string detail;
        auto announcement = announcementFromJson(value, detail);
        if (!announcement) {
            response.status = 400;
            response.set_content(nlohmann::json { { "fault", "malformed" }, { "detail", detail } }.dump(), "application/json");
            return;
        }
        if (!m_endpoints.announce(*announcement, m_clock.now())) {
            response.status = 503;
            response.set_content(nlohmann::json { { "fault", "table-full" } }.dump(), "application/json");
            return;
        }
        response.set_content(nlohmann::json { { "entry", m_entry }, { "entries", m_entryCount } }.dump(), "application/json");
    });
}

} // namespace vanillalift
