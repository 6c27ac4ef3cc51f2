#ifndef DAISYSPOOL_ENTRY_SHARDDUTY_H
#define DAISYSPOOL_ENTRY_SHARDDUTY_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/entry/TaskPlacer.h"
#include "daisyspool/jobs/ShardOwner.h"
#include "daisyspool/journal/ShardJournal.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/platform/TableService.h"
#include "daisyspool/transport/Inbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool {

/// A claim and the VM that the router selected for it.
struct ClaimInput {
  ClaimForward Claim;
  VmId Vm;
};

/// Asks for the state of a job. With Wait, it is answered once the job has
/// ended.
struct JobQuery {
  CallerRef From;
  JobId Job;
  bool Wait = false;
};

/// Cancels the JobQuery of a caller that left.
struct JobQueryCancel {
  CallerRef From;
};

/// The VMs on which tasks may be placed.
struct FleetInput {
  std::vector<PlaceableVm> Vms;
};

using ShardInput =
    std::variant<SubmitForward, CancelForward, ClaimInput, JobQuery,
                 JobQueryCancel, FleetInput, RenewalRequest, StartReply,
                 StopReply, RequestReport>;

/// The state of a job as JSON, or nothing if there is no such job.
struct JobAnswer {
  CallerRef To;
  std::optional<std::string> Document;
};

/// The owner and the load of a shard, as known to this entry.
struct ShardView {
  ShardId Shard;
  bool Owned = false;
  /// The owner's peer address; empty if unknown.
  std::string OwnerAddress;
  std::size_t Waiting = 0;
  std::size_t Live = 0;

  bool operator==(const ShardView &) const = default;
};

using ShardOutput =
    std::variant<StartOrder, StopOrder, RenewalReply, RunOrder, QueryOrder,
                 CallerAnswer, JobAnswer, ShardView>;

/// Runs one shard on this entry: steps its ShardOwner and places its tasks.
///
/// Calls of the table service block, so each shard has a thread of its own and
/// a slow answer for one shard delays no other.
///
/// Thread safety: inputs through input() from one thread; everything else on
/// the thread that runs the io_context.
class ShardDuty {
public:
  struct Options {
    ShardId Shard;
    ProcessId Process;
    std::string PeerAddress;
    Millis ShardLease{6000};
    Millis TaskLease{10000};
    std::uint64_t Seed = 0;
  };

  /// Called on the duty's thread.
  using Send = std::function<void(ShardOutput)>;

  ShardDuty(boost::asio::io_context &Io, const Clock &Time, Options Config,
            std::unique_ptr<TableService> Table,
            std::unique_ptr<ObjectStore> Objects, Send SendOutput);
  ShardDuty(const ShardDuty &) = delete;
  ShardDuty &operator=(const ShardDuty &) = delete;

  const std::shared_ptr<Inbox<ShardInput>> &input() const { return Inputs; }

private:
  void handle(const SubmitForward &Message) { Owner.submit(Message); }
  void handle(const CancelForward &Message) { Owner.cancel(Message); }
  void handle(const ClaimInput &Message);
  void handle(const JobQuery &Message);
  void handle(const JobQueryCancel &Message);
  void handle(const FleetInput &Message) { Placer.setFleet(Message.Vms); }
  void handle(const RenewalRequest &Message) { Owner.onRenewal(Message); }
  void handle(const StartReply &Message) { Owner.onStartReply(Message); }
  void handle(const StopReply &Message) { Owner.onStopReply(Message); }
  void handle(const RequestReport &Message) { Owner.onRequestReport(Message); }

  void step();
  void placeWaiting();
  void answerQueries();
  void publishView();
  void schedule(Duration After);

  Options Config;
  std::unique_ptr<TableService> Table;
  std::unique_ptr<ObjectStore> Objects;
  Send SendOutput;
  ShardJournal Journal;
  ShardOwner Owner;
  TaskPlacer Placer;
  std::vector<JobQuery> OpenQueries;
  ShardView Published;
  bool HasPublished = false;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Inbox<ShardInput>> Inputs;
};

/// The state of a job as a JSON document.
/// Precondition: the job is in \p Table.
std::string describeJob(const JobTable &Table, const JobId &Job);

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_SHARDDUTY_H
