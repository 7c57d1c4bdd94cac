#include "metrics_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace vanillalift {

class Metrics::Impl {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter().Name("vanillalift_requests_total").Help("Requests by service, team, outcome and reason").Register(registry);
    prometheus::Family<prometheus::Histogram>& latency = prometheus::BuildHistogram().Name("vanillalift_request_seconds").Help("Time from receiving a request to its outcome").Register(registry);
    std::vector<std::pair<prometheus::Gauge*, std::function<double()>>> gauges;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const RequestMetric& request)
{
    static const prometheus::Histogram::BucketBoundaries bounds { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };
    std::string service(request.service);
    m_impl->requests.Add({ { "service", service }, { "team", std::string(request.team) }, { "outcome", std::string(request.outcome) }, { "reason", std::string(request.reason) } }).Increment();
    m_impl->latency.Add({ { "service", service } }, bounds).Observe(request.seconds);
}

void Metrics::addGauge(const std::string& name, const std::string& help, std::function<double()> read)
{
    auto& gauge = prometheus::BuildGauge().Name(name).Help(help).Register(m_impl->registry).Add({});
    m_impl->gauges.emplace_back(&gauge, std::move(read));
}

std::string Metrics::serialize()
{
    for (auto& [gauge, read] : m_impl->gauges)
        gauge->Set(read());
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace vanillalift
