#pragma once

#include <vanillalift/authority.h>

namespace vanillalift {

/// Authority backed by a catalog file, for a site without control replicas. The lease never expires. Each team's limit is
/// split evenly among the entries; the first entries get one more if it does not divide evenly.
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
