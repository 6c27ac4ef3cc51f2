// Checks the invariants that must hold under all faults, as the workers see
// them: a task has at most one run at a time, does not start again after its
// end was recorded, starts only after its predecessors, and fits into the
// capacity of its worker.
#ifndef DAISYSPOOL_TESTS_FLEET_ORACLE_H
#define DAISYSPOOL_TESTS_FLEET_ORACLE_H

#include "daisyspool/runner/WorkerPort.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisyspool::testing {

struct TaskBehaviour;

class Oracle {
public:
  std::vector<std::string> Violations;

  void submitted(const workload::JobRecord &Job, Millis Work, bool Fails) {
    Jobs[Job.Id] = {Job, Work, Fails};
  }

  void cancelled(const JobId &Job) { Cancelled.insert(Job); }

  TaskBehaviour behaviour(const JobId &Job) const;

  Resources reservedResources(const runner::TaskName &Task) const {
    const auto &Step = Jobs.at(Task.Job).Record.Definition.Steps[Task.Step];
    Resources Result = Step.Needs;
    if (Step.FillsIdleCpu)
      Result.Cpu = MilliCores(0);
    return Result;
  }

  bool isLongRunning(const runner::TaskName &Task) const {
    return Jobs.at(Task.Job).Record.Definition.Steps[Task.Step].LongRunning;
  }

  void started(const std::string &Worker, const runner::RunName &Name,
               const Resources &Capacity) {
    auto Existing = Running.find(Name.Task);
    if (Existing != Running.end())
      addViolation("two runs at once", Name,
                   Worker + " and " + Existing->second);
    if (Recorded.count(Name.Task) != 0)
      addViolation("started after its recorded end", Name, Worker);
    const auto &Steps = Jobs.at(Name.Task.Job).Record.Definition.Steps;
    for (std::uint32_t Predecessor : Steps[Name.Task.Step].After)
      if (DoneTasks[{Name.Task.Job, Predecessor}].size() <
          Steps[Predecessor].Count)
        addViolation("started before its predecessors", Name, Worker);
    if (auto Done = DoneRuns.find(Name.Task); Done != DoneRuns.end())
      StartedAfter.emplace(Done->second, Name);
    Running[Name.Task] = Worker;
    Resources Reserved;
    for (const auto &[Task, Host] : Running)
      if (Host == Worker)
        Reserved = Reserved + reservedResources(Task);
    if (!Reserved.fitsIn(Capacity))
      addViolation("exceeds the worker's capacity", Name, Worker);
    ++Starts;
    StartedJobs.insert(Name.Task.Job);
  }

  void ended(const std::string &, const runner::RunName &Name,
             runner::EndCause Cause) {
    Running.erase(Name.Task);
    if (Cause == runner::EndCause::Done) {
      DoneTasks[{Name.Task.Job, Name.Task.Step}].insert(Name.Task.Index);
      DoneRuns.try_emplace(Name.Task, Name);
    }
    if (Cause == runner::EndCause::Lapsed)
      ++Lapses;
  }

  void lost(const std::string &, const runner::TaskName &Task) {
    Running.erase(Task);
  }

  /// Reports that an end was removed from the worker's list. An end from before
  /// a lapse of the worker's lease does not count.
  void endRecorded(const runner::EndedTask &End, runner::EndNumber LapsedUpTo) {
    if (End.Cause != runner::EndCause::Done || End.Number <= LapsedUpTo)
      return;
    Recorded.insert(End.Name.Task);
    if (auto Later = StartedAfter.find(End.Name); Later != StartedAfter.end())
      addViolation("started before an earlier end was recorded", Later->second,
                   "a worker");
  }

  bool isRunning(const JobId &Job) const {
    for (const auto &[Task, Worker] : Running)
      if (Task.Job == Job)
        return true;
    return false;
  }
  std::size_t runningCount() const { return Running.size(); }

  std::set<JobId> StartedJobs;
  std::size_t Starts = 0;
  std::size_t Lapses = 0;

private:
  struct Submitted {
    workload::JobRecord Record;
    Millis Work{0};
    bool Fails = false;
  };

  void addViolation(const std::string &Rule, const runner::RunName &Name,
                    const std::string &Worker) {
    Violations.push_back(Rule + ": " + workload::toString(Name.Task) + " run " +
                         std::to_string(Name.Run.value()) + " on " + Worker);
  }

  std::map<JobId, Submitted> Jobs;
  std::set<JobId> Cancelled;
  std::map<runner::TaskName, std::string> Running;
  std::set<runner::TaskName> Recorded;
  /// By task, the first run that ended as done.
  std::map<runner::TaskName, runner::RunName> DoneRuns;
  /// By run that ended as done, a later run of its task.
  std::map<runner::RunName, runner::RunName> StartedAfter;
  std::map<std::pair<JobId, std::uint32_t>, std::set<std::uint32_t>> DoneTasks;
};

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_ORACLE_H
