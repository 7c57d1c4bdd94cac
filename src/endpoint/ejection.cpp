#include "ejection_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    constexpr int64_t failuresInRowLimit = 5;
    /// One refused connection may be a full backlog; three in a row mean that nobody listens.
    constexpr int64_t unreachableInRowLimit = 3;
    constexpr int64_t minAttempts = 10;
    constexpr double medianFactor = 3;
    constexpr std::chrono::seconds firstEjection { 1 };
    constexpr std::chrono::seconds longestEjection { 30 };
    constexpr std::chrono::seconds kindMemory { 10 };
    constexpr size_t maxKinds = 64;

    int64_t secondNumber(TimePoint now) { return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count(); }

} // namespace

EndpointHealth::Second& EndpointHealth::secondOf(TimePoint now)
{
    auto number = secondNumber(now);
    auto& second = m_seconds.at(static_cast<size_t>(number) % m_seconds.size());
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

EndpointHealth::Totals EndpointHealth::totals(TimePoint now) const
{
    Totals sum;
    auto number = secondNumber(now);
    for (const auto& it : m_seconds) {
        if (it.number <= number - static_cast<int64_t>(m_seconds.size()))
            continue;
        sum.attempts += it.attempts;
        sum.failures += it.failures;
    }
    return sum;
}

void EndpointHealth::recordSuccess(TimePoint now)
{
    ++secondOf(now).attempts;
    m_failuresInRow = 0;
    m_unreachableInRow = 0;
}

void EndpointHealth::recordFailure(TimePoint now)
{
    auto& second = secondOf(now);
    ++second.attempts;
    ++second.failures;
    ++m_failuresInRow;
    m_unreachableInRow = 0;
}

double EndpointHealth::failureShare(TimePoint now) const
{
    auto sum = totals(now);
    return sum.attempts == 0 ? 0 : static_cast<double>(sum.failures) / static_cast<double>(sum.attempts);
}

bool EndpointHealth::isFailing(double median, TimePoint now) const
{
    if (m_failuresInRow >= failuresInRowLimit)
        return true;
    auto share = failureShare(now);
    return totals(now).attempts >= minAttempts && share > 0.5 && share > medianFactor * median;
}

bool EndpointHealth::isUnreachable() const
{
    return m_unreachableInRow >= unreachableInRowLimit;
}

void EndpointHealth::eject(EjectionCause cause, TimePoint now)
{
    if (now > m_ejectedUntil + longestEjection)
        m_doublings = 0;
    auto length = std::min<std::chrono::seconds>(firstEjection * (int64_t { 1 } << m_doublings), longestEjection);
    if (length < longestEjection)
        ++m_doublings;
    m_cause = cause;
    m_ejectedUntil = now + length;
    m_seconds = {};
    m_failuresInRow = 0;
    m_unreachableInRow = 0;
}

int64_t ejectionBound(int64_t serving)
{
    return serving < 2 ? 0 : std::max<int64_t>(1, serving / 3);
}

bool KindFailures::recordFailure(uint64_t kind, uint16_t endpoint, TimePoint now)
{
    if (kind == 0)
        return true;
    std::erase_if(m_rows, [&](const Row& row) { return now - row.last >= kindMemory; });
    auto it = std::find_if(m_rows.begin(), m_rows.end(), [&](const Row& row) { return row.kind == kind; });
    if (it != m_rows.end()) {
        it->last = now;
        return it->endpoint == endpoint;
    }
    if (m_rows.size() == maxKinds)
        m_rows.pop_front();
    m_rows.push_back({ kind, endpoint, now });
    return true;
}

void KindFailures::recordSuccess(uint64_t kind)
{
    std::erase_if(m_rows, [&](const Row& row) { return row.kind == kind; });
}

} // namespace vanillalift
