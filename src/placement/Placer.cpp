#include "daisyspool/placement/Placer.h"

#include <algorithm>
#include <limits>

namespace daisyspool::placement {

namespace {

double part(std::int64_t Of, std::int64_t Whole) {
  return Whole <= 0 ? 0 : static_cast<double>(Of) / static_cast<double>(Whole);
}

/// What \p Wanted exceeds \p Free by in each dimension, at least zero.
Resources shortage(const Resources &Wanted, const Resources &Free) {
  auto Beyond = [](auto A, auto B) { return A > B ? A - B : decltype(A)(0); };
  return {Beyond(Wanted.Cpu, Free.Cpu), Beyond(Wanted.Memory, Free.Memory),
          Beyond(Wanted.Accelerator, Free.Accelerator)};
}

bool isNothing(const Resources &Amount) { return Amount == Resources{}; }

/// What a victim frees in the two sums of its VM.
struct Freed {
  Resources Firm;
  Resources Held;
};

Freed freedBy(const TaskState &Of, const Reclaim &Step) {
  bool Evicted = Step.Do == ReclaimStep::Evict;
  Resources Firm =
      Evicted && !Of.Reclaimable ? Of.Declared.unpacked() : Resources{};
  return {Firm, Of.Held.unpacked() - Step.Held};
}

} // namespace

struct Placer::Search {
  const PlacementRequest &Request;
  const FleetView &Fleet;
  TimePoint Now;
  Resources Held;
  PlacementReason Why;
  std::vector<std::int64_t> ReserveOf;
  double BestScore = std::numeric_limits<double>::infinity();
  Placement Best;

  /// Firm need: the declared size of a task that is not reclaimable.
  Resources firm() const {
    return Request.Spec.Reclaimable ? Resources{} : Request.Spec.Declared;
  }
  Resources missingHeld(const VmState &At) const {
    return shortage(Held, At.freeHeld());
  }
  Resources missingFirm(const VmState &At) const {
    return shortage(firm(), At.Capacity - At.Firm);
  }
  bool fits(const VmState &At) const {
    return isNothing(missingHeld(At)) && isNothing(missingFirm(At));
  }
};

Resources Placer::heldSize(const TaskSpec &Spec, PlacementReason &Why) const {
  if (!Spec.Reclaimable)
    return Spec.Declared;

  auto Learned = Usage.estimate(Spec.Kind, Spec.Declared);
  Why.Observations = Learned.Observations;
  return Learned.Size;
}

Dimension Placer::scarceDimension(const Resources &Held,
                                  const FleetView &Fleet) {
  Resources Free = Fleet.openCapacity() - Fleet.openHeld();
  Dimension Scarcest = Dimension::Cpu;
  double Highest = -1;
  for (std::size_t I = 0; I < DimensionCount; ++I) {
    auto Of = static_cast<Dimension>(I);
    std::int64_t Wanted = amount(Held, Of);
    // With nothing left the ratio is unbounded; a unit keeps it ordered.
    double Ratio = part(Wanted, std::max<std::int64_t>(amount(Free, Of), 1));
    if (Wanted > 0 && Ratio > Highest) {
      Highest = Ratio;
      Scarcest = Of;
    }
  }
  return Scarcest;
}

bool Placer::permitted(const PlacementRequest &Request, const FleetView &Fleet,
                       VmIndex Vm) const {
  bool FailedThere = std::find(Request.Avoid.begin(), Request.Avoid.end(),
                               Vm) != Request.Avoid.end();
  if (FailedThere)
    return false;

  return Request.Rules == nullptr ||
         permits(*Request.Rules, Request.Spec, Fleet, Vm);
}

bool Placer::leavesReserve(const Search &In, VmIndex Vm) const {
  if (In.Request.Spec.Class == TaskClass::Urgent)
    return true;

  const VmState &At = In.Fleet.vm(Vm);
  VmState After = At;
  After.Firm = After.Firm + In.firm();
  After.Held = After.Held + In.Held;
  std::int64_t Taken =
      In.Fleet.slotsIn(At.freeFirm()) - In.Fleet.slotsIn(After.freeFirm());
  if (Taken <= 0)
    return true;

  return In.Why.ReadySlots - Taken >= In.Why.ReservedSlots &&
         In.Fleet.readySlots(At.Domain) - Taken >=
             In.ReserveOf[At.Domain.index()];
}

double Placer::expectedExcess(const TaskSpec &Spec, const FleetView &Fleet,
                              VmIndex Vm, TimePoint Now) const {
  if (Noise == nullptr)
    return 0;

  bool Service = Spec.Class != TaskClass::Batch;
  double Sum = 0;
  double Worst = 0;
  Fleet.eachTask(Vm, [&](TaskIndex, const TaskState &Neighbour) {
    bool ServiceBeside = Neighbour.Class != TaskClass::Batch;
    if (Service && !ServiceBeside)
      Sum += Noise->worstExcess(Spec.Kind, Neighbour.Kind, Now);
    if (!Service && ServiceBeside)
      Worst =
          std::max(Worst, Noise->worstExcess(Neighbour.Kind, Spec.Kind, Now));
  });
  return Service ? Sum : Worst;
}

double Placer::spreadPenalty(const TaskSpec &Spec, const FleetView &Fleet,
                             VmIndex Vm) const {
  if (!Spec.Group.valid())
    return 0;

  const VmState &At = Fleet.vm(Vm);
  return Config.VmSpread * Fleet.groupOn(Spec.Group, Vm) +
         Config.RackSpread * Fleet.groupIn(Spec.Group, At.Rack) +
         Config.DomainSpread * Fleet.groupIn(Spec.Group, At.Domain);
}

void Placer::compareFitting(Search &In, VmIndex Vm) {
  const VmState &At = In.Fleet.vm(Vm);
  ++In.Why.Examined;
  if (!In.fits(At)) {
    ++In.Why.RejectedBySize;
    return;
  }
  if (!permitted(In.Request, In.Fleet, Vm)) {
    ++In.Why.RejectedByRules;
    return;
  }
  if (!leavesReserve(In, Vm)) {
    ++In.Why.RejectedByReserve;
    return;
  }
  const TaskSpec &Spec = In.Request.Spec;
  double Excess = expectedExcess(Spec, In.Fleet, Vm, In.Now);
  if (Spec.Class == TaskClass::Batch && Excess > Config.MaxExcess) {
    ++In.Why.RejectedByInterference;
    return;
  }

  ++In.Why.Compared;
  Resources Free = Spec.Reclaimable ? At.freeHeld() : At.freeFirm();
  double Leftover = part(amount(Free - In.Held, In.Why.Scarce),
                         amount(At.Capacity, In.Why.Scarce));
  double Spread = spreadPenalty(Spec, In.Fleet, Vm);
  double Score = Leftover + Spread + Config.InterferenceWeight * Excess;
  if (Score >= In.BestScore)
    return;

  In.BestScore = Score;
  In.Best = {Vm, In.Held, {}};
  In.Why.Leftover = Leftover;
  In.Why.Spread = Spread;
  In.Why.PredictedExcess = Excess;
  In.Why.FreeBefore = Free;
}

PlacementDecision Placer::place(const PlacementRequest &Request,
                                const FleetView &Fleet, TimePoint Now) {
  Search In{Request, Fleet, Now, {}, {}, {}, {}, {}};
  In.BestScore = std::numeric_limits<double>::infinity();
  In.Held = heldSize(Request.Spec, In.Why);
  In.Why.Declared = Request.Spec.Declared;
  In.Why.Held = In.Held;
  In.Why.Scarce = scarceDimension(In.Held, Fleet);
  if (Request.Spec.Class == TaskClass::Urgent)
    Reserve.onArrival(Now);
  Reserve.advance(Now);
  std::int64_t Total = 0;
  for (std::size_t I = 0; I < Fleet.domainCount(); ++I) {
    Total += Fleet.totalSlots(DomainIndex(I));
    In.Why.ReadySlots += Fleet.readySlots(DomainIndex(I));
  }
  In.Why.ReservedSlots = Reserve.slots(Total);
  for (std::size_t I = 0; I < Fleet.domainCount(); ++I)
    In.ReserveOf.push_back(In.Why.ReservedSlots *
                           Fleet.totalSlots(DomainIndex(I)) /
                           std::max<std::int64_t>(Total, 1));

  ++Turn;
  const BucketIndex &Index = Request.Spec.Reclaimable
                                 ? Fleet.byFreeHeld(In.Why.Scarce)
                                 : Fleet.byFreeFirm(In.Why.Scarce);
  Index.ascend(FleetView::levelOf(In.Held, In.Why.Scarce), Turn,
               [&](VmIndex Vm) {
                 compareFitting(In, Vm);
                 return In.Why.Compared < Config.MaxCompared;
               });
  if (In.Best.Vm.valid()) {
    In.Best.Why = In.Why;
    return In.Best;
  }

  return placeByEviction(In);
}

bool Placer::mayEvict(const Search &In, const TaskState &Of) const {
  if (!Of.evictable())
    return false;

  switch (In.Request.MayEvict) {
  case EvictionScope::None:
    return false;
  case EvictionScope::Reclaimable:
    return Of.Reclaimable;
  case EvictionScope::Batch:
    return true;
  case EvictionScope::Borrowed:
    return Quota != nullptr && Of.Team != In.Request.Spec.Team &&
           Quota->mayReclaim(Of.Team, {});
  }
  return false;
}

bool Placer::inReturnableDebt(const Search &In, const TaskState &Of,
                              std::span<const Reclaim> Chosen) const {
  if (In.Request.MayEvict != EvictionScope::Borrowed)
    return true;

  Resources Taken;
  for (const Reclaim &Each : Chosen)
    if (In.Fleet.task(Each.Task).Team == Of.Team)
      Taken = Taken + In.Fleet.task(Each.Task).Held.unpacked();
  return Quota->mayReclaim(Of.Team, Taken);
}

std::vector<Reclaim> Placer::throttles(const Search &In, VmIndex Vm) const {
  const VmState &At = In.Fleet.vm(Vm);
  Resources Missing = In.missingHeld(At);
  bool OnlyCpu = Missing.Memory.value() == 0 &&
                 Missing.Accelerator.value() == 0 &&
                 isNothing(In.missingFirm(At));
  // A throttled borrower would keep its share, so only eviction returns it.
  bool MayThrottle = In.Request.MayEvict == EvictionScope::Reclaimable ||
                     In.Request.MayEvict == EvictionScope::Batch;
  if (!OnlyCpu || !MayThrottle)
    return {};

  std::vector<Reclaim> Chosen;
  std::int64_t Left = Missing.Cpu.value();
  In.Fleet.eachTask(Vm, [&](TaskIndex Task, const TaskState &Of) {
    if (Left <= 0 || !Of.Reclaimable)
      return;
    Resources Kept = Of.Held.unpacked();
    auto Floor = static_cast<std::int64_t>(
        static_cast<double>(Of.Declared.Cpu) * Config.ThrottledShare);
    std::int64_t Taken = std::min(Kept.Cpu.value() - Floor, Left);
    if (Taken <= 0)
      return;
    Left -= Taken;
    Kept.Cpu -= MilliCores(Taken);
    Chosen.push_back({Task, ReclaimStep::Throttle, Kept, 0});
  });

  return Left <= 0 ? Chosen : std::vector<Reclaim>{};
}

std::vector<Reclaim> Placer::victims(const Search &In, VmIndex Vm) const {
  std::vector<Reclaim> Candidates;
  In.Fleet.eachTask(Vm, [&](TaskIndex Task, const TaskState &Of) {
    if (mayEvict(In, Of))
      Candidates.push_back(
          {Task, ReclaimStep::Evict, {}, In.Fleet.lostWork(Task, In.Now)});
  });
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [&](const Reclaim &A, const Reclaim &B) {
                     bool ReclaimableA = In.Fleet.task(A.Task).Reclaimable;
                     bool ReclaimableB = In.Fleet.task(B.Task).Reclaimable;
                     if (ReclaimableA != ReclaimableB)
                       return ReclaimableA;
                     return A.LostWork < B.LostWork;
                   });

  const VmState &At = In.Fleet.vm(Vm);
  Freed Sum;
  auto Enough = [&](const Freed &Of) {
    return In.Held.fitsIn(At.freeHeld() + Of.Held) &&
           In.firm().fitsIn(At.Capacity - At.Firm + Of.Firm);
  };
  std::vector<Reclaim> Chosen;
  for (const Reclaim &Each : Candidates) {
    if (Enough(Sum))
      break;
    const TaskState &Of = In.Fleet.task(Each.Task);
    if (!inReturnableDebt(In, Of, Chosen))
      continue;
    Freed More = freedBy(Of, Each);
    Sum = {Sum.Firm + More.Firm, Sum.Held + More.Held};
    Chosen.push_back(Each);
  }
  if (!Enough(Sum))
    return {};

  // A small early victim may be made superfluous by a larger later one.
  for (std::size_t I = Chosen.size(); I-- > 0;) {
    Freed Less = freedBy(In.Fleet.task(Chosen[I].Task), Chosen[I]);
    Freed Without{Sum.Firm - Less.Firm, Sum.Held - Less.Held};
    if (!Enough(Without))
      continue;
    Sum = Without;
    Chosen.erase(Chosen.begin() + static_cast<std::ptrdiff_t>(I));
  }
  return Chosen;
}

PlacementDecision Placer::placeByEviction(Search &In) {
  NoRoomCause Cause = NoRoomCause::Size;
  if (In.Why.RejectedByInterference > 0)
    Cause = NoRoomCause::Interference;
  else if (In.Why.RejectedByReserve > 0)
    Cause = NoRoomCause::Reserve;
  else if (In.Why.RejectedByRules > 0)
    Cause = NoRoomCause::Rules;
  if (In.Request.MayEvict == EvictionScope::None)
    return NoRoom{Cause, In.Why};

  PlacementAfterEviction Cheapest;
  double LeastCost = std::numeric_limits<double>::infinity();
  std::uint32_t Compared = 0;
  auto Consider = [&](VmIndex Vm) {
    const VmState &At = In.Fleet.vm(Vm);
    ++In.Why.Examined;
    bool Possible = In.Held.fitsIn(At.potential()) &&
                    In.firm().fitsIn(At.Capacity - At.Firm + At.EvictableFirm);
    if (!Possible || !permitted(In.Request, In.Fleet, Vm))
      return true;
    auto Reclaims = throttles(In, Vm);
    if (Reclaims.empty())
      Reclaims = victims(In, Vm);
    if (Reclaims.empty())
      return true;
    double Cost = 0;
    double Lost = 0;
    for (const Reclaim &Each : Reclaims) {
      Cost += Each.LostWork + (Each.Do == ReclaimStep::Evict ? 1 : 0);
      Lost += Each.LostWork;
    }
    if (Cost < LeastCost) {
      LeastCost = Cost;
      Cheapest = {Vm, In.Held, std::move(Reclaims), {}};
      In.Why.LostWork = Lost;
      In.Why.FreeBefore = At.freeFirm();
    }
    return ++Compared < Config.MaxEvictionsCompared;
  };
  In.Fleet.byPotential().descend(FleetView::levelOf(In.Held, Dimension::Cpu),
                                 Turn, Consider);
  if (!Cheapest.Vm.valid())
    return NoRoom{Cause, In.Why};

  In.Why.Compared += Compared;
  Cheapest.Why = In.Why;
  return Cheapest;
}

std::vector<Reclaim> Placer::reclaim(VmIndex Vm, const Resources &Needed,
                                     const FleetView &Fleet,
                                     TimePoint Now) const {
  PlacementRequest Request;
  Request.Spec.Reclaimable = true;
  Request.MayEvict = EvictionScope::Reclaimable;
  Search In{Request, Fleet, Now, Needed, {}, {}, {}, {}};
  if (In.fits(Fleet.vm(Vm)))
    return {};

  auto Throttled = throttles(In, Vm);
  return Throttled.empty() ? victims(In, Vm) : Throttled;
}

} // namespace daisyspool::placement
