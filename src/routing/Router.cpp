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

// Weights of a new sample in exponential moving averages.
constexpr double SlowdownWeight = 0.1;
constexpr double SuccessWeight = 0.1;
constexpr double DelayWeight = 0.05;
// Samples are clamped to these bounds. A single outlier would otherwise
// dominate the average for seconds.
constexpr double MinSlowdown = 0.1;
constexpr double MaxSlowdown = 20;
// Bounds the penalty in the estimate for a target that fails but cannot be
// ejected.
constexpr double MinEstimateSuccessRate = 0.05;
constexpr std::uint32_t MinAttemptsForSuccessRate = 10;
// Learned values decay to their defaults, so that an avoided target or link is
// used again after it has recovered.
constexpr Duration DecayHalfLife = std::chrono::seconds(10);
constexpr Duration DecayDelay = std::chrono::seconds(1);
// Minimum remaining time of a probe's request, in multiples of its expected
// service time. A probe may fail, and the request then needs time for a retry.
constexpr int MinProbeTimeFactor = 4;
// Limits the attempts in flight to twice the slots of a target, however slow
// the link to it is.
constexpr double MinSlotWeight = 0.5;
constexpr double RoundingTolerance = 1e-6;
// Random draws per candidate before the search for an untried target with free
// capacity is given up.
constexpr int DrawsPerChoice = 3;

double nanos(Duration Time) { return static_cast<double>(Time.count()); }

Duration toDuration(double Nanos) {
  return Duration(static_cast<Duration::rep>(Nanos));
}

double decayFactor(Duration Age) {
  if (Age <= DecayDelay)
    return 1;

  return std::exp2(-nanos(Age) / nanos(DecayHalfLife));
}

std::string micros(Duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::microseconds>(Time)
                 .count()) +
         "us";
}

std::string explainCandidate(const char *Name, const RouteCandidate &Candidate,
                             const TargetId &Id) {
  std::string Prefix = std::string(" ") + Name;
  return Prefix + "=" + Id.str() + Prefix +
         "_busy=" + std::to_string(Candidate.Busy) + Prefix +
         "_limit=" + std::to_string(Candidate.Limit) + Prefix +
         "_slowdown=" + std::to_string(Candidate.Slowdown) + Prefix +
         "_success=" + std::to_string(Candidate.SuccessRate) + Prefix +
         "_estimate=" + micros(Candidate.Estimate);
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
    : Settings(std::move(Settings)), Budget(Budget), Rng(Seed) {
  assert(this->Settings.Choices >= 1);
  // The home domain always has index 0.
  domainIndex(this->Settings.Home);
  Domains.front().ConfiguredDelay = Duration::zero();
}

void Router::setExtraDelay(const FailureDomainId &Domain, Duration Delay) {
  Domains[domainIndex(Domain)].ConfiguredDelay = Delay;
}

void Router::addTarget(const TargetInfo &Info, TimePoint Now, bool Warm) {
  assert(Info.Slots > 0 && Info.Connections > 0);
  removeTarget(Info.Id, Now);

  std::uint32_t Index = allocateTarget(Info);
  Target &T = Targets[Index];
  T.Domain = domainIndex(Info.Domain);
  T.State = TargetState::Serving;
  T.SlowStarting = !Warm;
  T.SlowStartFrom = Now;
  Indexes.emplace(Info.Id, Index);
  ++Live;
  updateLimits(Index, Now);
}

void Router::removeTarget(const TargetId &Id, TimePoint Now) {
  auto Found = Indexes.find(Id);
  if (Found == Indexes.end())
    return;

  std::uint32_t Index = Found->second;
  Target &T = Targets[Index];
  if (T.State == TargetState::Ejected || T.State == TargetState::Probing)
    endEjection(Index, TargetState::Removed, Now);
  T.State = TargetState::Removed;
  updateLimits(Index, Now);
  SlotsInUse -= T.OwnSlots;
  if (T.Domain == 0)
    for (std::size_t Class = 0; Class < WorkClassCount; ++Class)
      HeldAtHome[Class] -= T.OwnSlotsOf[Class];
  Occupied -= T.Occupied;
  Indexes.erase(Found);
  --Live;
  // Outcomes of tickets with the old generation are ignored from now on.
  ++T.Generation;
  FreeIndexes.push_back(Index);
  releaseEjectedOverCap(Now);
}

std::optional<TargetId> Router::choose(const RouteRequest &Request,
                                       TimePoint Now) {
  LastDecision = RouteDecision{};
  LastDecision.KeepFreeAtHome = keepFreeAtHome(Request);
  runRechecks(Now);

  if (Request.Kind != AttemptKind::First) {
    if (!Request.Idempotent) {
      LastDecision.Reason = RouteReason::NotIdempotent;
      return std::nullopt;
    }
    if (!Budget.allows()) {
      LastDecision.Reason = RouteReason::BudgetSpent;
      return std::nullopt;
    }
  }
  if (auto Probe = dueProbe(Request, Now))
    return selectTarget(RouteReason::Probe, *Probe);

  const Domain &Home = Domains.front();
  LastDecision.HomeFree = Home.SlotsFree;
  LastDecision.Home = sampleBest(Home, Request, Now);
  bool HomeIsReserved = Request.Holds == Occupancy::Slot &&
                        LastDecision.KeepFreeAtHome > 0 &&
                        Home.SlotsFree <= LastDecision.KeepFreeAtHome;
  LastDecision.HomeTime = Duration::max();
  if (LastDecision.Home && !HomeIsReserved)
    LastDecision.HomeTime = LastDecision.Home->Estimate;
  else if (!LastDecision.Home && Home.SlotLimit > 0 &&
           Request.Holds == Occupancy::Slot &&
           Request.Kind == AttemptKind::First)
    LastDecision.HomeTime = Request.ExpectedService + Request.ExpectedService *
                                                          Request.Waiting /
                                                          Home.SlotLimit;

  sampleRemoteDomains(Request, Now);
  bool RemoteIsFaster =
      LastDecision.Remote &&
      (LastDecision.HomeTime == Duration::max() ||
       LastDecision.Remote->Estimate + LastDecision.ExtraDelay <
           LastDecision.HomeTime);
  if (RemoteIsFaster)
    return selectTarget(RouteReason::Spilled, LastDecision.Remote->Index);
  if (LastDecision.Home && !HomeIsReserved)
    return selectTarget(RouteReason::Home, LastDecision.Home->Index);

  LastDecision.Reason = LastDecision.Home || LastDecision.Remote
                            ? RouteReason::WaitForHome
                            : RouteReason::NoTarget;
  return std::nullopt;
}

AttemptTicket Router::onSent(const TargetId &Id, const RouteRequest &Request,
                             TimePoint Now) {
  std::uint32_t Index = LastChosenIndex;
  Target &T = Targets[Index];
  assert(T.State != TargetState::Removed && T.Info.Id == Id);
  if (Request.Kind == AttemptKind::First)
    Budget.onFirstAttempt();
  else
    Budget.spend();

  bool Probe = T.State == TargetState::Probing;
  T.ProbeInFlight = T.ProbeInFlight || Probe;
  ++T.OwnConnections;
  double Weight = 0;
  if (Request.Holds == Occupancy::Slot) {
    Weight = slotWeight(Domains[T.Domain], Request, Now);
    T.Occupied += Weight;
    Occupied += Weight;
    ++T.OwnSlots;
    ++T.OwnSlotsOf[static_cast<std::size_t>(Request.Class)];
    if (T.Domain == 0)
      ++HeldAtHome[static_cast<std::size_t>(Request.Class)];
    ++SlotsInUse;
  }
  updateLimits(Index, Now);

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
  Target *T = findTarget(Ticket);
  if (!T)
    return;

  releaseCapacity(*T, Ticket);
  T->ConsecutiveFailures = 0;
  ++T->Attempts;
  T->SuccessRate += SuccessWeight * (1 - T->SuccessRate);
  updateLoad(*T, Load, Now);
  if (Ticket.Holds == Occupancy::Slot)
    updateSlowdown(*T, Ticket, Load, Now);
  if (T->Ejections > 0 && Now - T->LastFailure > Settings.EjectionResetAfter)
    T->Ejections = 0;

  if (Ticket.Probe && T->State == TargetState::Probing) {
    endEjection(Ticket.Index, TargetState::Serving, Now);
    return;
  }
  updateLimits(Ticket.Index, Now);
}

void Router::onFailure(const AttemptTicket &Ticket, FailureKind Kind,
                       TimePoint Now) {
  Target *T = findTarget(Ticket);
  if (!T)
    return;

  releaseCapacity(*T, Ticket);
  if (Kind == FailureKind::Full) {
    T->OtherSlots = T->Info.Slots - std::min(T->OwnSlots, T->Info.Slots);
    T->ReportedAt = Now;
    updateLimits(Ticket.Index, Now);
    return;
  }

  ++T->Attempts;
  ++T->ConsecutiveFailures;
  T->LastFailure = Now;
  T->SuccessRate -= SuccessWeight * T->SuccessRate;
  bool Failing = Kind == FailureKind::LinkSilent ||
                 T->ConsecutiveFailures >= Settings.EjectAfterFailures ||
                 (T->Attempts >= MinAttemptsForSuccessRate &&
                  T->SuccessRate < Settings.EjectBelowSuccessRate);
  if (T->State == TargetState::Probing && Ticket.Probe) {
    endEjection(Ticket.Index, TargetState::Serving, Now);
    Failing = true;
  }
  // Failures of attempts sent before the ejection do not extend it.
  if (Failing && T->State == TargetState::Serving)
    eject(Ticket.Index, Now);
  updateLimits(Ticket.Index, Now);
}

void Router::onCancelled(const AttemptTicket &Ticket, TimePoint Now) {
  Target *T = findTarget(Ticket);
  if (!T)
    return;

  releaseCapacity(*T, Ticket);
  updateLimits(Ticket.Index, Now);
}

std::string Router::explainLastDecision() const {
  std::string Line =
      std::string("decision=route reason=") + toString(LastDecision.Reason) +
      " home_time=" + micros(LastDecision.HomeTime) +
      " extra_delay=" + micros(LastDecision.ExtraDelay) +
      " home_free=" + std::to_string(LastDecision.HomeFree) +
      " keep_free=" + std::to_string(LastDecision.KeepFreeAtHome);
  if (LastDecision.Home)
    Line += explainCandidate("home", *LastDecision.Home,
                             Targets[LastDecision.Home->Index].Info.Id);
  if (LastDecision.Remote)
    Line += explainCandidate("remote", *LastDecision.Remote,
                             Targets[LastDecision.Remote->Index].Info.Id);
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
  Domains.back().ConfiguredDelay = Settings.DefaultExtraDelay;
  return static_cast<std::uint32_t>(Domains.size() - 1);
}

std::uint32_t Router::allocateTarget(const TargetInfo &Info) {
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

void Router::updateLimits(std::uint32_t Index, TimePoint Now) {
  Target &T = Targets[Index];
  Domain &TargetDomain = Domains[T.Domain];
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  if (T.State == TargetState::Serving) {
    bool ReportIsFresh = Now - T.ReportedAt < Settings.ReportLifetime;
    if (!ReportIsFresh) {
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

  // The totals include the previous contribution of this target.
  std::uint32_t FreeBefore = T.FreeSlots;
  T.FreeSlots = static_cast<std::uint32_t>(std::max(Slots - T.Occupied, 0.0));
  TargetDomain.SlotsFree += T.FreeSlots - FreeBefore;
  TargetDomain.SlotLimit += Slots - T.Limit[SlotKind];
  Capacity[SlotKind] += Slots - T.Limit[SlotKind];
  Capacity[ConnectionKind] += Connections - T.Limit[ConnectionKind];
  T.Limit[SlotKind] = Slots;
  T.Limit[ConnectionKind] = Connections;

  bool HasConnection = T.OwnConnections < Connections;
  setAvailable(Index, Occupancy::ConnectionOnly, HasConnection);
  setAvailable(Index, Occupancy::Slot,
               HasConnection && T.Occupied + MinSlotWeight <= Slots);
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
      auto RampLimit = static_cast<std::uint32_t>(T.Info.Slots * nanos(Age) /
                                                  nanos(Settings.SlowStart));
      Limit = std::min(Limit, std::max(RampLimit, 1U));
    }
  }

  // The limit applies to all entries together, so the slots that others use are
  // subtracted.
  return Limit - std::min(T.OtherSlots, Limit);
}

void Router::setAvailable(std::uint32_t Index, Occupancy Holds,
                          bool IsAvailable) {
  auto Kind = static_cast<std::size_t>(Holds);
  Target &T = Targets[Index];
  std::vector<std::uint32_t> &Available = Domains[T.Domain].Available[Kind];
  std::int32_t Position = T.AvailablePosition[Kind];
  if ((Position != NoPosition) == IsAvailable)
    return;

  if (IsAvailable) {
    T.AvailablePosition[Kind] = static_cast<std::int32_t>(Available.size());
    Available.push_back(Index);
    return;
  }

  std::uint32_t Moved = Available.back();
  Available[static_cast<std::size_t>(Position)] = Moved;
  Targets[Moved].AvailablePosition[Kind] = Position;
  Available.pop_back();
  T.AvailablePosition[Kind] = NoPosition;
}

void Router::scheduleRecheck(std::uint32_t Index, TimePoint At) {
  Target &T = Targets[Index];
  // A recheck that is due earlier schedules the next one.
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
  if (T.State == TargetState::Ejected) {
    if (Now < T.EjectedUntil) {
      scheduleRecheck(Index, T.EjectedUntil);
      return;
    }
    T.State = TargetState::Probing;
    T.ProbeInFlight = false;
    Probing.push_back(Index);
    return;
  }

  if (T.State == TargetState::Serving)
    updateLimits(Index, Now);
}

void Router::eject(std::uint32_t Index, TimePoint Now) {
  Target &T = Targets[Index];
  assert(T.State == TargetState::Serving);
  if (!mayEjectOneMore())
    return;

  std::uint32_t Doublings = std::min(T.Ejections, 30U);
  Duration Length =
      std::min(Settings.LongestEjection,
               Settings.FirstEjection * (std::int64_t(1) << Doublings));
  ++T.Ejections;
  T.State = TargetState::Ejected;
  T.EjectedUntil = Now + Length;
  ++Ejected;
  scheduleRecheck(Index, T.EjectedUntil);
}

void Router::endEjection(std::uint32_t Index, TargetState Next, TimePoint Now) {
  Target &T = Targets[Index];
  assert(T.State == TargetState::Ejected || T.State == TargetState::Probing);
  if (T.State == TargetState::Probing)
    Probing.erase(std::find(Probing.begin(), Probing.end(), Index));
  --Ejected;
  T.State = Next;
  T.ProbeInFlight = false;
  T.ConsecutiveFailures = 0;
  T.Attempts = 0;
  T.SlowStarting = true;
  T.SlowStartFrom = Now;
  updateLimits(Index, Now);
}

void Router::releaseEjectedOverCap(TimePoint Now) {
  while (Ejected > 0 && Ejected > Settings.MaxEjectedShare * Live) {
    std::optional<std::uint32_t> Soonest;
    for (std::uint32_t Index = 0; Index < Targets.size(); ++Index) {
      const Target &T = Targets[Index];
      bool IsEjected =
          T.State == TargetState::Ejected || T.State == TargetState::Probing;
      if (IsEjected &&
          (!Soonest || T.EjectedUntil < Targets[*Soonest].EjectedUntil))
        Soonest = Index;
    }
    assert(Soonest);
    endEjection(*Soonest, TargetState::Serving, Now);
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
    bool Safe =
        Request.Idempotent && Budget.allows() &&
        Request.Remaining >= MinProbeTimeFactor * Request.ExpectedService;
    // Readmits targets of a service that has only non-idempotent requests.
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
  Result.SuccessRate = std::max(T.SuccessRate, MinEstimateSuccessRate);
  Result.Slowdown = 1 + (T.Slowdown - 1) * decayFactor(Now - T.SlowdownAt);

  double Load = (Result.Busy + 1.0) / std::max(Result.Limit, 1U);
  double Service = nanos(Request.ExpectedService) * Result.Slowdown;
  double Queue = Service * T.ReportedQueue / T.Info.Slots;
  Result.Estimate =
      toDuration((Service * (1 + Settings.LoadWeight * Load) + Queue) /
                 Result.SuccessRate);
  return Result;
}

std::optional<RouteCandidate> Router::sampleBest(const Domain &From,
                                                 const RouteRequest &Request,
                                                 TimePoint Now) {
  const auto &Available =
      From.Available[static_cast<std::size_t>(Request.Holds)];
  std::optional<RouteCandidate> Best;
  std::optional<std::uint32_t> Previous;
  double Weight = slotWeight(From, Request, Now);
  auto Consider = [&](std::uint32_t Index) {
    if (Index == Previous || wasTried(Index, Request) ||
        !hasCapacity(Targets[Index], Request, Weight))
      return false;
    RouteCandidate Candidate = evaluate(Index, Request, Now);
    if (!Best || Candidate.Estimate < Best->Estimate)
      Best = Candidate;
    Previous = Index;
    return true;
  };

  if (Available.size() <= Settings.Choices + Request.Tried.size()) {
    for (std::uint32_t Index : Available)
      Consider(Index);
    return Best;
  }

  for (std::uint32_t Choice = 0; Choice < Settings.Choices; ++Choice)
    for (int Draw = 0; Draw < DrawsPerChoice; ++Draw)
      if (Consider(Available[Rng.below(Available.size())]))
        break;
  return Best;
}

double Router::slotWeight(const Domain &To, const RouteRequest &Request,
                          TimePoint Now) const {
  if (&To == &Domains.front() || !Settings.DiscountTransit)
    return 1;

  double Service = nanos(Request.ExpectedService);
  double Total = Service + nanos(extraDelay(To, Now));
  return Total > 0 ? std::max(Service / Total, MinSlotWeight) : 1;
}

bool Router::hasCapacity(const Target &T, const RouteRequest &Request,
                         double Weight) const {
  return Request.Holds == Occupancy::ConnectionOnly ||
         T.Occupied + Weight <= T.Limit[SlotKind] + RoundingTolerance;
}

bool Router::wasTried(std::uint32_t Index, const RouteRequest &Request) const {
  return std::find(Request.Tried.begin(), Request.Tried.end(),
                   Targets[Index].Info.Id) != Request.Tried.end();
}

Duration Router::extraDelay(const Domain &To, TimePoint Now) const {
  if (!To.LearnedAt)
    return To.ConfiguredDelay;

  double Set = nanos(To.ConfiguredDelay);
  return toDuration(Set +
                    (To.LearnedDelay - Set) * decayFactor(Now - *To.LearnedAt));
}

void Router::sampleRemoteDomains(const RouteRequest &Request, TimePoint Now) {
  Duration Best = Duration::max();
  for (std::size_t Index = 1; Index < Domains.size(); ++Index) {
    const Domain &Remote = Domains[Index];
    Duration Delay = extraDelay(Remote, Now);
    // Even an idle target in this domain would not reply sooner.
    if (LastDecision.HomeTime != Duration::max() &&
        Request.ExpectedService / 2 + Delay >= LastDecision.HomeTime)
      continue;

    auto Candidate = sampleBest(Remote, Request, Now);
    if (Candidate && Candidate->Estimate + Delay < Best) {
      Best = Candidate->Estimate + Delay;
      LastDecision.Remote = Candidate;
      LastDecision.ExtraDelay = Delay;
    }
  }
}

TargetId Router::selectTarget(RouteReason Reason, std::uint32_t Index) {
  LastDecision.Reason = Reason;
  LastChosenIndex = Index;
  return Targets[Index].Info.Id;
}

std::uint32_t Router::keepFreeAtHome(const RouteRequest &Request) const {
  std::uint32_t Held = 0;
  for (std::size_t Class = 0; Class < static_cast<std::size_t>(Request.Class);
       ++Class)
    Held += HeldAtHome[Class];
  return Request.ReservationAbove - std::min(Held, Request.ReservationAbove);
}

Router::Target *Router::findTarget(const AttemptTicket &Ticket) {
  if (Ticket.Index >= Targets.size() ||
      Targets[Ticket.Index].Generation != Ticket.Generation)
    return nullptr;

  return &Targets[Ticket.Index];
}

void Router::releaseCapacity(Target &T, const AttemptTicket &Ticket) {
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
  // Reset to exactly zero, so that rounding errors do not accumulate.
  T.Occupied = T.OwnSlots == 0 ? 0 : T.Occupied - Ticket.Weight;
  Occupied = SlotsInUse == 0 ? 0 : Occupied - Ticket.Weight;
}

void Router::updateLoad(Target &T, const LoadReport &Load, TimePoint Now) {
  T.OtherSlots = Load.BusySlots - std::min(Load.OwnSlots, Load.BusySlots);
  T.OtherConnections = Load.OpenConnections -
                       std::min(Load.OwnConnections, Load.OpenConnections);
  T.ReportedQueue = Load.Queued;
  T.ReportedAt = Now;
}

void Router::updateSlowdown(Target &T, const AttemptTicket &Ticket,
                            const LoadReport &Load, TimePoint Now) {
  Duration Total = Now - Ticket.SentAt;
  Duration Service = Load.AtTarget > Duration::zero() ? Load.AtTarget : Total;
  if (Ticket.Expected <= Duration::zero())
    return;

  double Ratio = std::clamp(nanos(Service) / nanos(Ticket.Expected),
                            MinSlowdown, MaxSlowdown);
  T.Slowdown = 1 + (T.Slowdown - 1) * decayFactor(Now - T.SlowdownAt);
  T.Slowdown += SlowdownWeight * (Ratio - T.Slowdown);
  T.SlowdownAt = Now;
  T.Concurrency.onSample(Ratio, Ticket.InFlight);

  if (T.Domain == 0 || Load.AtTarget <= Duration::zero())
    return;
  Domain &From = Domains[T.Domain];
  double Delay = nanos(Total - Load.AtTarget);
  if (!From.LearnedAt)
    From.LearnedDelay = nanos(From.ConfiguredDelay);
  From.LearnedDelay = nanos(extraDelay(From, Now));
  From.LearnedDelay += DelayWeight * (Delay - From.LearnedDelay);
  From.LearnedAt = Now;
}

} // namespace daisyspool
