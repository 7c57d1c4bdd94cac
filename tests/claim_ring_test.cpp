#include <catch2/catch.hpp>

#include "peer/holder_selector_p.h"

#include <algorithm>
#include <set>

using namespace vanillalift;

namespace {

std::vector<PeerEntry> makeEntries(size_t count, size_t zones)
{
    std::vector<PeerEntry> entries;
    entries.reserve(count);
    for (size_t n = 0; n < count; ++n)
        entries.push_back({ "entry-" + std::to_string(n), "zone-" + std::to_string(n % zones), "" });
    return entries;
}

} // namespace

TEST_CASE("holders do not depend on the order of the entries in the settings, or two entries would ask different majorities", "[ring]")
{
    auto entries = makeEntries(9, 3);
    HolderSelector selector(entries);
    std::reverse(entries.begin(), entries.end());
    HolderSelector reversed(entries);
    for (int n = 0; n < 200; ++n) {
        ClaimKey key { "team", "service", std::to_string(n) };
        CHECK(selector.holders(key) == reversed.holders(key));
    }
}

TEST_CASE("the holders of a key stay the same from build to build, or a rolling upgrade would run a request twice", "[ring]")
{
    HolderSelector selector(makeEntries(9, 3));
    CHECK(selector.holders({ "team", "service", "request" }) == std::vector<size_t> { 2, 7, 6 });
}

TEST_CASE("no zone has two holders of a key while another zone has none, so that a majority survives the loss of a zone", "[ring]")
{
    HolderSelector selector(makeEntries(9, 3));
    for (int n = 0; n < 200; ++n) {
        std::set<std::string> zones;
        for (auto it : selector.holders({ "team", "service", std::to_string(n) }))
            zones.insert(selector.entries()[it].zone);
        CHECK(zones.size() == 3);
    }
}

TEST_CASE("keys have three different holders when there are fewer zones, and fewer when there are fewer entries", "[ring]")
{
    for (size_t count : { 1U, 2U, 3U, 6U }) {
        auto holders = HolderSelector(makeEntries(count, 2)).holders({ "team", "service", "a" });
        CHECK(std::set<size_t>(holders.begin(), holders.end()).size() == std::min<size_t>(count, 3));
    }
    CHECK(HolderSelector::majority(1) == 1);
    CHECK(HolderSelector::majority(2) == 2);
    CHECK(HolderSelector::majority(3) == 2);
}

TEST_CASE("holders are spread evenly, so that one entry does not hold most claims", "[ring]")
{
    HolderSelector selector(makeEntries(9, 3));
    std::vector<size_t> counts(9);
    for (int n = 0; n < 3000; ++n) {
        for (auto it : selector.holders({ "team", "service", std::to_string(n) }))
            ++counts[it];
    }
    CHECK(*std::max_element(counts.begin(), counts.end()) < 1300);
    CHECK(*std::min_element(counts.begin(), counts.end()) > 700);
}

TEST_CASE("the same characters split differently are different keys", "[ring]")
{
    HolderSelector selector(makeEntries(9, 9));
    int different = 0;
    for (int n = 0; n < 50; ++n) {
        auto id = std::to_string(n);
        different += selector.holders({ "team", "service" + id, "a" }) != selector.holders({ "team", "service", id + "a" }) ? 1 : 0;
    }
    CHECK(different > 25);
}
