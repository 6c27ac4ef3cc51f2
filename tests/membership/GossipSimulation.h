#ifndef DAISYSPOOL_TESTS_MEMBERSHIP_GOSSIPSIMULATION_H
#define DAISYSPOOL_TESTS_MEMBERSHIP_GOSSIPSIMULATION_H

#include "daisyspool/membership/SwimProtocol.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace daisyspool {

/// Runs members on a simulated network in virtual time, with delay, loss,
/// duplication, reordering, partitions between failure domains, pauses and
/// restarts.
class GossipSimulation {
public:
  /// First incarnation of each member, of the magnitude of wall-clock
  /// milliseconds.
  static constexpr Incarnation FirstIncarnation{1764842400000};

  struct Network {
    double Loss = 0;
    double Duplicate = 0;
    Duration Delay = std::chrono::microseconds(3500);
    /// Maximum random extra delay, which reorders datagrams.
    Duration Jitter = Millis(2);
  };

  struct Node {
    std::unique_ptr<SwimProtocol> Machine;
    TimePoint Start;
    std::uint64_t Life = 0;
    std::uint64_t Domain = 0;
    bool Running = true;
    bool Paused = false;
  };

  Network Link;
  /// Returns whether datagrams between two failure domains are lost.
  std::function<bool(std::uint64_t, std::uint64_t)> IsPartitioned;
  /// Called with a node's index after it has handled a datagram or a tick.
  std::function<void(std::size_t)> AfterStep;
  std::vector<Node> Nodes;

  GossipSimulation(std::uint64_t Seed, std::uint64_t Domains,
                   SwimProtocol::Options Config = {})
      : Rng(Seed), Domains(Domains), Config(Config) {}

  /// Starts a new member that joins through the first running ones.
  std::size_t add(MemberRole Role = MemberRole::Agent) {
    const std::size_t Index = Nodes.size();
    Nodes.emplace_back();
    Nodes.back().Domain = Index % Domains;
    Roles.push_back(Role);
    startProcess(Index, FirstIncarnation);
    return Index;
  }

  /// Replaces the process of \p Index by a new one with an empty table.
  void restart(std::size_t Index, Incarnation Number) {
    Nodes[Index].Running = true;
    Nodes[Index].Paused = false;
    startProcess(Index, Number);
  }

  void stop(std::size_t Index) { Nodes[Index].Running = false; }

  /// Fills every table with all members, as after a long time without changes.
  void introduceAll() {
    std::vector<MemberUpdate> All;
    for (Node &Each : Nodes)
      All.push_back(MembershipTable::updateOf(
          *Each.Machine->table().find(Each.Machine->self()), true));
    for (Node &Each : Nodes)
      Each.Machine->learn(All, Now);
  }

  TimePoint now() const { return Now; }

  void run(Duration Length) {
    const TimePoint End = Now + Length;
    while (!Events.empty() && Events.top().At <= End) {
      Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      handle(Next);
    }
    Now = End;
  }

  /// Runs until \p Done returns true or \p Limit has passed, and returns the
  /// last result of \p Done.
  bool runUntil(const std::function<bool()> &Done, Duration Limit,
                Duration Step = Millis(100)) {
    const TimePoint End = Now + Limit;
    while (Now < End) {
      if (Done())
        return true;
      run(Step);
    }
    return Done();
  }

  void transmit(std::size_t From, const std::vector<Outgoing> &Datagrams) {
    for (const Outgoing &Each : Datagrams) {
      const std::size_t To = Each.To.Port - 1U;
      const bool Lost = To >= Nodes.size() || Rng.unit() < Link.Loss ||
                        (IsPartitioned &&
                         IsPartitioned(Nodes[From].Domain, Nodes[To].Domain));
      if (Lost)
        continue;
      const int Copies = Rng.unit() < Link.Duplicate ? 2 : 1;
      for (int Copy = 0; Copy < Copies; ++Copy) {
        const Duration Jitter(
            Rng.below(static_cast<std::uint64_t>(Link.Jitter.count()) + 1));
        Events.push({Now + Link.Delay + Jitter, NextOrder++, To, From, false,
                     Nodes[To].Life, Each.Bytes});
      }
    }
  }

  /// Whether every running member's table lists exactly the running members as
  /// alive, with their current incarnations.
  bool converged() const {
    const auto Running = static_cast<std::size_t>(
        std::count_if(Nodes.begin(), Nodes.end(),
                      [](const Node &Each) { return Each.Running; }));
    for (const Node &Viewer : Nodes) {
      if (!Viewer.Running)
        continue;
      const MembershipTable &Table = Viewer.Machine->table();
      if (Table.reachableCount() != Running)
        return false;
      for (const Node &Other : Nodes) {
        const Member *Record = Table.find(Other.Machine->self());
        if (Other.Running && (!Record || Record->State != MemberState::Alive ||
                              Record->Number != Other.Machine->incarnation()))
          return false;
      }
    }
    return true;
  }

  static MemberAddress addressOf(std::size_t Index) {
    return {"10.0.0.1", static_cast<std::uint16_t>(Index + 1)};
  }

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    std::size_t Node = 0;
    std::size_t From = 0;
    bool Tick = false;
    std::uint64_t Life = 0;
    std::string Bytes;

    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void startProcess(std::size_t Index, Incarnation Number) {
    MemberInfo Info;
    Info.Role = Roles[Index];
    Info.Address = addressOf(Index);
    Info.FailureDomain =
        FailureDomainId("domain-" + std::to_string(Nodes[Index].Domain));
    Info.LinkPort = 7000;
    Info.Service = ServiceId("castmatch");
    Info.Vm = VmId("vm-" + std::to_string(Index));
    Nodes[Index].Life = ++LastLife;
    Nodes[Index].Machine = std::make_unique<SwimProtocol>(
        Config, ProcessId("worker-" + std::to_string(Index)), Number, Info,
        Rng.next(), Now);
    std::vector<MemberAddress> Seeds;
    for (std::size_t Seed = 0; Seed < Nodes.size() && Seeds.size() < 2; ++Seed)
      if (Seed != Index && Nodes[Seed].Running)
        Seeds.push_back(addressOf(Seed));
    transmit(Index, Nodes[Index].Machine->join(Seeds, Now));
    scheduleTick(Index);
  }

  void scheduleTick(std::size_t Index) {
    Events.push({std::max(Now, Nodes[Index].Machine->nextWake()),
                 NextOrder++,
                 Index,
                 Index,
                 true,
                 Nodes[Index].Life,
                 {}});
  }

  void handle(const Event &Next) {
    Node &Target = Nodes[Next.Node];
    if (!Target.Running || (Next.Tick && Target.Life != Next.Life))
      return;
    if (Target.Paused) {
      if (Next.Tick)
        Events.push({Now + Millis(50),
                     NextOrder++,
                     Next.Node,
                     Next.Node,
                     true,
                     Target.Life,
                     {}});
      return;
    }

    SwimProtocol &Machine = *Target.Machine;
    if (Next.Tick) {
      if (Now >= Machine.nextWake())
        transmit(Next.Node, Machine.tick(Now));
      scheduleTick(Next.Node);
    } else {
      const TimePoint WakeBefore = Machine.nextWake();
      transmit(Next.Node,
               Machine.receive(addressOf(Next.From), Next.Bytes, Now));
      if (Machine.nextWake() < WakeBefore)
        scheduleTick(Next.Node);
    }
    if (AfterStep)
      AfterStep(Next.Node);
  }

  Random Rng;
  std::uint64_t Domains;
  SwimProtocol::Options Config;
  std::vector<MemberRole> Roles;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  std::uint64_t LastLife = 0;
  TimePoint Now{};
};

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_MEMBERSHIP_GOSSIPSIMULATION_H
