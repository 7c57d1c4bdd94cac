#include "caller_server_p.h"

#include <glog/logging.h>

namespace vanillalift {

namespace {

    constexpr const char* routePrefix = "/s/";
    /// Retry delay for refusals that are retryable but have no estimate of their own.
    constexpr std::chrono::milliseconds defaultRetryDelay { 1000 };

    bool isRetryable(Reason reason)
    {
        int status = reasonStatus(reason);
        return status == 429 || status == 503 || status == 504 || reason == Reason::InProgress;
    }

    bool hasLineBreak(std::string_view value) { return value.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos; }

    /// Reason, detail and retry delay of an outcome without a response of an endpoint.
    struct RefusalView {
        Reason reason;
        std::string_view detail;
        int64_t retryAfterMs;
    };

    struct ToRefusalView {
        TimePoint now;

        std::optional<RefusalView> operator()(const Answered& /*answered*/) const { return std::nullopt; }
        template <typename Refusal>
        std::optional<RefusalView> operator()(const Refusal& it) const
        {
            auto retryAt = it.retryAt;
            if (retryAt <= now && isRetryable(it.reason))
                retryAt = now + defaultRetryDelay;
            return RefusalView { it.reason, it.detail, millisecondsUntil(retryAt, now) };
        }
    };

    /// Clears the close callback when handle() returns, since the callback refers to data of that call.
    struct CloseCallbackScope {
        const HttpConnection& connection;
        ~CloseCallbackScope() { connection.clearCloseCallback(); }
    };

    void writeResponse(httplib::Response& response, const Answered& answered)
    {
        response.status = answered.status;
        for (const auto& [name, value] : answered.headers) {
            // Prevents header injection by an endpoint: a line break in a value would start another header.
            if (isForwardedHeader(name) && !hasLineBreak(value))
                response.headers.emplace(name, value);
        }
        response.body = answered.body;
        // Without a Content-Type, cpp-httplib would declare the body as text/plain.
        if (!response.body.empty() && !response.has_header("Content-Type"))
            response.set_header("Content-Type", "application/octet-stream");
    }

    void writeRefusal(httplib::Response& response, std::string_view outcome, const RefusalView& refusal)
    {
        response.status = reasonStatus(refusal.reason);
        response.set_header(header::reason, std::string(reasonName(refusal.reason)));
        if (refusal.retryAfterMs > 0) {
            response.set_header("Retry-After", std::to_string((refusal.retryAfterMs + 999) / 1000));
            response.set_header(header::retryAfterMs, std::to_string(refusal.retryAfterMs));
        }
        nlohmann::json body { { "outcome", outcome }, { "reason", reasonName(refusal.reason) }, { "detail", refusal.detail } };
        response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", "application/json");
    }

} // namespace

CallerServer::CallerServer(CallerServerDesc desc, const Clock& clock, const Authority& authority, RequestHandler& handler, Metrics& metrics, DecisionLog& decisions, BurnLog& burns)
    : m_clock(clock)
    , m_authority(authority)
    , m_handler(handler)
    , m_metrics(metrics)
    , m_decisions(decisions)
    , m_burns(burns)
    , m_parser(authority, desc.entryName)
    , m_server(completeDesc(std::move(desc.http)))
{
    addRoutes();
}

HttpServerDesc CallerServer::completeDesc(HttpServerDesc http)
{
    http.routePrefix = routePrefix;
    http.classifyRefusal = [this](const HttpRefusal& refusal) { return classifyRefusal(refusal); };
    return http;
}

void CallerServer::addRoutes()
{
    auto handler = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
    m_server.Get(routePrefix, handler);
    m_server.Post(routePrefix, handler);
    m_server.Put(routePrefix, handler);
    m_server.Patch(routePrefix, handler);
    m_server.Delete(routePrefix, handler);
    m_server.Options(routePrefix, handler);
    m_server.set_error_handler(httplib::Server::HandlerWithResponse([this](const httplib::Request& /*request*/, httplib::Response& response) { return writeError(response); }));
}

httplib::Server::HandlerResponse CallerServer::writeError(httplib::Response& response)
{
    if (response.has_header(header::outcome))
        return httplib::Server::HandlerResponse::Unhandled;
    const auto* connection = HttpServer::current();
    HttpRefusal refusal { Reason::MalformedHeader, "the request body is truncated or malformed", {} };
    if (response.status == 404)
        refusal = { Reason::ServiceUnknown, "the path must be /s/{service}/{path}", {} };
    else if (connection && connection->isBodyTooLarge())
        refusal = { Reason::PayloadTooLarge, "the request body exceeds the size limit", {} };
    // The head is complete here, so the outcome depends on the service and on whether the request has an id.
    std::string input;
    if (connection) {
        const auto& head = connection->head();
        input = head.method + " " + head.target + "\r\n" + (head.find(header::requestId) ? header::requestId : "") + "\r\n\r\n";
    }
    refusal.input = input;
    auto outcome = classifyRefusal(refusal);
    response.set_header(header::outcome, outcome);
    writeRefusal(response, outcome, { refusal.reason, refusal.detail, 0 });
    return httplib::Server::HandlerResponse::Handled;
}

std::string CallerServer::classifyRefusal(const HttpRefusal& refusal)
{
    auto catalog = m_authority.catalog();
    std::string outcome = mayHaveRunEarlier(catalog.get(), refusal.input) ? "unknown" : "not-run";
    m_metrics.count({ "", "", outcome, reasonName(refusal.reason), 0 });
    m_decisions.record({ wallClockMs(), "", "", "", outcome, refusal.reason, std::string(refusal.detail), { { "retry_after_ms", refusal.retryAfterMs } } });
    return outcome;
}

void CallerServer::serve(const httplib::Request& httpRequest, httplib::Response& httpResponse)
{
    auto receivedAt = m_clock.now();
    Request request;
    auto outcome = processRequest(HttpServer::current()->head(), httpRequest.body, request, receivedAt);
    httpResponse.set_header(header::outcome, std::string(outcomeName(outcome)));
    if (auto refusal = std::visit(ToRefusalView { m_clock.now() }, outcome))
        writeRefusal(httpResponse, outcomeName(outcome), *refusal);
    else
        writeResponse(httpResponse, std::get<Answered>(outcome));
    record(request, outcome, receivedAt);
}

Outcome CallerServer::processRequest(const HttpHead& head, std::string body, Request& request, TimePoint receivedAt)
{
    auto parsed = m_parser.parse(head, receivedAt);
    if (!parsed) {
        auto& it = parsed.error();
        request.service = it.service;
        request.team = it.team;
        request.id = it.requestId;
        if (it.mayHaveRun)
            return Unknown { it.reason, std::move(it.detail), {} };
        return NotRun { it.reason, std::move(it.detail), {} };
    }
    request = std::move(*parsed);
    request.body = std::move(body);
    if (m_isShuttingDown) {
        auto catalog = m_authority.catalog();
        auto service = catalog->findService(request.service);
        bool isIdempotent = service.isValid() && catalog->profileOf(service).idempotent;
        if (request.hasCallerId && !isIdempotent)
            return Unknown { Reason::ShuttingDown, "this entry is shutting down", {} };
        return NotRun { Reason::ShuttingDown, "this entry is shutting down", {} };
    }
    try {
        CloseCallbackScope scope { *HttpServer::current() };
        return m_handler.handle(request, scope.connection);
    } catch (const std::exception& error) {
        LOG(ERROR) << "request handler threw an exception: " << error.what();
        return Unknown { Reason::InternalError, "internal error of the entry while handling the request", {} };
    }
}

void CallerServer::record(const Request& request, const Outcome& outcome, TimePoint receivedAt)
{
    auto now = m_clock.now();
    auto refusal = std::visit(ToRefusalView { now }, outcome);
    auto seconds = std::chrono::duration<double>(now - receivedAt).count();
    m_metrics.count({ request.service, request.team, outcomeName(outcome), refusal ? reasonName(refusal->reason) : "", seconds });
    if (!request.service.empty())
        m_burns.record(request.service, isServiceFailure(outcome), now);
    if (!refusal)
        return;
    m_decisions.record({ wallClockMs(), request.service, request.team, request.id, std::string(outcomeName(outcome)), refusal->reason, std::string(refusal->detail),
        { { "retry_after_ms", refusal->retryAfterMs }, { "waited_ms", static_cast<int64_t>(seconds * 1000) },
            { "left_until_deadline_ms", millisecondsUntil(request.deadline, now) } } });
}

} // namespace vanillalift
