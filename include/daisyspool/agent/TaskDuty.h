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

/// What the duty receives from owners of shards, by way of the links.
using TaskInput = std::variant<StartOrder, StopOrder, RenewalReply>;

/// What the duty sends to the owner of a shard.
using TaskOutput = std::variant<StartReply, StopReply, RenewalRequest>;

/// Runs batch tasks on this VM as their shards' owners order.
///
/// The CommitmentTable decides, the Worker acts. Calls of the worker block, so
/// the duty has a thread of its own. A task whose lease ends is suspended; the
/// worker does the same by itself should this process be dead or paused.
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
    Millis Poll{250};
  };

  /// Called on the duty's thread.
  using Send = std::function<void(TaskOutput)>;

  TaskDuty(boost::asio::io_context &Io, const Clock &Time, Options Config,
           std::unique_ptr<Worker> Machine, Send ToOwner);
  TaskDuty(const TaskDuty &) = delete;
  TaskDuty &operator=(const TaskDuty &) = delete;

  /// Where the links put owners' messages.
  const std::shared_ptr<Inbox<TaskInput>> &input() const { return Orders; }

private:
  /// One attempt that the worker was told to run.
  struct Running {
    StartOrder Order;
    bool Confirmed = false;
    bool Suspended = false;
    std::uint64_t Checkpoints = 0;
    CheckpointId Requested;
    CheckpointId Reported;
  };

  void handle(const StartOrder &Order);
  void handle(const StopOrder &Order);
  void handle(const RenewalReply &Reply);
  void poll();
  void clearLeftovers();
  void runUnconfirmed();
  void refreshFromWorker();
  void note(const WorkerTask &Known);
  void suspendExpired();
  void renewDue();
  void stopOnWorker(const TaskId &Task, AttemptNumber Attempt);
  void retryStops();
  void requestCheckpoint(const TaskId &Task);
  void continueTask(const TaskId &Task);
  StartReply replyTo(const StartOrder &Order) const;
  void schedule();

  const Clock &Time;
  Options Config;
  std::unique_ptr<Worker> Machine;
  Send ToOwner;
  CommitmentTable Book;
  std::map<TaskId, Running> Tasks;
  /// Stops that the worker has not confirmed yet.
  std::set<TaskAttempt> PendingStops;
  TimePoint NextRenewal{};
  /// Whether the worker runs nothing of an earlier agent process. Until then
  /// orders are dropped, as a refusal would promise that nothing runs here.
  bool Ready = false;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Inbox<TaskInput>> Orders;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_TASKDUTY_H
