#include "http_platform_p.h"

namespace vanillalift {

using nlohmann::json;

namespace {

    PlatformError errorOf(const httplib::Result& result)
    {
        if (!result)
            return { PlatformErrorCode::Unreachable, httplib::to_string(result.error()) };
        if (result->status == 409)
            return { PlatformErrorCode::OldTerm, result->body };
        if (result->status == 404)
            return { PlatformErrorCode::InstanceUnknown, result->body };
        return { result->status == 400 ? PlatformErrorCode::Malformed : PlatformErrorCode::Refused, result->body };
    }

} // namespace

HttpPlatform::HttpPlatform(const std::string& address, std::chrono::milliseconds timeout)
    : m_client("http://" + address)
{
    m_client.set_keep_alive(true);
    m_client.set_tcp_nodelay(true);
    m_client.set_connection_timeout(timeout);
    m_client.set_read_timeout(timeout);
    m_client.set_write_timeout(timeout);
}

PlatformResult HttpPlatform::request(const PlatformRequest& request)
{
    auto path = "/v1/" + std::string(platformOperationName(request.operation));
    auto result = m_client.Post(path, toJson(request).dump(), "application/json");
    if (!result || result->status != 200)
        return tl::unexpected(errorOf(result));
    return {};
}

tl::expected<PlatformInstances, PlatformError> HttpPlatform::instances()
{
    auto result = m_client.Get("/v1/instances");
    if (!result || result->status != 200)
        return tl::unexpected(errorOf(result));
    auto instances = platformInstancesFromJson(json::parse(result->body, nullptr, false));
    if (!instances)
        return tl::unexpected(PlatformError { PlatformErrorCode::Malformed, "malformed instance list" });
    return *instances;
}

} // namespace vanillalift
