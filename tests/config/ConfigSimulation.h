#ifndef DAISYSPOOL_TESTS_CONFIG_CONFIGSIMULATION_H
#define DAISYSPOOL_TESTS_CONFIG_CONFIGSIMULATION_H

#include "config/MemoryTableService.h"
#include "daisyspool/config/ConfigSpread.h"
#include "daisyspool/config/ConfigStore.h"
#include "membership/GossipSimulation.h"

#include <memory>
#include <vector>

namespace daisyspool {

/// A simulated fleet whose processes distribute the configuration by gossip.
/// The first members are entries, which read the store's head every two seconds
/// and the list of entries every five seconds. An agent whose table has no
/// reachable entry joins through one that it can reach.
class ConfigSimulation {
public:
  static constexpr Millis HeadReadInterval{2000};
  static constexpr Millis ListInterval{5000};

  MemoryTableService Rows;
  ConfigStore Store{Rows};
  GossipSimulation Gossip;
  std::size_t Entries;

  ConfigSimulation(std::uint64_t Seed, std::size_t Members, std::size_t Entries,
                   std::uint64_t Domains)
      : Gossip(Seed, Domains), Entries(Entries) {
    Gossip.AfterStep = [this](std::size_t Index) { step(Index); };
    for (std::size_t Index = 0; Index < Members; ++Index)
      Gossip.add(Index < Entries ? MemberRole::Entry : MemberRole::Agent);
    Processes.resize(Members);
    for (std::size_t Index = 0; Index < Members; ++Index)
      spread(Index);
  }

  /// Returns the ConfigSpread of the process that currently runs as \p Index.
  /// Creates it if the process was restarted.
  ConfigSpread &spread(std::size_t Index) {
    ProcessState &State = Processes[Index];
    const auto &Node = Gossip.Nodes[Index];
    if (!State.Machine || State.Life != Node.Life) {
      State.Life = Node.Life;
      State.NextHeadRead = Gossip.now();
      State.NextList = Gossip.now() + ListInterval;
      State.Machine = std::make_unique<ConfigSpread>(
          ConfigSpread::Options{}, [&Node](std::size_t Count) {
            return Node.Machine->randomPeers(Count);
          });
    }
    return *State.Machine;
  }

  /// Proposes \p Next through entry \p Index and pushes it if it is accepted.
  AcceptedChange propose(std::size_t Index, const ConfigEntries &Next,
                         const ChangeOrigin &Origin) {
    const AcceptedChange Result =
        Store.propose(spread(Index).document(), Next, Origin);
    readStore(Index);
    return Result;
  }

  /// Returns how many running members have \p Version in force.
  std::size_t countInForce(ConfigVersion Version) {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < Processes.size(); ++Index)
      if (Gossip.Nodes[Index].Running &&
          spread(Index).document().version() == Version)
        ++Count;
    return Count;
  }

private:
  struct ProcessState {
    std::unique_ptr<ConfigSpread> Machine;
    std::uint64_t Life = 0;
    TimePoint NextHeadRead;
    TimePoint NextList;
  };

  void joinListedEntries(std::size_t Index) {
    SwimProtocol &Machine = *Gossip.Nodes[Index].Machine;
    std::vector<ListedEntry> Listed;
    for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
      const auto &Node = Gossip.Nodes[Entry];
      if (!Node.Running)
        continue;
      Listed.push_back(
          {Node.Machine->self(), GossipSimulation::addressOf(Entry)});
      const bool IsCutOff =
          Gossip.IsPartitioned &&
          Gossip.IsPartitioned(Gossip.Nodes[Index].Domain, Node.Domain);
      if (Index >= Entries && !Machine.seesEntry() && !IsCutOff)
        Machine.learn(Node.Machine->sampleForNewcomer(8), Gossip.now());
    }
    if (Index < Entries && !Rows.Down)
      Gossip.transmit(Index, Machine.syncWithListed(Listed, Gossip.now()));
  }

  void readStore(std::size_t Index) {
    ConfigSpread &Spread = spread(Index);
    try {
      const ConfigVersion Head = Store.head().Version;
      if (Spread.onStoreHead(Head, Gossip.now())) {
        for (const ConfigChange &Change :
             Store.changesAfter(Spread.document().version(), 100)) {
          const auto Pushes = Spread.adoptAndPush(Change, Gossip.now());
          Spread.onStoreHead(Head, Gossip.now());
          transmit(Index, Pushes);
        }
      }
    } catch (const PlatformUnavailable &) {
      return;
    }
    updateConfigStamp(Index);
  }

  void updateConfigStamp(std::size_t Index) {
    Gossip.Nodes[Index].Machine->setConfigStamp(
        spread(Index).document().version(), spread(Index).confirmedAt());
  }

  void step(std::size_t Index) {
    ConfigSpread &Spread = spread(Index);
    SwimProtocol &Machine = *Gossip.Nodes[Index].Machine;
    for (const PeerPayload &Each : Machine.takePayloads())
      transmit(Index, Spread.receive(Each.Peer, Each.Bytes, Gossip.now()));
    for (const PeerStamp &Each : Machine.takeStamps())
      transmit(Index, Spread.onStamp(Each.Peer, Each.Stamp.Version,
                                     Each.Stamp.Age, Gossip.now()));
    updateConfigStamp(Index);

    ProcessState &State = Processes[Index];
    if (Gossip.now() >= State.NextList) {
      State.NextList = Gossip.now() + ListInterval;
      joinListedEntries(Index);
    }
    if (Index < Entries && Gossip.now() >= State.NextHeadRead) {
      State.NextHeadRead = Gossip.now() + HeadReadInterval;
      readStore(Index);
    }
  }

  void transmit(std::size_t Index,
                const std::vector<ConfigOutgoing> &Messages) {
    updateConfigStamp(Index);
    SwimProtocol &Machine = *Gossip.Nodes[Index].Machine;
    for (const ConfigOutgoing &Each : Messages)
      if (auto Wrapped = Machine.payload(Each.To, Each.Bytes, Gossip.now()))
        Gossip.transmit(Index, {std::move(*Wrapped)});
  }

  std::vector<ProcessState> Processes;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_CONFIG_CONFIGSIMULATION_H
