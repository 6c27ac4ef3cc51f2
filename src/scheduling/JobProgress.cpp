#include "daisyspool/scheduling/JobProgress.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"
#include "daisyspool/wire/Document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
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

void pack(Packer &To, const TaskProgress &Task) {
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
  To.pack(Task.Checkpoint);
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

void pack(Packer &To, const OccurrenceProgress &Occurrence) {
  To.pack_array(static_cast<std::uint32_t>(Occurrence.Steps.size()));
  for (const StepProgress &Step : Occurrence.Steps) {
    if (Step.isComplete()) {
      To.pack(DoneTask);
      continue;
    }
    To.pack_array(static_cast<std::uint32_t>(Step.Tasks.size()));
    for (const TaskProgress &Task : Step.Tasks)
      pack(To, Task);
  }
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
  Step.Done = static_cast<std::uint32_t>(
      std::count_if(Step.Tasks.begin(), Step.Tasks.end(), [](const auto &Task) {
        return Task.Phase == TaskPhase::Done;
      }));
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
  updateDerivedFields(Job);
}

void updateDerivedFields(JobProgress &Job) {
  Job.ReadyTasks = 0;
  for (const OccurrenceProgress &Occurrence : Job.Occurrences)
    for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const StepProgress &Step = Occurrence.Steps[I];
      if (Step.isComplete() || !isStepReady(Job, Occurrence, I))
        continue;
      Job.ReadyTasks += static_cast<std::uint32_t>(std::count_if(
          Step.Tasks.begin(), Step.Tasks.end(),
          [](const auto &Task) { return Task.Phase == TaskPhase::Waiting; }));
    }
  Job.RemainingCriticalPath = remainingCriticalPath(Job);
  Job.RemainingWork = remainingWork(Job);
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
  if (Job.Occurrences.size() < maxOccurrences(Job))
    return false;

  for (const OccurrenceProgress &Occurrence : Job.Occurrences)
    for (const StepProgress &Step : Occurrence.Steps)
      if (!Step.isComplete())
        return false;
  return true;
}

Millis remainingCriticalPath(const JobProgress &Job) {
  Millis Longest{0};
  for (const OccurrenceProgress &Occurrence : Job.Occurrences) {
    std::vector<Millis> Finish(Occurrence.Steps.size(), Millis(0));
    for (std::size_t I = 0; I < Finish.size(); ++I) {
      const auto &Step = Job.Record.Definition.Steps[I];
      for (std::uint32_t Earlier : Step.After)
        Finish[I] = std::max(Finish[I], Finish[Earlier]);
      if (!Occurrence.Steps[I].isComplete())
        Finish[I] += Step.Estimate;
      Longest = std::max(Longest, Finish[I]);
    }
  }

  return Longest;
}

std::int64_t remainingWork(const JobProgress &Job) {
  std::int64_t Sum = 0;
  for (const OccurrenceProgress &Occurrence : Job.Occurrences)
    for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const auto &Step = Job.Record.Definition.Steps[I];
      std::int64_t Unfinished = Step.Count - Occurrence.Steps[I].Done;
      Sum = clampedSum(
          Sum,
          clampedProduct(clampedProduct(Unfinished, Step.Needs.Cpu.value()),
                         Step.Estimate.count()));
    }

  return Sum;
}

std::string encodeProgress(const JobProgress &Job) {
  // Runs of a cancelled job are kept until they have ended, so that the next
  // leader stops them too.
  bool WithTasks = !isFinal(Job.Status) || !assignedTasks(Job).empty();
  msgpack::sbuffer Buffer;
  Packer To(Buffer);
  To.pack_array(WithTasks ? 2 : 1);
  To.pack(static_cast<int>(Job.Status));
  if (WithTasks) {
    To.pack_array(static_cast<std::uint32_t>(Job.Occurrences.size()));
    for (const OccurrenceProgress &Occurrence : Job.Occurrences)
      pack(To, Occurrence);
  }
  return {Buffer.data(), Buffer.size()};
}

void decodeProgress(JobProgress &Job, std::string_view Bytes) {
  try {
    json Whole = wire::parseMsgpack(Bytes);
    JobStatus Status = statusFromJson(Whole);
    if (Whole.size() < 2) {
      Job.Status = Status;
      return;
    }

    const json &From = Whole.at(1);
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
