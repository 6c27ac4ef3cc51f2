#include "daisyspool/evidence/EvidenceTable.h"

#include <algorithm>
#include <bit>
#include <set>

namespace daisyspool::evidence {

namespace {

void insertUnique(std::vector<VmIndex> &Workers, VmIndex Worker) {
  if (std::find(Workers.begin(), Workers.end(), Worker) == Workers.end())
    Workers.push_back(Worker);
}

} // namespace

EvidenceTable::WorkerRecord &EvidenceTable::workerRecord(VmIndex Worker) {
  if (Worker.index() >= WorkerRecords.size())
    WorkerRecords.resize(Worker.index() + 1);

  return WorkerRecords[Worker.index()];
}

Finding EvidenceTable::record(const AttemptEnd &Ended, TimePoint Now) {
  Finding Conclusion;
  JobRecord &Job = Jobs[Ended.Job];
  if (Ended.Result == Outcome::Succeeded) {
    onSuccess(Ended, Now, Conclusion);
    return Conclusion;
  }
  if (Ended.Result == Outcome::Cancelled || Job.Cancelled) {
    Tasks.erase(Ended.Task);
    Conclusion.End = CancelledByCaller{};
    return Conclusion;
  }

  onFailure(Ended, Now, Conclusion);
  return Conclusion;
}

void EvidenceTable::onSuccess(const AttemptEnd &Ended, TimePoint Now,
                              Finding &Conclusion) {
  workerRecord(Ended.Worker).EverSucceeded = true;
  recordAttempt(workerRecord(Ended.Worker), false);
  JobRecord &Job = Jobs[Ended.Job];
  if (Job.SucceededOn.valid() && Job.SucceededOn != Ended.Worker)
    Job.SucceededOnSeveralWorkers = true;
  Job.SucceededOn = Ended.Worker;
  // A success removes one recorded failure of the worker.
  for (FailureRecord &Each : workerRecord(Ended.Worker).Failures)
    if (Each.Task.valid()) {
      Each = {};
      break;
    }

  auto Known = Tasks.find(Ended.Task);
  if (Known == Tasks.end())
    return;
  recordFailuresOf(Known->second, Ended.Task, Ended.Worker, Now, Conclusion);
  Tasks.erase(Known);
}

Finding EvidenceTable::outlived(TaskHandle Task, VmIndex Worker,
                                TimePoint Now) {
  Finding Conclusion;
  auto Known = Tasks.find(Task);
  if (Known != Tasks.end())
    recordFailuresOf(Known->second, Task, Worker, Now, Conclusion);

  return Conclusion;
}

/// Records the failures of a task for the workers where they happened.
void EvidenceTable::recordFailuresOf(const TaskRecord &Failed, TaskHandle Task,
                                     VmIndex WorkingOn, TimePoint Now,
                                     Finding &Conclusion) {
  for (VmIndex Each : Failed.FailedOn) {
    if (Each == WorkingOn)
      continue;
    recordFailure(Each, Task, Failed.Job);
    quarantineIfFailing(Each, Now, Conclusion);
  }
}

void EvidenceTable::recordFailure(VmIndex Worker, TaskHandle Task,
                                  JobIndex Job) {
  WorkerRecord &Record = workerRecord(Worker);
  bool Known =
      std::any_of(Record.Failures.begin(), Record.Failures.end(),
                  [&](const FailureRecord &Each) { return Each.Task == Task; });
  if (Known)
    return;

  Record.Failures[Record.NextFailure] = {Task, Job};
  Record.NextFailure =
      static_cast<std::uint8_t>((Record.NextFailure + 1) % MaxFailureRecords);
}

void EvidenceTable::onFailure(const AttemptEnd &Ended, TimePoint Now,
                              Finding &Conclusion) {
  JobRecord &Job = Jobs[Ended.Job];
  TaskRecord &Task = Tasks[Ended.Task];
  Task.Job = Ended.Job;
  if (Ended.Result == Outcome::Lost) {
    ++Task.Lost;
  } else {
    ++Task.Failures;
    insertUnique(Task.FailedOn, Ended.Worker);
    recordAttempt(workerRecord(Ended.Worker), true);
    if (Job.succeededElsewhere(Ended.Worker))
      recordFailure(Ended.Worker, Ended.Task, Ended.Job);
    quarantineIfFailing(Ended.Worker, Now, Conclusion);
  }

  Conclusion.Avoid = Task.FailedOn;
  Conclusion.End = decideTaskEnd(Task, Job);
  if (Conclusion.End)
    Tasks.erase(Ended.Task);
}

std::optional<TaskEnd> EvidenceTable::decideTaskEnd(const TaskRecord &Task,
                                                    JobRecord &Job) {
  // Failures on workers where every attempt fails do not count against the
  // task.
  std::uint32_t ReliableWorkers = 0;
  for (VmIndex Each : Task.FailedOn)
    if (workerRecord(Each).EverSucceeded && !workerRecord(Each).Quarantined)
      ++ReliableWorkers;
  if (ReliableWorkers >= Config.DistinctWorkers) {
    ++Job.Unrunnable;
    return Unrunnable{ReliableWorkers};
  }
  if (!Job.SucceededOn.valid() &&
      Job.Unrunnable >= Config.UnrunnableTasksToEndJob)
    return JobUnrunnable{Job.Unrunnable};
  if (Task.Failures >= Config.MaxFailures || Task.Lost >= Config.MaxLost)
    return AttemptsExhausted{Task.Failures, Task.Lost};

  return std::nullopt;
}

void EvidenceTable::recordAttempt(WorkerRecord &Record, bool Failed) {
  Record.Recent =
      static_cast<std::uint8_t>((Record.Recent << 1) | (Failed ? 1 : 0));
  Record.RecentCount =
      static_cast<std::uint8_t>(std::min(Record.RecentCount + 1, 8));
}

void EvidenceTable::quarantineIfFailing(VmIndex Worker, TimePoint Now,
                                        Finding &Conclusion) {
  WorkerRecord &Record = workerRecord(Worker);
  std::uint32_t DistinctTasks = 0;
  std::set<JobIndex> DistinctJobs;
  for (const FailureRecord &Each : Record.Failures) {
    if (!Each.Task.valid())
      continue;
    ++DistinctTasks;
    DistinctJobs.insert(Each.Job);
  }
  bool Failing =
      std::popcount(Record.Recent) >= Config.FailingShare * Record.RecentCount;
  if (Record.Quarantined || !Failing || DistinctTasks < Config.DistinctTasks ||
      DistinctJobs.size() < Config.DistinctJobs)
    return;

  // Beyond the cap a common cause is more likely than failing workers, and the
  // remaining workers are needed to run the tasks.
  auto MaxQuarantined =
      static_cast<std::size_t>(Config.QuarantineCap * Workers);
  if (InQuarantine + 1 > MaxQuarantined)
    return;

  Millis Length =
      std::min(Config.FirstQuarantine * (1 << Record.QuarantineCount),
               Config.LongestQuarantine);
  Record.Quarantined = true;
  Record.Until = Now + Length;
  Record.QuarantineCount =
      static_cast<std::uint8_t>(std::min<int>(Record.QuarantineCount + 1, 8));
  Record.Failures = {};
  Record.Recent = 0;
  Record.RecentCount = 0;
  Record.EverSucceeded = false;
  ++InQuarantine;
  Conclusion.Quarantined.push_back(
      {Worker, DistinctTasks, static_cast<std::uint32_t>(DistinctJobs.size()),
       Record.Until});
}

void EvidenceTable::cancelJob(JobIndex Job) { Jobs[Job].Cancelled = true; }

void EvidenceTable::forgetJob(JobIndex Job) {
  Jobs.erase(Job);
  std::erase_if(Tasks,
                [&](const auto &Each) { return Each.second.Job == Job; });
}

std::vector<VmIndex> EvidenceTable::release(TimePoint Now) {
  std::vector<VmIndex> Released;
  if (InQuarantine == 0)
    return Released;

  for (std::size_t I = 0; I < WorkerRecords.size(); ++I) {
    if (!WorkerRecords[I].Quarantined || WorkerRecords[I].Until > Now)
      continue;
    WorkerRecords[I].Quarantined = false;
    --InQuarantine;
    Released.push_back(VmIndex(I));
  }
  return Released;
}

bool EvidenceTable::quarantined(VmIndex Worker) const {
  return Worker.index() < WorkerRecords.size() &&
         WorkerRecords[Worker.index()].Quarantined;
}

std::size_t EvidenceTable::bytes() const {
  std::size_t Sum = WorkerRecords.capacity() * sizeof(WorkerRecord);
  // A node of a hash table holds the pair, its link and a bucket.
  constexpr std::size_t Node = 2 * sizeof(void *);
  Sum += Jobs.size() * (sizeof(JobIndex) + sizeof(JobRecord) + Node);
  for (const auto &Each : Tasks)
    Sum +=
        sizeof(Each) + Node + Each.second.FailedOn.capacity() * sizeof(VmIndex);

  return Sum;
}

} // namespace daisyspool::evidence
