#include "daisyspool/agent/TaskDuty.h"

#include "daisyspool/telemetry/Log.h"

#include <optional>
#include <utility>
#include <vector>

namespace daisyspool {

namespace {

constexpr std::size_t OrderRingCapacity = 4096;

void logWorkerProblem(const char *Operation, const TaskId &Task,
                      const Error &Problem) {
  LogEvent(LogLevel::Warning, "worker_problem")
      .with("operation", Operation)
      .with("task", Task)
      .with("detail", Problem.what());
}

} // namespace

TaskDuty::TaskDuty(boost::asio::io_context &Io, const Clock &Time,
                   Options Config, std::unique_ptr<Worker> Machine,
                   Send ToOwner)
    : Time(Time), Config(std::move(Config)), Machine(std::move(Machine)),
      ToOwner(std::move(ToOwner)),
      Book(this->Config.Vm, this->Config.Number, this->Config.Capacity,
           this->Config.TaskLease),
      Timer(Io),
      Orders(std::make_shared<Inbox<TaskInput>>(
          Io, OrderRingCapacity, [this](TaskInput Order) {
            if (Ready)
              std::visit([this](const auto &Each) { handle(Each); }, Order);
          })) {
  schedule();
}

StartReply TaskDuty::replyTo(const StartOrder &Order) const {
  return {Order.Shard, Order.Task, Order.Attempt, Config.Vm, true, {}};
}

void TaskDuty::handle(const StartOrder &Order) {
  auto Result = Book.commit(Order, Time.now());
  if (const auto *Why = std::get_if<Refusal>(&Result)) {
    StartReply Answer = replyTo(Order);
    Answer.Accepted = false;
    Answer.Reason = *Why;
    return ToOwner(Answer);
  }

  const auto &Accepted = std::get<Committed>(Result);
  if (Accepted.Replaced)
    stopOnWorker(Order.Task, *Accepted.Replaced);
  if (!Accepted.Repeat)
    Tasks[Order.Task] = {Order, false, false, 0, {}, {}};
  runUnconfirmed();
  ToOwner(replyTo(Order));
}

/// Calls the worker for attempts that it has not confirmed. A repeated call of
/// the same attempt has no further effect.
void TaskDuty::runUnconfirmed() {
  for (auto &[Task, Each] : Tasks) {
    auto Expiry = Book.expiry(Task);
    bool Replaces =
        PendingStops.lower_bound({Task, AttemptNumber(0)}) !=
            PendingStops.end() &&
        PendingStops.lower_bound({Task, AttemptNumber(0)})->Task == Task;
    if (Each.Confirmed || Replaces || !Expiry || *Expiry <= Time.now())
      continue;

    const StartOrder &Order = Each.Order;
    TaskStart What{{Order.Task, Order.Attempt}, Order.Command, Order.Need, {}};
    if (!Order.ResumeFrom.empty())
      What.ResumeFrom = Order.ResumeFrom;
    try {
      Machine->run(What, *Expiry - Time.now());
      Each.Confirmed = true;
    } catch (const WorkerRefused &Problem) {
      logWorkerProblem("run", Task, Problem);
      Each.Confirmed = true;
      Book.ended(Task, Order.Attempt, HeldState::Failed, -1);
    } catch (const Error &Problem) {
      logWorkerProblem("run", Task, Problem);
    }
  }
}

void TaskDuty::handle(const StopOrder &Order) {
  if (!Book.stop(Order, Time.now()))
    return;

  stopOnWorker(Order.Task, Order.Attempt);
  if (!PendingStops.contains({Order.Task, Order.Attempt}))
    ToOwner(StopReply{Order.Shard, Order.Task, Order.Attempt, Config.Vm});
}

void TaskDuty::stopOnWorker(const TaskId &Task, AttemptNumber Attempt) {
  TaskAttempt Which{Task, Attempt};
  auto Known = Tasks.find(Task);
  if (Known != Tasks.end() && Known->second.Order.Attempt == Attempt)
    Tasks.erase(Known);
  try {
    Machine->stop(Which);
    Machine->acknowledge(Which);
    PendingStops.erase(Which);
  } catch (const Error &Problem) {
    // The owner repeats its order and gets the reply once the stop is sure.
    logWorkerProblem("stop", Task, Problem);
    PendingStops.insert(Which);
  }
}

void TaskDuty::retryStops() {
  auto Again = PendingStops;
  for (const TaskAttempt &Which : Again)
    stopOnWorker(Which.Task, Which.Attempt);
}

void TaskDuty::handle(const RenewalReply &Reply) {
  LeaseChanges Changes = Book.onReply(Reply, Time.now());
  for (const TaskId &Task : Changes.Stopped) {
    auto Known = Tasks.find(Task);
    if (Known != Tasks.end())
      stopOnWorker(Task, Known->second.Order.Attempt);
  }
  for (const TaskId &Task : Changes.Renewed)
    continueTask(Task);
  for (const TaskId &Task : Changes.ToCheckpoint)
    requestCheckpoint(Task);
}

void TaskDuty::continueTask(const TaskId &Task) {
  auto Known = Tasks.find(Task);
  auto Expiry = Book.expiry(Task);
  if (Known == Tasks.end() || !Expiry || !Known->second.Confirmed)
    return;

  TaskAttempt Which{Task, Known->second.Order.Attempt};
  try {
    Machine->renew(Which, *Expiry - Time.now());
    if (std::exchange(Known->second.Suspended, false))
      Machine->throttle(Which, FullShare);
  } catch (const Error &Problem) {
    logWorkerProblem("renew", Task, Problem);
  }
}

void TaskDuty::requestCheckpoint(const TaskId &Task) {
  auto Known = Tasks.find(Task);
  if (Known == Tasks.end() || !Known->second.Requested.empty())
    return;

  Running &Which = Known->second;
  CheckpointId Name("checkpoint/" + Task.str() + "/" +
                    std::to_string(Which.Order.Attempt.value()) + "/" +
                    std::to_string(++Which.Checkpoints));
  try {
    Machine->checkpoint({Task, Which.Order.Attempt}, Name);
    Which.Requested = Name;
  } catch (const Error &Problem) {
    logWorkerProblem("checkpoint", Task, Problem);
  }
}

void TaskDuty::refreshFromWorker() {
  try {
    for (const WorkerTask &Known : Machine->tasks())
      note(Known);
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "worker_problem")
        .with("operation", "tasks")
        .with("detail", Problem.what());
  }
}

void TaskDuty::note(const WorkerTask &Known) {
  auto Found = Tasks.find(Known.Id.Task);
  if (Found == Tasks.end() || Found->second.Order.Attempt != Known.Id.Attempt) {
    // Left behind by an earlier agent process, whose leases have lapsed.
    if (!Tasks.contains(Known.Id.Task))
      stopOnWorker(Known.Id.Task, Known.Id.Attempt);
    return;
  }

  Running &Which = Found->second;
  if (Known.LastCheckpoint && *Known.LastCheckpoint != Which.Reported) {
    Which.Reported = *Known.LastCheckpoint;
    Which.Requested = {};
    Book.checkpointed(Known.Id.Task, Known.Id.Attempt, Which.Reported);
  }
  if (Known.FailedCheckpoint && *Known.FailedCheckpoint == Which.Requested)
    Which.Requested = {};
  if (Known.Phase == WorkerTaskPhase::Finished)
    Book.ended(Known.Id.Task, Known.Id.Attempt, HeldState::Finished,
               Known.ExitCode);
  if (Known.Phase == WorkerTaskPhase::Failed)
    Book.ended(Known.Id.Task, Known.Id.Attempt, HeldState::Failed,
               Known.ExitCode);
}

void TaskDuty::suspendExpired() {
  for (const TaskId &Task : Book.expire(Time.now())) {
    auto Known = Tasks.find(Task);
    if (Known == Tasks.end())
      continue;
    Known->second.Suspended = true;
    LogEvent(LogLevel::Warning, "lease_expired").with("task", Task);
    try {
      Machine->throttle({Task, Known->second.Order.Attempt}, Suspended);
    } catch (const Error &Problem) {
      // The worker suspends it by itself at the end of the lease.
      logWorkerProblem("suspend", Task, Problem);
    }
  }
}

void TaskDuty::renewDue() {
  TimePoint Now = Time.now();
  if (Now < NextRenewal)
    return;

  // Owners place work only on VMs that renew, so a VM that holds nothing
  // renews as well.
  NextRenewal = Now + Config.TaskLease / 4;
  for (std::uint64_t Each = 0; Each < Config.Shards; ++Each)
    ToOwner(Book.renewal(ShardId(Each), Now));
}

void TaskDuty::clearLeftovers() {
  try {
    for (const WorkerTask &Known : Machine->tasks()) {
      Machine->stop(Known.Id);
      Machine->acknowledge(Known.Id);
      LogEvent(LogLevel::Warning, "leftover_stopped")
          .with("task", Known.Id.Task);
    }
    Ready = true;
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "worker_problem")
        .with("operation", "clear")
        .with("detail", Problem.what());
  }
}

void TaskDuty::poll() {
  if (!Ready)
    return clearLeftovers();

  suspendExpired();
  retryStops();
  refreshFromWorker();
  runUnconfirmed();
  renewDue();
}

void TaskDuty::schedule() {
  Timer.expires_after(Config.Poll);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    poll();
    schedule();
  });
}

} // namespace daisyspool
