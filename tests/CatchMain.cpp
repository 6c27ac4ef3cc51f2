// Builds Catch2's main function once for all tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
