#include "config/ConfigSimulation.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

/// Maximum time until an accepted change is in force in every process.
constexpr Millis InForceBound{7000};

ChangeOrigin origin(const std::string &Id) {
  return {ChangeId(Id), OperatorId("ada"), 1};
}

std::vector<ProcessId> noPeers(std::size_t) { return {}; }

} // namespace

// Guards against a change that does not reach some process in time when 10% of
// the datagrams are lost and 10% are duplicated.
TEST_CASE("an accepted change is in force everywhere within seven seconds") {
  ConfigSimulation Sim(11, 100, 3, 4);
  Sim.Gossip.Link.Loss = 0.1;
  Sim.Gossip.Link.Duplicate = 0.1;
  Sim.Gossip.introduceAll();
  Sim.Gossip.run(Millis(5000));

  for (std::uint64_t Round = 1; Round <= 20; ++Round) {
    Sim.propose(Round % 3,
                {{"team/a", "weight=" + std::to_string(Round) + "\n"},
                 {"team/b", std::string(2500, 'b')}},
                origin(std::to_string(Round)));
    REQUIRE(Sim.Gossip.runUntil(
        [&] { return Sim.countInForce(ConfigVersion(Round)) == 100; },
        InForceBound));
  }
}

// Guards against a process that reports its configuration as confirmed while no
// entry can read the store, or as unconfirmed while the store is available.
TEST_CASE(
    "a process is unconfirmed seven seconds after a store outage begins") {
  ConfigSimulation Sim(12, 60, 3, 3);
  Sim.Gossip.introduceAll();
  Sim.Gossip.run(Millis(20000));
  const auto CountUnconfirmed = [&] {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < 60; ++Index)
      Count += !Sim.spread(Index).confirmed(Sim.Gossip.now());
    return Count;
  };
  for (int Second = 0; Second < 60; ++Second) {
    Sim.Gossip.run(Millis(1000));
    REQUIRE(CountUnconfirmed() == 0);
  }

  Sim.Rows.Down = true;
  Sim.Gossip.run(Millis(7001));
  REQUIRE(CountUnconfirmed() == 60);
  Sim.Rows.Down = false;
  Sim.Gossip.run(Millis(7000));
  REQUIRE(CountUnconfirmed() == 0);
}

// Guards against stale, repeated or reordered changes that revert or corrupt
// the configuration.
TEST_CASE("only the next higher version is adopted") {
  ConfigSpread Sender({}, [](std::size_t) {
    return std::vector<ProcessId>{ProcessId("receiver")};
  });
  ConfigSpread Receiver({}, noPeers);
  std::vector<std::string> Sent;
  for (int Round = 1; Round <= 4; ++Round) {
    const auto Change = Sender.document().changeTo(
        {{"team/a", std::to_string(Round)}}, ChangeId(std::to_string(Round)),
        OperatorId("ada"));
    for (const ConfigOutgoing &Each : Sender.adoptAndPush(Change, TimePoint()))
      Sent.push_back(Each.Bytes);
  }
  REQUIRE(Sent.size() == 4);

  for (const std::size_t Index : {1U, 0U, 0U, 3U, 1U, 2U, 0U}) {
    const ConfigVersion Before = Receiver.document().version();
    Receiver.receive(ProcessId("sender"), Sent[Index], TimePoint());
    REQUIRE(Receiver.document().version() >= Before);
  }
  REQUIRE(Receiver.document().hash() == Sender.document().hash());
  REQUIRE(Receiver.document().version() == ConfigVersion(4));
  REQUIRE_FALSE(Receiver.adopt(
      ConfigDocument(ConfigVersion(3), {{"team/a", "3"}}), TimePoint()));
}

// Guards against a process that never catches up, because its peers no longer
// keep the changes that it is missing.
TEST_CASE("a process that is too far behind needs the whole document") {
  ConfigSpread::Options Config;
  Config.HistoryLimit = 2;
  ConfigSpread Ahead(Config, noPeers);
  ConfigSpread Behind({}, noPeers);
  for (int Round = 1; Round <= 4; ++Round)
    Ahead.adoptAndPush(Ahead.document().changeTo(
                           {{"team/a", std::to_string(Round)}},
                           ChangeId(std::to_string(Round)), OperatorId("ada")),
                       TimePoint());

  const auto Fetch =
      Behind.onStamp(ProcessId("ahead"), Ahead.document().version(),
                     std::nullopt, TimePoint());
  REQUIRE(Fetch.size() == 1);
  const auto Answer =
      Ahead.receive(ProcessId("behind"), Fetch.front().Bytes, TimePoint());
  REQUIRE(Answer.size() == 1);
  Behind.receive(ProcessId("ahead"), Answer.front().Bytes, TimePoint());
  REQUIRE(Behind.needsDocument());
  REQUIRE(Behind.adopt(Ahead.document(), TimePoint()));
  REQUIRE_FALSE(Behind.needsDocument());
}

// Guards against malformed messages that throw another exception than
// ProtocolError or are not counted.
TEST_CASE("malformed configuration messages throw and are counted") {
  ConfigSpread Sender({}, [](std::size_t) {
    return std::vector<ProcessId>{ProcessId("receiver")};
  });
  const auto ValidMessage =
      Sender
          .adoptAndPush(Sender.document().changeTo(
                            {{"team/a", "1"}}, ChangeId("1"), OperatorId("o")),
                        TimePoint())
          .front()
          .Bytes;
  Random Rng(13);
  ConfigSpread Receiver({}, noPeers);
  std::uint64_t RejectedCount = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = ValidMessage;
    Bytes[Rng.below(Bytes.size())] = static_cast<char>(Rng.below(256));
    Bytes.resize(Rng.below(Bytes.size()) + 1);
    try {
      Receiver.receive(ProcessId("sender"), Bytes, TimePoint());
    } catch (const ProtocolError &) {
      ++RejectedCount;
    }
  }
  REQUIRE(RejectedCount > 0);
  REQUIRE(Receiver.counters().Malformed == RejectedCount);
}
