#pragma once

#include "simulated_endpoint_p.h"

namespace vanillalift::standin {

/// HTTP server that can apply faults to the bytes of its responses. Each connection is served by one thread.
class EndpointServer final : public httplib::Server {
public:
    EndpointServer(SimulatedEndpoint& endpoint, int64_t connections);

private:
    bool process_and_close_socket(socket_t sock) override; // NOLINT(readability-identifier-naming)

    SimulatedEndpoint& m_endpoint;
};

} // namespace vanillalift::standin
