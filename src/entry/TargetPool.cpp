#include "daisyspool/entry/TargetPool.h"

#include "daisyspool/telemetry/Log.h"

namespace daisyspool {

TargetPool::TargetPool(boost::asio::io_context &Io, const Clock &Time,
                       Millis ExpiryTime, Callbacks Hooks)
    : Io(Io), Time(Time), ExpiryTime(ExpiryTime), Hooks(std::move(Hooks)) {}

void TargetPool::announce(const wire::Announcement &Received) {
  TargetId Id(Received.Agent.str());
  auto &Slot = Targets[Id];
  if (Slot && Received.Number < Slot->Announced.Number)
    return;

  bool NewIncarnation = !Slot || Received.Number > Slot->Announced.Number;
  if (NewIncarnation) {
    if (Slot && Slot->Connection && Slot->Connection->up())
      Hooks.OnDown(*Slot);
    Slot = std::make_unique<PooledTarget>();
    Slot->Id = Id;
    Slot->Announced = Received;
    TargetByVm[Received.Vm] = Id;
    connect(*Slot);
    Hooks.OnFleetChanged();
    LogEvent(LogLevel::Info, "target_announced")
        .with("target", Id)
        .with("service", Received.Service);
  }
  Slot->LastHeard = Time.now();
  if (Received.Leaving && (!Slot->Announced.Leaving || NewIncarnation)) {
    Slot->Announced.Leaving = true;
    Hooks.OnLeaving(*Slot);
    Hooks.OnFleetChanged();
  }
}

void TargetPool::connect(PooledTarget &Target) {
  Link::Callbacks LinkHooks;
  PooledTarget *Connected = &Target;
  LinkHooks.OnMessage = [this, Connected](wire::Envelope Message) {
    Connected->LastHeard = Time.now();
    Hooks.OnMessage(*Connected, std::move(Message));
  };
  LinkHooks.OnUp = [this, Connected] {
    LogEvent(LogLevel::Info, "link_up").with("target", Connected->Id);
    Hooks.OnUp(*Connected);
  };
  LinkHooks.OnDown = [this, Connected] {
    LogEvent(LogLevel::Warning, "link_down").with("target", Connected->Id);
    Hooks.OnDown(*Connected);
  };
  LinkHooks.OnProtocolError = [Connected](const std::string &Detail) {
    LogEvent(LogLevel::Warning, "protocol_error")
        .with("target", Connected->Id)
        .with("detail", Detail);
  };
  Link::Options LinkOptions;
  LinkOptions.Peer = Target.Announced.Links;
  Target.Connection = std::make_unique<Link>(Io, LinkOptions, LinkHooks);
}

void TargetPool::markLeaving(const TargetId &Id, Incarnation Number) {
  PooledTarget *Target = find(Id);
  if (Target == nullptr || Target->Announced.Leaving ||
      Target->Announced.Number > Number)
    return;

  Target->Announced.Leaving = true;
  Hooks.OnLeaving(*Target);
  Hooks.OnFleetChanged();
}

void TargetPool::expire() {
  TimePoint Oldest = Time.now() - ExpiryTime;
  for (auto Each = Targets.begin(); Each != Targets.end();) {
    if (Each->second->LastHeard >= Oldest || Each->second->Connection->up()) {
      ++Each;
      continue;
    }
    LogEvent(LogLevel::Warning, "target_expired").with("target", Each->first);
    TargetByVm.erase(Each->second->Announced.Vm);
    Each = Targets.erase(Each);
    Hooks.OnFleetChanged();
  }
}

PooledTarget *TargetPool::find(const TargetId &Id) {
  auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : Found->second.get();
}

PooledTarget *TargetPool::findVm(const VmId &Vm) {
  auto Found = TargetByVm.find(Vm);
  return Found == TargetByVm.end() ? nullptr : find(Found->second);
}

} // namespace daisyspool
