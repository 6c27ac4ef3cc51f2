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
  Search(const PlacementRequest &Request, const FleetView &Fleet, TimePoint Now)
      : Request(Request), Fleet(Fleet), Now(Now) {}

  const PlacementRequest &Request;
  const FleetView &Fleet;
  TimePoint Now;
  Resources Held;
  PlacementReason Why;
  std::vector<std::int64_t> ReserveOf;
  double BestScore = std::numeric_limits<double>::infinity();
  Placement Best;
  double LeastCost = std::numeric_limits<double>::infinity();
  PlacementAfterEviction Cheapest;
  std::uint32_t ReclaimsCompared = 0;

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

/// Whether adding \p Firm and \p Held to \p Vm leaves the urgent reserve.
bool Placer::leavesReserve(const Search &In, VmIndex Vm, const Resources &Firm,
                           const Resources &Held) const {
  if (In.Request.Spec.Class == TaskClass::Urgent)
    return true;

  const VmState &At = In.Fleet.vm(Vm);
  VmState After = At;
  After.Firm = After.Firm + Firm;
  After.Held = After.Held + Held;
  std::int64_t Taken =
      In.Fleet.slotsIn(At.freeFirm()) - In.Fleet.slotsIn(After.freeFirm());
  if (Taken <= 0)
    return true;

  return In.Why.ReadySlots - Taken >= In.Why.ReservedSlots &&
         In.Fleet.readySlots(At.Domain) - Taken >=
             In.ReserveOf[At.Domain.index()];
}

Resources Placer::throttled(Resources Held) const {
  Held.Cpu = MilliCores(static_cast<std::int64_t>(
      static_cast<double>(Held.Cpu.value()) * Config.ThrottledShare));
  return Held;
}

/// What the batch on \p Vm is expected to slow a service of kind \p Service.
double Placer::presentExcess(KindIndex Service, const Search &In,
                             VmIndex Vm) const {
  double Sum = 0;
  In.Fleet.eachTask(Vm, [&](TaskIndex, const TaskState &Neighbour) {
    if (Neighbour.Class != TaskClass::Batch)
      return;
    double Excess = Noise->worstExcess(Service, Neighbour.Kind, In.Now);
    if (Excess < Config.MinExcess)
      return;
    std::int64_t Full = expectedHold(Neighbour).Cpu.value();
    Sum += Excess * std::min(1.0, part(Neighbour.Held.Cpu, Full));
  });
  return Sum;
}

double Placer::excessOfService(const Search &In, VmIndex Vm) const {
  return Noise == nullptr ? 0 : presentExcess(In.Request.Spec.Kind, In, Vm);
}

/// How batch would affect the services of \p Vm; \p Excess is the largest
/// slowdown that the task itself is expected to add.
Placer::Noisiness Placer::noisiness(const Search &In, VmIndex Vm,
                                    double &Excess) const {
  if (Noise == nullptr)
    return Noisiness::Quiet;

  auto Worst = Noisiness::Quiet;
  In.Fleet.eachTask(Vm, [&](TaskIndex, const TaskState &Service) {
    if (Service.Class == TaskClass::Batch)
      return;
    double Own = Noise->worstExcess(Service.Kind, In.Request.Spec.Kind, In.Now);
    if (Own < Config.MinExcess)
      return;
    Excess = std::max(Excess, Own);
    double Present = presentExcess(Service.Kind, In, Vm);
    if (Present + Own <= Config.MaxExcess)
      return;
    bool Throttled = In.Request.Spec.Reclaimable &&
                     Present + Own * Config.ThrottledShare <= Config.MaxExcess;
    Worst = std::max(Worst,
                     Throttled ? Noisiness::QuietIfThrottled : Noisiness::Loud);
  });
  return Worst;
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
  if (!leavesReserve(In, Vm, In.firm(), In.Held)) {
    ++In.Why.RejectedByReserve;
    return;
  }
  const TaskSpec &Spec = In.Request.Spec;
  double Excess = 0;
  auto Noisy = Noisiness::Quiet;
  if (Spec.Class == TaskClass::Batch)
    Noisy = noisiness(In, Vm, Excess);
  else
    Excess = excessOfService(In, Vm);
  if (Noisy == Noisiness::Loud) {
    ++In.Why.RejectedByInterference;
    return;
  }

  ++In.Why.Compared;
  bool Throttled = Noisy == Noisiness::QuietIfThrottled;
  Resources Free = Spec.Reclaimable ? At.freeHeld() : At.freeFirm();
  double Leftover = part(amount(Free - In.Held, In.Why.Scarce),
                         amount(At.Capacity, In.Why.Scarce));
  double Spread = spreadPenalty(Spec, In.Fleet, Vm);
  // A throttled start is worse than any start at full speed.
  constexpr double ThrottledPenalty = 10;
  double Score = Leftover + Spread + Config.InterferenceWeight * Excess +
                 (Throttled ? ThrottledPenalty : 0);
  if (Score >= In.BestScore)
    return;

  In.BestScore = Score;
  In.Best = {Vm, Throttled ? throttled(In.Held) : In.Held, Throttled, {}};
  In.Why.Leftover = Leftover;
  In.Why.Spread = Spread;
  In.Why.PredictedExcess = Excess;
  In.Why.FreeBefore = Free;
}

PlacementDecision Placer::place(const PlacementRequest &Request,
                                const FleetView &Fleet, TimePoint Now) {
  Search In(Request, Fleet, Now);
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

  In.Fleet.byPotential().descend(
      FleetView::levelOf(In.Held, Dimension::Cpu), Turn, [&](VmIndex Vm) {
        compareReclaims(In, Vm);
        return In.ReclaimsCompared < Config.MaxEvictionsCompared;
      });
  if (!In.Cheapest.Vm.valid())
    return NoRoom{Cause, In.Why};

  In.Why.Compared += In.ReclaimsCompared;
  In.Cheapest.Why = In.Why;
  return In.Cheapest;
}

void Placer::compareReclaims(Search &In, VmIndex Vm) {
  const VmState &At = In.Fleet.vm(Vm);
  ++In.Why.Examined;
  bool Possible = In.Held.fitsIn(At.potential()) &&
                  In.firm().fitsIn(At.Capacity - At.Firm + At.EvictableFirm);
  if (!Possible || !permitted(In.Request, In.Fleet, Vm))
    return;
  auto Noisy = Noisiness::Quiet;
  double Excess = 0;
  if (In.Request.Spec.Class == TaskClass::Batch)
    Noisy = noisiness(In, Vm, Excess);
  if (Noisy == Noisiness::Loud)
    return;

  auto Reclaims = throttles(In, Vm);
  if (Reclaims.empty())
    Reclaims = victims(In, Vm);
  if (Reclaims.empty())
    return;
  double Cost = 0;
  double Lost = 0;
  Freed Sum;
  for (const Reclaim &Each : Reclaims) {
    Cost += Each.LostWork + (Each.Do == ReclaimStep::Evict ? 1 : 0);
    Lost += Each.LostWork;
    Freed More = freedBy(In.Fleet.task(Each.Task), Each);
    Sum = {Sum.Firm + More.Firm, Sum.Held + More.Held};
  }
  if (!leavesReserve(In, Vm, In.firm() - Sum.Firm, In.Held - Sum.Held))
    return;

  ++In.ReclaimsCompared;
  if (Cost >= In.LeastCost)
    return;
  bool Throttled = Noisy == Noisiness::QuietIfThrottled;
  In.LeastCost = Cost;
  In.Cheapest = {Vm,
                 Throttled ? throttled(In.Held) : In.Held,
                 Throttled,
                 std::move(Reclaims),
                 {}};
  In.Why.PredictedExcess = Excess;
  In.Why.LostWork = Lost;
  In.Why.FreeBefore = At.freeFirm();
}

Resources Placer::holdFor(const TaskSpec &Spec) const {
  PlacementReason Unused;
  return heldSize(Spec, Unused);
}

Resources Placer::expectedHold(const TaskState &Of) const {
  Resources Declared = Of.Declared.unpacked();
  auto Learned = Usage.estimate(Of.Kind, Declared);
  if (Of.Reclaimable)
    return Learned.Size;

  return {std::min(Learned.Size.Cpu, Declared.Cpu), Declared.Memory,
          Declared.Accelerator};
}

std::vector<Reclaim> Placer::reclaim(VmIndex Vm, const Resources &Needed,
                                     const FleetView &Fleet,
                                     TimePoint Now) const {
  PlacementRequest Request;
  Request.Spec.Reclaimable = true;
  Request.MayEvict = EvictionScope::Reclaimable;
  Search In(Request, Fleet, Now);
  In.Held = Needed;
  if (In.fits(Fleet.vm(Vm)))
    return {};

  auto Throttled = throttles(In, Vm);
  return Throttled.empty() ? victims(In, Vm) : Throttled;
}

} // namespace daisyspool::placement
