#include "daisyspool/admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace daisyspool {

namespace {

// Charge of a request that holds only a connection. It is the same for all,
// since the length of a session is not known in advance.
constexpr Duration ConnectionCharge = Millis(1);
// Maximum lag of a queue's virtual time behind the virtual clock, per unit of
// capacity. With a larger lag, a class that was blocked by a reservation would
// starve the others while it catches up.
constexpr Duration MaxCatchUp = Millis(50);
// Weight of a sample in the running mean after the first 256 samples.
constexpr double MinMeanWeight = 1.0 / 256;
// Number of samples after which the quantiles are read from the histogram
// again.
constexpr std::uint32_t SamplesPerQuantileUpdate = 32;
// Index of the queue that teams beyond MaxTeams share.
constexpr std::uint32_t SharedTeamIndex = 0;

std::size_t indexOf(WorkClass Class) { return static_cast<std::size_t>(Class); }

double nanos(Duration Time) { return static_cast<double>(Time.count()); }

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// Orders a heap so that the earliest deadline is at the front.
constexpr auto LaterDeadline = [](const auto &Left, const auto &Right) {
  return Left.Deadline > Right.Deadline;
};

std::string millis(Duration Time) {
  return std::to_string(std::chrono::duration_cast<Millis>(Time).count()) +
         "ms";
}

std::string explainInputs(const AdmissionInputs &Inputs) {
  return std::string(" class=") + toString(Inputs.Class) +
         " remaining=" + millis(Inputs.Remaining) +
         " estimated_wait=" + millis(Inputs.EstimatedWait) +
         " estimated_service=" + millis(Inputs.EstimatedService) +
         (Inputs.Sample ? " sample=true" : "") +
         " queued_in_team=" + std::to_string(Inputs.QueuedInTeam) +
         " queued_in_class=" + std::to_string(Inputs.QueuedInClass) +
         " running=" + std::to_string(Inputs.Running) +
         " capacity=" + std::to_string(Inputs.Capacity) +
         " reserved=" + std::to_string(Inputs.Reserved);
}

struct Explainer {
  std::string operator()(const Admitted &Decision) const {
    return "decision=admitted" + explainInputs(Decision.Inputs);
  }
  std::string operator()(const Queued &Decision) const {
    return "decision=queued" + explainInputs(Decision.Inputs);
  }
  std::string operator()(const Refused &Decision) const {
    return std::string("decision=refused reason=") + toString(Decision.Reason) +
           " execution=" + daisyspool::toString(Decision.Executed) +
           explainInputs(Decision.Inputs);
  }
};

} // namespace

const char *toString(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Late:
    return "late";
  case RefusalReason::LateInQueue:
    return "late-in-queue";
  case RefusalReason::ClassFull:
    return "class-full";
  case RefusalReason::Displaced:
    return "displaced";
  case RefusalReason::OverQuota:
    return "over-quota";
  case RefusalReason::NoCapacity:
    return "no-capacity";
  }
  return "unknown";
}

std::string explain(const AdmissionDecision &Decision) {
  return std::visit(Explainer{}, Decision);
}

AdmissionQueue::AdmissionQueue(AdmissionSettings Settings)
    : Settings(Settings), Quotas(1) {
  assert(Settings.MaxTeams >= 1);
  StatsByClass.reserve(WorkClassCount);
  for (const ClassPolicy &Policy : Settings.Classes) {
    assert(Policy.Share > 0);
    StatsByClass.push_back({DurationHistogram(Policy.InitialService),
                            Policy.InitialService,
                            Policy.InitialService,
                            Policy.InitialService,
                            {}});
  }
}

void AdmissionQueue::setQuota(const TeamId &Team, TeamQuota Quota) {
  assert(Quota.Weight > 0);
  Quotas[teamIndex(Team)] = Quota;
}

void AdmissionQueue::setCapacity(Occupancy Holds, std::uint32_t Capacity) {
  poolOf(Holds).Capacity = Capacity;
}

AdmissionDecision AdmissionQueue::offer(const Work &Request, TimePoint Now) {
  std::uint32_t TeamIndex = teamIndex(Request.Team);
  CapacityPool &Pool = poolOf(Request.Holds);
  ClassQueue &Queue = classQueueOf(Pool, Request.Class);
  TeamQueue &Team = teamQueueOf(Queue, TeamIndex);
  addDemand(Queue, Request.Class, Now);

  QueuedWork Item{Now + Request.Remaining, Request.Key, Request.Attempted};
  Duration Wait =
      estimateWait(Pool, Request.Class, Team, TeamIndex, Item.Deadline);
  AdmissionInputs Inputs = makeInputs(Pool, Request, Wait);
  Inputs.QueuedInTeam = static_cast<std::uint32_t>(Team.Heap.size());
  auto MakeRefusal = [&](RefusalReason Reason) {
    return Refused{Request.Key, Reason,
                   Request.Attempted ? Execution::Unknown : Execution::NotRun,
                   Inputs};
  };

  if (Pool.Capacity == 0)
    return MakeRefusal(RefusalReason::NoCapacity);

  const TeamQuota &Quota = Quotas[TeamIndex];
  bool StartsNow = Queue.Queued == 0 && Team.Running < Quota.MaxRunning &&
                   mayStart(Pool, Request.Holds, Request.Class);
  if (StartsNow && Request.Holds == Occupancy::Slot)
    Inputs.EstimatedService = serviceStats(Request.Class).IdleHighTotal;
  Duration Slack = Request.Remaining - Inputs.EstimatedService;
  Inputs.Sample =
      StartsNow && Slack < Duration::zero() &&
      Request.Remaining > Duration::zero() &&
      Now - serviceStats(Request.Class).StartedAt >= Settings.SampleInterval;
  if (Slack < Duration::zero() && !Inputs.Sample)
    return MakeRefusal(RefusalReason::Late);
  if (StartsNow)
    return Admitted{
        startWork(Pool, Item, Request.Class, Request.Holds, TeamIndex, Now),
        Inputs};

  if (nanos(Wait) > nanos(Slack) * Settings.WaitPart)
    return MakeRefusal(RefusalReason::Late);
  if (Team.Heap.size() >= Quota.MaxQueued)
    return MakeRefusal(RefusalReason::OverQuota);
  if (!makeRoom(Queue, Request.Class, TeamIndex))
    return MakeRefusal(RefusalReason::ClassFull);

  enqueue(Pool, Request.Class, TeamIndex, Item);
  return Queued{Inputs};
}

std::optional<Dispatch> AdmissionQueue::next(TimePoint Now, ClassSet Eligible) {
  if (auto Next = nextFromPool(Occupancy::ConnectionOnly, Now, Eligible))
    return Next;

  return nextFromPool(Occupancy::Slot, Now, Eligible);
}

void AdmissionQueue::restore(const Dispatch &Unsent, TimePoint Now) {
  CapacityPool &Pool = poolOf(Unsent.Holds);
  ClassQueue &Queue = classQueueOf(Pool, Unsent.Class);
  TeamQueue &Team = teamQueueOf(Queue, Unsent.TeamIndex);
  assert(Team.Running > 0 && Queue.Running > 0 && Pool.Running > 0);
  --Team.Running;
  --Queue.Running;
  --Pool.Running;

  double Charge = nanos(Unsent.Charged);
  Queue.VirtualTime -= Charge / Settings.Classes[indexOf(Unsent.Class)].Share;
  Team.VirtualTime -= Charge / Quotas[Unsent.TeamIndex].Weight;

  QueuedWork Item{Unsent.Deadline, Unsent.Key, Unsent.Attempted};
  if (!isFeasible(Item, Unsent.Class, Unsent.Holds, Now)) {
    addRefusal(Item, Unsent.Class, RefusalReason::LateInQueue,
               Unsent.Deadline - Now);
    return;
  }

  enqueue(Pool, Unsent.Class, Unsent.TeamIndex, Item);
}

void AdmissionQueue::onDone(const Dispatch &Ended, Duration Total,
                            Duration AtTarget, bool Succeeded) {
  CapacityPool &Pool = poolOf(Ended.Holds);
  ClassQueue &Queue = classQueueOf(Pool, Ended.Class);
  TeamQueue &Team = teamQueueOf(Queue, Ended.TeamIndex);
  assert(Team.Running > 0 && Queue.Running > 0 && Pool.Running > 0);
  --Team.Running;
  --Queue.Running;
  --Pool.Running;
  if (Ended.Holds == Occupancy::ConnectionOnly)
    return;

  double Correction = nanos(AtTarget - Ended.Charged);
  Queue.VirtualTime +=
      Correction / Settings.Classes[indexOf(Ended.Class)].Share;
  Team.VirtualTime += Correction / Quotas[Ended.TeamIndex].Weight;
  if (!Succeeded)
    return;

  ServiceStats &Stats = StatsByClass[indexOf(Ended.Class)];
  ++Stats.Samples;
  double Weight =
      std::max(MinMeanWeight, 1.0 / static_cast<double>(Stats.Samples));
  Stats.MeanAtTarget += Duration(static_cast<Duration::rep>(
      Weight * nanos(AtTarget - Stats.MeanAtTarget)));
  Stats.Totals.add(Total);
  if (Stats.Samples % SamplesPerQuantileUpdate == 0)
    updateQuantiles(Stats);
}

void AdmissionQueue::updateQuantiles(ServiceStats &Stats) const {
  Stats.HighTotal = Stats.Totals.quantile(Settings.ServiceQuantile);
  Stats.IdleHighTotal = Stats.Totals.quantile(Settings.IdleServiceQuantile);
}

void AdmissionQueue::dropLate(TimePoint Now) {
  for (ServiceStats &Stats : StatsByClass) {
    if (Now - Stats.DecayedAt < Settings.EstimateHalfLife)
      continue;
    Stats.DecayedAt = Now;
    Stats.Totals.decay();
    updateQuantiles(Stats);
  }

  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    auto Class = static_cast<WorkClass>(Index);
    for (std::size_t Kind = 0; Kind < OccupancyCount; ++Kind) {
      auto Holds = static_cast<Occupancy>(Kind);
      ClassQueue &Queue = Pools[Kind].ClassQueues[Index];
      decayDemand(Queue, Now);

      // Backwards, since refusing a team's last request moves the last active
      // team to its position.
      for (std::size_t Position = Queue.ActiveTeams.size(); Position-- > 0;) {
        std::uint32_t TeamIndex = Queue.ActiveTeams[Position];
        std::vector<QueuedWork> &Heap = Queue.Teams[TeamIndex].Heap;
        while (!Heap.empty() && !isFeasible(Heap.front(), Class, Holds, Now)) {
          QueuedWork Item = popEarliest(Queue, TeamIndex);
          addRefusal(Item, Class, RefusalReason::LateInQueue,
                     Item.Deadline - Now);
        }
      }
    }
  }
}

std::optional<Refused> AdmissionQueue::nextRefused() {
  if (PendingRefusals.empty())
    return std::nullopt;

  Refused First = PendingRefusals.front();
  PendingRefusals.pop_front();
  return First;
}

std::uint32_t AdmissionQueue::queued(WorkClass Class) const {
  std::uint32_t Sum = 0;
  for (const CapacityPool &Pool : Pools)
    Sum += Pool.ClassQueues[indexOf(Class)].Queued;
  return Sum;
}

std::uint32_t AdmissionQueue::running(WorkClass Class) const {
  std::uint32_t Sum = 0;
  for (const CapacityPool &Pool : Pools)
    Sum += Pool.ClassQueues[indexOf(Class)].Running;
  return Sum;
}

std::uint32_t AdmissionQueue::unusedReservationAbove(WorkClass Class) const {
  return unusedReservationAbove(
      Pools[static_cast<std::size_t>(Occupancy::Slot)], Class);
}

std::uint32_t AdmissionQueue::reservationAbove(WorkClass Class) const {
  const CapacityPool &Slots = Pools[static_cast<std::size_t>(Occupancy::Slot)];
  double Sum = 0;
  for (std::size_t Index = 0; Index < indexOf(Class); ++Index)
    Sum += reservationFor(Slots, static_cast<WorkClass>(Index));
  return static_cast<std::uint32_t>(Sum);
}

Duration AdmissionQueue::expectedService(WorkClass Class) const {
  return serviceStats(Class).MeanAtTarget;
}

std::uint32_t AdmissionQueue::teamIndex(const TeamId &Team) {
  auto Found = TeamIndexes.find(Team);
  if (Found != TeamIndexes.end())
    return Found->second;
  if (Quotas.size() >= Settings.MaxTeams)
    return SharedTeamIndex;

  auto Index = static_cast<std::uint32_t>(Quotas.size());
  Quotas.emplace_back();
  TeamIndexes.emplace(Team, Index);
  return Index;
}

AdmissionQueue::CapacityPool &AdmissionQueue::poolOf(Occupancy Holds) {
  return Pools[static_cast<std::size_t>(Holds)];
}

AdmissionQueue::ClassQueue &AdmissionQueue::classQueueOf(CapacityPool &Pool,
                                                         WorkClass Class) {
  return Pool.ClassQueues[indexOf(Class)];
}

AdmissionQueue::TeamQueue &
AdmissionQueue::teamQueueOf(ClassQueue &Queue, std::uint32_t TeamIndex) {
  if (Queue.Teams.size() <= TeamIndex)
    Queue.Teams.resize(TeamIndex + 1);
  return Queue.Teams[TeamIndex];
}

const AdmissionQueue::ServiceStats &
AdmissionQueue::serviceStats(WorkClass Class) const {
  return StatsByClass[indexOf(Class)];
}

void AdmissionQueue::addDemand(ClassQueue &Queue, WorkClass Class,
                               TimePoint Now) {
  decayDemand(Queue, Now);
  Queue.Demand += seconds(serviceStats(Class).MeanAtTarget) /
                  seconds(Settings.DemandWindow);
}

void AdmissionQueue::decayDemand(ClassQueue &Queue, TimePoint Now) {
  Queue.Demand *=
      std::exp(-seconds(Now - Queue.DemandAt) / seconds(Settings.DemandWindow));
  Queue.DemandAt = Now;
}

Duration AdmissionQueue::estimateWait(const CapacityPool &Pool, WorkClass Class,
                                      const TeamQueue &Team,
                                      std::uint32_t TeamIndex,
                                      TimePoint Deadline) const {
  const ClassQueue &Queue = Pool.ClassQueues[indexOf(Class)];
  bool Full = Pool.Running >= Pool.Capacity;
  if (Queue.Queued == 0 && !Full)
    return Duration::zero();

  // Requests with later deadlines run after this one. Deadlines are assumed to
  // be spread evenly between the earliest and the latest.
  double Ahead = static_cast<double>(Team.Heap.size());
  if (!Team.Heap.empty()) {
    TimePoint Earliest = Team.Heap.front().Deadline;
    double Spread = nanos(Team.LatestDeadline - Earliest);
    double Offset = nanos(Deadline - Earliest);
    Ahead *= Spread > 0 ? std::clamp(Offset / Spread, 0.0, 1.0) : 1.0;
  }
  if (Full)
    Ahead += 1;

  // Slots of this class while every class with queued work uses its share.
  double Share = Settings.Classes[indexOf(Class)].Share;
  double CompetingShares = Share;
  double RemainingCapacity = Pool.Capacity;
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    if (Index == indexOf(Class))
      continue;
    if (Pool.ClassQueues[Index].Queued > 0)
      CompetingShares += Settings.Classes[Index].Share;
    else
      RemainingCapacity -= Pool.ClassQueues[Index].Running;
  }
  double ClassSlots = std::max(RemainingCapacity * Share / CompetingShares,
                               Share * Pool.Capacity);

  double TeamWeights = Team.ActiveIndex < 0 ? Quotas[TeamIndex].Weight : 0;
  for (std::uint32_t ActiveTeam : Queue.ActiveTeams)
    TeamWeights += Quotas[ActiveTeam].Weight;
  double TeamSlots = ClassSlots * Quotas[TeamIndex].Weight / TeamWeights;

  double Wait = Ahead * nanos(serviceStats(Class).MeanAtTarget) /
                std::max(TeamSlots, 1e-3);
  return Duration(static_cast<Duration::rep>(Wait));
}

std::uint32_t AdmissionQueue::unusedReservationAbove(const CapacityPool &Pool,
                                                     WorkClass Class) const {
  double Sum = 0;
  for (std::size_t Index = 0; Index < indexOf(Class); ++Index) {
    double Reservation = reservationFor(Pool, static_cast<WorkClass>(Index));
    Sum += std::max(Reservation - Pool.ClassQueues[Index].Running, 0.0);
  }
  return static_cast<std::uint32_t>(Sum);
}

double AdmissionQueue::reservationFor(const CapacityPool &Pool,
                                      WorkClass Class) const {
  const ClassPolicy &Policy = Settings.Classes[indexOf(Class)];
  if (!Policy.ReserveDeviations)
    return 0;

  double Demand = Pool.ClassQueues[indexOf(Class)].Demand;
  double Wanted = Demand + *Policy.ReserveDeviations * std::sqrt(Demand);
  return std::ceil(std::min(Wanted, Policy.Share * Pool.Capacity));
}

bool AdmissionQueue::mayStart(const CapacityPool &Pool, Occupancy Holds,
                              WorkClass Class) const {
  if (Pool.Running >= Pool.Capacity)
    return false;
  if (Holds == Occupancy::ConnectionOnly)
    return true;

  return Pool.Capacity - Pool.Running > unusedReservationAbove(Pool, Class);
}

AdmissionInputs AdmissionQueue::makeInputs(const CapacityPool &Pool,
                                           const Work &Request,
                                           Duration Wait) const {
  AdmissionInputs Inputs;
  Inputs.Class = Request.Class;
  Inputs.Remaining = Request.Remaining;
  Inputs.EstimatedWait = Wait;
  if (Request.Holds == Occupancy::Slot)
    Inputs.EstimatedService = serviceStats(Request.Class).HighTotal;
  Inputs.QueuedInClass = Pool.ClassQueues[indexOf(Request.Class)].Queued;
  Inputs.Running = Pool.Running;
  Inputs.Capacity = Pool.Capacity;
  Inputs.Reserved = unusedReservationAbove(Pool, Request.Class);
  return Inputs;
}

Dispatch AdmissionQueue::startWork(CapacityPool &Pool,
                                   const QueuedWork &Request, WorkClass Class,
                                   Occupancy Holds, std::uint32_t TeamIndex,
                                   TimePoint Now) {
  ClassQueue &Queue = classQueueOf(Pool, Class);
  TeamQueue &Team = teamQueueOf(Queue, TeamIndex);
  Duration Charge = Holds == Occupancy::Slot ? serviceStats(Class).MeanAtTarget
                                             : ConnectionCharge;
  StatsByClass[indexOf(Class)].StartedAt = Now;
  ++Team.Running;
  ++Queue.Running;
  ++Pool.Running;

  double CatchUp = nanos(MaxCatchUp) * Pool.Capacity;
  Queue.VirtualTime = std::max(Queue.VirtualTime, Pool.VirtualClock - CatchUp);
  Pool.VirtualClock = std::max(Pool.VirtualClock, Queue.VirtualTime);
  Queue.VirtualTime += nanos(Charge) / Settings.Classes[indexOf(Class)].Share;
  Queue.TeamVirtualClock = std::max(Queue.TeamVirtualClock, Team.VirtualTime);
  Team.VirtualTime =
      std::max(Team.VirtualTime, Queue.TeamVirtualClock - CatchUp);
  Team.VirtualTime += nanos(Charge) / Quotas[TeamIndex].Weight;

  return {Request.Key,       Class,     Holds,
          Request.Attempted, TeamIndex, Request.Deadline - Now,
          Request.Deadline,  Charge};
}

void AdmissionQueue::enqueue(CapacityPool &Pool, WorkClass Class,
                             std::uint32_t TeamIndex, QueuedWork Item) {
  ClassQueue &Queue = classQueueOf(Pool, Class);
  TeamQueue &Team = teamQueueOf(Queue, TeamIndex);
  if (Queue.Queued == 0)
    Queue.VirtualTime = std::max(Queue.VirtualTime, Pool.VirtualClock);
  if (Team.Heap.empty()) {
    Team.VirtualTime = std::max(Team.VirtualTime, Queue.TeamVirtualClock);
    Team.LatestDeadline = Item.Deadline;
    Team.ActiveIndex = static_cast<std::int32_t>(Queue.ActiveTeams.size());
    Queue.ActiveTeams.push_back(TeamIndex);
  }

  Team.LatestDeadline = std::max(Team.LatestDeadline, Item.Deadline);
  Team.Heap.push_back(Item);
  std::push_heap(Team.Heap.begin(), Team.Heap.end(), LaterDeadline);
  ++Queue.Queued;
}

AdmissionQueue::QueuedWork
AdmissionQueue::popEarliest(ClassQueue &Queue, std::uint32_t TeamIndex) {
  std::vector<QueuedWork> &Heap = Queue.Teams[TeamIndex].Heap;
  std::pop_heap(Heap.begin(), Heap.end(), LaterDeadline);
  QueuedWork Item = Heap.back();
  Heap.pop_back();
  --Queue.Queued;
  if (Heap.empty())
    removeActiveTeam(Queue, TeamIndex);
  return Item;
}

void AdmissionQueue::removeActiveTeam(ClassQueue &Queue,
                                      std::uint32_t TeamIndex) {
  std::int32_t Position = Queue.Teams[TeamIndex].ActiveIndex;
  assert(Position >= 0);
  std::uint32_t Last = Queue.ActiveTeams.back();
  Queue.ActiveTeams[static_cast<std::size_t>(Position)] = Last;
  Queue.Teams[Last].ActiveIndex = Position;
  Queue.ActiveTeams.pop_back();
  Queue.Teams[TeamIndex].ActiveIndex = -1;
}

bool AdmissionQueue::makeRoom(ClassQueue &Queue, WorkClass Class,
                              std::uint32_t TeamIndex) {
  if (Queue.Queued < Settings.Classes[indexOf(Class)].MaxQueued)
    return true;
  if (Queue.ActiveTeams.empty())
    return false;

  auto Length = [&](std::uint32_t Index) {
    return static_cast<double>(Queue.Teams[Index].Heap.size()) /
           Quotas[Index].Weight;
  };
  std::uint32_t Longest =
      *std::max_element(Queue.ActiveTeams.begin(), Queue.ActiveTeams.end(),
                        [&](std::uint32_t Left, std::uint32_t Right) {
                          return Length(Left) < Length(Right);
                        });
  if (Length(Longest) <= Length(TeamIndex) + 1 / Quotas[TeamIndex].Weight)
    return false;

  // The last leaf of the heap does not have the earliest deadline, unless it is
  // the only entry.
  std::vector<QueuedWork> &Heap = Queue.Teams[Longest].Heap;
  QueuedWork Item = Heap.back();
  Heap.pop_back();
  --Queue.Queued;
  if (Heap.empty())
    removeActiveTeam(Queue, Longest);
  addRefusal(Item, Class, RefusalReason::Displaced, Duration::zero());
  return true;
}

bool AdmissionQueue::isFeasible(const QueuedWork &Item, WorkClass Class,
                                Occupancy Holds, TimePoint Now) const {
  if (Holds == Occupancy::ConnectionOnly)
    return Now <= Item.Deadline;

  return Now + serviceStats(Class).HighTotal <= Item.Deadline;
}

void AdmissionQueue::addRefusal(const QueuedWork &Item, WorkClass Class,
                                RefusalReason Reason, Duration Remaining) {
  Refused Refusal;
  Refusal.Key = Item.Key;
  Refusal.Reason = Reason;
  Refusal.Executed = Item.Attempted ? Execution::Unknown : Execution::NotRun;
  Refusal.Inputs.Class = Class;
  Refusal.Inputs.Remaining = Remaining;
  Refusal.Inputs.EstimatedService = serviceStats(Class).HighTotal;
  PendingRefusals.push_back(Refusal);
}

std::optional<std::uint32_t>
AdmissionQueue::pickTeam(const ClassQueue &Queue) const {
  std::optional<std::uint32_t> Best;
  for (std::uint32_t Index : Queue.ActiveTeams) {
    const TeamQueue &Team = Queue.Teams[Index];
    if (Team.Running >= Quotas[Index].MaxRunning)
      continue;
    if (!Best || Team.VirtualTime < Queue.Teams[*Best].VirtualTime)
      Best = Index;
  }
  return Best;
}

std::optional<Dispatch> AdmissionQueue::nextFromPool(Occupancy Holds,
                                                     TimePoint Now,
                                                     ClassSet Eligible) {
  CapacityPool &Pool = poolOf(Holds);
  while (true) {
    std::optional<WorkClass> Best;
    for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
      auto Class = static_cast<WorkClass>(Index);
      const ClassQueue &Queue = Pool.ClassQueues[Index];
      if (Queue.Queued == 0 || !Eligible.contains(Class) ||
          !mayStart(Pool, Holds, Class))
        continue;
      if (!Best ||
          Queue.VirtualTime < Pool.ClassQueues[indexOf(*Best)].VirtualTime)
        Best = Class;
    }
    if (!Best)
      return std::nullopt;

    ClassQueue &Queue = classQueueOf(Pool, *Best);
    std::optional<std::uint32_t> Team = pickTeam(Queue);
    if (!Team) {
      Eligible = Eligible.without(*Best);
      continue;
    }

    QueuedWork Item = popEarliest(Queue, *Team);
    if (isFeasible(Item, *Best, Holds, Now))
      return startWork(Pool, Item, *Best, Holds, *Team, Now);

    addRefusal(Item, *Best, RefusalReason::LateInQueue, Item.Deadline - Now);
  }
}

} // namespace daisyspool
