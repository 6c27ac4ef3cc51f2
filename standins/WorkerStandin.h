#ifndef DAISYSPOOL_STANDINS_WORKERSTANDIN_H
#define DAISYSPOOL_STANDINS_WORKERSTANDIN_H

#include "Standin.h"
#include "WorkerModel.h"
#include "daisyspool/http/Client.h"
#include "daisyspool/platform/SignatureV4.h"

#include <map>
#include <optional>

namespace daisyspool {

/// Faults of one worker; all are off initially.
struct WorkerStandinFaults {
  /// Number of next starts that fail at once with exit code 1.
  int FailStarts = 0;
  /// Every task that is started fails at once.
  bool FailAll = false;
  /// Every start is refused for lack of room.
  bool RefuseStarts = false;
  bool FailCheckpoints = false;
  /// Number of next commands that take effect and whose connection is then
  /// closed without an answer.
  int LoseAnswers = 0;
  /// No call is answered or has an effect; tasks run until their leases end.
  bool Hang = false;
  /// Delay before a call takes effect, even if its client has disconnected.
  int SlowMs = 0;
  /// At most ten seconds.
  int UsageLagMs = 1000;

  template <typename Function> void fields(Function Visit) {
    Visit("fail_starts", FailStarts);
    Visit("fail_all", FailAll);
    Visit("refuse_starts", RefuseStarts);
    Visit("fail_checkpoints", FailCheckpoints);
    Visit("lose_answers", LoseAnswers);
    Visit("hang", Hang);
    Visit("slow_ms", SlowMs);
    Visit("usage_lag_ms", UsageLagMs);
  }
};

/// One worker with fake tasks.
///
/// A checkpoint is a small JSON object with the progress of its task. It is
/// stored in the object store if one is given, and otherwise in a map that the
/// workers of one process share. See docs/standins.md for the calls. Thread
/// safety: the I/O thread only.
class WorkerStandin {
public:
  using CheckpointMap = std::map<std::string, std::string>;

  struct Options {
    http::Endpoint Listen;
    Resources Capacity{MilliCores(16000), MebiBytes(64000), Accelerators(0)};
    std::optional<http::Endpoint> Objects = std::nullopt;
    std::string Bucket = "daisyspool";
    std::shared_ptr<CheckpointMap> Checkpoints =
        std::make_shared<CheckpointMap>();
  };

  WorkerStandin(boost::asio::io_context &Io, Options Given)
      : Config(std::move(Given)), Model(Config.Capacity), Held(Io),
        HttpServer(Io, controlOptions(Config.Listen),
                   [this](http::Request Received, ExchangePtr Answer) {
                     receive(std::move(Received), std::move(Answer));
                   }) {
    if (Config.Objects)
      Store.emplace(Io, http::Client::Options{*Config.Objects});
    renewClockId();
  }
  WorkerStandin(const WorkerStandin &) = delete;
  WorkerStandin &operator=(const WorkerStandin &) = delete;

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

private:
  using Json = nlohmann::json;
  using ExchangePtr = HeldCalls::ExchangePtr;
  using Reason = WorkerRefused::Reason;

  /// Time limit for a call to the object store.
  static constexpr Millis StoreTimeout{5000};

  static TaskAttempt parseAttempt(const Json &From) {
    return {TaskId(From.at("task").get<std::string>()),
            AttemptNumber(From.at("attempt").get<std::uint64_t>())};
  }

  static TaskStart parseStart(const Json &From) {
    TaskStart Result{
        parseAttempt(From),
        From.at("command"),
        {MilliCores(From.at("milli_cores").get<std::int64_t>()),
         MebiBytes(From.at("mebi_bytes").get<std::int64_t>()),
         Accelerators(From.at("accelerators").get<std::int64_t>())},
        std::nullopt};
    if (From.contains("resume_from"))
      Result.ResumeFrom = CheckpointId(From.at("resume_from"));
    return Result;
  }

  static Json toJson(const TaskAttempt &Id, const Resources &Size) {
    return {{"task", Id.Task.str()},
            {"attempt", Id.Attempt.value()},
            {"milli_cores", Size.Cpu.value()},
            {"mebi_bytes", Size.Memory.value()},
            {"accelerators", Size.Accelerator.value()}};
  }

  static Json toJson(const WorkerTask &From) {
    Json Result = toJson(From.Id, From.Size);
    Result["phase"] = toString(From.Phase);
    Result["exit_code"] = From.ExitCode;
    Result["share"] = From.Share.value();
    if (From.LastCheckpoint)
      Result["last_checkpoint"] = From.LastCheckpoint->str();
    if (From.FailedCheckpoint)
      Result["failed_checkpoint"] = From.FailedCheckpoint->str();
    return Result;
  }

  /// Assigns a new clock id, as a worker does when its clock restarts.
  void renewClockId() {
    static std::uint64_t Count = 0;
    ClockId =
        std::to_string(Time.wallNow().count()) + '-' + std::to_string(++Count);
  }

  void receive(http::Request Received, ExchangePtr Answer) {
    if (handleFaults(Received, *Answer, Faults)) {
      if (!Faults.Hang)
        Held.dropHanging();
      return;
    }
    if (Received.Target.starts_with("/standin/"))
      return answerControl(*Answer, [&] { return controlCall(Received); });
    if (Faults.SlowMs <= 0)
      return serve(Received, std::move(Answer));

    Held.delay(Millis(Faults.SlowMs), std::move(Received), std::move(Answer),
               [this](const http::Request &Delayed, ExchangePtr To) {
                 serve(Delayed, std::move(To));
               });
  }

  Json controlCall(const http::Request &Received) {
    if (Received.Target == "/standin/stats")
      return {{"starts", Starts},
              {"overcommits", Model.overcommits()},
              {"tasks", Model.tasks(Time.now()).size()}};
    if (Received.Target == "/standin/crash") {
      Model.crash();
      renewClockId();
      return Json::object();
    }
    if (Received.Target == "/standin/fail") {
      Json Arguments = Json::parse(Received.Body);
      Model.fail(TaskId(Arguments.at("task")), Arguments.value("exit_code", 1),
                 Time.now());
      return Json::object();
    }

    throw StandinError("unknown control call " + Received.Target);
  }

  void serve(const http::Request &Received, ExchangePtr Answer) {
    if (Faults.Hang)
      return Held.hang(std::move(Answer));

    respondOnError(*Answer, [&] {
      if (Received.Method == "GET")
        return respondOk(*Answer, answerQuery(Received.Target));

      Json Arguments = Json::parse(Received.Body);
      if (Received.Target == "/v1/run")
        return run(Arguments, Answer);
      if (Received.Target == "/v1/checkpoint")
        return checkpoint(Arguments, Answer);
      command(Received.Target, Arguments);
      finishCommand(*Answer);
    });
  }

  template <typename Function>
  void respondOnError(http::Exchange &Answer, Function Handle) {
    try {
      Handle();
    } catch (const WorkerRefused &Failure) {
      Answer.respond(http::toResponse({409, toString(Failure.reason()),
                                       Failure.what(), Execution::NotRun}));
    } catch (const std::exception &Failure) {
      Answer.respond(http::toResponse(
          {400, "bad-call", Failure.what(), Execution::NotRun}));
    }
  }

  void respondOk(http::Exchange &Answer, Json Document) {
    Document["now_ms"] =
        std::chrono::floor<Millis>(Time.now().time_since_epoch()).count();
    Document["clock_id"] = ClockId;
    Answer.respond(jsonResponse(Document));
  }

  /// Answers a command that has taken effect.
  void finishCommand(http::Exchange &Answer) {
    if (Faults.LoseAnswers > 0) {
      --Faults.LoseAnswers;
      return;
    }
    respondOk(Answer, Json::object());
  }

  Json answerQuery(const std::string &Path) {
    if (Path == "/v1/clock")
      return Json::object();
    Json Tasks = Json::array();
    if (Path == "/v1/tasks") {
      for (const WorkerTask &Each : Model.tasks(Time.now()))
        Tasks.push_back(toJson(Each));
      return {{"tasks", Tasks}};
    }
    if (Path != "/v1/usage")
      throw StandinError("unknown call " + Path);

    WorkerUsage Usage = Model.usage(Millis(Faults.UsageLagMs), Time.now());
    for (const TaskUsage &Each : Usage.Tasks)
      Tasks.push_back(toJson(Each.Id, Each.Used));
    auto Measured = Time.now().time_since_epoch() - Usage.Age;
    return {{"tasks", Tasks},
            {"measured_ms", std::chrono::floor<Millis>(Measured).count()}};
  }

  TimePoint leaseEnd(const Json &Arguments) const {
    if (Arguments.at("clock_id") != ClockId)
      throw WorkerRefused(Reason::UnknownClock, "worker has restarted");

    return TimePoint(Millis(Arguments.at("expires_ms").get<std::int64_t>()));
  }

  void command(const std::string &Path, const Json &Arguments) {
    TaskAttempt Id = parseAttempt(Arguments);
    TimePoint Now = Time.now();
    if (Path == "/v1/renew")
      Model.renew(Id, leaseEnd(Arguments), Now);
    else if (Path == "/v1/throttle")
      Model.throttle(Id, PerMille(Arguments.at("share").get<std::int64_t>()),
                     Now);
    else if (Path == "/v1/stop")
      Model.stop(Id, Now);
    else if (Path == "/v1/acknowledge")
      Model.acknowledge(Id, Now);
    else
      throw StandinError("unknown call " + Path);
  }

  void run(const Json &Arguments, const ExchangePtr &Answer) {
    TaskStart Start = parseStart(Arguments);
    TimePoint LeaseEnd = leaseEnd(Arguments);
    if (Faults.RefuseStarts)
      throw WorkerRefused(Reason::NoRoom, "starts are refused");
    if (!Start.ResumeFrom) {
      start(Start, LeaseEnd, Millis(0));
      return finishCommand(*Answer);
    }

    loadCheckpoint(*Start.ResumeFrom, [=,
                                       this](std::optional<std::string> Bytes) {
      respondOnError(*Answer, [&] {
        if (!Bytes)
          throw WorkerRefused(Reason::UnknownCheckpoint, "no such checkpoint");
        start(Start, LeaseEnd, Millis(Json::parse(*Bytes).at("done_ms")));
        finishCommand(*Answer);
      });
    });
  }

  void start(TaskStart Start, TimePoint LeaseEnd, Millis Progress) {
    bool Fails = Faults.FailAll || Faults.FailStarts > 0;
    if (Fails) {
      Start.Command = "run_ms=0 exit_code=1";
      Faults.FailStarts = std::max(0, Faults.FailStarts - 1);
    }
    Model.run(Start, LeaseEnd, Progress, Time.now());
    ++Starts;
  }

  void checkpoint(const Json &Arguments, const ExchangePtr &Answer) {
    TaskAttempt Id = parseAttempt(Arguments);
    CheckpointId Name(Arguments.at("checkpoint").get<std::string>());
    Json Bytes{{"task", Id.Task.str()},
               {"done_ms", Model.progress(Id, Time.now()).count()}};
    if (Faults.FailCheckpoints)
      Model.checkpointEnded(Id, Name, false);
    else
      storeCheckpoint(Id, Name, Bytes.dump());
    finishCommand(*Answer);
  }

  std::string objectPath(const CheckpointId &Name) const {
    return encodePath('/' + Config.Bucket + '/' + Name.str());
  }

  void storeCheckpoint(const TaskAttempt &Id, const CheckpointId &Name,
                       std::string Bytes) {
    if (!Store) {
      (*Config.Checkpoints)[Name.str()] = std::move(Bytes);
      Model.checkpointEnded(Id, Name, true);
      return;
    }

    Store->send({"PUT", objectPath(Name), {}, std::move(Bytes)}, StoreTimeout,
                [=, this](http::Response Answer, std::exception_ptr Failure) {
                  bool Stored = !Failure && Answer.Status == 200;
                  Model.checkpointEnded(Id, Name, Stored);
                });
  }

  void loadCheckpoint(const CheckpointId &Name,
                      std::function<void(std::optional<std::string>)> Done) {
    if (!Store) {
      auto Found = Config.Checkpoints->find(Name.str());
      if (Found == Config.Checkpoints->end())
        return Done(std::nullopt);
      return Done(Found->second);
    }

    Store->send({"GET", objectPath(Name), {}, {}}, StoreTimeout,
                [Done](http::Response Answer, std::exception_ptr Failure) {
                  if (Failure || Answer.Status != 200)
                    return Done(std::nullopt);
                  Done(std::move(Answer.Body));
                });
  }

  Options Config;
  SystemClock Time;
  WorkerModel Model;
  WorkerStandinFaults Faults;
  std::string ClockId;
  std::uint64_t Starts = 0;
  HeldCalls Held;
  std::optional<http::Client> Store;
  http::Server HttpServer;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_WORKERSTANDIN_H
