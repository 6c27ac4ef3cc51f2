#include "daisyspool/worker/HttpWorker.h"

#include "daisyspool/platform/BlockingClient.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace daisyspool {

namespace {

using Json = nlohmann::json;

/// A reading of the worker's clock is used for this long, so that drift
/// between the two clocks stays far below the allowance of a lease.
constexpr std::chrono::seconds MaxReadingAge{5};

Json toJson(const TaskAttempt &Which) {
  return {{"task", Which.Task.str()}, {"attempt", Which.Attempt.value()}};
}

TaskAttempt parseAttempt(const Json &From) {
  return {TaskId(From.at("task").get<std::string>()),
          AttemptNumber(From.at("attempt").get<std::uint64_t>())};
}

Resources parseResources(const Json &From) {
  return {MilliCores(From.at("milli_cores").get<std::int64_t>()),
          MebiBytes(From.at("mebi_bytes").get<std::int64_t>()),
          Accelerators(From.at("accelerators").get<std::int64_t>())};
}

std::optional<CheckpointId> parseCheckpoint(const Json &From,
                                            const char *Name) {
  if (!From.contains(Name))
    return std::nullopt;

  return CheckpointId(From.at(Name).get<std::string>());
}

WorkerTask parseTask(const Json &From) {
  auto Phase = parseTaskPhase(From.at("phase").get<std::string>());
  if (!Phase)
    throw WorkerProtocolError("worker: unknown phase");

  WorkerTask Result;
  Result.Id = parseAttempt(From);
  Result.Phase = *Phase;
  Result.ExitCode = From.at("exit_code").get<int>();
  Result.Share = PerMille(From.at("share").get<std::int64_t>());
  Result.Size = parseResources(From);
  Result.LastCheckpoint = parseCheckpoint(From, "last_checkpoint");
  Result.FailedCheckpoint = parseCheckpoint(From, "failed_checkpoint");
  return Result;
}

[[noreturn]] void throwRefusal(int Status, const Json &Problem) {
  std::string Title = Problem.at("title").get<std::string>();
  auto Why = parseWorkerRefusal(Title);
  if (Status != 409 || !Why)
    throw WorkerProtocolError("worker: " + std::to_string(Status) + ' ' +
                              Title);

  throw WorkerRefused(*Why, "worker: " + Problem.value("detail", Title));
}

} // namespace

class HttpWorker::Impl {
public:
  Impl(Options Config, const Clock &Time)
      : Client(Config.Server), Timeout(Config.Timeout), Time(Time) {}

  /// Sends a call and passes the answer to \p Interpret.
  template <typename Function>
  auto call(const char *Method, const char *Path, const Json &Arguments,
            Function Interpret) {
    try {
      return Interpret(
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

  /// Adds the end of a lease, \p Lease from \p Start, to \p Arguments.
  void setLease(Json &Arguments, TimePoint Start, Duration Lease) {
    if (!Reading || Start - Reading->At > MaxReadingAge)
      call("GET", "/v1/clock", nullptr, [](const Json &) { return true; });

    Duration FromReading = Start + Lease - Reading->At;
    Arguments["expires_ms"] =
        Reading->Worker + std::chrono::floor<Millis>(FromReading).count();
    Arguments["clock_id"] = Reading->ClockId;
  }

  TimePoint now() const { return Time.now(); }

private:
  struct ClockReading {
    TimePoint At;
    std::int64_t Worker = 0;
    std::string ClockId;
  };

  Json exchange(http::Request What) {
    http::Response Answer = send(std::move(What));
    if (Answer.Status >= 500)
      throw WorkerUnavailable("worker: " + std::to_string(Answer.Status));

    Json Document = Json::parse(Answer.Body);
    if (Answer.Status != 200) {
      // The next call reads the clock anew, as this may be about the clock.
      Reading.reset();
      throwRefusal(Answer.Status, Document);
    }
    // Taken after the answer arrived, so that leases end early rather than
    // late.
    Reading =
        ClockReading{Time.now(), Document.at("now_ms").get<std::int64_t>(),
                     Document.at("clock_id").get<std::string>()};
    return Document;
  }

  http::Response send(http::Request What) {
    try {
      return Client.exchange(std::move(What), Timeout);
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

void HttpWorker::run(const TaskStart &What, Duration Lease) {
  TimePoint Start = State->now();
  Json Arguments = toJson(What.Id);
  Arguments["command"] = What.Command;
  Arguments["milli_cores"] = What.Size.Cpu.value();
  Arguments["mebi_bytes"] = What.Size.Memory.value();
  Arguments["accelerators"] = What.Size.Accelerator.value();
  if (What.ResumeFrom)
    Arguments["resume_from"] = What.ResumeFrom->str();

  State->setLease(Arguments, Start, Lease);
  State->command("/v1/run", Arguments);
}

void HttpWorker::renew(const TaskAttempt &Which, Duration Lease) {
  TimePoint Start = State->now();
  Json Arguments = toJson(Which);
  State->setLease(Arguments, Start, Lease);
  State->command("/v1/renew", Arguments);
}

void HttpWorker::checkpoint(const TaskAttempt &Which,
                            const CheckpointId &Name) {
  Json Arguments = toJson(Which);
  Arguments["checkpoint"] = Name.str();
  State->command("/v1/checkpoint", Arguments);
}

void HttpWorker::throttle(const TaskAttempt &Which, PerMille Share) {
  assert(Share >= Suspended && Share <= FullShare);
  Json Arguments = toJson(Which);
  Arguments["share"] = Share.value();
  State->command("/v1/throttle", Arguments);
}

void HttpWorker::stop(const TaskAttempt &Which) {
  State->command("/v1/stop", toJson(Which));
}

void HttpWorker::acknowledge(const TaskAttempt &Which) {
  State->command("/v1/acknowledge", toJson(Which));
}

std::vector<WorkerTask> HttpWorker::tasks() {
  return State->call("GET", "/v1/tasks", nullptr, [](const Json &Answer) {
    std::vector<WorkerTask> Result;
    for (const Json &Each : Answer.at("tasks"))
      Result.push_back(parseTask(Each));
    return Result;
  });
}

WorkerUsage HttpWorker::usage() {
  return State->call("GET", "/v1/usage", nullptr, [](const Json &Answer) {
    WorkerUsage Result;
    Result.Age = Millis(Answer.at("now_ms").get<std::int64_t>() -
                        Answer.at("measured_ms").get<std::int64_t>());
    for (const Json &Each : Answer.at("tasks"))
      Result.Tasks.push_back({parseAttempt(Each), parseResources(Each)});
    return Result;
  });
}

} // namespace daisyspool
