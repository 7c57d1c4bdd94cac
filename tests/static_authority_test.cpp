#include <catch2/catch.hpp>

#include "core/static_authority_p.h"

using namespace vanillalift;

TEST_CASE("the entries' parts of a limit add up to the limit, even if it is smaller than the number of entries", "[authority]")
{
    auto limit = GENERATE(0, 1, 5, 9, 10, 48);
    Catalog catalog;
    catalog.teams = { { "red", 1, limit } };
    int64_t sum = 0;
    for (int64_t n = 0; n < 9; ++n)
        sum += StaticAuthority(catalog, 9, n).limitPart("red", TimePoint {});
    CHECK(sum == limit);
    CHECK(StaticAuthority(catalog, 9, 0).limitPart("blue", TimePoint {}) == 0);
}
