#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillalift {

/// Labels and duration of one finished request. A request that a caller sends again counts again.
struct RequestMetric {
    std::string_view service;
    std::string_view team;
    std::string_view outcome;
    /// Reason name; empty for an answered request.
    std::string_view reason;
    /// Time from receiving the request to its outcome.
    double seconds = 0;
};

/// Prometheus metrics of this process. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(const RequestMetric& request);
    /// Adds a gauge whose value is read on each serialize(). Must not be called after the first serialize().
    void addGauge(const std::string& name, const std::string& help, std::function<double()> read);
    /// @returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string serialize();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillalift
