#pragma once

#include "net/http_p.h"

#include <functional>
#include <string_view>

namespace vanillalift::node {

/// Passes the metrics of the process and of the server that its callers use to visit.
void visitProcessMetrics(const net::HttpServer& server, const std::function<void(std::string_view name, std::string_view help, double value)>& visit);

} // namespace vanillalift::node
