#include "membership/GossipSimulation.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

/// Whether the tables of all running members list \p Index in \p State.
bool allTablesShow(const GossipSimulation &Sim, std::size_t Index,
                   MemberState State) {
  const ProcessId Id = Sim.Nodes[Index].Machine->self();
  return std::all_of(Sim.Nodes.begin(), Sim.Nodes.end(), [&](const auto &Node) {
    const Member *Record = Node.Machine->table().find(Id);
    return !Node.Running || (Record && Record->State == State);
  });
}

} // namespace

// Guards against new members that are missing from the tables of others.
TEST_CASE("members that join through seeds learn of all members") {
  GossipSimulation Sim(1, 3);
  for (int Index = 0; Index < 24; ++Index)
    Sim.add(Index < 3 ? MemberRole::Entry : MemberRole::Agent);

  REQUIRE(Sim.runUntil([&] { return Sim.converged(); }, Millis(30000)));
}

// Guards against a stopped process that stays reachable in some tables.
TEST_CASE("a stopped member is declared dead everywhere") {
  GossipSimulation Sim(2, 3);
  for (int Index = 0; Index < 24; ++Index)
    Sim.add();
  Sim.introduceAll();
  Sim.run(Millis(3000));
  Sim.stop(5);

  REQUIRE(Sim.runUntil([&] { return allTablesShow(Sim, 5, MemberState::Dead); },
                       Millis(60000)));
}

// Guards against live members that are declared dead because of lost datagrams
// and never become alive again.
TEST_CASE("all members are alive again after a loss of 20% of the datagrams") {
  GossipSimulation Sim(3, 3);
  Sim.Link.Loss = 0.2;
  for (int Index = 0; Index < 24; ++Index)
    Sim.add();
  Sim.run(Millis(300000));
  Sim.Link.Loss = 0;

  REQUIRE(Sim.runUntil([&] { return Sim.converged(); }, Millis(60000)));
}

// Guards against a paused process that, on resuming, declares members dead
// although their refutations wait unread in its socket.
TEST_CASE("a process that resumes after a pause declares no member dead") {
  GossipSimulation Sim(4, 3);
  for (int Index = 0; Index < 12; ++Index)
    Sim.add();
  Sim.introduceAll();
  Sim.run(Millis(5000));
  // The process is paused while it suspects members.
  Sim.IsPartitioned = [](std::uint64_t, std::uint64_t) { return true; };
  Sim.run(Millis(3500));
  REQUIRE(Sim.Nodes[4].Machine->counters().Suspected > 0);
  Sim.Nodes[4].Paused = true;
  Sim.IsPartitioned = nullptr;
  Sim.run(Millis(120000));
  const auto DeadBefore = Sim.Nodes[4].Machine->counters().DeclaredDead;
  Sim.Nodes[4].Paused = false;

  REQUIRE(Sim.runUntil([&] { return Sim.converged(); }, Millis(60000)));
  REQUIRE(Sim.Nodes[4].Machine->counters().DeclaredDead == DeadBefore);
}

// Guards against a network partition that splits the membership permanently,
// against bursts of datagrams when it heals, and against members that their own
// side declares dead when it receives the other side's reports of their death.
TEST_CASE("a partition of one hour heals within the rate limit") {
  GossipSimulation Sim(5, 3);
  for (int Index = 0; Index < 30; ++Index)
    Sim.add(Index < 3 ? MemberRole::Entry : MemberRole::Agent);
  Sim.introduceAll();
  Sim.IsPartitioned = [](std::uint64_t One, std::uint64_t Other) {
    return (One == 0) != (Other == 0);
  };
  Sim.run(std::chrono::hours(1));
  REQUIRE(Sim.Nodes[1].Machine->table().reachableCount() == 20);

  Sim.IsPartitioned = nullptr;
  std::vector<std::uint64_t> Before;
  for (const auto &Node : Sim.Nodes)
    Before.push_back(Node.Machine->counters().SentBytes);
  const TimePoint HealedAt = Sim.now();
  std::size_t UnreachableOnOwnSide = 0;
  const auto CheckConvergence = [&] {
    for (const auto &Viewer : Sim.Nodes)
      for (const auto &Other : Sim.Nodes)
        UnreachableOnOwnSide +=
            (Viewer.Domain == 0) == (Other.Domain == 0) &&
            !Viewer.Machine->table().find(Other.Machine->self())->reachable();
    return Sim.converged();
  };
  REQUIRE(Sim.runUntil(CheckConvergence, Millis(60000)));
  REQUIRE(UnreachableOnOwnSide == 0);

  const double Seconds =
      std::chrono::duration<double>(Sim.now() - HealedAt).count();
  for (std::size_t Index = 0; Index < Sim.Nodes.size(); ++Index) {
    const auto Sent =
        Sim.Nodes[Index].Machine->counters().SentBytes - Before[Index];
    REQUIRE(static_cast<double>(Sent) <= 4096 * (Seconds + 1));
  }
}

// Guards against work that is sent to a leaving or draining target because the
// entries learn of it too late.
TEST_CASE("entries learn of a leave and of a drain within three seconds") {
  GossipSimulation Sim(6, 3);
  Sim.Link.Loss = 0.05;
  for (int Index = 0; Index < 40; ++Index)
    Sim.add(Index < 3 ? MemberRole::Entry : MemberRole::Agent);
  Sim.introduceAll();
  Sim.run(Millis(5000));

  SwimProtocol &Draining = *Sim.Nodes[20].Machine;
  MemberInfo Info = Draining.table().find(Draining.self())->Info;
  Info.Draining = true;
  Sim.transmit(20, Draining.changeInfo(Info, Sim.now()));
  SwimProtocol &Leaving = *Sim.Nodes[21].Machine;
  Sim.transmit(21, Leaving.leave(Sim.now()));

  REQUIRE(Sim.runUntil(
      [&] {
        for (std::size_t Entry = 0; Entry < 3; ++Entry) {
          const auto &Table = Sim.Nodes[Entry].Machine->table();
          if (!Table.find(Draining.self())->Info.Draining ||
              Table.find(Leaving.self())->State != MemberState::Left)
            return false;
        }
        return true;
      },
      Millis(3000)));
}

// Guards against a replaced VM that stays dead in the tables of others because
// its clock is behind, so that its incarnation is lower than the previous one.
TEST_CASE("a member that restarts with a lower incarnation becomes alive") {
  GossipSimulation Sim(7, 3);
  for (int Index = 0; Index < 12; ++Index)
    Sim.add();
  Sim.introduceAll();
  Sim.stop(3);
  Sim.run(Millis(60000));
  Sim.restart(3, Incarnation(1));

  REQUIRE(Sim.runUntil([&] { return Sim.converged(); }, Millis(60000)));
  REQUIRE(Sim.Nodes[3].Machine->incarnation() >
          GossipSimulation::FirstIncarnation);
}

// Guards against malformed input that crashes a process or changes its table.
TEST_CASE("malformed datagrams throw typed errors and are counted") {
  GossipSimulation Sim(8, 1);
  Sim.add();
  Sim.add();
  SwimProtocol &Machine = *Sim.Nodes[0].Machine;
  Datagram Message{ProcessId("worker-1"), Incarnation(1), {}, Probe{1}, {}};
  const std::string Good = encode(Message);

  std::uint64_t Expected = 0;
  for (std::size_t Size = 0; Size < Good.size(); ++Size, ++Expected)
    REQUIRE_THROWS_AS(
        Machine.receive(Sim.addressOf(1), Good.substr(0, Size), Sim.now()),
        MalformedDatagram);
  // An array header that announces 2^32 - 1 elements.
  REQUIRE_THROWS_AS(
      Machine.receive(Sim.addressOf(1), "\xdd\xff\xff\xff\xff", Sim.now()),
      MalformedDatagram);
  REQUIRE(Machine.counters().Malformed == Expected + 1);

  std::string Newer = Good;
  Newer[1] = 2;
  REQUIRE_THROWS_AS(Machine.receive(Sim.addressOf(1), Newer, Sim.now()),
                    UnsupportedVersion);
  REQUIRE(Machine.counters().OtherVersion == 1);
  REQUIRE(Machine.table().size() == 1);
  REQUIRE(Machine.refuse(Sim.addressOf(1), Sim.now()).size() == 1);
}

// Guards against corrupted datagrams that crash the decoder.
TEST_CASE("a randomly corrupted datagram throws no other exception") {
  Random Rng(9);
  Datagram Message{ProcessId("worker-1"),
                   Incarnation(7),
                   {ConfigVersion(3), Millis(5)},
                   SyncBuckets{{{3, 0, 9, {{1, 2}, {3, 4}}}}},
                   {}};
  MemberInfo Info;
  Info.Address = {"10.0.0.1", 7};
  Message.Updates.push_back({ProcessId("worker-2"), MemberState::Alive,
                             Incarnation(2), Incarnation(1), Info});
  const std::string Good = encode(Message);
  REQUIRE(encode(decode(Good)) == Good);

  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Good;
    for (std::uint64_t Change = Rng.below(4) + 1; Change > 0; --Change)
      Bytes[Rng.below(Bytes.size())] = static_cast<char>(Rng.below(256));
    try {
      decode(Bytes);
    } catch (const ProtocolError &) {
      continue;
    }
  }
  SUCCEED();
}

// Guards against a new member that disseminates the whole table that it
// received when it joined.
TEST_CASE("records read from another table are not disseminated") {
  GossipSimulation Sim(10, 1);
  Sim.add();
  SwimProtocol &Machine = *Sim.Nodes[0].Machine;
  MemberInfo Info;
  Info.Address = {"10.0.0.1", 9};
  const MemberUpdate Other{ProcessId("other"), MemberState::Alive,
                           Incarnation(1), Incarnation(1), Info};
  Machine.learn({Other}, Sim.now());
  REQUIRE(Machine.table().find(Other.Id) != nullptr);

  const Datagram Ask{Other.Id, Other.Number, {}, Probe{1}, {}};
  const auto Answers = Machine.receive(Info.Address, encode(Ask), Sim.now());
  REQUIRE(Answers.size() == 1);
  const Datagram Answer = decode(Answers.front().Bytes);
  REQUIRE(Answer.Updates.size() == 1);
  REQUIRE(Answer.Updates.front().Id == Machine.self());
}
