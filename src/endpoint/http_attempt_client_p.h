#pragma once

#include <vanillalift/endpoint.h>

namespace vanillalift {

/// Sends attempts over cpp-httplib, one new connection for each attempt.
class HttpAttemptClient final : public AttemptClient {
public:
    explicit HttpAttemptClient(const Clock& clock);
    AttemptResult send(const AttemptDesc& desc) override;

private:
    const Clock& m_clock;
};

} // namespace vanillalift
