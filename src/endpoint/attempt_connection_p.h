#pragma once

#include "attempt_stream_p.h"

#include <vanillalift/endpoint.h>

namespace vanillalift {

/// How an exchange on a connection ended.
struct Exchange {
    AttemptResult result;
    /// Whether another attempt may use the connection.
    bool isReusable = false;
    /// Whether a new connection may be tried: the kept connection turned out closed and no byte was written.
    bool isRetryable = false;
};

/// One HTTP connection to an endpoint. The base class writes and parses; the stream counts bytes and keeps the
/// deadline. The base class opens the connection and never sends a request a second time.
class AttemptConnection final : public httplib::ClientImpl {
public:
    AttemptConnection(const std::string& host, int port, const Clock& clock);

    Exchange exchange(const AttemptDesc& desc);

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
