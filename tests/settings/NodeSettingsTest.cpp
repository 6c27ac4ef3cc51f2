#include "daisyspool/settings/NodeSettings.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

NodeSettings settingsWith(const std::string &Capacity,
                          const std::string &Store = "") {
  return parseNodeSettings(
      IniFile::parse("node.ini", "[node]\n"
                                 "name = entry-1\n"
                                 "failure_domain = Regina\n"
                                 "[listen]\n"
                                 "links = 127.0.0.1:7720\n"
                                 "metrics = 127.0.0.1:7721\n"
                                 "[store]\n"
                                 "address = 127.0.0.1:8169\n" +
                                     Store + "[capacity]\n" + Capacity));
}

} // namespace

// Guards against entries that all claim the same processors, so that a small
// one leads.
TEST_CASE("a node's processors are its share of its cores") {
  REQUIRE(settingsWith("cpu_share = 0.12\ncores = 1\n").Processors ==
          MilliCores(120));
  REQUIRE(settingsWith("cpu_share = 0.069\ncores = 2\n").Processors ==
          MilliCores(138));
  REQUIRE(settingsWith("cpu_share = 0.0001\n").Processors == MilliCores(1));
  REQUIRE(settingsWith("").Processors == MilliCores(1000));
}

// Guards against a wrong setting that is taken for a number.
TEST_CASE("a wrong capacity of a node is rejected with its key") {
  for (const char *Wrong :
       {"", "0", "-1", "0.5x", "nan", "inf", "1e30", "many"}) {
    INFO(Wrong);
    REQUIRE_THROWS_AS(settingsWith("cpu_share = " + std::string(Wrong) + "\n"),
                      SettingsError);
  }
}

// Guards against a limit of the store that is ignored, and against one that no
// job fits in.
TEST_CASE("a node reads the largest row of its store") {
  REQUIRE(settingsWith("").StoreRowBytes == 65536);
  REQUIRE(settingsWith("", "row_bytes = 32768\n").StoreRowBytes == 32768);
  for (const char *Wrong : {"0", "999", "-1", "1e30", "many"}) {
    INFO(Wrong);
    REQUIRE_THROWS_AS(
        settingsWith("", "row_bytes = " + std::string(Wrong) + "\n"),
        SettingsError);
  }
}

// Guards against entries that hold starts for a bound that no deployment
// states.
TEST_CASE("a node has a bound for evacuations only if it is set") {
  REQUIRE(settingsWith("").EvacuationBound == Millis(0));
  REQUIRE(
      settingsWith("", "[bounds]\nevacuation_ms = 5000\n").EvacuationBound ==
      Millis(5000));
  REQUIRE_THROWS_AS(settingsWith("", "[bounds]\nevacuation_ms = x\n"),
                    SettingsError);
}

// Guards against a misspelt order that is taken for the default.
TEST_CASE("a node's order of jobs is work or cost") {
  REQUIRE_FALSE(settingsWith("").OrderByCost);
  REQUIRE(settingsWith("", "[overload]\norder = cost\n").OrderByCost);
  REQUIRE_FALSE(settingsWith("", "[overload]\norder = work\n").OrderByCost);
  REQUIRE_THROWS_AS(settingsWith("", "[overload]\norder = costs\n"),
                    SettingsError);
}

// Guards against limits of connections that follow another machine's memory or
// descriptors, and against a machine that no process fits in.
TEST_CASE("a node reads the memory and descriptors of its machine") {
  REQUIRE(settingsWith("").Memory == MebiBytes(128));
  REQUIRE(settingsWith("").FileDescriptors == 4096);
  REQUIRE(settingsWith("memory_mb = 260\n").Memory == MebiBytes(260));
  REQUIRE(settingsWith("file_descriptors = 300\n").FileDescriptors == 300);
  for (const char *Wrong :
       {"memory_mb = 31\n", "memory_mb = much\n", "file_descriptors = 255\n",
        "file_descriptors = 1e30\n"}) {
    INFO(Wrong);
    REQUIRE_THROWS_AS(settingsWith(Wrong), SettingsError);
  }
}
