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
                   Options Config, std::unique_ptr<Worker> TaskWorker,
                   Send SendToOwner)
    : Time(Time), Config(std::move(Config)), TaskWorker(std::move(TaskWorker)),
      SendToOwner(std::move(SendToOwner)),
      Commitments(this->Config.Vm, this->Config.Number, this->Config.Capacity,
                  this->Config.TaskLease),
      Timer(Io),
      Orders(std::make_shared<Inbox<TaskInput>>(
          Io, OrderRingCapacity, [this](TaskInput Order) {
            if (LeftoversStopped)
              std::visit([this](const auto &Each) { handle(Each); }, Order);
          })) {
  schedule();
}

StartReply TaskDuty::acceptedReply(const StartOrder &Order) const {
  return {Order.Shard, Order.Task, Order.Attempt, Config.Vm, true, {}};
}

void TaskDuty::handle(const StartOrder &Order) {
  auto Result = Commitments.commit(Order, Time.now());
  if (const auto *Reason = std::get_if<Refusal>(&Result)) {
    StartReply Answer = acceptedReply(Order);
    Answer.Accepted = false;
    Answer.Reason = *Reason;
    return SendToOwner(Answer);
  }

  const auto &Accepted = std::get<Committed>(Result);
  if (Accepted.Replaced)
    stopOnWorker(Order.Task, *Accepted.Replaced);
  if (!Accepted.Repeat)
    Tasks[Order.Task] = {Order, false, false, 0, {}, {}};
  startUnconfirmed();
  SendToOwner(acceptedReply(Order));
}

/// Starts the attempts that the worker has not confirmed. Repeating the call
/// for the same attempt has no further effect.
void TaskDuty::startUnconfirmed() {
  for (auto &[Task, Each] : Tasks) {
    auto Expiry = Commitments.expiry(Task);
    bool StopPending =
        PendingStops.lower_bound({Task, AttemptNumber(0)}) !=
            PendingStops.end() &&
        PendingStops.lower_bound({Task, AttemptNumber(0)})->Task == Task;
    if (Each.Confirmed || StopPending || !Expiry || *Expiry <= Time.now())
      continue;

    const StartOrder &Order = Each.Order;
    TaskStart Start{{Order.Task, Order.Attempt}, Order.Command, Order.Need, {}};
    if (!Order.ResumeFrom.empty())
      Start.ResumeFrom = Order.ResumeFrom;
    try {
      TaskWorker->run(Start, *Expiry - Time.now());
      Each.Confirmed = true;
    } catch (const WorkerRefused &Problem) {
      logWorkerProblem("run", Task, Problem);
      Each.Confirmed = true;
      Commitments.ended(Task, Order.Attempt, HeldState::Failed, -1);
    } catch (const Error &Problem) {
      logWorkerProblem("run", Task, Problem);
    }
  }
}

void TaskDuty::handle(const StopOrder &Order) {
  if (!Commitments.stop(Order, Time.now()))
    return;

  stopOnWorker(Order.Task, Order.Attempt);
  if (!PendingStops.contains({Order.Task, Order.Attempt}))
    SendToOwner(StopReply{Order.Shard, Order.Task, Order.Attempt, Config.Vm});
}

void TaskDuty::stopOnWorker(const TaskId &Task, AttemptNumber Attempt) {
  TaskAttempt Stopped{Task, Attempt};
  auto Known = Tasks.find(Task);
  if (Known != Tasks.end() && Known->second.Order.Attempt == Attempt)
    Tasks.erase(Known);
  try {
    TaskWorker->stop(Stopped);
    TaskWorker->acknowledge(Stopped);
    PendingStops.erase(Stopped);
  } catch (const Error &Problem) {
    // The owner repeats its order and gets the reply once the stop is
    // confirmed.
    logWorkerProblem("stop", Task, Problem);
    PendingStops.insert(Stopped);
  }
}

void TaskDuty::retryStops() {
  auto Unconfirmed = PendingStops;
  for (const TaskAttempt &Stopped : Unconfirmed)
    stopOnWorker(Stopped.Task, Stopped.Attempt);
}

void TaskDuty::handle(const RenewalReply &Reply) {
  LeaseChanges Changes = Commitments.onReply(Reply, Time.now());
  for (const TaskId &Task : Changes.Stopped) {
    auto Known = Tasks.find(Task);
    if (Known != Tasks.end())
      stopOnWorker(Task, Known->second.Order.Attempt);
  }
  for (const TaskId &Task : Changes.Renewed)
    renewOnWorker(Task);
  for (const TaskId &Task : Changes.ToCheckpoint)
    requestCheckpoint(Task);
}

void TaskDuty::renewOnWorker(const TaskId &Task) {
  auto Known = Tasks.find(Task);
  auto Expiry = Commitments.expiry(Task);
  if (Known == Tasks.end() || !Expiry || !Known->second.Confirmed)
    return;

  TaskAttempt Renewed{Task, Known->second.Order.Attempt};
  try {
    TaskWorker->renew(Renewed, *Expiry - Time.now());
    if (std::exchange(Known->second.Suspended, false))
      TaskWorker->throttle(Renewed, FullShare);
  } catch (const Error &Problem) {
    logWorkerProblem("renew", Task, Problem);
  }
}

void TaskDuty::requestCheckpoint(const TaskId &Task) {
  auto Known = Tasks.find(Task);
  if (Known == Tasks.end() || !Known->second.RequestedCheckpoint.empty())
    return;

  RunningAttempt &Attempt = Known->second;
  CheckpointId Name("checkpoint/" + Task.str() + "/" +
                    std::to_string(Attempt.Order.Attempt.value()) + "/" +
                    std::to_string(++Attempt.CheckpointCount));
  try {
    TaskWorker->checkpoint({Task, Attempt.Order.Attempt}, Name);
    Attempt.RequestedCheckpoint = Name;
  } catch (const Error &Problem) {
    logWorkerProblem("checkpoint", Task, Problem);
  }
}

void TaskDuty::refreshFromWorker() {
  try {
    for (const WorkerTask &Reported : TaskWorker->tasks())
      applyWorkerState(Reported);
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "worker_problem")
        .with("operation", "tasks")
        .with("detail", Problem.what());
  }
}

void TaskDuty::applyWorkerState(const WorkerTask &Reported) {
  auto Found = Tasks.find(Reported.Id.Task);
  if (Found == Tasks.end() ||
      Found->second.Order.Attempt != Reported.Id.Attempt) {
    // Started by an earlier agent process, whose leases have expired.
    if (!Tasks.contains(Reported.Id.Task))
      stopOnWorker(Reported.Id.Task, Reported.Id.Attempt);
    return;
  }

  RunningAttempt &Attempt = Found->second;
  if (Reported.LastCheckpoint &&
      *Reported.LastCheckpoint != Attempt.ReportedCheckpoint) {
    Attempt.ReportedCheckpoint = *Reported.LastCheckpoint;
    Attempt.RequestedCheckpoint = {};
    Commitments.checkpointed(Reported.Id.Task, Reported.Id.Attempt,
                             Attempt.ReportedCheckpoint);
  }
  if (Reported.FailedCheckpoint &&
      *Reported.FailedCheckpoint == Attempt.RequestedCheckpoint)
    Attempt.RequestedCheckpoint = {};
  if (Reported.Phase == WorkerTaskPhase::Finished)
    Commitments.ended(Reported.Id.Task, Reported.Id.Attempt,
                      HeldState::Finished, Reported.ExitCode);
  if (Reported.Phase == WorkerTaskPhase::Failed)
    Commitments.ended(Reported.Id.Task, Reported.Id.Attempt, HeldState::Failed,
                      Reported.ExitCode);
}

void TaskDuty::suspendExpired() {
  for (const TaskId &Task : Commitments.expire(Time.now())) {
    auto Known = Tasks.find(Task);
    if (Known == Tasks.end())
      continue;
    Known->second.Suspended = true;
    LogEvent(LogLevel::Warning, "lease_expired").with("task", Task);
    try {
      TaskWorker->throttle({Task, Known->second.Order.Attempt}, Suspended);
    } catch (const Error &Problem) {
      // The worker suspends it by itself at the end of the lease.
      logWorkerProblem("suspend", Task, Problem);
    }
  }
}

void TaskDuty::sendDueRenewals() {
  TimePoint Now = Time.now();
  if (Now < NextRenewal)
    return;

  // Owners place work only on VMs that renew, so a VM that holds nothing
  // renews as well.
  NextRenewal = Now + Config.TaskLease / 4;
  for (std::uint64_t Each = 0; Each < Config.Shards; ++Each)
    SendToOwner(Commitments.renewal(ShardId(Each), Now));
}

void TaskDuty::stopLeftovers() {
  try {
    for (const WorkerTask &Leftover : TaskWorker->tasks()) {
      TaskWorker->stop(Leftover.Id);
      TaskWorker->acknowledge(Leftover.Id);
      LogEvent(LogLevel::Warning, "leftover_stopped")
          .with("task", Leftover.Id.Task);
    }
    LeftoversStopped = true;
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "worker_problem")
        .with("operation", "clear")
        .with("detail", Problem.what());
  }
}

void TaskDuty::poll() {
  if (!LeftoversStopped)
    return stopLeftovers();

  suspendExpired();
  retryStops();
  refreshFromWorker();
  startUnconfirmed();
  sendDueRenewals();
}

void TaskDuty::schedule() {
  Timer.expires_after(Config.PollInterval);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    poll();
    schedule();
  });
}

} // namespace daisyspool
