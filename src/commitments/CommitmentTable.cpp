#include "daisyspool/commitments/CommitmentTable.h"

#include "daisyspool/journal/Lease.h"

#include <algorithm>
#include <cassert>

namespace daisyspool {

namespace {

bool isNegative(const Resources &Need) {
  return Need.Cpu < MilliCores(0) || Need.Memory < MebiBytes(0) ||
         Need.Accelerator < Accelerators(0);
}

} // namespace

CommitmentTable::CommitmentTable(VmId Vm, Incarnation Self, Resources Capacity,
                                 Duration TaskLease)
    : Vm(std::move(Vm)), Self(Self), Capacity(Capacity), TaskLease(TaskLease) {}

void CommitmentTable::adopt(const std::vector<AdoptedAttempt> &Leftovers) {
  assert(Attempts.empty());
  for (const AdoptedAttempt &Adopted : Leftovers) {
    Held Entry;
    Entry.Shard = Adopted.Shard;
    Entry.Attempt = Adopted.Attempt;
    Entry.Need = Adopted.Need;
    Entry.Expiry = Adopted.Expiry;
    Attempts[Adopted.Task] = Entry;
    TotalCommitted = TotalCommitted + Adopted.Need;
  }
}

bool CommitmentTable::acceptEpoch(ShardId Shard, Epoch OwnerEpoch) {
  Epoch &Known = NewestEpochs[Shard];
  if (OwnerEpoch < Known)
    return false;

  Known = OwnerEpoch;
  return true;
}

bool CommitmentTable::hasTombstone(const StartOrder &Order) const {
  auto Found = Tombstones.find(Order.Task);
  return Found != Tombstones.end() && Order.Attempt <= Found->second.Last;
}

std::optional<Refusal> CommitmentTable::findRefusal(const StartOrder &Order,
                                                    TimePoint Now) const {
  if (hasTombstone(Order))
    return Refusal::AttemptOver;
  if (Order.Grant.Agent != Self || Order.Grant.Vm != Vm)
    return Refusal::OtherIncarnation;

  const TimePoint Stamp(Order.Grant.Stamp);
  if (Stamp > Now || Now >= Stamp + holderTime(TaskLease))
    return Refusal::StaleGrant;

  Resources Free = Capacity - TotalCommitted;
  auto Older = Attempts.find(Order.Task);
  if (Older != Attempts.end() && isLive(Older->second))
    Free = Free + Older->second.Need;
  if (isNegative(Order.Need) || !Order.Need.fitsIn(Free))
    return Refusal::NoRoom;
  return std::nullopt;
}

std::variant<Committed, Refusal>
CommitmentTable::commit(const StartOrder &Order, TimePoint Now) {
  if (!acceptEpoch(Order.Shard, Order.OwnerEpoch))
    return Refusal::StaleEpoch;

  auto Existing = Attempts.find(Order.Task);
  if (Existing != Attempts.end()) {
    if (Existing->second.Attempt == Order.Attempt)
      return Committed{Existing->second.Expiry, true, std::nullopt};
    if (Existing->second.Attempt > Order.Attempt)
      return Refusal::AttemptOver;
  }

  if (std::optional<Refusal> Reason = findRefusal(Order, Now)) {
    // A repeat of a refused order must not start the attempt when there is
    // room, because the owner has placed the task elsewhere by then.
    addTombstone(Order.Task, Order.Attempt, Now);
    return *Reason;
  }

  Committed Result;
  Result.Expiry = TimePoint(Order.Grant.Stamp) + holderTime(TaskLease);
  if (Existing != Attempts.end()) {
    Result.Replaced = Existing->second.Attempt;
    release(Order.Task, Now);
  }

  Held Entry;
  Entry.Shard = Order.Shard;
  Entry.Attempt = Order.Attempt;
  Entry.Need = Order.Need;
  Entry.Expiry = Result.Expiry;
  Attempts[Order.Task] = Entry;
  TotalCommitted = TotalCommitted + Order.Need;
  return Result;
}

void CommitmentTable::addTombstone(const TaskId &Task, AttemptNumber Attempt,
                                   TimePoint Now) {
  Tombstone &Entry = Tombstones[Task];
  Entry.Last = std::max(Entry.Last, Attempt);
  Entry.Until = Now + TaskLease;
}

void CommitmentTable::release(const TaskId &Task, TimePoint Now) {
  auto Found = Attempts.find(Task);
  if (isLive(Found->second))
    TotalCommitted = TotalCommitted - Found->second.Need;
  addTombstone(Task, Found->second.Attempt, Now);
  Attempts.erase(Found);
}

bool CommitmentTable::stop(const StopOrder &Order, TimePoint Now) {
  if (!acceptEpoch(Order.Shard, Order.OwnerEpoch))
    return false;

  auto Found = Attempts.find(Order.Task);
  if (Found != Attempts.end() && Found->second.Attempt <= Order.Attempt)
    release(Order.Task, Now);
  addTombstone(Order.Task, Order.Attempt, Now);
  return true;
}

void CommitmentTable::ended(const TaskId &Task, AttemptNumber Attempt,
                            HeldState State, int ExitCode) {
  assert(State == HeldState::Finished || State == HeldState::Failed);
  auto Found = Attempts.find(Task);
  if (Found == Attempts.end() || Found->second.Attempt != Attempt ||
      !isLive(Found->second))
    return;

  TotalCommitted = TotalCommitted - Found->second.Need;
  Found->second.State = State;
  Found->second.ExitCode = ExitCode;
}

void CommitmentTable::checkpointed(const TaskId &Task, AttemptNumber Attempt,
                                   CheckpointId Checkpoint) {
  auto Found = Attempts.find(Task);
  if (Found == Attempts.end() || Found->second.Attempt != Attempt)
    return;

  Found->second.Checkpoint = std::move(Checkpoint);
  ++Found->second.CheckpointNumber;
}

std::vector<TaskId> CommitmentTable::expire(TimePoint Now) {
  std::vector<TaskId> Suspended;
  for (auto &[Task, Entry] : Attempts) {
    if (Entry.State != HeldState::Running || Now < Entry.Expiry)
      continue;

    Entry.State = HeldState::Suspended;
    Suspended.push_back(Task);
  }

  std::erase_if(Tombstones,
                [Now](const auto &Each) { return Now >= Each.second.Until; });
  return Suspended;
}

RenewalRequest CommitmentTable::renewal(ShardId Shard, TimePoint Now) const {
  RenewalRequest Request{Shard, {Vm, Self, Now.time_since_epoch()}, {}};
  for (const auto &[Task, Entry] : Attempts)
    if (Entry.Shard == Shard)
      Request.Held.push_back({Task, Entry.Attempt, Entry.State, Entry.ExitCode,
                              Entry.Checkpoint, Entry.CheckpointNumber});
  return Request;
}

LeaseChanges CommitmentTable::onReply(const RenewalReply &Reply,
                                      TimePoint Now) {
  LeaseChanges Changes;
  if (Reply.Sender.Agent != Self || Reply.Sender.Vm != Vm ||
      !acceptEpoch(Reply.Shard, Reply.OwnerEpoch))
    return Changes;

  // The lease counts from the sending of the request, so that a late reply
  // does not extend it beyond the owner's wait.
  const TimePoint LeaseEnd =
      TimePoint(Reply.Sender.Stamp) + holderTime(TaskLease);
  for (const AttemptDecision &Decided : Reply.Decisions)
    applyDecision(Decided, LeaseEnd, Now, Changes);
  return Changes;
}

void CommitmentTable::applyDecision(const AttemptDecision &Decided,
                                    TimePoint LeaseEnd, TimePoint Now,
                                    LeaseChanges &Changes) {
  auto Found = Attempts.find(Decided.Task);
  if (Found == Attempts.end() || Found->second.Attempt != Decided.Attempt)
    return;

  if (Decided.Decision == RenewalDecision::Stop) {
    release(Decided.Task, Now);
    Changes.Stopped.push_back(Decided.Task);
    return;
  }

  Held &Entry = Found->second;
  if (!isLive(Entry) || LeaseEnd <= Now)
    return;

  Entry.Expiry = std::max(Entry.Expiry, LeaseEnd);
  Entry.State = HeldState::Running;
  Changes.Renewed.push_back(Decided.Task);
  if (Decided.Decision == RenewalDecision::Checkpoint)
    Changes.ToCheckpoint.push_back(Decided.Task);
}

std::optional<TimePoint> CommitmentTable::expiry(const TaskId &Task) const {
  auto Found = Attempts.find(Task);
  if (Found == Attempts.end() || !isLive(Found->second))
    return std::nullopt;

  return Found->second.Expiry;
}

} // namespace daisyspool
