#include "daisyspool/entry/ShardDuty.h"

#include "daisyspool/telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace daisyspool {

namespace {

constexpr std::size_t InputRingCapacity = 8192;
constexpr Millis IdleStepInterval{50};
/// Events are collected for this long into one write. Eight shards at full load
/// then write 400 times per second, within the several hundred writes per
/// second that the table service accepts.
constexpr Millis GroupCommitDelay{20};
/// Limits the tasks placed in one step, so that a large job does not delay
/// renewals.
constexpr std::size_t PlacementsPerStep = 256;

const char *toString(TaskPhase Phase) {
  switch (Phase) {
  case TaskPhase::Waiting:
    return "waiting";
  case TaskPhase::Intended:
    return "starting";
  case TaskPhase::Running:
    return "running";
  case TaskPhase::Ended:
    return "ended";
  }
  return "ended";
}

JournalSettings journalSettings(Millis Lease) {
  JournalSettings Result;
  Result.Lease = Lease;
  return Result;
}

ShardOwnerSettings ownerSettings(const ShardDuty::Options &Config) {
  ShardOwnerSettings Result;
  Result.TaskLease = Config.TaskLease;
  Result.ShardLease = Config.ShardLease;
  Result.AppendEvery = GroupCommitDelay;
  // A candidate must read the head often enough to detect that the owner no
  // longer advances it.
  Result.ObserveEvery = Config.ShardLease / 6;
  return Result;
}

bool hasEnded(const JobTable &Table, const JobId &Job) {
  const JobState *State = Table.job(Job);
  for (std::size_t Index = 0; Index < State->Spec.Tasks.size(); ++Index)
    if (Table.task(taskOf(Job, Index))->Phase != TaskPhase::Ended)
      return false;

  return true;
}

} // namespace

std::string describeJob(const JobTable &Table, const JobId &Job) {
  const JobState *State = Table.job(Job);
  nlohmann::json Tasks = nlohmann::json::array();
  for (std::size_t Index = 0; Index < State->Spec.Tasks.size(); ++Index) {
    TaskId Id = taskOf(Job, Index);
    const TaskState *Task = Table.task(Id);
    nlohmann::json TaskJson{{"task", Id.str()},
                            {"phase", toString(Task->Phase)},
                            {"attempt", Task->Attempt.value()},
                            {"evictions", Task->Evictions},
                            {"failures", Task->Failures}};
    if (!Task->Vm.empty())
      TaskJson["vm"] = Task->Vm.str();
    if (Task->Phase == TaskPhase::Ended)
      TaskJson["outcome"] = toString(Task->Outcome);
    Tasks.push_back(std::move(TaskJson));
  }

  return nlohmann::json{{"job", Job.str()},
                        {"caller", State->Spec.Caller.str()},
                        {"team", State->Spec.Team.str()},
                        {"cancelled", State->Cancelled},
                        {"ended", hasEnded(Table, Job)},
                        {"tasks", std::move(Tasks)}}
      .dump();
}

ShardDuty::ShardDuty(boost::asio::io_context &Io, const Clock &Time,
                     Options Config, std::unique_ptr<TableService> Table,
                     std::unique_ptr<ObjectStore> Objects, Send SendOutput)
    : Config(std::move(Config)), Table(std::move(Table)),
      Objects(std::move(Objects)), SendOutput(std::move(SendOutput)),
      Journal("shard/" + std::to_string(this->Config.Shard.value()),
              this->Config.Process, this->Config.PeerAddress, *this->Table,
              *this->Objects, Time, journalSettings(this->Config.ShardLease)),
      Owner(this->Config.Shard, Journal, Time, this->Config.Seed,
            ownerSettings(this->Config)),
      Timer(Io),
      Inputs(std::make_shared<Inbox<ShardInput>>(
          Io, InputRingCapacity, [this](ShardInput Input) {
            std::visit([this](const auto &Each) { handle(Each); }, Input);
            schedule(GroupCommitDelay);
          })) {
  schedule(Duration::zero());
}

void ShardDuty::handle(const ClaimInput &Message) {
  auto Grant = Owner.grants().find(Message.Vm);
  Owner.claim(Message.Claim, Grant == Owner.grants().end()
                                 ? std::nullopt
                                 : std::optional(Grant->second));
}

void ShardDuty::handle(const JobQuery &Message) {
  OpenQueries.push_back(Message);
  answerQueries();
}

void ShardDuty::handle(const JobQueryCancel &Message) {
  std::erase_if(OpenQueries, [&](const JobQuery &Each) {
    return Each.From.Sequence == Message.From.Sequence;
  });
}

void ShardDuty::answerQueries() {
  std::erase_if(OpenQueries, [this](const JobQuery &Each) {
    if (!Owner.accepts() || Owner.table().job(Each.Job) == nullptr) {
      SendOutput(JobAnswer{Each.From, std::nullopt});
      return true;
    }
    if (Each.Wait && !hasEnded(Owner.table(), Each.Job))
      return false;

    SendOutput(JobAnswer{Each.From, describeJob(Owner.table(), Each.Job)});
    return true;
  });
}

void ShardDuty::placeWaiting() {
  if (!Owner.accepts() || Owner.table().waiting().empty())
    return;

  Placer.countHeld(Owner.table());
  std::vector<TaskId> Waiting(Owner.table().waiting().begin(),
                              Owner.table().waiting().end());
  std::size_t Placed = 0;
  for (const TaskId &Task : Waiting) {
    const TaskState *State = Owner.table().task(Task);
    auto Vm = Placer.chooseVm(State->Spec.Need, Owner.grants());
    if (!Vm)
      continue;
    Owner.start(Task, Owner.grants().at(*Vm));
    if (++Placed == PlacementsPerStep)
      return;
  }
}

void ShardDuty::step() {
  placeWaiting();
  for (Action &Each : Owner.step())
    std::visit([this](auto &Message) { SendOutput(std::move(Message)); }, Each);
  answerQueries();
  publishView();
}

void ShardDuty::publishView() {
  ShardView Current;
  Current.Shard = Config.Shard;
  Current.Owned = Owner.accepts();
  if (Journal.lastHead())
    Current.OwnerAddress = Journal.lastHead()->OwnerAddress;
  Current.Waiting = Owner.table().waiting().size();
  Current.Live = Owner.table().live().size();
  if (HasPublished && Current == Published)
    return;

  if (!HasPublished || Current.Owned != Published.Owned)
    LogEvent(LogLevel::Info, "shard_view")
        .with("shard", Config.Shard)
        .with("owned", Current.Owned ? "yes" : "no");
  HasPublished = true;
  Published = Current;
  SendOutput(Current);
}

void ShardDuty::schedule(Duration After) {
  // A pending step that is due earlier is kept.
  auto Due = std::chrono::steady_clock::now() + After;
  if (After > Duration::zero() && Timer.expiry() <= Due &&
      Timer.expiry() > std::chrono::steady_clock::now())
    return;

  Timer.expires_at(Due);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    step();
    schedule(IdleStepInterval);
  });
}

} // namespace daisyspool
