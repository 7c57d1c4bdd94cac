#pragma once

#include <vanillalift/catalog.h>
#include <vanillalift/clock.h>

#include <string_view>

namespace vanillalift {

/// Provides the configuration that an entry applies, the lease on it, and the entry's parts of the teams' concurrency limits.
class Authority {
public:
    virtual ~Authority() = default;

    /// @returns the newest applied configuration, or nullptr before the first one.
    [[nodiscard]] virtual CatalogPtr catalog() const = 0;

    /// @returns the end of the configuration lease. From then on, requests with an API key must not be dispatched.
    [[nodiscard]] virtual TimePoint leaseEnd() const = 0;

    /// @returns how many requests of the team this entry may have running at @p now; 0 without a valid lease.
    [[nodiscard]] virtual int64_t limitPart(std::string_view team, TimePoint now) const = 0;
};

/// Notified when an authority has a new catalog, new limit parts, or a valid lease again after the last one expired.
class AuthorityListener {
public:
    virtual ~AuthorityListener() = default;
    /// Called without locks held.
    virtual void authorityChanged() = 0;
};

/// Usage and demand of one team at this entry; the control leader sizes the entry's part of the limit from them.
struct TeamUsage {
    std::string team;
    /// Requests counted as running.
    int64_t running = 0;
    /// Requests waiting in queues.
    int64_t queued = 0;
};

/// Source of the usage and demand that the follower reports.
class TeamUsageSource {
public:
    virtual ~TeamUsageSource() = default;
    [[nodiscard]] virtual std::vector<TeamUsage> teamUsage() const = 0;
};

} // namespace vanillalift
