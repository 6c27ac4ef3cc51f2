#ifndef DAISYSPOOL_TESTS_SIM_WORLDENTRY_H
#define DAISYSPOOL_TESTS_SIM_WORLDENTRY_H

#include "daisyspool/core/Hash.h"
#include "sim/World.h"

namespace daisyspool::sim {

inline constexpr Duration CallerTimeout = Millis(20'000);

inline World::World(std::uint64_t Seed) : Chance(Seed) {
  for (std::size_t Index = 0; Index < Nodes; ++Index)
    AllNodes.push_back(std::make_unique<Node>(Now));
  for (std::size_t Index = 0; Index < Nodes; ++Index) {
    if (isEntry(Index))
      startEntry(Index);
    else
      startAgent(Index);
  }
}

inline void World::schedule(TimePoint When, std::function<void()> Callback) {
  Events.emplace(std::pair(When, ++EventNumber), std::move(Callback));
}

inline void World::run(Duration Length) {
  const TimePoint End = Now + Length;
  while (!Events.empty() && Events.begin()->first.first <= End &&
         violation().empty()) {
    auto First = Events.extract(Events.begin());
    Now = std::max(Now, First.key().first);
    First.mapped()();
    check();
  }
  Now = End;
}

inline void World::scheduleTick(std::size_t Index, std::uint64_t Life) {
  const Duration Period = isEntry(Index) ? Millis(100) : Millis(250);
  schedule(Now + Period, [this, Index, Life] {
    Node &Self = node(Index);
    if (!Self.Up || Self.Life != Life)
      return;
    if (paused(Index)) {
      schedule(Self.PausedUntil,
               [this, Index, Life] { scheduleTick(Index, Life); });
      return;
    }
    if (isEntry(Index))
      tickEntry(Index);
    else
      tickAgent(Index);
    scheduleTick(Index, Life);
  });
}

inline void World::startEntry(std::size_t Index) {
  Node &Self = node(Index);
  EntryNode &Process = EntryNodes[Index];
  Self.Up = true;
  const std::uint64_t Life = ++Self.Life;
  Process = EntryNode();
  Process.Id =
      ProcessId("e" + std::to_string(Index) + '.' + std::to_string(Life));
  Process.Table = std::make_unique<MemoryTable>(Contents);
  Process.Objects = std::make_unique<MemoryObjects>(Contents);
  for (std::uint64_t Shard = 0; Shard < Oracle::ShardCount; ++Shard) {
    JournalSettings Settings;
    ShardOwnerSettings OwnerSettings;
    OwnerSettings.RetainEnded = Millis(15'000);
    Settings.EntriesPerSnapshot = 8;
    Process.Journals.push_back(std::make_unique<ShardJournal>(
        shardPartition(ShardId(Shard)), Process.Id, "", *Process.Table,
        *Process.Objects, Self.Time, Settings));
    Process.Owners.push_back(
        std::make_unique<ShardOwner>(ShardId(Shard), *Process.Journals.back(),
                                     Self.Time, Chance.next(), OwnerSettings));
  }
  scheduleTick(Index, Life);
}

inline void World::crash(std::size_t Index, Duration Down) {
  Node &Self = node(Index);
  if (!Self.Up)
    return;
  Self.Up = false;
  Self.PausedUntil = Now;
  schedule(Now + Down, [this, Index] {
    if (isEntry(Index))
      startEntry(Index);
    else
      startAgent(Index);
  });
}

inline void World::pause(std::size_t Index, Duration Length) {
  Node &Self = node(Index);
  Self.PausedUntil = std::max(Self.PausedUntil, Now + Length);
}

inline void World::tickEntry(std::size_t Index) {
  EntryNode &Self = EntryNodes[Index];
  for (auto &Owner : Self.Owners) {
    for (const Action &Each : Owner->step())
      dispatch(Index, Each);
    if (++Self.Ticks % 5 == 0)
      place(*Owner);
  }
  for (auto Each = Self.Waiting.begin(); Each != Self.Waiting.end();) {
    if (Now < Each->second.Deadline) {
      ++Each;
      continue;
    }
    Checks.onAnswer(Each->second.Submission, {{}, AnswerKind::Unknown, 0, {}});
    Each = Self.Waiting.erase(Each);
  }
}

inline void World::place(ShardOwner &Owner) {
  const std::set<TaskId> Waiting = Owner.table().waiting();
  for (const TaskId &Task : Waiting)
    if (auto Grant = randomGrant(Owner))
      Owner.start(Task, *Grant);
}

inline std::size_t World::vmIndex(const VmId &Vm) const {
  return Entries + static_cast<std::size_t>(std::stoul(Vm.str().substr(2)));
}

inline std::optional<std::size_t>
World::entryIndex(const ProcessId &Process) const {
  for (std::size_t Index = 0; Index < Entries; ++Index)
    if (EntryNodes[Index].Id == Process)
      return Index;
  return std::nullopt;
}

inline void World::dispatch(std::size_t Entry, const Action &Output) {
  if (const auto *Start = std::get_if<StartOrder>(&Output))
    return send(Entry, vmIndex(Start->Grant.Vm), *Start);
  if (const auto *Stop = std::get_if<StopOrder>(&Output))
    return send(Entry, vmIndex(Stop->Vm), *Stop);
  if (const auto *Reply = std::get_if<RenewalReply>(&Output))
    return send(Entry, vmIndex(Reply->Sender.Vm), *Reply);
  if (const auto *Run = std::get_if<RunOrder>(&Output))
    return send(Entry, vmIndex(Run->Grant.Vm), *Run);
  if (const auto *Query = std::get_if<QueryOrder>(&Output))
    return send(Entry, vmIndex(Query->Grant.Vm), *Query);
  const auto &Answer = std::get<CallerAnswer>(Output);
  if (auto To = entryIndex(Answer.To.Entry))
    send(Entry, *To, Answer, Answer.To.Entry);
}

inline void World::send(std::size_t From, std::size_t To, Payload Message,
                        ProcessId Process) {
  if (From == To)
    return deliver(From, To, Message, Process);

  Node &Sender = node(From);
  Node &Receiver = node(To);
  auto Cut = CutLinks.find(std::minmax(From, To));
  if ((Cut != CutLinks.end() && Now < Cut->second) || Now < Sender.CutUntil ||
      Now < Receiver.CutUntil)
    return;
  if ((Now < Sender.LossUntil || Now < Receiver.LossUntil) &&
      Chance.below(2) == 0)
    return;

  const bool Duplicated =
      Now < Sender.DuplicateUntil || Now < Receiver.DuplicateUntil;
  const bool Reordered =
      Now < Sender.ReorderUntil || Now < Receiver.ReorderUntil;
  for (int Copy = 0; Copy < (Duplicated ? 2 : 1); ++Copy) {
    const std::uint64_t Spread = Reordered || Copy == 1 ? 15'000 : 8;
    schedule(Now + Millis(3 + Chance.below(Spread)),
             [this, From, To, Message, Process] {
               deliver(From, To, Message, Process);
             });
  }
}

inline void World::deliver(std::size_t From, std::size_t To,
                           const Payload &Message, const ProcessId &Process) {
  if (!node(To).Up)
    return;
  if (paused(To)) {
    schedule(node(To).PausedUntil, [this, From, To, Message, Process] {
      deliver(From, To, Message, Process);
    });
    return;
  }
  // Submissions and answers are lost if the process restarts.
  if (!Process.empty() && EntryNodes[To].Id != Process)
    return;
  if (isEntry(To))
    onEntry(To, Message);
  else
    onAgent(From, To, Message);
}

inline void World::onEntry(std::size_t Self, const Payload &Message) {
  EntryNode &Process = EntryNodes[Self];
  if (const auto *Answer = std::get_if<CallerAnswer>(&Message)) {
    auto Found = Process.Waiting.find(Answer->To.Sequence);
    if (Found == Process.Waiting.end())
      return;
    Checks.onAnswer(Found->second.Submission, *Answer);
    Process.Waiting.erase(Found);
    return;
  }
  if (const auto *Submit = std::get_if<SubmitForward>(&Message))
    return ownerOf(Self, Submit->Job.Job.str()).submit(*Submit);
  if (const auto *Cancel = std::get_if<CancelForward>(&Message))
    return ownerOf(Self, Cancel->Job.str()).cancel(*Cancel);
  if (const auto *Claim = std::get_if<ClaimForward>(&Message)) {
    ShardOwner &Owner = ownerOf(Self, Claim->Request.str());
    return Owner.claim(*Claim, randomGrant(Owner));
  }
  for (auto &Owner : Process.Owners)
    onOwner(*Owner, Message);
}

inline ShardOwner &World::ownerOf(std::size_t Entry, const std::string &Id) {
  return *EntryNodes[Entry].Owners[shardOf(Id, Oracle::ShardCount).value()];
}

// Chooses a VM without regard to its capacity, so that agents have to refuse
// tasks that do not fit.
inline std::optional<AgentGrant> World::randomGrant(const ShardOwner &Owner) {
  if (Owner.grants().empty())
    return std::nullopt;
  auto Chosen = Owner.grants().begin();
  std::advance(Chosen, Chance.below(Owner.grants().size()));
  return Chosen->second;
}

inline void World::onOwner(ShardOwner &Owner, const Payload &Message) {
  if (const auto *Renewal = std::get_if<RenewalRequest>(&Message))
    Owner.onRenewal(*Renewal);
  else if (const auto *Started = std::get_if<StartReply>(&Message))
    Owner.onStartReply(*Started);
  else if (const auto *Stopped = std::get_if<StopReply>(&Message))
    Owner.onStopReply(*Stopped);
  else if (const auto *Report = std::get_if<RequestReport>(&Message))
    Owner.onRequestReport(*Report);
}

// Sends a caller's message to the owner that this entry last observed.
inline void
World::forward(std::size_t Entry, ShardId Shard,
               const std::function<Payload(const CallerRef &)> &Build,
               std::optional<std::size_t> SubmissionIndex) {
  EntryNode &Self = EntryNodes[Entry];
  ShardJournal &Journal = *Self.Journals[Shard.value()];
  std::optional<std::size_t> Owner;
  if (Journal.lastHead())
    Owner = entryIndex(Journal.lastHead()->Owner);
  if (!Owner) {
    if (SubmissionIndex)
      Checks.onAnswer(*SubmissionIndex, {{}, AnswerKind::NotRun, 0, {}});
    return;
  }

  const CallerRef From{Self.Id, ++Self.Sequence};
  if (SubmissionIndex)
    Self.Waiting[From.Sequence] = {*SubmissionIndex, Now + CallerTimeout};
  // The message is for the owner process that the journal head names.
  send(Entry, *Owner, Build(From), Journal.lastHead()->Owner);
}

inline void World::submit(std::size_t Entry, Submission Sent) {
  const ShardId Shard = shardOf(Sent.Id, Oracle::ShardCount);
  const std::size_t SubmissionIndex = Checks.addSubmission(Sent);
  if (!node(Entry).Up || paused(Entry))
    return;

  forward(
      Entry, Shard,
      [Sent](const CallerRef &From) -> Payload {
        if (!Sent.IsJob)
          return ClaimForward{From, RequestId(Sent.Id), Sent.Caller,
                              ServiceId("castmatch"), Sent.Body};
        JobSubmitted Job{JobId(Sent.Id), Sent.Caller, TeamId("t"), 3, {},
                         Sent.Body};
        // The body selects the number, size and behaviour of the tasks.
        const std::size_t Tasks = 1 + Sent.Body.size() % 2;
        for (std::size_t Index = 0; Index < Tasks; ++Index)
          Job.Tasks.push_back(
              {{MilliCores(Sent.Body.starts_with("long") ? 1100 : 800),
                MebiBytes(100), Accelerators(0)},
               Sent.Body});
        return SubmitForward{From, std::move(Job)};
      },
      SubmissionIndex);
}

inline void World::retry(const Op &Operation, bool Job) {
  std::vector<Submission> Candidates;
  for (const Submission &Each : Checks.submissions())
    if (Each.IsJob == Job)
      Candidates.push_back(Each);
  if (Candidates.empty())
    return;
  Submission Again = Candidates[Operation.A % Candidates.size()];
  Again.Answer.reset();
  if (Operation.B % 5 == 3)
    Again.Caller = CallerId("other");
  if (Operation.B % 5 == 4)
    Again.Body += "-other";
  submit(Operation.B % Entries, std::move(Again));
}

inline void World::cancelJob(const Op &Operation) {
  for (std::size_t Try = 0; Try < Checks.submissions().size(); ++Try) {
    const Submission &Each =
        Checks.submissions()[(Operation.A + Try) % Checks.submissions().size()];
    if (!Each.IsJob)
      continue;
    const std::size_t Entry = Operation.B % Entries;
    if (!node(Entry).Up || paused(Entry))
      return;
    const JobId Job(Each.Id);
    const CallerId Caller = Each.Caller;
    return forward(
        Entry, shardOf(Each.Id, Oracle::ShardCount),
        [Job, Caller](const CallerRef &From) -> Payload {
          return CancelForward{From, Job, Caller};
        },
        std::nullopt);
  }
}

inline void World::evictTask(const Op &Operation) {
  for (EntryNode &Each : EntryNodes) {
    for (auto &Owner : Each.Owners) {
      const std::set<TaskId> Live = Owner->table().live();
      if (Live.empty())
        continue;
      auto Chosen = Live.begin();
      std::advance(Chosen, Operation.A % Live.size());
      Owner->evict(*Chosen);
    }
  }
}

inline void World::storeFault(const Op &Operation, StoreFault Fault) {
  const Duration Length = Millis(200 + 400 * (Operation.B % 64));
  for (std::size_t Index = 0; Index < Entries; ++Index) {
    if (Operation.A % 5 < Entries && Operation.A % 5 != Index)
      continue;
    EntryNodes[Index].Table->Fault = Fault;
    const ProcessId Process = EntryNodes[Index].Id;
    schedule(Now + Length, [this, Index, Process] {
      if (EntryNodes[Index].Id == Process)
        EntryNodes[Index].Table->Fault = StoreFault::None;
    });
  }
  if (Fault == StoreFault::LateEffect)
    for (int Part = 1; Part <= 4; ++Part)
      schedule(Now + Length * Part / 3, [this] { Contents.applyLate(); });
}

inline void World::linkFault(const Op &Operation) {
  const TimePoint Until = Now + Millis(500 + 500 * (Operation.B % 64));
  Node &Chosen = node(Operation.A % Nodes);
  switch (Operation.Kind) {
  case OpKind::CutLink:
    CutLinks[std::minmax(std::size_t(Operation.A % Entries),
                         std::size_t(Operation.A / Entries % Vms + Entries))] =
        Until;
    return;
  case OpKind::CutNode:
    Chosen.CutUntil = Until;
    return;
  case OpKind::Loss:
    Chosen.LossUntil = Until;
    return;
  case OpKind::Duplicate:
    Chosen.DuplicateUntil = Until;
    return;
  default:
    Chosen.ReorderUntil = Until;
  }
}

// Disconnects a group of nodes from the others and from the store.
inline void World::partition(const Op &Operation) {
  const unsigned Group = 1 + Operation.A % ((1U << Nodes) - 2);
  for (std::size_t One = 0; One < Nodes; ++One) {
    for (std::size_t Other = One + 1; Other < Nodes; ++Other)
      if ((Group >> One & 1U) != (Group >> Other & 1U))
        CutLinks[{One, Other}] = Now + Millis(500 + 500 * (Operation.B % 64));
    if (isEntry(One) && (Group >> One & 1U) != 0)
      storeFault({Operation.Kind, static_cast<unsigned>(One), Operation.B},
                 StoreFault::Outage);
  }
}

inline void World::apply(const Op &Operation) {
  const Duration Length = Millis(100 + 300 * (Operation.B % 64));
  const std::size_t Vm = Entries + Operation.A % Vms;
  switch (Operation.Kind) {
  case OpKind::Submit: {
    static constexpr const char *Bodies[] = {"short", "long--", "fails"};
    return submit(Operation.A % Entries, {"job-" + std::to_string(++NextId),
                                          true,
                                          CallerId("c"),
                                          Bodies[Operation.B % 3],
                                          {}});
  }
  case OpKind::Request: {
    const std::string Id = "request-" + std::to_string(++NextId);
    return submit(Operation.A % Entries,
                  {Id, false, CallerId("c"), "body-" + Id, {}});
  }
  case OpKind::RetryRequest:
    return retry(Operation, false);
  case OpKind::RetryJob:
    return retry(Operation, true);
  case OpKind::Cancel:
    return cancelJob(Operation);
  case OpKind::Evict:
    return evictTask(Operation);
  case OpKind::EntryCrash:
    return crash(Operation.A % Entries, Length);
  case OpKind::EntryPause:
    return pause(Operation.A % Entries, Length);
  case OpKind::OwnerPause:
    for (std::size_t Index = 0; Index < Entries; ++Index)
      if (EntryNodes[Index].Journals[Operation.A % 2]->owns())
        pause(Index, Millis(6000) + Length);
    return;
  case OpKind::AgentCrash:
    return crash(Vm, Length);
  case OpKind::AgentPause:
    return pause(Vm, Length);
  case OpKind::VmCrash:
    VmNodes[Vm - Entries].Worker.clear();
    return crash(Vm, Length);
  case OpKind::VmPause:
    VmNodes[Vm - Entries].VmPausedUntil = Now + Length;
    return pause(Vm, Length);
  case OpKind::StoreOutage:
    return storeFault(Operation, StoreFault::Outage);
  case OpKind::StoreThrottled:
    return storeFault(Operation, StoreFault::Throttled);
  case OpKind::StoreLostAnswer:
    return storeFault(Operation, StoreFault::LostAnswer);
  case OpKind::StoreLateEffect:
    return storeFault(Operation, StoreFault::LateEffect);
  case OpKind::Partition:
    return partition(Operation);
  case OpKind::ObjectsDown: {
    MemoryObjects &Objects = *EntryNodes[Operation.A % Entries].Objects;
    Objects.Down = !Objects.Down;
    return;
  }
  case OpKind::Drift: {
    // Clock rates per thousand: up to 5% slow or fast.
    static constexpr int Rates[] = {950, 1050, 975, 1025, 1000};
    return node(Operation.A % Nodes).Time.setRate(Rates[Operation.B % 5]);
  }
  default:
    return linkFault(Operation);
  }
}

inline void World::finish() {
  CutLinks.clear();
  for (auto &Each : AllNodes)
    Each->PausedUntil = Each->CutUntil = Each->LossUntil =
        Each->DuplicateUntil = Each->ReorderUntil = Now;
  for (EntryNode &Each : EntryNodes) {
    Each.Table->Fault = StoreFault::None;
    Each.Objects->Down = false;
  }
  Contents.applyLate();
  run(Millis(150'000));
  Checks.checkQuiescent();
  MemoryTable Table(Contents);
  Checks.checkRecord(Table);
}

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_WORLDENTRY_H
