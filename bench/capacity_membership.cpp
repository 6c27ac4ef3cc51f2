// Measures what membership and configuration distribution cost each node, and
// fits the slopes that docs/CAPACITY.md extrapolates from. Times on the network
// are virtual; processor time and memory are real.
#include "config/ConfigSimulation.h"
#include "daisyspool/core/Clock.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <numeric>
#include <string>
#include <vector>

using namespace daisyspool;

namespace {

constexpr std::size_t MinEntries = 3;
constexpr std::size_t AgentsPerEntry = 800;
constexpr int ChangesMeasured = 10;

std::size_t entriesOf(std::size_t Members) {
  return std::max(MinEntries, Members / AgentsPerEntry);
}

void printMetric(const char *Name, const std::string &Variant,
                 const char *Metric, double Value) {
  std::printf("bench=%s variant=%s metric=%s value=%.6g\n", Name,
              Variant.c_str(), Metric, Value);
  std::fflush(stdout);
}

/// Least-squares line through one point for each size.
class LinearFit {
public:
  void add(double X, double Y) {
    Xs.push_back(X);
    Ys.push_back(Y);
  }

  void print(const char *Name, const char *Unit, const char *Per) const {
    const double N = static_cast<double>(Xs.size());
    const double MeanX = std::accumulate(Xs.begin(), Xs.end(), 0.0) / N;
    const double MeanY = std::accumulate(Ys.begin(), Ys.end(), 0.0) / N;
    double Sxx = 0;
    double Sxy = 0;
    double Syy = 0;
    for (std::size_t Index = 0; Index < Xs.size(); ++Index) {
      Sxx += (Xs[Index] - MeanX) * (Xs[Index] - MeanX);
      Sxy += (Xs[Index] - MeanX) * (Ys[Index] - MeanY);
      Syy += (Ys[Index] - MeanY) * (Ys[Index] - MeanY);
    }
    const double R2 = Syy == 0 ? 1 : Sxy * Sxy / (Sxx * Syy);
    std::printf("slope=%s unit=%s per=%s value=%.6g r2=%.4f\n", Name, Unit, Per,
                Sxy / Sxx, R2);
    std::fflush(stdout);
  }

private:
  std::vector<double> Xs;
  std::vector<double> Ys;
};

std::string variantName(std::size_t Count) {
  return "members_" + std::to_string(Count);
}

double processorSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) +
         1e-9 * static_cast<double>(Now.tv_nsec);
}

double percentile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::ceil(Share * Last))];
}

/// Computes the send rates since the last call: bytes and datagrams per second
/// and node, and the bytes per second of the busiest node.
class Traffic {
public:
  struct Rates {
    double Bytes = 0;
    double Datagrams = 0;
    double BusiestBytes = 0;
  };

  explicit Traffic(const GossipSimulation &Sim) : Sim(Sim) {
    ratesSinceLastCall();
  }

  Rates ratesSinceLastCall() {
    const double Seconds = std::max(
        1e-9, std::chrono::duration<double>(Sim.now() - Since).count());
    Rates Result;
    Bytes.resize(Sim.Nodes.size());
    Datagrams.resize(Sim.Nodes.size());
    for (std::size_t Index = 0; Index < Sim.Nodes.size(); ++Index) {
      const SwimCounters &Now = Sim.Nodes[Index].Machine->counters();
      const double Sent = static_cast<double>(
          Now.SentBytes - std::min(Now.SentBytes, Bytes[Index]));
      Result.Bytes += Sent;
      Result.Datagrams +=
          static_cast<double>(Now.Sent - std::min(Now.Sent, Datagrams[Index]));
      Result.BusiestBytes = std::max(Result.BusiestBytes, Sent / Seconds);
      Bytes[Index] = Now.SentBytes;
      Datagrams[Index] = Now.Sent;
    }
    const double Scale = Seconds * static_cast<double>(Sim.Nodes.size());
    Result.Bytes /= Scale;
    Result.Datagrams /= Scale;
    Since = Sim.now();
    return Result;
  }

private:
  const GossipSimulation &Sim;
  TimePoint Since;
  std::vector<std::uint64_t> Bytes;
  std::vector<std::uint64_t> Datagrams;
};

std::size_t countUnconfirmed(ConfigSimulation &Sim) {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Sim.Gossip.Nodes.size(); ++Index)
    Count += !Sim.spread(Index).confirmed(Sim.Gossip.now());
  return Count;
}

struct FleetSlopes {
  LinearFit QuietBytes;
  LinearFit QuietDatagrams;
  LinearFit RestartBytes;
  LinearFit ChangeBytes;
  LinearFit InForce;
  LinearFit Death;
};

/// Stops member \p Index and returns the seconds until all running members have
/// declared it dead.
double secondsUntilDeclaredDead(ConfigSimulation &Sim, std::size_t Index) {
  const ProcessId Id = Sim.Gossip.Nodes[Index].Machine->self();
  const TimePoint Start = Sim.Gossip.now();
  Sim.Gossip.stop(Index);
  Sim.Gossip.runUntil(
      [&] {
        return std::all_of(Sim.Gossip.Nodes.begin(), Sim.Gossip.Nodes.end(),
                           [&](const auto &Node) {
                             const Member *Seen =
                                 Node.Machine->table().find(Id);
                             return !Node.Running ||
                                    (Seen && Seen->State == MemberState::Dead);
                           });
      },
      Millis(120000));
  return std::chrono::duration<double>(Sim.Gossip.now() - Start).count();
}

/// Proposes a change and returns the milliseconds until it is in force on all
/// members.
double millisUntilInForce(ConfigSimulation &Sim, int Round) {
  const std::size_t Count = Sim.Gossip.Nodes.size();
  const auto Entry = static_cast<std::size_t>(Round) % Sim.Entries;
  ConfigEntries Next = Sim.spread(Entry).document().entries();
  Next["vm/" + std::to_string(Round)] =
      "cores=16\nfailure_domain=regina\nmemory_gb=62.5\nrack=r1\n";
  const TimePoint Start = Sim.Gossip.now();
  const auto Accepted = Sim.propose(
      Entry, Next, {ChangeId(std::to_string(Round)), OperatorId("bench"), 1});
  Sim.Gossip.runUntil(
      [&] { return Sim.countInForce(Accepted.Version) == Count; },
      Millis(60000), Millis(1));
  return std::chrono::duration<double, std::milli>(Sim.Gossip.now() - Start)
      .count();
}

/// Measures a whole fleet in virtual time: idle, during configuration changes,
/// during restarts, and after a member stops.
void measureFleet(std::size_t Count, double Loss, FleetSlopes &Slopes) {
  const std::string Variant =
      variantName(Count) +
      (Loss > 0 ? "_loss_" + std::to_string(static_cast<int>(Loss * 100)) : "");
  const auto X = static_cast<double>(Count);
  ConfigSimulation Sim(31, Count, entriesOf(Count), 11);
  Sim.Gossip.Link.Loss = Loss;
  Sim.Gossip.introduceAll();
  Sim.Gossip.run(Millis(60000));

  Traffic Sent(Sim.Gossip);
  std::size_t WorstUnconfirmed = 0;
  for (int Second = 0; Second < 60; ++Second) {
    Sim.Gossip.run(Millis(1000));
    WorstUnconfirmed = std::max(WorstUnconfirmed, countUnconfirmed(Sim));
  }
  const auto Quiet = Sent.ratesSinceLastCall();
  printMetric("membership_quiet", Variant, "bytes_per_second", Quiet.Bytes);
  printMetric("membership_quiet", Variant, "datagrams_per_second",
              Quiet.Datagrams);
  printMetric("membership_quiet", Variant, "busiest_bytes_per_second",
              Quiet.BusiestBytes);
  printMetric("membership_quiet", Variant, "unconfirmed_members",
              static_cast<double>(WorstUnconfirmed));

  std::vector<double> Times;
  for (int Round = 0; Round < ChangesMeasured; ++Round) {
    Times.push_back(millisUntilInForce(Sim, Round));
    Sim.Gossip.run(Millis(4300));
  }
  const auto Changing = Sent.ratesSinceLastCall();
  const double PerChange = (Changing.Bytes - Quiet.Bytes) *
                           (4300 * ChangesMeasured +
                            std::accumulate(Times.begin(), Times.end(), 0.0)) /
                           1000 / ChangesMeasured;
  printMetric("config_push", Variant, "p50_ms", percentile(Times, 0.5));
  printMetric("config_push", Variant, "max_ms", percentile(Times, 1));
  printMetric("config_push", Variant, "bytes_per_change_and_node", PerChange);

  constexpr int Restarts = 6;
  for (int Round = 0; Round < Restarts; ++Round) {
    Sim.Gossip.restart(Count - 1 - static_cast<std::size_t>(Round),
                       GossipSimulation::FirstIncarnation.next());
    Sim.Gossip.run(Millis(10000));
  }
  const auto Restarting = Sent.ratesSinceLastCall();
  const double PerRestart = (Restarting.Bytes - Quiet.Bytes) * 10;
  printMetric("membership_restart", Variant, "bytes_per_restart_and_node",
              PerRestart);

  const double Death = secondsUntilDeclaredDead(Sim, Count / 2);
  printMetric("membership_death", Variant, "seconds_to_dead_everywhere", Death);
  if (Loss > 0)
    return;
  Slopes.QuietBytes.add(X, Quiet.Bytes);
  Slopes.QuietDatagrams.add(X, Quiet.Datagrams);
  Slopes.ChangeBytes.add(X, PerChange);
  Slopes.RestartBytes.add(std::log10(X), PerRestart);
  Slopes.InForce.add(std::log10(X), percentile(Times, 1));
  Slopes.Death.add(std::log10(X), Death);
}

/// Measures a network partition of one hour that isolates a third of the fleet,
/// and the recovery after it.
void measurePartition(std::size_t Count, LinearFit &Heal) {
  GossipSimulation Sim(32, 3);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Sim.add(Index < MinEntries ? MemberRole::Entry : MemberRole::Agent);
  Sim.introduceAll();
  Sim.IsPartitioned = [](std::uint64_t One, std::uint64_t Other) {
    return (One == 0) != (Other == 0);
  };
  Traffic Sent(Sim);
  Sim.run(std::chrono::hours(1));
  const auto During = Sent.ratesSinceLastCall();
  Sim.IsPartitioned = nullptr;
  const TimePoint Healed = Sim.now();
  std::uint64_t DeathsBefore = 0;
  for (const auto &Node : Sim.Nodes)
    DeathsBefore += Node.Machine->counters().DeclaredDead;
  Sim.runUntil([&] { return Sim.converged(); }, Millis(600000));
  std::uint64_t Deaths = 0;
  for (const auto &Node : Sim.Nodes)
    Deaths += Node.Machine->counters().DeclaredDead;
  printMetric("membership_cut", variantName(Count), "deaths_declared_healing",
              static_cast<double>(Deaths - DeathsBefore));
  const auto After = Sent.ratesSinceLastCall();
  printMetric("membership_cut", variantName(Count), "bytes_per_second_during",
              During.Bytes);
  const double Seconds =
      std::chrono::duration<double>(Sim.now() - Healed).count();
  Heal.add(static_cast<double>(Count), Seconds);
  printMetric("membership_cut", variantName(Count), "seconds_to_heal", Seconds);
  printMetric("membership_cut", variantName(Count), "bytes_per_second_healing",
              After.Bytes);
  printMetric("membership_cut", variantName(Count),
              "busiest_bytes_per_second_healing", After.BusiestBytes);
}

/// Bytes in use, in the heap and in blocks that malloc maps separately.
std::size_t heapBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

MemberUpdate updateFor(std::size_t Index) {
  MemberInfo Info;
  Info.Address = {"10.12." + std::to_string(Index / 250) + "." +
                      std::to_string(Index % 250),
                  7946};
  Info.FailureDomain = FailureDomainId("domain-" + std::to_string(Index % 11));
  Info.LinkPort = 7947;
  Info.Service = ServiceId("castmatch");
  Info.Vm = VmId("prairie-worker-vm-" + std::to_string(Index));
  if (Index < 20)
    Info.Role = MemberRole::Entry;
  return {ProcessId("prairie-agent-" + std::to_string(Index)),
          MemberState::Alive, Incarnation(1764842400000 + Index),
          Incarnation(1764842400000 + Index), Info};
}

struct NodeSlopes {
  LinearFit Memory;
  LinearFit Receive;
  LinearFit Tick;
  LinearFit Sync;
};

/// Measures one node with a table of \p Count members: real memory and
/// processor time.
void measureNode(std::size_t Count, NodeSlopes &Slopes) {
  std::vector<MemberUpdate> All;
  for (std::size_t Index = 0; Index < Count; ++Index)
    All.push_back(updateFor(Index));
  TimePoint Now{};
  const MemberUpdate Own = updateFor(Count + 1);
  SwimProtocol Machine({}, Own.Id, Own.Number, *Own.Info, 33, Now);
  const auto Before = heapBytes();
  Machine.learn(All, Now);
  const auto Grown = heapBytes() - Before;
  const auto X = static_cast<double>(Count);
  const double PerMember = static_cast<double>(Grown) / X;
  printMetric("membership_node", variantName(Count), "bytes_per_member",
              PerMember);
  Slopes.Memory.add(X, static_cast<double>(Grown));

  // Wait for the end of the initial dissemination, so that the datagrams
  // measured carry no updates.
  constexpr int Rounds = 4000;
  Random Rng(34);
  const auto RunProbes = [&](int Times) {
    for (int Round = 0; Round < Times; ++Round) {
      const MemberUpdate &From = All[Rng.below(Count)];
      Datagram Message{From.Id, From.Number, {}, Probe{1}, {}};
      const std::string Bytes = encode(Message);
      Now += Millis(500);
      Machine.receive(From.Info->Address, Bytes, Now);
    }
  };
  RunProbes(static_cast<int>(Count) * 2);
  const double Start = processorSeconds();
  RunProbes(Rounds);
  const double Probes = (processorSeconds() - Start) / Rounds * 1e6;
  printMetric("membership_node", variantName(Count), "probe_microseconds",
              Probes);
  Slopes.Receive.add(X, Probes);

  // A digest in which every bucket differs is the worst case.
  const Datagram Digest{All[0].Id, All[0].Number, {}, SyncDigest{}, {}};
  const std::string Bytes = encode(Digest);
  const double SyncStart = processorSeconds();
  constexpr int Syncs = 20;
  for (int Round = 0; Round < Syncs; ++Round) {
    Now += Millis(1000);
    Machine.receive(All[0].Info->Address, Bytes, Now);
  }
  const double Sync = (processorSeconds() - SyncStart) / Syncs * 1e6;
  printMetric("membership_node", variantName(Count), "sync_microseconds", Sync);
  Slopes.Sync.add(X, Sync);

  // Probes stay unanswered here, so each tick also suspects a member.
  const double TickStart = processorSeconds();
  constexpr int Ticks = 200;
  for (int Round = 0; Round < Ticks; ++Round) {
    Now = std::max(Now, Machine.nextWake());
    Machine.tick(Now);
  }
  const double Tick = (processorSeconds() - TickStart) / Ticks * 1e6;
  printMetric("membership_node", variantName(Count), "tick_microseconds", Tick);
  Slopes.Tick.add(X, Tick);
}

/// Simulates configuration distribution without membership, at sizes whose
/// member tables do not fit in memory: each member probes one member a second,
/// entries read the store every two seconds on average, and every member knows
/// all others.
class SpreadSimulation {
public:
  SpreadSimulation(std::size_t Count, double Loss, std::size_t Dead)
      : Count(Count), Loss(Loss), Dead(Dead) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Nodes.push_back(std::make_unique<ConfigSpread>(
          ConfigSpread::Options{}, [this](std::size_t Peers) {
            std::vector<ProcessId> Chosen;
            for (std::size_t Peer = 0; Peer < Peers; ++Peer)
              Chosen.emplace_back(std::to_string(Rng.below(this->Count)));
            return Chosen;
          }));
    for (std::size_t Index = 0; Index < Count; ++Index)
      push({Now + Duration(Rng.below(1000000000)),
            Index,
            Index,
            true,
            {},
            {},
            {},
            false});
  }

  /// The largest number of living members that were unconfirmed at the end of a
  /// second.
  std::size_t maxUnconfirmedWithin(int Seconds) {
    std::size_t Worst = 0;
    for (int Second = 0; Second < Seconds; ++Second) {
      const TimePoint End = Now + Millis(1000);
      while (Events.top().At < End)
        step(End);
      Now = End;
      std::size_t Missing = 0;
      for (std::size_t Index = 0; Index < Count; ++Index)
        Missing += !isDead(Index) && !Nodes[Index]->confirmed(Now);
      Worst = std::max(Worst, Missing);
    }
    return Worst;
  }

  struct Result {
    std::vector<double> Times;
    double BytesPerNode = 0;
  };

  /// Pushes a change and returns the milliseconds until each living member has
  /// it, and the bytes sent per node.
  Result run(int Round) {
    SentBytes = 0;
    ArrivalMs.clear();
    const TimePoint Start = Now;
    auto &Origin = *Nodes.front();
    ConfigEntries Next = Origin.document().entries();
    Next["vm/" + std::to_string(Round)] =
        "cores=16\nfailure_domain=regina\nmemory_gb=62.5\nrack=r1\n";
    const auto Change = Origin.document().changeTo(
        Next, ChangeId(std::to_string(Round)), OperatorId("bench"));
    Target = Change.Version;
    const auto Pushes = Origin.adoptAndPush(Change, Now);
    Origin.onStoreHead(Target, Now);
    send(0, Pushes);
    ArrivalMs.push_back(0);
    while (ArrivalMs.size() < Count - Dead && Now - Start < Millis(60000))
      step(Start);
    return {ArrivalMs, SentBytes / static_cast<double>(Count)};
  }

private:
  struct Event {
    TimePoint At;
    std::size_t To = 0;
    std::size_t From = 0;
    bool Tick = false;
    std::string Bytes;
    ConfigVersion Version;
    std::optional<TimePoint> Confirmed;
    bool IsProbe = false;

    bool operator<(const Event &Other) const { return At > Other.At; }
  };

  void push(Event Next) { Events.push(std::move(Next)); }

  bool isDead(std::size_t Index) const { return Index >= Count - Dead; }

  void deliver(std::size_t From, std::size_t To, std::string Bytes,
               bool IsProbe) {
    SentBytes += static_cast<double>(Bytes.size());
    if (isDead(To) || Rng.unit() < Loss)
      return;
    const Duration Delay = std::chrono::microseconds(3500 + Rng.below(2000));
    push({Now + Delay, To, From, false, std::move(Bytes),
          Nodes[From]->document().version(), Nodes[From]->confirmedAt(),
          IsProbe});
  }

  void send(std::size_t From, const std::vector<ConfigOutgoing> &Messages) {
    for (const ConfigOutgoing &Each : Messages)
      deliver(From, std::stoul(Each.To.str()), Each.Bytes, false);
  }

  void tick(std::size_t Index) {
    const SwimProtocol::Options Config;
    const std::size_t Entries = entriesOf(Count);
    if (Index < Entries && Rng.below(2) == 0)
      Nodes[Index]->onStoreHead(Nodes[0]->document().version(), Now);
    const double Share =
        std::min(1.0 / static_cast<double>(Config.EntryProbeEvery),
                 Config.EntryProbesPerSecond * static_cast<double>(Entries) /
                     static_cast<double>(Count));
    deliver(Index, Rng.below(Rng.unit() < Share ? Entries : Count), {}, true);
  }

  void step(TimePoint Start) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    ConfigSpread &Node = *Nodes[Next.To];
    if (Next.Tick) {
      push({Now + Millis(1000), Next.To, Next.To, true, {}, {}, {}, false});
      if (!isDead(Next.To))
        tick(Next.To);
      return;
    }
    const ConfigVersion Before = Node.document().version();
    const ProcessId From(std::to_string(Next.From));
    if (Next.IsProbe)
      deliver(Next.To, Next.From, {}, false);
    if (!Next.Bytes.empty())
      send(Next.To, Node.receive(From, Next.Bytes, Now));
    std::optional<Millis> Age;
    if (Next.Confirmed)
      Age = std::chrono::duration_cast<Millis>(Now - *Next.Confirmed);
    send(Next.To, Node.onStamp(From, Next.Version, Age, Now));
    if (Before < Target && Node.document().version() == Target)
      ArrivalMs.push_back(
          std::chrono::duration<double, std::milli>(Now - Start).count());
  }

  std::size_t Count;
  double Loss;
  std::size_t Dead;
  Random Rng{35};
  std::vector<std::unique_ptr<ConfigSpread>> Nodes;
  std::priority_queue<Event> Events;
  TimePoint Now{};
  ConfigVersion Target;
  std::vector<double> ArrivalMs;
  double SentBytes = 0;
};

/// A tree of relays for comparison: each relay sends to its children, repeats
/// every 500 ms until acknowledged, and the children of a dead relay move to
/// its parent once the membership has declared it dead.
std::vector<double> relayTree(std::size_t Count, double Loss, std::size_t Dead,
                              std::size_t Fanout, std::uint64_t Seed) {
  Random Rng(Seed);
  std::vector<bool> IsDead(Count, false);
  for (std::size_t RemainingDead = Dead; RemainingDead > 0;) {
    const std::size_t Index = 1 + Rng.below(Count - 1);
    RemainingDead -= !IsDead[Index];
    IsDead[Index] = true;
  }
  const double RepairMs =
      1000 * (1 + 4 * std::log10(static_cast<double>(Count)));

  std::vector<double> At(Count, 0);
  std::vector<double> ArrivalMs{0};
  for (std::size_t Index = 1; Index < Count; ++Index) {
    const std::size_t Parent = (Index - 1) / Fanout;
    // A dead relay passes on the time at which its children were moved.
    if (IsDead[Index]) {
      At[Index] = std::max(At[Parent], RepairMs);
      continue;
    }
    double When = At[Parent];
    while (Rng.unit() < Loss)
      When += 500;
    At[Index] = When + 3.5 + 2 * Rng.unit();
    ArrivalMs.push_back(At[Index]);
  }
  return ArrivalMs;
}

void printSpread(const char *Name, const std::string &Variant,
                 const std::vector<double> &Times) {
  printMetric(Name, Variant, "p50_ms", percentile(Times, 0.5));
  printMetric(Name, Variant, "p99_ms", percentile(Times, 0.99));
  printMetric(Name, Variant, "max_ms", percentile(Times, 1));
}

void compareSpreads(std::size_t Count, double Loss, double DeadShare) {
  const std::string Variant = variantName(Count) + "_loss_" +
                              std::to_string(static_cast<int>(Loss * 100)) +
                              "_dead_" +
                              std::to_string(static_cast<int>(DeadShare * 100));
  const auto Dead =
      static_cast<std::size_t>(DeadShare * static_cast<double>(Count));
  SpreadSimulation Push(Count, Loss, Dead);
  std::vector<double> Times;
  std::vector<double> Trees;
  double Bytes = 0;
  constexpr int Changes = 5;
  for (int Round = 0; Round < Changes; ++Round) {
    const auto Result = Push.run(Round);
    Times.insert(Times.end(), Result.Times.begin(), Result.Times.end());
    Bytes += Result.BytesPerNode / Changes;
    const auto Tree = relayTree(Count, Loss, Dead, 16,
                                static_cast<std::uint64_t>(Round) + 36);
    Trees.insert(Trees.end(), Tree.begin(), Tree.end());
  }
  printMetric("config_push_only", Variant, "unconfirmed_members",
              static_cast<double>(Push.maxUnconfirmedWithin(30)));
  printSpread("config_push_only", Variant, Times);
  printMetric("config_push_only", Variant, "bytes_per_change_and_node", Bytes);
  printSpread("config_relay_tree", Variant, Trees);
}

void comparePolling(std::size_t Count) {
  constexpr double Period = 7;
  printMetric("config_polling", variantName(Count), "store_reads_per_second",
              static_cast<double>(Count) / Period);
  printMetric("config_polling", variantName(Count), "max_ms", Period * 1000);
}

} // namespace

int main() {
  NodeSlopes Node;
  for (const std::size_t Count : {11, 50, 100, 300, 1000, 4000, 16000})
    measureNode(Count, Node);
  Node.Memory.print("membership_memory", "bytes", "member");
  Node.Receive.print("membership_probe_time", "microseconds", "member");
  Node.Tick.print("membership_tick_time", "microseconds", "member");
  Node.Sync.print("membership_sync_time", "microseconds", "member");

  FleetSlopes Fleet;
  for (const std::size_t Count : {11, 50, 100, 300, 1000})
    measureFleet(Count, 0, Fleet);
  for (const std::size_t Count : {11, 50, 100, 300})
    measureFleet(Count, 0.05, Fleet);
  Fleet.QuietBytes.print("membership_quiet_bytes", "bytes_per_second",
                         "member");
  Fleet.QuietDatagrams.print("membership_quiet_datagrams",
                             "datagrams_per_second", "member");
  Fleet.RestartBytes.print("membership_restart_bytes", "bytes_per_restart",
                           "log10_members");
  Fleet.ChangeBytes.print("config_change_bytes", "bytes_per_change", "member");
  Fleet.InForce.print("config_in_force", "milliseconds", "log10_members");
  Fleet.Death.print("membership_death", "seconds", "log10_members");

  LinearFit Heal;
  for (const std::size_t Count : {30, 100, 300, 600})
    measurePartition(Count, Heal);
  Heal.print("membership_heal", "seconds", "member");

  for (const std::size_t Count : {11, 50, 100, 300, 1000, 4000, 16000}) {
    comparePolling(Count);
    compareSpreads(Count, 0, 0);
    compareSpreads(Count, 0.05, 0.01);
  }
  return 0;
}
