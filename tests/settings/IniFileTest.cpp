#include "daisyspool/settings/AgentSettings.h"
#include "daisyspool/settings/EntrySettings.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

const std::string ValidEntry = "[entry]\n"
                               "name = entry-1\n"
                               "failure_domain = Regina\n"
                               "callers = 127.0.0.1:8080\n"
                               "operators = 127.0.0.1:8081\n"
                               "peers = 127.0.0.1:8082\n"
                               "gossip = 127.0.0.1:8083\n"
                               "[platform]\n"
                               "table = 127.0.0.1:9000\n"
                               "objects = 127.0.0.1:9000\n"
                               "[jobs]\n"
                               "shard_lease = 6s\n";

SettingsError errorIn(const std::string &Text) {
  try {
    parseEntrySettings(IniFile::parse("entry.ini", Text));
  } catch (const SettingsError &Failure) {
    return Failure;
  }
  FAIL("accepted: " << Text);
  throw;
}

} // namespace

TEST_CASE("valid entry settings are read with their units") {
  auto Settings = parseEntrySettings(IniFile::parse("entry.ini", ValidEntry));

  REQUIRE(Settings.Process == ProcessId("entry-1"));
  REQUIRE(Settings.Callers.Port == 8080);
  REQUIRE(Settings.ShardLease == Millis(6000));
}

// Guards against a misspelt key that silently leaves the default in force.
TEST_CASE("an unknown key is reported with its line") {
  auto Failure = errorIn(ValidEntry + "task_laese = 5s\n");

  REQUIRE(Failure.file() == "entry.ini");
  REQUIRE(Failure.line() == 13);
  REQUIRE(std::string(Failure.what()).find("task_laese") != std::string::npos);
}

// Guards against a number without a unit that is read in the wrong unit.
TEST_CASE("a duration without a unit is refused with its line") {
  auto Failure = errorIn(ValidEntry + "task_lease = 10\n");

  REQUIRE(Failure.line() == 13);
  REQUIRE(std::string(Failure.what()).find("'10'") != std::string::npos);
}

// Guards against accepting a host name or an invalid port as an address.
TEST_CASE("an address must be an IP address and a port") {
  for (const char *Bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                          "127.0.0.1:65536", "127.0.0.1:8x"}) {
    std::string Text = ValidEntry;
    Text.replace(Text.find("127.0.0.1:8080"), 14, Bad);
    REQUIRE(errorIn(Text).line() == 4);
  }
}

// Guards against two lines with different values for a key, of which one is
// silently ignored.
TEST_CASE("a duplicate key is refused") {
  REQUIRE(errorIn(ValidEntry + "shard_lease = 7s\n").line() == 13);
}

// Guards against a missing key that is noticed only when its value is used.
TEST_CASE("a missing key is refused") {
  std::string Text = ValidEntry;
  Text.erase(Text.find("gossip"),
             std::string("gossip = 127.0.0.1:8083\n").size());

  REQUIRE(errorIn(Text).key() == "[entry] gossip");
}

// Guards against a line that is silently truncated at the size of inih's
// buffer.
TEST_CASE("an overlong line is refused") {
  REQUIRE(errorIn(ValidEntry + "; " + std::string(500, 'x') + "\n").line() ==
          13);
}
