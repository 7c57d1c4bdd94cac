#pragma once

#include "core/decision_log_p.h"
#include "core/metrics_p.h"

#include <functional>

namespace httplib {
class Server;
}

namespace vanillalift {

/// Adds the routes /healthz, /readyz, /metrics and /v1/decisions. The arguments must outlive the server.
/// @param isReady returns whether a load balancer should send new requests to this entry.
void addAdminRoutes(httplib::Server& server, Metrics& metrics, const DecisionLog& decisions, std::function<bool()> isReady);

} // namespace vanillalift
