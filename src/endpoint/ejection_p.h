#pragma once

#include <vanillalift/clock.h>

#include <array>
#include <cstdint>
#include <deque>

/// Outlier ejection: failing endpoints are temporarily excluded from selection. No locks and no I/O.
namespace vanillalift {

enum class EjectionCause : uint8_t {
    /// Attempts failed after they had reached the endpoint.
    Failing,
    /// No connection could be opened. Does not count towards ejectionLimit().
    Unreachable,
    EjectionCauseCount,
};

/// Failure statistics and ejection state of one endpoint incarnation.
class EndpointHealth {
public:
    void recordSuccess(TimePoint now);
    void recordFailure(TimePoint now);
    void recordConnectFailure() { ++m_consecutiveConnectFailures; }

    /// @returns the ratio of failed attempts over the last 10 s, or 0 without attempts.
    [[nodiscard]] double failureRate(TimePoint now) const;
    /// @returns whether the consecutive failures or the failure rate call for an ejection.
    /// @param medianRate median failure rate of the other endpoints of the service.
    [[nodiscard]] bool isFailing(double medianRate, TimePoint now) const;
    [[nodiscard]] bool isUnreachable() const;

    /// Starts an ejection of 1 s; the time doubles with each further ejection up to 30 s. It is reset to 1 s once 30 s
    /// have passed since the end of the last ejection.
    void eject(EjectionCause cause, TimePoint now);
    /// Ends the ejection early.
    void endEjection() { m_ejectedUntil = {}; }
    [[nodiscard]] bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    [[nodiscard]] bool countsTowardsLimit(TimePoint now) const { return isEjected(now) && m_cause == EjectionCause::Failing; }
    [[nodiscard]] TimePoint ejectedUntil() const { return m_ejectedUntil; }

private:
    /// Counts of one second.
    struct Bucket {
        int64_t second = -1;
        int64_t attempts = 0;
        int64_t failures = 0;
    };
    struct Totals {
        int64_t attempts = 0;
        int64_t failures = 0;
    };

    Bucket& currentBucket(TimePoint now);
    [[nodiscard]] Totals totals(TimePoint now) const;

    std::array<Bucket, 10> m_buckets {};
    int64_t m_consecutiveFailures = 0;
    int64_t m_consecutiveConnectFailures = 0;
    int64_t m_ejectionDoublings = 0;
    EjectionCause m_cause = EjectionCause::Failing;
    TimePoint m_ejectedUntil {};
};

/// @returns the maximum number of endpoints that may be ejected with EjectionCause::Failing.
/// @param servingCount number of serving endpoints of the service.
int64_t ejectionLimit(int64_t servingCount);

/// Detects request kinds that fail on several endpoints, so that one kind of failing request does not cause all
/// endpoints of a service to be ejected.
class RequestKindFailures {
public:
    /// @returns whether the failure counts towards ejection of the endpoint: false if the kind first failed on another
    /// endpoint and last failed less than 10 s ago.
    bool recordFailure(uint64_t kind, uint16_t endpoint, TimePoint now);
    /// Clears the failures of the kind: a request that succeeds on some endpoint is not itself the cause.
    void recordSuccess(uint64_t kind);

private:
    struct Row {
        uint64_t kind = 0;
        uint16_t endpoint = 0;
        TimePoint lastFailureAt;
    };
    std::deque<Row> m_rows;
};

} // namespace vanillalift
