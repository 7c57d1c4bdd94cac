#include "caller_server_p.h"

#include <httplib.h>

#include <charconv>

namespace vanillalift {

namespace {

    class OpenConnection final : public CallerConnection {
    public:
        [[nodiscard]] bool isClosed() const override { return false; }
        void onClose(std::function<void()> /*callback*/) const override { }
    };

    bool isForwardedHeader(const std::string& name)
    {
        constexpr std::array<const char*, 9> own { "Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "REMOTE_ADDR", "REMOTE_PORT", "Transfer-Encoding", "LOCAL_ADDR" };
        auto isSame = [&](const char* it) { return strcasecmp(name.c_str(), it) == 0; };
        return std::none_of(own.begin(), own.end(), isSame) && strncasecmp(name.c_str(), "Vanillalift-", 12) != 0;
    }

    bool isValidRequestId(std::string_view id)
    {
        auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
        return !id.empty() && id.size() <= config::maxRequestIdLength && std::all_of(id.begin(), id.end(), isVisible);
    }

    struct WriteOutcome {
        httplib::Response& response;
        TimePoint now;

        void operator()(const Answered& answered) const
        {
            response.status = answered.status;
            std::string contentType = "application/octet-stream";
            for (const auto& [name, value] : answered.headers) {
                if (strcasecmp(name.c_str(), "Content-Type") == 0)
                    contentType = value;
                else if (isForwardedHeader(name))
                    response.headers.emplace(name, value);
            }
            response.set_content(answered.body, contentType);
        }
        void operator()(const NotRun& refusal) const { writeRefusal("not-run", refusal.reason, refusal.detail, refusal.retryAt); }
        void operator()(const Unknown& refusal) const { writeRefusal("unknown", refusal.reason, refusal.detail, refusal.retryAt); }

        void writeRefusal(std::string_view outcome, Reason reason, const std::string& detail, TimePoint retryAt) const
        {
            response.status = reasonStatus(reason);
            response.set_header(header::reason, std::string(reasonName(reason)));
            if (retryAt > now) {
                auto ms = millisecondsUntil(retryAt, now);
                response.set_header("Retry-After", std::to_string((ms + 999) / 1000));
                response.set_header(header::retryAfterMs, std::to_string(ms));
            }
            nlohmann::json body { { "outcome", outcome }, { "reason", reasonName(reason) }, { "detail", detail } };
            response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", "application/json");
        }
    };

} // namespace

CallerServer::CallerServer(const Clock& clock, const Authority& authority, RequestHandler& handler)
    : m_clock(clock)
    , m_authority(authority)
    , m_handler(handler)
{
}

void CallerServer::addRoutes(httplib::Server& server)
{
    auto handler = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
    constexpr const char* pattern = R"(/s/([^/]+)(/.*)?)";
    server.Get(pattern, handler);
    server.Post(pattern, handler);
    server.Put(pattern, handler);
    server.Patch(pattern, handler);
    server.Delete(pattern, handler);
}

void CallerServer::serve(const httplib::Request& httpRequest, httplib::Response& httpResponse)
{
    auto outcome = run(httpRequest);
    httpResponse.set_header(header::outcome, std::string(outcomeName(outcome)));
    std::visit(WriteOutcome { httpResponse, m_clock.now() }, outcome);
}

Outcome CallerServer::run(const httplib::Request& httpRequest)
{
    auto catalog = m_authority.catalog();
    if (!catalog)
        return NotRun { Reason::ConfigurationStale, "no configuration has been received yet", {} };
    Request request;
    request.service = httpRequest.matches[1];
    auto service = catalog->findService(request.service);
    if (!service.isValid())
        return NotRun { Reason::ServiceUnknown, "no service has this name", {} };
    const auto& profile = catalog->profileOf(service);

    request.hasCallerId = httpRequest.has_header(header::requestId);
    request.id = request.hasCallerId ? httpRequest.get_header_value(header::requestId) : "generated-" + std::to_string(++m_generatedIds);
    if (!isValidRequestId(request.id))
        return NotRun { Reason::MalformedId, "the request id must be 1 to 128 visible ASCII characters", {} };

    int64_t timeoutMs = profile.timeoutMs;
    if (httpRequest.has_header(header::timeoutMs)) {
        auto text = httpRequest.get_header_value(header::timeoutMs);
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), timeoutMs);
        if (ec != std::errc {} || end != text.data() + text.size() || timeoutMs <= 0)
            return NotRun { Reason::MalformedTimeout, "the timeout must be a whole number of milliseconds above 0", {} };
    }
    request.deadline = m_clock.now() + std::chrono::milliseconds(std::min(timeoutMs, profile.timeoutMs));

    auto authorization = httpRequest.get_header_value("Authorization");
    if (authorization.rfind("Bearer ", 0) == 0) {
        auto check = checkKey(*catalog, std::string_view(authorization).substr(7));
        if (check.verdict != KeyVerdict::Accepted)
            return NotRun { check.verdict == KeyVerdict::Withdrawn ? Reason::KeyWithdrawn : Reason::KeyUnknown, "the key is not accepted", {} };
        if (!catalog->isTeamAllowed(service, check.team))
            return NotRun { Reason::TeamNotAllowed, "the service does not accept this team", {} };
        request.team = catalog->at(check.team).name;
    } else if (!profile.openToAll) {
        return NotRun { Reason::KeyMissing, "the service needs a key", {} };
    }

    request.method = httpRequest.method;
    request.target = "/" + httpRequest.target.substr(std::min(httpRequest.target.size(), request.service.size() + 4));
    request.body = httpRequest.body;
    for (const auto& [name, value] : httpRequest.headers) {
        if (isForwardedHeader(name))
            request.headers.emplace_back(name, value);
    }
    return m_handler.handle(request, OpenConnection {});
}

} // namespace vanillalift
