#pragma once

#include "simulated_endpoint_p.h"

namespace vanillalift::standin {

/// HTTP server that can damage the bytes of its answers. One thread serves each connection.
class EndpointServer final : public httplib::Server {
public:
    EndpointServer(SimulatedEndpoint& work, int64_t connections);

private:
    bool process_and_close_socket(socket_t sock) override; // NOLINT(readability-identifier-naming)

    SimulatedEndpoint& m_work;
};

} // namespace vanillalift::standin
