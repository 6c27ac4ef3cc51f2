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

/// How a request that was passed to a flow ended.
struct FlowResult {
  /// Set if the target answered.
  std::optional<wire::ServeReply> Answer;
  /// Set otherwise.
  std::optional<http::Problem> Problem;
  TargetId ServedBy;
};

/// Takes requests from admission to their answer.
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
  /// Returns false if the caller takes no more.
  using FrameCallback = std::function<bool(const wire::ServeReply &)>;

  /// Claims a non-idempotent request for one run on the VM and calls the
  /// callback once. Returns false if nothing was done.
  using ClaimSender =
      std::function<bool(const CallerRequest &, const VmId &,
                         std::function<void(const CallerAnswer &)>)>;

  RequestFlow(boost::asio::io_context &Io, const Clock &Time, Options Config,
              ClaimSender Claim, TargetPool &Pool, RequestMetrics &Values,
              SpanExporter &Spans);
  RequestFlow(const RequestFlow &) = delete;
  RequestFlow &operator=(const RequestFlow &) = delete;
  ~RequestFlow();

  /// Starts a request. Returns the key for cancel().
  std::uint64_t start(CallerRequest What, FrameCallback OnFrame, Done OnDone);

  /// The caller left; the answer is not wanted any more.
  void cancel(std::uint64_t Key);

  /// Passes the record of each answered idempotent request to \p Log. Claims
  /// and jobs are on record in their shard.
  void recordTo(std::shared_ptr<Inbox<ServedRequest>> Log) {
    Record = std::move(Log);
  }

  /// Events of the TargetPool.
  void onTargetUp(const PooledTarget &Target);
  void onTargetDown(const PooledTarget &Target);
  void onTargetLeaving(const PooledTarget &Target);
  void onMessage(const PooledTarget &Target, wire::Envelope What);

  /// Requests that have not ended.
  std::size_t inProgress() const { return Flights.size(); }

private:
  struct Service;
  struct Flight;
  using FlightPtr = std::shared_ptr<Flight>;

  Service &serviceOf(const ServiceId &Id);
  void offer(const FlightPtr &Which);
  void pump(Service &In);
  bool dispatch(const FlightPtr &Which, AttemptKind Kind);
  bool sendTo(const FlightPtr &Which, PooledTarget &Target);
  void dropLate();
  void scheduleDropLate();
  void armDeadline(const FlightPtr &Which);
  void onDeadline(const FlightPtr &Which);
  void onReply(const PooledTarget &Target, Incarnation Sender,
               wire::ServeReply Reply);
  void onServed(const FlightPtr &Which, wire::ServeReply Reply);
  void finishServed(const FlightPtr &Which, wire::ServeReply Reply,
                    bool Succeeded);
  void onRefused(const FlightPtr &Which, const wire::ServeReply &Reply);
  void onFailed(const FlightPtr &Which, FailureKind Kind);
  void retryOrFail(const FlightPtr &Which);
  void requeue(const FlightPtr &Which);
  bool claim(const FlightPtr &Which, const PooledTarget &Target);
  void onClaimAnswer(const FlightPtr &Which, const CallerAnswer &Answer);
  void releaseAttempt(const FlightPtr &Which);
  void finishProblem(const FlightPtr &Which, int Status, std::string Type,
                     const std::string &Detail, Execution Executed);
  void finish(const FlightPtr &Which, FlowResult Result);
  void recordRun(const Flight &Which, const FlowResult &Result);
  void recordSpan(const Flight &Which, const FlowResult &Result);
  LoadReport toReport(const wire::TargetLoad &Load) const;

  boost::asio::io_context &Io;
  const Clock &Time;
  Options Config;
  ClaimSender Claim;
  TargetPool &Pool;
  RequestMetrics &Values;
  SpanExporter &Spans;
  RetryBudget Budget;
  Random Source;
  boost::asio::steady_timer LateTimer;
  std::map<ServiceId, std::unique_ptr<Service>> Services;
  std::unordered_map<std::uint64_t, FlightPtr> Flights;
  std::unordered_map<std::uint64_t, FlightPtr> ByAttempt;
  std::shared_ptr<Inbox<ServedRequest>> Record;
  std::uint64_t NextKey = 1;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_REQUESTFLOW_H
