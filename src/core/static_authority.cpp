#include "static_authority_p.h"

#include <algorithm>

namespace vanillalift {

StaticAuthority::StaticAuthority(Catalog catalog, int64_t entryCount)
    : m_catalog(std::make_shared<const Catalog>(std::move(catalog)))
    , m_entryCount(std::max<int64_t>(entryCount, 1))
{
}

int64_t StaticAuthority::limitPart(std::string_view team, TimePoint /*now*/) const
{
    auto handle = m_catalog->findTeam(team);
    return handle.isValid() ? m_catalog->at(handle).upperLimit / m_entryCount : 0;
}

} // namespace vanillalift
