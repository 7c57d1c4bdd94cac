#include "metrics_page_p.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace vanillalift::node {

namespace {

    constexpr size_t maxRequestBytes = 4096;
    constexpr size_t maxConnections = 16;
    /// Time until the address is tried again if it is in use: the process serves without its metrics.
    constexpr std::chrono::seconds listenRetryInterval { 10 };

} // namespace

MetricsPage::MetricsPage(net::EventLoop& loop, const Clock& clock, net::HttpMemory& memory, const net::Address& address, std::string prefix, std::function<void(const Visit&)> collect)
    : m_prefix(std::move(prefix))
    , m_collect(std::move(collect))
    , m_server(
          loop, clock, memory, address, maxRequestBytes, maxConnections, [this](const net::HttpRequest& request, const net::HttpServer::Respond& respond) {
              if (request.target != "/metrics")
                  return respond({ 404, {}, {} });
              if (request.method != "GET")
                  return respond(net::methodNotAllowed("GET, HEAD"));
              respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, serialize() });
          },
          listenRetryInterval)
{
}

std::string MetricsPage::serialize() const
{
    std::vector<prometheus::MetricFamily> families;
    m_collect([&](std::string_view name, std::string_view help, double value) {
        prometheus::MetricFamily family;
        family.name = m_prefix + std::string(name);
        family.help = help;
        prometheus::ClientMetric metric;
        if (name.ends_with("_total")) {
            family.type = prometheus::MetricType::Counter;
            metric.counter.value = value;
        } else {
            family.type = prometheus::MetricType::Gauge;
            metric.gauge.value = value;
        }
        family.metric.push_back(metric);
        families.push_back(std::move(family));
    });
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace vanillalift::node
