#ifndef DAISYSPOOL_SCHEDULING_SCHEDULER_H
#define DAISYSPOOL_SCHEDULING_SCHEDULER_H

#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/scheduling/VmChoice.h"
#include "daisyspool/scheduling/VmState.h"
#include "daisyspool/workload/FleetConfig.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisyspool::scheduling {

/// The leading entry's view of all jobs and VMs, and its decisions: what runs
/// where, what is stopped, what is recorded before it is acted on.
///
/// Use: feed it jobs, cancellations and agents' replies, call schedule(), write
/// takeChanges() to the store, report onCommitted(), and send nextSync() to
/// each agent that hasOrders(). An order is sent only after the transaction
/// with its assignment is durable, and an end is acknowledged only after its
/// transaction, so a successor knows of every run that may exist.
///
/// Thread safety: one thread at a time. Makes no input or output; time is a
/// parameter.
class Scheduler {
public:
  struct Options {
    /// How long a worker may run on without word from the leader.
    Millis Grant{4000};
    /// Allowance for reading clocks around an echo.
    Millis GrantMargin{100};
    /// How long an agent waits for news before it answers a sync.
    Millis SyncWait{500};
    /// Pause before a task that failed or was refused starts again.
    Millis RetryPause{150};
    Millis Probation{4000};
    double FailuresForProbation = 3;
    /// A job with nothing running for so long takes any VM with room: soon
    /// where under half of the fleet is held, as its callers see idle room, and
    /// late where batch that fills would only crowd the services.
    Millis StarvedAfter{1000};
    Millis StarvedInBusyFleet{8000};
    /// At most this many jobs in one transaction.
    std::size_t MaxChanges = 95;
  };

  /// Stands for whatever earlier leaders wrote; own transactions count on.
  static constexpr CommitNumber RestoredCommit{1};

  /// The progress of one job, to be stored.
  struct Change {
    JobId Job;
    std::string Progress;
  };

  explicit Scheduler(Options Config) : Config(Config) {}
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  /// Adds an accepted job; one that is known is left as it is. \p Age is the
  /// time since its acceptance.
  void addJob(const workload::JobRecord &Record, Millis Age, TimePoint Now);

  /// Restores the stored progress of an added job. Precondition: schedule()
  /// has not been called. Errors: throws ProtocolError.
  void restore(const JobId &Job, std::string_view Progress, TimePoint Now);

  /// Cancels a job; returns false if it is not known.
  bool cancel(const JobId &Job);

  /// Applies the operator's configuration to all jobs of its queues.
  void configure(const workload::FleetConfig &Next);

  /// Adds a VM, or does nothing if it is known.
  void addVm(const VmId &Vm, TimePoint Now);

  /// Assumes that every worker may run on until \p Until: what an earlier
  /// leader may have granted.
  void assumeGrants(TimePoint Until);

  /// Applies an agent's answer to the sync \p Number.
  void onSyncReply(const VmId &Vm, std::uint64_t Number,
                   const runner::SyncReply &Reply, TimePoint Now);

  /// The sync \p Number got no answer: its orders have to be sent again.
  void onSyncFailed(const VmId &Vm, std::uint64_t Number);

  /// Makes all decisions that are due.
  void schedule(TimePoint Now, WallMillis Wall);

  /// Whether takeChanges() has anything.
  bool hasChanges() const { return !DirtyJobs.empty(); }

  /// What must be written next, as transaction \p Number. Precondition: the
  /// earlier transaction is committed.
  std::vector<Change> takeChanges(CommitNumber Number);

  /// The transaction \p Number is durable.
  void onCommitted(CommitNumber Number);

  /// Whether a sync to \p Vm has more to say than that the leader is there.
  bool hasOrders(const VmId &Vm) const;

  /// The next message to the agent of \p Vm.
  runner::SyncRequest nextSync(const VmId &Vm, Epoch Leader, TimePoint Now);

  /// What was learned of the fleet's images, for the next leader.
  std::string encodeTailModel(TimePoint Now) const { return Tails.encode(Now); }

  /// Applies what an earlier leader learned. Errors: throws ProtocolError.
  void restoreTailModel(std::string_view Bytes, TimePoint Now) {
    Tails.decode(Bytes, Now);
  }

  /// Accepted jobs by queue of which no task has started.
  std::map<workload::QueueId, std::uint32_t> pending() const;

  const JobProgress *job(const JobId &Id) const;
  const VmState *vm(const VmId &Id) const;
  std::size_t jobCount() const { return Jobs.size(); }

private:
  using JobMap = std::map<JobId, JobProgress>;

  void markDirty(JobProgress &Job);
  void end(JobProgress &Job, JobStatus Status);
  void applyWorker(VmState &Vm, const runner::SyncReply &Reply);
  void applyEnds(VmState &Vm, const runner::SyncReply &Reply, TimePoint Now);
  void applyEnd(VmState &Vm, const runner::EndedTask &End, TimePoint Now);
  void finishTask(JobProgress &Job, const TaskName &Name);
  void failTask(JobProgress &Job, VmState &Vm, const TaskName &Name,
                TimePoint Now);
  void applyRefusals(VmState &Vm, const runner::SyncReply &Reply,
                     TimePoint Now);
  void reconcile(VmState &Vm, std::uint64_t Number,
                 const runner::SyncReply &Reply, TimePoint Now);
  void noteListed(VmState &Vm, const runner::SyncReply &Reply);
  void stopStalled(VmState &Vm, const runner::SyncReply &Reply, TimePoint Now);
  void noteIdle(JobProgress &Job);
  void requeue(VmState &Vm, const TaskName &Name, TimePoint NotBefore,
               const char *Cause);
  void stop(VmState &Vm, const TaskName &Name, const char *Cause);
  void expireGrants(TimePoint Now);
  void evacuate(VmState &Vm);
  void addDueOccurrences(JobProgress &Job, WallMillis Wall);
  std::vector<JobProgress *> scheduleOrder(TimePoint Now);
  void placeJob(JobProgress &Job, TimePoint Now);
  void placeStep(JobProgress &Job, std::uint32_t Occurrence, std::uint32_t Step,
                 TimePoint Now);
  void placeGang(JobProgress &Job, std::uint32_t Occurrence, std::uint32_t Step,
                 TimePoint Now);
  void assign(JobProgress &Job, const TaskName &Name, RunNumber Run,
              VmState &Vm, TimePoint Now);
  bool isBlocked(const VmRequest &Request) const;
  void noteBlocked(const VmRequest &Request);
  void preemptFor(const JobProgress &Job, const VmRequest &Request,
                  TimePoint Now);
  std::map<VmId, std::uint32_t> siblings(const JobProgress &Job,
                                         std::uint32_t Occurrence,
                                         std::uint32_t Step) const;
  const ServiceId &serviceOf(const JobProgress &Job) const;
  bool isStarved(const JobProgress &Job, TimePoint Now) const;
  bool underHalfHeld() const;

  Options Config;
  JobMap Jobs;
  std::map<VmId, VmState> Vms;
  std::vector<VmState *> VmList;
  std::vector<JobId> DirtyJobs;
  /// Jobs with tasks that are not done; ended jobs are skipped quickly.
  std::map<JobId, JobProgress *> Open;
  workload::FleetConfig Fleet;
  /// Resources on VMs that are being freed for urgent tasks in this pass.
  std::map<VmId, Resources> Claimed;
  /// Least processors for which no VM had room in this pass, by service and
  /// image. Load pattern: a queue of hundreds of tasks of a few images.
  std::map<std::pair<ServiceId, workload::ImageId>, MilliCores> BlockedFilling;
  TailModel Tails;
  TimePoint LastSchedule{};
  bool FleetIdle = false;
  CommitNumber Durable = RestoredCommit;
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_SCHEDULER_H
