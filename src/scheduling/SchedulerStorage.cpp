// The part of Scheduler that stores the progress of jobs and restores it after
// a takeover.
#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/rows/RowStore.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::scheduling {

void Scheduler::restore(const JobId &Id, std::string_view Progress,
                        TimePoint Now) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    throw ProtocolError("stored progress of an unknown job " + Id.str());

  JobProgress &Job = Found->second;
  // A cancellation may be read before the progress and still applies.
  bool Cancelled = Job.Status == JobStatus::Cancelled;
  bool WithTasks = decodeProgress(Job, Progress);
  Job.TakenStatus = Job.Status;
  if (Job.TasksPerRow != 0 && WithTasks) {
    // An earlier version stored all tasks in this row.
    Job.TakenStatus.reset();
    std::uint32_t Due = dueTaskCount(Job);
    for (std::uint32_t First = 0; First < Due; First += Job.TasksPerRow)
      Job.DirtyParts.insert(First);
    markDirty(Job);
  }
  if (Cancelled && !isFinal(Job.Status)) {
    Job.Status = JobStatus::Cancelled;
    markDirty(Job);
  }
  if (Job.TasksPerRow != 0)
    RestoredInParts.insert(Id);
  else
    restoreRuns(Job, Now);
}

void Scheduler::restorePart(const JobId &Id, std::uint32_t FirstTask,
                            std::string_view Tasks) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    throw ProtocolError("stored progress of an unknown job " + Id.str());

  decodePart(Found->second, FirstTask, Tasks);
  RestoredInParts.insert(Id);
}

bool Scheduler::finishRestoring(TimePoint Now) {
  if (!RestoredInParts.empty()) {
    auto Next = RestoredInParts.extract(RestoredInParts.begin());
    JobProgress &Job = Jobs.at(Next.value());
    updateDerivedFields(Job);
    restoreRuns(Job, Now);
  }
  return !RestoredInParts.empty();
}

void Scheduler::restoreRuns(JobProgress &Job, TimePoint Now) {
  // The agents have not replied yet, so no VM is known to have room.
  for (OccurrenceProgress &Occurrence : Job.Occurrences)
    for (StepProgress &Step : Occurrence.Steps)
      for (TaskProgress &Task : Step.Tasks)
        Task.WaitingSince = Now;
  JobStatus StoredStatus = Job.Status;
  for (const TaskName &Name : assignedTasks(Job)) {
    const TaskProgress &Task = *Job.findTask(Name);
    addVm(Task.Vm, Now);
    VmState &Vm = Vms.at(Task.Vm);
    Assignment Run = newAssignment(Job, Name, Task.LastRun, Vm, Now);
    Run.Life = Task.Life;
    Run.Commit = RestoredCommit;
    // The agent's first reply shows whether it has the order.
    Run.SentInSync = 1;
    Run.NewestOrderSync = 1;
    Run.Stopping = isFinal(Job.Status);
    countRun(Job, Name, Run, Vm, Now);
  }
  // Nothing else has changed: a new leader with thousands of runs must not
  // write them all again before its first decisions.
  if (Job.Status != StoredStatus)
    markDirty(Job);
  // An active job has either a run or a task that has started.
  if (Job.Status == JobStatus::Active)
    Job.Started =
        Job.AssignedTasks > 0 ? StartEvidence::Presumed : StartEvidence::Seen;
  if (isFinal(Job.Status))
    UnfinishedJobs.erase(Job.Record.Id);
}

void Scheduler::markDirty(JobProgress &Job, const TaskName &Task) {
  if (Job.TasksPerRow != 0) {
    std::uint32_t Number = taskNumber(Job, Task);
    Job.DirtyParts.insert(Number - Number % Job.TasksPerRow);
  }
  markDirty(Job);
}

void Scheduler::markDirty(JobProgress &Job) {
  if (Job.Dirty || Job.Unstorable)
    return;

  Job.Dirty = true;
  DirtyJobs.push_back(Job.Record.Id);
}

bool Scheduler::isUnsaved(const TaskName &Task) const {
  auto Found = Jobs.find(Task.Job);
  if (Found == Jobs.end() || !Found->second.Dirty)
    return false;

  const JobProgress &Job = Found->second;
  if (Job.TasksPerRow == 0 || Job.StatusOnly)
    return true;
  std::uint32_t Number = taskNumber(Job, Task);
  return Job.DirtyParts.count(Number - Number % Job.TasksPerRow) != 0;
}

std::vector<std::optional<std::uint32_t>>
Scheduler::changedRows(const JobProgress &Job) {
  std::vector<std::optional<std::uint32_t>> Result;
  bool InParts = Job.TasksPerRow != 0;
  if (InParts && !Job.StatusOnly) {
    auto Next = Job.DirtyParts.lower_bound(Job.NextPart);
    Result.insert(Result.end(), Next, Job.DirtyParts.end());
    Result.insert(Result.end(), Job.DirtyParts.begin(), Next);
  }
  if (InParts && Job.TakenStatus == Job.Status)
    return Result;

  // The changes may need several transactions. A successor must not start tasks
  // of an ended job, and must find the tasks that an earlier version stored in
  // the row with the status until their parts are stored.
  Result.insert(isFinal(Job.Status) ? Result.begin() : Result.end(),
                std::nullopt);
  return Result;
}

Scheduler::Change
Scheduler::encodeRow(const JobProgress &Job,
                     std::optional<std::uint32_t> FirstTask) const {
  return {Job.Record.Id, FirstTask,
          FirstTask ? encodePart(Job, *FirstTask, Config.RowBytes)
                    : encodeProgress(Job, Config.RowBytes)};
}

Scheduler::TakenRows Scheduler::takeJob(JobProgress &Job, Budget &Room,
                                        std::vector<Change> &Result) {
  constexpr std::size_t OtherNameBytes = 32;
  Budget Left = Room;
  std::vector<Change> Taken;
  bool TookAll = true;
  // Rows are encoded only as far as they fit: a job may have hundreds.
  for (const auto &FirstTask : changedRows(Job)) {
    Change Next = encodeRow(Job, FirstTask);
    std::size_t Bytes = rows::encodedBytes(
        Next.Job.str().size() + OtherNameBytes, Next.Progress.size());
    TookAll = Left.Rows > 0 && Bytes <= Left.Bytes;
    if (!TookAll)
      break;
    --Left.Rows;
    Left.Bytes -= Bytes;
    Taken.push_back(std::move(Next));
  }
  if (!TookAll && !Result.empty())
    return TakenRows::None;

  Room = Left;
  for (Change &Each : Taken) {
    if (Each.FirstTask) {
      Job.DirtyParts.erase(*Each.FirstTask);
      Job.NextPart = *Each.FirstTask + 1;
    } else {
      Job.TakenStatus = Job.Status;
    }
    LastTaken.emplace_back(Each.Job, Each.FirstTask);
    Result.push_back(std::move(Each));
  }
  if (!TookAll)
    return TakenRows::Some;
  Job.Dirty = false;
  return TakenRows::All;
}

std::vector<Scheduler::Change> Scheduler::takeChanges(CommitNumber Number,
                                                      Budget Room) {
  std::vector<Change> Result;
  LastTaken.clear();
  NewestTaken = Number;
  std::size_t MaxJobs =
      Suspects.empty() ? DirtyJobs.size() : MaxJobsWithSuspects;
  MaxJobs = std::min(MaxJobs, DirtyJobs.size());
  for (TakenRows Last = TakenRows::All; MaxJobs > 0 && Last == TakenRows::All;
       --MaxJobs) {
    Last = takeJob(Jobs.at(DirtyJobs.front()), Room, Result);
    if (Last == TakenRows::None)
      break;
    // A job with more rows than a transaction takes must not hold up those
    // behind it.
    if (Last == TakenRows::Some)
      DirtyJobs.push_back(DirtyJobs.front());
    DirtyJobs.pop_front();
  }

  for (VmState *Vm : VmList) {
    for (auto &[Name, Run] : Vm->Assigned) {
      if (Run.Commit != CommitNumber{})
        continue;
      auto Found = Jobs.find(Name.Job);
      if (Found == Jobs.end() || !Found->second.Dirty)
        Run.Commit = Number;
    }
    // An end is acknowledged once the row that it changed is written, whatever
    // else is waiting: a busy fleet always has changes.
    for (AppliedEnd &End : Vm->UnrecordedEnds)
      if (End.Commit == CommitNumber{} && !isUnsaved(End.Task))
        End.Commit = Number;
  }
  return Result;
}

bool Scheduler::onRejected(CommitNumber Number) {
  std::set<JobId> Rejected;
  for (const auto &[Id, FirstTask] : LastTaken) {
    JobProgress &Job = Jobs.at(Id);
    if (FirstTask)
      Job.DirtyParts.insert(*FirstTask);
    else
      Job.TakenStatus.reset();
    markDirty(Job);
    Rejected.insert(Id);
  }
  LastTaken.clear();
  for (VmState *Vm : VmList) {
    for (auto &[Name, Run] : Vm->Assigned)
      if (Run.Commit == Number)
        Run.Commit = CommitNumber{};
    for (AppliedEnd &End : Vm->UnrecordedEnds)
      if (End.Commit == Number)
        End.Commit = CommitNumber{};
  }
  bool HadChanges = !Rejected.empty();
  if (Rejected.size() == 1) {
    abandon(Jobs.at(*Rejected.begin()));
    Suspects.clear();
  } else {
    MaxJobsWithSuspects = std::max<std::size_t>(1, Rejected.size() / 2);
    Suspects.merge(Rejected);
  }
  return HadChanges;
}

void Scheduler::abandon(JobProgress &Job) {
  LogEvent(LogLevel::Error, "job_unstorable")
      .with("job", Job.Record.Id)
      .with("tasks", static_cast<std::int64_t>(taskCount(Job)))
      .with("status_only", Job.StatusOnly ? "yes" : "no");
  Job.Unstorable = Job.StatusOnly;
  Job.StatusOnly = true;
  if (!isFinal(Job.Status))
    endJob(Job, JobStatus::Failed);
  if (!Job.Unstorable)
    return;
  Job.Dirty = false;
  std::erase(DirtyJobs, Job.Record.Id);
}

void Scheduler::onCommitted(CommitNumber Number) {
  Durable = Number;
  for (const auto &[Id, FirstTask] : LastTaken)
    Suspects.erase(Id);
  for (VmState *Vm : VmList)
    Vm->recordEnds(Durable);
}

} // namespace daisyspool::scheduling
