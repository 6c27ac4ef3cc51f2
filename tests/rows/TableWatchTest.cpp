#include "daisyspool/rows/TableWatch.h"

#include "fleet/VirtualStore.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace daisyspool;
using namespace daisyspool::rows;
using namespace daisyspool::testing;

namespace {

struct Fixture {
  std::mt19937_64 Random{1};
  VirtualLoop Loop;
  VirtualStore Store{Loop, Random};
  AliveFlag Alive = std::make_shared<bool>(true);
  StoreConnection Connection{Store, "p", Alive};
  std::map<std::string, std::string> Rows;
  std::size_t Calls = 0;
  /// The callback throws when it is called with a row of this value.
  std::string Rejected = "rejected";
  std::unique_ptr<TableWatch> Watch;

  void startWatch() {
    Watch = std::make_unique<TableWatch>(
        Loop, Loop, Connection, TableWatch::Options{"t", {"a", "b"}},
        [this](const std::vector<StoredRow> &Changed) {
          ++Calls;
          for (const StoredRow &Row : Changed) {
            if (Row.Value == Rejected)
              throw std::length_error("row rejected");
            Rows[Row.Name.Partition + Row.Name.Key] = Row.Value;
          }
        });
  }

  void put(const std::string &Partition, const std::string &Key,
           const std::string &Value) {
    RowTransaction Write;
    Write.Puts.push_back({{"t", Partition, Key}, Value});
    Store.apply(Write);
  }
};

} // namespace

// Guards against losing rows between the pages of the first read, or between
// that read and the first change.
TEST_CASE("a watch delivers all rows of its partitions, then each change") {
  Fixture Table;
  for (int I = 0; I < 120; ++I)
    Table.put(I % 2 == 0 ? "a" : "b", "k" + std::to_string(I), "1");
  Table.startWatch();
  Table.Loop.after(Millis(9), [&] { Table.put("a", "late", "1"); });
  Table.Loop.runFor(Millis(200));
  REQUIRE(Table.Rows.size() == 121);
  Table.put("b", "k1", "2");
  Table.Loop.runFor(Millis(50));
  REQUIRE(Table.Rows.at("bk1") == "2");
}

// Guards against missing changes when the store drops its history.
TEST_CASE("a watch reads all rows again when the history is gone") {
  Fixture Table;
  Table.startWatch();
  Table.Loop.runFor(Millis(100));
  Table.Store.Down = true;
  Table.Loop.runFor(Millis(1000));
  Table.put("a", "k", "1");
  Table.Store.HistoryTrimmedTo = Table.Store.version().next();
  Table.Store.Down = false;
  Table.Loop.runFor(Millis(500));
  REQUIRE(Table.Rows.at("ak") == "1");
  REQUIRE(Table.Loop.now() - Table.Watch->lastAnswer() < Millis(1100));
}

// Guards against a row that seems to exist for ever because it was removed
// while the store's history was gone.
TEST_CASE("a watch reports removals that it has missed") {
  Fixture Table;
  for (int I = 0; I < 60; ++I)
    Table.put("a", "k" + std::to_string(I), "1");
  std::set<std::string> Keys;
  TableWatch Watch(Table.Loop, Table.Loop, Table.Connection,
                   {"t", {"a", "b"}, Millis(1000), true},
                   [&Keys](const std::vector<StoredRow> &Changed) {
                     for (const StoredRow &Row : Changed)
                       if (Row.Removed)
                         Keys.erase(Row.Name.Key);
                       else
                         Keys.insert(Row.Name.Key);
                   });
  Table.Loop.runFor(Millis(100));
  Table.put("b", "new", "1");
  Table.Loop.runFor(Millis(100));
  REQUIRE(Keys.size() == 61);
  Table.Store.Down = true;
  Table.Loop.runFor(Millis(1000));
  RowTransaction Write;
  Write.Removes = {{"t", "a", "k55"}, {"t", "b", "new"}};
  Table.Store.apply(Write);
  Table.Store.HistoryTrimmedTo = Table.Store.version().next();
  Table.Store.Down = false;
  Table.Loop.runFor(Millis(500));
  REQUIRE(Keys.size() == 59);
  REQUIRE(Keys.count("k55") == 0);
}

// Guards against a row whose handling throws and after which the table is never
// followed again: the leader would learn of no further job.
TEST_CASE("a watch goes on after its callback has thrown for a row") {
  Fixture Table;
  Table.put("a", "k1", "1");
  Table.put("a", "k2", "rejected");
  Table.put("a", "k3", "1");
  Table.startWatch();
  REQUIRE_NOTHROW(Table.Loop.runFor(Millis(200)));
  REQUIRE(Table.Rows.size() == 2);
  Table.put("b", "k4", "rejected");
  REQUIRE_NOTHROW(Table.Loop.runFor(Millis(200)));
  Table.put("b", "k5", "1");
  REQUIRE_NOTHROW(Table.Loop.runFor(Millis(200)));
  REQUIRE(Table.Rows.count("bk5") == 1);
  REQUIRE(Table.Rows.count("bk4") == 0);
}

// Guards against taking rows for current that were read long before their
// answer was handled.
TEST_CASE("rows are current as of when the answered call was sent") {
  Fixture Table;
  Table.startWatch();
  REQUIRE(Table.Watch->currentAsOf() == TimePoint{});
  TimePoint Start = Table.Loop.now();
  Table.Loop.runFor(Millis(100));
  REQUIRE(Table.Watch->currentAsOf() == Start);
  // The call that waits for changes was sent after the first read.
  Table.Loop.runFor(Millis(900));
  REQUIRE(Table.Watch->currentAsOf() == Start);
  Table.put("a", "k", "1");
  Table.Loop.runFor(Millis(50));
  REQUIRE(Table.Watch->currentAsOf() > Start);
  REQUIRE(Table.Loop.now() - Table.Watch->currentAsOf() > Millis(900));
  Table.Store.SilentFeeds = true;
  TimePoint Before = Table.Watch->currentAsOf();
  Table.Loop.runFor(Millis(5000));
  REQUIRE(Table.Loop.now() - Table.Watch->currentAsOf() > Millis(5000));
  REQUIRE(Table.Watch->currentAsOf() >= Before);
}
