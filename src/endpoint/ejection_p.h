#pragma once

#include <vanillalift/clock.h>

#include <array>
#include <cstdint>
#include <deque>

/// Rules by which failing endpoints are taken out of choice for a while. No locks and no I/O.
namespace vanillalift {

enum class EjectionCause : uint8_t {
    /// Attempts reached the endpoint and failed.
    Failing,
    /// No connection could be opened. Does not count towards the bound on ejected endpoints.
    Unreachable,
    EjectionCauseCount,
};

/// Failures of one incarnation of an endpoint, and its ejection.
class EndpointHealth {
public:
    void recordSuccess(TimePoint now);
    void recordFailure(TimePoint now);
    void recordConnectFailure() { ++m_consecutiveConnectFailures; }

    /// @returns the share of failed attempts over the last 10 s, or 0 without attempts.
    [[nodiscard]] double failureRate(TimePoint now) const;
    /// @param median median failure share of the other endpoints of the pool.
    [[nodiscard]] bool isFailing(double median, TimePoint now) const;
    [[nodiscard]] bool isUnreachable() const;

    /// Starts an ejection of 1 s, twice as long each time up to 30 s. The length starts again at 1 s once 30 s
    /// have passed after the last ejection.
    void eject(EjectionCause cause, TimePoint now);
    /// Ends an ejection early.
    void endEjection() { m_ejectedUntil = {}; }
    [[nodiscard]] bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    [[nodiscard]] bool countsTowardsLimit(TimePoint now) const { return isEjected(now) && m_cause == EjectionCause::Failing; }
    [[nodiscard]] TimePoint ejectedUntil() const { return m_ejectedUntil; }

private:
    struct Bucket {
        int64_t number = -1;
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

/// @returns how many endpoints of a pool of @p serving endpoints may be ejected for failing.
int64_t ejectionLimit(int64_t serving);

/// Finds request kinds that fail on several endpoints, so that one bad kind cannot empty a pool.
class RequestKindFailures {
public:
    /// @returns whether the failure counts against the endpoint: no other endpoint failed the kind in the last 10 s.
    bool recordFailure(uint64_t kind, uint16_t endpoint, TimePoint now);
    /// A kind that succeeds anywhere is not at fault itself.
    void recordSuccess(uint64_t kind);

private:
    struct Row {
        uint64_t kind = 0;
        uint16_t endpoint = 0;
        TimePoint last;
    };
    std::deque<Row> m_rows;
};

} // namespace vanillalift
