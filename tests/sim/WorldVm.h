#ifndef DAISYSPOOL_TESTS_SIM_WORLDVM_H
#define DAISYSPOOL_TESTS_SIM_WORLDVM_H

#include "sim/World.h"

namespace daisyspool::sim {

inline constexpr Duration TaskLease = Millis(10'000);
inline constexpr Resources VmCapacity{MilliCores(2000), MebiBytes(1000),
                                      Accelerators(0)};

inline void World::startAgent(std::size_t Index) {
  Node &Self = node(Index);
  VmNode &Vm = VmNodes[Index - Entries];
  Self.Up = true;
  const std::uint64_t Life = ++Self.Life;
  Vm.Id = VmId("vm" + std::to_string(Index - Entries));
  Vm.Process = Vm.Process.next();
  Vm.Commitments = std::make_unique<CommitmentTable>(Vm.Id, Vm.Process,
                                                     VmCapacity, TaskLease);
  RequestLedgerSettings Settings;
  Settings.Slots = 2;
  Settings.Retention = Millis(12'000);
  Vm.Ledger = std::make_unique<RequestLedger>(Vm.Id, Vm.Process, Settings);

  std::vector<AdoptedAttempt> Adopted;
  for (const auto &[Task, Held] : Vm.Worker)
    Adopted.push_back({Held.Shard, Task, Held.Attempt, Held.Need, Held.Expiry});
  Vm.Commitments->adopt(Adopted);
  scheduleTick(Index, Life);
}

inline void World::tickAgent(std::size_t Index) {
  VmNode &Vm = VmNodes[Index - Entries];
  const Clock &Time = node(Index).Time;
  Vm.Commitments->expire(Time.now());
  Vm.Ledger->expire(Time.now());
  runTasks(Vm, Time);

  if (++Vm.Ticks % 8 != 0)
    return;
  for (std::uint64_t Shard = 0; Shard < Oracle::ShardCount; ++Shard)
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      send(Index, Entry, Vm.Commitments->renewal(ShardId(Shard), Time.now()));
}

inline void World::runTasks(VmNode &Vm, const Clock &Time) {
  for (auto Each = Vm.Worker.begin(); Each != Vm.Worker.end();) {
    WorkerTask &Task = Each->second;
    if (Time.now() >= Task.Expiry) {
      ++Each;
      continue;
    }
    Task.Ran += Millis(250);
    const bool Long = Task.Command.starts_with("long");
    if (Task.Ran < (Long ? Millis(25'000) : Millis(2000))) {
      ++Each;
      continue;
    }
    const bool Fails = Task.Command.starts_with("fails");
    Vm.Commitments->ended(Each->first, Task.Attempt,
                          Fails ? HeldState::Failed : HeldState::Finished,
                          Fails);
    Each = Vm.Worker.erase(Each);
  }
}

inline void World::onAgent(std::size_t From, std::size_t Self,
                           const Payload &Message) {
  VmNode &Vm = VmNodes[Self - Entries];
  const Clock &Time = node(Self).Time;
  Vm.Commitments->expire(Time.now());

  if (const auto *Start = std::get_if<StartOrder>(&Message))
    return onStart(From, Vm, Time, *Start);
  if (const auto *Reply = std::get_if<RenewalReply>(&Message))
    return onReply(Self, *Reply);
  if (const auto *Run = std::get_if<RunOrder>(&Message))
    return onRun(From, Self, *Run);
  if (const auto *Query = std::get_if<QueryOrder>(&Message))
    return send(Self, From, Vm.Ledger->query(*Query, Time.now()));
  if (const auto *Stop = std::get_if<StopOrder>(&Message)) {
    const bool Accepted = Vm.Commitments->stop(*Stop, Time.now());
    Checks.onOwnerCommand(Vm.Id, Vm.Process, Stop->Shard, Stop->OwnerEpoch,
                          Accepted);
    if (!Accepted)
      return;
    auto Held = Vm.Worker.find(Stop->Task);
    if (Held != Vm.Worker.end() && Held->second.Attempt <= Stop->Attempt)
      Vm.Worker.erase(Held);
    send(Self, From, StopReply{Stop->Shard, Stop->Task, Stop->Attempt, Vm.Id});
  }
}

inline void World::onStart(std::size_t From, VmNode &Vm, const Clock &Time,
                           const StartOrder &Order) {
  const auto Result = Vm.Commitments->commit(Order, Time.now());
  const auto *Started = std::get_if<Committed>(&Result);
  Checks.onOwnerCommand(Vm.Id, Vm.Process, Order.Shard, Order.OwnerEpoch,
                        Started != nullptr);
  if (Started && !Started->Repeat) {
    Checks.onStart(Order);
    Vm.Worker[Order.Task] = {Order.Shard,   Order.Attempt,   Order.Need,
                             Order.Command, Started->Expiry, {}};
  }
  send(vmIndex(Vm.Id), From,
       StartReply{Order.Shard, Order.Task, Order.Attempt, Vm.Id,
                  Started != nullptr,
                  Started ? Refusal::NoRoom : std::get<Refusal>(Result)});
}

inline void World::onReply(std::size_t Self, const RenewalReply &Reply) {
  VmNode &Vm = VmNodes[Self - Entries];
  const LeaseChanges Changes =
      Vm.Commitments->onReply(Reply, node(Self).Time.now());
  Checks.onOwnerCommand(Vm.Id, Vm.Process, Reply.Shard, Reply.OwnerEpoch,
                        !Changes.Renewed.empty() || !Changes.Stopped.empty());
  for (const TaskId &Task : Changes.Stopped)
    Vm.Worker.erase(Task);
  for (const TaskId &Task : Changes.Renewed)
    Vm.Worker.at(Task).Expiry = *Vm.Commitments->expiry(Task);
  for (const TaskId &Task : Changes.ToCheckpoint)
    storeCheckpoint(Self, Task);
}

inline void World::storeCheckpoint(std::size_t Self, const TaskId &Task) {
  const AttemptNumber Attempt = VmNodes[Self - Entries].Worker.at(Task).Attempt;
  const std::uint64_t Life = node(Self).Life;
  const CheckpointId Id(Task.str() + '#' + std::to_string(Attempt.value()) +
                        '@' + std::to_string(EventNumber));
  schedule(Now + Millis(100 + Chance.below(900)), [this, Self, Task, Attempt,
                                                   Id, Life] {
    if (node(Self).Up && node(Self).Life == Life && !paused(Self))
      VmNodes[Self - Entries].Commitments->checkpointed(Task, Attempt, Id);
  });
}

inline void World::onRun(std::size_t From, std::size_t Self,
                         const RunOrder &Order) {
  VmNode &Vm = VmNodes[Self - Entries];
  if (auto Report = Vm.Ledger->admit(Order, node(Self).Time.now()))
    return send(Self, From, *Report);

  Checks.onExecuted(Order.Request);
  const std::uint64_t Life = node(Self).Life;
  schedule(Now + Millis(50 + Chance.below(3000)),
           [this, From, Self, Order, Life] {
             if (!node(Self).Up || node(Self).Life != Life)
               return;
             send(Self, From,
                  VmNodes[Self - Entries].Ledger->finish(
                      Order.Request, RunState::Answered, 200,
                      expectedAnswer(Order.Request.str(), Order.Body),
                      node(Self).Time.now()));
           });
}

inline void World::check() {
  std::map<TaskId, std::vector<AttemptNumber>> Executing;
  for (std::size_t Index = 0; Index < Vms; ++Index) {
    const VmNode &Vm = VmNodes[Index];
    Resources Sum;
    for (const auto &[Task, Held] : Vm.Worker) {
      Sum = Sum + Held.Need;
      if (Now >= Vm.VmPausedUntil &&
          node(Entries + Index).Time.now() < Held.Expiry)
        Executing[Task].push_back(Held.Attempt);
    }
    Checks.onCommitted(Vm.Id, Sum, VmCapacity);
  }
  Checks.onExecuting(Executing);
}

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_WORLDVM_H
