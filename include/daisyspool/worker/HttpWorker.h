#ifndef DAISYSPOOL_WORKER_HTTPWORKER_H
#define DAISYSPOOL_WORKER_HTTPWORKER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/worker/Worker.h"

#include <memory>

namespace daisyspool {

/// Worker over HTTP and JSON; docs/standins.md lists the calls.
///
/// A lease is sent as an instant of the worker's own clock, computed from the
/// last answer of the worker, so that a call that waits in a buffer while the
/// worker is paused does not extend the lease. The error of that instant is in
/// the safe direction: it is early by at most the delay of that answer.
///
/// Thread safety: one thread per instance.
class HttpWorker final : public Worker {
public:
  struct Options {
    http::Endpoint Server;
    /// For each HTTP call. A tenth of the task lease, which is the allowance
    /// between the end of a lease and a start elsewhere.
    Millis Timeout{1000};
  };

  /// \p Time must outlive this object.
  HttpWorker(Options Config, const Clock &Time);
  ~HttpWorker() override;

  void run(const TaskStart &What, Duration Lease) override;
  void renew(const TaskAttempt &Which, Duration Lease) override;
  void checkpoint(const TaskAttempt &Which, const CheckpointId &Name) override;
  void throttle(const TaskAttempt &Which, PerMille Share) override;
  void stop(const TaskAttempt &Which) override;
  void acknowledge(const TaskAttempt &Which) override;
  std::vector<WorkerTask> tasks() override;
  WorkerUsage usage() override;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_WORKER_HTTPWORKER_H
