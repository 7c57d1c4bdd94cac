#pragma once

#include "net/http_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillalift::node {

/// Serves the metrics of a process at /metrics in the Prometheus text format, once its address can be listened on.
class MetricsPage {
public:
    using Visit = std::function<void(std::string_view name, std::string_view help, double value)>;

    /// @param prefix prepended to each metric name.
    /// @param collect passes each metric to its argument; names that end in _total are counters, all others are gauges.
    MetricsPage(net::EventLoop& loop, const Clock& clock, net::HttpMemory& memory, const net::Address& address, std::string prefix, std::function<void(const Visit&)> collect);

    [[nodiscard]] bool isOpen() const { return m_server.isOpen(); }
    [[nodiscard]] std::string serialize() const;

private:
    std::string m_prefix;
    std::function<void(const Visit&)> m_collect;
    net::HttpServer m_server;
};

} // namespace vanillalift::node
