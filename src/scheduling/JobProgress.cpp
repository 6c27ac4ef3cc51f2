#include "daisyspool/scheduling/JobProgress.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"
#include "daisyspool/wire/Document.h"
#include "daisyspool/workload/Limits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <limits>

namespace daisyspool::scheduling {

namespace {

using nlohmann::json;
using wire::wholeNumber;

// A task that never ran and a done task are encoded as single numbers, as they
// are by far the most frequent.
constexpr int NeverRunTask = 0;
constexpr int DoneTask = 1;

using Packer = msgpack::packer<msgpack::sbuffer>;

enum class Checkpoints : bool { LeftOut, Included };

void pack(Packer &To, const TaskProgress &Task, Checkpoints Mode) {
  if (Task.Phase == TaskPhase::Done) {
    To.pack(DoneTask);
    return;
  }
  if (Task.Phase == TaskPhase::Waiting && Task.LastRun == RunNumber{}) {
    To.pack(NeverRunTask);
    return;
  }

  To.pack_array(6);
  To.pack(Task.Phase == TaskPhase::Assigned);
  To.pack(Task.LastRun);
  To.pack(Task.Failures);
  To.pack(Task.Vm);
  To.pack(Task.Life);
  To.pack(Mode == Checkpoints::Included ? Task.Checkpoint : std::string());
}

TaskProgress taskFromJson(const json &From) {
  TaskProgress Task;
  if (From.is_number()) {
    if (wholeNumber(From, NeverRunTask, DoneTask) == DoneTask)
      Task.Phase = TaskPhase::Done;
    return Task;
  }

  Task.Phase =
      From.at(0).get<bool>() ? TaskPhase::Assigned : TaskPhase::Waiting;
  Task.LastRun = RunNumber(wholeNumber<std::uint64_t>(From.at(1)));
  Task.Failures = wholeNumber<std::uint32_t>(From.at(2));
  Task.Vm = VmId(From.at(3).get<std::string>());
  Task.Life = WorkerLife(wholeNumber<std::uint64_t>(From.at(4)));
  Task.Checkpoint = From.at(5);
  return Task;
}

void pack(Packer &To, const OccurrenceProgress &Occurrence, Checkpoints Mode) {
  To.pack_array(static_cast<std::uint32_t>(Occurrence.Steps.size()));
  for (const StepProgress &Step : Occurrence.Steps) {
    if (Step.isComplete()) {
      To.pack(DoneTask);
      continue;
    }
    To.pack_array(static_cast<std::uint32_t>(Step.Tasks.size()));
    for (const TaskProgress &Task : Step.Tasks)
      pack(To, Task, Mode);
  }
}

std::string encodeRow(const JobProgress &Job, bool WithTasks,
                      Checkpoints Mode) {
  msgpack::sbuffer Buffer;
  Packer To(Buffer);
  bool InParts = Job.TasksPerRow != 0;
  To.pack_array(WithTasks || InParts ? 2 : 1);
  To.pack(static_cast<int>(Job.Status));
  if (InParts)
    To.pack(Job.TasksPerRow);
  if (WithTasks) {
    To.pack_array(static_cast<std::uint32_t>(Job.Occurrences.size()));
    for (const OccurrenceProgress &Occurrence : Job.Occurrences)
      pack(To, Occurrence, Mode);
  }
  return {Buffer.data(), Buffer.size()};
}

/// Encodes with checkpoints if the result is within the limit, else without.
template <typename Encoder>
std::string encodeWithin(std::size_t RowBytes, Encoder Encode) {
  std::string Result = Encode(Checkpoints::Included);
  return Result.size() <= RowBytes ? Result : Encode(Checkpoints::LeftOut);
}

void countDone(StepProgress &Step) {
  Step.Done = static_cast<std::uint32_t>(
      std::count_if(Step.Tasks.begin(), Step.Tasks.end(), [](const auto &Task) {
        return Task.Phase == TaskPhase::Done;
      }));
}

void stepFromJson(StepProgress &Step, const json &From) {
  if (From.is_number()) {
    wholeNumber(From, DoneTask, DoneTask);
    for (TaskProgress &Task : Step.Tasks)
      Task.Phase = TaskPhase::Done;
  } else {
    for (std::size_t I = 0; I < Step.Tasks.size(); ++I)
      Step.Tasks[I] = taskFromJson(From.at(I));
  }
}

JobStatus statusFromJson(const json &Whole) {
  return static_cast<JobStatus>(
      wholeNumber(Whole.at(0), 0, JobStatusCount - 1));
}

OccurrenceProgress newOccurrence(const JobProgress &Job) {
  OccurrenceProgress Occurrence;
  for (const auto &Step : Job.Record.Definition.Steps) {
    Occurrence.Steps.emplace_back();
    Occurrence.Steps.back().Tasks.resize(Step.Count);
  }
  return Occurrence;
}

std::size_t maxOccurrences(const JobProgress &Job) {
  return std::max(1U, Job.Record.Definition.Repeats.Times);
}

/// The task with the number \p Number; its occurrence may not be due yet.
TaskName taskAt(const JobProgress &Job, std::uint32_t Number) {
  std::uint32_t PerOccurrence = tasksPerOccurrence(Job);
  TaskName Result{Job.Record.Id, Number / PerOccurrence, 0,
                  Number % PerOccurrence};
  for (const auto &Step : Job.Record.Definition.Steps) {
    if (Result.Index < Step.Count)
      break;
    Result.Index -= Step.Count;
    ++Result.Step;
  }
  return Result;
}

/// The task that follows \p Task in the order of numbers.
void advance(const JobProgress &Job, TaskName &Task) {
  const auto &Steps = Job.Record.Definition.Steps;
  if (++Task.Index < Steps[Task.Step].Count)
    return;
  Task.Index = 0;
  if (++Task.Step < Steps.size())
    return;
  Task.Step = 0;
  ++Task.Occurrence;
}

/// A product or sum that is the largest value instead of overflowing.
/// Precondition: the operands are not negative.
std::int64_t clampedProduct(std::int64_t A, std::int64_t B) {
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  return B != 0 && A > Max / B ? Max : A * B;
}
std::int64_t clampedSum(std::int64_t A, std::int64_t B) {
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  return A > Max - B ? Max : A + B;
}

std::uint32_t waitingTasks(const StepProgress &Step) {
  return static_cast<std::uint32_t>(
      std::count_if(Step.Tasks.begin(), Step.Tasks.end(), [](const auto &Task) {
        return Task.Phase == TaskPhase::Waiting;
      }));
}

/// The estimated duration of the longest chain of incomplete steps.
Millis remainingCriticalPath(const JobProgress &Job,
                             const OccurrenceProgress &Occurrence) {
  Millis Longest{0};
  std::vector<Millis> Finish(Occurrence.Steps.size(), Millis(0));
  for (std::size_t I = 0; I < Finish.size(); ++I) {
    const auto &Step = Job.Record.Definition.Steps[I];
    for (std::uint32_t Earlier : Step.After)
      Finish[I] = std::max(Finish[I], Finish[Earlier]);
    if (!Occurrence.Steps[I].isComplete())
      Finish[I] += Step.Estimate;
    Longest = std::max(Longest, Finish[I]);
  }

  return Longest;
}

void countPath(JobProgress &Job, OccurrenceProgress &Occurrence) {
  Occurrence.RemainingCriticalPath = remainingCriticalPath(Job, Occurrence);
  ++Job.Totals.OccurrencesByPath[Occurrence.RemainingCriticalPath];
}

void addToTotals(JobProgress &Job, OccurrenceProgress &Occurrence) {
  ProgressTotals &Totals = Job.Totals;
  Totals.UnfinishedTasks.resize(Occurrence.Steps.size());
  for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
    const StepProgress &Step = Occurrence.Steps[I];
    Totals.DoneTasks += Step.Done;
    Totals.UnfinishedTasks[I] += Step.Tasks.size() - Step.Done;
    if (!Step.isComplete() && isStepReady(Job, Occurrence, I))
      Job.ReadyTasks += waitingTasks(Step);
  }
  countPath(Job, Occurrence);
}

/// Updates the fields that derive from the totals.
void updateEstimates(JobProgress &Job) {
  const auto &Paths = Job.Totals.OccurrencesByPath;
  Job.RemainingCriticalPath = Paths.empty() ? Millis(0) : Paths.rbegin()->first;
  const auto &Unfinished = Job.Totals.UnfinishedTasks;
  Job.RemainingWork = 0;
  for (std::size_t I = 0; I < Unfinished.size(); ++I) {
    const auto &Step = Job.Record.Definition.Steps[I];
    std::int64_t CpuWork = clampedProduct(
        static_cast<std::int64_t>(Unfinished[I]), Step.Needs.Cpu.value());
    Job.RemainingWork = clampedSum(
        Job.RemainingWork, clampedProduct(CpuWork, Step.Estimate.count()));
  }
}

} // namespace

TaskProgress *JobProgress::findTask(const TaskName &Task) {
  if (Task.Occurrence >= Occurrences.size())
    return nullptr;
  auto &Steps = Occurrences[Task.Occurrence].Steps;
  if (Task.Step >= Steps.size() || Task.Index >= Steps[Task.Step].Tasks.size())
    return nullptr;

  return &Steps[Task.Step].Tasks[Task.Index];
}

void addOccurrence(JobProgress &Job) {
  Job.Occurrences.push_back(newOccurrence(Job));
  addToTotals(Job, Job.Occurrences.back());
  updateEstimates(Job);
}

void completeTask(JobProgress &Job, const TaskName &Name) {
  OccurrenceProgress &Occurrence = Job.Occurrences[Name.Occurrence];
  StepProgress &Step = Occurrence.Steps[Name.Step];
  TaskProgress &Task = Step.Tasks[Name.Index];
  assert(Task.Phase != TaskPhase::Done);
  if (Task.Phase == TaskPhase::Waiting)
    --Job.ReadyTasks;
  Task.Phase = TaskPhase::Done;
  ++Step.Done;
  ++Job.Totals.DoneTasks;
  --Job.Totals.UnfinishedTasks[Name.Step];
  if (Step.isComplete()) {
    const auto &Definitions = Job.Record.Definition.Steps;
    for (std::size_t I = 0; I < Definitions.size(); ++I) {
      const auto &After = Definitions[I].After;
      if (std::find(After.begin(), After.end(), Name.Step) != After.end() &&
          isStepReady(Job, Occurrence, I))
        Job.ReadyTasks += waitingTasks(Occurrence.Steps[I]);
    }
    auto &Paths = Job.Totals.OccurrencesByPath;
    auto Before = Paths.find(Occurrence.RemainingCriticalPath);
    if (--Before->second == 0)
      Paths.erase(Before);
    countPath(Job, Occurrence);
  }
  updateEstimates(Job);
}

void updateDerivedFields(JobProgress &Job) {
  Job.ReadyTasks = 0;
  Job.Totals = {};
  for (OccurrenceProgress &Occurrence : Job.Occurrences) {
    for (StepProgress &Step : Occurrence.Steps)
      countDone(Step);
    addToTotals(Job, Occurrence);
  }
  updateEstimates(Job);
}

bool isStepReady(const JobProgress &Job, const OccurrenceProgress &Occurrence,
                 std::size_t Step) {
  const auto &After = Job.Record.Definition.Steps[Step].After;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
    return Occurrence.Steps[Earlier].isComplete();
  });
}

std::vector<TaskName> assignedTasks(const JobProgress &Job) {
  std::vector<TaskName> Result;
  for (std::uint32_t K = 0; K < Job.Occurrences.size(); ++K)
    for (std::uint32_t I = 0; I < Job.Occurrences[K].Steps.size(); ++I) {
      const auto &Tasks = Job.Occurrences[K].Steps[I].Tasks;
      for (std::uint32_t N = 0; N < Tasks.size(); ++N)
        if (Tasks[N].Phase == TaskPhase::Assigned)
          Result.push_back({Job.Record.Id, K, I, N});
    }

  return Result;
}

bool isComplete(const JobProgress &Job) {
  return Job.Totals.DoneTasks == taskCount(Job);
}

bool isComplete(const OccurrenceProgress &Occurrence) {
  return std::all_of(
      Occurrence.Steps.begin(), Occurrence.Steps.end(),
      [](const StepProgress &Step) { return Step.isComplete(); });
}

std::uint32_t tasksPerRow(std::size_t RowBytes) {
  // The name of a VM is at most 200 bytes, as it is part of a key.
  constexpr std::size_t MaxTaskBytes = 230;
  constexpr std::size_t OtherBytes = 16;
  // Smaller rows than the limit allows, as a change rewrites the whole row.
  constexpr std::size_t MaxTasks = 200;
  assert(RowBytes >= 1000);
  return static_cast<std::uint32_t>(
      std::min(MaxTasks, (RowBytes - OtherBytes) / MaxTaskBytes));
}

std::uint32_t tasksPerOccurrence(const JobProgress &Job) {
  std::uint32_t Sum = 0;
  for (const auto &Step : Job.Record.Definition.Steps)
    Sum += Step.Count;
  return Sum;
}

std::uint64_t taskCount(const JobProgress &Job) {
  return std::uint64_t(tasksPerOccurrence(Job)) * maxOccurrences(Job);
}

std::uint32_t dueTaskCount(const JobProgress &Job) {
  return tasksPerOccurrence(Job) *
         static_cast<std::uint32_t>(Job.Occurrences.size());
}

std::uint32_t taskNumber(const JobProgress &Job, const TaskName &Task) {
  std::uint32_t Result = Task.Occurrence * tasksPerOccurrence(Job) + Task.Index;
  for (std::uint32_t I = 0; I < Task.Step; ++I)
    Result += Job.Record.Definition.Steps[I].Count;
  return Result;
}

std::string encodeProgress(const JobProgress &Job, std::size_t RowBytes) {
  // Runs of a cancelled job are kept until they have ended, so that the next
  // leader stops them too.
  bool WithTasks = !Job.StatusOnly && Job.TasksPerRow == 0 &&
                   (!isFinal(Job.Status) || !assignedTasks(Job).empty());
  return encodeWithin(RowBytes, [&](Checkpoints Mode) {
    return encodeRow(Job, WithTasks, Mode);
  });
}

std::string encodePart(const JobProgress &Job, std::uint32_t FirstTask,
                       std::size_t RowBytes) {
  std::uint32_t Due = dueTaskCount(Job);
  std::uint32_t Count =
      std::min(Job.TasksPerRow, Due - std::min(FirstTask, Due));
  return encodeWithin(RowBytes, [&](Checkpoints Mode) {
    msgpack::sbuffer Buffer;
    Packer To(Buffer);
    To.pack_array(Count);
    TaskName Task = taskAt(Job, FirstTask);
    for (std::uint32_t I = 0; I < Count; ++I, advance(Job, Task))
      pack(To,
           Job.Occurrences[Task.Occurrence].Steps[Task.Step].Tasks[Task.Index],
           Mode);
    return std::string(Buffer.data(), Buffer.size());
  });
}

bool decodeProgress(JobProgress &Job, std::string_view Bytes) {
  try {
    json Whole = wire::parseMsgpack(Bytes);
    JobStatus Status = statusFromJson(Whole);
    if (Whole.size() < 2) {
      Job.Status = Status;
      return false;
    }

    const json &From = Whole.at(1);
    if (From.is_number()) {
      Job.TasksPerRow = static_cast<std::uint32_t>(wholeNumber(
          From, 1, static_cast<std::int64_t>(workload::MaxTaskOccurrences)));
      Job.Status = Status;
      return false;
    }
    if (From.size() > maxOccurrences(Job))
      throw ProtocolError("stored progress: more occurrences than the job has");
    // The job is unchanged if this throws: a task that is assigned but not
    // counted on any VM would never start again.
    auto Occurrences = Job.Occurrences;
    while (Occurrences.size() < From.size())
      Occurrences.push_back(newOccurrence(Job));
    for (std::size_t K = 0; K < From.size(); ++K)
      for (std::size_t I = 0; I < Occurrences[K].Steps.size(); ++I)
        stepFromJson(Occurrences[K].Steps[I], From.at(K).at(I));
    Job.Status = Status;
    Job.Occurrences = std::move(Occurrences);
    updateDerivedFields(Job);
    return true;
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("stored progress: ") + Problem.what());
  }
}

void decodePart(JobProgress &Job, std::uint32_t FirstTask,
                std::string_view Bytes) {
  try {
    json From = wire::parseMsgpack(Bytes);
    if (!From.is_array() || FirstTask >= taskCount(Job) ||
        From.size() > taskCount(Job) - FirstTask)
      throw ProtocolError("stored progress: more tasks than the job has");
    // The job is unchanged if this throws.
    std::vector<TaskProgress> Decoded;
    Decoded.reserve(From.size());
    for (const json &Each : From)
      Decoded.push_back(taskFromJson(Each));

    TaskName Task = taskAt(Job, FirstTask);
    for (TaskProgress &Each : Decoded) {
      // The parts before this one may not have been stored.
      while (Job.Occurrences.size() <= Task.Occurrence)
        Job.Occurrences.push_back(newOccurrence(Job));
      *Job.findTask(Task) = std::move(Each);
      advance(Job, Task);
    }
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("stored progress: ") + Problem.what());
  }
}

JobStatus decodeStatus(std::string_view Bytes) {
  try {
    return statusFromJson(wire::parseMsgpack(Bytes));
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("stored progress: ") + Problem.what());
  }
}

} // namespace daisyspool::scheduling
