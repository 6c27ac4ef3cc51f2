#include "daisyspool/gossip/GossipDuty.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace daisyspool {

namespace {

constexpr Millis HousekeepingInterval{200};

MemberAddress toMemberAddress(const http::Endpoint &Endpoint) {
  return {Endpoint.Address, Endpoint.Port};
}

} // namespace

GossipDuty::GossipDuty(boost::asio::io_context &Io, const Clock &Time,
                       Options Config, Callbacks Hooks)
    : Io(Io), Time(Time), Info(Config.Info), Hooks(std::move(Hooks)),
      Membership({}, Config.Process, Config.Number, Config.Info,
                 stableHash(Config.Process.str(), Config.Number.value()),
                 Time.now()),
      Spread(
          {},
          [this](std::size_t Count) { return Membership.randomPeers(Count); }),
      Driver(Io, Time, toMemberAddress(Config.Listen)), Timer(Io) {
  Membership.onChange(
      [this](const Member &Changed, std::optional<MemberState>) {
        LogEvent(LogLevel::Info, "member_changed")
            .with("member", Changed.Id)
            .with("state", toString(Changed.State));
        if (this->Hooks.OnMember)
          this->Hooks.OnMember(Changed);
      });
  Driver.start(
      Membership,
      [](const MemberAddress &From, const Error &Problem) {
        LogEvent(LogLevel::Warning, "bad_datagram")
            .with("from", From.Host)
            .with("detail", Problem.what());
      },
      [this] { processReceived(); });
  scheduleHousekeeping();
}

void GossipDuty::join(std::vector<http::Endpoint> Seeds) {
  boost::asio::post(Io, [this, Seeds = std::move(Seeds)] {
    std::vector<MemberAddress> Addresses;
    for (const http::Endpoint &Each : Seeds)
      Addresses.push_back(toMemberAddress(Each));
    Driver.send(Membership.join(std::move(Addresses), Time.now()));
  });
}

void GossipDuty::syncWithListed(std::vector<ListedEntry> Listed) {
  boost::asio::post(Io, [this, Listed = std::move(Listed)] {
    Driver.send(Membership.syncWithListed(Listed, Time.now()));
  });
}

void GossipDuty::adoptAndPush(ConfigChange Change) {
  boost::asio::post(Io, [this, Change = std::move(Change)] {
    send(Spread.adoptAndPush(Change, Time.now()));
    updateConfigStamp();
  });
}

void GossipDuty::adopt(ConfigDocument Document) {
  boost::asio::post(Io, [this, Document = std::move(Document)] {
    Spread.adopt(Document, Time.now());
    updateConfigStamp();
  });
}

void GossipDuty::onStoreHead(ConfigVersion Version) {
  boost::asio::post(Io, [this, Version] {
    Spread.onStoreHead(Version, Time.now());
    updateConfigStamp();
  });
}

void GossipDuty::drain() {
  boost::asio::post(Io, [this] {
    Info.Draining = true;
    Driver.send(Membership.changeInfo(Info, Time.now()));
  });
}

void GossipDuty::status(std::function<void(GossipStatus)> Done) {
  boost::asio::post(Io, [this, Done = std::move(Done)] {
    GossipStatus Result;
    Result.Self = Membership.self();
    Membership.table().forEach(
        [&](const Member &Each) { Result.Members.push_back(Each); });
    Result.Version = Spread.document().version();
    Result.Confirmed = Spread.confirmed(Time.now());
    Result.Entries = Spread.document().entries();
    Done(std::move(Result));
  });
}

void GossipDuty::processReceived() {
  TimePoint Now = Time.now();
  for (const PeerPayload &Each : Membership.takePayloads()) {
    try {
      send(Spread.receive(Each.Peer, Each.Bytes, Now));
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Warning, "bad_payload")
          .with("from", Each.Peer)
          .with("detail", Problem.what());
    }
  }
  for (const PeerStamp &Each : Membership.takeStamps())
    send(Spread.onStamp(Each.Peer, Each.Stamp.Version, Each.Stamp.Age, Now));
  updateConfigStamp();
}

void GossipDuty::send(const std::vector<ConfigOutgoing> &Messages) {
  std::vector<Outgoing> Datagrams;
  for (const ConfigOutgoing &Each : Messages)
    if (auto Wrapped = Membership.payload(Each.To, Each.Bytes, Time.now()))
      Datagrams.push_back(std::move(*Wrapped));
  Driver.send(Datagrams);
}

void GossipDuty::updateConfigStamp() {
  ConfigVersion InForce = Spread.document().version();
  Membership.setConfigStamp(InForce, Spread.confirmedAt());
  Version = InForce.value();
  Confirmed = Spread.confirmed(Time.now());
  if (InForce == ReportedVersion)
    return;

  ReportedVersion = InForce;
  LogEvent(LogLevel::Info, "config_in_force").with("version", InForce);
  if (Hooks.OnConfig)
    Hooks.OnConfig(Spread.document());
}

void GossipDuty::scheduleHousekeeping() {
  Timer.expires_after(HousekeepingInterval);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    processReceived();
    scheduleHousekeeping();
  });
}

} // namespace daisyspool
