#include "daisyspool/agent/TargetFront.h"

#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Spans.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace daisyspool {

namespace {

constexpr Millis ExpiryInterval{20};
constexpr Millis OutcomeGrace{60000};
constexpr Millis LongestRequest{3600000};

Millis toMillis(Duration Length) {
  auto Rounded = std::chrono::duration_cast<Millis>(Length);
  return std::clamp(Rounded, Millis(1), LongestRequest);
}

} // namespace

struct TargetFront::Attempt {
  AttemptKey Key;
  wire::ServeRequest What;
  Repeatable Kind = Repeatable::Yes;
  Reply Answer;
  TimePoint Arrived;
  TimePoint Deadline;
  std::uint32_t NextFrame = 0;
  bool Started = false;
  bool Cancelled = false;
  bool EndAtFrame = false;
};

TargetFront::TargetFront(boost::asio::io_context &Io, const Clock &Time,
                         Options Config)
    : Time(Time), Config(std::move(Config)),
      Target(Io, {this->Config.Target, this->Config.Connections}), Expiry(Io),
      DrainTimer(Io) {
  scheduleExpiry();
}

wire::RefusalReason TargetFront::admit(const wire::ServeRequest &What) const {
  using wire::RefusalReason;
  if (Draining)
    return RefusalReason::Draining;
  if (What.Service != Config.Service)
    return RefusalReason::UnknownService;
  if (What.Remaining <= Duration::zero())
    return RefusalReason::DeadlineTooClose;
  if (BusySlots + Streams + Queue.size() >= Config.Connections)
    return RefusalReason::NoFreeSlot;
  bool QueueFull = Queue.size() >= Config.QueueLimit;
  if (!What.Streamed && BusySlots >= Config.Slots && QueueFull &&
      (Queue.empty() || Queue.back()->What.Class <= What.Class))
    return RefusalReason::NoFreeSlot;

  return RefusalReason::None;
}

void TargetFront::refuse(const AttemptKey &Key, wire::RefusalReason Reason,
                         const Reply &Answer) const {
  wire::ServeReply Refusal;
  Refusal.Attempt = Key.Attempt;
  Refusal.Outcome = wire::ServeOutcome::Refused;
  Refusal.Reason = Reason;
  Refusal.Load = load(Key.Origin);
  Answer(Refusal);
}

void TargetFront::serve(AttemptKey Key, wire::ServeRequest What,
                        Repeatable Kind, Reply Answer) {
  if (Open.contains(Key))
    return refuse(Key, wire::RefusalReason::Duplicate, Answer);
  if (auto Reason = admit(What); Reason != wire::RefusalReason::None)
    return refuse(Key, Reason, Answer);

  auto Created = std::make_shared<Attempt>();
  Created->Key = std::move(Key);
  Created->Arrived = Time.now();
  Created->Deadline = Created->Arrived + What.Remaining;
  Created->Kind = Kind;
  Created->What = std::move(What);
  Created->Answer = std::move(Answer);
  Open.emplace(Created->Key, Created);
  if (Created->What.Streamed || BusySlots < Config.Slots)
    return start(Created);

  enqueue(Created);
}

/// Queues by class, then by arrival: a long request of another entry must not
/// stand before an urgent one. A full queue gives up its least urgent attempt.
void TargetFront::enqueue(const AttemptPtr &Which) {
  auto Place = std::find_if(Queue.begin(), Queue.end(), [&](const auto &Each) {
    return Each->What.Class > Which->What.Class;
  });
  Queue.insert(Place, Which);
  if (Queue.size() <= Config.QueueLimit)
    return;

  AttemptPtr Displaced = Queue.back();
  Queue.pop_back();
  wire::ServeReply Refusal;
  Refusal.Outcome = wire::ServeOutcome::Refused;
  Refusal.Reason = wire::RefusalReason::NoFreeSlot;
  finish(Displaced, std::move(Refusal));
}

http::Request TargetFront::toTargetRequest(const Attempt &Which) const {
  const wire::ServeRequest &What = Which.What;
  http::Request Outgoing{What.Method, What.Path, {}, What.Body};
  Outgoing.Headers.push_back({"Daisyspool-Request-Id", What.Request.str()});
  Outgoing.Headers.push_back(
      {"Daisyspool-Class", std::string(toString(What.Class))});
  if (!What.Trace.TraceId.empty())
    Outgoing.Headers.push_back({"traceparent", toTraceParent(What.Trace)});
  if (!What.LastEvent.empty())
    Outgoing.Headers.push_back({"Last-Event-ID", What.LastEvent});
  if (Which.Kind == Repeatable::No)
    Outgoing.Headers.push_back({"Idempotency-Key", What.Request.str()});

  return Outgoing;
}

void TargetFront::start(const AttemptPtr &Which) {
  Which->Started = true;
  http::Request Outgoing = toTargetRequest(*Which);
  if (Which->What.Streamed)
    return startStream(Which, std::move(Outgoing));

  ++BusySlots;
  ++Holdings[Which->Key.Origin].Slots;
  // Closing the connection would not undo a non-idempotent request; waiting
  // longer learns its outcome for a caller that asks again.
  Duration Grace = Which->Kind == Repeatable::Yes ? Duration::zero()
                                                  : Duration(OutcomeGrace);
  Millis Timeout = toMillis(Which->Deadline - Time.now() + Grace);
  Target.send(
      std::move(Outgoing), Timeout,
      [this, Which](http::Response Result, std::exception_ptr Failure) {
        --BusySlots;
        if (Failure)
          return fail(Which, Failure);

        wire::ServeReply Answer;
        Answer.Outcome = wire::ServeOutcome::Served;
        Answer.Status = Result.Status;
        Answer.ContentType =
            http::findHeader(Result.Headers, "Content-Type").value_or("");
        Answer.Body = std::move(Result.Body);
        finish(Which, std::move(Answer));
      });
}

void TargetFront::startStream(const AttemptPtr &Which, http::Request Outgoing) {
  ++Streams;
  ++Holdings[Which->Key.Origin].Streams;
  auto SendFrame = [this, Which](std::string Bytes) {
    if (Which->Cancelled || Which->EndAtFrame)
      return false;

    wire::ServeReply Frame;
    Frame.Attempt = Which->What.Attempt;
    Frame.Outcome = wire::ServeOutcome::Served;
    Frame.Status = 200;
    Frame.Body = std::move(Bytes);
    Frame.Frame = Which->NextFrame++;
    Frame.Last = false;
    Frame.Load = loadFor(*Which);
    Which->Answer(Frame);
    return true;
  };
  Target.stream(std::move(Outgoing), Config.StreamSilence, SendFrame,
                [this, Which](http::Response Head, std::exception_ptr Failure) {
                  --Streams;
                  --Holdings[Which->Key.Origin].Streams;
                  if (Failure && !Which->EndAtFrame)
                    return fail(Which, Failure);

                  wire::ServeReply End;
                  End.Outcome = wire::ServeOutcome::Served;
                  End.Status = Failure ? 200 : Head.Status;
                  End.Frame = Which->NextFrame;
                  finish(Which, std::move(End));
                });
}

void TargetFront::fail(const AttemptPtr &Which,
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
        .with("request", Which->What.Request)
        .with("detail", Problem.what());
  }
  Answer.Frame = Which->NextFrame;
  finish(Which, std::move(Answer));
}

void TargetFront::finish(const AttemptPtr &Which, wire::ServeReply Answer) {
  Answer.Attempt = Which->What.Attempt;
  Answer.Last = true;
  Open.erase(Which->Key);
  startQueued();
  Answer.Load = loadFor(*Which);
  if (!Which->Cancelled)
    Which->Answer(Answer);

  finishDrain();
}

void TargetFront::startQueued() {
  while (BusySlots < Config.Slots && !Queue.empty()) {
    AttemptPtr Next = Queue.front();
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

void TargetFront::expireQueued() {
  std::vector<AttemptPtr> Late;
  std::erase_if(Queue, [&](const AttemptPtr &Each) {
    if (Each->Deadline > Time.now())
      return false;
    Late.push_back(Each);
    return true;
  });

  for (const AttemptPtr &Each : Late) {
    wire::ServeReply Refusal;
    Refusal.Outcome = wire::ServeOutcome::Refused;
    Refusal.Reason = wire::RefusalReason::DeadlineTooClose;
    finish(Each, std::move(Refusal));
  }
}

void TargetFront::scheduleExpiry() {
  Expiry.expires_after(ExpiryInterval);
  Expiry.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    expireQueued();
    scheduleExpiry();
  });
}

void TargetFront::cancel(const AttemptKey &Key) {
  auto Found = Open.find(Key);
  if (Found == Open.end())
    return;

  AttemptPtr Which = Found->second;
  Which->Cancelled = true;
  if (Which->Started)
    return;

  std::erase(Queue, Which);
  wire::ServeReply Dropped;
  Dropped.Outcome = wire::ServeOutcome::Refused;
  Dropped.Reason = wire::RefusalReason::DeadlineTooClose;
  finish(Which, std::move(Dropped));
}

void TargetFront::drain(Millis Bound, std::function<void()> Done) {
  Draining = true;
  OnDrained = std::move(Done);
  DrainTimer.expires_after(Bound);
  DrainTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    for (auto &[Key, Each] : Open)
      Each->EndAtFrame = true;
    // Streams that never send another frame must not delay the end.
    DrainTimer.expires_after(Millis(1000));
    DrainTimer.async_wait([this](boost::system::error_code Aborted) {
      if (!Aborted && OnDrained)
        std::exchange(OnDrained, nullptr)();
    });
  });
  finishDrain();
}

void TargetFront::finishDrain() {
  if (Draining && Open.empty() && OnDrained)
    std::exchange(OnDrained, nullptr)();
}

wire::TargetLoad TargetFront::load(const ProcessId &Origin) const {
  wire::TargetLoad Result;
  Result.BusySlots = static_cast<std::uint32_t>(BusySlots);
  Result.Queued = static_cast<std::uint32_t>(Queue.size());
  Result.Connections = static_cast<std::uint32_t>(BusySlots + Streams);
  Result.Draining = Draining;
  auto Own = Holdings.find(Origin);
  if (Own == Holdings.end())
    return Result;

  Result.OwnSlots = Own->second.Slots;
  Result.OwnConnections = Own->second.Slots + Own->second.Streams;
  return Result;
}

wire::TargetLoad TargetFront::loadFor(const Attempt &Which) const {
  wire::TargetLoad Result = load(Which.Key.Origin);
  Result.AtTarget = Time.now() - Which.Arrived;
  return Result;
}

} // namespace daisyspool
