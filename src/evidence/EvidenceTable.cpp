#include "daisyspool/evidence/EvidenceTable.h"

#include <algorithm>
#include <bit>
#include <set>

namespace daisyspool::evidence {

namespace {

void insert(std::vector<VmIndex> &Into, VmIndex Worker) {
  if (std::find(Into.begin(), Into.end(), Worker) == Into.end())
    Into.push_back(Worker);
}

} // namespace

EvidenceTable::WorkerNotes &EvidenceTable::worker(VmIndex Of) {
  if (Of.index() >= Notes.size())
    Notes.resize(Of.index() + 1);

  return Notes[Of.index()];
}

Finding EvidenceTable::record(const AttemptEnd &Ended, TimePoint Now) {
  Finding Found;
  JobNotes &Job = Jobs[Ended.Job];
  if (Ended.How == Outcome::Succeeded) {
    onSuccess(Ended, Now, Found);
    return Found;
  }
  if (Ended.How == Outcome::Cancelled || Job.Cancelled) {
    Tasks.erase(Ended.Task);
    Found.End = CancelledByCaller{};
    return Found;
  }

  onFailure(Ended, Now, Found);
  return Found;
}

void EvidenceTable::onSuccess(const AttemptEnd &Ended, TimePoint Now,
                              Finding &Found) {
  worker(Ended.Worker).EverSucceeded = true;
  noteAttempt(worker(Ended.Worker), false);
  JobNotes &Job = Jobs[Ended.Job];
  if (Job.SucceededOn.valid() && Job.SucceededOn != Ended.Worker)
    Job.SucceededOnSeveral = true;
  Job.SucceededOn = Ended.Worker;
  // A worker that also succeeds loses old evidence against it.
  for (FailureNote &Each : worker(Ended.Worker).Failures)
    if (Each.Task.valid()) {
      Each = {};
      break;
    }

  auto Known = Tasks.find(Ended.Task);
  if (Known == Tasks.end())
    return;
  blame(Known->second, Ended.Task, Ended.Worker, Now, Found);
  Tasks.erase(Known);
}

Finding EvidenceTable::outlived(TaskHandle Task, VmIndex Worker,
                                TimePoint Now) {
  Finding Found;
  auto Known = Tasks.find(Task);
  if (Known != Tasks.end())
    blame(Known->second, Task, Worker, Now, Found);

  return Found;
}

/// Notes a task's failures against the workers where they happened.
void EvidenceTable::blame(const TaskNotes &Of, TaskHandle Task,
                          VmIndex DoesWellOn, TimePoint Now, Finding &Found) {
  for (VmIndex Each : Of.FailedOn) {
    if (Each == DoesWellOn)
      continue;
    addNote(Each, Task, Of.Job);
    judgeWorker(Each, Now, Found);
  }
}

void EvidenceTable::addNote(VmIndex Of, TaskHandle Task, JobIndex Job) {
  WorkerNotes &At = worker(Of);
  bool Known =
      std::any_of(At.Failures.begin(), At.Failures.end(),
                  [&](const FailureNote &Each) { return Each.Task == Task; });
  if (Known)
    return;

  At.Failures[At.Next] = {Task, Job};
  At.Next = static_cast<std::uint8_t>((At.Next + 1) % Remembered);
}

void EvidenceTable::onFailure(const AttemptEnd &Ended, TimePoint Now,
                              Finding &Found) {
  JobNotes &Job = Jobs[Ended.Job];
  TaskNotes &Task = Tasks[Ended.Task];
  Task.Job = Ended.Job;
  if (Ended.How == Outcome::Lost) {
    ++Task.Lost;
  } else {
    ++Task.Failures;
    insert(Task.FailedOn, Ended.Worker);
    noteAttempt(worker(Ended.Worker), true);
    if (Job.succeededBeside(Ended.Worker))
      addNote(Ended.Worker, Ended.Task, Ended.Job);
    judgeWorker(Ended.Worker, Now, Found);
  }

  Found.Avoid = Task.FailedOn;
  Found.End = endOf(Task, Job);
  if (Found.End)
    Tasks.erase(Ended.Task);
}

std::optional<TaskEnd> EvidenceTable::endOf(const TaskNotes &Of,
                                            JobNotes &Job) {
  // Failures on workers that fail everything are not held against the task.
  std::uint32_t Credible = 0;
  for (VmIndex Each : Of.FailedOn)
    if (worker(Each).EverSucceeded && !worker(Each).Quarantined)
      ++Credible;
  if (Credible >= Config.DistinctWorkers) {
    ++Job.Unrunnable;
    return Unrunnable{Credible};
  }
  if (!Job.SucceededOn.valid() &&
      Job.Unrunnable >= Config.UnrunnableTasksToEndJob)
    return JobUnrunnable{Job.Unrunnable};
  if (Of.Failures >= Config.MaxFailures || Of.Lost >= Config.MaxLost)
    return AttemptsExhausted{Of.Failures, Of.Lost};

  return std::nullopt;
}

void EvidenceTable::noteAttempt(WorkerNotes &At, bool Failed) {
  At.Recent = static_cast<std::uint8_t>((At.Recent << 1) | (Failed ? 1 : 0));
  At.RecentCount = static_cast<std::uint8_t>(std::min(At.RecentCount + 1, 8));
}

void EvidenceTable::judgeWorker(VmIndex Of, TimePoint Now, Finding &Found) {
  WorkerNotes &At = worker(Of);
  std::uint32_t DistinctTasks = 0;
  std::set<JobIndex> DistinctJobs;
  for (const FailureNote &Each : At.Failures) {
    if (!Each.Task.valid())
      continue;
    ++DistinctTasks;
    DistinctJobs.insert(Each.Job);
  }
  bool Failing =
      std::popcount(At.Recent) >= Config.FailingShare * At.RecentCount;
  if (At.Quarantined || !Failing || DistinctTasks < Config.DistinctTasks ||
      DistinctJobs.size() < Config.DistinctJobs)
    return;

  // Beyond the cap a common cause is likelier than bad workers, and the work
  // needs the rest of the fleet.
  auto Cap = static_cast<std::size_t>(Config.QuarantineCap * Workers);
  if (InQuarantine + 1 > Cap)
    return;

  Millis Length = std::min(Config.FirstQuarantine * (1 << At.Offences),
                           Config.LongestQuarantine);
  At.Quarantined = true;
  At.Until = Now + Length;
  At.Offences = static_cast<std::uint8_t>(std::min<int>(At.Offences + 1, 8));
  At.Failures = {};
  At.Recent = 0;
  At.RecentCount = 0;
  At.EverSucceeded = false;
  ++InQuarantine;
  Found.Quarantined.push_back({Of, DistinctTasks,
                               static_cast<std::uint32_t>(DistinctJobs.size()),
                               At.Until});
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

  for (std::size_t I = 0; I < Notes.size(); ++I) {
    if (!Notes[I].Quarantined || Notes[I].Until > Now)
      continue;
    Notes[I].Quarantined = false;
    --InQuarantine;
    Released.push_back(VmIndex(I));
  }
  return Released;
}

bool EvidenceTable::quarantined(VmIndex Worker) const {
  return Worker.index() < Notes.size() && Notes[Worker.index()].Quarantined;
}

std::size_t EvidenceTable::bytes() const {
  std::size_t Sum = Notes.capacity() * sizeof(WorkerNotes);
  // A node of a hash table holds the pair, its link and a bucket.
  constexpr std::size_t Node = 2 * sizeof(void *);
  Sum += Jobs.size() * (sizeof(JobIndex) + sizeof(JobNotes) + Node);
  for (const auto &Each : Tasks)
    Sum +=
        sizeof(Each) + Node + Each.second.FailedOn.capacity() * sizeof(VmIndex);

  return Sum;
}

} // namespace daisyspool::evidence
