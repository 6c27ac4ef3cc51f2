#include "daisyspool/http/InboundBudget.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace daisyspool;
using http::InboundBudget;
using http::InboundEvent;
using http::InboundShare;

namespace {

/// A budget of 100 KiB for large and 128 KiB for all connections, and the
/// connections that it has closed.
struct BudgetedCrowd {
  BudgetedCrowd() : Budget(limits()) {}

  static InboundBudget::Limits limits() {
    InboundBudget::Limits Result;
    Result.ProcessBytes = 128 * 1024;
    Result.ConnectionBytes = 64 * 1024;
    Result.ReservedBytes = 28 * 1024;
    Result.SmallBytes = 16 * 1024;
    Result.Connections = 8;
    return Result;
  }

  /// Opens connection \p Name; false if it is refused.
  bool open(int Name) {
    auto Share = Budget.open(
        [this, Name](InboundEvent) {
          Closed.insert(Name);
          Shares.erase(Name);
        },
        Now);
    bool Admitted = Share != nullptr;
    if (Admitted)
      Shares[Name] = std::move(Share);
    return Admitted;
  }

  /// Connection \p Name has received \p Bytes in all, the last of them now.
  bool receive(int Name, std::size_t Bytes, std::size_t Missing = 1 << 30) {
    std::size_t Before = Received[Name];
    Received[Name] = Bytes;
    return Shares.at(Name)->receive(Bytes, Bytes - Before, Missing, Now);
  }

  InboundBudget Budget;
  std::map<int, std::unique_ptr<InboundShare>> Shares;
  std::map<int, std::size_t> Received;
  std::set<int> Closed;
  TimePoint Now{Duration(std::chrono::hours(1))};
};

constexpr std::size_t Kib = 1024;

} // namespace

// Load pattern: large bodies that stop just short of their end. Guards against
// holding all of them, and against a large body that displaces one that still
// arrives.
TEST_CASE("a stalled large request gives way, one that progresses does not") {
  BudgetedCrowd Crowd;
  REQUIRE(Crowd.open(1));
  REQUIRE(Crowd.receive(1, 50 * Kib));
  Crowd.Now += Millis(1500);
  REQUIRE(Crowd.open(2));
  REQUIRE(Crowd.receive(2, 20 * Kib));
  REQUIRE(Crowd.open(3));
  REQUIRE(Crowd.receive(3, 40 * Kib));
  REQUIRE(Crowd.Closed == std::set<int>{1});
  // Nobody has stalled: the newcomer is refused.
  REQUIRE(Crowd.open(4));
  REQUIRE_FALSE(Crowd.receive(4, 40 * Kib));
  Crowd.Shares.erase(4);
  REQUIRE(Crowd.Closed == std::set<int>{1});
  REQUIRE(Crowd.receive(3, 41 * Kib));
}

// Guards against a request that is refused just before its end because others
// have filled the memory since.
TEST_CASE("a request that is about to be complete is not refused") {
  BudgetedCrowd Crowd;
  REQUIRE(Crowd.open(1));
  REQUIRE(Crowd.receive(1, 60 * Kib - InboundShare::BaseBytes));
  for (int Name = 2; Name < 7; ++Name) {
    REQUIRE(Crowd.open(Name));
    REQUIRE(Crowd.receive(Name, 10 * Kib - InboundShare::BaseBytes));
  }
  REQUIRE(Crowd.Budget.heldBytes() > 100 * Kib);
  REQUIRE(Crowd.receive(1, 61 * Kib - InboundShare::BaseBytes, 2 * Kib));
  REQUIRE_FALSE(Crowd.receive(1, 62 * Kib - InboundShare::BaseBytes, 20 * Kib));
}

// Load pattern: a crowd fills the memory at once, so that nobody has stalled.
// Guards against ordinary requests that are refused as long as it stays.
TEST_CASE("a small request displaces an incomplete one") {
  BudgetedCrowd Crowd;
  for (int Name = 1; Name <= 7; ++Name) {
    REQUIRE(Crowd.open(Name));
    Crowd.Shares.at(Name)->send(12 * Kib, Crowd.Now);
  }
  REQUIRE(Crowd.Closed.empty());
  Crowd.Now += Millis(1);
  REQUIRE(Crowd.open(8));
  REQUIRE(Crowd.receive(8, 2 * Kib));
  REQUIRE(Crowd.Closed.size() == 1);
  REQUIRE(Crowd.Closed.count(8) == 0);
}

// Guards against closing the connection of a request that is being carried out,
// whose caller would not learn what became of it.
TEST_CASE("a request in progress is not closed for others") {
  BudgetedCrowd Crowd;
  REQUIRE(Crowd.open(1));
  REQUIRE(Crowd.receive(1, 50 * Kib));
  Crowd.Shares.at(1)->process(Crowd.Now);
  Crowd.Now += Millis(10000);
  REQUIRE(Crowd.open(2));
  REQUIRE_FALSE(Crowd.receive(2, 50 * Kib));
  REQUIRE(Crowd.Closed.empty());
  // Once it is answered and the caller does not read, it may be.
  Crowd.Shares.at(1)->send(50 * Kib, Crowd.Now);
  Crowd.Now += Millis(1500);
  REQUIRE(Crowd.open(3));
  REQUIRE(Crowd.receive(3, 50 * Kib));
}

// Load pattern: connections that stay open without a request take all
// descriptors. Guards against refusing the callers that come later.
TEST_CASE("the longest idle connection is closed for a new one") {
  BudgetedCrowd Crowd;
  for (int Name = 1; Name <= 8; ++Name) {
    REQUIRE(Crowd.open(Name));
    Crowd.Now += Millis(10);
  }
  REQUIRE(Crowd.receive(1, Kib));
  REQUIRE(Crowd.open(9));
  REQUIRE(Crowd.Closed == std::set<int>{2});
  for (auto &[Name, Share] : Crowd.Shares)
    Share->process(Crowd.Now);
  REQUIRE_FALSE(Crowd.open(10));
}

// Guards against a sender of single bytes that keeps its memory for ever.
TEST_CASE("few bytes do not count as progress") {
  BudgetedCrowd Crowd;
  REQUIRE(Crowd.open(1));
  REQUIRE(Crowd.receive(1, 2 * Kib));
  TimePoint Limit = Crowd.Shares.at(1)->tooSlowAt();
  Crowd.Now += Millis(500);
  REQUIRE(Crowd.receive(1, 2 * Kib + 1));
  REQUIRE(Crowd.Shares.at(1)->tooSlowAt() == Limit);
  REQUIRE(Crowd.receive(1, 4 * Kib));
  REQUIRE(Crowd.Shares.at(1)->tooSlowAt() == Limit + Millis(500));
}

// Guards against limits that a machine of the platform cannot hold, and against
// ones that ordinary callers meet.
TEST_CASE("the inbound limits follow the memory and descriptors of a machine") {
  auto Entry = InboundBudget::limitsFor(MebiBytes(160), 4100);
  REQUIRE(Entry.ProcessBytes == 40 * Kib * Kib);
  REQUIRE(Entry.ConnectionBytes >= 4 * Kib * Kib);
  REQUIRE(Entry.Connections > 2000);
  REQUIRE(Entry.Connections * InboundShare::BaseBytes <=
          Entry.ProcessBytes / 2);
  auto Few = InboundBudget::limitsFor(MebiBytes(160), 280);
  REQUIRE(Few.Connections == 16);
}
