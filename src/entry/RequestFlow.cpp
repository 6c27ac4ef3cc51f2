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
/// Without requests the check only lets old estimates fade.
constexpr Millis IdleCheckInterval{100};
/// Attempts of one request, sends that never left this process included.
constexpr std::uint32_t MaxAttempts = 6;

Occupancy holdsOf(const CallerRequest &What) {
  return What.Streamed ? Occupancy::ConnectionOnly : Occupancy::Slot;
}

} // namespace

struct RequestFlow::Service {
  Service(const RouterSettings &Settings, RetryBudget &Budget,
          std::uint64_t Seed)
      : Routes(Settings, Budget, Seed), Queue(AdmissionSettings{}) {}

  Router Routes;
  AdmissionQueue Queue;
};

struct RequestFlow::Flight {
  Flight(boost::asio::io_context &Io, CallerRequest What)
      : What(std::move(What)), Deadline(Io) {}

  enum class Phase { Queued, Sent, Claimed, Ended };

  std::uint64_t Key = 0;
  CallerRequest What;
  FrameCallback OnFrame;
  Done OnDone;
  Service *In = nullptr;
  boost::asio::steady_timer Deadline;
  TimePoint Arrived;
  TimePoint SentAt;
  TimePoint ExpiresAt;
  Phase State = Phase::Queued;
  std::optional<Dispatch> Held;
  std::optional<AttemptTicket> Ticket;
  wire::AttemptId Attempt;
  Incarnation AgentNumber;
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
                         RequestMetrics &Values, SpanExporter &Spans)
    : Io(Io), Time(Time), Config(std::move(Config)), Claim(std::move(Claim)),
      Pool(Pool), Values(Values), Spans(Spans),
      Source(
          stableHash(this->Config.Process.str(), this->Config.Number.value())),
      LateTimer(Io) {
  scheduleDropLate();
}

RequestFlow::~RequestFlow() = default;

RequestFlow::Service &RequestFlow::serviceOf(const ServiceId &Id) {
  auto &Slot = Services[Id];
  if (!Slot) {
    RouterSettings Settings;
    Settings.Home = Config.Home;
    Slot = std::make_unique<Service>(Settings, Budget, Source.next());
  }

  return *Slot;
}

std::uint64_t RequestFlow::start(CallerRequest What, FrameCallback OnFrame,
                                 Done OnDone) {
  auto Which = std::make_shared<Flight>(Io, std::move(What));
  Which->Key = NextKey++;
  Which->OnFrame = std::move(OnFrame);
  Which->OnDone = std::move(OnDone);
  Which->Arrived = Time.now();
  Which->ExpiresAt = Which->Arrived + Which->What.Deadline;
  Which->SpanId = newSpanId(Source);
  Flights.emplace(Which->Key, Which);
  if (Flights.size() == 1)
    scheduleDropLate();

  auto Found = Services.find(Which->What.Service);
  if (Found == Services.end()) {
    finishProblem(Which, 404, "unknown-service",
                  "No target of this service has been announced",
                  Execution::NotRun);
    return Which->Key;
  }
  Which->In = Found->second.get();
  offer(Which);
  return Which->Key;
}

void RequestFlow::offer(const FlightPtr &Which) {
  Service &In = *Which->In;
  TimePoint Now = Time.now();
  Occupancy Holds = holdsOf(Which->What);
  In.Queue.setCapacity(Holds, In.Routes.capacity(Holds));
  Work Request{
      Which->Key, Which->What.Class, Which->What.Team, Which->ExpiresAt - Now,
      Holds,      Which->MayHaveRun};
  AdmissionDecision Decision = In.Queue.offer(Request, Now);
  if (const auto *Refusal = std::get_if<Refused>(&Decision))
    return finishProblem(Which, 503, toString(Refusal->Reason),
                         explain(Decision), Refusal->Executed);

  armDeadline(Which);
  if (auto *Start = std::get_if<Admitted>(&Decision)) {
    Which->Held = Start->Start;
    if (!dispatch(Which, AttemptKind::First))
      requeue(Which);
  }
}

void RequestFlow::armDeadline(const FlightPtr &Which) {
  Which->Deadline.expires_after(Which->ExpiresAt - Time.now());
  Which->Deadline.async_wait([this, Weak = std::weak_ptr<Flight>(Which)](
                                 boost::system::error_code Failure) {
    auto Late = Weak.lock();
    if (!Failure && Late && Late->State != Flight::Phase::Ended)
      onDeadline(Late);
  });
}

bool RequestFlow::dispatch(const FlightPtr &Which, AttemptKind Kind) {
  Service &In = *Which->In;
  RouteRequest Request;
  Request.Holds = holdsOf(Which->What);
  Request.Kind = Kind;
  Request.Idempotent = Which->What.Idempotent;
  Request.Remaining = Which->ExpiresAt - Time.now();
  Request.ExpectedService = In.Queue.expectedService(Which->What.Class);
  Request.Waiting = In.Queue.queued(Which->What.Class) + 1;
  Request.Class = Which->What.Class;
  Request.ReservationAbove = In.Queue.reservationAbove(Which->What.Class);
  while (Which->Attempts < MaxAttempts) {
    Request.Tried = Which->Tried;
    TimePoint Now = Time.now();
    auto Chosen = In.Routes.choose(Request, Now);
    if (!Chosen)
      return false;

    AttemptTicket Ticket = In.Routes.onSent(*Chosen, Request, Now);
    ++Which->Attempts;
    if (Which->Attempts > 1)
      Values.extraAttempt();
    PooledTarget *Target = Pool.find(*Chosen);
    bool Sent =
        Target != nullptr && (Which->What.Idempotent ? sendTo(Which, *Target)
                                                     : claim(Which, *Target));
    if (Sent) {
      Which->Ticket = Ticket;
      return true;
    }
    // Not a byte left this process, so that another target may be tried.
    In.Routes.onFailure(Ticket, FailureKind::Full, Now);
    Which->Tried.push_back(*Chosen);
  }
  return false;
}

bool RequestFlow::sendTo(const FlightPtr &Which, PooledTarget &Target) {
  const CallerRequest &What = Which->What;
  wire::ServeRequest Message;
  Message.Attempt = wire::AttemptId(Source.next());
  Message.Receiver = Target.About.Number;
  Message.Request = What.Id;
  Message.Service = What.Service;
  Message.Team = What.Team;
  Message.Caller = What.Caller;
  Message.Class = What.Class;
  Message.Streamed = What.Streamed;
  Message.Remaining = Which->ExpiresAt - Time.now();
  Message.Trace = {What.Trace.TraceId, Which->SpanId, What.Trace.Sampled};
  Message.LastEvent = What.LastEvent;
  Message.Method = What.Method;
  Message.Path = What.Path;
  Message.Body = What.Body;
  wire::AttemptId Attempt = Message.Attempt;
  wire::Envelope Outgoing{
      Config.Process, Config.Number, {}, std::move(Message)};
  if (Target.Connection->send(Outgoing) != Link::SendResult::Sent)
    return false;

  Which->Attempt = Attempt;
  Which->AgentNumber = Target.About.Number;
  Which->SentTo = Target.Id;
  Which->SentAt = Time.now();
  Which->State = Flight::Phase::Sent;
  ByAttempt.emplace(Attempt.value(), Which);
  return true;
}

void RequestFlow::requeue(const FlightPtr &Which) {
  assert(Which->Held);
  Which->State = Flight::Phase::Queued;
  Which->In->Queue.restore(*std::exchange(Which->Held, std::nullopt),
                           Time.now());
}

void RequestFlow::pump(Service &In) {
  for (Occupancy Holds : {Occupancy::Slot, Occupancy::ConnectionOnly})
    In.Queue.setCapacity(Holds, In.Routes.capacity(Holds));

  // A request that finds no target goes back and ends the round, as the next
  // one of its class would not find one either.
  ClassSet Eligible = ClassSet::all();
  while (!Eligible.empty()) {
    auto Next = In.Queue.next(Time.now(), Eligible);
    if (!Next)
      return;
    auto Found = Flights.find(Next->Key);
    if (Found == Flights.end()) {
      In.Queue.onDone(*Next, Duration::zero(), Duration::zero(), false);
      continue;
    }
    FlightPtr Which = Found->second;
    Which->Held = *Next;
    if (!dispatch(Which, AttemptKind::First)) {
      Eligible = Eligible.without(Which->What.Class);
      requeue(Which);
    }
  }
}

void RequestFlow::scheduleDropLate() {
  LateTimer.expires_after(Flights.empty() ? IdleCheckInterval
                                          : LateCheckInterval);
  LateTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    dropLate();
    scheduleDropLate();
  });
}

void RequestFlow::dropLate() {
  for (auto &[Id, Each] : Services) {
    Each->Queue.dropLate(Time.now());
    while (auto Late = Each->Queue.nextRefused()) {
      auto Found = Flights.find(Late->Key);
      if (Found == Flights.end())
        continue;
      finishProblem(Found->second, 503, toString(Late->Reason),
                    explain(AdmissionDecision(*Late)), Late->Executed);
    }
    pump(*Each);
  }
}

void RequestFlow::onDeadline(const FlightPtr &Which) {
  if (Which->State == Flight::Phase::Queued)
    return finishProblem(Which, 504, "deadline-exceeded",
                         "The deadline passed while the request was queued",
                         Which->MayHaveRun ? Execution::Unknown
                                           : Execution::NotRun);
  // A stream has no end that could be late; its deadline bounds the start.
  if (Which->What.Streamed && Which->NextFrame > 0)
    return;

  // A claimed request goes on, and its answer is kept for the next try.
  PooledTarget *Target = Pool.find(Which->SentTo);
  if (Target != nullptr && Which->State == Flight::Phase::Sent)
    Target->Connection->send({Config.Process,
                              Config.Number,
                              {},
                              wire::CancelAttempt{Which->Attempt}});
  finishProblem(Which, 504, "deadline-exceeded",
                "The target did not answer before the deadline",
                Execution::Unknown);
}

void RequestFlow::cancel(std::uint64_t Key) {
  auto Found = Flights.find(Key);
  if (Found == Flights.end())
    return;

  FlightPtr Which = Found->second;
  if (Which->State == Flight::Phase::Sent)
    if (PooledTarget *Target = Pool.find(Which->SentTo))
      Target->Connection->send({Config.Process,
                                Config.Number,
                                {},
                                wire::CancelAttempt{Which->Attempt}});
  Which->OnDone = nullptr;
  finishProblem(Which, 499, "caller-left", "The caller closed the connection",
                Execution::Unknown);
}

void RequestFlow::onTargetUp(const PooledTarget &Target) {
  if (Target.About.Leaving)
    return;

  Service &In = serviceOf(Target.About.Service);
  In.Routes.addTarget({Target.Id, Target.About.FailureDomain,
                       Target.About.Slots, Target.About.Connections},
                      Time.now(), In.Routes.targetCount() == 0);

  pump(In);
}

void RequestFlow::onTargetDown(const PooledTarget &Target) {
  serviceOf(Target.About.Service).Routes.removeTarget(Target.Id, Time.now());
  std::vector<FlightPtr> Lost;
  for (auto &[Key, Each] : Flights)
    if (Each->State == Flight::Phase::Sent && Each->SentTo == Target.Id)
      Lost.push_back(Each);
  for (const FlightPtr &Each : Lost)
    onFailed(Each, FailureKind::LinkSilent);
}

void RequestFlow::onTargetLeaving(const PooledTarget &Target) {
  LogEvent(LogLevel::Info, "target_leaving").with("target", Target.Id);
  serviceOf(Target.About.Service).Routes.removeTarget(Target.Id, Time.now());
}

void RequestFlow::onMessage(const PooledTarget &Target, wire::Envelope What) {
  if (auto *Reply = std::get_if<wire::ServeReply>(&What.Content))
    onReply(Target, What.Sender, std::move(*Reply));
}

void RequestFlow::onReply(const PooledTarget &Target, Incarnation Sender,
                          wire::ServeReply Reply) {
  auto Found = ByAttempt.find(Reply.Attempt.value());
  // An answer to an attempt that has ended otherwise is dropped.
  if (Found == ByAttempt.end() || Found->second->SentTo != Target.Id)
    return;

  FlightPtr Which = Found->second;
  // Only the incarnation that got the attempt can speak of it.
  if (Sender != Which->AgentNumber &&
      Reply.Outcome != wire::ServeOutcome::Refused)
    return onFailed(Which, FailureKind::Error);

  switch (Reply.Outcome) {
  case wire::ServeOutcome::Served:
    return onServed(Which, std::move(Reply));
  case wire::ServeOutcome::Refused:
    return onRefused(Which, Reply);
  case wire::ServeOutcome::Failed:
    return onFailed(Which, FailureKind::Error);
  }
}

void RequestFlow::onServed(const FlightPtr &Which, wire::ServeReply Reply) {
  if (Reply.Frame != Which->NextFrame) {
    LogEvent(LogLevel::Warning, "frame_missing")
        .with("request", Which->What.Id)
        .with("expected", static_cast<std::int64_t>(Which->NextFrame));
    return finishProblem(Which, 502, "answer-incomplete",
                         "A part of the answer was lost", Execution::Unknown);
  }

  ++Which->NextFrame;
  if (!Reply.Last) {
    if (!Which->OnFrame || !Which->OnFrame(Reply))
      cancel(Which->Key);
    return;
  }

  TimePoint Now = Time.now();
  // The answer of a target that fails everything must not look like success.
  bool Succeeded = Reply.Status < 500;
  if (Which->Ticket) {
    if (Succeeded)
      Which->In->Routes.onReply(*Which->Ticket, toReport(Reply.Load), Now);
    else
      Which->In->Routes.onFailure(*Which->Ticket, FailureKind::Error, Now);
    Which->Ticket.reset();
  }
  if (!Succeeded && !Which->What.Streamed && Which->Attempts < MaxAttempts) {
    ByAttempt.erase(Which->Attempt.value());
    Which->Tried.push_back(Which->SentTo);
    Which->NextFrame = 0;
    if (dispatch(Which, AttemptKind::Retry))
      return;
  }
  finishServed(Which, std::move(Reply), Succeeded);
}

void RequestFlow::finishServed(const FlightPtr &Which, wire::ServeReply Reply,
                               bool Succeeded) {
  TimePoint Now = Time.now();
  Duration AtTarget = Reply.Load.AtTarget > Duration::zero()
                          ? Reply.Load.AtTarget
                          : Now - Which->SentAt;
  if (Which->Held)
    Which->In->Queue.onDone(*std::exchange(Which->Held, std::nullopt),
                            Now - Which->SentAt, AtTarget, Succeeded);
  Values.served(Which->What.Class, Now - Which->Arrived);
  FlowResult Result;
  Result.ServedBy = Which->SentTo;
  Result.Answer = std::move(Reply);
  finish(Which, std::move(Result));
}

void RequestFlow::onRefused(const FlightPtr &Which,
                            const wire::ServeReply &Reply) {
  ByAttempt.erase(Which->Attempt.value());
  if (Which->Ticket) {
    Which->In->Routes.onFailure(*Which->Ticket, FailureKind::Full, Time.now());
    Which->Ticket.reset();
  }
  if (Reply.Reason == wire::RefusalReason::Draining)
    Which->In->Routes.removeTarget(Which->SentTo, Time.now());
  if (Reply.Reason == wire::RefusalReason::Duplicate)
    return finishProblem(Which, 409, "duplicate-attempt",
                         "The target has seen this attempt before",
                         Execution::Unknown);

  Which->Tried.push_back(Which->SentTo);
  if (Which->Attempts >= MaxAttempts)
    return finishProblem(Which, 503, "no-target",
                         "Every target that was tried refused the request",
                         Which->MayHaveRun ? Execution::Unknown
                                           : Execution::NotRun);
  if (Which->Held)
    requeue(Which);
}

void RequestFlow::onFailed(const FlightPtr &Which, FailureKind Kind) {
  if (Which->Ticket) {
    Which->In->Routes.onFailure(*Which->Ticket, Kind, Time.now());
    Which->Ticket.reset();
  }
  Which->MayHaveRun = true;
  if (!Which->What.Streamed)
    return retryOrFail(Which);

  finishProblem(Which, 502, "target-failed",
                "The target failed while it served the request",
                Execution::Unknown);
}

void RequestFlow::retryOrFail(const FlightPtr &Which) {
  ByAttempt.erase(Which->Attempt.value());
  Which->Tried.push_back(Which->SentTo);
  if (dispatch(Which, AttemptKind::Retry))
    return;

  finishProblem(Which, 502, "target-failed",
                "The target failed and no retry was possible",
                Execution::Unknown);
}

bool RequestFlow::claim(const FlightPtr &Which, const PooledTarget &Target) {
  std::weak_ptr<Flight> Weak = Which;
  auto OnAnswer = [this, Weak](const CallerAnswer &Answer) {
    auto Claimed = Weak.lock();
    if (Claimed && Claimed->State == Flight::Phase::Claimed)
      onClaimAnswer(Claimed, Answer);
  };
  if (!Claim(Which->What, Target.About.Vm, OnAnswer))
    return false;

  Which->SentTo = Target.Id;
  Which->SentAt = Time.now();
  Which->State = Flight::Phase::Claimed;
  return true;
}

void RequestFlow::onClaimAnswer(const FlightPtr &Which,
                                const CallerAnswer &Answer) {
  switch (Answer.Kind) {
  case AnswerKind::Answered:
  case AnswerKind::Accepted: {
    wire::ServeReply Reply;
    Reply.Status = Answer.Status;
    Reply.Body = Answer.Body;
    Reply.ContentType = "application/json";
    return finishServed(Which, std::move(Reply), Answer.Status < 500);
  }
  case AnswerKind::NotRun:
    return finishProblem(Which, 503, "not-run",
                         "The request could not be claimed or was refused by "
                         "its target",
                         Execution::NotRun);
  case AnswerKind::Conflict:
    return finishProblem(Which, 409, "conflict",
                         "The Idempotency-Key belongs to another request or "
                         "another caller",
                         Execution::NotRun);
  case AnswerKind::TooLarge:
    return finishProblem(Which, 413, "too-large",
                         "The request is too large to be claimed",
                         Execution::NotRun);
  case AnswerKind::Unknown:
  case AnswerKind::NotFound:
    return finishProblem(Which, 502, "outcome-unknown",
                         "Whether the request was run cannot be known",
                         Execution::Unknown);
  }
}

void RequestFlow::releaseAttempt(const FlightPtr &Which) {
  ByAttempt.erase(Which->Attempt.value());
  if (Which->Ticket) {
    Which->In->Routes.onCancelled(*Which->Ticket, Time.now());
    Which->Ticket.reset();
  }
  if (Which->Held)
    Which->In->Queue.onDone(*std::exchange(Which->Held, std::nullopt),
                            Time.now() - Which->SentAt, Duration::zero(),
                            false);
}

void RequestFlow::finishProblem(const FlightPtr &Which, int Status,
                                std::string Type, const std::string &Detail,
                                Execution Executed) {
  Values.refused(Which->What.Class, Type);
  FlowResult Result;
  Result.ServedBy = Which->SentTo;
  Result.Problem = http::Problem{Status, std::move(Type), Detail, Executed};
  finish(Which, std::move(Result));
}

void RequestFlow::finish(const FlightPtr &Which, FlowResult Result) {
  if (Which->State == Flight::Phase::Ended)
    return;

  Which->State = Flight::Phase::Ended;
  Which->Deadline.cancel();
  releaseAttempt(Which);
  Flights.erase(Which->Key);
  recordSpan(*Which, Result);
  recordRun(*Which, Result);
  if (auto OnDone = std::exchange(Which->OnDone, nullptr))
    OnDone(std::move(Result));
  if (Which->In != nullptr)
    pump(*Which->In);
}

void RequestFlow::recordRun(const Flight &Which, const FlowResult &Result) {
  // What was surely not run is no part of the record of what ran.
  bool NotRun = Result.Problem && Result.Problem->Executed == Execution::NotRun;
  if (!Record || !Which.What.Idempotent || NotRun)
    return;

  ServedRequest Line;
  Line.Request = Which.What.Id;
  Line.Caller = Which.What.Caller;
  Line.Service = Which.What.Service;
  if (PooledTarget *Target = Pool.find(Which.SentTo))
    Line.Vm = Target->About.Vm;
  Duration Took = Time.now() - Which.Arrived;
  Line.StartedAtMillis =
      (Time.wallNow() - std::chrono::duration_cast<WallMillis>(Took)).count();
  Line.MicrosTaken =
      std::chrono::duration_cast<std::chrono::microseconds>(Took).count();
  Line.Status = Result.Answer ? Result.Answer->Status : Result.Problem->Status;
  if (!Record->tryPush(Line))
    LogEvent(LogLevel::Error, "record_dropped").with("request", Which.What.Id);
}

void RequestFlow::recordSpan(const Flight &Which, const FlowResult &Result) {
  if (!Which.What.Trace.Sampled)
    return;

  Duration Took = Time.now() - Which.Arrived;
  Span Hop;
  Hop.Context = Which.What.Trace;
  Hop.SpanId = Which.SpanId;
  Hop.Name = "entry.request";
  Hop.Start = Time.wallNow() - std::chrono::duration_cast<WallMillis>(Took);
  Hop.Length = Took;
  Hop.Failed = Result.Problem.has_value();
  Hop.Attributes = {{"request", Which.What.Id.str()},
                    {"class", toString(Which.What.Class)},
                    {"target", Which.SentTo.str()},
                    {"attempts", std::to_string(Which.Attempts)}};
  Spans.record(std::move(Hop));
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
