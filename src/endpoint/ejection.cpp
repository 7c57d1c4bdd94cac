#include "ejection_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    constexpr int64_t consecutiveFailureThreshold = 5;
    /// One refused connection may be a full backlog; three in a row mean that nobody listens.
    constexpr int64_t consecutiveConnectFailureThreshold = 3;
    constexpr int64_t minAttempts = 10;
    constexpr double medianFactor = 3;
    constexpr std::chrono::seconds initialEjectionTime { 1 };
    constexpr std::chrono::seconds maxEjectionTime { 30 };
    constexpr std::chrono::seconds requestKindRetention { 10 };
    constexpr size_t maxRequestKinds = 64;

    int64_t secondsSinceEpoch(TimePoint now) { return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count(); }

} // namespace

EndpointHealth::Bucket& EndpointHealth::currentBucket(TimePoint now)
{
    auto number = secondsSinceEpoch(now);
    auto& second = m_buckets.at(static_cast<size_t>(number) % m_buckets.size());
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

EndpointHealth::Totals EndpointHealth::totals(TimePoint now) const
{
    Totals sum;
    auto number = secondsSinceEpoch(now);
    for (const auto& it : m_buckets) {
        if (it.number <= number - static_cast<int64_t>(m_buckets.size()))
            continue;
        sum.attempts += it.attempts;
        sum.failures += it.failures;
    }
    return sum;
}

void EndpointHealth::recordSuccess(TimePoint now)
{
    ++currentBucket(now).attempts;
    m_consecutiveFailures = 0;
    m_consecutiveConnectFailures = 0;
}

void EndpointHealth::recordFailure(TimePoint now)
{
    auto& second = currentBucket(now);
    ++second.attempts;
    ++second.failures;
    ++m_consecutiveFailures;
    m_consecutiveConnectFailures = 0;
}

double EndpointHealth::failureRate(TimePoint now) const
{
    auto sum = totals(now);
    return sum.attempts == 0 ? 0 : static_cast<double>(sum.failures) / static_cast<double>(sum.attempts);
}

bool EndpointHealth::isFailing(double median, TimePoint now) const
{
    if (m_consecutiveFailures >= consecutiveFailureThreshold)
        return true;
    auto share = failureRate(now);
    return totals(now).attempts >= minAttempts && share > 0.5 && share > medianFactor * median;
}

bool EndpointHealth::isUnreachable() const
{
    return m_consecutiveConnectFailures >= consecutiveConnectFailureThreshold;
}

void EndpointHealth::eject(EjectionCause cause, TimePoint now)
{
    if (now > m_ejectedUntil + maxEjectionTime)
        m_ejectionDoublings = 0;
    auto length = std::min<std::chrono::seconds>(initialEjectionTime * (int64_t { 1 } << m_ejectionDoublings), maxEjectionTime);
    if (length < maxEjectionTime)
        ++m_ejectionDoublings;
    m_cause = cause;
    m_ejectedUntil = now + length;
    m_buckets = {};
    m_consecutiveFailures = 0;
    m_consecutiveConnectFailures = 0;
}

int64_t ejectionLimit(int64_t serving)
{
    return serving < 2 ? 0 : std::max<int64_t>(1, serving / 3);
}

bool RequestKindFailures::recordFailure(uint64_t kind, uint16_t endpoint, TimePoint now)
{
    if (kind == 0)
        return true;
    std::erase_if(m_rows, [&](const Row& row) { return now - row.last >= requestKindRetention; });
    auto it = std::find_if(m_rows.begin(), m_rows.end(), [&](const Row& row) { return row.kind == kind; });
    if (it != m_rows.end()) {
        it->last = now;
        return it->endpoint == endpoint;
    }
    if (m_rows.size() == maxRequestKinds)
        m_rows.pop_front();
    m_rows.push_back({ kind, endpoint, now });
    return true;
}

void RequestKindFailures::recordSuccess(uint64_t kind)
{
    std::erase_if(m_rows, [&](const Row& row) { return row.kind == kind; });
}

} // namespace vanillalift
