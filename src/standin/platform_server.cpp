#include "platform_server_p.h"

#include <array>

namespace vanillalift::standin {

using nlohmann::json;

namespace {

    int httpStatusOf(PlatformErrorCode code)
    {
        constexpr std::array<int, static_cast<size_t>(PlatformErrorCode::PlatformErrorCodeCount)> codes { 503, 409, 404, 503, 400 };
        return codes.at(static_cast<size_t>(code));
    }

    void respond(httplib::Response& response, const PlatformResult& result)
    {
        json body { { "accepted", result.has_value() } };
        if (!result) {
            response.status = httpStatusOf(result.error().code);
            body["fault"] = platformErrorCodeName(result.error().code);
            body["detail"] = result.error().detail;
        }
        response.set_content(body.dump(), "application/json");
    }

} // namespace

void addPlatformRoutes(httplib::Server& server, SimulatedPlatform& platform, const std::function<int64_t()>& nowMs)
{
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1000000);
    server.set_payload_max_length(1U << 20U);
    for (size_t n = 0; n < static_cast<size_t>(PlatformOperation::PlatformOperationCount); ++n) {
        auto operation = static_cast<PlatformOperation>(n);
        server.Post("/v1/" + std::string(platformOperationName(operation)), [&platform, nowMs, operation](const httplib::Request& request, httplib::Response& response) {
            auto parsed = platformRequestFromJson(operation, json::parse(request.body, nullptr, false));
            if (!parsed)
                return respond(response, tl::unexpected(PlatformError { PlatformErrorCode::Malformed, "needs instance, pool, action and term" }));
            respond(response, platform.request(*parsed, nowMs()));
        });
    }
    server.Get("/v1/instances", [&platform, nowMs](const httplib::Request& /*request*/, httplib::Response& response) {
        response.set_content(toJson(platform.instances(nowMs())).dump(), "application/json");
    });
}

} // namespace vanillalift::standin
