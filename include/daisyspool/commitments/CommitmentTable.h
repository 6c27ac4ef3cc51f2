#ifndef DAISYSPOOL_COMMITMENTS_COMMITMENTTABLE_H
#define DAISYSPOOL_COMMITMENTS_COMMITMENTTABLE_H

#include "daisyspool/commitments/Orders.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace daisyspool {

/// An attempt that a new agent process finds running on its worker.
struct AdoptedAttempt {
  ShardId Shard;
  TaskId Task;
  AttemptNumber Attempt;
  Resources Need;
  TimePoint Expiry;
};

/// The attempt is committed and may run until Expiry. If Replaced is set, that
/// earlier attempt of the task must be stopped first.
struct Committed {
  TimePoint Expiry;
  /// The attempt was held already; the order is a repeat.
  bool Repeat = false;
  std::optional<AttemptNumber> Replaced;
};

/// What the worker has to do after a renewal reply.
struct LeaseChanges {
  std::vector<TaskId> Renewed;
  std::vector<TaskId> Stopped;
  std::vector<TaskId> ToCheckpoint;
};

/// The attempts that the agent holds on its VM, and the only place where the
/// VM's resources are committed.
///
/// Schedulers may race or act on stale state: an order that does not fit, comes
/// from a former owner or repeats an ended attempt is refused here. An attempt
/// whose lease ends is suspended with its memory until the owner renews or
/// discards it. See AttemptLeases for the owner's side.
///
/// Thread safety: one thread. Times are on the agent's clock.
class CommitmentTable {
public:
  CommitmentTable(VmId Vm, Incarnation Self, Resources Capacity,
                  Duration TaskLease);

  /// Takes over the attempts that the previous agent process left on the
  /// worker. Precondition: nothing has been committed yet.
  void adopt(const std::vector<AdoptedAttempt> &Leftovers);

  /// Commits resources to an attempt, or refuses it for good.
  std::variant<Committed, Refusal> commit(const StartOrder &Order,
                                          TimePoint Now);

  /// Releases the attempt, or prevents its start if its order has not arrived
  /// yet. Returns false, without effect, for an order of a former owner.
  bool stop(const StopOrder &Order, TimePoint Now);

  /// Records the attempt's end, as reported by the worker, and frees its
  /// resources.
  /// \p State is Finished or Failed.
  void ended(const TaskId &Task, AttemptNumber Attempt, HeldState State,
             int ExitCode);

  /// Records a checkpoint that is durable in the object store.
  void checkpointed(const TaskId &Task, AttemptNumber Attempt,
                    CheckpointId Checkpoint);

  /// Suspends the attempts whose lease has ended, and returns them.
  std::vector<TaskId> expire(TimePoint Now);

  /// The request to send to the owner of \p Shard now.
  RenewalRequest renewal(ShardId Shard, TimePoint Now) const;

  /// Applies an owner's decisions; a reply of a former owner or to another
  /// incarnation changes nothing.
  LeaseChanges onReply(const RenewalReply &Reply, TimePoint Now);

  /// When the attempt's lease ends, or nothing if it is not held and live.
  std::optional<TimePoint> expiry(const TaskId &Task) const;

  Resources committed() const { return TotalCommitted; }
  const Resources &capacity() const { return Capacity; }
  Incarnation incarnation() const { return Self; }

private:
  struct Held {
    ShardId Shard;
    AttemptNumber Attempt;
    Resources Need;
    HeldState State = HeldState::Running;
    int ExitCode = 0;
    CheckpointId Checkpoint;
    std::uint64_t CheckpointNumber = 0;
    TimePoint Expiry;
  };

  /// Attempts up to Last must not start. Kept for a task lease, after which the
  /// grant of any such order has expired.
  struct Tombstone {
    AttemptNumber Last;
    TimePoint Until;
  };

  static bool isLive(const Held &Entry) {
    return Entry.State == HeldState::Running ||
           Entry.State == HeldState::Suspended;
  }
  bool acceptEpoch(ShardId Shard, Epoch OwnerEpoch);
  bool hasTombstone(const StartOrder &Order) const;
  std::optional<Refusal> findRefusal(const StartOrder &Order,
                                     TimePoint Now) const;
  void addTombstone(const TaskId &Task, AttemptNumber Attempt, TimePoint Now);
  void release(const TaskId &Task, TimePoint Now);
  void applyDecision(const AttemptDecision &Decided, TimePoint LeaseEnd,
                     TimePoint Now, LeaseChanges &Changes);

  VmId Vm;
  Incarnation Self;
  Resources Capacity;
  Duration TaskLease;
  Resources TotalCommitted;
  std::map<TaskId, Held> Attempts;
  std::map<TaskId, Tombstone> Tombstones;
  std::map<ShardId, Epoch> NewestEpochs;
};

} // namespace daisyspool

#endif // DAISYSPOOL_COMMITMENTS_COMMITMENTTABLE_H
