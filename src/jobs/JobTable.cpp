#include "daisyspool/jobs/JobTable.h"

#include <cassert>

namespace daisyspool {

namespace {

/// Whether an attempt that ended for this reason counts towards MaxAttempts.
/// Evictions are limited by MaxEvictions. The loss of an attempt that was never
/// reported as running is no evidence against the task.
bool countsAsFailure(const TaskState &State, EndReason Reason) {
  return Reason == EndReason::Failed ||
         (Reason == EndReason::Lost && State.Phase == TaskPhase::Running);
}

} // namespace

TaskId taskOf(const JobId &Job, std::size_t Index) {
  return TaskId(Job.str() + '/' + std::to_string(Index));
}

void JobTable::apply(const Event &Change) {
  std::visit([this](const auto &Payload) { applyEvent(Payload); }, Change);
}

void JobTable::updateIndexes(const TaskId &Task, const TaskState &State) {
  Waiting.erase(Task);
  Live.erase(Task);
  if (State.Phase == TaskPhase::Waiting)
    Waiting.insert(Task);
  else if (State.isLive())
    Live.insert(Task);
}

TaskState &JobTable::liveTask(const TaskId &Task, AttemptNumber Attempt) {
  if (!isCurrent(Task, Attempt))
    throw InvalidEvent("attempt " + std::to_string(Attempt.value()) + " of " +
                       Task.str() + " is not live");

  return Tasks.at(Task);
}

void JobTable::applyEvent(const JobSubmitted &Change) {
  if (!Jobs.emplace(Change.Job, JobState{Change, false, false}).second)
    throw InvalidEvent("job " + Change.Job.str() + " was already submitted");

  for (std::size_t Index = 0; Index < Change.Tasks.size(); ++Index) {
    TaskState State;
    State.Job = Change.Job;
    State.Spec = Change.Tasks[Index];
    const TaskId Task = taskOf(Change.Job, Index);
    updateIndexes(Task, State);
    Tasks[Task] = std::move(State);
  }
}

void JobTable::applyEvent(const AttemptIntended &Change) {
  auto Found = Tasks.find(Change.Task);
  if (Found == Tasks.end() || Found->second.Phase != TaskPhase::Waiting ||
      Change.Attempt != Found->second.Attempt.next())
    throw InvalidEvent("task " + Change.Task.str() + " cannot start attempt " +
                       std::to_string(Change.Attempt.value()));

  TaskState &State = Found->second;
  State.Phase = TaskPhase::Intended;
  State.Attempt = Change.Attempt;
  State.Vm = Change.Vm;
  State.Agent = Change.Agent;
  State.CheckpointNumber = 0;
  updateIndexes(Change.Task, State);
}

void JobTable::applyEvent(const AttemptRunning &Change) {
  liveTask(Change.Task, Change.Attempt).Phase = TaskPhase::Running;
}

void JobTable::applyEvent(const CheckpointTaken &Change) {
  TaskState &State = liveTask(Change.Task, Change.Attempt);
  if (Change.Number <= State.CheckpointNumber)
    throw InvalidEvent("checkpoint of " + Change.Task.str() +
                       " is not newer than the recorded one");

  State.Checkpoint = Change.Checkpoint;
  State.CheckpointNumber = Change.Number;
}

void JobTable::applyEvent(const AttemptEnded &Change) {
  TaskState &State = liveTask(Change.Task, Change.Attempt);
  if (countsAsFailure(State, Change.Reason))
    ++State.Failures;
  if (Change.Reason == EndReason::Evicted)
    ++State.Evictions;
  State.Phase = TaskPhase::Waiting;
  updateIndexes(Change.Task, State);
}

void JobTable::applyEvent(const TaskEnded &Change) {
  auto Found = Tasks.find(Change.Task);
  if (Found == Tasks.end() || Found->second.Phase != TaskPhase::Waiting)
    throw InvalidEvent("task " + Change.Task.str() +
                       " is not waiting and cannot end");

  Found->second.Phase = TaskPhase::Ended;
  Found->second.Outcome = Change.Outcome;
  updateIndexes(Change.Task, Found->second);
}

void JobTable::applyEvent(const JobCancelled &Change) {
  auto Found = Jobs.find(Change.Job);
  if (Found == Jobs.end())
    throw InvalidEvent("job " + Change.Job.str() + " is unknown");

  Found->second.Cancelled = true;
}

void JobTable::applyEvent(const RequestClaimed &Change) {
  if (!Requests.emplace(Change.Request, RequestState{Change, false, {}, false})
           .second)
    throw InvalidEvent("request " + Change.Request.str() + " is claimed twice");

  Unsettled.insert(Change.Request);
}

void JobTable::applyEvent(const RequestEnded &Change) {
  auto Found = Requests.find(Change.Request);
  if (Found == Requests.end() || Found->second.Settled)
    throw InvalidEvent("request " + Change.Request.str() +
                       " is unknown or already settled");

  Found->second.Settled = true;
  Found->second.End = Change;
  Unsettled.erase(Change.Request);
}

void JobTable::applyEvent(const RequestsServed &) {
  // Served requests are idempotent: the log records them, but they have no
  // state.
}

void JobTable::applyEvent(const Retired &Change) {
  for (const JobId &Job : Change.Jobs) {
    if (!hasEnded(Job))
      throw InvalidEvent("job " + Job.str() +
                         " is unknown or has not ended and cannot be retired");

    JobState &State = Jobs.at(Job);
    for (std::size_t Index = 0; Index < State.Spec.Tasks.size(); ++Index)
      Tasks.erase(taskOf(Job, Index));
    State.Spec.Tasks.clear();
    State.Retired = true;
  }

  for (const RequestId &Request : Change.Requests) {
    auto Found = Requests.find(Request);
    if (Found == Requests.end() || !Found->second.Settled)
      throw InvalidEvent("request " + Request.str() +
                         " is not settled and cannot be retired");

    // The answer is dropped, but a late repeat must not run the request again.
    Found->second.End = {Request, RequestOutcome::Unknown, 0, {}};
    Found->second.Retired = true;
  }
}

bool JobTable::hasEnded(const JobId &Job) const {
  auto Found = Jobs.find(Job);
  if (Found == Jobs.end())
    return false;

  for (std::size_t Index = 0; Index < Found->second.Spec.Tasks.size(); ++Index)
    if (Tasks.at(taskOf(Job, Index)).Phase != TaskPhase::Ended)
      return false;
  return true;
}

Retired JobTable::retirable() const {
  Retired Result;
  for (const auto &[Job, State] : Jobs)
    if (!State.Retired && hasEnded(Job))
      Result.Jobs.push_back(Job);
  for (const auto &[Request, State] : Requests)
    if (!State.Retired && State.Settled)
      Result.Requests.push_back(Request);
  return Result;
}

Decision JobTable::submit(const JobSubmitted &Job) const {
  const JobState *Known = job(Job.Job);
  if (!Known)
    return Proceed{{Job}};
  if (Known->Spec.Caller != Job.Caller ||
      Known->Spec.BodyDigest != Job.BodyDigest)
    return Conflict{};
  return AlreadyDone{};
}

Decision JobTable::cancel(const JobId &Job, const CallerId &By) const {
  const JobState *Known = job(Job);
  if (!Known)
    return NotFound{};
  if (Known->Spec.Caller != By)
    return Conflict{};
  if (Known->Cancelled)
    return AlreadyDone{};

  Proceed Result{{JobCancelled{Job, By}}};
  bool AllEnded = true;
  for (std::size_t Index = 0; Index < Known->Spec.Tasks.size(); ++Index) {
    const TaskId Task = taskOf(Job, Index);
    const TaskPhase Phase = Tasks.at(Task).Phase;
    AllEnded = AllEnded && Phase == TaskPhase::Ended;
    if (Phase == TaskPhase::Waiting)
      Result.Events.emplace_back(TaskEnded{Task, TaskOutcome::Cancelled});
  }
  if (AllEnded)
    return AlreadyDone{};
  return Result;
}

std::vector<Event> JobTable::startAttempt(const TaskId &Task, const VmId &Vm,
                                          Incarnation Agent) const {
  const TaskState *State = task(Task);
  assert(State && State->Phase == TaskPhase::Waiting);
  return {AttemptIntended{Task, State->Attempt.next(), Vm, Agent,
                          State->Checkpoint}};
}

std::optional<TaskOutcome> JobTable::outcomeAfter(const TaskState &State,
                                                  EndReason Reason) const {
  if (Reason == EndReason::Finished)
    return TaskOutcome::Succeeded;

  const JobState &OwningJob = Jobs.at(State.Job);
  if (OwningJob.Cancelled)
    return TaskOutcome::Cancelled;

  const std::uint32_t Failures =
      State.Failures + (countsAsFailure(State, Reason) ? 1 : 0);
  if (Failures >= OwningJob.Spec.MaxAttempts)
    return TaskOutcome::AttemptsExhausted;
  return std::nullopt;
}

std::vector<Event> JobTable::endAttempt(const TaskId &Task,
                                        AttemptNumber Attempt,
                                        EndReason Reason) const {
  if (!isCurrent(Task, Attempt))
    return {};

  std::vector<Event> Result{AttemptEnded{Task, Attempt, Reason}};
  if (std::optional<TaskOutcome> Outcome = outcomeAfter(Tasks.at(Task), Reason))
    Result.emplace_back(TaskEnded{Task, *Outcome});
  return Result;
}

std::vector<Event> JobTable::endUnrunnable(const TaskId &Task) const {
  assert(Waiting.count(Task) != 0);
  return {TaskEnded{Task, TaskOutcome::Unrunnable}};
}

bool JobTable::isCurrent(const TaskId &Task, AttemptNumber Attempt) const {
  const TaskState *State = task(Task);
  return State && State->isLive() && State->Attempt == Attempt;
}

bool JobTable::mayEvict(const TaskId &Task) const {
  const TaskState *State = task(Task);
  return State && State->Phase == TaskPhase::Running &&
         State->Evictions < MaxEvictions && !Jobs.at(State->Job).Cancelled;
}

Decision JobTable::claim(const RequestClaimed &Claim) const {
  const RequestState *Known = request(Claim.Request);
  if (!Known)
    return Proceed{{Claim}};
  if (Known->Claim.Caller != Claim.Caller ||
      Known->Claim.Service != Claim.Service ||
      Known->Claim.BodyDigest != Claim.BodyDigest)
    return Conflict{};
  return AlreadyDone{};
}

std::vector<Event> JobTable::settle(const RequestEnded &End) const {
  if (Unsettled.count(End.Request) == 0)
    return {};

  return {End};
}

const TaskState *JobTable::task(const TaskId &Task) const {
  auto Found = Tasks.find(Task);
  return Found == Tasks.end() ? nullptr : &Found->second;
}

const JobState *JobTable::job(const JobId &Job) const {
  auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const RequestState *JobTable::request(const RequestId &Request) const {
  auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

std::string JobTable::snapshot() const {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(3).pack(Jobs).pack(Tasks).pack(Requests);
  return {Buffer.data(), Buffer.size()};
}

void JobTable::restore(const std::string &Snapshot) {
  JobTable Restored;
  try {
    auto Handle = msgpack::unpack(Snapshot.data(), Snapshot.size());
    auto Parts = Handle.get().as<std::vector<msgpack::object>>();
    Parts.at(0).convert(Restored.Jobs);
    Parts.at(1).convert(Restored.Tasks);
    Parts.at(2).convert(Restored.Requests);
  } catch (const std::exception &Cause) {
    throw InvalidEvent(std::string("snapshot: ") + Cause.what());
  }

  for (const auto &[Task, State] : Restored.Tasks)
    Restored.updateIndexes(Task, State);
  for (const auto &[Request, State] : Restored.Requests)
    if (!State.Settled)
      Restored.Unsettled.insert(Request);
  *this = std::move(Restored);
}

} // namespace daisyspool
