#pragma once

#include <vanillalift/authority.h>
#include <vanillalift/request.h>

#include <atomic>

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace vanillalift {

/// HTTP front end for callers: parses requests, checks keys, and writes outcomes as responses.
class CallerServer {
public:
    CallerServer(const Clock& clock, const Authority& authority, RequestHandler& handler);

    /// Adds the routes /s/{service}/{path} to the server.
    void addRoutes(httplib::Server& server);

private:
    void serve(const httplib::Request& httpRequest, httplib::Response& httpResponse);
    Outcome run(const httplib::Request& httpRequest);

    const Clock& m_clock;
    const Authority& m_authority;
    RequestHandler& m_handler;
    std::atomic<uint64_t> m_generatedIds { 0 };
};

} // namespace vanillalift
