#include "process_metrics_p.h"

#include "process_usage_p.h"

namespace vanillalift::node {

void visitProcessMetrics(const net::HttpServer& server, const std::function<void(std::string_view name, std::string_view help, double value)>& visit)
{
    auto usage = processUsage();
    visit("resident_bytes", "Resident memory of this process.", static_cast<double>(usage.residentBytes));
    visit("descriptors", "Open file descriptors of this process.", static_cast<double>(usage.descriptors));
    visit("descriptors_limit", "Limit of open file descriptors that the host sets; 0 for none.", static_cast<double>(processLimits().descriptors));
    visit("connections", "Open connections of callers.", static_cast<double>(server.openConnections()));
    visit("connections_refused_total", "Connections answered with 503 at once because too many were open.", static_cast<double>(server.stats().refusedConnections));
    visit("connections_evicted_total", "Idle connections closed in favour of new ones.", static_cast<double>(server.stats().evictedConnections));
    visit("accepts_failed_total", "Failed attempts to accept a connection, for example for lack of descriptors.", static_cast<double>(server.stats().failedAccepts));
    visit("requests_late_total", "Requests that were not complete in time.", static_cast<double>(server.stats().lateRequests));
    visit("connections_shed_total", "Connections ended because the memory for incomplete requests and unread responses was used up.", static_cast<double>(server.stats().shedConnections));
    visit("requests_abandoned_total", "Requests whose connection closed before their response was written.", static_cast<double>(server.stats().abandonedRequests));
    visit("requests_malformed_total", "Messages that could not be parsed or exceeded the limits.", static_cast<double>(server.stats().malformedRequests));
}

} // namespace vanillalift::node
