#include "http_attempt_client_p.h"

#include <vanillalift/request.h>

#include <httplib.h>

namespace vanillalift {

namespace {

    AttemptResult judgeAnswer(const AttemptDesc& desc, const httplib::Response& response)
    {
        if (response.status == 503 && response.get_header_value(header::notStarted) == desc.attemptId)
            return AttemptNotStarted {};
        if (response.get_header_value(header::attemptId) != desc.attemptId)
            return AttemptFailed { Reason::AnswerCrossed, "the answer does not carry this attempt's id" };
        bool hasLength = response.has_header("Content-Length") || response.get_header_value("Transfer-Encoding") == "chunked";
        if (!hasLength)
            return AttemptFailed { Reason::AnswerTruncated, "the answer has neither a length nor chunked encoding" };
        Answered answer { response.status, {}, response.body };
        for (const auto& [name, value] : response.headers)
            answer.headers.emplace_back(name, value);
        return AttemptAnswered { std::move(answer) };
    }

} // namespace

HttpAttemptClient::HttpAttemptClient(const Clock& clock)
    : m_clock(clock)
{
}

AttemptResult HttpAttemptClient::send(const AttemptDesc& desc)
{
    auto remainingMs = millisecondsUntil(desc.deadline, m_clock.now());
    if (remainingMs <= 0)
        return AttemptNotSent { "the deadline has passed" };
    httplib::Client client("http://" + std::string(desc.address));
    client.set_connection_timeout(std::chrono::milliseconds(std::min<int64_t>(remainingMs, 1000)));
    client.set_read_timeout(std::chrono::milliseconds(remainingMs));
    client.set_write_timeout(std::chrono::milliseconds(remainingMs));
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = desc.method;
    request.path = desc.target;
    request.body = desc.body;
    for (const auto& [name, value] : *desc.headers)
        request.headers.emplace(name, value);
    request.headers.emplace(header::requestId, desc.requestId);
    request.headers.emplace(header::attemptId, desc.attemptId);
    request.headers.emplace(header::team, desc.team);
    request.headers.emplace(header::timeoutMs, std::to_string(remainingMs));
    auto result = client.send(request);
    if (result)
        return judgeAnswer(desc, *result);
    if (result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout)
        return AttemptNotSent { httplib::to_string(result.error()) };
    return AttemptFailed { Reason::EndpointFailed, httplib::to_string(result.error()) };
}

} // namespace vanillalift
