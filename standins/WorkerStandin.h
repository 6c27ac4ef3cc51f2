#ifndef DAISYSPOOL_STANDINS_WORKERSTANDIN_H
#define DAISYSPOOL_STANDINS_WORKERSTANDIN_H

#include "Standin.h"
#include "WorkerModel.h"
#include "daisyspool/http/Client.h"
#include "daisyspool/platform/SignatureV4.h"

#include <map>
#include <optional>

namespace daisyspool {

/// Faults of one worker; all are off at first.
struct WorkerStandinFaults {
  /// The next starts that fail at once with exit code 1.
  int FailStarts = 0;
  /// Every task that is started fails at once.
  bool FailAll = false;
  /// Every start is refused for lack of room.
  bool RefuseStarts = false;
  bool FailCheckpoints = false;
  /// The next commands that take effect and whose connection is then closed.
  int LoseAnswers = 0;
  /// No call is answered or has an effect; tasks go on until their leases end.
  bool Hang = false;
  /// Delay before a call takes effect, also if its client has given up.
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
        Port(Io, controlOptions(Config.Listen),
             [this](http::Request What, Answerer Answer) {
               receive(std::move(What), std::move(Answer));
             }) {
    if (Config.Objects)
      Store.emplace(Io, http::Client::Options{*Config.Objects});
    renewClockId();
  }
  WorkerStandin(const WorkerStandin &) = delete;
  WorkerStandin &operator=(const WorkerStandin &) = delete;

  http::Endpoint endpoint() const { return Port.endpoint(); }

private:
  using Json = nlohmann::json;
  using Answerer = HeldCalls::Answerer;
  using Reason = WorkerRefused::Reason;

  /// For a call to the object store.
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

  static Json toJson(const TaskAttempt &Which, const Resources &Size) {
    return {{"task", Which.Task.str()},
            {"attempt", Which.Attempt.value()},
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

  /// A worker whose clock starts anew has a new name for it.
  void renewClockId() {
    static std::uint64_t Count = 0;
    ClockId =
        std::to_string(Time.wallNow().count()) + '-' + std::to_string(++Count);
  }

  void receive(http::Request What, Answerer Answer) {
    if (handleFaults(What, *Answer, Faults)) {
      if (!Faults.Hang)
        Held.dropHanging();
      return;
    }
    if (What.Target.starts_with("/standin/"))
      return answerControl(*Answer, [&] { return controlCall(What); });
    if (Faults.SlowMs <= 0)
      return serve(What, std::move(Answer));

    Held.delay(Millis(Faults.SlowMs), std::move(What), std::move(Answer),
               [this](const http::Request &Due, Answerer To) {
                 serve(Due, std::move(To));
               });
  }

  Json controlCall(const http::Request &What) {
    if (What.Target == "/standin/stats")
      return {{"starts", Starts},
              {"overcommits", Model.overcommits()},
              {"tasks", Model.tasks(Time.now()).size()}};
    if (What.Target == "/standin/crash") {
      Model.crash();
      renewClockId();
      return Json::object();
    }
    if (What.Target == "/standin/fail") {
      Json Arguments = Json::parse(What.Body);
      Model.fail(TaskId(Arguments.at("task")), Arguments.value("exit_code", 1),
                 Time.now());
      return Json::object();
    }

    throw StandinError("unknown control call " + What.Target);
  }

  void serve(const http::Request &What, Answerer Answer) {
    if (Faults.Hang)
      return Held.hang(std::move(Answer));

    guarded(*Answer, [&] {
      if (What.Method == "GET")
        return succeed(*Answer, show(What.Target));

      Json Arguments = Json::parse(What.Body);
      if (What.Target == "/v1/run")
        return run(Arguments, Answer);
      if (What.Target == "/v1/checkpoint")
        return checkpoint(Arguments, Answer);
      command(What.Target, Arguments);
      finishCommand(*Answer);
    });
  }

  template <typename Function>
  void guarded(http::Exchange &Answer, Function Act) {
    try {
      Act();
    } catch (const WorkerRefused &Failure) {
      Answer.respond(http::toResponse({409, toString(Failure.reason()),
                                       Failure.what(), Execution::NotRun}));
    } catch (const std::exception &Failure) {
      Answer.respond(http::toResponse(
          {400, "bad-call", Failure.what(), Execution::NotRun}));
    }
  }

  void succeed(http::Exchange &Answer, Json Document) {
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
    succeed(Answer, Json::object());
  }

  Json show(const std::string &Path) {
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
    TaskAttempt Which = parseAttempt(Arguments);
    TimePoint Now = Time.now();
    if (Path == "/v1/renew")
      Model.renew(Which, leaseEnd(Arguments), Now);
    else if (Path == "/v1/throttle")
      Model.throttle(Which, PerMille(Arguments.at("share").get<std::int64_t>()),
                     Now);
    else if (Path == "/v1/stop")
      Model.stop(Which, Now);
    else if (Path == "/v1/acknowledge")
      Model.acknowledge(Which, Now);
    else
      throw StandinError("unknown call " + Path);
  }

  void run(const Json &Arguments, const Answerer &Answer) {
    TaskStart What = parseStart(Arguments);
    TimePoint LeaseEnd = leaseEnd(Arguments);
    if (Faults.RefuseStarts)
      throw WorkerRefused(Reason::NoRoom, "starts are refused");
    if (!What.ResumeFrom) {
      start(What, LeaseEnd, Millis(0));
      return finishCommand(*Answer);
    }

    loadCheckpoint(*What.ResumeFrom, [=,
                                      this](std::optional<std::string> Bytes) {
      guarded(*Answer, [&] {
        if (!Bytes)
          throw WorkerRefused(Reason::UnknownCheckpoint, "no such checkpoint");
        start(What, LeaseEnd, Millis(Json::parse(*Bytes).at("done_ms")));
        finishCommand(*Answer);
      });
    });
  }

  void start(TaskStart What, TimePoint LeaseEnd, Millis Progress) {
    bool Fails = Faults.FailAll || Faults.FailStarts > 0;
    if (Fails) {
      What.Command = "run_ms=0 exit_code=1";
      Faults.FailStarts = std::max(0, Faults.FailStarts - 1);
    }
    Model.run(What, LeaseEnd, Progress, Time.now());
    ++Starts;
  }

  void checkpoint(const Json &Arguments, const Answerer &Answer) {
    TaskAttempt Which = parseAttempt(Arguments);
    CheckpointId Name(Arguments.at("checkpoint").get<std::string>());
    Json Bytes{{"task", Which.Task.str()},
               {"done_ms", Model.progress(Which, Time.now()).count()}};
    if (Faults.FailCheckpoints)
      Model.checkpointEnded(Which, Name, false);
    else
      storeCheckpoint(Which, Name, Bytes.dump());
    finishCommand(*Answer);
  }

  std::string objectPath(const CheckpointId &Name) const {
    return encodePath('/' + Config.Bucket + '/' + Name.str());
  }

  void storeCheckpoint(const TaskAttempt &Which, const CheckpointId &Name,
                       std::string Bytes) {
    if (!Store) {
      (*Config.Checkpoints)[Name.str()] = std::move(Bytes);
      Model.checkpointEnded(Which, Name, true);
      return;
    }

    Store->send({"PUT", objectPath(Name), {}, std::move(Bytes)}, StoreTimeout,
                [=, this](http::Response Answer, std::exception_ptr Failure) {
                  bool Stored = !Failure && Answer.Status == 200;
                  Model.checkpointEnded(Which, Name, Stored);
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
  http::Server Port;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_WORKERSTANDIN_H
