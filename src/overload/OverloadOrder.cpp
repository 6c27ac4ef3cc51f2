#include "daisyspool/overload/OverloadOrder.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace daisyspool::overload {

namespace {

/// Number of a queue's newest jobs of which the largest tenth is determined.
constexpr std::size_t MaxObservedJobs = 100;
constexpr std::size_t MinObservedJobs = 10;
/// A regime lasts at least as long, so that the order does not change with each
/// task that ends.
constexpr Millis MinRegime{1000};
/// A job that has had no run for this many times the time that its result is
/// useful goes first.
constexpr int LongestWaitFactor = 2;
/// Part of the time in which a job goes first because it has waited for long:
/// one a second.
constexpr Millis FirstTurnInterval{1000};

std::vector<std::size_t> readyJobs(const std::vector<JobDemand> &Jobs) {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Jobs.size(); ++I)
    if (Jobs[I].ReadyTasks > 0)
      Result.push_back(I);
  return Result;
}

/// Sorts by \p KeyOf. Ties keep the order of the list, so that a recorded day
/// can be replayed.
template <typename KeyFunction>
std::vector<Turn> turnsBy(const std::vector<JobDemand> &Jobs,
                          KeyFunction KeyOf) {
  using Key = decltype(KeyOf(Jobs.front()));
  std::vector<std::pair<Key, std::size_t>> Ordered;
  for (std::size_t I : readyJobs(Jobs))
    Ordered.emplace_back(KeyOf(Jobs[I]), I);
  std::stable_sort(
      Ordered.begin(), Ordered.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<Turn> Result;
  Result.reserve(Ordered.size());
  for (const auto &[Value, I] : Ordered)
    Result.push_back({I});
  return Result;
}

/// Load pattern: services lose tasks while short tasks of their class queue up.
/// Users cannot reach a service until it runs again, so it goes first.
///
/// Load pattern: a burst of batch far beyond the fleet. In order of deadlines
/// all jobs would be late; with the least remaining work first, most are on
/// time.
std::vector<Turn> decideByWork(const std::vector<JobDemand> &Jobs,
                               TimePoint Now) {
  return turnsBy(Jobs, [Now](const JobDemand &Job) {
    return std::tuple(Job.Policy->Priority, !Job.LongRunning,
                      latenessOf(Job, Now), Job.RemainingWork);
  });
}

TurnCause causeOf(const JobDemand &Job, TimePoint Now) {
  switch (worthOf(Job, Now)) {
  case Lateness::Late:
    return TurnCause::Late;
  case Lateness::Useless:
    return TurnCause::Useless;
  case Lateness::InTime:
    break;
  }
  return isAtRisk(Job, Now) ? TurnCause::AtRisk : TurnCause::InTime;
}

} // namespace

const char *toString(TurnCause Cause) {
  switch (Cause) {
  case TurnCause::Ample:
    return "ample";
  case TurnCause::WaitedLongest:
    return "waited_longest";
  case TurnCause::LargeTurn:
    return "large_turn";
  case TurnCause::AtRisk:
    return "at_risk";
  case TurnCause::InTime:
    return "in_time";
  case TurnCause::Late:
    return "late";
  case TurnCause::Useless:
    return "useless";
  }
  return "ample";
}

void OverloadOrder::observe(const workload::QueueId &Queue, std::int64_t Work) {
  if (Kind != JobOrder::Cost)
    return;
  QueueWork &Observed = Queues[Queue];
  Observed.Newest.push_back(Work);
  if (Observed.Newest.size() > MaxObservedJobs)
    Observed.Newest.pop_front();
  std::vector<std::int64_t> Sorted(Observed.Newest.begin(),
                                   Observed.Newest.end());
  auto NineTenths =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() * 9 / 10);
  std::nth_element(Sorted.begin(), NineTenths, Sorted.end());
  Observed.NineTenths = *NineTenths;
}

bool OverloadOrder::isLarge(const workload::QueueId &Queue,
                            std::int64_t Work) const {
  auto Found = Queues.find(Queue);
  return Found != Queues.end() &&
         Found->second.Newest.size() >= MinObservedJobs &&
         Work >= Found->second.NineTenths;
}

void OverloadOrder::updateRegime(const std::vector<JobDemand> &Jobs,
                                 bool TaskWithoutVm, TimePoint Now) {
  if (Kind != JobOrder::Cost || Now - RegimeSince < MinRegime)
    return;
  std::int64_t Waiting = 0;
  std::int64_t AtRisk = 0;
  std::int64_t Late = 0;
  for (std::size_t I : readyJobs(Jobs)) {
    ++Waiting;
    AtRisk += isAtRisk(Jobs[I], Now) ? 1 : 0;
    Late += worthOf(Jobs[I], Now) != Lateness::InTime ? 1 : 0;
  }
  // The order is of no consequence while each task finds a VM, and costs nobody
  // anything while no job is short of time.
  bool Next = TaskWithoutVm && (Scarce ? Waiting : AtRisk + Late) > 0;
  if (Next == Scarce)
    return;
  Scarce = Next;
  RegimeSince = Now;
  LogEvent(LogLevel::Info, Scarce ? "room_scarce" : "room_ample")
      .with("waiting", Waiting)
      .with("at_risk", AtRisk)
      .with("late", Late)
      .with("task_without_vm", TaskWithoutVm ? "yes" : "no");
}

std::size_t OverloadOrder::longestWaiting(const std::vector<JobDemand> &Jobs,
                                          TimePoint Now) {
  std::size_t Longest = Jobs.size();
  for (std::size_t I : readyJobs(Jobs)) {
    const JobDemand &Job = Jobs[I];
    Duration Bound = LongestWaitFactor * UsefulFactor * objectiveOf(Job);
    if (Job.AssignedTasks > 0 || Now - Job.IdleSince <= Bound)
      continue;
    if (*Job.Id == FirstTurnOf)
      return I;
    if (Longest == Jobs.size() || Job.IdleSince < Jobs[Longest].IdleSince)
      Longest = I;
  }
  if (Longest == Jobs.size() || Now - FirstTurnSince < FirstTurnInterval)
    return Jobs.size();
  FirstTurnOf = *Jobs[Longest].Id;
  FirstTurnSince = Now;
  return Longest;
}

std::vector<Turn>
OverloadOrder::decideByCost(const std::vector<JobDemand> &Jobs, TimePoint Now) {
  updateLargeTurns(Jobs, Now);
  auto HasLargeTurn = [this](const JobDemand &Job) {
    auto Found = LargeTurns.find(Job.Policy->Name);
    return Found != LargeTurns.end() && Found->second == *Job.Id;
  };
  std::vector<Turn> Result = turnsBy(Jobs, [&](const JobDemand &Job) {
    Lateness Worth = worthOf(Job, Now);
    return std::tuple(Worth == Lateness::Useless, Job.Policy->Priority,
                      !HasLargeTurn(Job), !Job.LongRunning, Worth,
                      Job.RemainingWork);
  });
  for (Turn &Each : Result) {
    const JobDemand &Job = Jobs[Each.Job];
    Each.Cause = HasLargeTurn(Job) ? TurnCause::LargeTurn : causeOf(Job, Now);
    Each.Later = worthOf(Job, Now) == Lateness::Useless;
  }
  std::size_t First = longestWaiting(Jobs, Now);
  auto Found =
      std::find_if(Result.begin(), Result.end(),
                   [First](const Turn &Each) { return Each.Job == First; });
  if (Found != Result.end()) {
    Found->Cause = TurnCause::WaitedLongest;
    std::rotate(Result.begin(), Found, Found + 1);
  }
  return Result;
}

void OverloadOrder::updateLargeTurns(const std::vector<JobDemand> &Jobs,
                                     TimePoint Now) {
  std::map<workload::QueueId, const JobDemand *> Next;
  std::map<workload::QueueId, JobId> Turns;
  for (const JobDemand &Job : Jobs) {
    if (!Job.Large || worthOf(Job, Now) == Lateness::Useless)
      continue;
    const workload::QueueId &Queue = Job.Policy->Name;
    if (auto Turn = LargeTurns.find(Queue);
        Turn != LargeTurns.end() && Turn->second == *Job.Id)
      Turns[Queue] = *Job.Id;
    // Half of the time in which it can begin and be of use.
    Duration Wait = (UsefulFactor * objectiveOf(Job) - Job.RemainingPath) / 2;
    if (Job.ReadyTasks == 0 || Now - Job.Arrival < Wait)
      continue;
    const JobDemand *&Best = Next[Queue];
    if (!Best || Job.RemainingWork < Best->RemainingWork)
      Best = &Job;
  }
  for (const auto &[Queue, Job] : Next)
    Turns.try_emplace(Queue, *Job->Id);
  LargeTurns = std::move(Turns);
}

std::vector<Turn> OverloadOrder::decide(const std::vector<JobDemand> &Jobs,
                                        TimePoint Now) {
  switch (Kind) {
  case JobOrder::Arrival:
    return turnsBy(Jobs, [](const JobDemand &Job) {
      return std::tuple(Job.Policy->Priority, Job.Arrival);
    });
  case JobOrder::Deadline:
    return turnsBy(Jobs, [](const JobDemand &Job) {
      return std::tuple(Job.Policy->Priority,
                        Job.TargetCompletion - Job.RemainingPath);
    });
  case JobOrder::Work:
    break;
  case JobOrder::Cost:
    if (Scarce)
      return decideByCost(Jobs, Now);
  }
  return decideByWork(Jobs, Now);
}

} // namespace daisyspool::overload
