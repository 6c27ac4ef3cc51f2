#ifndef DAISYSPOOL_WORKER_HTTPWORKER_H
#define DAISYSPOOL_WORKER_HTTPWORKER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/worker/Worker.h"

#include <memory>

namespace daisyspool {

/// Client for a worker over HTTP and JSON; docs/standins.md lists the calls.
///
/// The end of a lease is sent as a time on the worker's own clock, computed
/// from the clock reading in the worker's last response, so that a call that
/// waits in a buffer while the worker is paused does not extend the lease. The
/// computed end is never late; it is early by at most the delay of that
/// response.
///
/// Thread safety: one thread per instance.
class HttpWorker final : public Worker {
public:
  struct Options {
    http::Endpoint Server;
    /// Timeout of each HTTP call. A tenth of the task lease, which is the
    /// margin between the end of a lease and the start of the task on another
    /// worker.
    Millis Timeout{1000};
  };

  /// \p Time must outlive this object.
  HttpWorker(Options Config, const Clock &Time);
  ~HttpWorker() override;

  void run(const TaskStart &Task, Duration Lease) override;
  void renew(const TaskAttempt &Id, Duration Lease) override;
  void checkpoint(const TaskAttempt &Id, const CheckpointId &Name) override;
  void throttle(const TaskAttempt &Id, PerMille Share) override;
  void stop(const TaskAttempt &Id) override;
  void acknowledge(const TaskAttempt &Id) override;
  std::vector<WorkerTask> tasks() override;
  WorkerUsage usage() override;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_WORKER_HTTPWORKER_H
