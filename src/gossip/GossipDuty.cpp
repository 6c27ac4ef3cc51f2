#include "daisyspool/gossip/GossipDuty.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace daisyspool {

namespace {

constexpr Millis HousekeepingInterval{200};

MemberAddress toMemberAddress(const http::Endpoint &Where) {
  return {Where.Address, Where.Port};
}

} // namespace

GossipDuty::GossipDuty(boost::asio::io_context &Io, const Clock &Time,
                       Options Config, Callbacks Hooks)
    : Io(Io), Time(Time), Info(Config.Info), Hooks(std::move(Hooks)),
      Machine({}, Config.Process, Config.Number, Config.Info,
              stableHash(Config.Process.str(), Config.Number.value()),
              Time.now()),
      Spread({},
             [this](std::size_t Count) { return Machine.randomPeers(Count); }),
      Driver(Io, Time, toMemberAddress(Config.Listen)), Timer(Io) {
  Machine.onChange([this](const Member &Which, std::optional<MemberState>) {
    LogEvent(LogLevel::Info, "member_changed")
        .with("member", Which.Id)
        .with("state", toString(Which.State));
    if (this->Hooks.OnMember)
      this->Hooks.OnMember(Which);
  });
  Driver.start(
      Machine,
      [](const MemberAddress &From, const Error &Problem) {
        LogEvent(LogLevel::Warning, "bad_datagram")
            .with("from", From.Host)
            .with("detail", Problem.what());
      },
      [this] { afterInput(); });
  schedule();
}

void GossipDuty::greet(std::vector<http::Endpoint> Seeds) {
  boost::asio::post(Io, [this, Seeds = std::move(Seeds)] {
    std::vector<MemberAddress> Addresses;
    for (const http::Endpoint &Each : Seeds)
      Addresses.push_back(toMemberAddress(Each));
    Driver.send(Machine.greet(std::move(Addresses), Time.now()));
  });
}

void GossipDuty::greetListed(std::vector<ListedEntry> Listed) {
  boost::asio::post(Io, [this, Listed = std::move(Listed)] {
    Driver.send(Machine.greetListed(Listed, Time.now()));
  });
}

void GossipDuty::adoptAndPush(ConfigChange Change) {
  boost::asio::post(Io, [this, Change = std::move(Change)] {
    send(Spread.adoptAndPush(Change, Time.now()));
    stamp();
  });
}

void GossipDuty::adopt(ConfigDocument Document) {
  boost::asio::post(Io, [this, Document = std::move(Document)] {
    Spread.adopt(Document, Time.now());
    stamp();
  });
}

void GossipDuty::onStoreHead(ConfigVersion Version) {
  boost::asio::post(Io, [this, Version] {
    Spread.onStoreHead(Version, Time.now());
    stamp();
  });
}

void GossipDuty::drain() {
  boost::asio::post(Io, [this] {
    Info.Draining = true;
    Driver.send(Machine.changeInfo(Info, Time.now()));
  });
}

void GossipDuty::status(std::function<void(GossipStatus)> Done) {
  boost::asio::post(Io, [this, Done = std::move(Done)] {
    GossipStatus Result;
    Result.Self = Machine.self();
    Machine.table().forEach(
        [&](const Member &Each) { Result.Members.push_back(Each); });
    Result.Version = Spread.document().version();
    Result.Confirmed = Spread.confirmed(Time.now());
    Result.Entries = Spread.document().entries();
    Done(std::move(Result));
  });
}

void GossipDuty::afterInput() {
  TimePoint Now = Time.now();
  for (const PeerPayload &Each : Machine.takePayloads()) {
    try {
      send(Spread.receive(Each.Peer, Each.Bytes, Now));
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Warning, "bad_payload")
          .with("from", Each.Peer)
          .with("detail", Problem.what());
    }
  }
  for (const PeerStamp &Each : Machine.takeStamps())
    send(Spread.onStamp(Each.Peer, Each.Stamp.Version, Each.Stamp.Age, Now));
  stamp();
}

void GossipDuty::send(const std::vector<ConfigOutgoing> &Messages) {
  std::vector<Outgoing> Datagrams;
  for (const ConfigOutgoing &Each : Messages)
    if (auto Wrapped = Machine.payload(Each.To, Each.Bytes, Time.now()))
      Datagrams.push_back(std::move(*Wrapped));
  Driver.send(Datagrams);
}

void GossipDuty::stamp() {
  ConfigVersion InForce = Spread.document().version();
  Machine.stampConfig(InForce, Spread.confirmedAt());
  Version = InForce.value();
  Confirmed = Spread.confirmed(Time.now());
  if (InForce == Published)
    return;

  Published = InForce;
  LogEvent(LogLevel::Info, "config_in_force").with("version", InForce);
  if (Hooks.OnConfig)
    Hooks.OnConfig(Spread.document());
}

void GossipDuty::schedule() {
  Timer.expires_after(HousekeepingInterval);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    afterInput();
    schedule();
  });
}

} // namespace daisyspool
