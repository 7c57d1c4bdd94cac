#include "static_authority_p.h"

#include <algorithm>

namespace vanillalift {

StaticAuthority::StaticAuthority(Catalog catalog, int64_t entryCount, int64_t entryIndex)
    : m_catalog(std::make_shared<const Catalog>(std::move(catalog)))
    , m_entryCount(std::max<int64_t>(entryCount, 1))
    , m_entryIndex(entryIndex)
{
}

int64_t StaticAuthority::limitPart(std::string_view team, TimePoint /*now*/) const
{
    auto handle = m_catalog->findTeam(team);
    if (!handle.isValid())
        return 0;
    auto limit = m_catalog->at(handle).upperLimit;
    return limit / m_entryCount + (m_entryIndex < limit % m_entryCount ? 1 : 0);
}

} // namespace vanillalift
