#pragma once

#include <vanillalift/platform.h>

#include <httplib.h>

namespace vanillalift {

/// Client of the platform's HTTP interface. Not thread-safe.
class HttpPlatform final : public Platform {
public:
    /// @param address "ip:port"
    HttpPlatform(const std::string& address, std::chrono::milliseconds timeout);

    PlatformResult request(const PlatformRequest& request) override;
    tl::expected<PlatformInstances, PlatformError> instances() override;

private:
    httplib::Client m_client;
};

} // namespace vanillalift
