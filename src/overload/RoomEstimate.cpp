#include "daisyspool/overload/RoomEstimate.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/workload/Limits.h"

#include <algorithm>
#include <set>

namespace daisyspool::overload {

namespace {

/// Number of steps for one queue, which bounds the leader's status.
constexpr std::size_t MaxSteps = 6;
constexpr Millis MinRetryAfter{1000};
constexpr Millis MaxWait{workload::MaxDurationMillis};
/// A caller that waits for longer does not learn that the room is back.
constexpr Millis MaxRetryAfter{60000};

/// The part of the remaining work that has not begun.
std::int64_t waitingWork(const JobDemand &Job) {
  double Tasks = Job.ReadyTasks + Job.AssignedTasks;
  return static_cast<std::int64_t>(static_cast<double>(Job.RemainingWork) *
                                   Job.ReadyTasks / Tasks);
}

/// Keeps up to MaxSteps of the steps, evenly spread, and the last one.
std::vector<WaitStep> thinned(const std::vector<WaitStep> &Steps) {
  std::size_t Stride = (Steps.size() + MaxSteps - 1) / MaxSteps;
  std::vector<WaitStep> Result;
  for (std::size_t I = Steps.size(); I > 0; I -= std::min(I, Stride))
    Result.push_back(Steps[I - 1]);
  std::reverse(Result.begin(), Result.end());
  return Result;
}

/// The waits of one queue's jobs. \p Ahead is sorted by remaining work.
std::vector<WaitStep> waitsOf(const JobDemand &OfQueue,
                              const std::vector<const JobDemand *> &Ahead,
                              std::int64_t Processors, TimePoint Now) {
  const workload::QueuePolicy &Policy = *OfQueue.Policy;
  WaitStep Sum;
  std::vector<WaitStep> Steps;
  auto Compete = [&](const JobDemand &Job) {
    return Job.Policy->Service == Policy.Service &&
           Job.FillsIdleCpu == OfQueue.FillsIdleCpu;
  };
  // A job that is of less use by then leaves its room to others.
  auto Add = [&](const JobDemand &Job) {
    Millis Spent = std::chrono::duration_cast<Millis>(Now - Job.Arrival);
    Millis Objective = objectiveOf(Job);
    Millis Taken(waitingWork(Job) / Processors);
    if (Sum.InTimeWait + Spent + Job.RemainingPath <= Objective)
      Sum.InTimeWait = std::min(Sum.InTimeWait + Taken, MaxWait);
    if (Sum.Wait + Spent + Job.RemainingPath <= UsefulFactor * Objective)
      Sum.Wait = std::min(Sum.Wait + Taken, MaxWait);
  };
  for (const JobDemand *Job : Ahead)
    if (Compete(*Job) && Job->Policy->Priority < Policy.Priority)
      Add(*Job);
  for (const JobDemand *Job : Ahead) {
    if (!Compete(*Job) || Job->Policy->Priority != Policy.Priority)
      continue;
    Add(*Job);
    Sum.Work = Job->RemainingWork;
    Steps.push_back(Sum);
  }
  return thinned(Steps);
}

} // namespace

RoomEstimate estimateWaits(const std::vector<JobDemand> &Jobs, const Room &Free,
                           TimePoint Now) {
  std::vector<const JobDemand *> Ahead;
  for (const JobDemand &Job : Jobs)
    if (Job.ReadyTasks > 0 && !Job.LongRunning && !Job.Repeats &&
        worthOf(Job, Now) != Lateness::Useless)
      Ahead.push_back(&Job);
  std::stable_sort(Ahead.begin(), Ahead.end(),
                   [](const JobDemand *A, const JobDemand *B) {
                     return A->RemainingWork < B->RemainingWork;
                   });
  RoomEstimate Result;
  std::set<workload::QueueId> Mixed;
  std::map<workload::QueueId, const JobDemand *> Queues;
  for (const JobDemand *Job : Ahead) {
    auto [Known, New] = Queues.try_emplace(Job->Policy->Name, Job);
    // Jobs that reserve processors and those that do not wait for other room.
    if (!New && Known->second->FillsIdleCpu != Job->FillsIdleCpu)
      Mixed.insert(Job->Policy->Name);
  }
  for (const auto &[Name, Job] : Queues) {
    auto Found = Free.find(Job->Policy->Service);
    if (Mixed.count(Name) != 0 || Found == Free.end())
      continue;
    MilliCores Processors =
        Job->FillsIdleCpu ? Found->second.ToFill : Found->second.ToReserve;
    // Without any room nothing is known about when there is some.
    if (Processors > MilliCores(0))
      Result.Waits[Name] = waitsOf(*Job, Ahead, Processors.value(), Now);
  }
  return Result;
}

std::optional<Refusal> refuse(const JobDemand &Job,
                              const RoomEstimate &Estimate, Millis Age) {
  auto Found = Estimate.Waits.find(Job.Policy->Name);
  if (Found == Estimate.Waits.end() || Age > MaxEstimateAge ||
      Job.LongRunning || Job.Repeats)
    return std::nullopt;

  Millis Objective = objectiveOf(Job);
  Refusal Result;
  for (const WaitStep &Step : Found->second)
    if (Step.Work <= Job.RemainingWork)
      // Until it is late, only jobs that are in time go before it.
      Result.Wait = (Step.InTimeWait - Age + Job.RemainingPath <= Objective
                         ? Step.InTimeWait
                         : Step.Wait) -
                    Age;
  Result.LongestWait = UsefulFactor * Objective - Job.RemainingPath;
  if (Result.Wait <= Result.LongestWait)
    return std::nullopt;
  // A caller that returns earlier is taken for a new one and goes before those
  // that have waited.
  Millis Until = std::clamp(Result.Wait, MinRetryAfter, MaxRetryAfter);
  auto Spread = stableHash(Job.Id->str()) %
                (static_cast<std::uint64_t>(Until.count()) + 1);
  Result.RetryAfter = Until + Millis(static_cast<std::int64_t>(Spread));
  return Result;
}

} // namespace daisyspool::overload
