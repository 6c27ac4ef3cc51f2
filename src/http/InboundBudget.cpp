#include "daisyspool/http/InboundBudget.h"

#include <algorithm>
#include <utility>

namespace daisyspool::http {

namespace {

/// A quarter of the memory leaves the rest to the process's own state, to the
/// decoding of requests and to bytes that the kernel holds.
constexpr std::size_t MemoryDivisor = 4;
/// Descriptors that the platform keeps for files.
constexpr std::size_t FileDescriptors = 200;
/// Connections to the store take up to 56 descriptors, and signals, timers and
/// listening sockets some more.
constexpr std::size_t MinOwnDescriptors = 64;
constexpr std::size_t OwnDescriptorsDivisor = 4;
constexpr std::size_t MinConnections = 8;
/// A request that misses less than this part of what it holds is about to be
/// complete.
constexpr std::size_t AlmostCompleteDivisor = 8;

} // namespace

const char *toString(InboundEvent Event) {
  switch (Event) {
  case InboundEvent::EvictedForMemory:
    return "evicted_for_memory";
  case InboundEvent::EvictedForDescriptors:
    return "evicted_for_descriptors";
  case InboundEvent::TooSlow:
    return "too_slow";
  case InboundEvent::NoMemory:
    return "no_memory";
  case InboundEvent::NoDescriptors:
    return "no_descriptors";
  case InboundEvent::TooLarge:
    return "too_large";
  case InboundEvent::TooManyPipelined:
    return "too_many_pipelined";
  case InboundEvent::Malformed:
    return "malformed";
  }
  return "malformed";
}

InboundBudget::Limits InboundBudget::limitsFor(MebiBytes Memory,
                                               std::size_t Descriptors) {
  Limits Result;
  Result.ProcessBytes =
      static_cast<std::size_t>(Memory.value()) * 1024 * 1024 / MemoryDivisor;
  Result.ConnectionBytes = Result.ProcessBytes / 4;
  Result.ReservedBytes = Result.ProcessBytes / 4;
  std::size_t Sockets = Descriptors - std::min(Descriptors, FileDescriptors);
  std::size_t Own =
      std::max(MinOwnDescriptors, Sockets / OwnDescriptorsDivisor);
  std::size_t BySockets = Sockets - std::min(Sockets, Own);
  std::size_t ByMemory = Result.ProcessBytes / 2 / InboundShare::BaseBytes;
  Result.Connections = std::max(MinConnections, std::min(BySockets, ByMemory));
  return Result;
}

InboundBudget::InboundBudget(Limits Config, Observer OnEvent)
    : Config(Config), OnEvent(std::move(OnEvent)) {}

InboundBudget::~InboundBudget() = default;

std::unique_ptr<InboundShare>
InboundBudget::open(std::function<void(InboundEvent)> Close, TimePoint Now) {
  while (Shares.size() >= Config.Connections) {
    InboundShare *Victim = longestIdle();
    if (Victim == nullptr) {
      report(InboundEvent::NoDescriptors);
      return nullptr;
    }
    evict(*Victim, InboundEvent::EvictedForDescriptors);
  }
  std::unique_ptr<InboundShare> Result(
      new InboundShare(*this, std::move(Close), Now));
  if (!makeRoom(*Result, Now)) {
    report(InboundEvent::NoMemory);
    return nullptr;
  }
  return Result;
}

void InboundBudget::report(InboundEvent Event) {
  if (OnEvent)
    OnEvent(Event);
}

std::size_t InboundBudget::allowedBytes(const InboundShare &Share) const {
  return Share.Held <= Config.SmallBytes
             ? Config.ProcessBytes
             : Config.ProcessBytes - Config.ReservedBytes;
}

bool InboundBudget::makeRoom(InboundShare &Requester, TimePoint Now) {
  if (Requester.Held > Config.ConnectionBytes)
    return false;
  // A small request displaces any incomplete one, as it costs its sender least
  // to send again what it has sent so far. A large one displaces only those
  // that have stalled, or requests that arrive at the same time would displace
  // each other and none would complete.
  bool Small = Requester.Held <= Config.SmallBytes;
  while (Total > allowedBytes(Requester)) {
    InboundShare *Victim = heaviestStalled(&Requester, Config.StallTime, Now);
    if (Victim == nullptr && Small)
      Victim = heaviestStalled(&Requester, Duration(0), Now);
    if (Victim == nullptr)
      return false;
    evict(*Victim, InboundEvent::EvictedForMemory);
  }
  return true;
}

InboundShare *InboundBudget::heaviestStalled(const InboundShare *Except,
                                             Duration MinStall,
                                             TimePoint Now) const {
  InboundShare *Result = nullptr;
  double Heaviest = -1;
  for (InboundShare *Each : Shares) {
    Duration Stall = Now - Each->LastProgress;
    if (Each == Except || !Each->closable() || Stall < MinStall)
      continue;
    double Weight = static_cast<double>(Each->Held) *
                    std::chrono::duration<double>(Stall).count();
    if (Weight > Heaviest) {
      Heaviest = Weight;
      Result = Each;
    }
  }
  return Result;
}

InboundShare *InboundBudget::longestIdle() const {
  InboundShare *Result = nullptr;
  // An incomplete request or an unread answer counts as used more recently
  // than any connection without a request.
  auto Later = [](const InboundShare *Left, const InboundShare *Right) {
    bool LeftIdle = Left->Current == InboundShare::Phase::Idle;
    bool RightIdle = Right->Current == InboundShare::Phase::Idle;
    if (LeftIdle != RightIdle)
      return RightIdle;
    return Left->LastProgress > Right->LastProgress;
  };
  for (InboundShare *Each : Shares)
    if (Each->closable() && (Result == nullptr || Later(Result, Each)))
      Result = Each;
  return Result;
}

void InboundBudget::evict(InboundShare &Victim, InboundEvent Event) {
  report(Event);
  // Closing ends the share in most cases; what it holds is released here, so
  // that no decision waits for it.
  auto Close = std::move(Victim.Close);
  Victim.Close = nullptr;
  Total -= Victim.Held;
  Victim.Held = 0;
  Shares.erase(Victim.Position);
  Victim.Position = Shares.end();
  Close(Event);
}

InboundShare::InboundShare(InboundBudget &Owner,
                           std::function<void(InboundEvent)> Close,
                           TimePoint Now)
    : Owner(Owner), Close(std::move(Close)), LastProgress(Now) {
  Position = Owner.Shares.insert(Owner.Shares.end(), this);
  Owner.Total += Held;
}

InboundShare::~InboundShare() {
  if (Position == Owner.Shares.end())
    return;
  Owner.Total -= Held;
  Owner.Shares.erase(Position);
}

void InboundShare::change(Phase Next, std::size_t Bytes, TimePoint Now) {
  if (Position == Owner.Shares.end())
    return;
  Owner.Total -= Held;
  Held = BaseBytes + Bytes;
  Owner.Total += Held;
  if (Next == Current)
    return;
  Current = Next;
  LastProgress = Now;
  Unreported = 0;
}

bool InboundShare::receive(std::size_t Bytes, std::size_t Received,
                           std::size_t Missing, TimePoint Now) {
  if (Position == Owner.Shares.end())
    return false;
  // A request that is about to be complete is not refused for the little memory
  // that it still needs.
  bool Grows =
      BaseBytes + Bytes > Held && Missing > Held / AlmostCompleteDivisor;
  change(Phase::Receiving, Bytes, Now);
  Unreported += Received;
  if (Unreported >= Owner.Config.ProgressBytes) {
    Unreported = 0;
    LastProgress = Now;
  }
  if (!Grows || Owner.makeRoom(*this, Now))
    return true;
  Owner.report(InboundEvent::NoMemory);
  return false;
}

TimePoint InboundShare::tooSlowAt() const {
  return LastProgress + Owner.Config.MaxStall;
}

void InboundShare::process(TimePoint Now) {
  change(Phase::Processing, Held - std::min(Held, BaseBytes), Now);
}

void InboundShare::send(std::size_t Bytes, TimePoint Now) {
  change(Phase::Sending, Bytes, Now);
}

void InboundShare::idle(TimePoint Now) { change(Phase::Idle, 0, Now); }

} // namespace daisyspool::http
