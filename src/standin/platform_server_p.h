#pragma once

#include "simulated_platform_p.h"

#include <httplib.h>

#include <functional>

namespace vanillalift::standin {

/// Adds the platform's HTTP interface to a server.
/// @param nowMs source of time.
void addPlatformRoutes(httplib::Server& server, SimulatedPlatform& work, const std::function<int64_t()>& nowMs);

} // namespace vanillalift::standin
