#include "request_parser_p.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace vanillalift {

namespace {

    constexpr std::string_view pathPrefix = "/s/";
    constexpr std::string_view bearer = "Bearer ";

    bool isValidRequestId(std::string_view id)
    {
        auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
        return !id.empty() && id.size() <= config::maxRequestIdLength && std::all_of(id.begin(), id.end(), isVisible);
    }

    tl::unexpected<ParseRefusal> refusal(Reason reason, std::string detail)
    {
        return tl::unexpected(ParseRefusal { reason, std::move(detail) });
    }

    tl::expected<int64_t, ParseRefusal> parseTimeout(const HttpHead& head, int64_t maxTimeoutMs)
    {
        const auto* text = head.find(header::timeoutMs);
        if (!text)
            return maxTimeoutMs;
        int64_t ms = 0;
        const auto* end = text->data() + text->size();
        auto [ptr, ec] = std::from_chars(text->data(), end, ms);
        if (head.count(header::timeoutMs) > 1 || ec != std::errc {} || ptr != end || ms <= 0)
            return refusal(Reason::MalformedTimeout, "the timeout must be given once, as a positive integer of milliseconds");
        return std::min(ms, maxTimeoutMs);
    }

    std::string makeIdPrefix(const std::string& entryName)
    {
        // 64 random bits distinguish the ids that an entry generates before and after a restart.
        std::random_device random;
        uint64_t bits = (static_cast<uint64_t>(random()) << 32U) | random();
        std::array<char, 17> hex {};
        auto [end, ec] = std::to_chars(hex.data(), hex.data() + hex.size(), bits, 16);
        return entryName + "-" + std::string(hex.data(), end) + "-";
    }

} // namespace

std::string_view serviceNameFromTarget(std::string_view target)
{
    if (target.substr(0, pathPrefix.size()) != pathPrefix)
        return {};
    target.remove_prefix(pathPrefix.size());
    return target.substr(0, target.find_first_of("/?"));
}

bool isForwardedHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 11> hopByHop { "Authorization", "Connection", "Content-Length", "Expect", "Host", "Keep-Alive",
        "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
    auto isSame = [&](std::string_view it) { return equalsIgnoringCase(name, it); };
    return std::none_of(hopByHop.begin(), hopByHop.end(), isSame) && !equalsIgnoringCase(name.substr(0, 12), "Vanillalift-");
}

bool mayHaveRunEarlier(const Catalog* catalog, std::string_view input)
{
    auto lineEnd = input.find("\r\n");
    auto target = input.substr(0, lineEnd);
    target.remove_prefix(std::min(target.size(), target.find(' ') == std::string_view::npos ? target.size() : target.find(' ') + 1));
    auto service = catalog && lineEnd != std::string_view::npos ? catalog->findService(serviceNameFromTarget(target.substr(0, target.find(' ')))) : ServiceHandle {};
    if (service.isValid() && catalog->profileOf(service).idempotent)
        return false;
    if (input.find("\r\n\r\n") == std::string_view::npos)
        return true;
    std::string_view name = header::requestId;
    auto it = std::search(input.begin(), input.end(), name.begin(), name.end(), [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b)); });
    return it != input.end();
}

RequestParser::RequestParser(const Authority& authority, const std::string& entryName)
    : m_authority(authority)
    , m_idPrefix(makeIdPrefix(entryName))
{
}

RequestParser::Check RequestParser::parseId(const HttpHead& head, Request& request)
{
    const auto* id = head.find(header::requestId);
    if (!id) {
        request.id = m_idPrefix + std::to_string(++m_generatedIds);
        return {};
    }
    request.hasCallerId = true;
    if (head.count(header::requestId) > 1)
        return refusal(Reason::MalformedId, "the request id must be given at most once");
    if (!isValidRequestId(*id)) {
        // Every entry refuses this id, so no request with it can have run.
        request.hasCallerId = false;
        return refusal(Reason::MalformedId, "the request id must be 1 to 128 visible ASCII characters");
    }
    request.id = *id;
    return {};
}

RequestParser::Check RequestParser::authorize(const HttpHead& head, const Catalog& catalog, ServiceHandle service, Request& request, TimePoint now) const
{
    const auto& profile = catalog.profileOf(service);
    const auto* authorization = head.find("Authorization");
    if (head.count("Authorization") > 1)
        return refusal(Reason::MalformedHeader, "Authorization must be given at most once");
    if (authorization && !equalsIgnoringCase(authorization->substr(0, bearer.size()), bearer))
        return refusal(Reason::MalformedHeader, "Authorization must have the form: Bearer {keyId}.{secret}");
    if (!authorization && !profile.openToAll)
        return refusal(Reason::KeyMissing, "the service needs a key");
    auto leaseEnd = m_authority.leaseEnd();
    if (now >= leaseEnd) {
        if (!profile.openToAll)
            return refusal(Reason::ConfigurationStale, "this entry has no valid lease on its configuration");
        if (now - leaseEnd >= std::chrono::milliseconds(profile.isolationPeriodMs))
            return refusal(Reason::ConfigurationStale, "this entry has had no valid lease for longer than isolated_ms");
        // Without a lease no key can be verified. The service is open to all, so the request continues without a team.
        return {};
    }
    if (!authorization)
        return {};
    auto presented = std::string_view(*authorization).substr(bearer.size());
    auto check = checkKey(catalog, presented);
    if (check.verdict == KeyVerdict::Withdrawn)
        return refusal(Reason::KeyWithdrawn, "the key has been withdrawn");
    if (check.verdict != KeyVerdict::Accepted)
        return refusal(Reason::KeyUnknown, "the key is unknown");
    request.team = catalog.at(check.team).name;
    request.keyId = presented.substr(0, presented.find('.'));
    if (!catalog.isTeamAllowed(service, check.team))
        return refusal(Reason::TeamNotAllowed, "this team is not allowed to use the service");
    return {};
}

tl::expected<Request, ParseRefusal> RequestParser::parse(const HttpHead& head, TimePoint now)
{
    Request request;
    bool isIdempotent = false;
    auto withRequestData = [&](ParseRefusal it) {
        it.mayHaveRun = request.hasCallerId && !isIdempotent;
        it.service = request.service;
        it.team = request.team;
        it.requestId = request.id;
        return tl::unexpected(std::move(it));
    };
    auto catalog = m_authority.catalog();
    ServiceHandle service;
    if (catalog) {
        service = catalog->findService(serviceNameFromTarget(head.target));
        isIdempotent = service.isValid() && catalog->profileOf(service).idempotent;
    }
    if (auto check = parseId(head, request); !check)
        return withRequestData(check.error());
    if (!catalog)
        return withRequestData({ Reason::ConfigurationStale, "no configuration has been received yet" });
    if (!service.isValid())
        return withRequestData({ Reason::ServiceUnknown, "no service has this name" });
    request.service = catalog->at(service).name;
    auto timeoutMs = parseTimeout(head, catalog->profileOf(service).timeoutMs);
    if (!timeoutMs)
        return withRequestData(timeoutMs.error());
    request.deadline = now + std::chrono::milliseconds(*timeoutMs);
    if (auto check = authorize(head, *catalog, service, request, now); !check)
        return withRequestData(check.error());
    request.method = head.method;
    request.target = head.target.substr(pathPrefix.size() + request.service.size());
    if (request.target.empty() || request.target.front() != '/')
        request.target.insert(0, "/");
    for (const auto& [name, value] : head.headers) {
        if (isForwardedHeader(name) && !head.hasConnectionOption(name))
            request.headers.emplace_back(name, value);
    }
    return request;
}

} // namespace vanillalift
