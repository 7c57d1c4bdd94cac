#pragma once

#include "core/burn_log_p.h"
#include "core/decision_log_p.h"
#include "core/metrics_p.h"
#include "http/http_server_p.h"
#include "request_parser_p.h"

namespace vanillalift {

struct CallerServerDesc {
    /// Name of the entry, unique within the site.
    std::string entryName;
    /// Settings of the HTTP server for callers. CallerServer sets routePrefix and classifyRefusal itself.
    HttpServerDesc http;
};

/// HTTP front end for callers: parses requests, checks keys, and sends outcomes as responses.
class CallerServer {
public:
    CallerServer(CallerServerDesc desc, const Clock& clock, const Authority& authority, RequestHandler& handler, Metrics& metrics, DecisionLog& decisions, BurnLog& burns);

    [[nodiscard]] bool start() { return m_server.start(); }
    /// Refuses new requests with the reason shutting-down. Requests in progress continue.
    void beginShutdown() { m_isShuttingDown = true; }
    /// Stops accepting and waits for the responses to requests in progress.
    void stop() { m_server.stop(); }
    [[nodiscard]] int port() const { return m_server.port(); }
    [[nodiscard]] HttpServerStats stats() const { return m_server.stats(); }

private:
    HttpServerDesc completeDesc(HttpServerDesc http);
    void addRoutes();
    void serve(const httplib::Request& httpRequest, httplib::Response& httpResponse);
    Outcome processRequest(const HttpHead& head, std::string body, Request& request, TimePoint receivedAt);
    void record(const Request& request, const Outcome& outcome, TimePoint receivedAt);
    std::string classifyRefusal(const HttpRefusal& refusal);
    httplib::Server::HandlerResponse writeError(httplib::Response& response);

    const Clock& m_clock;
    const Authority& m_authority;
    RequestHandler& m_handler;
    Metrics& m_metrics;
    DecisionLog& m_decisions;
    BurnLog& m_burns;
    RequestParser m_parser;
    std::atomic<bool> m_isShuttingDown { false };
    HttpServer m_server;
};

} // namespace vanillalift
