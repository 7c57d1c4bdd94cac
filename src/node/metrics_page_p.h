#pragma once

#include "net/http_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillalift::node {

/// Serves a process's metrics as text at /metrics.
class MetricsPage {
public:
    using Visit = std::function<void(std::string_view name, std::string_view help, double value)>;

    /// @param collect passes every value to its argument; names ending in _total are counters, all others gauges.
    MetricsPage(net::EventLoop& loop, const net::Address& address, std::string prefix, std::function<void(const Visit&)> collect);

    [[nodiscard]] bool isOpen() const { return m_server.isOpen(); }
    [[nodiscard]] std::string serialize() const;

private:
    std::string m_prefix;
    std::function<void(const Visit&)> m_collect;
    net::HttpServer m_server;
};

} // namespace vanillalift::node
