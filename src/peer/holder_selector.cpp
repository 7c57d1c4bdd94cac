#include "holder_selector_p.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <set>

namespace vanillalift {

namespace {

    /// Prefixes each part with its length, so that different splits of the same characters do not collide.
    void appendPart(std::string& text, std::string_view part)
    {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }

    using Score = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

    Score scoreOf(const ClaimKey& key, const PeerEntry& entry)
    {
        std::string text;
        appendPart(text, key.team);
        appendPart(text, key.service);
        appendPart(text, key.requestId);
        appendPart(text, entry.name);
        Score score {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), score.data());
        return score;
    }

} // namespace

HolderSelector::HolderSelector(std::vector<PeerEntry> entries)
    : m_entries(std::move(entries))
{
    std::sort(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
}

std::vector<size_t> HolderSelector::holders(const ClaimKey& key) const
{
    std::vector<std::pair<Score, size_t>> ranked;
    ranked.reserve(m_entries.size());
    for (size_t n = 0; n < m_entries.size(); ++n)
        ranked.emplace_back(scoreOf(key, m_entries[n]), n);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<size_t> chosen;
    std::set<std::string_view> zones;
    for (const auto& [score, index] : ranked) {
        if (chosen.size() < holdersPerKey && zones.insert(m_entries[index].zone).second)
            chosen.push_back(index);
    }
    for (const auto& [score, index] : ranked) {
        if (chosen.size() < holdersPerKey && std::find(chosen.begin(), chosen.end(), index) == chosen.end())
            chosen.push_back(index);
    }
    return chosen;
}

size_t HolderSelector::find(std::string_view name) const
{
    auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.name == name; });
    return static_cast<size_t>(it - m_entries.begin());
}

} // namespace vanillalift
