#pragma once

#include <vanillalift/authority.h>

namespace vanillalift {

/// Authority from a catalog file, for a site that runs without control. The lease never ends, and each entry holds
/// an equal fixed part of each team's limit.
class StaticAuthority final : public Authority {
public:
    StaticAuthority(Catalog catalog, int64_t entryCount);

    [[nodiscard]] CatalogPtr catalog() const override { return m_catalog; }
    [[nodiscard]] TimePoint leaseEnd() const override { return TimePoint::max(); }
    [[nodiscard]] int64_t limitPart(std::string_view team, TimePoint now) const override;

private:
    CatalogPtr m_catalog;
    int64_t m_entryCount;
};

} // namespace vanillalift
