#include "PlatformStandin.h"
#include "daisyspool/platform/platform.h"
#include "support/StandinThread.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

const RowKey Head{"shard/3", "head"};
const RowKey Entry{"shard/3", "entry/00000000000000000001"};
/// Long enough for a loopback call, and short for calls that get no answer.
constexpr Millis ShortTimeout{200};

struct TableFixture {
  StandinThread<PlatformStandin> Platform{
      PlatformStandin::Options{{"127.0.0.1", 0}}};
  SystemClock Time;
  DynamoTable Table{{.Server = Platform->endpoint(), .Timeout = AmpleTime},
                    Time};
  DynamoTable ShortTimeoutTable{
      {.Server = Platform->endpoint(), .Timeout = ShortTimeout}, Time};

  TableFixture() {
    Table.commit({"init", {PutRow{Head, 7, "a", MustNotExist{}}}});
  }

  void setFaults(const nlohmann::json &Change) {
    switchFaults(Platform->endpoint(), Change);
  }
};

Transaction append(const std::string &Token, std::uint64_t HeadVersion) {
  return {Token,
          {PutRow{Entry, 1, "batch", MustNotExist{}},
           PutRow{Head, HeadVersion + 1, "b", MustHaveVersion{HeadVersion}}}};
}

} // namespace

// Guards against bytes of a value or large versions that JSON encoding changes.
TEST_CASE_METHOD(TableFixture, "a row keeps every byte and its version") {
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

// Guards against a query that stops after the first page of the service.
TEST_CASE_METHOD(TableFixture, "a query reads all pages in order") {
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
TEST_CASE_METHOD(TableFixture, "a failed condition over HTTP changes no row") {
  REQUIRE_THROWS_AS(Table.commit(append("a", 6)), ConditionFailed);
  REQUIRE_THROWS_AS(Table.commit({"b",
                                  {PutRow{Entry, 1, "batch", MustNotExist{}},
                                   CheckRow{Head, MustHaveVersion{8}}}}),
                    ConditionFailed);

  REQUIRE_FALSE(Table.read(Entry).has_value());
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against a lost answer that makes the owner of a log write twice or
// give up its log.
TEST_CASE_METHOD(TableFixture,
                 "a write with a lost answer is visible when read back") {
  setFaults({{"lose_answers", 1}});

  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformUnavailable);
  REQUIRE(Table.read(Entry)->Value == "batch");
  REQUIRE(Table.read(Head)->Version == 8);
}

// Guards against a repeated transaction that fails the condition that its first
// attempt made false, which would look like a write of another owner.
TEST_CASE_METHOD(TableFixture,
                 "repeating a transaction with its token has no effect") {
  const std::string LongToken(100, 't');
  Table.commit(append(LongToken, 7));

  REQUIRE_NOTHROW(Table.commit(append(LongToken, 7)));

  REQUIRE(Table.read(Head)->Version == 8);
  REQUIRE_THROWS_AS(Table.commit(append(LongToken, 8)), PlatformProtocolError);
  REQUIRE_THROWS_AS(Table.commit(append("other", 7)), ConditionFailed);
}

// Guards against throttling that is treated as an unknown effect, which would
// cost a read back for each refused write.
TEST_CASE_METHOD(TableFixture, "a throttled call changes nothing") {
  setFaults({{"throttle", true}});
  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformThrottled);
  REQUIRE_THROWS_AS(Table.read(Head), PlatformThrottled);

  // Allows far less than one write while the test runs.
  setFaults({{"throttle", false}, {"writes_per_second", 0.0001}});
  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformThrottled);
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against an outage that blocks the caller, or that a client still
// reports after it has ended.
TEST_CASE_METHOD(TableFixture,
                 "calls fail during an outage and succeed after it") {
  setFaults({{"outage", "refuse"}});
  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformUnavailable);
  REQUIRE_THROWS_AS(Table.query("log", "", 1), PlatformUnavailable);

  setFaults({{"outage", "hang"}});
  REQUIRE_THROWS_AS(ShortTimeoutTable.read(Head), PlatformUnavailable);

  setFaults({{"outage", "none"}});
  REQUIRE(ShortTimeoutTable.read(Head)->Version == 7);
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against a late answer that is read as the answer to the next call on
// the connection.
TEST_CASE_METHOD(TableFixture,
                 "a connection with a late answer is not reused") {
  Table.commit({"other", {PutRow{{"other", "row"}, 9, "o", {}}}});
  REQUIRE(ShortTimeoutTable.read(Head)->Version == 7);
  setFaults({{"slow_ms", 400}});
  REQUIRE_THROWS_AS(ShortTimeoutTable.read(Head), PlatformUnavailable);
  setFaults({{"slow_ms", 0}});

  REQUIRE(ShortTimeoutTable.read({"other", "row"})->Version == 9);
}

// Guards against malformed answers that crash the caller or are read as "no
// such row".
TEST_CASE_METHOD(TableFixture, "malformed answers are protocol errors") {
  for (int Kind = 0; Kind < 6; ++Kind) {
    setFaults({{"nonsense", 1}});
    REQUIRE_THROWS_AS(Table.read(Head), PlatformProtocolError);
  }
  for (int Kind = 0; Kind < 6; ++Kind) {
    setFaults({{"nonsense", 1}});
    REQUIRE_THROWS_AS(Table.query("shard/3", "", 5), PlatformProtocolError);
  }
  for (int Kind = 0; Kind < 6; ++Kind) {
    setFaults({{"nonsense", 1}});
    REQUIRE_THROWS_AS(Table.commit({"t" + std::to_string(Kind),
                                    {PutRow{{"x", "y"}, 1, "", {}}}}),
                      PlatformProtocolError);
  }

  REQUIRE(Table.read(Head)->Version == 7);
  REQUIRE_THROWS_AS(Table.read({"not UTF-8 \xff", "s"}), PlatformProtocolError);
}

// Guards against a platform without a listening port that blocks or crashes its
// callers.
TEST_CASE("a platform that does not listen is unavailable") {
  SystemClock Time;
  DynamoTable Table({.Server = {"127.0.0.1", 1}, .Timeout = AmpleTime}, Time);

  REQUIRE_THROWS_AS(Table.read(Head), PlatformUnavailable);
}
