#include "entry/CallerPort.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"
#include "daisyspool/wire/Announcement.h"

#include <nlohmann/json.hpp>

namespace daisyspool {

namespace {

http::Server::Options portOptions(const EntrySettings &Settings) {
  http::Server::Options Result;
  Result.Listen = Settings.Callers;
  return Result;
}

const char *toString(http::Server::BadInput What) {
  switch (What) {
  case http::Server::BadInput::Malformed:
    return "malformed";
  case http::Server::BadInput::TooLarge:
    return "too-large";
  case http::Server::BadInput::TooSlow:
    return "too-slow";
  case http::Server::BadInput::TooManyConnections:
    return "too-many-connections";
  }
  return "malformed";
}

/// One streamed answer on its way to a caller.
struct StreamState {
  std::shared_ptr<http::Exchange> Answer;
  bool Begun = false;
};

void beginStream(StreamState &State, const CallerRequest &What) {
  if (State.Begun)
    return;

  State.Begun = true;
  State.Answer->beginStream({200,
                             {{"Content-Type", "text/event-stream"},
                              {"Cache-Control", "no-store"},
                              {"Daisyspool-Request-Id", What.Id.str()}},
                             {}});
}

http::Response toResponse(const CallerRequest &What, const FlowResult &Result) {
  http::Response Reply;
  if (Result.Problem) {
    Reply = http::toResponse(*Result.Problem);
    if (Result.Problem->Status == 503)
      Reply.Headers.push_back({"Retry-After", "1"});
  } else {
    Reply.Status = Result.Answer->Status;
    Reply.Body = Result.Answer->Body;
    if (!Result.Answer->ContentType.empty())
      Reply.Headers.push_back({"Content-Type", Result.Answer->ContentType});
    Reply.Headers.push_back({"Daisyspool-Served-By", Result.ServedBy.str()});
  }
  Reply.Headers.push_back({"Daisyspool-Request-Id", What.Id.str()});
  return Reply;
}

} // namespace

CallerPort::CallerPort(boost::asio::io_context &Io,
                       const EntrySettings &Settings, Incarnation Number,
                       TargetPool &Pool, RequestFlow &Flow, JobPort &Jobs,
                       RequestMetrics &Values)
    : Settings(Settings), Pool(Pool), Flow(Flow), Jobs(Jobs), Values(Values),
      Source(stableHash(Settings.Process.str(), Number.value())),
      Port(
          Io, portOptions(Settings),
          [this](http::Request Received, ExchangePtr Answer) {
            handle(std::move(Received), std::move(Answer));
          },
          [this](http::Server::BadInput What) {
            this->Values.badRequest(toString(What));
            LogEvent(LogLevel::Warning, "bad_input")
                .with("reason", toString(What));
          }) {}

void CallerPort::drain(std::function<void()> Done) {
  Draining = true;
  Port.drain(std::move(Done));
}

void CallerPort::handle(http::Request Received, ExchangePtr Answer) {
  if (isServicePath(Received.Target))
    return handleService(std::move(Received), Answer);
  if (JobPort::handles(Received.Target))
    return Jobs.handle(std::move(Received), Answer);
  if (Received.Target == "/v1/announce" && Received.Method == "POST")
    return handleAnnouncement(Received, *Answer);
  if (Received.Target == "/healthz")
    return Answer->respond({Draining ? 503 : 200,
                            {{"Content-Type", "text/plain"}},
                            Draining ? "draining\n" : "ok\n"});

  Answer->respond(
      http::toResponse({404, "not-found", "No such path on the callers' port",
                        Execution::NotRun}));
}

void CallerPort::handleAnnouncement(const http::Request &Received,
                                    http::Exchange &Answer) {
  try {
    Pool.announce(wire::parseAnnouncement(Received.Body));
  } catch (const ProtocolError &Problem) {
    Values.badRequest("announcement");
    LogEvent(LogLevel::Warning, "bad_announcement")
        .with("detail", Problem.what());
    return Answer.respond(http::toResponse(
        {400, "bad-announcement", Problem.what(), std::nullopt}));
  }
  nlohmann::json Reply{
      {"gossip", nlohmann::json::array({http::toString(Settings.Gossip)})}};
  Answer.respond({200, {{"Content-Type", "application/json"}}, Reply.dump()});
}

void CallerPort::handleService(http::Request Received,
                               const ExchangePtr &Answer) {
  // Only the owner of the shard of its id may run a non-idempotent request.
  auto Key = http::findHeader(Received.Headers, "Idempotency-Key");
  if (Key &&
      Jobs.forwardOrRefuse(*Key, Received, Settings.DefaultDeadline, Answer))
    return;

  CallerRequest What;
  try {
    What = parseCallerRequest(std::move(Received), Settings.DefaultDeadline,
                              Source);
  } catch (const BadRequest &Problem) {
    Values.badRequest(Problem.type());
    return Answer->respond(http::toResponse(
        {Problem.status(), Problem.type(), Problem.what(), Execution::NotRun}));
  }

  auto State = std::make_shared<StreamState>(StreamState{Answer});
  auto About = std::make_shared<CallerRequest>();
  About->Id = What.Id;
  auto OnFrame = [State, About](const wire::ServeReply &Frame) {
    beginStream(*State, *About);
    return State->Answer->writeChunk(Frame.Body);
  };
  auto OnDone = [State, About](FlowResult Result) {
    if (!State->Begun)
      return State->Answer->respond(toResponse(*About, Result));
    // Without the last chunk the caller sees that the stream was cut.
    if (!Result.Problem)
      State->Answer->endStream();
  };
  std::uint64_t Started = Flow.start(std::move(What), OnFrame, OnDone);
  Answer->onCallerLeft([this, Started] { Flow.cancel(Started); });
}

} // namespace daisyspool
