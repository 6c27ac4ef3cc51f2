#include "daisyspool/routing/Router.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <limits>

namespace daisyspool {

namespace {

constexpr std::size_t SlotKind = static_cast<std::size_t>(Occupancy::Slot);
constexpr std::size_t ConnectionKind =
    static_cast<std::size_t>(Occupancy::ConnectionOnly);

constexpr double SlowdownWeight = 0.1;
constexpr double SuccessWeight = 0.1;
constexpr double DelayWeight = 0.05;
// A single sample outside these bounds would decide alone for seconds.
constexpr double MinSlowdown = 0.1;
constexpr double MaxSlowdown = 20;
// Bounds the penalty of a target that fails but cannot be ejected.
constexpr double MinSuccess = 0.05;
constexpr std::uint32_t MinAttemptsToJudge = 10;
// Learned values fade, so that a target or link that is avoided gets used
// again after it has recovered.
constexpr Duration FadeHalfLife = std::chrono::seconds(10);
constexpr Duration FadeAfter = std::chrono::seconds(1);
// A probe may fail, so its request must have time for a retry.
constexpr int ProbeRoom = 4;
// Bounds the attempts sent to a target to twice its slots, however slow the
// link to it is.
constexpr double MinWeight = 0.5;
constexpr double RoundingSlack = 1e-6;
// Draws for each candidate before a decision gives up on untried targets.
constexpr int DrawsPerChoice = 3;

double nanos(Duration Time) { return static_cast<double>(Time.count()); }

Duration toDuration(double Nanos) {
  return Duration(static_cast<Duration::rep>(Nanos));
}

double fade(Duration Age) {
  if (Age <= FadeAfter)
    return 1;

  return std::exp2(-nanos(Age) / nanos(FadeHalfLife));
}

std::string micros(Duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::microseconds>(Time)
                 .count()) +
         "us";
}

std::string explainCandidate(const char *Name, const RouteCandidate &Of,
                             const TargetId &Id) {
  std::string Prefix = std::string(" ") + Name;
  return Prefix + "=" + Id.str() + Prefix + "_busy=" + std::to_string(Of.Busy) +
         Prefix + "_limit=" + std::to_string(Of.Limit) + Prefix +
         "_slowdown=" + std::to_string(Of.Slowdown) + Prefix +
         "_success=" + std::to_string(Of.Success) + Prefix +
         "_estimate=" + micros(Of.Estimate);
}

} // namespace

const char *toString(RouteReason Reason) {
  switch (Reason) {
  case RouteReason::Home:
    return "home";
  case RouteReason::Spilled:
    return "spilled";
  case RouteReason::Probe:
    return "probe";
  case RouteReason::WaitForHome:
    return "wait-for-home";
  case RouteReason::NoTarget:
    return "no-target";
  case RouteReason::NotIdempotent:
    return "not-idempotent";
  case RouteReason::BudgetSpent:
    return "budget-spent";
  }
  return "unknown";
}

Router::Router(RouterSettings Settings, RetryBudget &Budget, std::uint64_t Seed)
    : Settings(std::move(Settings)), Budget(Budget), Source(Seed) {
  assert(this->Settings.Choices >= 1);
  // The home domain is always the first.
  domainIndex(this->Settings.Home);
  Domains.front().SetDelay = Duration::zero();
}

void Router::setExtraDelay(const FailureDomainId &Domain, Duration Delay) {
  Domains[domainIndex(Domain)].SetDelay = Delay;
}

void Router::addTarget(const TargetInfo &Info, TimePoint Now, bool Warm) {
  assert(Info.Slots > 0 && Info.Connections > 0);
  removeTarget(Info.Id, Now);

  std::uint32_t Index = allocate(Info);
  Target &T = Targets[Index];
  T.Domain = domainIndex(Info.Domain);
  T.Is = State::Serving;
  T.SlowStarting = !Warm;
  T.SlowStartFrom = Now;
  Indexes.emplace(Info.Id, Index);
  ++Live;
  refresh(Index, Now);
}

void Router::removeTarget(const TargetId &Id, TimePoint Now) {
  auto Found = Indexes.find(Id);
  if (Found == Indexes.end())
    return;

  std::uint32_t Index = Found->second;
  Target &T = Targets[Index];
  if (T.Is == State::Ejected || T.Is == State::Probing)
    endEjection(Index, State::Gone, Now);
  T.Is = State::Gone;
  refresh(Index, Now);
  SlotsInUse -= T.OwnSlots;
  if (T.Domain == 0)
    for (std::size_t Class = 0; Class < WorkClassCount; ++Class)
      HeldAtHome[Class] -= T.OwnSlotsOf[Class];
  Occupied -= T.Occupied;
  Indexes.erase(Found);
  --Live;
  // Tickets of the old generation are ignored from here on.
  ++T.Generation;
  FreeIndexes.push_back(Index);
  releaseEjectedOverCap(Now);
}

std::optional<TargetId> Router::choose(const RouteRequest &Request,
                                       TimePoint Now) {
  Last = RouteDecision{};
  Last.KeepFreeAtHome = keepFreeAtHome(Request);
  runRechecks(Now);

  if (Request.Kind != AttemptKind::First) {
    if (!Request.Idempotent) {
      Last.Reason = RouteReason::NotIdempotent;
      return std::nullopt;
    }
    if (!Budget.allows()) {
      Last.Reason = RouteReason::BudgetSpent;
      return std::nullopt;
    }
  }
  if (auto Probe = dueProbe(Request, Now))
    return decide(RouteReason::Probe, *Probe);

  const Domain &Home = Domains.front();
  Last.HomeFree = Home.SlotsFree;
  Last.Home = sample(Home, Request, Now);
  bool Kept = Request.Holds == Occupancy::Slot && Last.KeepFreeAtHome > 0 &&
              Home.SlotsFree <= Last.KeepFreeAtHome;
  Last.HomeTime = Duration::max();
  if (Last.Home && !Kept)
    Last.HomeTime = Last.Home->Estimate;
  else if (!Last.Home && Home.SlotLimit > 0 &&
           Request.Holds == Occupancy::Slot &&
           Request.Kind == AttemptKind::First)
    Last.HomeTime = Request.ExpectedService +
                    Request.ExpectedService * Request.Waiting / Home.SlotLimit;

  considerRemote(Request, Now);
  bool Closer =
      Last.Remote && (Last.HomeTime == Duration::max() ||
                      Last.Remote->Estimate + Last.ExtraDelay < Last.HomeTime);
  if (Closer)
    return decide(RouteReason::Spilled, Last.Remote->Index);
  if (Last.Home && !Kept)
    return decide(RouteReason::Home, Last.Home->Index);

  Last.Reason = Last.Home || Last.Remote ? RouteReason::WaitForHome
                                         : RouteReason::NoTarget;
  return std::nullopt;
}

AttemptTicket Router::onSent(const TargetId &Id, const RouteRequest &Request,
                             TimePoint Now) {
  std::uint32_t Index = LastIndex;
  Target &T = Targets[Index];
  assert(T.Is != State::Gone && T.Info.Id == Id);
  if (Request.Kind == AttemptKind::First)
    Budget.onFirstAttempt();
  else
    Budget.spend();

  bool Probe = T.Is == State::Probing;
  T.ProbeInFlight = T.ProbeInFlight || Probe;
  ++T.OwnConnections;
  double Weight = 0;
  if (Request.Holds == Occupancy::Slot) {
    Weight = weight(Domains[T.Domain], Request, Now);
    T.Occupied += Weight;
    Occupied += Weight;
    ++T.OwnSlots;
    ++T.OwnSlotsOf[static_cast<std::size_t>(Request.Class)];
    if (T.Domain == 0)
      ++HeldAtHome[static_cast<std::size_t>(Request.Class)];
    ++SlotsInUse;
  }
  refresh(Index, Now);

  AttemptTicket Ticket;
  Ticket.Index = Index;
  Ticket.Generation = T.Generation;
  Ticket.Class = Request.Class;
  Ticket.Holds = Request.Holds;
  Ticket.Probe = Probe;
  Ticket.Weight = Weight;
  Ticket.InFlight = T.OwnSlots + T.OtherSlots;
  Ticket.SentAt = Now;
  Ticket.Expected = Request.ExpectedService;
  return Ticket;
}

void Router::onReply(const AttemptTicket &Ticket, const LoadReport &Load,
                     TimePoint Now) {
  Target *T = find(Ticket);
  if (!T)
    return;

  settle(*T, Ticket);
  T->FailuresInRow = 0;
  ++T->Attempts;
  T->Success += SuccessWeight * (1 - T->Success);
  noteLoad(*T, Load, Now);
  if (Ticket.Holds == Occupancy::Slot)
    noteSlowdown(*T, Ticket, Load, Now);
  if (T->Ejections > 0 && Now - T->LastFailure > Settings.ForgiveAfter)
    T->Ejections = 0;

  if (Ticket.Probe && T->Is == State::Probing) {
    endEjection(Ticket.Index, State::Serving, Now);
    return;
  }
  refresh(Ticket.Index, Now);
}

void Router::onFailure(const AttemptTicket &Ticket, FailureKind Kind,
                       TimePoint Now) {
  Target *T = find(Ticket);
  if (!T)
    return;

  settle(*T, Ticket);
  if (Kind == FailureKind::Full) {
    T->OtherSlots = T->Info.Slots - std::min(T->OwnSlots, T->Info.Slots);
    T->ReportedAt = Now;
    refresh(Ticket.Index, Now);
    return;
  }

  ++T->Attempts;
  ++T->FailuresInRow;
  T->LastFailure = Now;
  T->Success -= SuccessWeight * T->Success;
  bool Failing =
      Kind == FailureKind::LinkSilent ||
      T->FailuresInRow >= Settings.EjectAfter ||
      (T->Attempts >= MinAttemptsToJudge && T->Success < Settings.EjectBelow);
  if (T->Is == State::Probing && Ticket.Probe) {
    endEjection(Ticket.Index, State::Serving, Now);
    Failing = true;
  }
  // Outcomes of attempts sent before the ejection do not lengthen it.
  if (Failing && T->Is == State::Serving)
    eject(Ticket.Index, Now);
  refresh(Ticket.Index, Now);
}

void Router::onCancelled(const AttemptTicket &Ticket, TimePoint Now) {
  Target *T = find(Ticket);
  if (!T)
    return;

  settle(*T, Ticket);
  refresh(Ticket.Index, Now);
}

std::string Router::explainLast() const {
  std::string Line = std::string("decision=route reason=") +
                     toString(Last.Reason) +
                     " home_time=" + micros(Last.HomeTime) +
                     " extra_delay=" + micros(Last.ExtraDelay) +
                     " home_free=" + std::to_string(Last.HomeFree) +
                     " keep_free=" + std::to_string(Last.KeepFreeAtHome);
  if (Last.Home)
    Line +=
        explainCandidate("home", *Last.Home, Targets[Last.Home->Index].Info.Id);
  if (Last.Remote)
    Line += explainCandidate("remote", *Last.Remote,
                             Targets[Last.Remote->Index].Info.Id);
  return Line;
}

std::uint32_t Router::capacity(Occupancy Holds) const {
  if (Holds == Occupancy::ConnectionOnly)
    return Capacity[ConnectionKind];

  return Capacity[SlotKind] +
         static_cast<std::uint32_t>(std::max(SlotsInUse - Occupied, 0.0));
}

double Router::utilization() const {
  std::uint32_t Slots = Capacity[SlotKind];
  return Slots == 0 ? 1.0 : Occupied / Slots;
}

std::uint32_t Router::slotsInFlight(const TargetId &Id) const {
  auto Found = Indexes.find(Id);
  return Found == Indexes.end() ? 0 : Targets[Found->second].OwnSlots;
}

std::uint32_t Router::connectionsInFlight(const TargetId &Id) const {
  auto Found = Indexes.find(Id);
  return Found == Indexes.end() ? 0 : Targets[Found->second].OwnConnections;
}

std::uint32_t Router::domainIndex(const FailureDomainId &Id) {
  // A linear search: there are at most a few dozen failure domains.
  for (std::uint32_t Index = 0; Index < Domains.size(); ++Index)
    if (Domains[Index].Id == Id)
      return Index;

  Domains.emplace_back();
  Domains.back().Id = Id;
  Domains.back().SetDelay = Settings.DefaultExtraDelay;
  return static_cast<std::uint32_t>(Domains.size() - 1);
}

std::uint32_t Router::allocate(const TargetInfo &Info) {
  if (FreeIndexes.empty()) {
    Targets.emplace_back(Info.Slots);
    Targets.back().Info = Info;
    return static_cast<std::uint32_t>(Targets.size() - 1);
  }

  std::uint32_t Index = FreeIndexes.back();
  FreeIndexes.pop_back();
  resetTarget(Targets[Index], Info);
  return Index;
}

void Router::resetTarget(Target &T, const TargetInfo &Info) {
  std::uint32_t Generation = T.Generation;
  auto RecheckAt = T.RecheckAt;
  T = Target(Info.Slots);
  T.Info = Info;
  T.Generation = Generation;
  T.RecheckAt = RecheckAt;
}

void Router::refresh(std::uint32_t Index, TimePoint Now) {
  Target &T = Targets[Index];
  Domain &In = Domains[T.Domain];
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  if (T.Is == State::Serving) {
    bool Fresh = Now - T.ReportedAt < Settings.ReportLifetime;
    if (!Fresh) {
      T.OtherSlots = 0;
      T.OtherConnections = 0;
      T.ReportedQueue = 0;
    } else if (T.OtherSlots > 0 || T.OtherConnections > 0 ||
               T.ReportedQueue > 0) {
      scheduleRecheck(Index, T.ReportedAt + Settings.ReportLifetime);
    }
    Slots = slotLimit(T, Now);
    Connections =
        T.Info.Connections - std::min(T.OtherConnections, T.Info.Connections);
    if (T.SlowStarting)
      scheduleRecheck(Index, Now + Settings.SlowStart / T.Info.Slots);
  }

  // Totals hold the earlier contribution of this target.
  std::uint32_t FreeBefore = T.FreeSlots;
  T.FreeSlots = static_cast<std::uint32_t>(std::max(Slots - T.Occupied, 0.0));
  In.SlotsFree += T.FreeSlots - FreeBefore;
  In.SlotLimit += Slots - T.Limit[SlotKind];
  Capacity[SlotKind] += Slots - T.Limit[SlotKind];
  Capacity[ConnectionKind] += Connections - T.Limit[ConnectionKind];
  T.Limit[SlotKind] = Slots;
  T.Limit[ConnectionKind] = Connections;

  bool Connectable = T.OwnConnections < Connections;
  setListed(Index, Occupancy::ConnectionOnly, Connectable);
  setListed(Index, Occupancy::Slot,
            Connectable && T.Occupied + MinWeight <= Slots);
}

std::uint32_t Router::slotLimit(Target &T, TimePoint Now) const {
  std::uint32_t Limit = T.Info.Slots;
  if (Settings.AdaptConcurrency)
    Limit = std::min(Limit, T.Concurrency.limit());

  if (T.SlowStarting) {
    Duration Age = Now - T.SlowStartFrom;
    if (Age >= Settings.SlowStart) {
      T.SlowStarting = false;
    } else {
      auto Grown = static_cast<std::uint32_t>(T.Info.Slots * nanos(Age) /
                                              nanos(Settings.SlowStart));
      Limit = std::min(Limit, std::max(Grown, 1U));
    }
  }

  // The concurrency limit covers all entries; their part is subtracted.
  return Limit - std::min(T.OtherSlots, Limit);
}

void Router::setListed(std::uint32_t Index, Occupancy Holds, bool Wanted) {
  auto Kind = static_cast<std::size_t>(Holds);
  Target &T = Targets[Index];
  std::vector<std::uint32_t> &Open = Domains[T.Domain].Open[Kind];
  std::int32_t Place = T.Listed[Kind];
  if ((Place != NotListed) == Wanted)
    return;

  if (Wanted) {
    T.Listed[Kind] = static_cast<std::int32_t>(Open.size());
    Open.push_back(Index);
    return;
  }

  std::uint32_t Moved = Open.back();
  Open[static_cast<std::size_t>(Place)] = Moved;
  Targets[Moved].Listed[Kind] = Place;
  Open.pop_back();
  T.Listed[Kind] = NotListed;
}

void Router::scheduleRecheck(std::uint32_t Index, TimePoint At) {
  Target &T = Targets[Index];
  // An earlier recheck schedules the next one itself.
  if (T.RecheckAt && *T.RecheckAt <= At)
    return;

  T.RecheckAt = At;
  Rechecks.emplace_back(At, Index);
  std::push_heap(Rechecks.begin(), Rechecks.end(), std::greater<>());
}

void Router::runRechecks(TimePoint Now) {
  while (!Rechecks.empty() && Rechecks.front().first <= Now) {
    auto [At, Index] = Rechecks.front();
    std::pop_heap(Rechecks.begin(), Rechecks.end(), std::greater<>());
    Rechecks.pop_back();
    if (Targets[Index].RecheckAt == At)
      Targets[Index].RecheckAt.reset();
    recheck(Index, Now);
  }
}

void Router::recheck(std::uint32_t Index, TimePoint Now) {
  Target &T = Targets[Index];
  if (T.Is == State::Ejected) {
    if (Now < T.EjectedUntil) {
      scheduleRecheck(Index, T.EjectedUntil);
      return;
    }
    T.Is = State::Probing;
    T.ProbeInFlight = false;
    Probing.push_back(Index);
    return;
  }

  if (T.Is == State::Serving)
    refresh(Index, Now);
}

void Router::eject(std::uint32_t Index, TimePoint Now) {
  Target &T = Targets[Index];
  assert(T.Is == State::Serving);
  if (!mayEjectOneMore())
    return;

  std::uint32_t Doublings = std::min(T.Ejections, 30U);
  Duration Length =
      std::min(Settings.LongestEjection,
               Settings.FirstEjection * (std::int64_t(1) << Doublings));
  ++T.Ejections;
  T.Is = State::Ejected;
  T.EjectedUntil = Now + Length;
  ++Ejected;
  scheduleRecheck(Index, T.EjectedUntil);
}

void Router::endEjection(std::uint32_t Index, State Next, TimePoint Now) {
  Target &T = Targets[Index];
  assert(T.Is == State::Ejected || T.Is == State::Probing);
  if (T.Is == State::Probing)
    Probing.erase(std::find(Probing.begin(), Probing.end(), Index));
  --Ejected;
  T.Is = Next;
  T.ProbeInFlight = false;
  T.FailuresInRow = 0;
  T.Attempts = 0;
  T.SlowStarting = true;
  T.SlowStartFrom = Now;
  refresh(Index, Now);
}

void Router::releaseEjectedOverCap(TimePoint Now) {
  while (Ejected > 0 && Ejected > Settings.MaxEjectedShare * Live) {
    std::optional<std::uint32_t> Soonest;
    for (std::uint32_t Index = 0; Index < Targets.size(); ++Index) {
      const Target &T = Targets[Index];
      bool Out = T.Is == State::Ejected || T.Is == State::Probing;
      if (Out && (!Soonest || T.EjectedUntil < Targets[*Soonest].EjectedUntil))
        Soonest = Index;
    }
    assert(Soonest);
    endEjection(*Soonest, State::Serving, Now);
  }
}

bool Router::mayEjectOneMore() const {
  return Ejected + 1 <= Settings.MaxEjectedShare * Live;
}

std::optional<std::uint32_t> Router::dueProbe(const RouteRequest &Request,
                                              TimePoint Now) const {
  if (Probing.empty() || Request.Kind != AttemptKind::First ||
      Request.Holds != Occupancy::Slot)
    return std::nullopt;

  for (std::uint32_t Index : Probing) {
    const Target &T = Targets[Index];
    if (T.ProbeInFlight || T.OwnSlots >= T.Info.Slots ||
        T.OwnConnections >= T.Info.Connections)
      continue;
    bool Safe = Request.Idempotent && Budget.allows() &&
                Request.Remaining >= ProbeRoom * Request.ExpectedService;
    // A service without idempotent requests must get its targets back too.
    bool Overdue = Now - T.EjectedUntil > Settings.LongestEjection;
    if (Safe || Overdue)
      return Index;
  }
  return std::nullopt;
}

RouteCandidate Router::evaluate(std::uint32_t Index,
                                const RouteRequest &Request,
                                TimePoint Now) const {
  const Target &T = Targets[Index];
  auto Kind = static_cast<std::size_t>(Request.Holds);
  RouteCandidate Result;
  Result.Index = Index;
  Result.Domain = T.Domain;
  Result.Limit = T.Limit[Kind];
  Result.Busy =
      Request.Holds == Occupancy::Slot ? T.OwnSlots : T.OwnConnections;
  Result.Success = std::max(T.Success, MinSuccess);
  Result.Slowdown = 1 + (T.Slowdown - 1) * fade(Now - T.SlowdownAt);

  double Load = (Result.Busy + 1.0) / std::max(Result.Limit, 1U);
  double Service = nanos(Request.ExpectedService) * Result.Slowdown;
  double Queue = Service * T.ReportedQueue / T.Info.Slots;
  Result.Estimate = toDuration(
      (Service * (1 + Settings.LoadWeight * Load) + Queue) / Result.Success);
  return Result;
}

std::optional<RouteCandidate>
Router::sample(const Domain &In, const RouteRequest &Request, TimePoint Now) {
  const auto &Open = In.Open[static_cast<std::size_t>(Request.Holds)];
  std::optional<RouteCandidate> Best;
  std::optional<std::uint32_t> First;
  double Weight = weight(In, Request, Now);
  auto Consider = [&](std::uint32_t Index) {
    if (Index == First || tried(Index, Request) ||
        !hasRoom(Targets[Index], Request, Weight))
      return false;
    RouteCandidate Found = evaluate(Index, Request, Now);
    if (!Best || Found.Estimate < Best->Estimate)
      Best = Found;
    First = Index;
    return true;
  };

  if (Open.size() <= Settings.Choices + Request.Tried.size()) {
    for (std::uint32_t Index : Open)
      Consider(Index);
    return Best;
  }

  for (std::uint32_t Choice = 0; Choice < Settings.Choices; ++Choice)
    for (int Draw = 0; Draw < DrawsPerChoice; ++Draw)
      if (Consider(Open[Source.below(Open.size())]))
        break;
  return Best;
}

double Router::weight(const Domain &To, const RouteRequest &Request,
                      TimePoint Now) const {
  if (&To == &Domains.front() || !Settings.DiscountTransit)
    return 1;

  double Service = nanos(Request.ExpectedService);
  double Total = Service + nanos(extraDelay(To, Now));
  return Total > 0 ? std::max(Service / Total, MinWeight) : 1;
}

bool Router::hasRoom(const Target &T, const RouteRequest &Request,
                     double Weight) const {
  return Request.Holds == Occupancy::ConnectionOnly ||
         T.Occupied + Weight <= T.Limit[SlotKind] + RoundingSlack;
}

bool Router::tried(std::uint32_t Index, const RouteRequest &Request) const {
  return std::find(Request.Tried.begin(), Request.Tried.end(),
                   Targets[Index].Info.Id) != Request.Tried.end();
}

Duration Router::extraDelay(const Domain &To, TimePoint Now) const {
  if (!To.LearnedAt)
    return To.SetDelay;

  double Set = nanos(To.SetDelay);
  return toDuration(Set + (To.LearnedDelay - Set) * fade(Now - *To.LearnedAt));
}

void Router::considerRemote(const RouteRequest &Request, TimePoint Now) {
  Duration Best = Duration::max();
  for (std::size_t Index = 1; Index < Domains.size(); ++Index) {
    const Domain &Remote = Domains[Index];
    Duration Delay = extraDelay(Remote, Now);
    // Even an idle target there would not answer sooner.
    if (Last.HomeTime != Duration::max() &&
        Request.ExpectedService / 2 + Delay >= Last.HomeTime)
      continue;

    auto Found = sample(Remote, Request, Now);
    if (Found && Found->Estimate + Delay < Best) {
      Best = Found->Estimate + Delay;
      Last.Remote = Found;
      Last.ExtraDelay = Delay;
    }
  }
}

TargetId Router::decide(RouteReason Reason, std::uint32_t Index) {
  Last.Reason = Reason;
  LastIndex = Index;
  return Targets[Index].Info.Id;
}

std::uint32_t Router::keepFreeAtHome(const RouteRequest &Request) const {
  std::uint32_t Held = 0;
  for (std::size_t Class = 0; Class < static_cast<std::size_t>(Request.Class);
       ++Class)
    Held += HeldAtHome[Class];
  return Request.ReservationAbove - std::min(Held, Request.ReservationAbove);
}

Router::Target *Router::find(const AttemptTicket &Ticket) {
  if (Ticket.Index >= Targets.size() ||
      Targets[Ticket.Index].Generation != Ticket.Generation)
    return nullptr;

  return &Targets[Ticket.Index];
}

void Router::settle(Target &T, const AttemptTicket &Ticket) {
  assert(T.OwnConnections > 0);
  --T.OwnConnections;
  if (Ticket.Probe)
    T.ProbeInFlight = false;
  if (Ticket.Holds == Occupancy::ConnectionOnly)
    return;

  assert(T.OwnSlots > 0 && SlotsInUse > 0);
  --T.OwnSlots;
  --T.OwnSlotsOf[static_cast<std::size_t>(Ticket.Class)];
  if (T.Domain == 0)
    --HeldAtHome[static_cast<std::size_t>(Ticket.Class)];
  --SlotsInUse;
  // Zero is set exactly, so that rounding does not add up.
  T.Occupied = T.OwnSlots == 0 ? 0 : T.Occupied - Ticket.Weight;
  Occupied = SlotsInUse == 0 ? 0 : Occupied - Ticket.Weight;
}

void Router::noteLoad(Target &T, const LoadReport &Load, TimePoint Now) {
  T.OtherSlots = Load.BusySlots - std::min(Load.OwnSlots, Load.BusySlots);
  T.OtherConnections = Load.OpenConnections -
                       std::min(Load.OwnConnections, Load.OpenConnections);
  T.ReportedQueue = Load.Queued;
  T.ReportedAt = Now;
}

void Router::noteSlowdown(Target &T, const AttemptTicket &Ticket,
                          const LoadReport &Load, TimePoint Now) {
  Duration Total = Now - Ticket.SentAt;
  Duration Service = Load.AtTarget > Duration::zero() ? Load.AtTarget : Total;
  if (Ticket.Expected <= Duration::zero())
    return;

  double Ratio = std::clamp(nanos(Service) / nanos(Ticket.Expected),
                            MinSlowdown, MaxSlowdown);
  T.Slowdown = 1 + (T.Slowdown - 1) * fade(Now - T.SlowdownAt);
  T.Slowdown += SlowdownWeight * (Ratio - T.Slowdown);
  T.SlowdownAt = Now;
  T.Concurrency.onSample(Ratio, Ticket.InFlight);

  if (T.Domain == 0 || Load.AtTarget <= Duration::zero())
    return;
  Domain &From = Domains[T.Domain];
  double Delay = nanos(Total - Load.AtTarget);
  if (!From.LearnedAt)
    From.LearnedDelay = nanos(From.SetDelay);
  From.LearnedDelay = nanos(extraDelay(From, Now));
  From.LearnedDelay += DelayWeight * (Delay - From.LearnedDelay);
  From.LearnedAt = Now;
}

} // namespace daisyspool
