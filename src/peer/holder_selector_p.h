#pragma once

#include <vanillalift/claim.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalift {

/// An entry of the site, as configured in the settings.
struct PeerEntry {
    std::string name;
    std::string zone;
    /// "ip:port" of the peer server.
    std::string address;
};

/// Selects the holders of a claim by rendezvous hashing. Entries with the same list of entries select the same holders.
class HolderSelector {
public:
    static constexpr size_t holdersPerKey = 3;

    explicit HolderSelector(std::vector<PeerEntry> entries);

    /// @returns indices of min(3, entries) different entries. A zone gets a second holder only if there are fewer zones than
    /// holders.
    [[nodiscard]] std::vector<size_t> holders(const ClaimKey& key) const;
    [[nodiscard]] std::span<const PeerEntry> entries() const { return m_entries; }
    /// @returns the index of the entry, or entries().size() if there is no entry of that name.
    [[nodiscard]] size_t find(std::string_view name) const;

    /// @returns how many of @p holderCount holders form a majority.
    static constexpr size_t majority(size_t holderCount) { return holderCount / 2 + 1; }

private:
    std::vector<PeerEntry> m_entries;
};

} // namespace vanillalift
