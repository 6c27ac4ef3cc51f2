#include "config/ConfigSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>

using namespace daisyspool;

namespace {

constexpr std::size_t Members = 9;
constexpr std::size_t Entries = 3;
/// Maximum times until membership and configuration have converged after the
/// last disturbance.
constexpr Millis MembershipBound{60000};
constexpr Millis ConfigBound{7000};

/// The members that are stopped. The accepted versions are in Fleet::History.
struct FleetModel {
  std::set<std::size_t> Stopped;
};

/// The simulated fleet and the versions that operators were told are accepted.
struct Fleet {
  ConfigSimulation Sim{21, Members, Entries, 3};
  std::map<std::uint64_t, ConfigEntries> History{{0, {}}};
  std::uint64_t NextChange = 1;
  std::uint64_t LastIncarnation =
      GossipSimulation::FirstIncarnation.value() + 1000;

  struct ObservedVersion {
    std::uint64_t Life = 0;
    ConfigVersion Version;
  };
  std::vector<ObservedVersion> LastObserved =
      std::vector<ObservedVersion>(Members);

  /// Checks that no process reverts to an older version, and that the content
  /// of each version is the one that was accepted.
  void checkVersions() {
    for (std::size_t Index = 0; Index < Members; ++Index) {
      const ConfigDocument &Document = Sim.spread(Index).document();
      const std::uint64_t Life = Sim.Gossip.Nodes[Index].Life;
      if (LastObserved[Index].Life == Life)
        RC_ASSERT(Document.version() >= LastObserved[Index].Version);
      LastObserved[Index] = {Life, Document.version()};
      RC_ASSERT(History.count(Document.version().value()) == 1U);
      RC_ASSERT(Document.entries() == History[Document.version().value()]);
    }
  }

  void run(Millis Length) {
    for (Millis Done(0); Done < Length; Done += Millis(100)) {
      Sim.Gossip.run(Millis(100));
      checkVersions();
    }
  }

  /// Returns \p From with its counter incremented.
  static ConfigEntries incremented(const ConfigEntries &From) {
    ConfigEntries Next = From;
    const auto Old = Next.find("counter/a");
    const auto Value = Old == Next.end() ? 0 : std::stoull(Old->second);
    Next["counter/a"] = std::to_string(Value + 1);
    return Next;
  }

  /// Proposes an operator's change through entry \p Index. Returns whether it
  /// was accepted.
  bool propose(std::size_t Index) {
    const auto Base = Sim.spread(Index).document().entries();
    const ConfigEntries Next = incremented(Base);
    const ChangeOrigin Origin{ChangeId(std::to_string(NextChange++)),
                              OperatorId("ada"), 1};
    try {
      const auto Result = Sim.propose(Index, Next, Origin);
      History[Result.Version.value()] = Next;
      return true;
    } catch (const ConfigConflict &Conflict) {
      RC_ASSERT(Conflict.current() > Conflict.expected());
      return false;
    }
  }
};

using FleetCommand = rc::state::Command<FleetModel, Fleet>;

struct Advance : FleetCommand {
  int Tenths = *rc::gen::inRange(1, 150);

  void run(const FleetModel &, Fleet &Sut) const override {
    Sut.run(Millis(100) * Tenths);
  }
  void show(std::ostream &To) const override {
    To << "Advance(" << Tenths << ")";
  }
};

struct Stop : FleetCommand {
  std::size_t Index = *rc::gen::inRange<std::size_t>(1, Members);

  void checkPreconditions(const FleetModel &Model) const override {
    RC_PRE(!Model.Stopped.count(Index));
  }
  void apply(FleetModel &Model) const override { Model.Stopped.insert(Index); }
  void run(const FleetModel &, Fleet &Sut) const override {
    Sut.Sim.Gossip.stop(Index);
  }
  void show(std::ostream &To) const override { To << "Stop(" << Index << ")"; }
};

/// Replaces the process of member \c Index by a new one. If \c ClockBehind is
/// set, its incarnation is 1, as if its clock were behind.
struct Restart : FleetCommand {
  std::size_t Index = *rc::gen::inRange<std::size_t>(0, Members);
  bool ClockBehind = *rc::gen::arbitrary<bool>();

  void apply(FleetModel &Model) const override { Model.Stopped.erase(Index); }
  void run(const FleetModel &, Fleet &Sut) const override {
    Sut.Sim.Gossip.restart(
        Index, Incarnation(ClockBehind ? 1 : ++Sut.LastIncarnation));
    Sut.checkVersions();
  }
  void show(std::ostream &To) const override {
    To << "Restart(" << Index << ", " << ClockBehind << ")";
  }
};

struct Disturb : FleetCommand {
  int CutDomain = *rc::gen::inRange(-1, 3);
  int LossPercent = *rc::gen::element(0, 5, 30);
  int DuplicatePercent = *rc::gen::element(0, 20);
  bool StoreDown = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});

  void run(const FleetModel &, Fleet &Sut) const override {
    Sut.Sim.Gossip.Link.Loss = LossPercent / 100.0;
    Sut.Sim.Gossip.Link.Duplicate = DuplicatePercent / 100.0;
    Sut.Sim.Gossip.Link.Jitter = Millis(LossPercent * 10);
    Sut.Sim.Rows.Down = StoreDown;
    const int Domain = CutDomain;
    Sut.Sim.Gossip.IsPartitioned = [Domain](std::uint64_t One,
                                            std::uint64_t Other) {
      return One != Other && (static_cast<int>(One) == Domain ||
                              static_cast<int>(Other) == Domain);
    };
  }
  void show(std::ostream &To) const override {
    To << "Disturb(" << CutDomain << ", " << LossPercent << ", "
       << DuplicatePercent << ", " << StoreDown << ")";
  }
};

/// An operator's change through one entry, which may have an old version, while
/// the store may lose requests and answers.
struct Change : FleetCommand {
  std::size_t Entry = *rc::gen::inRange<std::size_t>(0, Entries);
  unsigned LostAnswers = *rc::gen::inRange(0, 3);
  unsigned LostRequests = *rc::gen::inRange(0, 2);

  void run(const FleetModel &, Fleet &Sut) const override {
    if (!Sut.Sim.Gossip.Nodes[Entry].Running || Sut.Sim.Rows.Down)
      return;
    Sut.Sim.Rows.LoseAnswers = LostAnswers;
    Sut.Sim.Rows.LoseRequests = LostRequests;
    const auto Before = Sut.Sim.Store.head().Version;
    const bool UpToDate = Sut.Sim.spread(Entry).document().version() == Before;
    RC_ASSERT(Sut.propose(Entry) == UpToDate);
    RC_ASSERT(Sut.Sim.Store.head().Version ==
              (UpToDate ? Before.next() : Before));
    Sut.Sim.Rows.LoseAnswers = 0;
    Sut.Sim.Rows.LoseRequests = 0;
    Sut.checkVersions();
  }
  void show(std::ostream &To) const override {
    To << "Change(" << Entry << ", " << LostAnswers << ", " << LostRequests
       << ")";
  }
};

/// Two operators change the same version through two entries concurrently.
struct Race : FleetCommand {
  std::size_t First = *rc::gen::inRange<std::size_t>(0, Entries);
  std::size_t Second = *rc::gen::inRange<std::size_t>(0, Entries);

  void run(const FleetModel &, Fleet &Sut) const override {
    const auto &Nodes = Sut.Sim.Gossip.Nodes;
    if (First == Second || !Nodes[First].Running || !Nodes[Second].Running ||
        Sut.Sim.Rows.Down)
      return;
    const auto Before = Sut.Sim.Store.head().Version;
    unsigned Accepted = 0;
    Sut.Sim.Rows.BeforeCommit = [&] { Accepted += Sut.propose(Second); };
    Accepted += Sut.propose(First);
    Sut.Sim.Rows.BeforeCommit = nullptr;
    RC_ASSERT(Sut.Sim.Store.head().Version.value() ==
              Before.value() + Accepted);
    Sut.checkVersions();
  }
  void show(std::ostream &To) const override {
    To << "Race(" << First << ", " << Second << ")";
  }
};

/// Ends all disturbances, and checks that every running member converges to the
/// latest accepted version.
void requireConvergence(Fleet &Sut) {
  Sut.Sim.Gossip.Link = {};
  Sut.Sim.Gossip.IsPartitioned = nullptr;
  Sut.Sim.Rows.Down = false;
  RC_ASSERT(Sut.Sim.Gossip.runUntil([&] { return Sut.Sim.Gossip.converged(); },
                                    MembershipBound));

  const auto Running = static_cast<std::size_t>(
      std::count_if(Sut.Sim.Gossip.Nodes.begin(), Sut.Sim.Gossip.Nodes.end(),
                    [](const auto &Node) { return Node.Running; }));
  const ConfigVersion Head = Sut.Sim.Store.head().Version;
  RC_ASSERT(Sut.Sim.Gossip.runUntil(
      [&] { return Sut.Sim.countInForce(Head) == Running; }, ConfigBound));
  Sut.checkVersions();

  // Each accepted change has incremented the counter exactly once.
  const ConfigDocument Final = Sut.Sim.Store.load();
  const auto Counter = Final.entries().find("counter/a");
  const auto Value =
      Counter == Final.entries().end() ? 0 : std::stoull(Counter->second);
  RC_ASSERT(Value == Head.value());
}

} // namespace

// Guards against reverted or lost changes, against running members that stay
// dead in the tables of others, and against processes that do not converge,
// under random combinations of failures.
TEST_CASE("a fleet converges on the accepted configuration after failures") {
  const bool Passed = rc::check("fleet", [] {
    Fleet Sut;
    Sut.Sim.Gossip.introduceAll();
    rc::state::check(
        FleetModel(), Sut,
        rc::state::gen::execOneOfWithArgs<Advance, Stop, Restart, Disturb,
                                          Change, Race>());
    requireConvergence(Sut);
  });
  REQUIRE(Passed);
}

// Guards against parts of a fleet that stay separate, because every process was
// replaced during a network partition and knows no member of the other parts.
TEST_CASE(
    "parts that do not know each other join through the list of entries") {
  ConfigSimulation Sim(22, Members, Entries, 3);
  Sim.Gossip.introduceAll();
  Sim.Gossip.IsPartitioned = [](std::uint64_t One, std::uint64_t Other) {
    return One != Other;
  };
  Sim.Gossip.run(Millis(60000));
  for (std::size_t Index = 0; Index < Members; ++Index)
    Sim.Gossip.restart(
        Index,
        Incarnation(GossipSimulation::FirstIncarnation.value() + 1 + Index));
  Sim.Gossip.run(Millis(60000));
  REQUIRE(Sim.Gossip.Nodes[0].Machine->table().reachableCount() == 3);
  Sim.Gossip.IsPartitioned = nullptr;

  REQUIRE(Sim.Gossip.runUntil([&] { return Sim.Gossip.converged(); },
                              MembershipBound));
}
