#include "retry_budget_p.h"

#include <algorithm>

namespace vanillalift {

double& RetryBudget::tokensOf(std::string_view service)
{
    return m_tokens.try_emplace(std::string(service), maxTokens).first->second;
}

void RetryBudget::deposit(std::string_view service, double ratio)
{
    std::lock_guard lock(m_mutex);
    auto& tokens = tokensOf(service);
    tokens = std::min(maxTokens, tokens + ratio);
}

bool RetryBudget::tryWithdraw(std::string_view service)
{
    std::lock_guard lock(m_mutex);
    auto& tokens = tokensOf(service);
    // Tolerates rounding: the sum of ten deposits of 0.1 is slightly less than 1.
    if (tokens < 1 - 1e-9)
        return false;
    tokens -= 1;
    return true;
}

} // namespace vanillalift
