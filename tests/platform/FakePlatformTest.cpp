#include "support/FakePlatform.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

const RowKey Head{"shard/3", "head"};
const RowKey Entry{"shard/3", "entry/00000000000000000001"};

Transaction append(const std::string &Token, std::uint64_t HeadVersion) {
  return {
      Token,
      {PutRow{Entry, 1, "batch", MustNotExist{}},
       PutRow{Head, HeadVersion + 1, "owner", MustHaveVersion{HeadVersion}}}};
}

} // namespace

// Guards against a transaction that is applied in part.
TEST_CASE("a failed condition changes no row") {
  ManualClock Time;
  FakePlatform Platform(Time);
  FakeTable Table(Platform);
  Table.commit({"init", {PutRow{Head, 7, "owner", MustNotExist{}}}});

  REQUIRE_THROWS_AS(Table.commit(append("a", 6)), ConditionFailed);

  REQUIRE_FALSE(Table.read(Entry).has_value());
  REQUIRE(Table.read(Head)->Version == 7);
}

// Guards against a write whose answer is lost and that is treated as if it had
// no effect.
TEST_CASE("a write with a lost answer is found by reading back") {
  ManualClock Time;
  FakePlatform Platform(Time);
  FakeTable Table(Platform);
  Table.commit({"init", {PutRow{Head, 7, "owner", MustNotExist{}}}});
  Table.Faults.LoseAnswers = 1;

  REQUIRE_THROWS_AS(Table.commit(append("a", 7)), PlatformUnavailable);
  REQUIRE(Table.read(Entry)->Value == "batch");

  REQUIRE_NOTHROW(Table.commit(append("a", 7)));
  REQUIRE(Table.read(Head)->Version == 8);
}

// Guards against a fake whose tokens never expire or also match a different
// transaction, unlike those of the real service.
TEST_CASE("a token covers one transaction for ten minutes") {
  ManualClock Time;
  FakePlatform Platform(Time);
  FakeTable Table(Platform);
  Table.commit({"a", {PutRow{Head, 1, "x", MustNotExist{}}}});

  REQUIRE_THROWS_AS(Table.commit({"a", {PutRow{Head, 1, "y", MustNotExist{}}}}),
                    PlatformProtocolError);
  Time.advance(std::chrono::minutes(10));
  REQUIRE_THROWS_AS(Table.commit({"a", {PutRow{Head, 1, "x", MustNotExist{}}}}),
                    ConditionFailed);
}

// Guards against a client that assumes that a write without an answer can no
// longer take effect.
TEST_CASE("a delayed write takes effect after the client gave up") {
  ManualClock Time;
  FakePlatform Platform(Time);
  FakeTable Table(Platform);
  Table.Faults.DelayRequests = 1;

  REQUIRE_THROWS_AS(Table.commit({"a", {PutRow{Head, 1, "x", MustNotExist{}}}}),
                    PlatformUnavailable);
  REQUIRE_FALSE(Table.read(Head).has_value());

  Platform.deliverDelayed();
  REQUIRE(Table.read(Head)->Value == "x");
}

// Guards against a fault of one client that also affects the others, so that no
// test could cover a takeover.
TEST_CASE("faults of one client leave the others working") {
  ManualClock Time;
  FakePlatform Platform(Time);
  FakeTable Disconnected(Platform);
  FakeTable Working(Platform);
  Disconnected.Faults.Down = true;

  REQUIRE_THROWS_AS(Disconnected.read(Head), PlatformUnavailable);
  REQUIRE_NOTHROW(Working.read(Head));

  Platform.WritesPerSecond = 1;
  Working.commit({"a", {PutRow{Head, 1, "x", Unconditional{}}}});
  REQUIRE_THROWS_AS(Working.commit({"b", {DeleteRow{Head, Unconditional{}}}}),
                    PlatformThrottled);
  Time.advance(std::chrono::seconds(1));
  REQUIRE_NOTHROW(Working.commit({"b", {DeleteRow{Head, Unconditional{}}}}));
}
