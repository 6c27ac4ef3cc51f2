#include "PlatformStandin.h"
#include "daisyspool/platform/platform.h"
#include "support/StandinThread.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

const RowKey Head{"shard/3", "head"};
const RowKey Entry{"shard/3", "entry/00000000000000000001"};
/// Long enough for a loopback call to a fault that answers nothing.
constexpr Millis ShortTimeout{200};

struct Fixture {
  StandinThread<PlatformStandin> Platform{
      PlatformStandin::Options{{"127.0.0.1", 0}}};
  SystemClock Time;
  DynamoTable Table{{.Server = Platform->endpoint(), .Timeout = AmpleTime},
                    Time};
  DynamoTable Hasty{{.Server = Platform->endpoint(), .Timeout = ShortTimeout},
                    Time};

  Fixture() { Table.commit({"init", {PutRow{Head, 7, "a", MustNotExist{}}}}); }

  void faults(const nlohmann::json &Change) {
    switchFaults(Platform->endpoint(), Change);
  }
};

Transaction append(const std::string &Token, std::uint64_t HeadVersion) {
  return {Token,
          {PutRow{Entry, 1, "batch", MustNotExist{}},
           PutRow{Head, HeadVersion + 1, "b", MustHaveVersion{HeadVersion}}}};
}

} // namespace

// Guards against bytes or large versions that change on the way.
TEST_CASE_METHOD(Fixture, "a row keeps every byte and its version") {
  std::string Bytes;
  for (int Each = 0; Each < 256; ++Each)
    Bytes += static_cast<char>(Each);
  const std::uint64_t Highest = ~std::uint64_t{0};

  for (std::size_t Length : {0, 1, 2, 3, 256}) {
    Row Expected{{"p/\"ä", "s"}, Highest, Bytes.substr(0, Length)};
    Table.commit({"put" + std::to_string(Length),
                  {PutRow{Expected.Key, Highest, Expected.Value, {}}}});
    REQUIRE(Table.read(Expected.Key) == Expected);
  }
  REQUIRE_FALSE(Table.read({"p", "absent"}).has_value());
}

// Guards against a query that stops at the end of the service's first page.
TEST_CASE_METHOD(Fixture, "a query goes on over pages in order") {
  const std::string Large(300 * 1024, 'x');
  for (std::uint64_t Each = 10; Each < 20; ++Each)
    Table.commit({"row" + std::to_string(Each),
                  {PutRow{{"log", std::to_string(Each)}, Each, Large, {}}}});

  auto Rows = Table.query("log", "12", 7);

  REQUIRE(Rows.size() == 7);
  REQUIRE(Rows.front().Key.Sort == "12");
  REQUIRE(Rows.back().Key.Sort == "18");
  REQUIRE(Table.query("log", "", 100).size() == 10);
  REQUIRE(Table.query("log", "3", 100).empty());
}

// Guards against a transaction that is applied in part.
TEST_CASE_METHOD(Fixture, "a failed condition over HTTP changes no row") {
  REQUIRE_THROWS_AS(Table.commit(append("a", 6)), ConditionFailed);
  REQUIRE_THROWS_AS(Table.commit({"b",
                                  {PutRow{Entry, 1, "batch", MustNotExist{}},
                                   CheckRow{Head, MustHaveVersion{8}}}}),
                    ConditionFailed);

  REQUIRE_FALSE(Table.read(Entry).has_value());
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against a lost answer that makes its owner write twice or give up.
TEST_CASE_METHOD(Fixture, "a lost answer is settled by reading back") {
  faults({{"lose_answers", 1}});

  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformUnavailable);
  REQUIRE(Table.read(Entry)->Value == "batch");
  REQUIRE(Table.read(Head)->Version == 8);
}

// Guards against a repeat that fails its own condition, which would look like
// another owner.
TEST_CASE_METHOD(Fixture, "a token makes a repeat harmless") {
  const std::string LongToken(100, 't');
  Table.commit(append(LongToken, 7));

  REQUIRE_NOTHROW(Table.commit(append(LongToken, 7)));

  REQUIRE(Table.read(Head)->Version == 8);
  REQUIRE_THROWS_AS(Table.commit(append(LongToken, 8)), PlatformProtocolError);
  REQUIRE_THROWS_AS(Table.commit(append("other", 7)), ConditionFailed);
}

// Guards against throttling that is taken for an unknown effect, which would
// cost a read back for each refused write.
TEST_CASE_METHOD(Fixture, "throttling says that nothing changed") {
  faults({{"throttle", true}});
  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformThrottled);
  REQUIRE_THROWS_AS(Table.read(Head), PlatformThrottled);

  // Far less than one write is due within the run of the test.
  faults({{"throttle", false}, {"writes_per_second", 0.0001}});
  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformThrottled);
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against an outage that blocks its caller or outlives itself.
TEST_CASE_METHOD(Fixture, "an outage is reported and ends") {
  faults({{"outage", "refuse"}});
  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformUnavailable);
  REQUIRE_THROWS_AS(Table.query("log", "", 1), PlatformUnavailable);

  faults({{"outage", "hang"}});
  REQUIRE_THROWS_AS(Hasty.read(Head), PlatformUnavailable);

  faults({{"outage", "none"}});
  REQUIRE(Hasty.read(Head)->Version == 7);
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against a late answer that is read as the answer to the next call.
TEST_CASE_METHOD(Fixture, "a connection with a late answer is not reused") {
  Table.commit({"other", {PutRow{{"other", "row"}, 9, "o", {}}}});
  REQUIRE(Hasty.read(Head)->Version == 7);
  faults({{"slow_ms", 400}});
  REQUIRE_THROWS_AS(Hasty.read(Head), PlatformUnavailable);
  faults({{"slow_ms", 0}});

  REQUIRE(Hasty.read({"other", "row"})->Version == 9);
}

// Guards against nonsense that crashes the caller or passes for "no such row".
TEST_CASE_METHOD(Fixture, "nonsense answers are protocol errors") {
  for (int Kind = 0; Kind < 6; ++Kind) {
    faults({{"nonsense", 1}});
    REQUIRE_THROWS_AS(Table.read(Head), PlatformProtocolError);
  }
  for (int Kind = 0; Kind < 6; ++Kind) {
    faults({{"nonsense", 1}});
    REQUIRE_THROWS_AS(Table.query("shard/3", "", 5), PlatformProtocolError);
  }
  for (int Kind = 0; Kind < 6; ++Kind) {
    faults({{"nonsense", 1}});
    REQUIRE_THROWS_AS(Table.commit({"t" + std::to_string(Kind),
                                    {PutRow{{"x", "y"}, 1, "", {}}}}),
                      PlatformProtocolError);
  }

  REQUIRE(Table.read(Head)->Version == 7);
  REQUIRE_THROWS_AS(Table.read({"not UTF-8 \xff", "s"}), PlatformProtocolError);
}

// Guards against a missing platform that blocks or crashes its callers.
TEST_CASE("a platform that does not listen is unavailable") {
  SystemClock Time;
  DynamoTable Table({.Server = {"127.0.0.1", 1}, .Timeout = AmpleTime}, Time);

  REQUIRE_THROWS_AS(Table.read(Head), PlatformUnavailable);
}
