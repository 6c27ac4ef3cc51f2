#ifndef DAISYSPOOL_ENTRY_SHARDGATEWAY_H
#define DAISYSPOOL_ENTRY_SHARDGATEWAY_H

#include "daisyspool/entry/ShardDuty.h"
#include "daisyspool/entry/TargetPool.h"
#include "daisyspool/transport/Inbox.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisyspool {

/// The request thread's side of all shards: hands callers' submissions and
/// agents' messages to the shard that they belong to, and sends what the
/// shards order to agents and callers.
///
/// Thread safety: call from the request thread only, except the construction
/// of the duties' threads in shardContexts().
class ShardGateway {
public:
  struct Options {
    /// Differs for each start of the process.
    ProcessId Process;
    Incarnation Number;
    std::string PeerAddress;
    std::uint64_t Shards = 8;
    Millis ShardLease{6000};
    Millis TaskLease{10000};
  };

  using TableFactory = std::function<std::unique_ptr<TableService>()>;
  using ObjectFactory = std::function<std::unique_ptr<ObjectStore>()>;
  using AnswerCallback = std::function<void(const CallerAnswer &)>;
  using JobCallback = std::function<void(std::optional<std::string>)>;

  ShardGateway(boost::asio::io_context &Io, const Clock &Time, Options Config,
               TargetPool &Pool, const TableFactory &NewTable,
               const ObjectFactory &NewObjects);
  ShardGateway(const ShardGateway &) = delete;
  ShardGateway &operator=(const ShardGateway &) = delete;
  ~ShardGateway();

  /// The I/O contexts to run, one thread each.
  std::vector<boost::asio::io_context *> shardContexts();

  ShardId shardOf(const std::string &Key) const;

  /// Whether this entry owns \p Shard and has replayed it.
  bool owns(ShardId Shard) const { return Views.at(Shard).Owned; }
  /// The owner's peer address; empty if unknown or this entry.
  std::string otherOwner(ShardId Shard) const;

  const std::map<ShardId, ShardView> &views() const { return Views; }

  /// Precondition for all four: owns() the shard of the id. Return a key for
  /// forget(), or 0 if the shard's ring is full and nothing was done.
  std::uint64_t submit(JobSubmitted Job, AnswerCallback OnAnswer);
  std::uint64_t cancelJob(const JobId &Job, const CallerId &By,
                          AnswerCallback OnAnswer);
  std::uint64_t queryJob(const JobId &Job, bool Wait, JobCallback OnAnswer);
  /// Claims \p Claim (its From is set here) for one run on \p Vm.
  std::uint64_t claim(ClaimForward Claim, const VmId &Vm,
                      AnswerCallback OnAnswer);

  /// The caller takes no answer any more.
  void forget(std::uint64_t Key);

  /// A message of an agent; ignored if it is not for a shard.
  void onAgentMessage(const wire::Envelope &What);

  /// Tells the agent which shards are owned here, and the shards which VMs
  /// there are.
  void onTargetUp(const PooledTarget &Target);
  void onFleetChanged();

private:
  struct Shard;

  CallerRef newRef();
  bool push(ShardId To, ShardInput What);
  void handle(ShardOutput What);
  void handleView(const ShardView &View);
  void sendNotices();
  void sendNotice(const PooledTarget &To);
  template <typename Order> void sendToVm(const VmId &Vm, const Order &What);

  Options Config;
  TargetPool &Pool;
  std::map<ShardId, std::unique_ptr<Shard>> Shards;
  std::map<ShardId, ShardView> Views;
  std::unordered_map<std::uint64_t, AnswerCallback> Answers;
  std::unordered_map<std::uint64_t, std::pair<ShardId, JobCallback>> Queries;
  std::uint64_t NextRef = 1;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_SHARDGATEWAY_H
