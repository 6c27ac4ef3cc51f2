#include "daisyspool/agent/TargetProxy.h"

#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Spans.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace daisyspool {

namespace {

constexpr Millis ExpiryInterval{20};
constexpr Millis OutcomeGrace{60000};
constexpr Millis MaxRequestTimeout{3600000};

Millis toMillis(Duration Length) {
  auto Rounded = std::chrono::duration_cast<Millis>(Length);
  return std::clamp(Rounded, Millis(1), MaxRequestTimeout);
}

} // namespace

struct TargetProxy::OpenAttempt {
  AttemptKey Key;
  wire::ServeRequest Request;
  Repeatable CanRepeat = Repeatable::Yes;
  ReplySender SendReply;
  TimePoint Arrived;
  TimePoint Deadline;
  std::uint32_t NextFrame = 0;
  bool Started = false;
  bool Cancelled = false;
  bool EndAtNextFrame = false;
};

TargetProxy::TargetProxy(boost::asio::io_context &Io, const Clock &Time,
                         Options Config)
    : Time(Time), Config(std::move(Config)),
      Target(Io, {this->Config.Target, this->Config.Connections}),
      ExpiryTimer(Io), DrainTimer(Io) {
  scheduleExpiry();
}

wire::RefusalReason
TargetProxy::refusalReasonFor(const wire::ServeRequest &Request) const {
  using wire::RefusalReason;
  if (Draining)
    return RefusalReason::Draining;
  if (Request.Service != Config.Service)
    return RefusalReason::UnknownService;
  if (Request.Remaining <= Duration::zero())
    return RefusalReason::DeadlineTooClose;
  if (BusySlots + Streams + Queue.size() >= Config.Connections)
    return RefusalReason::NoFreeSlot;
  bool QueueFull = Queue.size() >= Config.QueueLimit;
  if (!Request.Streamed && BusySlots >= Config.Slots && QueueFull &&
      (Queue.empty() || Queue.back()->Request.Class <= Request.Class))
    return RefusalReason::NoFreeSlot;

  return RefusalReason::None;
}

void TargetProxy::refuse(const AttemptKey &Key, wire::RefusalReason Reason,
                         const ReplySender &SendReply) const {
  wire::ServeReply Refusal;
  Refusal.Attempt = Key.Attempt;
  Refusal.Outcome = wire::ServeOutcome::Refused;
  Refusal.Reason = Reason;
  Refusal.Load = load(Key.Origin);
  SendReply(Refusal);
}

void TargetProxy::serve(AttemptKey Key, wire::ServeRequest Request,
                        Repeatable CanRepeat, ReplySender SendReply) {
  if (OpenAttempts.contains(Key))
    return refuse(Key, wire::RefusalReason::Duplicate, SendReply);
  if (auto Reason = refusalReasonFor(Request);
      Reason != wire::RefusalReason::None)
    return refuse(Key, Reason, SendReply);

  auto Created = std::make_shared<OpenAttempt>();
  Created->Key = std::move(Key);
  Created->Arrived = Time.now();
  Created->Deadline = Created->Arrived + Request.Remaining;
  Created->CanRepeat = CanRepeat;
  Created->Request = std::move(Request);
  Created->SendReply = std::move(SendReply);
  OpenAttempts.emplace(Created->Key, Created);
  if (Created->Request.Streamed || BusySlots < Config.Slots)
    return start(Created);

  enqueue(Created);
}

/// Orders the queue by class, then by arrival, so that a long request of
/// another entry does not delay an urgent one. A full queue refuses its least
/// urgent attempt.
void TargetProxy::enqueue(const OpenAttemptPtr &Attempt) {
  auto Position =
      std::find_if(Queue.begin(), Queue.end(), [&](const auto &Each) {
        return Each->Request.Class > Attempt->Request.Class;
      });
  Queue.insert(Position, Attempt);
  if (Queue.size() <= Config.QueueLimit)
    return;

  OpenAttemptPtr Displaced = Queue.back();
  Queue.pop_back();
  wire::ServeReply Refusal;
  Refusal.Outcome = wire::ServeOutcome::Refused;
  Refusal.Reason = wire::RefusalReason::NoFreeSlot;
  finish(Displaced, std::move(Refusal));
}

http::Request TargetProxy::toTargetRequest(const OpenAttempt &Attempt) const {
  const wire::ServeRequest &Request = Attempt.Request;
  http::Request Outgoing{Request.Method, Request.Path, {}, Request.Body};
  Outgoing.Headers.push_back({"Daisyspool-Request-Id", Request.Request.str()});
  Outgoing.Headers.push_back(
      {"Daisyspool-Class", std::string(toString(Request.Class))});
  if (!Request.Trace.TraceId.empty())
    Outgoing.Headers.push_back({"traceparent", toTraceParent(Request.Trace)});
  if (!Request.LastEvent.empty())
    Outgoing.Headers.push_back({"Last-Event-ID", Request.LastEvent});
  if (Attempt.CanRepeat == Repeatable::No)
    Outgoing.Headers.push_back({"Idempotency-Key", Request.Request.str()});

  return Outgoing;
}

void TargetProxy::start(const OpenAttemptPtr &Attempt) {
  Attempt->Started = true;
  http::Request Outgoing = toTargetRequest(*Attempt);
  if (Attempt->Request.Streamed)
    return startStream(Attempt, std::move(Outgoing));

  ++BusySlots;
  ++UsageByOrigin[Attempt->Key.Origin].Slots;
  // Closing the connection would not undo a non-idempotent request. The longer
  // timeout lets the agent learn its outcome for a caller that retries.
  Duration Grace = Attempt->CanRepeat == Repeatable::Yes
                       ? Duration::zero()
                       : Duration(OutcomeGrace);
  Millis Timeout = toMillis(Attempt->Deadline - Time.now() + Grace);
  Target.send(
      std::move(Outgoing), Timeout,
      [this, Attempt](http::Response Result, std::exception_ptr Failure) {
        --BusySlots;
        if (Failure)
          return finishFailed(Attempt, Failure);

        wire::ServeReply Answer;
        Answer.Outcome = wire::ServeOutcome::Served;
        Answer.Status = Result.Status;
        Answer.ContentType =
            http::findHeader(Result.Headers, "Content-Type").value_or("");
        Answer.Body = std::move(Result.Body);
        finish(Attempt, std::move(Answer));
      });
}

void TargetProxy::startStream(const OpenAttemptPtr &Attempt,
                              http::Request Outgoing) {
  ++Streams;
  ++UsageByOrigin[Attempt->Key.Origin].Streams;
  auto SendFrame = [this, Attempt](std::string Bytes) {
    if (Attempt->Cancelled || Attempt->EndAtNextFrame)
      return false;

    wire::ServeReply Frame;
    Frame.Attempt = Attempt->Request.Attempt;
    Frame.Outcome = wire::ServeOutcome::Served;
    Frame.Status = 200;
    Frame.Body = std::move(Bytes);
    Frame.Frame = Attempt->NextFrame++;
    Frame.Last = false;
    Frame.Load = loadFor(*Attempt);
    Attempt->SendReply(Frame);
    return true;
  };
  Target.stream(
      std::move(Outgoing), Config.StreamSilence, SendFrame,
      [this, Attempt](http::Response Head, std::exception_ptr Failure) {
        --Streams;
        --UsageByOrigin[Attempt->Key.Origin].Streams;
        if (Failure && !Attempt->EndAtNextFrame)
          return finishFailed(Attempt, Failure);

        wire::ServeReply End;
        End.Outcome = wire::ServeOutcome::Served;
        End.Status = Failure ? 200 : Head.Status;
        End.Frame = Attempt->NextFrame;
        finish(Attempt, std::move(End));
      });
}

void TargetProxy::finishFailed(const OpenAttemptPtr &Attempt,
                               const std::exception_ptr &Failure) {
  wire::ServeReply Answer;
  Answer.Outcome = wire::ServeOutcome::Failed;
  Answer.Reason = wire::RefusalReason::TargetUnreachable;
  try {
    std::rethrow_exception(Failure);
  } catch (const http::ClientError &Problem) {
    if (Problem.reason() == http::ClientError::Kind::NotSent)
      Answer.Outcome = wire::ServeOutcome::Refused;
    LogEvent(LogLevel::Warning, "target_failed")
        .with("request", Attempt->Request.Request)
        .with("detail", Problem.what());
  }
  Answer.Frame = Attempt->NextFrame;
  finish(Attempt, std::move(Answer));
}

void TargetProxy::finish(const OpenAttemptPtr &Attempt,
                         wire::ServeReply Answer) {
  Answer.Attempt = Attempt->Request.Attempt;
  Answer.Last = true;
  OpenAttempts.erase(Attempt->Key);
  startQueued();
  Answer.Load = loadFor(*Attempt);
  if (!Attempt->Cancelled)
    Attempt->SendReply(Answer);

  finishDrainIfIdle();
}

void TargetProxy::startQueued() {
  while (BusySlots < Config.Slots && !Queue.empty()) {
    OpenAttemptPtr Next = Queue.front();
    Queue.pop_front();
    if (Next->Deadline > Time.now()) {
      start(Next);
      continue;
    }

    wire::ServeReply Late;
    Late.Outcome = wire::ServeOutcome::Refused;
    Late.Reason = wire::RefusalReason::DeadlineTooClose;
    finish(Next, std::move(Late));
  }
}

void TargetProxy::expireQueued() {
  std::vector<OpenAttemptPtr> Late;
  std::erase_if(Queue, [&](const OpenAttemptPtr &Each) {
    if (Each->Deadline > Time.now())
      return false;
    Late.push_back(Each);
    return true;
  });

  for (const OpenAttemptPtr &Each : Late) {
    wire::ServeReply Refusal;
    Refusal.Outcome = wire::ServeOutcome::Refused;
    Refusal.Reason = wire::RefusalReason::DeadlineTooClose;
    finish(Each, std::move(Refusal));
  }
}

void TargetProxy::scheduleExpiry() {
  ExpiryTimer.expires_after(ExpiryInterval);
  ExpiryTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    expireQueued();
    scheduleExpiry();
  });
}

void TargetProxy::cancel(const AttemptKey &Key) {
  auto Found = OpenAttempts.find(Key);
  if (Found == OpenAttempts.end())
    return;

  OpenAttemptPtr Attempt = Found->second;
  Attempt->Cancelled = true;
  if (Attempt->Started)
    return;

  std::erase(Queue, Attempt);
  wire::ServeReply Dropped;
  Dropped.Outcome = wire::ServeOutcome::Refused;
  Dropped.Reason = wire::RefusalReason::DeadlineTooClose;
  finish(Attempt, std::move(Dropped));
}

void TargetProxy::drain(Millis Bound, std::function<void()> Done) {
  Draining = true;
  OnDrained = std::move(Done);
  DrainTimer.expires_after(Bound);
  DrainTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    for (auto &[Key, Each] : OpenAttempts)
      Each->EndAtNextFrame = true;
    // Streams that send no further frame must not delay the shutdown.
    DrainTimer.expires_after(Millis(1000));
    DrainTimer.async_wait([this](boost::system::error_code Aborted) {
      if (!Aborted && OnDrained)
        std::exchange(OnDrained, nullptr)();
    });
  });
  finishDrainIfIdle();
}

void TargetProxy::finishDrainIfIdle() {
  if (Draining && OpenAttempts.empty() && OnDrained)
    std::exchange(OnDrained, nullptr)();
}

wire::TargetLoad TargetProxy::load(const ProcessId &Origin) const {
  wire::TargetLoad Result;
  Result.BusySlots = static_cast<std::uint32_t>(BusySlots);
  Result.Queued = static_cast<std::uint32_t>(Queue.size());
  Result.Connections = static_cast<std::uint32_t>(BusySlots + Streams);
  Result.Draining = Draining;
  auto Own = UsageByOrigin.find(Origin);
  if (Own == UsageByOrigin.end())
    return Result;

  Result.OwnSlots = Own->second.Slots;
  Result.OwnConnections = Own->second.Slots + Own->second.Streams;
  return Result;
}

wire::TargetLoad TargetProxy::loadFor(const OpenAttempt &Attempt) const {
  wire::TargetLoad Result = load(Attempt.Key.Origin);
  Result.AtTarget = Time.now() - Attempt.Arrived;
  return Result;
}

} // namespace daisyspool
