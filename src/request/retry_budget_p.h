#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace vanillalift {

/// Token buckets that bound retries per service. Thread-safe.
class RetryBudget {
public:
    /// Largest number of tokens of a service, and the number that a service starts with.
    static constexpr double maxTokens = 10;

    /// Credits a first attempt. @param ratio tokens per first attempt.
    void deposit(std::string_view service, double ratio);
    /// Draws one token for a retry. @returns whether there was one.
    bool tryWithdraw(std::string_view service);

private:
    double& tokensOf(std::string_view service);

    std::mutex m_mutex;
    std::unordered_map<std::string, double> m_tokens;
};

} // namespace vanillalift
