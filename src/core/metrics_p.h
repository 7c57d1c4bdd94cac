#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillalift {

/// One finished receipt, as counted.
struct RequestMetric {
    std::string_view service;
    std::string_view team;
    std::string_view outcome;
    /// Empty for an answer.
    std::string_view reason;
    double seconds = 0;
};

/// The process's metrics in Prometheus form. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(const RequestMetric& receipt);
    /// Adds a gauge that is read at each serialize(). All gauges are added before the first serialize().
    void addGauge(const std::string& name, const std::string& help, std::function<double()> read);
    /// @returns the text exposition format.
    [[nodiscard]] std::string serialize();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillalift
