#include "entry/JobPort.h"

#include "daisyspool/entry/CallerRequest.h"
#include "daisyspool/journal/Entry.h"
#include "daisyspool/telemetry/Spans.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace daisyspool {

namespace {

constexpr std::string_view JobsPath = "/v1/jobs";
constexpr Millis ForwardTimeout{60000};
constexpr std::size_t MaxTasksPerJob = 1000;
constexpr std::uint32_t DefaultMaxAttempts = 3;
constexpr std::uint32_t MaxAttemptsLimit = 100;

http::Response notRunResponse(int Status, const char *Type,
                              const char *Detail) {
  return http::toResponse({Status, Type, Detail, Execution::NotRun});
}

http::Response overloadedResponse() {
  return notRunResponse(503, "overloaded",
                        "The shard of the job has too much to do");
}

TaskSpec parseTask(const nlohmann::json &Task) {
  TaskSpec Result;
  Result.Need = {MilliCores(Task.at("millicores").get<std::int64_t>()),
                 MebiBytes(Task.at("memoryMib").get<std::int64_t>()),
                 Accelerators(Task.value("accelerators", std::int64_t(0)))};
  Result.Command = Task.at("command").get<std::string>();
  if (Result.Need.Cpu < MilliCores(1) || Result.Need.Memory < MebiBytes(1) ||
      Result.Need.Accelerator < Accelerators(0))
    throw BadRequest(400, "bad-job",
                     "millicores and memoryMib must be 1 or more");

  return Result;
}

JobSubmitted parseJob(const http::Request &Received, JobId Id) {
  auto Document = nlohmann::json::parse(Received.Body);
  JobSubmitted Result;
  Result.Job = std::move(Id);
  Result.Caller =
      CallerId(http::findHeader(Received.Headers, "Daisyspool-Caller")
                   .value_or("unknown"));
  Result.Team = TeamId(http::findHeader(Received.Headers, "Daisyspool-Team")
                           .value_or("default"));
  Result.MaxAttempts = Document.value("maxAttempts", DefaultMaxAttempts);
  if (Result.MaxAttempts < 1 || Result.MaxAttempts > MaxAttemptsLimit)
    throw BadRequest(400, "bad-job", "maxAttempts: 1 to 100 is allowed");
  for (const auto &Each : Document.at("tasks"))
    Result.Tasks.push_back(parseTask(Each));
  if (Result.Tasks.empty() || Result.Tasks.size() > MaxTasksPerJob)
    throw BadRequest(400, "bad-job", "a job has 1 to 1000 tasks");
  Result.BodyDigest = sha256(Received.Body);
  return Result;
}

http::Response toResponse(const JobId &Job, const CallerAnswer &Answer) {
  nlohmann::json Document{{"job", Job.str()}};
  switch (Answer.Kind) {
  case AnswerKind::Accepted:
  case AnswerKind::Answered:
    return {202,
            {{"Content-Type", "application/json"},
             {"Location", "/v1/jobs/" + Job.str()}},
            Document.dump()};
  case AnswerKind::NotRun:
    return notRunResponse(503, "shard-unavailable",
                          "The job could not be recorded; it was not accepted");
  case AnswerKind::Unknown:
    return http::toResponse({504, "outcome-unknown",
                             "Whether the job was accepted is not known; "
                             "submitting it again under its id is safe",
                             Execution::Unknown});
  case AnswerKind::Conflict:
    return notRunResponse(409, "conflict",
                          "The id belongs to another job or another caller");
  case AnswerKind::NotFound:
    return notRunResponse(404, "unknown-job", "There is no job with this id");
  case AnswerKind::TooLarge:
    return notRunResponse(413, "too-large",
                          "The job is too large to be recorded");
  }
  return overloadedResponse();
}

} // namespace

bool JobPort::isJobPath(std::string_view Target) {
  std::string_view Path = Target.substr(0, Target.find('?'));
  return Path == JobsPath ||
         Path.substr(0, JobsPath.size() + 1) == std::string(JobsPath) + "/";
}

bool JobPort::forwardOrRefuse(const std::string &Key,
                              const http::Request &Received, Duration Timeout,
                              const ExchangePtr &Answer) {
  ShardId Shard = Shards.shardOf(Key);
  if (Shards.owns(Shard))
    return false;

  std::string Owner = Shards.otherOwner(Shard);
  bool Forwarded =
      http::findHeader(Received.Headers, "Daisyspool-Forwarded").has_value();
  if (Owner.empty() || Forwarded)
    Answer->respond(
        notRunResponse(503, "shard-unavailable",
                       "The shard of this id has no owner at the moment"));
  else
    Peers.forward(Owner, Received, Timeout, [Answer](http::Response Reply) {
      Answer->respond(std::move(Reply));
    });
  return true;
}

void JobPort::handle(http::Request Received, const ExchangePtr &Answer) {
  std::string Path = Received.Target.substr(0, Received.Target.find('?'));
  if (Path == JobsPath)
    return Received.Method == "POST"
               ? submit(std::move(Received), Answer)
               : Answer->respond(notRunResponse(405, "method-not-allowed",
                                                "Jobs are submitted by POST"));

  JobId Job(Path.substr(JobsPath.size() + 1));
  if (forwardOrRefuse(Job.str(), Received, ForwardTimeout, Answer))
    return;
  if (Received.Method == "GET")
    return query(Job, Received.Target.find("wait=yes") != std::string::npos,
                 Answer);
  if (Received.Method == "DELETE")
    return cancel(Job, Received, Answer);

  Answer->respond(
      notRunResponse(405, "method-not-allowed", "GET and DELETE are allowed"));
}

void JobPort::submit(http::Request Received, const ExchangePtr &Answer) {
  auto Key = http::findHeader(Received.Headers, "Idempotency-Key");
  if (!Key) {
    // The header keeps the new id with the request when it is forwarded.
    Key = newSpanId(Source) + newSpanId(Source);
    Received.Headers.push_back({"Idempotency-Key", *Key});
  }
  if (forwardOrRefuse(*Key, Received, ForwardTimeout, Answer))
    return;

  JobId Job(*Key);
  try {
    auto OnAnswer = [Answer, Job](const CallerAnswer &Result) {
      Answer->respond(toResponse(Job, Result));
    };
    if (Shards.submit(parseJob(Received, Job), OnAnswer) == 0)
      Answer->respond(overloadedResponse());
  } catch (const BadRequest &Problem) {
    Answer->respond(notRunResponse(Problem.status(), Problem.type().c_str(),
                                   Problem.what()));
  } catch (const nlohmann::json::exception &Problem) {
    Answer->respond(notRunResponse(400, "bad-job", Problem.what()));
  }
}

void JobPort::query(const JobId &Job, bool Wait, const ExchangePtr &Answer) {
  auto OnAnswer = [Answer](std::optional<std::string> Document) {
    if (!Document)
      return Answer->respond(http::toResponse(
          {404, "unknown-job", "There is no job with this id", std::nullopt}));
    Answer->respond(
        {200, {{"Content-Type", "application/json"}}, std::move(*Document)});
  };
  std::uint64_t Key = Shards.queryJob(Job, Wait, OnAnswer);
  if (Key == 0)
    return Answer->respond(overloadedResponse());

  Answer->onCallerDisconnected([this, Key] { Shards.dropCallback(Key); });
}

void JobPort::cancel(const JobId &Job, const http::Request &Received,
                     const ExchangePtr &Answer) {
  CallerId Caller(http::findHeader(Received.Headers, "Daisyspool-Caller")
                      .value_or("unknown"));
  auto OnAnswer = [Answer, Job](const CallerAnswer &Result) {
    Answer->respond(toResponse(Job, Result));
  };
  if (Shards.cancelJob(Job, Caller, OnAnswer) == 0)
    Answer->respond(overloadedResponse());
}

} // namespace daisyspool
