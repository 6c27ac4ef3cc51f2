#include "daisyspool/entry/RequestFlow.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace daisyspool {

namespace {

constexpr Millis LateCheckInterval{2};
/// Without requests the check only lets the queues' estimates decay.
constexpr Millis IdleCheckInterval{100};
/// Attempts of one request, including sends that failed in this process.
constexpr std::uint32_t MaxAttempts = 6;

Occupancy occupancyOf(const CallerRequest &Request) {
  return Request.Streamed ? Occupancy::ConnectionOnly : Occupancy::Slot;
}

} // namespace

struct RequestFlow::ServiceState {
  ServiceState(const RouterSettings &Settings, RetryBudget &Budget,
               std::uint64_t Seed)
      : Routes(Settings, Budget, Seed), Queue(AdmissionSettings{}) {}

  Router Routes;
  AdmissionQueue Queue;
};

struct RequestFlow::ActiveRequest {
  ActiveRequest(boost::asio::io_context &Io, CallerRequest Received)
      : Received(std::move(Received)), Deadline(Io) {}

  enum class Phase { Queued, Sent, Claimed, Ended };

  std::uint64_t Key = 0;
  CallerRequest Received;
  FrameCallback OnFrame;
  Done OnDone;
  ServiceState *Service = nullptr;
  boost::asio::steady_timer Deadline;
  TimePoint Arrived;
  TimePoint SentAt;
  TimePoint ExpiresAt;
  Phase State = Phase::Queued;
  /// The capacity of the admission queue that the request holds.
  std::optional<Dispatch> HeldCapacity;
  std::optional<AttemptTicket> Ticket;
  wire::AttemptId Attempt;
  Incarnation AgentIncarnation;
  TargetId SentTo;
  std::string SpanId;
  std::vector<TargetId> Tried;
  std::uint32_t Attempts = 0;
  std::uint32_t NextFrame = 0;
  /// An earlier attempt may have run.
  bool MayHaveRun = false;
};

RequestFlow::RequestFlow(boost::asio::io_context &Io, const Clock &Time,
                         Options Config, ClaimSender Claim, TargetPool &Pool,
                         RequestMetrics &Counters, SpanExporter &Spans)
    : Io(Io), Time(Time), Config(std::move(Config)), Claim(std::move(Claim)),
      Pool(Pool), Counters(Counters), Spans(Spans),
      Source(
          stableHash(this->Config.Process.str(), this->Config.Number.value())),
      LateTimer(Io) {
  scheduleLateCheck();
}

RequestFlow::~RequestFlow() = default;

RequestFlow::ServiceState &RequestFlow::findOrAddService(const ServiceId &Id) {
  auto &Slot = Services[Id];
  if (!Slot) {
    RouterSettings Settings;
    Settings.Home = Config.Home;
    Slot = std::make_unique<ServiceState>(Settings, Budget, Source.next());
  }

  return *Slot;
}

std::uint64_t RequestFlow::start(CallerRequest Received, FrameCallback OnFrame,
                                 Done OnDone) {
  auto Request = std::make_shared<ActiveRequest>(Io, std::move(Received));
  Request->Key = NextKey++;
  Request->OnFrame = std::move(OnFrame);
  Request->OnDone = std::move(OnDone);
  Request->Arrived = Time.now();
  Request->ExpiresAt = Request->Arrived + Request->Received.Deadline;
  Request->SpanId = newSpanId(Source);
  ActiveRequests.emplace(Request->Key, Request);
  if (ActiveRequests.size() == 1)
    scheduleLateCheck();

  auto Found = Services.find(Request->Received.Service);
  if (Found == Services.end()) {
    finishProblem(Request, 404, "unknown-service",
                  "No target of this service has been announced",
                  Execution::NotRun);
    return Request->Key;
  }
  Request->Service = Found->second.get();
  admit(Request);
  return Request->Key;
}

void RequestFlow::admit(const ActiveRequestPtr &Request) {
  ServiceState &Service = *Request->Service;
  TimePoint Now = Time.now();
  Occupancy Holds = occupancyOf(Request->Received);
  Service.Queue.setCapacity(Holds, Service.Routes.capacity(Holds));
  Work Offered{Request->Key,
               Request->Received.Class,
               Request->Received.Team,
               Request->ExpiresAt - Now,
               Holds,
               Request->MayHaveRun};
  AdmissionDecision Decision = Service.Queue.offer(Offered, Now);
  if (const auto *Refusal = std::get_if<Refused>(&Decision))
    return finishProblem(Request, 503, toString(Refusal->Reason),
                         explain(Decision), Refusal->Executed);

  armDeadline(Request);
  if (auto *Start = std::get_if<Admitted>(&Decision)) {
    Request->HeldCapacity = Start->Start;
    if (!dispatch(Request, AttemptKind::First))
      requeue(Request);
  }
}

void RequestFlow::armDeadline(const ActiveRequestPtr &Request) {
  Request->Deadline.expires_after(Request->ExpiresAt - Time.now());
  Request->Deadline.async_wait(
      [this, Weak = std::weak_ptr<ActiveRequest>(Request)](
          boost::system::error_code Failure) {
        auto Late = Weak.lock();
        if (!Failure && Late && Late->State != ActiveRequest::Phase::Ended)
          onDeadline(Late);
      });
}

bool RequestFlow::dispatch(const ActiveRequestPtr &Request, AttemptKind Kind) {
  ServiceState &Service = *Request->Service;
  RouteRequest Route;
  Route.Holds = occupancyOf(Request->Received);
  Route.Kind = Kind;
  Route.Idempotent = Request->Received.Idempotent;
  Route.Remaining = Request->ExpiresAt - Time.now();
  Route.ExpectedService =
      Service.Queue.expectedService(Request->Received.Class);
  Route.Waiting = Service.Queue.queued(Request->Received.Class) + 1;
  Route.Class = Request->Received.Class;
  Route.ReservationAbove =
      Service.Queue.reservationAbove(Request->Received.Class);
  while (Request->Attempts < MaxAttempts) {
    Route.Tried = Request->Tried;
    TimePoint Now = Time.now();
    auto Chosen = Service.Routes.choose(Route, Now);
    if (!Chosen)
      return false;

    AttemptTicket Ticket = Service.Routes.onSent(*Chosen, Route, Now);
    ++Request->Attempts;
    if (Request->Attempts > 1)
      Counters.countExtraAttempt();
    PooledTarget *Target = Pool.find(*Chosen);
    bool Sent = Target != nullptr &&
                (Request->Received.Idempotent ? sendTo(Request, *Target)
                                              : claim(Request, *Target));
    if (Sent) {
      Request->Ticket = Ticket;
      return true;
    }
    // Nothing was sent, so another target may be tried.
    Service.Routes.onFailure(Ticket, FailureKind::Full, Now);
    Request->Tried.push_back(*Chosen);
  }
  return false;
}

bool RequestFlow::sendTo(const ActiveRequestPtr &Request,
                         PooledTarget &Target) {
  const CallerRequest &Received = Request->Received;
  wire::ServeRequest Message;
  Message.Attempt = wire::AttemptId(Source.next());
  Message.ReceiverIncarnation = Target.Announced.Number;
  Message.Request = Received.Id;
  Message.Service = Received.Service;
  Message.Team = Received.Team;
  Message.Caller = Received.Caller;
  Message.Class = Received.Class;
  Message.Streamed = Received.Streamed;
  Message.Remaining = Request->ExpiresAt - Time.now();
  Message.Trace = {Received.Trace.TraceId, Request->SpanId,
                   Received.Trace.Sampled};
  Message.LastEvent = Received.LastEvent;
  Message.Method = Received.Method;
  Message.Path = Received.Path;
  Message.Body = Received.Body;
  wire::AttemptId Attempt = Message.Attempt;
  wire::Envelope Outgoing{
      Config.Process, Config.Number, {}, std::move(Message)};
  if (Target.Connection->send(Outgoing) != Link::SendResult::Sent)
    return false;

  Request->Attempt = Attempt;
  Request->AgentIncarnation = Target.Announced.Number;
  Request->SentTo = Target.Id;
  Request->SentAt = Time.now();
  Request->State = ActiveRequest::Phase::Sent;
  ByAttempt.emplace(Attempt.value(), Request);
  return true;
}

void RequestFlow::requeue(const ActiveRequestPtr &Request) {
  assert(Request->HeldCapacity);
  Request->State = ActiveRequest::Phase::Queued;
  Request->Service->Queue.restore(
      *std::exchange(Request->HeldCapacity, std::nullopt), Time.now());
}

void RequestFlow::dispatchQueued(ServiceState &Service) {
  for (Occupancy Holds : {Occupancy::Slot, Occupancy::ConnectionOnly})
    Service.Queue.setCapacity(Holds, Service.Routes.capacity(Holds));

  // A request that finds no target is queued again. Its class is left out of
  // this round, because the next request of the class would find none either.
  ClassSet Eligible = ClassSet::all();
  while (!Eligible.empty()) {
    auto Next = Service.Queue.next(Time.now(), Eligible);
    if (!Next)
      return;
    auto Found = ActiveRequests.find(Next->Key);
    if (Found == ActiveRequests.end()) {
      Service.Queue.onDone(*Next, Duration::zero(), Duration::zero(), false);
      continue;
    }
    ActiveRequestPtr Request = Found->second;
    Request->HeldCapacity = *Next;
    if (!dispatch(Request, AttemptKind::First)) {
      Eligible = Eligible.without(Request->Received.Class);
      requeue(Request);
    }
  }
}

void RequestFlow::scheduleLateCheck() {
  LateTimer.expires_after(ActiveRequests.empty() ? IdleCheckInterval
                                                 : LateCheckInterval);
  LateTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    refuseLate();
    scheduleLateCheck();
  });
}

void RequestFlow::refuseLate() {
  for (auto &[Id, Each] : Services) {
    Each->Queue.dropLate(Time.now());
    while (auto Late = Each->Queue.nextRefused()) {
      auto Found = ActiveRequests.find(Late->Key);
      if (Found == ActiveRequests.end())
        continue;
      finishProblem(Found->second, 503, toString(Late->Reason),
                    explain(AdmissionDecision(*Late)), Late->Executed);
    }
    dispatchQueued(*Each);
  }
}

void RequestFlow::onDeadline(const ActiveRequestPtr &Request) {
  if (Request->State == ActiveRequest::Phase::Queued)
    return finishProblem(Request, 504, "deadline-exceeded",
                         "The deadline passed while the request was queued",
                         Request->MayHaveRun ? Execution::Unknown
                                             : Execution::NotRun);
  // The deadline of a stream applies to its first frame only.
  if (Request->Received.Streamed && Request->NextFrame > 0)
    return;

  // A claimed request keeps running. The shard keeps its answer for a caller
  // that retries.
  PooledTarget *Target = Pool.find(Request->SentTo);
  if (Target != nullptr && Request->State == ActiveRequest::Phase::Sent)
    Target->Connection->send({Config.Process,
                              Config.Number,
                              {},
                              wire::CancelAttempt{Request->Attempt}});
  finishProblem(Request, 504, "deadline-exceeded",
                "The target did not answer before the deadline",
                Execution::Unknown);
}

void RequestFlow::cancel(std::uint64_t Key) {
  auto Found = ActiveRequests.find(Key);
  if (Found == ActiveRequests.end())
    return;

  ActiveRequestPtr Request = Found->second;
  if (Request->State == ActiveRequest::Phase::Sent)
    if (PooledTarget *Target = Pool.find(Request->SentTo))
      Target->Connection->send({Config.Process,
                                Config.Number,
                                {},
                                wire::CancelAttempt{Request->Attempt}});
  Request->OnDone = nullptr;
  finishProblem(Request, 499, "caller-left", "The caller closed the connection",
                Execution::Unknown);
}

void RequestFlow::onTargetUp(const PooledTarget &Target) {
  if (Target.Announced.Leaving)
    return;

  ServiceState &Service = findOrAddService(Target.Announced.Service);
  Service.Routes.addTarget({Target.Id, Target.Announced.FailureDomain,
                            Target.Announced.Slots,
                            Target.Announced.Connections},
                           Time.now(), Service.Routes.targetCount() == 0);

  dispatchQueued(Service);
}

void RequestFlow::onTargetDown(const PooledTarget &Target) {
  findOrAddService(Target.Announced.Service)
      .Routes.removeTarget(Target.Id, Time.now());
  std::vector<ActiveRequestPtr> Lost;
  for (auto &[Key, Each] : ActiveRequests)
    if (Each->State == ActiveRequest::Phase::Sent && Each->SentTo == Target.Id)
      Lost.push_back(Each);
  for (const ActiveRequestPtr &Each : Lost)
    onFailed(Each, FailureKind::LinkSilent);
}

void RequestFlow::onTargetLeaving(const PooledTarget &Target) {
  LogEvent(LogLevel::Info, "target_leaving").with("target", Target.Id);
  findOrAddService(Target.Announced.Service)
      .Routes.removeTarget(Target.Id, Time.now());
}

void RequestFlow::onMessage(const PooledTarget &Target,
                            wire::Envelope Message) {
  if (auto *Reply = std::get_if<wire::ServeReply>(&Message.Content))
    onReply(Target, Message.SenderIncarnation, std::move(*Reply));
}

void RequestFlow::onReply(const PooledTarget &Target, Incarnation Sender,
                          wire::ServeReply Reply) {
  auto Found = ByAttempt.find(Reply.Attempt.value());
  // A reply to an attempt that has already ended is dropped.
  if (Found == ByAttempt.end() || Found->second->SentTo != Target.Id)
    return;

  ActiveRequestPtr Request = Found->second;
  // Only the incarnation that received the attempt knows its outcome.
  if (Sender != Request->AgentIncarnation &&
      Reply.Outcome != wire::ServeOutcome::Refused)
    return onFailed(Request, FailureKind::Error);

  switch (Reply.Outcome) {
  case wire::ServeOutcome::Served:
    return onServed(Request, std::move(Reply));
  case wire::ServeOutcome::Refused:
    return onRefused(Request, Reply);
  case wire::ServeOutcome::Failed:
    return onFailed(Request, FailureKind::Error);
  }
}

void RequestFlow::onServed(const ActiveRequestPtr &Request,
                           wire::ServeReply Reply) {
  if (Reply.Frame != Request->NextFrame) {
    LogEvent(LogLevel::Warning, "frame_missing")
        .with("request", Request->Received.Id)
        .with("expected", static_cast<std::int64_t>(Request->NextFrame));
    return finishProblem(Request, 502, "answer-incomplete",
                         "A part of the answer was lost", Execution::Unknown);
  }

  ++Request->NextFrame;
  if (!Reply.Last) {
    if (!Request->OnFrame || !Request->OnFrame(Reply))
      cancel(Request->Key);
    return;
  }

  TimePoint Now = Time.now();
  // A 5xx answer counts as a failure, so that a target that fails every
  // request does not count as healthy.
  bool Succeeded = Reply.Status < 500;
  if (Request->Ticket) {
    if (Succeeded)
      Request->Service->Routes.onReply(*Request->Ticket, toReport(Reply.Load),
                                       Now);
    else
      Request->Service->Routes.onFailure(*Request->Ticket, FailureKind::Error,
                                         Now);
    Request->Ticket.reset();
  }
  if (!Succeeded && !Request->Received.Streamed &&
      Request->Attempts < MaxAttempts) {
    ByAttempt.erase(Request->Attempt.value());
    Request->Tried.push_back(Request->SentTo);
    Request->NextFrame = 0;
    if (dispatch(Request, AttemptKind::Retry))
      return;
  }
  finishAnswered(Request, std::move(Reply), Succeeded);
}

void RequestFlow::finishAnswered(const ActiveRequestPtr &Request,
                                 wire::ServeReply Reply, bool Succeeded) {
  TimePoint Now = Time.now();
  Duration AtTarget = Reply.Load.AtTarget > Duration::zero()
                          ? Reply.Load.AtTarget
                          : Now - Request->SentAt;
  if (Request->HeldCapacity)
    Request->Service->Queue.onDone(
        *std::exchange(Request->HeldCapacity, std::nullopt),
        Now - Request->SentAt, AtTarget, Succeeded);
  Counters.countServed(Request->Received.Class, Now - Request->Arrived);
  FlowResult Result;
  Result.ServedBy = Request->SentTo;
  Result.Answer = std::move(Reply);
  finish(Request, std::move(Result));
}

void RequestFlow::onRefused(const ActiveRequestPtr &Request,
                            const wire::ServeReply &Reply) {
  ByAttempt.erase(Request->Attempt.value());
  if (Request->Ticket) {
    Request->Service->Routes.onFailure(*Request->Ticket, FailureKind::Full,
                                       Time.now());
    Request->Ticket.reset();
  }
  if (Reply.Reason == wire::RefusalReason::Draining)
    Request->Service->Routes.removeTarget(Request->SentTo, Time.now());
  if (Reply.Reason == wire::RefusalReason::Duplicate)
    return finishProblem(Request, 409, "duplicate-attempt",
                         "The target has seen this attempt before",
                         Execution::Unknown);

  Request->Tried.push_back(Request->SentTo);
  if (Request->Attempts >= MaxAttempts)
    return finishProblem(Request, 503, "no-target",
                         "Every target that was tried refused the request",
                         Request->MayHaveRun ? Execution::Unknown
                                             : Execution::NotRun);
  if (Request->HeldCapacity)
    requeue(Request);
}

void RequestFlow::onFailed(const ActiveRequestPtr &Request, FailureKind Kind) {
  if (Request->Ticket) {
    Request->Service->Routes.onFailure(*Request->Ticket, Kind, Time.now());
    Request->Ticket.reset();
  }
  Request->MayHaveRun = true;
  if (!Request->Received.Streamed)
    return retryOrFail(Request);

  finishProblem(Request, 502, "target-failed",
                "The target failed while it served the request",
                Execution::Unknown);
}

void RequestFlow::retryOrFail(const ActiveRequestPtr &Request) {
  ByAttempt.erase(Request->Attempt.value());
  Request->Tried.push_back(Request->SentTo);
  if (dispatch(Request, AttemptKind::Retry))
    return;

  finishProblem(Request, 502, "target-failed",
                "The target failed and no retry was possible",
                Execution::Unknown);
}

bool RequestFlow::claim(const ActiveRequestPtr &Request,
                        const PooledTarget &Target) {
  std::weak_ptr<ActiveRequest> Weak = Request;
  auto OnAnswer = [this, Weak](const CallerAnswer &Answer) {
    auto Claimed = Weak.lock();
    if (Claimed && Claimed->State == ActiveRequest::Phase::Claimed)
      onClaimAnswer(Claimed, Answer);
  };
  if (!Claim(Request->Received, Target.Announced.Vm, OnAnswer))
    return false;

  Request->SentTo = Target.Id;
  Request->SentAt = Time.now();
  Request->State = ActiveRequest::Phase::Claimed;
  return true;
}

void RequestFlow::onClaimAnswer(const ActiveRequestPtr &Request,
                                const CallerAnswer &Answer) {
  switch (Answer.Kind) {
  case AnswerKind::Answered:
  case AnswerKind::Accepted: {
    wire::ServeReply Reply;
    Reply.Status = Answer.Status;
    Reply.Body = Answer.Body;
    Reply.ContentType = "application/json";
    return finishAnswered(Request, std::move(Reply), Answer.Status < 500);
  }
  case AnswerKind::NotRun:
    return finishProblem(Request, 503, "not-run",
                         "The request could not be claimed or was refused by "
                         "its target",
                         Execution::NotRun);
  case AnswerKind::Conflict:
    return finishProblem(Request, 409, "conflict",
                         "The Idempotency-Key belongs to another request or "
                         "another caller",
                         Execution::NotRun);
  case AnswerKind::TooLarge:
    return finishProblem(Request, 413, "too-large",
                         "The request is too large to be claimed",
                         Execution::NotRun);
  case AnswerKind::Unknown:
  case AnswerKind::NotFound:
    return finishProblem(Request, 502, "outcome-unknown",
                         "Whether the request was run cannot be known",
                         Execution::Unknown);
  }
}

void RequestFlow::releaseAttempt(const ActiveRequestPtr &Request) {
  ByAttempt.erase(Request->Attempt.value());
  if (Request->Ticket) {
    Request->Service->Routes.onCancelled(*Request->Ticket, Time.now());
    Request->Ticket.reset();
  }
  if (Request->HeldCapacity)
    Request->Service->Queue.onDone(
        *std::exchange(Request->HeldCapacity, std::nullopt),
        Time.now() - Request->SentAt, Duration::zero(), false);
}

void RequestFlow::finishProblem(const ActiveRequestPtr &Request, int Status,
                                std::string Type, const std::string &Detail,
                                Execution Executed) {
  Counters.countProblem(Request->Received.Class, Type);
  FlowResult Result;
  Result.ServedBy = Request->SentTo;
  Result.Problem = http::Problem{Status, std::move(Type), Detail, Executed};
  finish(Request, std::move(Result));
}

void RequestFlow::finish(const ActiveRequestPtr &Request, FlowResult Result) {
  if (Request->State == ActiveRequest::Phase::Ended)
    return;

  Request->State = ActiveRequest::Phase::Ended;
  Request->Deadline.cancel();
  releaseAttempt(Request);
  ActiveRequests.erase(Request->Key);
  recordSpan(*Request, Result);
  recordServed(*Request, Result);
  if (auto OnDone = std::exchange(Request->OnDone, nullptr))
    OnDone(std::move(Result));
  if (Request->Service != nullptr)
    dispatchQueued(*Request->Service);
}

void RequestFlow::recordServed(const ActiveRequest &Request,
                               const FlowResult &Result) {
  // Requests that certainly did not run are left out of the record.
  bool NotRun = Result.Problem && Result.Problem->Executed == Execution::NotRun;
  if (!RecordLog || !Request.Received.Idempotent || NotRun)
    return;

  ServedRequest Line;
  Line.Request = Request.Received.Id;
  Line.Caller = Request.Received.Caller;
  Line.Service = Request.Received.Service;
  if (PooledTarget *Target = Pool.find(Request.SentTo))
    Line.Vm = Target->Announced.Vm;
  Duration Took = Time.now() - Request.Arrived;
  Line.StartedAtMillis =
      (Time.wallNow() - std::chrono::duration_cast<WallMillis>(Took)).count();
  Line.MicrosTaken =
      std::chrono::duration_cast<std::chrono::microseconds>(Took).count();
  Line.Status = Result.Answer ? Result.Answer->Status : Result.Problem->Status;
  if (!RecordLog->tryPush(Line))
    LogEvent(LogLevel::Error, "record_dropped")
        .with("request", Request.Received.Id);
}

void RequestFlow::recordSpan(const ActiveRequest &Request,
                             const FlowResult &Result) {
  if (!Request.Received.Trace.Sampled)
    return;

  Duration Took = Time.now() - Request.Arrived;
  Span RequestSpan;
  RequestSpan.Context = Request.Received.Trace;
  RequestSpan.SpanId = Request.SpanId;
  RequestSpan.Name = "entry.request";
  RequestSpan.Start =
      Time.wallNow() - std::chrono::duration_cast<WallMillis>(Took);
  RequestSpan.Length = Took;
  RequestSpan.Failed = Result.Problem.has_value();
  RequestSpan.Attributes = {{"request", Request.Received.Id.str()},
                            {"class", toString(Request.Received.Class)},
                            {"target", Request.SentTo.str()},
                            {"attempts", std::to_string(Request.Attempts)}};
  Spans.record(std::move(RequestSpan));
}

LoadReport RequestFlow::toReport(const wire::TargetLoad &Load) const {
  LoadReport Result;
  Result.BusySlots = Load.BusySlots;
  Result.Queued = Load.Queued;
  Result.OpenConnections = Load.Connections;
  Result.OwnSlots = Load.OwnSlots;
  Result.OwnConnections = Load.OwnConnections;
  Result.AtTarget = Load.AtTarget;
  return Result;
}

} // namespace daisyspool
