#include "admin_routes_p.h"

#include <httplib.h>

namespace vanillalift {

void addAdminRoutes(httplib::Server& server, Metrics& metrics, const DecisionLog& decisions, std::function<bool()> isReady)
{
    server.Get("/healthz", [](const httplib::Request& /*request*/, httplib::Response& response) { response.set_content("alive\n", "text/plain"); });
    server.Get("/readyz", [isReady = std::move(isReady)](const httplib::Request& /*request*/, httplib::Response& response) {
        bool isServing = isReady();
        response.status = isServing ? 200 : 503;
        response.set_content(isServing ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [&metrics](const httplib::Request& /*request*/, httplib::Response& response) { response.set_content(metrics.serialize(), "text/plain; version=0.0.4"); });
    server.Get("/v1/decisions", [&decisions](const httplib::Request& request, httplib::Response& response) {
        auto array = decisions.latest(request.get_param_value("team"));
        response.set_content(array.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", "application/json");
    });
}

} // namespace vanillalift
