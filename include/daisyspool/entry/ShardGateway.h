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

/// Connects the request thread with the threads of all shards: passes callers'
/// submissions and agents' messages to their shard, and the shards' orders and
/// answers to agents and callers.
///
/// Thread safety: call from the request thread only, except shardContexts(),
/// which serves to start the shards' threads.
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

  /// Precondition for all four: this entry owns() the shard of the id. Each
  /// returns a key for dropCallback(), or 0 if the shard's ring is full and
  /// nothing was done.
  std::uint64_t submit(JobSubmitted Job, AnswerCallback OnAnswer);
  std::uint64_t cancelJob(const JobId &Job, const CallerId &By,
                          AnswerCallback OnAnswer);
  std::uint64_t queryJob(const JobId &Job, bool Wait, JobCallback OnAnswer);
  /// Claims \p Claim (its From is set here) for one run on \p Vm.
  std::uint64_t claim(ClaimForward Claim, const VmId &Vm,
                      AnswerCallback OnAnswer);

  /// Drops the callback of a caller that left.
  void dropCallback(std::uint64_t Key);

  /// Passes an agent's message to its shard. Ignores other messages.
  void onAgentMessage(const wire::Envelope &Message);

  /// Tells the agent which shards this entry owns, and the shards which VMs
  /// exist.
  void onTargetUp(const PooledTarget &Target);
  void onFleetChanged();

private:
  struct Shard;

  CallerRef newRef();
  bool push(ShardId To, ShardInput Input);
  void handle(ShardOutput Output);
  void handleView(const ShardView &View);
  void sendShardNotices();
  void sendShardNotice(const PooledTarget &To);
  template <typename Order> void sendToVm(const VmId &Vm, const Order &Content);

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
