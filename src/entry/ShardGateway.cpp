#include "daisyspool/entry/ShardGateway.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <utility>

namespace daisyspool {

namespace {

constexpr std::size_t OutputRingCapacity = 8192;

} // namespace

struct ShardGateway::Shard {
  boost::asio::io_context Io{1};
  std::shared_ptr<Inbox<ShardOutput>> Outputs;
  std::unique_ptr<ShardDuty> Duty;
};

ShardGateway::ShardGateway(boost::asio::io_context &Io, const Clock &Time,
                           Options Config, TargetPool &Pool,
                           const TableFactory &NewTable,
                           const ObjectFactory &NewObjects)
    : Config(std::move(Config)), Pool(Pool) {
  for (std::uint64_t Index = 0; Index < this->Config.Shards; ++Index) {
    ShardId Id(Index);
    auto Created = std::make_unique<Shard>();
    Created->Outputs = std::make_shared<Inbox<ShardOutput>>(
        Io, OutputRingCapacity,
        [this](ShardOutput Output) { handle(std::move(Output)); });
    ShardDuty::Options DutyOptions{
        Id,
        this->Config.Process,
        this->Config.PeerAddress,
        this->Config.ShardLease,
        this->Config.TaskLease,
        stableHash(this->Config.Process.str(), Index)};
    Created->Duty = std::make_unique<ShardDuty>(
        Created->Io, Time, DutyOptions, NewTable(), NewObjects(),
        [Outputs = Created->Outputs](ShardOutput Output) {
          // A dropped output is recovered: owners repeat orders, and callers
          // retry after their deadline.
          if (!Outputs->tryPush(Output))
            LogEvent(LogLevel::Warning, "shard_output_dropped").with("ring", 0);
        });
    Views[Id].Shard = Id;
    Shards.emplace(Id, std::move(Created));
  }
}

ShardGateway::~ShardGateway() = default;

std::vector<boost::asio::io_context *> ShardGateway::shardContexts() {
  std::vector<boost::asio::io_context *> Result;
  for (auto &[Id, Each] : Shards)
    Result.push_back(&Each->Io);

  return Result;
}

ShardId ShardGateway::shardOf(const std::string &Key) const {
  return daisyspool::shardOf(Key, Config.Shards);
}

std::string ShardGateway::otherOwner(ShardId Shard) const {
  const ShardView &View = Views.at(Shard);
  return View.OwnerAddress == Config.PeerAddress ? "" : View.OwnerAddress;
}

CallerRef ShardGateway::newRef() { return {Config.Process, NextRef++}; }

bool ShardGateway::push(ShardId To, ShardInput Input) {
  auto Found = Shards.find(To);
  return Found != Shards.end() && Found->second->Duty->input()->tryPush(Input);
}

std::uint64_t ShardGateway::submit(JobSubmitted Job, AnswerCallback OnAnswer) {
  CallerRef From = newRef();
  ShardId To = shardOf(Job.Job.str());
  if (!push(To, SubmitForward{From, std::move(Job)}))
    return 0;

  Answers.emplace(From.Sequence, std::move(OnAnswer));
  return From.Sequence;
}

std::uint64_t ShardGateway::cancelJob(const JobId &Job, const CallerId &By,
                                      AnswerCallback OnAnswer) {
  CallerRef From = newRef();
  if (!push(shardOf(Job.str()), CancelForward{From, Job, By}))
    return 0;

  Answers.emplace(From.Sequence, std::move(OnAnswer));
  return From.Sequence;
}

std::uint64_t ShardGateway::queryJob(const JobId &Job, bool Wait,
                                     JobCallback OnAnswer) {
  CallerRef From = newRef();
  ShardId To = shardOf(Job.str());
  if (!push(To, JobQuery{From, Job, Wait}))
    return 0;

  Queries.emplace(From.Sequence, std::pair(To, std::move(OnAnswer)));
  return From.Sequence;
}

std::uint64_t ShardGateway::claim(ClaimForward Claim, const VmId &Vm,
                                  AnswerCallback OnAnswer) {
  CallerRef From = newRef();
  Claim.From = From;
  ShardId To = shardOf(Claim.Request.str());
  if (!push(To, ClaimInput{std::move(Claim), Vm}))
    return 0;

  Answers.emplace(From.Sequence, std::move(OnAnswer));
  return From.Sequence;
}

void ShardGateway::dropCallback(std::uint64_t Key) {
  Answers.erase(Key);
  auto Query = Queries.find(Key);
  if (Query == Queries.end())
    return;

  push(Query->second.first, JobQueryCancel{{Config.Process, Key}});
  Queries.erase(Query);
}

void ShardGateway::onAgentMessage(const wire::Envelope &Message) {
  std::visit(
      [this](const auto &Content) {
        using Type = std::decay_t<decltype(Content)>;
        if constexpr (std::is_same_v<Type, RenewalRequest> ||
                      std::is_same_v<Type, StartReply> ||
                      std::is_same_v<Type, StopReply> ||
                      std::is_same_v<Type, RequestReport>)
          push(Content.Shard, Content);
      },
      Message.Content);
}

void ShardGateway::onTargetUp(const PooledTarget &Target) {
  sendShardNotice(Target);
  onFleetChanged();
}

void ShardGateway::onFleetChanged() {
  FleetInput Fleet;
  for (const auto &[Id, Each] : Pool.targets())
    if (!Each->Announced.Leaving)
      Fleet.Vms.push_back({Each->Announced.Vm, Each->Announced.Rack,
                           Each->Announced.FailureDomain,
                           Each->Announced.Capacity});
  for (auto &[Id, Each] : Shards)
    push(Id, Fleet);
}

template <typename Order>
void ShardGateway::sendToVm(const VmId &Vm, const Order &Content) {
  // Without a link the order is lost. The owner repeats it; a run order is sent
  // only once, so the owner queries its request instead.
  if (PooledTarget *Target = Pool.findVm(Vm))
    Target->Connection->send({Config.Process, Config.Number, {}, Content});
}

void ShardGateway::handle(ShardOutput Output) {
  std::visit(
      [this](auto &Message) {
        using Type = std::decay_t<decltype(Message)>;
        if constexpr (std::is_same_v<Type, CallerAnswer>) {
          auto Found = Answers.extract(Message.To.Sequence);
          if (!Found.empty())
            Found.mapped()(Message);
        } else if constexpr (std::is_same_v<Type, JobAnswer>) {
          auto Found = Queries.extract(Message.To.Sequence);
          if (!Found.empty())
            Found.mapped().second(std::move(Message.Document));
        } else if constexpr (std::is_same_v<Type, ShardView>) {
          handleView(Message);
        } else if constexpr (std::is_same_v<Type, StopOrder>) {
          sendToVm(Message.Vm, Message);
        } else if constexpr (std::is_same_v<Type, RenewalReply>) {
          sendToVm(Message.Sender.Vm, Message);
        } else {
          sendToVm(Message.Grant.Vm, Message);
        }
      },
      Output);
}

void ShardGateway::handleView(const ShardView &View) {
  bool OwnershipChanged = Views[View.Shard].Owned != View.Owned;
  Views[View.Shard] = View;
  if (OwnershipChanged)
    sendShardNotices();
}

void ShardGateway::sendShardNotices() {
  for (const auto &[Id, Each] : Pool.targets())
    sendShardNotice(*Each);
}

void ShardGateway::sendShardNotice(const PooledTarget &To) {
  wire::ShardNotice Notice;
  for (const auto &[Id, View] : Views)
    if (View.Owned)
      Notice.Owned.push_back(Id);
  To.Connection->send({Config.Process, Config.Number, {}, Notice});
}

} // namespace daisyspool
