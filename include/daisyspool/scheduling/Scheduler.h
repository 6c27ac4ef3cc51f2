#ifndef DAISYSPOOL_SCHEDULING_SCHEDULER_H
#define DAISYSPOOL_SCHEDULING_SCHEDULER_H

#include "daisyspool/overload/overload.h"
#include "daisyspool/scheduling/Evacuation.h"
#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/scheduling/VmChoice.h"
#include "daisyspool/scheduling/VmState.h"
#include "daisyspool/workload/FleetConfig.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace daisyspool::scheduling {

/// The leading entry's view of all jobs and VMs, and its decisions: where tasks
/// run, which runs are stopped, and what must be stored first.
///
/// Use: pass in jobs, cancellations and agents' replies, call schedule(), write
/// takeChanges() to the store, call onCommitted(), and send nextSync() to each
/// agent that hasOrders(). An order is sent only after the transaction with its
/// assignment is durable, and an end is acknowledged only after its
/// transaction, so the next leader knows of every run that may exist.
///
/// Thread safety: one thread at a time. Does no I/O; time is a parameter.
class Scheduler {
public:
  struct Options {
    /// How long a worker may keep running without hearing from the leader.
    Millis Grant{4000};
    /// Tolerance for reading the clocks when a stamp is made and echoed.
    Millis GrantMargin{100};
    /// How long an agent waits for changes before it answers a sync.
    Millis SyncWait{500};
    /// Delay before a failed or refused task is started again.
    Millis RetryDelay{150};
    /// How long a VM gets at most one task at a time after its
    /// VmState::FailureScore has reached the threshold.
    Millis Probation{4000};
    double ProbationFailureScore = 3;
    /// A job without a run for longer takes any VM with room: soon if less than
    /// half of the fleet is held, as callers see idle capacity, and late in a
    /// busy fleet, where best-effort batch would only slow down the services.
    Millis StarvedAfter{1000};
    Millis StarvedAfterInBusyFleet{8000};
    /// The largest row that the store accepts.
    std::size_t RowBytes = 65536;
    /// In which order waiting jobs get room.
    overload::JobOrder Order = overload::JobOrder::Work;
  };

  /// Represents all transactions of earlier leaders; own ones have higher
  /// numbers.
  static constexpr CommitNumber RestoredCommit{1};

  /// A changed row of the progress of one job.
  struct Change {
    JobId Job;
    /// The number of the first task in the row; empty for the row with the
    /// status.
    std::optional<std::uint32_t> FirstTask;
    std::string Progress;
  };

  /// What the next transaction can take beside its other rows. The bytes are
  /// those of rows::encodedBytes().
  struct Budget {
    std::size_t Rows = 95;
    std::size_t Bytes = 900'000;
  };

  explicit Scheduler(Options Config) : Config(Config), Order(Config.Order) {}
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  /// Adds an accepted job, or does nothing if it is known. \p Age is the time
  /// since its acceptance.
  void addJob(const workload::JobRecord &Record, Millis Age, TimePoint Now);

  /// Restores the stored progress of an added job: the row with the status, and
  /// one with tasks from \p FirstTask on. Precondition: finishRestoring() has
  /// not been called. Errors: throws ProtocolError.
  void restore(const JobId &Job, std::string_view Progress, TimePoint Now);
  void restorePart(const JobId &Job, std::uint32_t FirstTask,
                   std::string_view Tasks);

  /// Applies the restored parts of the next job once all rows have been passed
  /// in. Returns whether there are more jobs. Precondition: schedule() has not
  /// been called.
  bool finishRestoring(TimePoint Now);

  /// Cancels a job; returns false if it is not known.
  bool cancel(const JobId &Job);

  /// Applies the operator's configuration to all jobs of its queues.
  void configure(const workload::FleetConfig &Next);

  /// Starts nothing in the failure domains \p Domains, which replace the
  /// earlier ones. Takes back what has not started there; what runs goes on.
  void evacuate(const EvacuatedDomains &Domains);

  /// Number of VMs known to be in an evacuated domain.
  std::size_t evacuatedVmCount() const;

  /// Number of starts that evacuations took back since the last call.
  std::size_t takeWithdrawnStarts();

  /// Adds a VM, or does nothing if it is known.
  void addVm(const VmId &Vm, TimePoint Now);

  /// Assumes that an earlier leader has allowed every worker to keep running
  /// until \p Until.
  void assumeGrants(TimePoint Until);

  /// Applies an agent's reply to the sync \p Number.
  void onSyncReply(const VmId &Vm, std::uint64_t Number,
                   const runner::SyncReply &Reply, TimePoint Now);

  /// Schedules the orders of the sync \p Number, which got no reply, to be sent
  /// again.
  void onSyncFailed(const VmId &Vm, std::uint64_t Number);

  /// Makes the decisions that are due, up to a number that takes a small entry
  /// a fraction of the time after which it would be replaced.
  void schedule(TimePoint Now, WallMillis Wall);

  /// Whether the last pass has left decisions to the next one.
  bool hasDeferredWork() const { return WorkDeferred; }

  /// Whether takeChanges() would return any change.
  bool hasChanges() const { return !DirtyJobs.empty(); }

  /// Returns the changes to write next, as transaction \p Number: those of a
  /// job together, unless they exceed the whole \p Room. Precondition: the
  /// earlier transaction is committed or rejected.
  std::vector<Change> takeChanges(CommitNumber Number, Budget Room);

  /// Marks the transaction \p Number as durable.
  void onCommitted(CommitNumber Number);

  /// Takes the transaction \p Number back, which the store will never apply.
  /// After that the next transactions have half as many jobs each time, until a
  /// job is rejected alone: it fails, so that it does not hold up the others.
  /// Returns whether the transaction had any change of a job.
  bool onRejected(CommitNumber Number);

  /// Whether the job is being searched for that had a transaction rejected.
  bool isIsolatingJobs() const { return !Suspects.empty(); }

  /// Holds start orders back, or no longer. Stops, grants and the assignment of
  /// tasks go on.
  void holdStarts(bool Hold) { StartsHeld = Hold; }
  bool areStartsHeld() const { return StartsHeld; }

  /// Whether the next sync to \p Vm would contain start or stop orders, or
  /// acknowledge many ends.
  bool hasOrders(const VmId &Vm) const;

  /// Creates the next sync for the agent of \p Vm.
  runner::SyncRequest nextSync(const VmId &Vm, Epoch Leader, TimePoint Now);

  /// Serializes the tail model for the next leader.
  std::string encodeTailModel(TimePoint Now) const { return Tails.encode(Now); }

  /// Restores the tail model of an earlier leader. Errors: throws
  /// ProtocolError.
  void restoreTailModel(std::string_view Bytes, TimePoint Now) {
    Tails.decode(Bytes, Now);
  }

  /// Number of accepted jobs without a started task, by queue. An assigned task
  /// has not started before a worker lists it.
  std::map<workload::QueueId, std::uint32_t> pending() const;

  /// Numbers of VMs whose worker leaves, and whose worker was lost lately.
  struct WorkerSummary {
    std::size_t Leaving = 0;
    std::size_t Unsteady = 0;
  };
  WorkerSummary workerSummary(TimePoint Now) const;
  /// How long jobs that are submitted now wait at least; empty while there is
  /// room for all, and if the order is not JobOrder::Cost.
  overload::RoomEstimate roomEstimate(TimePoint Now) const;

  const JobProgress *job(const JobId &Id) const;
  const VmState *vm(const VmId &Id) const;
  std::size_t jobCount() const { return Jobs.size(); }

private:
  using JobMap = std::map<JobId, JobProgress>;

  void markDirty(JobProgress &Job);
  void markDirty(JobProgress &Job, const TaskName &Task);
  /// The changed rows of a job by their first task, in the order in which they
  /// are taken; empty for the row with the status.
  static std::vector<std::optional<std::uint32_t>>
  changedRows(const JobProgress &Job);
  /// Encodes the current state of one of the job's rows.
  Change encodeRow(const JobProgress &Job,
                   std::optional<std::uint32_t> FirstTask) const;
  /// Whether the row with the task waits to be written.
  bool isUnsaved(const TaskName &Task) const;
  /// How many of a job's changed rows a transaction takes.
  enum class TakenRows : std::uint8_t { None, Some, All };
  /// Takes the changes of a job as far as \p Room allows; a part of them only
  /// as the first of a transaction.
  TakenRows takeJob(JobProgress &Job, Budget &Room,
                    std::vector<Change> &Result);
  /// Ends a job whose changes the store rejects.
  void abandon(JobProgress &Job);
  /// Assigns the restored runs of a job and ends it if its status is final.
  void restoreRuns(JobProgress &Job, TimePoint Now);
  void endJob(JobProgress &Job, JobStatus Status);
  void applyWorker(VmState &Vm, const runner::SyncReply &Reply, TimePoint Now);
  void applyEnds(VmState &Vm, const runner::SyncReply &Reply, TimePoint Now);
  void applyEnd(VmState &Vm, const runner::EndedTask &End, TimePoint Now);
  void finishTask(JobProgress &Job, const TaskName &Name);
  void failTask(JobProgress &Job, VmState &Vm, const TaskName &Name,
                TimePoint Now);
  /// Counts a failure of the worker on \p Vm, which may put it on probation.
  void countFailure(VmState &Vm, TimePoint Now);
  /// Makes other VMs preferred for further runs of the task.
  void avoidVm(const TaskName &Name, const VmId &Vm);
  void applyRefusals(VmState &Vm, const runner::SyncReply &Reply,
                     TimePoint Now);
  void reconcile(VmState &Vm, std::uint64_t Number,
                 const runner::SyncReply &Reply, TimePoint Now);
  /// Whether the next sync to \p Vm carries the start order of \p Run, which is
  /// not being stopped.
  bool isStartDue(const VmState &Vm, const Assignment &Run) const;
  void updateListedRuns(VmState &Vm, const runner::SyncReply &Reply,
                        TimePoint Now);
  /// Keeps what a worker lists of a run: its start, progress and checkpoint.
  void applyListing(Assignment &Run, const runner::RunningTask &Listed,
                    TimePoint Now);
  void stopStalled(VmState &Vm, const runner::SyncReply &Reply, TimePoint Now);
  void recordStart(Assignment &Run, JobProgress &Job);
  void onRunOver(JobProgress &Job, bool Started);
  /// Makes an assigned task wait again. Nothing that its assignment changed
  /// remains if the run has not started, except its number.
  void requeueTask(VmState &Vm, const TaskName &Name, TimePoint NotBefore,
                   const char *Cause);
  void stopRun(VmState &Vm, const TaskName &Name, const char *Cause);
  void expireGrants(TimePoint Now);
  /// Stops what might still start on evacuated VMs.
  void withdrawLateStarts();
  /// Stops a run on an evacuated VM, and the rest of its gang.
  void withdrawStart(VmState &Vm, const TaskName &Name);
  /// Decides which runs of leaving workers are stopped, and keeps the room that
  /// was found for them; see DrainPlan.h. Precondition: no room is reserved yet
  /// in this pass.
  void planLeavingRuns(TimePoint Now);
  void planLeavingRuns(VmState &Vm, bool LongRunning, TimePoint Now);
  /// Returns whether the run is stopped now.
  bool planLeavingRun(VmState &Vm, const TaskName &Name, TimePoint Now);
  void reserveForMoves();
  /// A VM with room for an assigned task, other than a leaving one, or null.
  VmState *findRoom(JobProgress &Job, const TaskName &Name, TimePoint Now);
  /// Number of tasks of the step that are not at work.
  std::uint32_t unavailableTasks(const JobProgress &Job,
                                 const TaskName &Name) const;
  /// Updates the VM's history when its worker appears, is lost or leaves.
  void observeWorker(VmState &Vm, const runner::SyncReply &Reply,
                     TimePoint Now);
  /// Adds due occurrences of all jobs, up to the limit of a pass.
  void addDueOccurrences(WallMillis Wall);
  /// Adds the due occurrences of a job while \p TasksLeft is not used up.
  /// Returns whether all were added.
  bool addDueOccurrences(JobProgress &Job, WallMillis Wall,
                         std::uint64_t &TasksLeft);
  std::vector<overload::JobDemand> demands() const;
  /// The room of the VMs that take tasks at all.
  overload::Room room(TimePoint Now) const;
  std::vector<JobProgress *> scheduleOrder(TimePoint Now);
  void placeJob(JobProgress &Job, TimePoint Now);
  /// Place the waiting tasks of a step. Return false if a task found no VM.
  bool placeStep(JobProgress &Job, std::uint32_t Occurrence, std::uint32_t Step,
                 TimePoint Now);
  bool placeGang(JobProgress &Job, std::uint32_t Occurrence, std::uint32_t Step,
                 TimePoint Now);
  Assignment newAssignment(const JobProgress &Job, const TaskName &Name,
                           RunNumber Run, const VmState &Vm,
                           TimePoint Now) const;
  /// Counts the run of a task on its VM, without a change to write.
  void countRun(JobProgress &Job, const TaskName &Name, const Assignment &Run,
                VmState &Vm, TimePoint Now);
  void assignTask(JobProgress &Job, const TaskName &Name, RunNumber Run,
                  VmState &Vm, TimePoint Now);
  bool isBlocked(const VmRequest &Request) const;
  void recordBlocked(const VmRequest &Request);
  void preemptFor(const JobProgress &Job, const VmRequest &Request,
                  TimePoint Now);
  std::map<VmId, std::uint32_t> siblingsByVm(const JobProgress &Job,
                                             std::uint32_t Occurrence,
                                             std::uint32_t Step) const;
  const ServiceId &serviceOf(const JobProgress &Job) const;
  bool isStarved(const JobProgress &Job, TimePoint Now) const;
  bool isFleetUnderHalfHeld() const;

  Options Config;
  JobMap Jobs;
  std::map<VmId, VmState> Vms;
  std::vector<VmState *> VmList;
  /// The jobs with changes to write, oldest first.
  std::deque<JobId> DirtyJobs;
  /// The changes of the newest transaction, by job and first task.
  std::vector<std::pair<JobId, std::optional<std::uint32_t>>> LastTaken;
  /// Jobs of a rejected transaction that have not been written since, and how
  /// many jobs a transaction may have while there are any.
  std::set<JobId> Suspects;
  std::size_t MaxJobsWithSuspects = 1;
  /// Jobs of which a row in parts was read.
  std::set<JobId> RestoredInParts;
  /// Jobs that have not ended, so that ended jobs need not be scanned.
  std::map<JobId, JobProgress *> UnfinishedJobs;
  workload::FleetConfig Fleet;
  EvacuatedDomains Evacuated;
  std::size_t WithdrawnStarts = 0;
  /// Resources that are being freed on VMs for urgent tasks in this pass.
  std::map<VmId, Resources> PreemptionClaims;
  /// Processors of a request that found no VM in this pass, by service and
  /// best-effort image; equal and larger requests are skipped. Load pattern: a
  /// queue of hundreds of tasks of a few images.
  std::map<std::pair<ServiceId, workload::ImageId>, MilliCores>
      BlockedBestEffortCpu;
  TailModel Tails;
  /// A long-running or other task that is being stopped on a leaving worker,
  /// and the VM on which its room is kept until the stop is over.
  struct Move {
    VmId From;
    VmId Target;
  };
  std::map<TaskName, Move> ReservedForMoves;
  TimePoint LastLeavingPlan{};
  overload::OverloadOrder Order;
  /// A task has found no VM since the order was last decided.
  bool TaskWithoutVm = false;
  TimePoint LastSchedule{};
  /// Number of tasks that the current pass may still assign.
  std::size_t PlacementsLeft = 0;
  bool WorkDeferred = false;
  /// The job whose due occurrences the last pass did not add completely.
  JobId DeferredOccurrencesOf;
  bool FleetUnderHalfHeld = false;
  bool StartsHeld = false;
  /// The newest transaction that is durable, and the newest that took changes.
  CommitNumber Durable = RestoredCommit;
  CommitNumber NewestTaken = RestoredCommit;
};

/// Computes the target, the slack and the work of an accepted job that has not
/// begun.
///
/// Thread safety: safe from any thread.
void setTargets(JobProgress &Job);

/// What the order of jobs depends on; refers to \p Job.
///
/// Thread safety: safe from any thread.
overload::JobDemand demandOf(const JobProgress &Job);

/// Refuses a submitted job as overload::refuse() does. Precondition: the job is
/// valid and has not been stored.
///
/// Thread safety: safe from any thread.
std::optional<overload::Refusal>
refuseSubmission(const workload::JobRecord &Record,
                 const overload::RoomEstimate &Estimate, Millis Age);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_SCHEDULER_H
