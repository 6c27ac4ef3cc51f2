#include "daisyspool/entry/TargetPool.h"

#include "daisyspool/telemetry/Log.h"

namespace daisyspool {

TargetPool::TargetPool(boost::asio::io_context &Io, const Clock &Time,
                       Millis Expiry, Callbacks Hooks)
    : Io(Io), Time(Time), Expiry(Expiry), Hooks(std::move(Hooks)) {}

void TargetPool::announce(const wire::Announcement &What) {
  TargetId Id(What.Agent.str());
  auto &Slot = Targets[Id];
  if (Slot && What.Number < Slot->About.Number)
    return;

  bool NewIncarnation = !Slot || What.Number > Slot->About.Number;
  if (NewIncarnation) {
    if (Slot && Slot->Connection && Slot->Connection->up())
      Hooks.OnDown(*Slot);
    Slot = std::make_unique<PooledTarget>();
    Slot->Id = Id;
    Slot->About = What;
    ByVm[What.Vm] = Id;
    connect(*Slot);
    Hooks.OnFleetChanged();
    LogEvent(LogLevel::Info, "target_announced")
        .with("target", Id)
        .with("service", What.Service);
  }
  Slot->LastHeard = Time.now();
  if (What.Leaving && (!Slot->About.Leaving || NewIncarnation)) {
    Slot->About.Leaving = true;
    Hooks.OnLeaving(*Slot);
    Hooks.OnFleetChanged();
  }
}

void TargetPool::connect(PooledTarget &Target) {
  Link::Callbacks LinkHooks;
  PooledTarget *Which = &Target;
  LinkHooks.OnMessage = [this, Which](wire::Envelope What) {
    Which->LastHeard = Time.now();
    Hooks.OnMessage(*Which, std::move(What));
  };
  LinkHooks.OnUp = [this, Which] {
    LogEvent(LogLevel::Info, "link_up").with("target", Which->Id);
    Hooks.OnUp(*Which);
  };
  LinkHooks.OnDown = [this, Which] {
    LogEvent(LogLevel::Warning, "link_down").with("target", Which->Id);
    Hooks.OnDown(*Which);
  };
  LinkHooks.OnProtocolError = [Which](const std::string &Detail) {
    LogEvent(LogLevel::Warning, "protocol_error")
        .with("target", Which->Id)
        .with("detail", Detail);
  };
  Link::Options LinkOptions;
  LinkOptions.Peer = Target.About.Links;
  Target.Connection = std::make_unique<Link>(Io, LinkOptions, LinkHooks);
}

void TargetPool::leaving(const TargetId &Id, Incarnation Number) {
  PooledTarget *Target = find(Id);
  if (Target == nullptr || Target->About.Leaving ||
      Target->About.Number > Number)
    return;

  Target->About.Leaving = true;
  Hooks.OnLeaving(*Target);
  Hooks.OnFleetChanged();
}

void TargetPool::expire() {
  TimePoint Oldest = Time.now() - Expiry;
  for (auto Each = Targets.begin(); Each != Targets.end();) {
    if (Each->second->LastHeard >= Oldest || Each->second->Connection->up()) {
      ++Each;
      continue;
    }
    LogEvent(LogLevel::Warning, "target_expired").with("target", Each->first);
    ByVm.erase(Each->second->About.Vm);
    Each = Targets.erase(Each);
    Hooks.OnFleetChanged();
  }
}

PooledTarget *TargetPool::find(const TargetId &Id) {
  auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : Found->second.get();
}

PooledTarget *TargetPool::findVm(const VmId &Vm) {
  auto Found = ByVm.find(Vm);
  return Found == ByVm.end() ? nullptr : find(Found->second);
}

} // namespace daisyspool
