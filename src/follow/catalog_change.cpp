#include <vanillalift/follow.h>

#include <algorithm>

namespace vanillalift {

namespace {

    /// Replaces the element of the same name or inserts a new one; the table stays sorted by name.
    template <typename T>
    void insertOrReplace(std::vector<T>& table, const T& value, std::string T::*name)
    {
        auto it = std::lower_bound(table.begin(), table.end(), value, [&](const T& a, const T& b) { return a.*name < b.*name; });
        if (it != table.end() && (*it).*name == value.*name)
            *it = value;
        else
            table.insert(it, value);
    }

    template <typename T>
    void erase(std::vector<T>& table, const std::string& name)
    {
        std::erase_if(table, [&](const T& it) { return it.name == name; });
    }

    struct CatalogChangeVisitor {
        Catalog& catalog;

        void operator()(const PutProfile& change) const { insertOrReplace(catalog.profiles, change.profile, &Profile::name); }
        void operator()(const DeleteProfile& change) const { erase(catalog.profiles, change.name); }
        void operator()(const PutService& change) const { insertOrReplace(catalog.services, change.service, &Service::name); }
        void operator()(const DeleteService& change) const { erase(catalog.services, change.name); }
        void operator()(const PutTeam& change) const { insertOrReplace(catalog.teams, change.team, &Team::name); }
        void operator()(const DeleteTeam& change) const
        {
            erase(catalog.teams, change.name);
            std::erase_if(catalog.keys, [&](const Key& it) { return it.team == change.name; });
        }
        void operator()(const GiveKey& change) const { insertOrReplace(catalog.keys, change.key, &Key::id); }
        void operator()(const WithdrawKey& change) const
        {
            for (auto& it : catalog.keys)
                it.withdrawn = it.withdrawn || it.id == change.id;
        }
        void operator()(const DrainStarted& change) const
        {
            auto it = std::lower_bound(catalog.draining.begin(), catalog.draining.end(), change.instance);
            if (it == catalog.draining.end() || *it != change.instance)
                catalog.draining.insert(it, change.instance);
        }
        void operator()(const DrainEnded& change) const { std::erase(catalog.draining, change.instance); }
        void operator()(const RemoveInstance& change) const { std::erase(catalog.draining, change.name); }
        template <typename T>
        void operator()(const T& /*change*/) const { }
    };

} // namespace

void applyToCatalog(Catalog& catalog, const Change& change)
{
    std::visit(CatalogChangeVisitor { catalog }, change);
    ++catalog.revision;
}

} // namespace vanillalift
