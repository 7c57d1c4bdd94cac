#pragma once

#include <vanillalift/catalog.h>
#include <vanillalift/clock.h>

#include <string_view>

namespace vanillalift {

/// What an entry may act on at a given moment: its configuration, its lease on it, and its parts of the teams' limits.
class Authority {
public:
    virtual ~Authority() = default;

    /// @returns the newest applied configuration, or nullptr before the first one.
    [[nodiscard]] virtual CatalogPtr catalog() const = 0;

    /// @returns the end of the lease. From then on keyed work must not be dispatched.
    [[nodiscard]] virtual TimePoint leaseEnd() const = 0;

    /// @returns how many requests of the team this entry may have running at the moment; 0 without a valid lease.
    [[nodiscard]] virtual int64_t limitPart(std::string_view team, TimePoint now) const = 0;
};

/// Told when an authority has a new catalog, new parts of limits, or a lease again after it had none.
class AuthorityListener {
public:
    virtual ~AuthorityListener() = default;
    /// Called without locks held.
    virtual void authorityChanged() = 0;
};

/// Use and demand of one team in this entry, reported to control to size the entry's part of the limit.
struct TeamUsage {
    std::string team;
    /// Requests counted as running.
    int64_t running = 0;
    /// Requests waiting in queues.
    int64_t queued = 0;
};

/// Where the follower reads use and demand from.
class TeamUsageSource {
public:
    virtual ~TeamUsageSource() = default;
    [[nodiscard]] virtual std::vector<TeamUsage> teamUsage() const = 0;
};

} // namespace vanillalift
