// A stand-in for a worker and the check of what its runs must keep to, as
// PROTOCOL.md and RULES.md describe them.
#ifndef DAISYSPOOL_REVIEW_WORKER_H
#define DAISYSPOOL_REVIEW_WORKER_H

#include "Harness.h"

#include <algorithm>
#include <charconv>

namespace daisyspool::review {

struct Run {
  std::string Task;
  std::uint64_t Number = 0;
  auto operator<=>(const Run &) const = default;
};

inline std::string toText(const Run &Named) {
  return Named.Task + " run " + std::to_string(Named.Number);
}

/// Checks the rule TWICE over all workers, and tells the cases what has run.
class Oracle {
public:
  explicit Oracle(Harness &Host) : Host(Host) {}

  void started(const std::string &Worker, const Run &Begun) {
    ++Starts;
    if (auto Other = Running.find(Begun.Task); Other != Running.end())
      Host.broken("TWICE", toText(Begun) + " starts on " + Worker + " while " +
                               toText(Other->second) + " is at work");
    if (auto Done = DoneRuns.find(Begun.Task); Done != DoneRuns.end())
      StartsAfterDone.emplace_back(Done->second, Begun);
    if (NotedDone.count(Begun.Task) != 0)
      reportTwice(DoneRuns.at(Begun.Task), Begun);
    Running[Begun.Task] = Begun;
  }

  void ended(const Run &Over, const std::string &How) {
    Running.erase(Over.Task);
    LastAtWork[jobOf(Over.Task)] = Clock::now();
    if (How == "lapsed")
      ++Lapses;
    if (How == "done")
      DoneRuns.try_emplace(Over.Task, Over);
  }

  /// last_seen has reached the end of \p Over, and the worker's lease has not
  /// lapsed since that end.
  void noted(const Run &Over, const std::string &How) {
    if (How != "done")
      return;
    NotedDone.insert(Over.Task);
    for (const auto &[Done, Begun] : StartsAfterDone)
      if (Done == Over)
        reportTwice(Done, Begun);
  }

  /// Number of tasks of \p Job that have ended done.
  std::size_t doneCount(const std::string &Job) const {
    return static_cast<std::size_t>(
        std::count_if(DoneRuns.begin(), DoneRuns.end(), [&](const auto &Each) {
          return jobOf(Each.first) == Job;
        }));
  }
  /// Whether no task of \p Job has been at work for \p Span.
  bool isIdleFor(const std::string &Job, Millis Span) const {
    for (const auto &[Task, Named] : Running)
      if (jobOf(Task) == Job)
        return false;
    auto Found = LastAtWork.find(Job);
    return Found == LastAtWork.end() || Clock::now() - Found->second > Span;
  }

  std::size_t runningCount() const { return Running.size(); }
  std::size_t doneCount() const { return DoneRuns.size(); }

  std::size_t Starts = 0;
  std::size_t Lapses = 0;

private:
  static std::string jobOf(const std::string &Task) {
    return Task.substr(0, Task.find('.'));
  }

  void reportTwice(const Run &Done, const Run &Begun) {
    if (Reported.insert(Begun).second)
      Host.broken("TWICE", toText(Begun) + " started after " + toText(Done) +
                               " had ended done, and that end is noted");
  }

  Harness &Host;
  std::map<std::string, Run> Running;
  /// By task, the first run that ended done.
  std::map<std::string, Run> DoneRuns;
  std::set<std::string> NotedDone;
  std::vector<std::pair<Run, Run>> StartsAfterDone;
  std::set<Run> Reported;
  /// By job, when a run of it last ended.
  std::map<std::string, Clock::time_point> LastAtWork;
};

/// A worker that starts what it is told to. The spec of a task says how long it
/// works: "work_ms=N", or "lasts" until it is stopped, and anything behind a
/// space.
///
/// Thread safety: the I/O thread only.
class Worker {
public:
  Worker(Harness &Host, Oracle &Rules, const std::string &Name,
         const http::Endpoint &Agent, int MilliCores)
      : Host(Host), Rules(Rules), Name(Name), MilliCores(MilliCores),
        ToAgent(Host.Io, {Agent}),
        HttpServer(Host.Io, Harness::listenOn({"127.0.0.1", 0}),
                   [this](const http::Request &Call,
                          const ExchangePtr &Answer) { serve(Call, Answer); }) {
    announce();
    expireRegularly();
  }

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

private:
  struct RunState {
    Clock::time_point StartedAt;
    /// Time until the run ends by itself, or until it has started up if it
    /// lasts.
    Millis Work{0};
    bool Lasts = false;
  };
  struct End {
    std::uint64_t Number = 0;
    Run Over;
    std::string How;
  };
  struct Waiting {
    ExchangePtr Answer;
    Clock::time_point Until;
  };

  static constexpr Millis AnnounceInterval{1500};
  static constexpr Millis ExpiryInterval{10};
  static constexpr Millis StartUpTime{400};
  static constexpr std::int64_t MaxLeaseMs = 6000;
  /// The ends that one list holds.
  static constexpr std::size_t MaxListedEnds = 500;

  std::int64_t clock() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - BornAt).count() +
           1000;
  }

  void announce() {
    Host.after(AnnounceInterval, [this] { announce(); });
    json Body{
        {"service", "service"},
        {"address", http::toString(endpoint())},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity", {{"cpu", MilliCores}, {"mem_mb", 64000}, {"gpu", 0}}},
        {"labels", {"a", "r1-1"}},
        {"clock_ms", clock()},
        {"born", Born},
        {"sequence", ++Announcements}};
    ToAgent.send({"POST",
                  "/-/instances/" + Name + "/heartbeat",
                  {{"Content-Type", "application/json"}},
                  Body.dump()},
                 Millis(1000),
                 [](const http::Response &, const std::exception_ptr &) {});
  }

  void serve(const http::Request &Call, const ExchangePtr &Answer) {
    try {
      expire();
      json Body = json::parse(Call.Body);
      auto Expected = http::findHeader(Call.Headers, "X-Expected-Instance");
      if (Expected && *Expected != Name)
        return Answer->respond(jsonResponse(421, {{"clock_ms", clock()}}));
      auto Token = Body.value("fencing_token", std::uint64_t(0));
      if (Token < HighestToken)
        return decline(Answer, "fence");
      HighestToken = Token;
      if (Call.Target == "/-/hold")
        return hold(Body, Answer);
      if (Call.Target == "/-/run-start")
        return start(Body, Answer);
      if (Call.Target == "/-/run-stop")
        stop({Body.at("task"), Body.at("run_id")});
      Answer->respond(jsonResponse(200, {{"clock_ms", clock()}}));
    } catch (const json::exception &Problem) {
      Answer->respond(jsonResponse(400, {{"detail", Problem.what()}}));
    }
  }

  void decline(const ExchangePtr &Answer, const char *Reason) const {
    Answer->respond(
        jsonResponse(409, {{"clock_ms", clock()}, {"reason", Reason}}));
  }

  void extend(const json &Body) {
    auto Wanted = Body.value("deadline_ms", std::int64_t(0));
    LeaseEnd = std::max(LeaseEnd, std::min(Wanted, clock() + MaxLeaseMs));
  }

  void start(const json &Body, const ExchangePtr &Answer) {
    Run Named{Body.at("task"), Body.at("run_id")};
    extend(Body);
    if (Runs.count(Named) == 0) {
      if (Named.Number <= ClosedUpTo[Named.Task])
        return decline(Answer, "old");
      if (Body.at("deadline_ms").get<std::int64_t>() <= clock())
        return decline(Answer, "late");
      std::string Spec = Body.at("spec");
      bool Lasts = Spec.starts_with("lasts");
      Millis Work = Lasts ? StartUpTime : workOf(Spec);
      Runs[Named] = {Clock::now(), Work, Lasts};
      Host.record(Name, "starts " + toText(Named));
      Rules.started(Name, Named);
      Host.after(Work, [this, Named, Lasts] {
        if (!Lasts && Runs.count(Named) != 0)
          end(Named, "done");
      });
    }
    Answer->respond(jsonResponse(200, {{"clock_ms", clock()}}));
  }

  static Millis workOf(const std::string &Spec) {
    constexpr std::string_view Prefix = "work_ms=";
    std::int64_t Work = 0;
    if (Spec.starts_with(Prefix))
      std::from_chars(Spec.data() + Prefix.size(), Spec.data() + Spec.size(),
                      Work);
    return Millis(Work);
  }

  void stop(const Run &Named) {
    std::vector<Run> Stopped;
    for (const auto &[Each, State] : Runs)
      if (Each.Task == Named.Task && Each.Number <= Named.Number)
        Stopped.push_back(Each);
    for (const Run &Each : Stopped)
      end(Each, "stopped");
    std::uint64_t &Closed = ClosedUpTo[Named.Task];
    Closed = std::max(Closed, Named.Number);
  }

  void end(const Run &Over, const std::string &How) {
    Runs.erase(Over);
    std::uint64_t &Closed = ClosedUpTo[Over.Task];
    Closed = std::max(Closed, Over.Number);
    Ends.push_back({++LastEnd, Over, How});
    Host.record(Name, "end " + std::to_string(LastEnd) + ": " + toText(Over) +
                          " " + How);
    Rules.ended(Over, How);
    auto Answered = std::move(Holds);
    Holds.clear();
    for (const Waiting &Each : Answered)
      Each.Answer->respond(jsonResponse(200, listing()));
  }

  void expire() {
    if (clock() < LeaseEnd)
      return;
    LapsedUpTo = LastEnd;
    while (!Runs.empty())
      end(Run(Runs.begin()->first), "lapsed");
    LapsedUpTo = LastEnd;
  }

  void expireRegularly() {
    Host.after(ExpiryInterval, [this] { expireRegularly(); });
    expire();
    auto Now = Clock::now();
    std::erase_if(Holds, [&](const Waiting &Each) {
      if (Each.Until > Now)
        return false;
      Each.Answer->respond(jsonResponse(200, listing()));
      return true;
    });
  }

  void hold(const json &Body, const ExchangePtr &Answer) {
    extend(Body);
    auto Seen = Body.at("last_seen").get<std::uint64_t>();
    std::erase_if(Ends, [&](const End &Each) {
      if (Each.Number > Seen)
        return false;
      if (Each.Number > LapsedUpTo)
        Rules.noted(Each.Over, Each.How);
      return true;
    });
    Millis Wait(Body.value("wait_ms", 0));
    if (!Ends.empty() || Wait == Millis(0))
      return Answer->respond(jsonResponse(200, listing()));
    Holds.push_back({Answer, Clock::now() + Wait});
  }

  json listing() const {
    json Running = json::array();
    for (const auto &[Each, State] : Runs) {
      auto Elapsed =
          std::chrono::duration_cast<Millis>(Clock::now() - State.StartedAt);
      auto Percent = std::min<std::int64_t>(
          State.Lasts ? 100 : 99,
          Elapsed.count() * 100 /
              std::max<std::int64_t>(1, State.Work.count()));
      Running.push_back({Each.Task, Each.Number, "", Percent, 10});
    }
    json Finished = json::array();
    for (const End &Each : Ends) {
      if (Finished.size() == MaxListedEnds)
        break;
      Finished.push_back(
          {Each.Number, Each.Over.Task, Each.Over.Number, Each.How, ""});
    }
    return {{"clock_ms", clock()},
            {"born", Born},
            {"running", std::move(Running)},
            {"finished", std::move(Finished)}};
  }

  Harness &Host;
  Oracle &Rules;
  std::string Name;
  int MilliCores;
  Clock::time_point BornAt = Clock::now();
  std::int64_t Born = std::chrono::duration_cast<Millis>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  std::uint64_t Announcements = 0;
  std::uint64_t HighestToken = 0;
  std::int64_t LeaseEnd = 0;
  std::uint64_t LastEnd = 0;
  /// Ends up to this number are from before a lapse of the lease.
  std::uint64_t LapsedUpTo = 0;
  std::map<Run, RunState> Runs;
  std::vector<End> Ends;
  /// By task, the newest run that has ended or must not start any more.
  std::map<std::string, std::uint64_t> ClosedUpTo;
  std::vector<Waiting> Holds;
  http::Client ToAgent;
  http::Server HttpServer;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_WORKER_H
