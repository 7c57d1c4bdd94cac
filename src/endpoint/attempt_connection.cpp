#include "attempt_connection_p.h"

#include "response_check_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift {

namespace {

    /// The library parses the status line with a recursive regular expression, whose stack usage grows with the line.
    constexpr size_t maxHeadBytes = 16U << 10U;
    /// Allows for the overhead of chunked encoding: a chunk of one byte takes six.
    constexpr size_t maxResponseBytes = maxHeadBytes + 6 * config::maxBodyBytes;
    constexpr std::chrono::milliseconds connectTimeout { 1000 };

} // namespace

AttemptConnection::AttemptConnection(const std::string& host, int port, const Clock& clock)
    : ClientImpl(host, port)
    , m_clock(clock)
{
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_follow_location(false);
    // The request target and the response body are passed on unmodified.
    set_url_encode(false);
    set_decompress(false);
}

bool AttemptConnection::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback)
{
    AttemptStream stream(socket.sock, m_clock, m_deadline, maxHeadBytes);
    m_stream = &stream;
    bool isComplete = callback(stream);
    m_stream = nullptr;
    m_bytesWritten = stream.bytesWritten();
    m_bytesRead = stream.bytesRead();
    m_status = stream.status();
    m_hasExtraBytes = isComplete && is_socket_open() != 0 && stream.hasExtraBytes();
    return isComplete;
}

AttemptResult AttemptConnection::failureResult(const std::string& error) const
{
    if (m_bytesWritten == 0)
        return AttemptNotSent { error };
    if (m_status == StreamStatus::TimedOut)
        return AttemptFailed { Reason::DeadlinePassed, "the deadline passed before the response was complete" };
    if (m_status == StreamStatus::Oversized)
        return AttemptFailed { Reason::EndpointFailed, "the response exceeds the size limit" };
    if (m_status == StreamStatus::ClosedByPeer && m_bytesRead > 0)
        return AttemptFailed { Reason::AnswerTruncated, "the endpoint closed the connection within the response" };
    if (m_status == StreamStatus::ClosedByPeer)
        return AttemptFailed { Reason::EndpointFailed, "the endpoint closed the connection without a response" };
    return AttemptFailed { Reason::EndpointFailed, m_bytesRead > 0 ? "the response is malformed" : error };
}

ExchangeResult AttemptConnection::exchange(const AttemptDesc& desc)
{
    bool isReused = is_socket_open() != 0;
    if (isReused && !isIdleSocketUsable(socket())) {
        stop();
        isReused = false;
    }
    auto remainingMs = millisecondsUntil(desc.deadline, m_clock.now());
    if (remainingMs <= 0)
        return { AttemptNotSent { "the deadline has passed" }, isReused, false };
    set_connection_timeout(std::min<std::chrono::milliseconds>(std::chrono::milliseconds(remainingMs), connectTimeout));
    m_deadline = desc.deadline;
    m_bytesWritten = m_bytesRead = 0;
    m_status = StreamStatus::Open;
    m_hasExtraBytes = false;

    ResponseHead head;
    std::string body;
    bool isTooLarge = false;
    auto request = makeEndpointRequest(desc, remainingMs);
    request.response_handler = [&](const httplib::Response& response) {
        head = checkResponseHead(desc, response);
        m_stream->setMaxReadBytes(maxResponseBytes);
        return !head.rejection && response.status != 304;
    };
    request.content_receiver = [&](const char* data, size_t n, uint64_t /*offset*/, uint64_t /*total*/) {
        isTooLarge = body.size() + n > config::maxBodyBytes;
        if (!isTooLarge)
            body.append(data, n);
        return !isTooLarge;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool isComplete = send(request, response, error);
    bool isReusable = isComplete && !m_hasExtraBytes && is_socket_open() != 0;
    if (head.isNotStarted)
        return { AttemptNotStarted {}, isReusable, false };
    if (head.rejection)
        return { *head.rejection, false, false };
    if (isTooLarge)
        return { AttemptFailed { Reason::EndpointFailed, "the response exceeds the size limit" }, false, false };
    if (isComplete || (response.status == 304 && error == httplib::Error::Canceled))
        return { AttemptAnswered { makeAnswer(response, std::move(body)) }, isReusable, false };
    bool isRetryable = isReused && m_bytesWritten == 0 && m_status == StreamStatus::ClosedByPeer;
    return { failureResult(httplib::to_string(error)), false, isRetryable };
}

} // namespace vanillalift
