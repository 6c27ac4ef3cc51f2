#ifndef DAISYSPOOL_RUNNER_WORKERPORT_H
#define DAISYSPOOL_RUNNER_WORKERPORT_H

#include "daisyspool/runner/Sync.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool::runner {

/// Time on a worker's own steady clock, which may run up to 2% slow.
using WorkerClock = std::chrono::duration<std::int64_t, std::milli>;

/// A worker rejects orders with a lower token than the highest it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;

struct WorkerStart {
  RunName Name;
  std::string Spec;
  std::string Checkpoint;
  /// When the worker ends all its runs unless its lease is extended.
  WorkerClock LeaseEnd{0};
};

struct Started {};
/// The worker has no record of a lease or has seen a higher token.
struct FencedOut {};
struct StartRefused {
  RefusalReason Reason = RefusalReason::Unhealthy;
};
/// The worker did not carry out the order and may accept it later.
struct WorkerBusy {};
/// No answer: the worker may carry out the order now or seconds later.
struct NoWorkerAnswer {
  std::string Detail;
};
/// The worker's life that the order was addressed to has ended.
struct OtherLife {};
using StartOutcome = std::variant<Started, FencedOut, StartRefused, WorkerBusy,
                                  OtherLife, NoWorkerAnswer>;

struct Done {};
using OrderOutcome =
    std::variant<Done, FencedOut, WorkerBusy, OtherLife, NoWorkerAnswer>;

/// A worker's answer to a hold.
struct WorkerListing {
  WorkerClock Clock{0};
  WorkerLife Life;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  /// The listing has no room for more ends, so a run that it does not name may
  /// have ended.
  bool EndsTruncated = false;
};
using HoldOutcome = std::variant<WorkerListing, FencedOut, WorkerBusy,
                                 OtherLife, NoWorkerAnswer>;

struct HoldRequest {
  /// New end of the lease; empty leaves the lease unchanged.
  std::optional<WorkerClock> LeaseEnd;
  /// Ends up to this number need not be listed again.
  EndNumber EndsRecorded;
  /// How long the worker may wait for a run to end before it answers.
  Millis Wait{0};
};

/// Interface to the worker on the agent's VM.
///
/// Thread safety: call from the I/O thread; callbacks run there, each exactly
/// once. Errors are outcomes and never exceptions.
class WorkerPort {
public:
  WorkerPort() = default;
  WorkerPort(const WorkerPort &) = delete;
  WorkerPort &operator=(const WorkerPort &) = delete;
  virtual ~WorkerPort() = default;

  virtual void start(FencingToken Token, const TargetId &Worker,
                     const WorkerStart &Start,
                     std::function<void(StartOutcome)> Done) = 0;
  /// Stops a run, or prevents its start if it is not on the worker yet.
  virtual void stop(FencingToken Token, const TargetId &Worker,
                    const RunName &Name,
                    std::function<void(OrderOutcome)> Done) = 0;
  /// Extends the lease and lists the runs of the worker.
  virtual void hold(FencingToken Token, const TargetId &Worker,
                    const HoldRequest &Request,
                    std::function<void(HoldOutcome)> Done) = 0;
  /// Limits a run to a share of its speed, from 0 to 100 percent.
  virtual void pace(FencingToken Token, const TargetId &Worker,
                    const RunName &Name, std::uint32_t Percent,
                    std::function<void(OrderOutcome)> Done) = 0;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_WORKERPORT_H
