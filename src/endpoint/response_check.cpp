#include "response_check_p.h"

#include <vanillalift/config.h>
#include <vanillalift/request.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace vanillalift {

namespace {

    bool isOneOf(const std::string& name, std::span<const char* const> names)
    {
        return std::any_of(names.begin(), names.end(), [&](const char* it) { return strcasecmp(it, name.c_str()) == 0; });
    }

    constexpr std::array hopByHopHeaders { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
    /// Headers that the client writes itself. The caller's values are dropped, as they would conflict with them.
    constexpr std::array ownHeaders { "Host", "Content-Length", "Expect", header::requestId, header::attemptId, header::team, header::timeoutMs };

    std::optional<uint64_t> parseInteger(const std::string& text)
    {
        uint64_t value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    AttemptFailed makeFailure(Reason reason, std::string detail)
    {
        return { reason, std::move(detail) };
    }

    /// Sets the content length, or the rejection if the end of the body cannot be determined.
    void checkBodyLength(const httplib::Response& response, ResponseHead& head)
    {
        auto lengthCount = response.get_header_value_count("Content-Length");
        auto encodingCount = response.get_header_value_count("Transfer-Encoding");
        bool isChunked = encodingCount == 1 && strcasecmp(response.get_header_value("Transfer-Encoding").c_str(), "chunked") == 0;
        if (lengthCount + encodingCount == 0) {
            head.rejection = makeFailure(Reason::AnswerTruncated, "the response has neither Content-Length nor chunked encoding");
            return;
        }
        head.contentLength = lengthCount == 1 ? parseInteger(response.get_header_value("Content-Length")) : std::nullopt;
        if (lengthCount + encodingCount > 1 || (!isChunked && !head.contentLength))
            head.rejection = makeFailure(Reason::EndpointFailed, "the response has a malformed or conflicting body length");
        else if (head.contentLength.value_or(0) > config::maxBodyBytes)
            head.rejection = makeFailure(Reason::EndpointFailed, "the response body exceeds the size limit");
    }

} // namespace

ResponseHead checkResponseHead(const AttemptDesc& desc, const httplib::Response& response)
{
    ResponseHead head;
    head.hasBody = desc.method != "HEAD" && response.status != 204 && response.status != 304;
    if (response.status == 503 && response.get_header_value(header::notStarted) == desc.attemptId) {
        head.isNotStarted = true;
        checkBodyLength(response, head);
        return head;
    }
    if (response.status < 200 || response.status > 599)
        head.rejection = makeFailure(Reason::EndpointFailed, "the response has the invalid status " + std::to_string(response.status));
    else if (response.get_header_value_count(header::attemptId) != 1 || response.get_header_value(header::attemptId) != desc.attemptId)
        head.rejection = makeFailure(Reason::AnswerCrossed, "the response does not carry the id of this attempt");
    else if (head.hasBody)
        checkBodyLength(response, head);
    return head;
}

httplib::Request makeEndpointRequest(const AttemptDesc& desc, int64_t timeoutMs)
{
    httplib::Request request;
    request.method = desc.method;
    request.path = desc.target;
    request.body = desc.body;
    for (const auto& [name, value] : *desc.headers) {
        if (!isOneOf(name, hopByHopHeaders) && !isOneOf(name, ownHeaders))
            request.headers.emplace(name, value);
    }
    request.headers.emplace(header::requestId, desc.requestId);
    request.headers.emplace(header::attemptId, desc.attemptId);
    request.headers.emplace(header::team, desc.team);
    request.headers.emplace(header::timeoutMs, std::to_string(timeoutMs));
    return request;
}

Answered makeAnswer(httplib::Response& response, std::string body)
{
    Answered answer { response.status, {}, std::move(body) };
    for (const auto& [name, value] : response.headers) {
        if (!isOneOf(name, hopByHopHeaders))
            answer.headers.emplace_back(name, value);
    }
    return answer;
}

} // namespace vanillalift
