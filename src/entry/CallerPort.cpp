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

const char *toString(http::Server::BadInput Input) {
  switch (Input) {
  case http::Server::BadInput::Malformed:
    return "malformed";
  case http::Server::BadInput::TooLarge:
    return "too-large";
  case http::Server::BadInput::TooSlow:
    return "too-slow";
  case http::Server::BadInput::TooManyConnections:
    return "too-many-connections";
  case http::Server::BadInput::NoMemory:
    return "no-memory";
  }
  return "malformed";
}

/// A streamed answer to a caller that is in progress.
struct StreamState {
  std::shared_ptr<http::Exchange> Answer;
  bool Started = false;
};

void beginStream(StreamState &State, const CallerRequest &Request) {
  if (State.Started)
    return;

  State.Started = true;
  State.Answer->beginStream({200,
                             {{"Content-Type", "text/event-stream"},
                              {"Cache-Control", "no-store"},
                              {"Daisyspool-Request-Id", Request.Id.str()}},
                             {}});
}

http::Response toResponse(const CallerRequest &Request,
                          const FlowResult &Result) {
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
  Reply.Headers.push_back({"Daisyspool-Request-Id", Request.Id.str()});
  return Reply;
}

} // namespace

CallerPort::CallerPort(boost::asio::io_context &Io,
                       const EntrySettings &Settings, Incarnation Number,
                       TargetPool &Pool, RequestFlow &Flow, JobPort &Jobs,
                       RequestMetrics &Counters)
    : Settings(Settings), Pool(Pool), Flow(Flow), Jobs(Jobs),
      Counters(Counters),
      Source(stableHash(Settings.Process.str(), Number.value())),
      Server(
          Io, portOptions(Settings),
          [this](http::Request Received, ExchangePtr Answer) {
            handle(std::move(Received), std::move(Answer));
          },
          [this](http::Server::BadInput Input) {
            this->Counters.countBadRequest(toString(Input));
            LogEvent(LogLevel::Warning, "bad_input")
                .with("reason", toString(Input));
          }) {}

void CallerPort::drain(std::function<void()> Done) {
  Draining = true;
  Server.drain(std::move(Done));
}

void CallerPort::handle(http::Request Received, ExchangePtr Answer) {
  if (isServicePath(Received.Target))
    return handleService(std::move(Received), Answer);
  if (JobPort::isJobPath(Received.Target))
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
    Counters.countBadRequest("announcement");
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

  CallerRequest Request;
  try {
    Request = parseCallerRequest(std::move(Received), Settings.DefaultDeadline,
                                 Source);
  } catch (const BadRequest &Problem) {
    Counters.countBadRequest(Problem.type());
    return Answer->respond(http::toResponse(
        {Problem.status(), Problem.type(), Problem.what(), Execution::NotRun}));
  }

  auto State = std::make_shared<StreamState>(StreamState{Answer});
  auto RequestIdOnly = std::make_shared<CallerRequest>();
  RequestIdOnly->Id = Request.Id;
  auto OnFrame = [State, RequestIdOnly](const wire::ServeReply &Frame) {
    beginStream(*State, *RequestIdOnly);
    return State->Answer->writeChunk(Frame.Body);
  };
  auto OnDone = [State, RequestIdOnly](FlowResult Result) {
    if (!State->Started)
      return State->Answer->respond(toResponse(*RequestIdOnly, Result));
    // Without the last chunk the caller sees that the stream was cut off.
    if (!Result.Problem)
      State->Answer->endStream();
  };
  std::uint64_t FlowKey = Flow.start(std::move(Request), OnFrame, OnDone);
  Answer->onCallerDisconnected([this, FlowKey] { Flow.cancel(FlowKey); });
}

} // namespace daisyspool
