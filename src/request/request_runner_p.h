#pragma once

#include <vanillalift/authority.h>
#include <vanillalift/endpoint.h>
#include <vanillalift/request.h>

#include <atomic>

namespace vanillalift {

/// Takes a request through admission, dispatch and attempts to its outcome.
class RequestRunner final : public RequestHandler {
public:
    /// @param name name of this entry, unique in the site; part of each attempt id.
    RequestRunner(std::string name, const Clock& clock, const Authority& authority, EndpointPool& endpoints, AttemptClient& client);

    Outcome handle(const Request& request, const CallerConnection& caller) override;

private:
    std::string nextAttemptId();

    std::string m_name;
    const Clock& m_clock;
    const Authority& m_authority;
    EndpointPool& m_endpoints;
    AttemptClient& m_client;
    std::atomic<uint64_t> m_attempts { 0 };
};

} // namespace vanillalift
