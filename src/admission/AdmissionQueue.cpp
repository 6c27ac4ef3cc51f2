#include "daisyspool/admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace daisyspool {

namespace {

// Charge of a request that holds only a connection; all are equal, since how
// long a session will stay open is unknown.
constexpr Duration ConnectionCharge = Millis(1);
// Longest time whose service a blocked class may claim back at once. A larger
// claim lets a class that was held back by the reserve shut out the others.
constexpr Duration MaxCatchUp = Millis(50);
// Weight of one sample in the running mean once the mean is established.
constexpr double MeanWeight = 1.0 / 256;
// Quantiles are read from the histogram once for this many samples.
constexpr std::uint32_t SamplesPerUpdate = 32;
// The account that teams beyond MaxTeams share.
constexpr std::uint32_t SharedTeamIndex = 0;

std::size_t indexOf(WorkClass Class) { return static_cast<std::size_t>(Class); }

double nanos(Duration Time) { return static_cast<double>(Time.count()); }

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// Orders a heap so that the earliest deadline is at the front.
constexpr auto LaterFirst = [](const auto &Left, const auto &Right) {
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
  Services.reserve(WorkClassCount);
  for (const ClassPolicy &Policy : Settings.Classes) {
    assert(Policy.Share > 0);
    Services.push_back({DurationHistogram(Policy.InitialService),
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
  Pool &In = poolOf(Request.Holds);
  Lane &Of = laneOf(In, Request.Class);
  Account &Team = accountOf(Of, TeamIndex);
  noteDemand(Of, Request.Class, Now);

  Entry Item{Now + Request.Remaining, Request.Key, Request.Attempted};
  Duration Wait =
      estimateWait(In, Request.Class, Team, TeamIndex, Item.Deadline);
  AdmissionInputs Why = inputs(In, Request, Wait);
  Why.QueuedInTeam = static_cast<std::uint32_t>(Team.Heap.size());
  auto Refusal = [&](RefusalReason Reason) {
    return Refused{Request.Key, Reason,
                   Request.Attempted ? Execution::Unknown : Execution::NotRun,
                   Why};
  };

  if (In.Capacity == 0)
    return Refusal(RefusalReason::NoCapacity);

  const TeamQuota &Quota = Quotas[TeamIndex];
  bool Idle = Of.Queued == 0 && Team.Running < Quota.MaxRunning &&
              mayStart(In, Request.Holds, Request.Class);
  if (Idle && Request.Holds == Occupancy::Slot)
    Why.EstimatedService = learned(Request.Class).IdleHigh;
  Duration Slack = Request.Remaining - Why.EstimatedService;
  Why.Sample =
      Idle && Slack < Duration::zero() &&
      Request.Remaining > Duration::zero() &&
      Now - learned(Request.Class).StartedAt >= Settings.SampleInterval;
  if (Slack < Duration::zero() && !Why.Sample)
    return Refusal(RefusalReason::Late);
  if (Idle)
    return Admitted{
        start(In, Item, Request.Class, Request.Holds, TeamIndex, Now), Why};

  if (nanos(Wait) > nanos(Slack) * Settings.WaitPart)
    return Refusal(RefusalReason::Late);
  if (Team.Heap.size() >= Quota.MaxQueued)
    return Refusal(RefusalReason::OverQuota);
  if (!makeRoom(Of, Request.Class, TeamIndex))
    return Refusal(RefusalReason::ClassFull);

  push(In, Request.Class, TeamIndex, Item);
  return Queued{Why};
}

std::optional<Dispatch> AdmissionQueue::next(TimePoint Now, ClassSet Eligible) {
  if (auto Found = nextFrom(Occupancy::ConnectionOnly, Now, Eligible))
    return Found;

  return nextFrom(Occupancy::Slot, Now, Eligible);
}

void AdmissionQueue::restore(const Dispatch &Unsent, TimePoint Now) {
  Pool &In = poolOf(Unsent.Holds);
  Lane &Of = laneOf(In, Unsent.Class);
  Account &Team = accountOf(Of, Unsent.TeamIndex);
  assert(Team.Running > 0 && Of.Running > 0 && In.Running > 0);
  --Team.Running;
  --Of.Running;
  --In.Running;

  double Charge = nanos(Unsent.Charged);
  Of.Virtual -= Charge / Settings.Classes[indexOf(Unsent.Class)].Share;
  Team.Virtual -= Charge / Quotas[Unsent.TeamIndex].Weight;

  Entry Item{Unsent.Deadline, Unsent.Key, Unsent.Attempted};
  if (!feasible(Item, Unsent.Class, Unsent.Holds, Now)) {
    refuse(Item, Unsent.Class, RefusalReason::LateInQueue,
           Unsent.Deadline - Now);
    return;
  }

  push(In, Unsent.Class, Unsent.TeamIndex, Item);
}

void AdmissionQueue::onDone(const Dispatch &Ended, Duration Total,
                            Duration AtTarget, bool Succeeded) {
  Pool &In = poolOf(Ended.Holds);
  Lane &Of = laneOf(In, Ended.Class);
  Account &Team = accountOf(Of, Ended.TeamIndex);
  assert(Team.Running > 0 && Of.Running > 0 && In.Running > 0);
  --Team.Running;
  --Of.Running;
  --In.Running;
  if (Ended.Holds == Occupancy::ConnectionOnly)
    return;

  double Correction = nanos(AtTarget - Ended.Charged);
  Of.Virtual += Correction / Settings.Classes[indexOf(Ended.Class)].Share;
  Team.Virtual += Correction / Quotas[Ended.TeamIndex].Weight;
  if (!Succeeded)
    return;

  Learned &Known = Services[indexOf(Ended.Class)];
  ++Known.Samples;
  double Weight =
      std::max(MeanWeight, 1.0 / static_cast<double>(Known.Samples));
  Known.Mean += Duration(
      static_cast<Duration::rep>(Weight * nanos(AtTarget - Known.Mean)));
  Known.Totals.add(Total);
  if (Known.Samples % SamplesPerUpdate == 0)
    updateQuantiles(Known);
}

void AdmissionQueue::updateQuantiles(Learned &Known) const {
  Known.High = Known.Totals.quantile(Settings.ServiceQuantile);
  Known.IdleHigh = Known.Totals.quantile(Settings.IdleServiceQuantile);
}

void AdmissionQueue::dropLate(TimePoint Now) {
  for (Learned &Known : Services) {
    if (Now - Known.FadedAt < Settings.EstimateHalfLife)
      continue;
    Known.FadedAt = Now;
    Known.Totals.decay();
    updateQuantiles(Known);
  }

  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    auto Class = static_cast<WorkClass>(Index);
    for (std::size_t Kind = 0; Kind < OccupancyCount; ++Kind) {
      auto Holds = static_cast<Occupancy>(Kind);
      Lane &Of = Pools[Kind].Lanes[Index];
      decayDemand(Of, Now);

      // Refusing the last request of a team moves another team to its place.
      for (std::size_t Place = Of.Active.size(); Place-- > 0;) {
        std::uint32_t TeamIndex = Of.Active[Place];
        std::vector<Entry> &Heap = Of.Teams[TeamIndex].Heap;
        while (!Heap.empty() && !feasible(Heap.front(), Class, Holds, Now)) {
          Entry Item = popEarliest(Of, TeamIndex);
          refuse(Item, Class, RefusalReason::LateInQueue, Item.Deadline - Now);
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
  for (const Pool &In : Pools)
    Sum += In.Lanes[indexOf(Class)].Queued;
  return Sum;
}

std::uint32_t AdmissionQueue::running(WorkClass Class) const {
  std::uint32_t Sum = 0;
  for (const Pool &In : Pools)
    Sum += In.Lanes[indexOf(Class)].Running;
  return Sum;
}

std::uint32_t AdmissionQueue::reservedAbove(WorkClass Class) const {
  return reservedAbove(Pools[static_cast<std::size_t>(Occupancy::Slot)], Class);
}

std::uint32_t AdmissionQueue::reservationAbove(WorkClass Class) const {
  const Pool &Slots = Pools[static_cast<std::size_t>(Occupancy::Slot)];
  double Sum = 0;
  for (std::size_t Index = 0; Index < indexOf(Class); ++Index)
    Sum += keptFor(Slots, static_cast<WorkClass>(Index));
  return static_cast<std::uint32_t>(Sum);
}

Duration AdmissionQueue::expectedService(WorkClass Class) const {
  return learned(Class).Mean;
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

AdmissionQueue::Pool &AdmissionQueue::poolOf(Occupancy Holds) {
  return Pools[static_cast<std::size_t>(Holds)];
}

AdmissionQueue::Lane &AdmissionQueue::laneOf(Pool &In, WorkClass Class) {
  return In.Lanes[indexOf(Class)];
}

AdmissionQueue::Account &AdmissionQueue::accountOf(Lane &In,
                                                   std::uint32_t TeamIndex) {
  if (In.Teams.size() <= TeamIndex)
    In.Teams.resize(TeamIndex + 1);
  return In.Teams[TeamIndex];
}

const AdmissionQueue::Learned &AdmissionQueue::learned(WorkClass Class) const {
  return Services[indexOf(Class)];
}

void AdmissionQueue::noteDemand(Lane &In, WorkClass Class, TimePoint Now) {
  decayDemand(In, Now);
  In.Demand += seconds(learned(Class).Mean) / seconds(Settings.DemandWindow);
}

void AdmissionQueue::decayDemand(Lane &In, TimePoint Now) {
  In.Demand *=
      std::exp(-seconds(Now - In.DemandAt) / seconds(Settings.DemandWindow));
  In.DemandAt = Now;
}

Duration AdmissionQueue::estimateWait(const Pool &In, WorkClass Class,
                                      const Account &Team,
                                      std::uint32_t TeamIndex,
                                      TimePoint Deadline) const {
  const Lane &Of = In.Lanes[indexOf(Class)];
  bool Full = In.Running >= In.Capacity;
  if (Of.Queued == 0 && !Full)
    return Duration::zero();

  // Work with later deadlines stays behind; deadlines are taken as evenly
  // spread between the earliest and the latest.
  double Ahead = static_cast<double>(Team.Heap.size());
  if (!Team.Heap.empty()) {
    TimePoint Earliest = Team.Heap.front().Deadline;
    double Spread = nanos(Team.LatestDeadline - Earliest);
    double Place = nanos(Deadline - Earliest);
    Ahead *= Spread > 0 ? std::clamp(Place / Spread, 0.0, 1.0) : 1.0;
  }
  if (Full)
    Ahead += 1;

  // Slots that this class gets while every class with a queue takes its share.
  double Share = Settings.Classes[indexOf(Class)].Share;
  double Competing = Share;
  double Left = In.Capacity;
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    if (Index == indexOf(Class))
      continue;
    if (In.Lanes[Index].Queued > 0)
      Competing += Settings.Classes[Index].Share;
    else
      Left -= In.Lanes[Index].Running;
  }
  double ClassSlots = std::max(Left * Share / Competing, Share * In.Capacity);

  double TeamWeights = Team.ActiveIndex < 0 ? Quotas[TeamIndex].Weight : 0;
  for (std::uint32_t Active : Of.Active)
    TeamWeights += Quotas[Active].Weight;
  double TeamSlots = ClassSlots * Quotas[TeamIndex].Weight / TeamWeights;

  double Wait = Ahead * nanos(learned(Class).Mean) / std::max(TeamSlots, 1e-3);
  return Duration(static_cast<Duration::rep>(Wait));
}

std::uint32_t AdmissionQueue::reservedAbove(const Pool &In,
                                            WorkClass Class) const {
  double Sum = 0;
  for (std::size_t Index = 0; Index < indexOf(Class); ++Index) {
    double Kept = keptFor(In, static_cast<WorkClass>(Index));
    Sum += std::max(Kept - In.Lanes[Index].Running, 0.0);
  }
  return static_cast<std::uint32_t>(Sum);
}

double AdmissionQueue::keptFor(const Pool &In, WorkClass Class) const {
  const ClassPolicy &Policy = Settings.Classes[indexOf(Class)];
  if (!Policy.ReserveDeviations)
    return 0;

  double Demand = In.Lanes[indexOf(Class)].Demand;
  double Wanted = Demand + *Policy.ReserveDeviations * std::sqrt(Demand);
  return std::ceil(std::min(Wanted, Policy.Share * In.Capacity));
}

bool AdmissionQueue::mayStart(const Pool &In, Occupancy Holds,
                              WorkClass Class) const {
  if (In.Running >= In.Capacity)
    return false;
  if (Holds == Occupancy::ConnectionOnly)
    return true;

  return In.Capacity - In.Running > reservedAbove(In, Class);
}

AdmissionInputs AdmissionQueue::inputs(const Pool &In, const Work &Request,
                                       Duration Wait) const {
  AdmissionInputs Why;
  Why.Class = Request.Class;
  Why.Remaining = Request.Remaining;
  Why.EstimatedWait = Wait;
  if (Request.Holds == Occupancy::Slot)
    Why.EstimatedService = learned(Request.Class).High;
  Why.QueuedInClass = In.Lanes[indexOf(Request.Class)].Queued;
  Why.Running = In.Running;
  Why.Capacity = In.Capacity;
  Why.Reserved = reservedAbove(In, Request.Class);
  return Why;
}

Dispatch AdmissionQueue::start(Pool &In, const Entry &Request, WorkClass Class,
                               Occupancy Holds, std::uint32_t TeamIndex,
                               TimePoint Now) {
  Lane &Of = laneOf(In, Class);
  Account &Team = accountOf(Of, TeamIndex);
  Duration Charge =
      Holds == Occupancy::Slot ? learned(Class).Mean : ConnectionCharge;
  Services[indexOf(Class)].StartedAt = Now;
  ++Team.Running;
  ++Of.Running;
  ++In.Running;

  double CatchUp = nanos(MaxCatchUp) * In.Capacity;
  Of.Virtual = std::max(Of.Virtual, In.Clock - CatchUp);
  In.Clock = std::max(In.Clock, Of.Virtual);
  Of.Virtual += nanos(Charge) / Settings.Classes[indexOf(Class)].Share;
  Of.TeamClock = std::max(Of.TeamClock, Team.Virtual);
  Team.Virtual = std::max(Team.Virtual, Of.TeamClock - CatchUp);
  Team.Virtual += nanos(Charge) / Quotas[TeamIndex].Weight;

  return {Request.Key,       Class,     Holds,
          Request.Attempted, TeamIndex, Request.Deadline - Now,
          Request.Deadline,  Charge};
}

void AdmissionQueue::push(Pool &In, WorkClass Class, std::uint32_t TeamIndex,
                          Entry Item) {
  Lane &Of = laneOf(In, Class);
  Account &Team = accountOf(Of, TeamIndex);
  if (Of.Queued == 0)
    Of.Virtual = std::max(Of.Virtual, In.Clock);
  if (Team.Heap.empty()) {
    Team.Virtual = std::max(Team.Virtual, Of.TeamClock);
    Team.LatestDeadline = Item.Deadline;
    Team.ActiveIndex = static_cast<std::int32_t>(Of.Active.size());
    Of.Active.push_back(TeamIndex);
  }

  Team.LatestDeadline = std::max(Team.LatestDeadline, Item.Deadline);
  Team.Heap.push_back(Item);
  std::push_heap(Team.Heap.begin(), Team.Heap.end(), LaterFirst);
  ++Of.Queued;
}

AdmissionQueue::Entry AdmissionQueue::popEarliest(Lane &In,
                                                  std::uint32_t TeamIndex) {
  std::vector<Entry> &Heap = In.Teams[TeamIndex].Heap;
  std::pop_heap(Heap.begin(), Heap.end(), LaterFirst);
  Entry Item = Heap.back();
  Heap.pop_back();
  --In.Queued;
  if (Heap.empty())
    deactivate(In, TeamIndex);
  return Item;
}

void AdmissionQueue::deactivate(Lane &In, std::uint32_t TeamIndex) {
  std::int32_t Place = In.Teams[TeamIndex].ActiveIndex;
  assert(Place >= 0);
  std::uint32_t Last = In.Active.back();
  In.Active[static_cast<std::size_t>(Place)] = Last;
  In.Teams[Last].ActiveIndex = Place;
  In.Active.pop_back();
  In.Teams[TeamIndex].ActiveIndex = -1;
}

bool AdmissionQueue::makeRoom(Lane &In, WorkClass Class,
                              std::uint32_t TeamIndex) {
  if (In.Queued < Settings.Classes[indexOf(Class)].MaxQueued)
    return true;
  if (In.Active.empty())
    return false;

  auto Length = [&](std::uint32_t Index) {
    return static_cast<double>(In.Teams[Index].Heap.size()) /
           Quotas[Index].Weight;
  };
  std::uint32_t Longest =
      *std::max_element(In.Active.begin(), In.Active.end(),
                        [&](std::uint32_t Left, std::uint32_t Right) {
                          return Length(Left) < Length(Right);
                        });
  if (Length(Longest) <= Length(TeamIndex) + 1 / Quotas[TeamIndex].Weight)
    return false;

  // The last leaf of the heap is not the earliest deadline.
  std::vector<Entry> &Heap = In.Teams[Longest].Heap;
  Entry Item = Heap.back();
  Heap.pop_back();
  --In.Queued;
  if (Heap.empty())
    deactivate(In, Longest);
  refuse(Item, Class, RefusalReason::Displaced, Duration::zero());
  return true;
}

bool AdmissionQueue::feasible(const Entry &Item, WorkClass Class,
                              Occupancy Holds, TimePoint Now) const {
  if (Holds == Occupancy::ConnectionOnly)
    return Now <= Item.Deadline;

  return Now + learned(Class).High <= Item.Deadline;
}

void AdmissionQueue::refuse(const Entry &Item, WorkClass Class,
                            RefusalReason Reason, Duration Remaining) {
  Refused Late;
  Late.Key = Item.Key;
  Late.Reason = Reason;
  Late.Executed = Item.Attempted ? Execution::Unknown : Execution::NotRun;
  Late.Inputs.Class = Class;
  Late.Inputs.Remaining = Remaining;
  Late.Inputs.EstimatedService = learned(Class).High;
  PendingRefusals.push_back(Late);
}

std::optional<std::uint32_t> AdmissionQueue::pickTeam(const Lane &In) const {
  std::optional<std::uint32_t> Best;
  for (std::uint32_t Index : In.Active) {
    const Account &Team = In.Teams[Index];
    if (Team.Running >= Quotas[Index].MaxRunning)
      continue;
    if (!Best || Team.Virtual < In.Teams[*Best].Virtual)
      Best = Index;
  }
  return Best;
}

std::optional<Dispatch> AdmissionQueue::nextFrom(Occupancy Holds, TimePoint Now,
                                                 ClassSet Eligible) {
  Pool &In = poolOf(Holds);
  while (true) {
    std::optional<WorkClass> Best;
    for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
      auto Class = static_cast<WorkClass>(Index);
      const Lane &Of = In.Lanes[Index];
      if (Of.Queued == 0 || !Eligible.contains(Class) ||
          !mayStart(In, Holds, Class))
        continue;
      if (!Best || Of.Virtual < In.Lanes[indexOf(*Best)].Virtual)
        Best = Class;
    }
    if (!Best)
      return std::nullopt;

    Lane &Of = laneOf(In, *Best);
    std::optional<std::uint32_t> Team = pickTeam(Of);
    if (!Team) {
      Eligible = Eligible.without(*Best);
      continue;
    }

    Entry Item = popEarliest(Of, *Team);
    if (feasible(Item, *Best, Holds, Now))
      return start(In, Item, *Best, Holds, *Team, Now);

    refuse(Item, *Best, RefusalReason::LateInQueue, Item.Deadline - Now);
  }
}

} // namespace daisyspool
