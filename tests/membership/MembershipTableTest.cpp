#include "daisyspool/membership/MembershipTable.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace daisyspool;

namespace {

MemberUpdate randomUpdate() {
  MemberUpdate Update;
  Update.Id = ProcessId("w" + std::to_string(*rc::gen::inRange(0, 4)));
  Update.State = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  const auto Number = *rc::gen::inRange<std::uint64_t>(1, 6);
  Update.Number = Incarnation(Number);
  Update.InfoNumber =
      Incarnation(*rc::gen::inRange<std::uint64_t>(1, Number + 1));
  MemberInfo Info;
  Info.Address = {"10.0.0.1",
                  static_cast<std::uint16_t>(Update.InfoNumber.value())};
  Update.Info = Info;
  return Update;
}

} // namespace

// Guards against an older update that overwrites a newer one because it arrives
// later or twice.
TEST_CASE("a table keeps the newest update of each member in any order") {
  const bool Passed = rc::check("newest wins", [] {
    std::vector<MemberUpdate> Updates(*rc::gen::inRange<std::size_t>(1, 40));
    std::generate(Updates.begin(), Updates.end(), randomUpdate);
    // A member is stored only once an update that is not Dead or Left arrives.
    std::map<ProcessId, std::pair<Incarnation, MemberState>> Newest;
    std::map<ProcessId, Incarnation> NewestInfo;
    MembershipTable Table;
    for (const MemberUpdate &Update : Updates) {
      Table.apply(Update, TimePoint());
      const bool IsGone = Update.State == MemberState::Dead ||
                          Update.State == MemberState::Left;
      if (!Newest.count(Update.Id) && IsGone)
        continue;
      auto &State = Newest[Update.Id];
      State = std::max(State, {Update.Number, Update.State});
      NewestInfo[Update.Id] =
          std::max(NewestInfo[Update.Id], Update.InfoNumber);
    }

    RC_ASSERT(Table.size() == Newest.size());
    std::size_t Reachable = 0;
    for (const auto &[Id, State] : Newest) {
      const Member *Stored = Table.find(Id);
      RC_ASSERT(Stored != nullptr);
      RC_ASSERT((std::pair(Stored->Number, Stored->State) == State));
      RC_ASSERT(Stored->InfoNumber == NewestInfo[Id]);
      RC_ASSERT(Stored->Info.Address.Port == Stored->InfoNumber.value());
      Reachable += Stored->reachable();
    }
    RC_ASSERT(Table.reachableCount() == Reachable);

    // The digest does not depend on the order of the updates.
    MembershipTable Copy;
    Table.forEach([&](const Member &Each) {
      Copy.apply(MembershipTable::updateOf(Each, true), TimePoint());
    });
    RC_ASSERT(Copy.digest() == Table.digest());
  });
  REQUIRE(Passed);
}

// Guards against a table that grows with each replaced VM.
TEST_CASE("dead members are forgotten and their slots reused") {
  MembershipTable Table;
  MemberInfo Info;
  Info.Address = {"10.0.0.1", 1};
  for (int Round = 0; Round < 100; ++Round) {
    const ProcessId Id("w" + std::to_string(Round));
    Table.apply({Id, MemberState::Alive, Incarnation(1), Incarnation(1), Info},
                TimePoint(Millis(Round)));
    Table.apply({Id, MemberState::Dead, Incarnation(1), Incarnation(1), {}},
                TimePoint(Millis(Round)));
    Table.forget(TimePoint(Millis(Round)));
    REQUIRE(Table.size() == 1);
  }
  // Each member is stored before the previous one is forgotten, so two slots
  // are used.
  REQUIRE((Table.at(0) == nullptr) != (Table.at(1) == nullptr));
  REQUIRE(Table.at(2) == nullptr);
}
