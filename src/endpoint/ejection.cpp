#include "ejection_p.h"

#include <algorithm>

namespace vanillalift {

namespace {

    constexpr int64_t consecutiveFailureThreshold = 5;
    /// One refused connection may be due to a full backlog; three in a row mean that no process is listening.
    constexpr int64_t consecutiveConnectFailureThreshold = 3;
    /// Below this number of attempts the failure rate is not evaluated.
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
    auto second = secondsSinceEpoch(now);
    auto& bucket = m_buckets.at(static_cast<size_t>(second) % m_buckets.size());
    if (bucket.second != second)
        bucket = { second, 0, 0 };
    return bucket;
}

EndpointHealth::Totals EndpointHealth::totals(TimePoint now) const
{
    Totals sum;
    auto second = secondsSinceEpoch(now);
    for (const auto& it : m_buckets) {
        if (it.second <= second - static_cast<int64_t>(m_buckets.size()))
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
    auto& bucket = currentBucket(now);
    ++bucket.attempts;
    ++bucket.failures;
    ++m_consecutiveFailures;
    m_consecutiveConnectFailures = 0;
}

double EndpointHealth::failureRate(TimePoint now) const
{
    auto sum = totals(now);
    return sum.attempts == 0 ? 0 : static_cast<double>(sum.failures) / static_cast<double>(sum.attempts);
}

bool EndpointHealth::isFailing(double medianRate, TimePoint now) const
{
    if (m_consecutiveFailures >= consecutiveFailureThreshold)
        return true;
    auto rate = failureRate(now);
    return totals(now).attempts >= minAttempts && rate > 0.5 && rate > medianFactor * medianRate;
}

bool EndpointHealth::isUnreachable() const
{
    return m_consecutiveConnectFailures >= consecutiveConnectFailureThreshold;
}

void EndpointHealth::eject(EjectionCause cause, TimePoint now)
{
    if (now > m_ejectedUntil + maxEjectionTime)
        m_ejectionDoublings = 0;
    auto ejectionTime = std::min<std::chrono::seconds>(initialEjectionTime * (int64_t { 1 } << m_ejectionDoublings), maxEjectionTime);
    if (ejectionTime < maxEjectionTime)
        ++m_ejectionDoublings;
    m_cause = cause;
    m_ejectedUntil = now + ejectionTime;
    m_buckets = {};
    m_consecutiveFailures = 0;
    m_consecutiveConnectFailures = 0;
}

int64_t ejectionLimit(int64_t servingCount)
{
    return servingCount < 2 ? 0 : std::max<int64_t>(1, servingCount / 3);
}

bool RequestKindFailures::recordFailure(uint64_t kind, uint16_t endpoint, TimePoint now)
{
    if (kind == 0)
        return true;
    std::erase_if(m_rows, [&](const Row& row) { return now - row.lastFailureAt >= requestKindRetention; });
    auto it = std::find_if(m_rows.begin(), m_rows.end(), [&](const Row& row) { return row.kind == kind; });
    if (it != m_rows.end()) {
        it->lastFailureAt = now;
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
