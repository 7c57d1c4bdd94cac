// Catch2's main stands in a file of its own, because it takes most of the compile time.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
