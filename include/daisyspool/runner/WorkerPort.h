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

/// Orders with a lower token than the highest seen are void.
using FencingToken = StrongNumber<struct FencingTokenTag>;

struct WorkerStart {
  RunName Name;
  std::string Spec;
  std::string Checkpoint;
  /// When everything on the worker ends unless its lease is extended.
  WorkerClock LeaseEnd{0};
};

struct Started {};
/// The worker has no record of a lease or has seen a higher token.
struct FencedOut {};
struct StartRefused {
  RefusalReason Reason = RefusalReason::Unhealthy;
};
/// The worker has done nothing and may accept later.
struct WorkerBusy {};
/// No answer: the order may be carried out now or seconds later.
struct NoWorkerAnswer {
  std::string Detail;
};
/// The life that the order was meant for is over.
struct OtherLife {};
using StartOutcome = std::variant<Started, FencedOut, StartRefused, WorkerBusy,
                                  OtherLife, NoWorkerAnswer>;

struct Done {};
using OrderOutcome =
    std::variant<Done, FencedOut, WorkerBusy, OtherLife, NoWorkerAnswer>;

/// What a worker lists of itself.
struct WorkerListing {
  WorkerClock Clock{0};
  WorkerLife Life;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
};
using HoldOutcome = std::variant<WorkerListing, FencedOut, WorkerBusy,
                                 OtherLife, NoWorkerAnswer>;

struct HoldRequest {
  /// Extends the lease; nothing leaves it as it is.
  std::optional<WorkerClock> LeaseEnd;
  /// Ends up to this number need not be listed again.
  EndNumber EndsRecorded;
  /// How long the worker may wait for an end before it answers.
  Millis Wait{0};
};

/// The port to the worker on the agent's VM.
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
                     const WorkerStart &What,
                     std::function<void(StartOutcome)> Done) = 0;
  /// Also prevents a start of the run that is not there yet.
  virtual void stop(FencingToken Token, const TargetId &Worker,
                    const RunName &What,
                    std::function<void(OrderOutcome)> Done) = 0;
  virtual void hold(FencingToken Token, const TargetId &Worker,
                    const HoldRequest &What,
                    std::function<void(HoldOutcome)> Done) = 0;
  /// Lets a run work at a share of its speed, from 0 to 100 percent.
  virtual void pace(FencingToken Token, const TargetId &Worker,
                    const RunName &What, std::uint32_t Percent,
                    std::function<void(OrderOutcome)> Done) = 0;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_WORKERPORT_H
