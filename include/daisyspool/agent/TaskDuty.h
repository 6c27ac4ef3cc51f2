#ifndef DAISYSPOOL_AGENT_TASKDUTY_H
#define DAISYSPOOL_AGENT_TASKDUTY_H

#include "daisyspool/commitments/CommitmentTable.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/transport/Inbox.h"
#include "daisyspool/worker/Worker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace daisyspool {

/// Messages of shard owners to the duty.
using TaskInput = std::variant<StartOrder, StopOrder, RenewalReply>;

/// Messages of the duty to the owner of a shard.
using TaskOutput = std::variant<StartReply, StopReply, RenewalRequest>;

/// Runs batch tasks on this VM as the owners of their shards order.
///
/// The CommitmentTable decides which attempts may run, and the Worker runs
/// them. Calls of the worker block, so the duty has a thread of its own. A task
/// whose lease ends is suspended; the worker does so by itself if this process
/// is dead or paused.
///
/// Thread safety: inputs through input() from one thread; everything else on
/// the thread that runs the io_context.
class TaskDuty {
public:
  struct Options {
    VmId Vm;
    Incarnation Number;
    Resources Capacity;
    std::uint64_t Shards = 8;
    Millis TaskLease{10000};
    Millis PollInterval{250};
  };

  /// Called on the duty's thread.
  using Send = std::function<void(TaskOutput)>;

  TaskDuty(boost::asio::io_context &Io, const Clock &Time, Options Config,
           std::unique_ptr<Worker> TaskWorker, Send SendToOwner);
  TaskDuty(const TaskDuty &) = delete;
  TaskDuty &operator=(const TaskDuty &) = delete;

  /// The inbox for the owners' messages.
  const std::shared_ptr<Inbox<TaskInput>> &input() const { return Orders; }

private:
  /// One attempt that the worker was told to run.
  struct RunningAttempt {
    StartOrder Order;
    bool Confirmed = false;
    bool Suspended = false;
    std::uint64_t CheckpointCount = 0;
    CheckpointId RequestedCheckpoint;
    CheckpointId ReportedCheckpoint;
  };

  void handle(const StartOrder &Order);
  void handle(const StopOrder &Order);
  void handle(const RenewalReply &Reply);
  void poll();
  void stopLeftovers();
  void startUnconfirmed();
  void refreshFromWorker();
  void applyWorkerState(const WorkerTask &Reported);
  void suspendExpired();
  void sendDueRenewals();
  void stopOnWorker(const TaskId &Task, AttemptNumber Attempt);
  void retryStops();
  void requestCheckpoint(const TaskId &Task);
  void renewOnWorker(const TaskId &Task);
  StartReply acceptedReply(const StartOrder &Order) const;
  void schedule();

  const Clock &Time;
  Options Config;
  std::unique_ptr<Worker> TaskWorker;
  Send SendToOwner;
  CommitmentTable Commitments;
  std::map<TaskId, RunningAttempt> Tasks;
  /// Stops that the worker has not confirmed yet.
  std::set<TaskAttempt> PendingStops;
  TimePoint NextRenewal{};
  /// Whether the tasks of earlier agent processes have been stopped. Until then
  /// orders are dropped, because a refusal would promise that nothing runs
  /// here.
  bool LeftoversStopped = false;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Inbox<TaskInput>> Orders;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_TASKDUTY_H
