// A worker as the operators' pages describe it: runs under a lease on its own
// clock, numbered ends and fencing tokens.
#ifndef DAISYSPOOL_REVIEW_FLEET3_WORKER_H
#define DAISYSPOOL_REVIEW_FLEET3_WORKER_H

#include "Standin.h"
#include "daisyspool/http/Client.h"
#include "fleet/VirtualLoop.h"

#include <map>
#include <ostream>
#include <set>

namespace daisyspool::review {

using nlohmann::json;
using testing::VirtualLoop;
using ExchangePtr = std::shared_ptr<http::Exchange>;

/// What the workers do with a job, which its caller decides.
struct JobBehaviour {
  Millis Work{20};
  /// Of each task, in thousandths of a core.
  std::int64_t Cpu = 100;
  /// The tasks run until they are stopped.
  bool Lasts = false;
  /// What a worker reports as the load of a task.
  std::int64_t Load = 100;
};

/// What all workers have in common: the jobs and the record.
class World {
public:
  explicit World(VirtualLoop &Loop, std::ostream &Record)
      : Loop(Loop), Record(Record), StartedAt(Loop.now()) {}

  std::ostream &note() {
    auto Seconds =
        std::chrono::duration<double>(Loop.now() - StartedAt).count();
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%8.3f  ", Seconds);
    return Record << Text;
  }

  /// Counts a run that began, or one that ended.
  void countRun(const std::string &Job, bool Began) {
    int Difference = Began ? 1 : -1;
    JobRuns &Counted = Runs[Job];
    Counted.Count += Difference;
    Counted.IdleSince = Loop.now();
    bool WasUnderHalf = isUnderHalf();
    CpuInUse += Difference * Jobs.at(Job).Cpu;
    if (isUnderHalf() && !WasUnderHalf)
      UnderHalfSince = Loop.now();
  }

  /// Whether for \p Span nothing of the job has run while less than half of
  /// the workers' processors was in use.
  bool isStarved(const std::string &Job, Millis Span) const {
    auto Found = Runs.find(Job);
    bool Idle =
        Found == Runs.end() || (Found->second.Count == 0 &&
                                Loop.now() - Found->second.IdleSince >= Span);
    return Idle && isUnderHalf() && Loop.now() - UnderHalfSince >= Span;
  }

  int runningTasks(const std::string &Job) const {
    auto Found = Runs.find(Job);
    return Found == Runs.end() ? 0 : Found->second.Count;
  }
  std::int64_t capacity() const {
    return static_cast<std::int64_t>(WorkerCount) * WorkerCores * 1000;
  }
  std::int64_t cpuInUse() const { return CpuInUse; }

  VirtualLoop &Loop;
  std::ostream &Record;
  TimePoint StartedAt;
  std::map<std::string, JobBehaviour> Jobs;
  /// Each run is written to the record.
  bool RecordsRuns = true;
  int WorkerCores = 16;
  std::size_t WorkerCount = 0;
  std::size_t Starts = 0;
  /// By job, when a task of it last started.
  std::map<std::string, TimePoint> LastStarts;

private:
  struct JobRuns {
    int Count = 0;
    TimePoint IdleSince{};
  };

  bool isUnderHalf() const { return CpuInUse * 2 < capacity(); }

  std::map<std::string, JobRuns> Runs;
  std::int64_t CpuInUse = 0;
  TimePoint UnderHalfSince{};
};

/// Thread safety: the I/O thread only.
class Worker {
public:
  Worker(boost::asio::io_context &Io, World &Shared, std::string Id,
         const http::Endpoint &Agent)
      : Shared(Shared), Loop(Shared.Loop), Id(std::move(Id)),
        StartedAt(Loop.now()), ToAgent(Io, {Agent}),
        HttpServer(
            Io, controlOptions({"127.0.0.1", 0}),
            [this](const http::Request &Received, const ExchangePtr &Answer) {
              serve(Received, Answer);
            }) {
    ++Shared.WorkerCount;
    announce();
  }

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

private:
  struct Run {
    std::uint64_t Number = 0;
    TimePoint Started{};
  };

  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint64_t Run = 0;
    std::string Cause;
  };

  static constexpr Millis AnnounceInterval{1500};
  static constexpr Millis PollInterval{10};
  /// Until a task that lasts is at work.
  static constexpr Millis StartupTime{400};
  static constexpr std::int64_t MaxHold = 6000;
  static constexpr std::size_t MaxListedEnds = 500;

  std::int64_t clock() const {
    return 1000 +
           std::chrono::duration_cast<Millis>(Loop.now() - StartedAt).count();
  }

  void announce() {
    Loop.after(AnnounceInterval, [this] { announce(); });
    json Body{
        {"service", "service"},
        {"address", http::toString(endpoint())},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", Shared.WorkerCores * 1000}, {"mem_mb", 64000}, {"gpu", 0}}},
        {"labels", {"a", "r1-1"}},
        {"clock_ms", clock()},
        {"born", Born},
        {"sequence", ++Sequence}};
    ToAgent.send({"POST",
                  "/-/instances/" + Id + "/heartbeat",
                  {{"Content-Type", "application/json"}},
                  Body.dump()},
                 Millis(1000),
                 [](const http::Response &, const std::exception_ptr &) {});
  }

  http::Response answer(int Status, const char *Reason = nullptr) const {
    json Body{{"clock_ms", clock()}};
    if (Reason)
      Body["reason"] = Reason;
    return jsonResponse(Body, Status);
  }

  void serve(const http::Request &Received, const ExchangePtr &Answer) {
    try {
      auto Expected = http::findHeader(Received.Headers, "X-Expected-Instance");
      if (Expected && *Expected != Id)
        return Answer->respond(answer(421));
      json From = json::parse(Received.Body);
      auto Token = From.value<std::uint64_t>("fencing_token", 0);
      if (Token < HighestToken)
        return Answer->respond(answer(409, "fence"));
      HighestToken = Token;
      if (Received.Target == "/-/run-start")
        return Answer->respond(start(From));
      if (Received.Target == "/-/run-stop")
        return Answer->respond(stop(From));
      if (Received.Target == "/-/hold")
        return hold(From, Answer);
      Answer->respond(answer(200));
    } catch (const json::exception &) {
      Answer->respond(answer(400));
    }
  }

  void extend(std::int64_t Deadline) {
    LeaseEnd = std::max(LeaseEnd, std::min(Deadline, clock() + MaxHold));
    Loop.after(Millis(std::max<std::int64_t>(0, LeaseEnd - clock()) + 1),
               [this] { expire(); });
  }

  void expire() {
    if (clock() < LeaseEnd)
      return;
    while (!Running.empty())
      end(std::string(Running.begin()->first), "lapsed");
  }

  http::Response start(const json &From) {
    std::string Task = From.at("task");
    auto Number = From.at("run_id").get<std::uint64_t>();
    std::int64_t Deadline = From.at("deadline_ms");
    auto Found = Running.find(Task);
    if (Found != Running.end() && Found->second.Number == Number)
      return answer(200);
    if (Found != Running.end() || Number <= ClosedUpTo[Task]) {
      extend(Deadline);
      return answer(409, "old");
    }
    if (Deadline <= clock())
      return answer(409, "late");
    extend(Deadline);
    begin(Task, Number);
    return answer(200);
  }

  http::Response stop(const json &From) {
    std::string Task = From.at("task");
    auto Number = From.at("run_id").get<std::uint64_t>();
    auto Found = Running.find(Task);
    if (Found != Running.end() && Found->second.Number <= Number)
      end(Task, "stopped");
    ClosedUpTo[Task] = std::max(ClosedUpTo[Task], Number);
    return answer(200);
  }

  void begin(const std::string &Task, std::uint64_t Number) {
    std::string Job = Task.substr(0, Task.find('.'));
    Running[Task] = {Number, Loop.now()};
    ++Shared.Starts;
    Shared.countRun(Job, true);
    Shared.LastStarts[Job] = Loop.now();
    if (Shared.RecordsRuns)
      Shared.note() << Id << " starts " << Task << " run " << Number << '\n';
    if (Shared.Jobs.at(Job).Lasts)
      return;
    Loop.after(Shared.Jobs.at(Job).Work, [this, Task, Number] {
      auto Found = Running.find(Task);
      if (Found != Running.end() && Found->second.Number == Number)
        end(Task, "done");
    });
  }

  void end(const std::string &Task, const std::string &Cause) {
    Run Ended = Running.at(Task);
    Running.erase(Task);
    Shared.countRun(Task.substr(0, Task.find('.')), false);
    ClosedUpTo[Task] = std::max(ClosedUpTo[Task], Ended.Number);
    Ends.push_back({++LastEnd, Task, Ended.Number, Cause});
    if (Shared.RecordsRuns)
      Shared.note() << Id << " ends " << Task << " run " << Ended.Number << ' '
                    << Cause << '\n';
  }

  void hold(const json &From, const ExchangePtr &Answer) {
    if (From.contains("deadline_ms"))
      extend(From.at("deadline_ms"));
    auto Seen = From.value<std::uint64_t>("last_seen", 0);
    std::erase_if(Ends,
                  [Seen](const End &Each) { return Each.Number <= Seen; });
    wait(Loop.now() + Millis(From.value("wait_ms", 0)), Answer);
  }

  int percent(const std::string &Task, const Run &Listed) const {
    bool Lasts = Shared.Jobs.at(Task.substr(0, Task.find('.'))).Lasts;
    return Lasts && Loop.now() - Listed.Started >= StartupTime ? 100 : 50;
  }

  void wait(TimePoint Until, const ExchangePtr &Answer) {
    if (Loop.now() < Until && Ends.empty())
      return Loop.after(PollInterval,
                        [this, Until, Answer] { wait(Until, Answer); });
    json Body{{"clock_ms", clock()},
              {"born", Born},
              {"running", json::array()},
              {"finished", json::array()}};
    for (const auto &[Task, Each] : Running)
      Body["running"].push_back(
          {Task, Each.Number, "", percent(Task, Each),
           Shared.Jobs.at(Task.substr(0, Task.find('.'))).Load});
    for (std::size_t I = 0; I < Ends.size() && I < MaxListedEnds; ++I)
      Body["finished"].push_back(
          {Ends[I].Number, Ends[I].Task, Ends[I].Run, Ends[I].Cause, ""});
    Answer->respond(jsonResponse(Body));
  }

  World &Shared;
  VirtualLoop &Loop;
  std::string Id;
  TimePoint StartedAt;
  std::int64_t Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  std::uint64_t Sequence = 0;
  std::uint64_t HighestToken = 0;
  std::int64_t LeaseEnd = 0;
  std::map<std::string, Run> Running;
  std::vector<End> Ends;
  std::uint64_t LastEnd = 0;
  std::map<std::string, std::uint64_t> ClosedUpTo;
  http::Client ToAgent;
  http::Server HttpServer;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_FLEET3_WORKER_H
