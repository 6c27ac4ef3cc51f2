#include "daisyspool/worker/HttpWorker.h"

#include "daisyspool/platform/BlockingClient.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace daisyspool {

namespace {

using Json = nlohmann::json;

/// A reading of the worker's clock expires after this time, so that the drift
/// between the two clocks stays far below the safety margin of a lease.
constexpr std::chrono::seconds MaxReadingAge{5};

Json toJson(const TaskAttempt &Id) {
  return {{"task", Id.Task.str()}, {"attempt", Id.Attempt.value()}};
}

TaskAttempt parseAttempt(const Json &Object) {
  return {TaskId(Object.at("task").get<std::string>()),
          AttemptNumber(Object.at("attempt").get<std::uint64_t>())};
}

Resources parseResources(const Json &Object) {
  return {MilliCores(Object.at("milli_cores").get<std::int64_t>()),
          MebiBytes(Object.at("mebi_bytes").get<std::int64_t>()),
          Accelerators(Object.at("accelerators").get<std::int64_t>())};
}

std::optional<CheckpointId> parseCheckpoint(const Json &Object,
                                            const char *Name) {
  if (!Object.contains(Name))
    return std::nullopt;

  return CheckpointId(Object.at(Name).get<std::string>());
}

WorkerTask parseTask(const Json &Object) {
  auto Phase = parseTaskPhase(Object.at("phase").get<std::string>());
  if (!Phase)
    throw WorkerProtocolError("worker: unknown phase");

  WorkerTask Result;
  Result.Id = parseAttempt(Object);
  Result.Phase = *Phase;
  Result.ExitCode = Object.at("exit_code").get<int>();
  Result.Share = PerMille(Object.at("share").get<std::int64_t>());
  Result.Size = parseResources(Object);
  Result.LastCheckpoint = parseCheckpoint(Object, "last_checkpoint");
  Result.FailedCheckpoint = parseCheckpoint(Object, "failed_checkpoint");
  return Result;
}

[[noreturn]] void throwRefusal(int Status, const Json &Problem) {
  std::string Title = Problem.at("title").get<std::string>();
  auto Reason = parseWorkerRefusal(Title);
  if (Status != 409 || !Reason)
    throw WorkerProtocolError("worker: " + std::to_string(Status) + ' ' +
                              Title);

  throw WorkerRefused(*Reason, "worker: " + Problem.value("detail", Title));
}

} // namespace

class HttpWorker::Impl {
public:
  Impl(Options Config, const Clock &Time)
      : Client(Config.Server), Timeout(Config.Timeout), Time(Time) {}

  /// Sends a call and returns the response as converted by \p Convert.
  template <typename Function>
  auto call(const char *Method, const char *Path, const Json &Arguments,
            Function Convert) {
    try {
      return Convert(
          exchange({Method,
                    Path,
                    {{"Content-Type", "application/json"}},
                    Arguments.is_null() ? std::string() : Arguments.dump()}));
    } catch (const Json::exception &Failure) {
      throw WorkerProtocolError(std::string("worker: ") + Failure.what());
    }
  }

  void command(const char *Path, const Json &Arguments) {
    call("POST", Path, Arguments, [](const Json &) { return true; });
  }

  /// Adds the end of a lease, \p Lease after \p Start, to \p Arguments.
  void setLease(Json &Arguments, TimePoint Start, Duration Lease) {
    if (!Reading || Start - Reading->LocalTime > MaxReadingAge)
      call("GET", "/v1/clock", nullptr, [](const Json &) { return true; });

    Duration SinceReading = Start + Lease - Reading->LocalTime;
    Arguments["expires_ms"] = Reading->WorkerMillis +
                              std::chrono::floor<Millis>(SinceReading).count();
    Arguments["clock_id"] = Reading->ClockId;
  }

  TimePoint now() const { return Time.now(); }

private:
  struct ClockReading {
    TimePoint LocalTime;
    std::int64_t WorkerMillis = 0;
    std::string ClockId;
  };

  Json exchange(http::Request Request) {
    http::Response Response = send(std::move(Request));
    if (Response.Status >= 500)
      throw WorkerUnavailable("worker: " + std::to_string(Response.Status));

    Json Document = Json::parse(Response.Body);
    if (Response.Status != 200) {
      // The clock reading may be the reason, so the next lease uses a new one.
      Reading.reset();
      throwRefusal(Response.Status, Document);
    }
    // Read the local clock after the response has arrived, so that leases end
    // early rather than late.
    Reading =
        ClockReading{Time.now(), Document.at("now_ms").get<std::int64_t>(),
                     Document.at("clock_id").get<std::string>()};
    return Document;
  }

  http::Response send(http::Request Request) {
    try {
      return Client.exchange(std::move(Request), Timeout);
    } catch (const http::ClientError &Failure) {
      if (Failure.reason() == http::ClientError::Kind::Malformed)
        throw WorkerProtocolError(Failure.what());
      throw WorkerUnavailable(Failure.what());
    }
  }

  BlockingClient Client;
  Millis Timeout;
  const Clock &Time;
  std::optional<ClockReading> Reading;
};

HttpWorker::HttpWorker(Options Config, const Clock &Time)
    : State(std::make_unique<Impl>(std::move(Config), Time)) {}

HttpWorker::~HttpWorker() = default;

void HttpWorker::run(const TaskStart &Task, Duration Lease) {
  TimePoint Start = State->now();
  Json Arguments = toJson(Task.Id);
  Arguments["command"] = Task.Command;
  Arguments["milli_cores"] = Task.Size.Cpu.value();
  Arguments["mebi_bytes"] = Task.Size.Memory.value();
  Arguments["accelerators"] = Task.Size.Accelerator.value();
  if (Task.ResumeFrom)
    Arguments["resume_from"] = Task.ResumeFrom->str();

  State->setLease(Arguments, Start, Lease);
  State->command("/v1/run", Arguments);
}

void HttpWorker::renew(const TaskAttempt &Id, Duration Lease) {
  TimePoint Start = State->now();
  Json Arguments = toJson(Id);
  State->setLease(Arguments, Start, Lease);
  State->command("/v1/renew", Arguments);
}

void HttpWorker::checkpoint(const TaskAttempt &Id, const CheckpointId &Name) {
  Json Arguments = toJson(Id);
  Arguments["checkpoint"] = Name.str();
  State->command("/v1/checkpoint", Arguments);
}

void HttpWorker::throttle(const TaskAttempt &Id, PerMille Share) {
  assert(Share >= Suspended && Share <= FullShare);
  Json Arguments = toJson(Id);
  Arguments["share"] = Share.value();
  State->command("/v1/throttle", Arguments);
}

void HttpWorker::stop(const TaskAttempt &Id) {
  State->command("/v1/stop", toJson(Id));
}

void HttpWorker::acknowledge(const TaskAttempt &Id) {
  State->command("/v1/acknowledge", toJson(Id));
}

std::vector<WorkerTask> HttpWorker::tasks() {
  return State->call("GET", "/v1/tasks", nullptr, [](const Json &Response) {
    std::vector<WorkerTask> Result;
    for (const Json &Task : Response.at("tasks"))
      Result.push_back(parseTask(Task));
    return Result;
  });
}

WorkerUsage HttpWorker::usage() {
  return State->call("GET", "/v1/usage", nullptr, [](const Json &Response) {
    WorkerUsage Result;
    Result.Age = Millis(Response.at("now_ms").get<std::int64_t>() -
                        Response.at("measured_ms").get<std::int64_t>());
    for (const Json &Task : Response.at("tasks"))
      Result.Tasks.push_back({parseAttempt(Task), parseResources(Task)});
    return Result;
  });
}

} // namespace daisyspool
