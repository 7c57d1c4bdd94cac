#pragma once

#include "simulated_platform_p.h"

#include <httplib.h>

#include <functional>

namespace vanillalift::standin {

/// Adds the routes of the platform's HTTP interface to @p server.
/// @param nowMs returns the current time in milliseconds.
void addPlatformRoutes(httplib::Server& server, SimulatedPlatform& platform, const std::function<int64_t()>& nowMs);

} // namespace vanillalift::standin
