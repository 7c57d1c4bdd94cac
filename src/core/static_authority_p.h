#pragma once

#include <vanillalift/authority.h>

namespace vanillalift {

/// Authority from a catalog file, for a site that runs without control. The lease never ends, and each entry holds
/// an equal fixed part of each team's limit; the first entries hold one unit more if the limit does not divide evenly.
class StaticAuthority final : public Authority {
public:
    /// @param entryIndex position of this entry in the site's list of entries.
    StaticAuthority(Catalog catalog, int64_t entryCount, int64_t entryIndex);

    [[nodiscard]] CatalogPtr catalog() const override { return m_catalog; }
    [[nodiscard]] TimePoint leaseEnd() const override { return TimePoint::max(); }
    [[nodiscard]] int64_t limitPart(std::string_view team, TimePoint now) const override;

private:
    CatalogPtr m_catalog;
    int64_t m_entryCount;
    int64_t m_entryIndex;
};

} // namespace vanillalift
