#ifndef DAISYSPOOL_TESTS_SIM_WORLD_H
#define DAISYSPOOL_TESTS_SIM_WORLD_H

#include "daisyspool/commitments/commitments.h"
#include "daisyspool/jobs/jobs.h"
#include "sim/Oracle.h"
#include "sim/SimClock.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool::sim {

/// Kinds of calls and faults. The numbers A and B of an Op select the component
/// and the size of the fault.
enum class OpKind {
  Submit,
  Request,
  RetryRequest,
  RetryJob,
  Cancel,
  Evict,
  EntryCrash,
  EntryPause,
  OwnerPause,
  AgentCrash,
  AgentPause,
  VmCrash,
  VmPause,
  CutLink,
  CutNode,
  Partition,
  Loss,
  Duplicate,
  Reorder,
  StoreOutage,
  StoreThrottled,
  StoreLostAnswer,
  StoreLateEffect,
  ObjectsDown,
  Drift,
  Count
};

inline const char *toString(OpKind Kind) {
  static constexpr const char *Names[] = {
      "Submit",         "Request",         "RetryRequest",    "RetryJob",
      "Cancel",         "Evict",           "EntryCrash",      "EntryPause",
      "OwnerPause",     "AgentCrash",      "AgentPause",      "VmCrash",
      "VmPause",        "CutLink",         "CutNode",         "Partition",
      "Loss",           "Duplicate",       "Reorder",         "StoreOutage",
      "StoreThrottled", "StoreLostAnswer", "StoreLateEffect", "ObjectsDown",
      "Drift"};
  return Names[static_cast<std::size_t>(Kind)];
}

struct Op {
  OpKind Kind = OpKind::Submit;
  unsigned A = 0;
  unsigned B = 0;
};

using Payload =
    std::variant<StartOrder, StopOrder, RenewalReply, RunOrder, QueryOrder,
                 CallerAnswer, StartReply, StopReply, RenewalRequest,
                 RequestReport, SubmitForward, CancelForward, ClaimForward>;

/// Simulation of three entries, three VMs, a store and the links between them
/// in virtual time. The state machines are those of the product; the processes
/// around them are simulated.
class World {
public:
  static constexpr std::size_t Entries = 3;
  static constexpr std::size_t Vms = 3;
  static constexpr std::size_t Nodes = Entries + Vms;

  explicit World(std::uint64_t Seed);
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  void apply(const Op &Operation);

  /// Advances simulated time and checks the guarantees after each event.
  void run(Duration Length);

  /// Ends all faults, lets the work finish and checks the outcome.
  void finish();

  const std::string &violation() const { return Checks.Violation; }

  /// Number of attempts of a task that the log holds.
  std::uint64_t attempts(const TaskId &Task) const {
    return Checks.attempts(Task);
  }

private:
  struct Node {
    explicit Node(const TimePoint &World) : Time(World) {}

    SimClock Time;
    bool Up = false;
    std::uint64_t Life = 0;
    TimePoint PausedUntil{};
    TimePoint CutUntil{};
    TimePoint LossUntil{};
    TimePoint DuplicateUntil{};
    TimePoint ReorderUntil{};
  };

  struct Pending {
    std::size_t Submission = 0;
    TimePoint Deadline;
  };

  struct EntryNode {
    ProcessId Id;
    std::unique_ptr<MemoryTable> Table;
    std::unique_ptr<MemoryObjects> Objects;
    std::vector<std::unique_ptr<ShardJournal>> Journals;
    std::vector<std::unique_ptr<ShardOwner>> Owners;
    std::uint64_t Sequence = 0;
    std::map<std::uint64_t, Pending> Waiting;
    unsigned Ticks = 0;
  };

  struct WorkerTask {
    ShardId Shard;
    AttemptNumber Attempt;
    Resources Need;
    std::string Command;
    TimePoint Expiry;
    Duration Ran{};
  };

  struct VmNode {
    VmId Id;
    Incarnation Process;
    std::map<TaskId, WorkerTask> Worker;
    std::unique_ptr<CommitmentTable> Commitments;
    std::unique_ptr<RequestLedger> Ledger;
    TimePoint VmPausedUntil{};
    unsigned Ticks = 0;
  };

  Node &node(std::size_t Index) { return *AllNodes[Index]; }
  bool isEntry(std::size_t Index) const { return Index < Entries; }
  bool paused(std::size_t Index) { return Now < node(Index).PausedUntil; }

  void schedule(TimePoint When, std::function<void()> Callback);
  void startEntry(std::size_t Index);
  void startAgent(std::size_t Index);
  void crash(std::size_t Index, Duration Down);
  void pause(std::size_t Index, Duration Length);
  void scheduleTick(std::size_t Index, std::uint64_t Life);
  void tickEntry(std::size_t Index);
  void tickAgent(std::size_t Index);
  void runTasks(VmNode &Vm, const Clock &Time);
  void place(ShardOwner &Owner);

  void send(std::size_t From, std::size_t To, Payload Message,
            ProcessId Process = {});
  void deliver(std::size_t From, std::size_t To, const Payload &Message,
               const ProcessId &Process);
  void dispatch(std::size_t Entry, const Action &Output);
  std::size_t vmIndex(const VmId &Vm) const;
  std::optional<std::size_t> entryIndex(const ProcessId &Process) const;

  void onEntry(std::size_t Self, const Payload &Message);
  void onAgent(std::size_t From, std::size_t Self, const Payload &Message);
  void onStart(std::size_t From, VmNode &Vm, const Clock &Time,
               const StartOrder &Order);
  void onReply(std::size_t Self, const RenewalReply &Reply);
  void onRun(std::size_t From, std::size_t Self, const RunOrder &Order);
  void storeCheckpoint(std::size_t Self, const TaskId &Task);

  void submit(std::size_t Entry, Submission Sent);
  void forward(std::size_t Entry, ShardId Shard,
               const std::function<Payload(const CallerRef &)> &Build,
               std::optional<std::size_t> SubmissionIndex);
  ShardOwner &ownerOf(std::size_t Entry, const std::string &Id);
  std::optional<AgentGrant> randomGrant(const ShardOwner &Owner);
  void onOwner(ShardOwner &Owner, const Payload &Message);
  void retry(const Op &Operation, bool Job);
  void cancelJob(const Op &Operation);
  void evictTask(const Op &Operation);
  void storeFault(const Op &Operation, StoreFault Fault);
  void linkFault(const Op &Operation);
  void partition(const Op &Operation);
  void check();

  TimePoint Now{};
  std::uint64_t EventNumber = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Events;
  Random Chance;
  StoreContents Contents;
  Oracle Checks{Contents};
  std::vector<std::unique_ptr<Node>> AllNodes;
  std::array<EntryNode, Entries> EntryNodes;
  std::array<VmNode, Vms> VmNodes;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> CutLinks;
  unsigned NextId = 0;
};

} // namespace daisyspool::sim

#include "sim/WorldEntry.h"
#include "sim/WorldVm.h"

#endif // DAISYSPOOL_TESTS_SIM_WORLD_H
