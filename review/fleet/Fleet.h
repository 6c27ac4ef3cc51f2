// A small deployment on loopback for the cases of the review: the project's
// entries and agents as separate processes, and stand-ins for the platform's
// store, the workers and the clients as the operators' pages describe them.
#ifndef DAISYSPOOL_REVIEW_FLEET_H
#define DAISYSPOOL_REVIEW_FLEET_H

#include "daisyspool/http/Client.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/platform/Base64.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace daisyspool::review {

using nlohmann::json;
using ExchangePtr = std::shared_ptr<http::Exchange>;
using SteadyClock = std::chrono::steady_clock;

inline std::int64_t unixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Timers and the time since the start of the run.
class Loop {
public:
  boost::asio::io_context Io{1};

  std::int64_t now() const {
    return std::chrono::duration_cast<Millis>(SteadyClock::now() - Start)
        .count();
  }

  void after(std::int64_t DelayMs, std::function<void()> Call) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_after(Millis(DelayMs));
    Timer->async_wait(
        [Timer, Call = std::move(Call)](boost::system::error_code Failure) {
          if (!Failure)
            Call();
        });
  }

private:
  SteadyClock::time_point Start = SteadyClock::now();
};

/// What was sent, answered and run, and the rules that were broken.
class Record {
public:
  Record(Loop &Time, const std::string &File) : Time(Time), Out(File) {}

  void line(const std::string &Text) {
    Out << Time.now() << " ms " << Text << std::endl;
  }

  void broken(const std::string &Text) {
    ++Broken;
    line("BROKEN " + Text);
  }

  int Broken = 0;

private:
  Loop &Time;
  std::ofstream Out;
};

inline http::Response jsonAnswer(int Status, const json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

inline http::Server::Options listenOn(const http::Endpoint &Address) {
  http::Server::Options Result;
  Result.Listen = Address;
  return Result;
}

/// The platform's store: tables of rows, atomic transactions and a feed.
class Store {
public:
  Store(Loop &Time, Record &Log)
      : Time(Time), Log(Log),
        Server(Time.Io, listenOn({"127.0.0.1", 0}),
               [this](const http::Request &Call, const ExchangePtr &Answer) {
                 serve(Call, Answer);
               }) {}

  http::Endpoint endpoint() const { return Server.endpoint(); }

  /// `row_bytes` of the settings; 0 for no limit.
  std::size_t RowBytes = 65536;

  void writeAsOperator(const std::string &Key, const json &Value) {
    put({"op", "", Key}, toBase64(Value.dump()));
  }

private:
  using RowKey = std::array<std::string, 3>;
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  static constexpr std::size_t MaxEntries = 100;
  static constexpr std::size_t MaxCallBytes = 1000000;
  static constexpr std::size_t MaxPageRows = 500;

  static RowKey keyOf(const json &From) {
    return {From.at("table"), From.value("part", ""), From.at("key")};
  }

  static json toJson(const RowKey &Key, const Row &Each) {
    json Result{{"table", Key[0]},
                {"part", Key[1]},
                {"key", Key[2]},
                {"schema_version", Each.Version}};
    if (Each.Removed)
      Result["tombstone"] = true;
    else
      Result["value"] = Each.Value;
    return Result;
  }

  json page(json Rows, bool Truncated) const {
    return {{"rows", std::move(Rows)},
            {"truncated", Truncated},
            {"schema_version", Version},
            {"now_ms", Time.now()}};
  }

  void put(const RowKey &Key, const std::string &Value) {
    ++Version;
    Rows[Key] = {Value, Version, false};
  }

  static std::string query(const std::string &Target, const std::string &Name) {
    for (std::size_t At = Target.find('?'); At != std::string::npos;) {
      std::size_t End = Target.find('&', At + 1);
      std::string Pair =
          Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      if (Pair.starts_with(Name + "="))
        return decoded(Pair.substr(Name.size() + 1));
      At = End;
    }
    return {};
  }

  static std::string decoded(const std::string &Text) {
    std::string Result;
    for (std::size_t I = 0; I < Text.size(); ++I) {
      if (Text[I] != '%') {
        Result += Text[I];
        continue;
      }
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    }
    return Result;
  }

  void serve(const http::Request &Call, const ExchangePtr &Answer) {
    try {
      if (Call.Target == "/-/rows-tx")
        return Answer->respond(transact(Call.Body));
      if (Call.Target.starts_with("/-/rows-get"))
        return Answer->respond(get(Call.Target));
      if (Call.Target.starts_with("/-/rows-feed"))
        return feed(Call.Target,
                    Time.now() + std::stoll(query(Call.Target, "wait_ms")),
                    Answer);
      Answer->respond(jsonAnswer(404, json::object()));
    } catch (const std::exception &Problem) {
      Answer->respond(jsonAnswer(400, {{"detail", Problem.what()}}));
    }
  }

  http::Response refused(const std::string &Detail) {
    Log.line("store: 400 " + Detail);
    return jsonAnswer(400, {{"detail", Detail}});
  }

  http::Response transact(const std::string &Body) {
    json Call = json::parse(Body);
    const json &Conditions = Call.at("expected_revision");
    const json &Puts = Call.at("upserts");
    const json &Removes = Call.at("remove");
    if (Conditions.size() + Puts.size() + Removes.size() > MaxEntries)
      return refused("more than 100 entries");
    if (Body.size() > MaxCallBytes)
      return refused("more than 1 MB");
    for (const json &Each : Puts) {
      std::size_t Bytes =
          fromBase64(Each.at("value").get<std::string>()).value().size();
      if (RowBytes != 0 && Bytes > RowBytes)
        return refused("row " + Each.at("table").get<std::string>() + "/" +
                       Each.at("key").get<std::string>() + " of " +
                       std::to_string(Bytes) + " bytes, row_bytes is " +
                       std::to_string(RowBytes));
    }
    bool Holds = true;
    json Current = json::array();
    for (const json &Each : Conditions) {
      auto Found = Rows.find(keyOf(Each));
      bool Exists = Found != Rows.end() && !Found->second.Removed;
      if (Exists)
        Current.push_back(toJson(Found->first, Found->second));
      Holds = Holds && (Exists ? Found->second.Version : 0) ==
                           Each.at("schema_version").get<std::uint64_t>();
    }
    if (!Holds)
      return jsonAnswer(412, page(std::move(Current), false));
    ++Version;
    for (const json &Each : Puts)
      Rows[keyOf(Each)] = {Each.at("value"), Version, false};
    for (const json &Each : Removes)
      Rows[keyOf(Each)] = {"", Version, true};
    return jsonAnswer(200, page(json::array(), false));
  }

  http::Response get(const std::string &Target) {
    std::string Table = query(Target, "table");
    std::string Part = query(Target, "part");
    std::string To = query(Target, "to");
    json Result = json::array();
    for (auto At = Rows.lower_bound({Table, Part, query(Target, "from")});
         At != Rows.end() && At->first[0] == Table && At->first[1] == Part &&
         (To.empty() || At->first[2] < To);
         ++At) {
      if (At->second.Removed)
        continue;
      if (Result.size() == MaxPageRows)
        return jsonAnswer(200, page(std::move(Result), true));
      Result.push_back(toJson(At->first, At->second));
    }
    return jsonAnswer(200, page(std::move(Result), false));
  }

  void feed(const std::string &Target, std::int64_t End,
            const ExchangePtr &Answer) {
    std::string Table = query(Target, "table");
    std::uint64_t After = std::stoull(query(Target, "after"));
    std::map<std::uint64_t, std::vector<json>> Changes;
    for (auto At = Rows.lower_bound({Table, "", ""});
         At != Rows.end() && At->first[0] == Table; ++At)
      if (At->second.Version > After)
        Changes[At->second.Version].push_back(toJson(At->first, At->second));
    if (Changes.empty() && Time.now() < End) {
      constexpr std::int64_t PollMs = 5;
      return Time.after(
          PollMs, [this, Target, End, Answer] { feed(Target, End, Answer); });
    }
    json Result = json::array();
    for (auto &[At, Each] : Changes)
      for (json &Row : Each)
        Result.push_back(std::move(Row));
    Answer->respond(jsonAnswer(200, page(std::move(Result), false)));
  }

  Loop &Time;
  Record &Log;
  std::map<RowKey, Row> Rows;
  std::uint64_t Version = 0;
  http::Server Server;
};

/// The jobs that clients handed in, which the workers carry out.
struct SubmittedJob {
  json Body;
  std::int64_t WorkMs = 1000;
  bool Accepted = false;
  std::string State = "unknown";
};

struct TaskParts {
  std::string Job;
  std::string Group;
  std::size_t Step = 0;
};

/// Splits a task's name of the form ID.K.STEP.INDEX.
inline TaskParts partsOf(const std::string &Task) {
  std::size_t IndexDot = Task.rfind('.');
  std::size_t StepDot = Task.rfind('.', IndexDot - 1);
  return {Task.substr(0, Task.find('.')), Task.substr(0, IndexDot),
          std::stoul(Task.substr(StepDot + 1, IndexDot - StepDot - 1))};
}

class Worker;

/// All workers: what runs where, and the rules on runs of a task.
struct Floor {
  std::map<std::string, SubmittedJob> Jobs;
  /// By task, the workers that run it now.
  std::map<std::string, std::set<std::string>> RunningOn;
  /// Tasks of which an end as done was taken note of.
  std::set<std::string> DoneNoted;
  /// By gang and run, the members that are present.
  std::map<std::string, std::map<std::string, Worker *>> Gangs;
  std::map<std::string, int> Starts;
  /// By job, the numbers of the runs of which a task ended as failed.
  std::map<std::string, std::set<std::uint64_t>> FailedRuns;
};

/// One worker on its machine, as the pages describe it. It starts whatever it
/// is told to start (`admission_check` false).
class Worker {
public:
  Worker(Loop &Time, Record &Log, Floor &Shared, std::string Name,
         const http::Endpoint &Agent)
      : Time(Time), Log(Log), Shared(Shared), Name(std::move(Name)),
        ToAgent(Time.Io, {Agent}),
        Server(Time.Io, listenOn({"127.0.0.1", 0}),
               [this](const http::Request &Call, const ExchangePtr &Answer) {
                 serve(Call, Answer);
               }) {
    announce();
  }

  /// New runs fail at once.
  bool FailsAll = false;

  http::Endpoint endpoint() const { return Server.endpoint(); }
  const std::string &name() const { return Name; }

  json heartbeat() {
    return {{"service", "castmatch"},
            {"address", http::toString(endpoint())},
            {"zone", "saskatoon"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", {{"cpu", 16000}, {"mem_mb", 64000}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"clock_ms", clock()},
            {"born", Born},
            {"sequence", ++Sequence}};
  }

  /// Sends a heartbeat to this worker's agent.
  void sendHeartbeat(const std::string &Id, const json &Body,
                     const std::function<void(int)> &Done) {
    ToAgent.send({"POST",
                  "/-/instances/" + Id + "/heartbeat",
                  {{"Content-Type", "application/json"}},
                  Body.dump()},
                 Millis(1000),
                 [Done](const http::Response &Answer,
                        const std::exception_ptr &Failure) {
                   Done(Failure ? 0 : Answer.Status);
                 });
  }

  /// The machine is gone: it runs and answers nothing any more.
  void remove() {
    Removed = true;
    for (const auto &[Task, Each] : Runs)
      Shared.RunningOn[Task].erase(Name);
    Runs.clear();
  }

  /// Ends a member of a gang because another member has ended.
  void endMember(const std::string &Task, const char *How) {
    if (Runs.count(Task) != 0)
      end(Task, How);
  }

private:
  struct Run {
    std::uint64_t Number = 0;
    std::int64_t StartedAt = 0;
    std::int64_t WorkMs = 0;
  };
  static constexpr std::int64_t HeartbeatMs = 1500;
  static constexpr std::int64_t MaxHoldMs = 6000;
  static constexpr std::int64_t GangTimeoutMs = 3000;
  static constexpr std::int64_t PollMs = 5;
  /// One way between zones.
  static constexpr std::int64_t BreakDelayMs = 4;

  std::int64_t clock() const { return 1000 + Time.now() - StartedAt; }

  void announce() {
    if (Removed)
      return;
    Time.after(HeartbeatMs, [this] { announce(); });
    sendHeartbeat("i-" + Name, heartbeat(), [](int) {});
  }

  http::Response answer(int Status, const std::string &Reason = "") const {
    json Body{{"clock_ms", clock()}, {"born", Born}};
    if (!Reason.empty())
      Body["reason"] = Reason;
    return jsonAnswer(Status, Body);
  }

  void serve(const http::Request &Call, const ExchangePtr &Answer) {
    if (Removed)
      return Unanswered.push_back(Answer);
    try {
      auto Expected = http::findHeader(Call.Headers, "X-Expected-Instance");
      if (Expected && *Expected != "i-" + Name)
        return Answer->respond(answer(421));
      json Body = json::parse(Call.Body);
      auto Token = Body.at("fencing_token").get<std::uint64_t>();
      if (Token < HighestToken)
        return Answer->respond(answer(409, "fence"));
      HighestToken = Token;
      if (Call.Target == "/-/run-start")
        return Answer->respond(start(Body));
      if (Call.Target == "/-/run-stop")
        return Answer->respond(stop(Body));
      if (Call.Target == "/-/pace")
        return Answer->respond(answer(200));
      if (Call.Target == "/-/hold")
        return hold(Body, Answer);
      Answer->respond(answer(404));
    } catch (const json::exception &Problem) {
      Answer->respond(answer(400, Problem.what()));
    }
  }

  void extendLease(std::int64_t Deadline) {
    expire();
    LeaseEnd = std::max(LeaseEnd, std::min(Deadline, clock() + MaxHoldMs));
    Time.after(std::max<std::int64_t>(LeaseEnd - clock(), 0) + 1,
               [this] { expire(); });
  }

  void expire() {
    if (Removed || clock() < LeaseEnd)
      return;
    std::vector<std::string> Tasks;
    for (const auto &[Task, Each] : Runs)
      Tasks.push_back(Task);
    for (const std::string &Task : Tasks)
      end(Task, "lapsed");
    LapsedUpTo = LastEnd;
  }

  http::Response start(const json &Body) {
    std::string Task = Body.at("task");
    auto Number = Body.at("run_id").get<std::uint64_t>();
    auto Deadline = Body.at("deadline_ms").get<std::int64_t>();
    extendLease(Deadline);
    auto Present = Runs.find(Task);
    if (Present != Runs.end() && Present->second.Number == Number)
      return answer(200);
    if (Number <= ClosedUpTo[Task] || Present != Runs.end())
      return answer(409, "old");
    if (Deadline <= clock())
      return answer(409, "late");
    const SubmittedJob &Job = Shared.Jobs.at(partsOf(Task).Job);
    Log.line(Name + " starts " + Task + " run " + std::to_string(Number));
    Runs[Task] = {Number, Time.now(), Job.WorkMs};
    noteStart(Task, Number);
    const json &Step = Job.Body.at("steps").at(partsOf(Task).Step);
    if (FailsAll) {
      if (Step.value("gang", false))
        Shared.Gangs[gangOf(Task, Number)][Task] = this;
      endLater(Task, Number, FailMs, "failed");
    } else if (Step.value("gang", false))
      joinGang(Task, Number, Step.at("count").get<std::size_t>());
    else if (!Step.value("long_running", false))
      endLater(Task, Number, Job.WorkMs, "done");
    return answer(200);
  }

  void noteStart(const std::string &Task, std::uint64_t Number) {
    auto &Hosts = Shared.RunningOn[Task];
    Hosts.insert(Name);
    ++Shared.Starts[partsOf(Task).Job];
    std::string What = Task + " run " + std::to_string(Number) + " on " + Name;
    if (Hosts.size() > 1) {
      std::string Others;
      for (const std::string &Host : Hosts)
        Others += Host == Name ? "" : " " + Host;
      Log.broken("TWICE: " + What + " while it runs on" + Others);
    }
    if (Shared.DoneNoted.count(Task) != 0)
      Log.broken("TWICE: " + What + " starts after its recorded end");
  }

  void endLater(const std::string &Task, std::uint64_t Number,
                std::int64_t DelayMs, const char *How) {
    Time.after(DelayMs, [this, Task, Number, How] {
      auto Found = Runs.find(Task);
      if (Found != Runs.end() && Found->second.Number == Number)
        end(Task, How);
    });
  }

  void joinGang(const std::string &Task, std::uint64_t Number,
                std::size_t Count) {
    std::string Gang = gangOf(Task, Number);
    auto &Members = Shared.Gangs[Gang];
    Members[Task] = this;
    if (Members.size() < Count) {
      Time.after(GangTimeoutMs, [this, Task, Number, Gang, Count] {
        auto Found = Runs.find(Task);
        if (Found != Runs.end() && Found->second.Number == Number &&
            Shared.Gangs[Gang].size() < Count)
          end(Task, "alone");
      });
      return;
    }
    // All members are present and work from now on; they end together.
    Time.after(Runs.at(Task).WorkMs, [this, Gang, Count] {
      auto Present = Shared.Gangs[Gang];
      if (Present.size() == Count)
        for (auto &[Member, Host] : Present)
          Host->endMember(Member, "done");
    });
  }

  static std::string gangOf(const std::string &Task, std::uint64_t Number) {
    return partsOf(Task).Group + "#" + std::to_string(Number);
  }

  http::Response stop(const json &Body) {
    std::string Task = Body.at("task");
    auto Number = Body.at("run_id").get<std::uint64_t>();
    auto Present = Runs.find(Task);
    if (Present != Runs.end() && Present->second.Number <= Number)
      end(Task, "stopped");
    ClosedUpTo[Task] = std::max(ClosedUpTo[Task], Number);
    return answer(200);
  }

  void end(const std::string &Task, const std::string &How) {
    std::uint64_t Number = Runs.at(Task).Number;
    Runs.erase(Task);
    ClosedUpTo[Task] = std::max(ClosedUpTo[Task], Number);
    Ends.push_back({++LastEnd, Task, Number, How, ""});
    Shared.RunningOn[Task].erase(Name);
    if (How == "failed")
      Shared.FailedRuns[partsOf(Task).Job].insert(Number);
    Log.line(Name + " ends " + Task + " run " + std::to_string(Number) + " " +
             How);
    auto Gang = Shared.Gangs.find(gangOf(Task, Number));
    if (Gang == Shared.Gangs.end())
      return;
    Gang->second.erase(Task);
    if (How == "done" || How == "alone" || How == "broken")
      return;
    // The other members learn of it over the network.
    Time.after(BreakDelayMs, [this, Key = Gang->first] {
      auto Others = Shared.Gangs[Key];
      for (auto &[Member, Host] : Others)
        Host->endMember(Member, "broken");
    });
  }

  void hold(const json &Body, const ExchangePtr &Answer) {
    expire();
    if (Body.contains("deadline_ms"))
      extendLease(Body.at("deadline_ms").get<std::int64_t>());
    auto LastSeen = Body.at("last_seen").get<std::uint64_t>();
    std::erase_if(Ends, [&](const json &Each) {
      auto Number = Each.at(0).get<std::uint64_t>();
      if (Number > LastSeen)
        return false;
      if (Each.at(3) == "done" && Number > LapsedUpTo)
        Shared.DoneNoted.insert(Each.at(1));
      return true;
    });
    respondToHold(Time.now() + Body.value("wait_ms", std::int64_t{0}), LastEnd,
                  Answer);
  }

  void respondToHold(std::int64_t Until, std::uint64_t EndsBefore,
                     const ExchangePtr &Answer) {
    if (Ends.empty() && LastEnd == EndsBefore && Time.now() < Until)
      return Time.after(PollMs, [this, Until, EndsBefore, Answer] {
        respondToHold(Until, EndsBefore, Answer);
      });
    constexpr std::size_t MaxEnds = 500;
    json Result{{"clock_ms", clock()},
                {"born", Born},
                {"running", json::array()},
                {"finished", json::array()}};
    for (const auto &[Task, Each] : Runs) {
      std::int64_t Percent = (Time.now() - Each.StartedAt) * 100 / Each.WorkMs;
      Result["running"].push_back(
          {Task, Each.Number, "", std::min<std::int64_t>(Percent, 100), 100});
    }
    for (std::size_t I = 0; I < std::min(Ends.size(), MaxEnds); ++I)
      Result["finished"].push_back(Ends[I]);
    Answer->respond(jsonAnswer(200, Result));
  }

  static constexpr std::int64_t FailMs = 50;

  Loop &Time;
  Record &Log;
  Floor &Shared;
  std::string Name;
  std::int64_t StartedAt = Time.now();
  std::int64_t Born = unixMillis();
  std::uint64_t Sequence = 0;
  std::uint64_t HighestToken = 0;
  std::int64_t LeaseEnd = 0;
  std::uint64_t LastEnd = 0;
  std::uint64_t LapsedUpTo = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, std::uint64_t> ClosedUpTo;
  std::vector<json> Ends;
  bool Removed = false;
  /// Calls that are never answered.
  std::vector<ExchangePtr> Unanswered;
  http::Client ToAgent;
  http::Server Server;
};

/// One process of the project, started with a command of the deploy file.
class Process {
public:
  Process(std::string Role, std::string Settings, std::string LogFile)
      : Role(std::move(Role)), Settings(std::move(Settings)),
        LogFile(std::move(LogFile)) {}
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGCONT);
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }

  /// Returns false if the process cannot be started.
  bool start() {
    std::string Program = "target/daisyspool";
    std::string Variable = "DAISYSPOOL_NODE_FILE=" + Settings;
    std::vector<char *> Arguments{Program.data(), Role.data(), nullptr};
    std::vector<char *> Environment{Variable.data()};
    for (char **Each = environ; *Each != nullptr; ++Each)
      Environment.push_back(*Each);
    Environment.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    ::posix_spawn_file_actions_init(&Actions);
    ::posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    int Failure = ::posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                                Arguments.data(), Environment.data());
    ::posix_spawn_file_actions_destroy(&Actions);
    if (Failure != 0)
      Pid = 0;
    return Failure == 0;
  }

  void signal(int Number) {
    if (Pid > 0)
      ::kill(Pid, Number);
  }

  /// Kills the process and starts it again.
  bool restart() {
    signal(SIGKILL);
    if (Pid > 0)
      ::waitpid(Pid, nullptr, 0);
    return start();
  }

  /// Whether the process has ended by itself.
  bool hasEnded() {
    if (Pid <= 0 || ::waitpid(Pid, nullptr, WNOHANG) != Pid)
      return Pid <= 0;
    Pid = 0;
    return true;
  }

private:
  std::string Role;
  std::string Settings;
  std::string LogFile;
  pid_t Pid = 0;
};

/// The whole deployment. Thread safety: one thread.
class Fleet {
public:
  struct Options {
    std::string RecordFile = std::getenv("REVIEW_RECORD") != nullptr
                                 ? std::getenv("REVIEW_RECORD")
                                 : "record.txt";
    std::size_t Entries = 3;
    std::size_t Workers = 5;
    /// Further queues; the queue "q0" under "/q0/" always exists.
    json Routes = json::array();
  };

  explicit Fleet(Options Config)
      : Config(std::move(Config)), Log(Time, this->Config.RecordFile),
        Rows(Time, Log) {
    std::string Template =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(Template.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
    Folder = Template;
    this->Config.Routes.push_back(route("q0", 0, 2));
    Rows.writeAsOperator("config", {{"version", 7},
                                    {"routes", this->Config.Routes},
                                    {"services", {{{"name", "castmatch"}}}},
                                    {"limits", {{"max_body_bytes", 262144}}}});
    for (std::size_t I = 0; I < this->Config.Workers; ++I)
      addMachine(freeEndpoint());
    for (std::size_t I = 0; I < this->Config.Entries; ++I)
      addEntry(I);
  }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  ~Fleet() {
    Processes.clear();
    std::error_code Ignored;
    if (std::getenv("REVIEW_KEEP") == nullptr)
      std::filesystem::remove_all(Folder, Ignored);
    else
      Log.line("logs kept in a temporary folder");
  }

  static json route(const std::string &Name, int Priority, int MaxAttempts) {
    return {{"host", "127.0.0.1"},  {"path_prefix", "/" + Name + "/"},
            {"name", Name},         {"service", "castmatch"},
            {"priority", Priority}, {"max_attempts", MaxAttempts},
            {"slack_factor", 2.0},  {"target_latency_ms", 1000}};
  }

  /// Adds a machine with a worker and its agent, which is not started. \p Links
  /// is the address at which the leader reaches the agent.
  Process &addMachine(const http::Endpoint &Links) {
    std::string Number = std::to_string(Workers.size() + 1);
    std::string Name = "side-saskatoon-" + Number;
    auto Announcements = freeEndpoint();
    Workers.push_back(std::make_unique<Worker>(Time, Log, Shared, "w" + Number,
                                               Announcements));
    LinksOf.push_back(Links);
    addProcess(Name, "fleet-agent",
               "[listen]\nannouncements = " + http::toString(Announcements) +
                   "\nlinks = " + http::toString(Links) + "\n" +
                   addressLine("metrics") + "[worker]\naddress = " +
                   http::toString(Workers.back()->endpoint()) + "\n");
    return *Processes.back();
  }

  /// Ends a machine for good: its worker with all that it runs, and its agent.
  void removeMachine(std::size_t I) {
    Processes[I]->signal(SIGKILL);
    Workers[I]->remove();
  }

  http::Endpoint freeAddress() { return freeEndpoint(); }
  const http::Endpoint &linksOf(std::size_t I) const { return LinksOf[I]; }

  /// Starts the processes and calls \p Ready once all entries are ready.
  /// Returns false if a process cannot be started.
  bool start(std::function<void()> Ready) {
    for (auto &Each : Processes)
      if (!Each->start())
        return false;
    awaitReady(std::move(Ready));
    return true;
  }

  /// Runs until finish() is called; returns the exit code.
  int run() {
    Signals.async_wait([this](boost::system::error_code Failure, int) {
      if (!Failure)
        finish(2);
    });
    Time.after(RunLimitMs, [this] { finish(2); });
    Time.Io.run();
    return ExitCode;
  }

  void finish(int Code) {
    Log.line("exit " + std::to_string(Code));
    ExitCode = Code;
    Time.Io.stop();
  }

  /// Hands a job in and repeats it as a client does. \p Retries as in the
  /// pages' table of requests.
  void submit(const std::string &Id, const json &Body, std::int64_t WorkMs,
              const std::string &Queue = "q0", int Retries = 4) {
    if (Shared.Jobs.count(Id) == 0)
      Shared.Jobs[Id] = {Body, WorkMs};
    call("POST", Id, Queue, Body.dump(),
         [this, Id, Body, WorkMs, Queue, Retries](int Status,
                                                  const std::string &) {
           if (Status == 200)
             Shared.Jobs[Id].Accepted = true;
           else if (Retries > 0 && Status != 404)
             Time.after(Status == 503 || Status == 429 ? 1000 : 100, [=, this] {
               submit(Id, Body, WorkMs, Queue, Retries - 1);
             });
         });
  }

  /// Asks for the state of all accepted jobs, then calls \p Done.
  void askStates(const std::function<void()> &Done,
                 const std::string &Queue = "q0") {
    auto Left = std::make_shared<std::size_t>(1);
    auto Finish = [Left, Done] {
      if (--*Left == 0)
        Done();
    };
    for (auto &[Id, Job] : Shared.Jobs)
      if (Job.Accepted) {
        ++*Left;
        call("GET", Id, Queue, "",
             [this, Id = Id, Finish](int Status, const std::string &Body) {
               Shared.Jobs[Id].State =
                   Status == 200 ? json::parse(Body).value("state", "none")
                                 : "status " + std::to_string(Status);
               Finish();
             });
      }
    Finish();
  }

  /// Sends a client's request to the next entry in turn. \p Done gets status 0
  /// if there was no answer.
  void call(const std::string &Method, const std::string &Id,
            const std::string &Queue, const std::string &Body,
            const std::function<void(int, const std::string &)> &Done) {
    std::size_t Entry = NextEntry++ % Clients.size();
    std::string What = Method + " " + Queue + "/" + Id;
    Log.line("client: " + What + " to entry " + std::to_string(Entry));
    Clients[Entry]->send(
        {Method,
         "/" + Queue + "/" + Id,
         {{"X-Deadline-Ms", "3000"}, {"Content-Type", "application/json"}},
         Body},
        Millis(3000),
        [this, What, Done](const http::Response &Answer,
                           const std::exception_ptr &Failure) {
          int Status = Failure ? 0 : Answer.Status;
          Log.line("client: " + What + " -> " +
                   (Failure ? "no answer"
                            : std::to_string(Status) + " " + Answer.Body));
          Done(Status, Answer.Body);
        });
  }

  Options Config;
  Loop Time;
  Record Log;
  Floor Shared;
  Store Rows;
  std::vector<std::unique_ptr<Worker>> Workers;
  /// The agents of the first workers, the entries, then further agents.
  std::vector<std::unique_ptr<Process>> Processes;

private:
  static constexpr std::int64_t StartupLimitMs = 20000;
  static constexpr std::int64_t RunLimitMs = 115000;

  std::string addressLine(const char *Key) {
    return std::string(Key) + " = " + http::toString(freeEndpoint()) + "\n";
  }

  /// A free port below the range from which outgoing connections are made.
  http::Endpoint freeEndpoint() {
    for (;;) {
      http::Endpoint Candidate{"127.0.0.1", NextPort++};
      boost::asio::ip::tcp::acceptor Probe(Time.Io);
      boost::system::error_code Failure;
      Probe.open(boost::asio::ip::tcp::v4());
      Probe.bind(
          {boost::asio::ip::make_address(Candidate.Address), Candidate.Port},
          Failure);
      if (!Failure)
        return Candidate;
    }
  }

  void addProcess(const std::string &Name, const std::string &Role,
                  const std::string &Settings) {
    auto File = Folder / (Name + ".ini");
    std::ofstream(File) << "[node]\nname = " << Name
                        << "\nfailure_domain = saskatoon\n"
                        << Settings << "[store]\naddress = "
                        << http::toString(Rows.endpoint())
                        << "\n[bounds]\nmax_lease_ms = 6000\n"
                           "stop_timeout_ms = 200\n";
    Processes.push_back(std::make_unique<Process>(
        Role, File.string(), (Folder / (Name + ".log")).string()));
  }

  void addEntry(std::size_t I) {
    auto Callers = freeEndpoint();
    auto Readiness = freeEndpoint();
    Clients.push_back(std::make_unique<http::Client>(
        Time.Io, http::Client::Options{Callers, 512}));
    ReadinessClients.push_back(std::make_unique<http::Client>(
        Time.Io, http::Client::Options{Readiness, 4}));
    addProcess("frontend-saskatoon-" + std::to_string(I + 1), "fleet-entry",
               "[listen]\ncallers = " + http::toString(Callers) +
                   "\nreadiness = " + http::toString(Readiness) + "\n" +
                   addressLine("links") + addressLine("metrics"));
  }

  void awaitReady(std::function<void()> Ready) {
    if (Time.now() > StartupLimitMs)
      return finish(2);
    auto Left = std::make_shared<std::size_t>(ReadinessClients.size());
    auto Good = std::make_shared<std::size_t>(0);
    for (auto &Each : ReadinessClients)
      Each->send({"GET", "/-/readiness", {}, {}}, Millis(1000),
                 [this, Left, Good, Ready](const http::Response &Answer,
                                           const std::exception_ptr &Failure) {
                   *Good += !Failure && Answer.Status == 200 ? 1 : 0;
                   if (--*Left != 0)
                     return;
                   // The workers' first heartbeats arrive within 1.5 s.
                   if (*Good == ReadinessClients.size())
                     return Time.after(2500, Ready);
                   Time.after(200, [this, Ready] { awaitReady(Ready); });
                 });
  }

  std::filesystem::path Folder;
  std::vector<http::Endpoint> LinksOf;
  std::uint16_t NextPort =
      static_cast<std::uint16_t>(10000 + ::getpid() % 300 * 64);
  std::vector<std::unique_ptr<http::Client>> Clients;
  std::vector<std::unique_ptr<http::Client>> ReadinessClients;
  boost::asio::signal_set Signals{Time.Io, SIGTERM, SIGINT};
  std::size_t NextEntry = 0;
  int ExitCode = 2;
};

/// A job's id: 16 hexadecimal digits.
inline std::string jobId(std::uint64_t Number) {
  char Text[17];
  std::snprintf(
      Text, sizeof Text, "%016llx",
      static_cast<unsigned long long>(Number * 0x9e3779b97f4a7c15ULL));
  return Text;
}

/// Whether the disruption of the case is to take place.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::strcmp(Value, "0") != 0;
}

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_FLEET_H
