#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace vanillalift {

/// Limits retries with one token bucket per service. Thread-safe.
class RetryBudget {
public:
    /// Capacity and initial content of a service's token bucket.
    static constexpr double maxTokens = 10;

    /// Adds tokens for a first attempt.
    /// @param ratio tokens per first attempt.
    void deposit(std::string_view service, double ratio);
    /// Takes one token for a retry.
    /// @returns whether a token was available.
    bool tryWithdraw(std::string_view service);

private:
    double& tokensOf(std::string_view service);

    std::mutex m_mutex;
    std::unordered_map<std::string, double> m_tokens;
};

} // namespace vanillalift
