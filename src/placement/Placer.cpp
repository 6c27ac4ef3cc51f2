#include "daisyspool/placement/Placer.h"

#include <algorithm>
#include <limits>

namespace daisyspool::placement {

namespace {

double fraction(std::int64_t Amount, std::int64_t Whole) {
  return Whole <= 0 ? 0
                    : static_cast<double>(Amount) / static_cast<double>(Whole);
}

/// The amount by which \p Wanted exceeds \p Free in each dimension, at least
/// zero.
Resources shortage(const Resources &Wanted, const Resources &Free) {
  auto Beyond = [](auto A, auto B) { return A > B ? A - B : decltype(A)(0); };
  return {Beyond(Wanted.Cpu, Free.Cpu), Beyond(Wanted.Memory, Free.Memory),
          Beyond(Wanted.Accelerator, Free.Accelerator)};
}

bool isZero(const Resources &Amount) { return Amount == Resources{}; }

/// The amounts that a reclaim frees in the two sums of its VM.
struct Freed {
  Resources Firm;
  Resources Held;
};

Freed freedBy(const TaskState &State, const Reclaim &Step) {
  bool Evicted = Step.Do == ReclaimStep::Evict;
  Resources Firm =
      Evicted && !State.Reclaimable ? State.Declared.unpacked() : Resources{};
  return {Firm, State.Held.unpacked() - Step.Held};
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
  std::vector<std::int64_t> ReservedByDomain;
  double BestScore = std::numeric_limits<double>::infinity();
  Placement Best;
  double LeastCost = std::numeric_limits<double>::infinity();
  PlacementAfterEviction Cheapest;
  std::uint32_t ReclaimsCompared = 0;

  /// The guaranteed demand: the declared size of a task that is not
  /// reclaimable.
  Resources firm() const {
    return Request.Spec.Reclaimable ? Resources{} : Request.Spec.Declared;
  }
  Resources missingHeld(const VmState &Host) const {
    return shortage(Held, Host.freeHeld());
  }
  Resources missingFirm(const VmState &Host) const {
    return shortage(firm(), Host.Capacity - Host.Firm);
  }
  bool fits(const VmState &Host) const {
    return isZero(missingHeld(Host)) && isZero(missingFirm(Host));
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
  for (Dimension Dim : Dimensions) {
    std::int64_t Wanted = amount(Held, Dim);
    // A minimum of one unit keeps the ratio finite when nothing is free.
    double Ratio =
        fraction(Wanted, std::max<std::int64_t>(amount(Free, Dim), 1));
    if (Wanted > 0 && Ratio > Highest) {
      Highest = Ratio;
      Scarcest = Dim;
    }
  }
  return Scarcest;
}

bool Placer::isPermitted(const PlacementRequest &Request,
                         const FleetView &Fleet, VmIndex Vm) const {
  bool FailedThere = std::find(Request.Avoid.begin(), Request.Avoid.end(),
                               Vm) != Request.Avoid.end();
  if (FailedThere)
    return false;

  return Request.Rules == nullptr ||
         permits(*Request.Rules, Request.Spec, Fleet, Vm);
}

/// Whether the urgent reserve stays free if \p Firm and \p Held are added to
/// \p Vm.
bool Placer::leavesReserve(const Search &Context, VmIndex Vm,
                           const Resources &Firm, const Resources &Held) const {
  if (Context.Request.Spec.Class == TaskClass::Urgent)
    return true;

  const VmState &Host = Context.Fleet.vm(Vm);
  VmState After = Host;
  After.Firm = After.Firm + Firm;
  After.Held = After.Held + Held;
  std::int64_t Taken = Context.Fleet.slotsIn(Host.freeFirm()) -
                       Context.Fleet.slotsIn(After.freeFirm());
  if (Taken <= 0)
    return true;

  return Context.Why.ReadySlots - Taken >= Context.Why.ReservedSlots &&
         Context.Fleet.readySlots(Host.Domain) - Taken >=
             Context.ReservedByDomain[Host.Domain.index()];
}

Resources Placer::throttled(Resources Held) const {
  Held.Cpu = MilliCores(static_cast<std::int64_t>(
      static_cast<double>(Held.Cpu.value()) * Config.ThrottledShare));
  return Held;
}

/// Expected slowdown beyond 1 that the batch tasks on \p Vm cause to a service
/// of kind \p Service.
double Placer::presentExcess(KindIndex Service, const Search &Context,
                             VmIndex Vm) const {
  double Sum = 0;
  Context.Fleet.eachTask(Vm, [&](TaskIndex, const TaskState &Neighbour) {
    if (Neighbour.Class != TaskClass::Batch)
      return;
    double Excess =
        Interference->worstExcess(Service, Neighbour.Kind, Context.Now);
    if (Excess < Config.MinExcess)
      return;
    std::int64_t Full = expectedHold(Neighbour).Cpu.value();
    Sum += Excess * std::min(1.0, fraction(Neighbour.Held.Cpu, Full));
  });
  return Sum;
}

double Placer::excessForService(const Search &Context, VmIndex Vm) const {
  return Interference == nullptr
             ? 0
             : presentExcess(Context.Request.Spec.Kind, Context, Vm);
}

/// Whether the interference of a batch task with the services of \p Vm would be
/// acceptable. Sets \p Excess to the largest slowdown that the task itself is
/// expected to add.
Placer::InterferenceLevel Placer::interferenceLevel(const Search &Context,
                                                    VmIndex Vm,
                                                    double &Excess) const {
  if (Interference == nullptr)
    return InterferenceLevel::Acceptable;

  auto Worst = InterferenceLevel::Acceptable;
  Context.Fleet.eachTask(Vm, [&](TaskIndex, const TaskState &Service) {
    if (Service.Class == TaskClass::Batch)
      return;
    double Own = Interference->worstExcess(
        Service.Kind, Context.Request.Spec.Kind, Context.Now);
    if (Own < Config.MinExcess)
      return;
    Excess = std::max(Excess, Own);
    double Present = presentExcess(Service.Kind, Context, Vm);
    if (Present + Own <= Config.MaxExcess)
      return;
    bool Throttled = Context.Request.Spec.Reclaimable &&
                     Present + Own * Config.ThrottledShare <= Config.MaxExcess;
    Worst = std::max(Worst, Throttled ? InterferenceLevel::AcceptableIfThrottled
                                      : InterferenceLevel::Excessive);
  });
  return Worst;
}

double Placer::spreadPenalty(const TaskSpec &Spec, const FleetView &Fleet,
                             VmIndex Vm) const {
  if (!Spec.Group.valid())
    return 0;

  const VmState &Host = Fleet.vm(Vm);
  return Config.VmSpread * Fleet.groupOn(Spec.Group, Vm) +
         Config.RackSpread * Fleet.groupIn(Spec.Group, Host.Rack) +
         Config.DomainSpread * Fleet.groupIn(Spec.Group, Host.Domain);
}

void Placer::evaluateCandidate(Search &Context, VmIndex Vm) {
  const VmState &Host = Context.Fleet.vm(Vm);
  ++Context.Why.Examined;
  if (!Context.fits(Host)) {
    ++Context.Why.RejectedBySize;
    return;
  }
  if (!isPermitted(Context.Request, Context.Fleet, Vm)) {
    ++Context.Why.RejectedByRules;
    return;
  }
  if (!leavesReserve(Context, Vm, Context.firm(), Context.Held)) {
    ++Context.Why.RejectedByReserve;
    return;
  }
  const TaskSpec &Spec = Context.Request.Spec;
  double Excess = 0;
  auto Level = InterferenceLevel::Acceptable;
  if (Spec.Class == TaskClass::Batch)
    Level = interferenceLevel(Context, Vm, Excess);
  else
    Excess = excessForService(Context, Vm);
  if (Level == InterferenceLevel::Excessive) {
    ++Context.Why.RejectedByInterference;
    return;
  }

  ++Context.Why.Compared;
  bool Throttled = Level == InterferenceLevel::AcceptableIfThrottled;
  Resources Free = Spec.Reclaimable ? Host.freeHeld() : Host.freeFirm();
  double Leftover = fraction(amount(Free - Context.Held, Context.Why.Scarce),
                             amount(Host.Capacity, Context.Why.Scarce));
  double Spread = spreadPenalty(Spec, Context.Fleet, Vm);
  // Ranks a throttled start below every start at full speed.
  constexpr double ThrottledPenalty = 10;
  double Score = Leftover + Spread + Config.InterferenceWeight * Excess +
                 (Throttled ? ThrottledPenalty : 0);
  if (Score >= Context.BestScore)
    return;

  Context.BestScore = Score;
  Context.Best = {
      Vm, Throttled ? throttled(Context.Held) : Context.Held, Throttled, {}};
  Context.Why.Leftover = Leftover;
  Context.Why.Spread = Spread;
  Context.Why.PredictedExcess = Excess;
  Context.Why.FreeBefore = Free;
}

PlacementDecision Placer::place(const PlacementRequest &Request,
                                const FleetView &Fleet, TimePoint Now) {
  Search Context(Request, Fleet, Now);
  Context.Held = heldSize(Request.Spec, Context.Why);
  Context.Why.Declared = Request.Spec.Declared;
  Context.Why.Held = Context.Held;
  Context.Why.Scarce = scarceDimension(Context.Held, Fleet);
  if (Request.Spec.Class == TaskClass::Urgent)
    Reserve.onArrival(Now);
  Reserve.advance(Now);
  std::int64_t Total = 0;
  for (std::size_t I = 0; I < Fleet.domainCount(); ++I) {
    Total += Fleet.totalSlots(DomainIndex(I));
    Context.Why.ReadySlots += Fleet.readySlots(DomainIndex(I));
  }
  Context.Why.ReservedSlots = Reserve.slots(Total);
  for (std::size_t I = 0; I < Fleet.domainCount(); ++I)
    Context.ReservedByDomain.push_back(Context.Why.ReservedSlots *
                                       Fleet.totalSlots(DomainIndex(I)) /
                                       std::max<std::int64_t>(Total, 1));

  ++Rotation;
  const BucketIndex &Index = Request.Spec.Reclaimable
                                 ? Fleet.byFreeHeld(Context.Why.Scarce)
                                 : Fleet.byFreeFirm(Context.Why.Scarce);
  Index.ascend(FleetView::levelOf(Context.Held, Context.Why.Scarce), Rotation,
               [&](VmIndex Vm) {
                 evaluateCandidate(Context, Vm);
                 return Context.Why.Compared < Config.MaxCompared;
               });
  if (Context.Best.Vm.valid()) {
    Context.Best.Why = Context.Why;
    return Context.Best;
  }

  return placeByEviction(Context);
}

bool Placer::mayEvict(const Search &Context, const TaskState &State) const {
  if (!State.evictable())
    return false;

  switch (Context.Request.MayEvict) {
  case EvictionScope::None:
    return false;
  case EvictionScope::Reclaimable:
    return State.Reclaimable;
  case EvictionScope::Batch:
    return true;
  case EvictionScope::Borrowed:
    return Quota != nullptr && State.Team != Context.Request.Spec.Team &&
           Quota->mayReclaim(State.Team, {});
  }
  return false;
}

bool Placer::quotaAllowsEviction(const Search &Context, const TaskState &State,
                                 std::span<const Reclaim> Chosen) const {
  if (Context.Request.MayEvict != EvictionScope::Borrowed)
    return true;

  Resources Taken;
  for (const Reclaim &Each : Chosen)
    if (Context.Fleet.task(Each.Task).Team == State.Team)
      Taken = Taken + Context.Fleet.task(Each.Task).Held.unpacked();
  return Quota->mayReclaim(State.Team, Taken);
}

std::vector<Reclaim> Placer::selectThrottles(const Search &Context,
                                             VmIndex Vm) const {
  const VmState &Host = Context.Fleet.vm(Vm);
  Resources Missing = Context.missingHeld(Host);
  bool OnlyCpu = Missing.Memory.value() == 0 &&
                 Missing.Accelerator.value() == 0 &&
                 isZero(Context.missingFirm(Host));
  // Throttling does not return a borrowed quota share; only eviction does.
  bool MayThrottle = Context.Request.MayEvict == EvictionScope::Reclaimable ||
                     Context.Request.MayEvict == EvictionScope::Batch;
  if (!OnlyCpu || !MayThrottle)
    return {};

  std::vector<Reclaim> Chosen;
  std::int64_t Left = Missing.Cpu.value();
  Context.Fleet.eachTask(Vm, [&](TaskIndex Task, const TaskState &State) {
    if (Left <= 0 || !State.Reclaimable)
      return;
    Resources Kept = State.Held.unpacked();
    auto Floor = static_cast<std::int64_t>(
        static_cast<double>(State.Declared.Cpu) * Config.ThrottledShare);
    std::int64_t Taken = std::min(Kept.Cpu.value() - Floor, Left);
    if (Taken <= 0)
      return;
    Left -= Taken;
    Kept.Cpu -= MilliCores(Taken);
    Chosen.push_back({Task, ReclaimStep::Throttle, Kept, 0});
  });

  return Left <= 0 ? Chosen : std::vector<Reclaim>{};
}

std::vector<Reclaim> Placer::selectVictims(const Search &Context,
                                           VmIndex Vm) const {
  std::vector<Reclaim> Candidates;
  Context.Fleet.eachTask(Vm, [&](TaskIndex Task, const TaskState &State) {
    if (mayEvict(Context, State))
      Candidates.push_back({Task,
                            ReclaimStep::Evict,
                            {},
                            Context.Fleet.lostWork(Task, Context.Now)});
  });
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [&](const Reclaim &A, const Reclaim &B) {
                     bool ReclaimableA = Context.Fleet.task(A.Task).Reclaimable;
                     bool ReclaimableB = Context.Fleet.task(B.Task).Reclaimable;
                     if (ReclaimableA != ReclaimableB)
                       return ReclaimableA;
                     return A.LostWork < B.LostWork;
                   });

  const VmState &Host = Context.Fleet.vm(Vm);
  Freed Sum;
  auto Enough = [&](const Freed &Extra) {
    return Context.Held.fitsIn(Host.freeHeld() + Extra.Held) &&
           Context.firm().fitsIn(Host.Capacity - Host.Firm + Extra.Firm);
  };
  std::vector<Reclaim> Chosen;
  for (const Reclaim &Each : Candidates) {
    if (Enough(Sum))
      break;
    const TaskState &State = Context.Fleet.task(Each.Task);
    if (!quotaAllowsEviction(Context, State, Chosen))
      continue;
    Freed More = freedBy(State, Each);
    Sum = {Sum.Firm + More.Firm, Sum.Held + More.Held};
    Chosen.push_back(Each);
  }
  if (!Enough(Sum))
    return {};

  // Drops victims that a larger victim chosen later makes unnecessary.
  for (std::size_t I = Chosen.size(); I-- > 0;) {
    Freed Less = freedBy(Context.Fleet.task(Chosen[I].Task), Chosen[I]);
    Freed Without{Sum.Firm - Less.Firm, Sum.Held - Less.Held};
    if (!Enough(Without))
      continue;
    Sum = Without;
    Chosen.erase(Chosen.begin() + static_cast<std::ptrdiff_t>(I));
  }
  return Chosen;
}

PlacementDecision Placer::placeByEviction(Search &Context) {
  NoRoomCause Cause = NoRoomCause::Size;
  if (Context.Why.RejectedByInterference > 0)
    Cause = NoRoomCause::Interference;
  else if (Context.Why.RejectedByReserve > 0)
    Cause = NoRoomCause::Reserve;
  else if (Context.Why.RejectedByRules > 0)
    Cause = NoRoomCause::Rules;
  if (Context.Request.MayEvict == EvictionScope::None)
    return NoRoom{Cause, Context.Why};

  Context.Fleet.byPotential().descend(
      FleetView::levelOf(Context.Held, Dimension::Cpu), Rotation,
      [&](VmIndex Vm) {
        evaluateReclaims(Context, Vm);
        return Context.ReclaimsCompared < Config.MaxEvictionsCompared;
      });
  if (!Context.Cheapest.Vm.valid())
    return NoRoom{Cause, Context.Why};

  Context.Why.Compared += Context.ReclaimsCompared;
  Context.Cheapest.Why = Context.Why;
  return Context.Cheapest;
}

void Placer::evaluateReclaims(Search &Context, VmIndex Vm) {
  const VmState &Host = Context.Fleet.vm(Vm);
  ++Context.Why.Examined;
  bool Possible =
      Context.Held.fitsIn(Host.potential()) &&
      Context.firm().fitsIn(Host.Capacity - Host.Firm + Host.EvictableFirm);
  if (!Possible || !isPermitted(Context.Request, Context.Fleet, Vm))
    return;
  auto Level = InterferenceLevel::Acceptable;
  double Excess = 0;
  if (Context.Request.Spec.Class == TaskClass::Batch)
    Level = interferenceLevel(Context, Vm, Excess);
  if (Level == InterferenceLevel::Excessive)
    return;

  auto Reclaims = selectThrottles(Context, Vm);
  if (Reclaims.empty())
    Reclaims = selectVictims(Context, Vm);
  if (Reclaims.empty())
    return;
  double Cost = 0;
  double Lost = 0;
  Freed Sum;
  for (const Reclaim &Each : Reclaims) {
    Cost += Each.LostWork + (Each.Do == ReclaimStep::Evict ? 1 : 0);
    Lost += Each.LostWork;
    Freed More = freedBy(Context.Fleet.task(Each.Task), Each);
    Sum = {Sum.Firm + More.Firm, Sum.Held + More.Held};
  }
  if (!leavesReserve(Context, Vm, Context.firm() - Sum.Firm,
                     Context.Held - Sum.Held))
    return;

  ++Context.ReclaimsCompared;
  if (Cost >= Context.LeastCost)
    return;
  bool Throttled = Level == InterferenceLevel::AcceptableIfThrottled;
  Context.LeastCost = Cost;
  Context.Cheapest = {Vm,
                      Throttled ? throttled(Context.Held) : Context.Held,
                      Throttled,
                      std::move(Reclaims),
                      {}};
  Context.Why.PredictedExcess = Excess;
  Context.Why.LostWork = Lost;
  Context.Why.FreeBefore = Host.freeFirm();
}

Resources Placer::holdFor(const TaskSpec &Spec) const {
  PlacementReason Unused;
  return heldSize(Spec, Unused);
}

Resources Placer::expectedHold(const TaskState &State) const {
  Resources Declared = State.Declared.unpacked();
  auto Learned = Usage.estimate(State.Kind, Declared);
  if (State.Reclaimable)
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
  Search Context(Request, Fleet, Now);
  Context.Held = Needed;
  if (Context.fits(Fleet.vm(Vm)))
    return {};

  auto Throttled = selectThrottles(Context, Vm);
  return Throttled.empty() ? selectVictims(Context, Vm) : Throttled;
}

} // namespace daisyspool::placement
