#pragma once

#include "attempt_stream_p.h"

#include <vanillalift/endpoint.h>

namespace vanillalift {

/// Result of sending one attempt over a connection.
struct ExchangeResult {
    AttemptResult result;
    /// Whether the connection can be kept for further attempts.
    bool isReusable = false;
    /// Whether to try again on a new connection: the endpoint had closed the reused connection and no byte was written.
    bool isRetryable = false;
};

/// One HTTP connection to an endpoint. The base class opens the connection, writes requests and parses responses, and
/// never sends a request twice. AttemptStream counts the bytes and enforces the deadline.
class AttemptConnection final : public httplib::ClientImpl {
public:
    AttemptConnection(const std::string& host, int port, const Clock& clock);

    ExchangeResult exchange(const AttemptDesc& desc);

private:
    bool process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) override; // NOLINT(readability-identifier-naming)

    [[nodiscard]] AttemptResult failureResult(const std::string& error) const;

    const Clock& m_clock;
    TimePoint m_deadline;
    size_t m_bytesWritten = 0;
    size_t m_bytesRead = 0;
    bool m_hasExtraBytes = false;
    StreamStatus m_status = StreamStatus::Open;
    AttemptStream* m_stream = nullptr;
};

} // namespace vanillalift
