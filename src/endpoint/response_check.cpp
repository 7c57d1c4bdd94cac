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

    constexpr std::array hopByHop { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
    /// Written by the client itself. A second copy from the caller would contradict it.
    constexpr std::array written { "Host", "Content-Length", "Expect", header::requestId, header::attemptId, header::team, header::timeoutMs };

    std::optional<uint64_t> parseInteger(const std::string& text)
    {
        uint64_t value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    AttemptFailed failed(Reason reason, std::string detail)
    {
        return { reason, std::move(detail) };
    }

    /// Fills in the length, or the verdict if the end of the body could not be recognised.
    void checkLength(const httplib::Response& response, ResponseHead& head)
    {
        auto lengths = response.get_header_value_count("Content-Length");
        auto encodings = response.get_header_value_count("Transfer-Encoding");
        bool isChunked = encodings == 1 && strcasecmp(response.get_header_value("Transfer-Encoding").c_str(), "chunked") == 0;
        if (lengths + encodings == 0) {
            head.verdict = failed(Reason::AnswerTruncated, "the answer has neither a length nor chunked encoding");
            return;
        }
        head.length = lengths == 1 ? parseInteger(response.get_header_value("Content-Length")) : std::nullopt;
        if (lengths + encodings > 1 || (!isChunked && !head.length))
            head.verdict = failed(Reason::EndpointFailed, "the answer's length is malformed or contradicts itself");
        else if (head.length.value_or(0) > config::maxBodyBytes)
            head.verdict = failed(Reason::EndpointFailed, "the answer is larger than the bound");
    }

} // namespace

ResponseHead checkResponseHead(const AttemptDesc& desc, const httplib::Response& response)
{
    ResponseHead head;
    head.hasBody = desc.method != "HEAD" && response.status != 204 && response.status != 304;
    if (response.status == 503 && response.get_header_value(header::notStarted) == desc.attemptId) {
        head.isNotStarted = true;
        checkLength(response, head);
        return head;
    }
    if (response.status < 200 || response.status > 599)
        head.verdict = failed(Reason::EndpointFailed, "the answer's status is " + std::to_string(response.status));
    else if (response.get_header_value_count(header::attemptId) != 1 || response.get_header_value(header::attemptId) != desc.attemptId)
        head.verdict = failed(Reason::AnswerCrossed, "the answer does not carry this attempt's id");
    else if (head.hasBody)
        checkLength(response, head);
    return head;
}

httplib::Request makeEndpointRequest(const AttemptDesc& desc, int64_t timeoutMs)
{
    httplib::Request request;
    request.method = desc.method;
    request.path = desc.target;
    request.body = desc.body;
    for (const auto& [name, value] : *desc.headers) {
        if (!isOneOf(name, hopByHop) && !isOneOf(name, written))
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
        if (!isOneOf(name, hopByHop))
            answer.headers.emplace_back(name, value);
    }
    return answer;
}

} // namespace vanillalift
