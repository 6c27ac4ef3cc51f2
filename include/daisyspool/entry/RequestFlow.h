#ifndef DAISYSPOOL_ENTRY_REQUESTFLOW_H
#define DAISYSPOOL_ENTRY_REQUESTFLOW_H

#include "daisyspool/admission/AdmissionQueue.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/entry/CallerRequest.h"
#include "daisyspool/entry/RequestMetrics.h"
#include "daisyspool/entry/TargetPool.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/jobs/ShardOwner.h"
#include "daisyspool/routing/RetryBudget.h"
#include "daisyspool/routing/Router.h"
#include "daisyspool/telemetry/Spans.h"
#include "daisyspool/transport/Inbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace daisyspool {

/// How a request ended.
struct FlowResult {
  /// Set if the target answered.
  std::optional<wire::ServeReply> Answer;
  /// Set otherwise.
  std::optional<http::Problem> Problem;
  TargetId ServedBy;
};

/// Takes each request from admission to its answer.
///
/// A request is refused at once if its deadline cannot be met, waits in its
/// service's AdmissionQueue, is sent to the target that the Router chooses,
/// and ends with the whole answer or a problem document. An idempotent request
/// that failed is tried again elsewhere while budget and deadline allow. A
/// non-idempotent one is claimed in the log of its shard, which dispatches it
/// at most once.
///
/// Thread safety: call from the I/O thread only.
class RequestFlow {
public:
  struct Options {
    ProcessId Process;
    Incarnation Number;
    FailureDomainId Home;
  };

  /// Called once per request; frames of a stream come first through OnFrame.
  using Done = std::function<void(FlowResult)>;
  /// Returns false if the caller accepts no further frames.
  using FrameCallback = std::function<bool(const wire::ServeReply &)>;

  /// Claims a non-idempotent request for one run on the VM and calls the
  /// callback once. Returns false, without calling it, if nothing was done.
  using ClaimSender =
      std::function<bool(const CallerRequest &, const VmId &,
                         std::function<void(const CallerAnswer &)>)>;

  RequestFlow(boost::asio::io_context &Io, const Clock &Time, Options Config,
              ClaimSender Claim, TargetPool &Pool, RequestMetrics &Counters,
              SpanExporter &Spans);
  RequestFlow(const RequestFlow &) = delete;
  RequestFlow &operator=(const RequestFlow &) = delete;
  ~RequestFlow();

  /// Starts a request. Returns the key for cancel().
  std::uint64_t start(CallerRequest Received, FrameCallback OnFrame,
                      Done OnDone);

  /// Cancels the request because its caller left. OnDone is not called.
  void cancel(std::uint64_t Key);

  /// Passes a record of each idempotent request that may have run to \p Log.
  /// Claims and jobs are recorded in their shard.
  void recordTo(std::shared_ptr<Inbox<ServedRequest>> Log) {
    RecordLog = std::move(Log);
  }

  /// Events of the TargetPool.
  void onTargetUp(const PooledTarget &Target);
  void onTargetDown(const PooledTarget &Target);
  void onTargetLeaving(const PooledTarget &Target);
  void onMessage(const PooledTarget &Target, wire::Envelope Message);

  /// Requests that have not ended.
  std::size_t inProgress() const { return ActiveRequests.size(); }

private:
  struct ServiceState;
  struct ActiveRequest;
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  ServiceState &findOrAddService(const ServiceId &Id);
  void admit(const ActiveRequestPtr &Request);
  void dispatchQueued(ServiceState &Service);
  bool dispatch(const ActiveRequestPtr &Request, AttemptKind Kind);
  bool sendTo(const ActiveRequestPtr &Request, PooledTarget &Target);
  void refuseLate();
  void scheduleLateCheck();
  void armDeadline(const ActiveRequestPtr &Request);
  void onDeadline(const ActiveRequestPtr &Request);
  void onReply(const PooledTarget &Target, Incarnation Sender,
               wire::ServeReply Reply);
  void onServed(const ActiveRequestPtr &Request, wire::ServeReply Reply);
  void finishAnswered(const ActiveRequestPtr &Request, wire::ServeReply Reply,
                      bool Succeeded);
  void onRefused(const ActiveRequestPtr &Request,
                 const wire::ServeReply &Reply);
  void onFailed(const ActiveRequestPtr &Request, FailureKind Kind);
  void retryOrFail(const ActiveRequestPtr &Request);
  void requeue(const ActiveRequestPtr &Request);
  bool claim(const ActiveRequestPtr &Request, const PooledTarget &Target);
  void onClaimAnswer(const ActiveRequestPtr &Request,
                     const CallerAnswer &Answer);
  void releaseAttempt(const ActiveRequestPtr &Request);
  void finishProblem(const ActiveRequestPtr &Request, int Status,
                     std::string Type, const std::string &Detail,
                     Execution Executed);
  void finish(const ActiveRequestPtr &Request, FlowResult Result);
  void recordServed(const ActiveRequest &Request, const FlowResult &Result);
  void recordSpan(const ActiveRequest &Request, const FlowResult &Result);
  LoadReport toReport(const wire::TargetLoad &Load) const;

  boost::asio::io_context &Io;
  const Clock &Time;
  Options Config;
  ClaimSender Claim;
  TargetPool &Pool;
  RequestMetrics &Counters;
  SpanExporter &Spans;
  RetryBudget Budget;
  Random Source;
  boost::asio::steady_timer LateTimer;
  std::map<ServiceId, std::unique_ptr<ServiceState>> Services;
  std::unordered_map<std::uint64_t, ActiveRequestPtr> ActiveRequests;
  std::unordered_map<std::uint64_t, ActiveRequestPtr> ByAttempt;
  std::shared_ptr<Inbox<ServedRequest>> RecordLog;
  std::uint64_t NextKey = 1;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_REQUESTFLOW_H
