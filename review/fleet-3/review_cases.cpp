// Plays one case of this review against real processes. Exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
#include "Fleet.h"

#include <cstdlib>
#include <iostream>
#include <random>

namespace {

using namespace daisyspool;
using namespace daisyspool::review;

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

std::string jobId(std::size_t Number) {
  std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

json step(std::uint32_t Count) {
  return {
      {"count", Count}, {"cpu", 100}, {"mem_mb", 10}, {"estimated_ms", 500}};
}

/// An ordinary job that a caller hands in, repeats at other entries until it is
/// accepted, and asks for at the end.
struct Probe {
  std::string Id;
  std::string Body;
  int Attempts = 0;
  bool Accepted = false;
  std::string State;
};

/// Hands ordinary jobs in and checks that the accepted ones are done.
class Probes {
public:
  explicit Probes(Fleet &Target) : Target(Target) {}

  void submit(std::size_t Number) {
    submit(Number, json{{"spec", "probe"}, {"steps", {step(1)}}}.dump(),
           Millis(20));
  }

  void submit(std::size_t Number, std::string Body, Millis Work,
              std::int64_t Cpu = 100) {
    All.push_back(std::make_unique<Probe>());
    All.back()->Id = jobId(Number);
    All.back()->Body = std::move(Body);
    Target.Shared.Jobs[All.back()->Id] = {Work, Cpu};
    attempt(*All.back());
  }

  /// Asks for the state of each accepted job.
  void ask() {
    for (const auto &Each : All)
      if (Each->Accepted)
        ask(*Each, 0);
    Target.runFor(Millis(3500));
  }

  /// The accepted jobs that are not completed, of which nothing has run for 3 s
  /// while less than half of the workers' processors was in use.
  std::size_t lost() const {
    Target.note() << Target.Shared.cpuInUse() << " of "
                  << Target.Shared.capacity()
                  << " thousandths of a core are in use\n";
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [this](const auto &Each) {
          return Each->Accepted && Each->State != "completed" &&
                 Target.Shared.isStarved(Each->Id, Millis(3000));
        }));
  }

  std::size_t accepted() const {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(),
                      [](const auto &Each) { return Each->Accepted; }));
  }

private:
  static constexpr int MaxAttempts = 5;
  static constexpr Millis RetryDelay{400};

  void attempt(Probe &Sent) {
    if (++Sent.Attempts > MaxAttempts)
      return;
    std::size_t Entry = NextEntry++ % Target.Config.Entries;
    Target.send(Entry, "POST", Sent.Id, Sent.Body,
                [this, &Sent, Entry](int Status, const std::string &) {
                  Target.note() << "POST " << Sent.Id << " at entry" << Entry
                                << ": " << Status << '\n';
                  Sent.Accepted = Status == 200;
                  if (!Sent.Accepted)
                    Target.Loop.after(RetryDelay,
                                      [this, &Sent] { attempt(Sent); });
                });
  }

  void ask(Probe &Sent, int Tries) {
    std::size_t Entry = NextEntry++ % Target.Config.Entries;
    Target.send(
        Entry, "GET", Sent.Id, "",
        [this, &Sent, Entry, Tries](int Status, const std::string &Body) {
          Target.note() << "GET " << Sent.Id << " at entry" << Entry << ": "
                        << Status << ' ' << Body << '\n';
          if (Status == 200)
            Sent.State = json::parse(Body).value("state", "");
          else if (Tries + 1 < MaxAttempts)
            Target.Loop.after(RetryDelay,
                              [this, &Sent, Tries] { ask(Sent, Tries + 1); });
        });
  }

  Fleet &Target;
  std::vector<std::unique_ptr<Probe>> All;
  std::size_t NextEntry = 0;
};

/// Many ordinary jobs are done; then the process that leads is killed once.
int playHistory(Fleet::Options Config, bool WithTrouble, std::ostream &Record) {
  constexpr std::size_t Jobs = 28000;
  constexpr std::size_t MinJobs = 24000;
  constexpr std::size_t JobsPerStep = 11;
  constexpr std::size_t MaxOutstanding = 150;
  constexpr Millis StepTime{20};
  constexpr int MaxSteps = 3200;
  constexpr int ProbeCount = 10;
  Fleet Target(std::move(Config), Record);
  Target.Shared.RecordsRuns = false;
  Target.start();
  Target.runFor(Millis(3000));

  std::string Body =
      json{{"spec", std::string(4000, 'x')}, {"steps", {step(1)}}}.dump();
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Accepted = 0;
  std::uint64_t WritesBefore = Target.Rows.version();
  TimePoint Begin = Target.Loop.now();
  for (int I = 0; I < MaxSteps && Sent < Jobs; ++I) {
    for (std::size_t N = 0;
         N < JobsPerStep && Sent < Jobs && Sent - Answered < MaxOutstanding;
         ++N, ++Sent) {
      Target.Shared.Jobs[jobId(Sent)] = {};
      Target.send(Sent % Target.Config.Entries, "POST", jobId(Sent), Body,
                  [&](int Status, const std::string &) {
                    ++Answered;
                    Accepted += Status == 200 ? 1 : 0;
                  });
    }
    Target.runFor(StepTime);
  }
  double Seconds =
      std::chrono::duration<double>(Target.Loop.now() - Begin).count();
  Target.runFor(Millis(4000));
  std::size_t Leader = Target.leader();
  Target.note() << Accepted << " of " << Sent << " jobs accepted in " << Seconds
                << " s, " << Target.Shared.Starts << " runs started, "
                << static_cast<double>(Target.Rows.version() - WritesBefore) /
                       Seconds
                << " transactions a second; most memory of an entry "
                << Target.MostOfEntry << " MiB\n";
  int DeathsBefore = 0;
  for (std::size_t I = 0; I < Target.Config.Entries; ++I)
    DeathsBefore += Target.entryDeaths(I);
  if (Accepted < MinJobs || Target.Shared.Starts < Accepted ||
      Leader >= Target.Config.Entries || DeathsBefore > 0)
    return CouldNotRun;

  Target.Shared.RecordsRuns = true;
  if (WithTrouble) {
    Target.note() << "SIGKILL for entry" << Leader << ", which leads\n";
    Target.killEntry(Leader);
  }
  Target.runFor(Millis(4000));
  Probes Ordinary(Target);
  for (int I = 0; I < ProbeCount; ++I) {
    Ordinary.submit(1'000'000 + static_cast<std::size_t>(I));
    Target.runFor(Millis(1000));
  }
  // The time after the end of the traffic in which jobs have to be done.
  Target.runFor(Millis(14000));
  Ordinary.ask();
  std::size_t Lost = Ordinary.lost();
  Target.note() << Ordinary.accepted() << " of " << ProbeCount
                << " jobs accepted after it, " << Lost
                << " of them lost; most memory of an entry "
                << Target.MostOfEntry << " MiB\n";
  if (Ordinary.accepted() == 0)
    return WithTrouble ? RuleBroken : CouldNotRun;
  return Lost == 0 ? RuleHeld : RuleBroken;
}

/// Large jobs come at once in a deployment whose entries have links of 10
/// Mbit/s. Without the trouble the same jobs come one after the other.
int playOrders(Fleet::Options Config, bool WithTrouble, std::ostream &Record) {
  constexpr std::size_t Jobs = 28;
  constexpr std::uint32_t Width = 57;
  Config.Entries = 8;
  Config.Agents = 32;
  Config.MemoryMebiBytes = 160;
  Config.EntryMegabits = 10;
  Fleet Target(std::move(Config), Record);
  Target.Shared.WorkerCores = 32;
  Target.start();
  Target.runFor(Millis(5000));

  Probes Large(Target);
  json Step = step(Width);
  Step["cpu"] = 600;
  std::string Body =
      json{{"spec", std::string(4000, 'x')}, {"steps", {Step}}}.dump();
  for (std::size_t I = 0; I < Jobs; ++I) {
    Target.Shared.RecordsRuns = false;
    Large.submit(I, Body, Millis(1000), 600);
    Target.runFor(WithTrouble ? Millis(50) : Millis(1200));
  }
  Target.runFor(WithTrouble ? Millis(45000) : Millis(14000));
  Large.ask();
  std::size_t Lost = Large.lost();
  Target.note() << Target.Shared.Starts << " runs started for " << Jobs * Width
                << " tasks; " << Large.accepted() << " of " << Jobs
                << " large jobs accepted, " << Lost << " of them lost\n";
  if (Large.accepted() == 0)
    return CouldNotRun;
  return Lost == 0 ? RuleHeld : RuleBroken;
}

/// Jobs with many occurrences that are due come at once.
int playOccurrences(Fleet::Options Config, bool WithTrouble,
                    std::ostream &Record) {
  constexpr std::size_t LargeJobs = 12;
  constexpr std::uint32_t ManyTimes = 100000;
  constexpr std::uint32_t FewTimes = 4;
  constexpr int ProbeCount = 30;
  Fleet Target(std::move(Config), Record);
  Target.Shared.RecordsRuns = false;
  Target.start();
  Target.runFor(Millis(3000));

  std::size_t Accepted = 0;
  for (std::size_t I = 0; I < LargeJobs; ++I) {
    Target.Shared.Jobs[jobId(I)] = {};
    Target.send(I % Target.Config.Entries, "POST", jobId(I),
                json{{"spec", "report"},
                     {"steps", {step(1)}},
                     {"repetitions", WithTrouble ? ManyTimes : FewTimes},
                     {"first_run_ms", 1000},
                     {"interval_ms", 1000}}
                    .dump(),
                [&, I](int Status, const std::string &) {
                  Target.note()
                      << "POST " << jobId(I) << ": " << Status << '\n';
                  Accepted += Status == 200 ? 1 : 0;
                });
    Target.runFor(Millis(300));
  }
  Probes Ordinary(Target);
  for (int I = 0; I < ProbeCount; ++I) {
    Ordinary.submit(1'000'000 + static_cast<std::size_t>(I));
    Target.runFor(Millis(2000));
  }
  Target.runFor(Millis(14000));
  Ordinary.ask();
  std::size_t Lost = Ordinary.lost();
  std::size_t Failing = 0;
  for (std::size_t I = 0; I < Target.Config.Entries; ++I) {
    Target.note() << "entry" << I << " was ended " << Target.entryDeaths(I)
                  << " times for its memory\n";
    Failing += Target.entryDeaths(I) >= 3 ? 1 : 0;
  }
  Target.note() << Accepted << " of " << LargeJobs << " large and "
                << Ordinary.accepted() << " of " << ProbeCount
                << " ordinary jobs accepted, " << Lost
                << " ordinary ones lost; most memory of an entry "
                << Target.MostOfEntry << " MiB\n";
  if (Accepted == 0 && Ordinary.accepted() == 0)
    return CouldNotRun;
  return Failing >= 2 || Lost > 0 ? RuleBroken : RuleHeld;
}

/// Three times answers of the store are lost for 4.5 s and the writes done
/// late; callers whose job is not decided cancel it.
int playLateWrites(Fleet::Options Config, bool WithTrouble,
                   std::ostream &Record) {
  constexpr std::size_t JobsPerTime = 56;
  constexpr std::size_t Jobs = 3 * JobsPerTime;
  constexpr Millis Interval{80};
  constexpr Millis Pause{12000};
  constexpr int LostShare = 35;
  constexpr Millis LostFor{4500};
  constexpr Millis CancelBound{3000};
  constexpr Millis ContactTime{3000};
  Fleet Target(std::move(Config), Record);
  Target.start();
  Target.runFor(Millis(5000));

  std::mt19937 Random(1);
  TimePoint LostUntil{};
  if (WithTrouble)
    Target.Rows.IsLost = [&](const json &) {
      return Target.Loop.now() < LostUntil &&
             static_cast<int>(Random() % 100) < LostShare;
    };
  std::map<std::string, TimePoint> CancelledAt;
  /// By job, when the writes of its time are no longer lost.
  std::map<std::string, TimePoint> LostBefore;
  std::size_t Undecided = 0;
  for (std::size_t I = 0; I < Jobs; ++I) {
    if (I % JobsPerTime == 0) {
      if (I > 0)
        Target.runFor(Pause);
      LostUntil = Target.Loop.now() + LostFor;
    }
    std::string Job = jobId(I);
    Target.Shared.Jobs[Job] = {};
    LostBefore[Job] = LostUntil;
    std::size_t Entry = I % Target.Config.Entries;
    Target.send(
        Entry, "POST", Job, json{{"spec", "late"}, {"steps", {step(1)}}}.dump(),
        [&, Job, Entry](int Status, const std::string &) {
          if (Status == 200)
            return;
          Target.note() << "POST " << Job << ": " << Status << '\n';
          ++Undecided;
          Target.send((Entry + 1) % Target.Config.Entries, "DELETE", Job, "",
                      [&, Job](int Answer, const std::string &) {
                        Target.note()
                            << "DELETE " << Job << ": " << Answer << '\n';
                        if (Answer == 200 || Answer == 410)
                          CancelledAt[Job] = Target.Loop.now();
                      });
        });
    Target.runFor(Interval);
  }
  Target.runFor(Pause);
  std::size_t Unasked = 0;
  for (const auto &[Job, At] : CancelledAt) {
    auto Started = Target.Shared.LastStarts.find(Job);
    if (Started == Target.Shared.LastStarts.end() ||
        Started->second <= At + CancelBound ||
        Started->second < LostBefore[Job] + ContactTime)
      continue;
    ++Unasked;
    Target.note()
        << Job << " has started "
        << std::chrono::duration_cast<Millis>(Started->second - At).count()
        << " ms after its cancelling was answered\n";
  }
  Target.note() << Undecided << " of " << Jobs << " jobs not accepted, "
                << CancelledAt.size() << " cancelled, " << Unasked
                << " started in spite of it\n";
  if (WithTrouble && CancelledAt.empty())
    return CouldNotRun;
  return Unasked == 0 ? RuleHeld : RuleBroken;
}

/// A job whose tasks last and fill meets services whose load has risen.
int playFilling(Fleet::Options Config, bool WithTrouble, std::ostream &Record) {
  constexpr std::int64_t TailTarget = 50;
  constexpr std::int64_t CalmTail = 20;
  constexpr std::int64_t LoadedTail = 38;
  constexpr int FillingTasks = 4;
  Config.Agents = 4;
  Fleet Target(std::move(Config), Record);
  Target.start();
  Target.runFor(Millis(5000));

  auto Submit = [&](std::size_t Number, const json &Step) {
    Target.send(0, "POST", jobId(Number),
                json{{"spec", "lasts"}, {"steps", {Step}}}.dump(),
                [&, Number](int Status, const std::string &) {
                  Target.note()
                      << "POST " << jobId(Number) << ": " << Status << '\n';
                });
  };
  for (std::size_t I = 0; I < 2; ++I) {
    Target.Shared.Jobs[jobId(I)] = {Millis(0), 3200, true, CalmTail};
    json Serving = step(4);
    Serving["cpu"] = 3200;
    Serving["long_running"] = true;
    Serving["image"] = "voice";
    Serving["target_ms"] = TailTarget;
    Serving["anti_affinity"] = 1;
    Submit(I, Serving);
  }
  Target.runFor(Millis(8000));
  if (WithTrouble) {
    Target.note() << "the tails of the services rise from " << CalmTail
                  << " to " << LoadedTail << " ms of " << TailTarget << '\n';
    for (std::size_t I = 0; I < 2; ++I)
      Target.Shared.Jobs[jobId(I)].Load = LoadedTail;
  }
  Target.runFor(Millis(2000));
  Target.Shared.Jobs[jobId(9)] = {Millis(0), 0, true, 500};
  json Filling = step(FillingTasks);
  Filling["cpu"] = 1000;
  Filling["long_running"] = true;
  Filling["fills"] = true;
  Filling["image"] = "index";
  Submit(9, Filling);
  int Most = 0;
  for (int I = 0; I < 30; ++I) {
    Target.runFor(Millis(1000));
    // From 6 s after the submission on, for longer than 3 s.
    if (I >= 6)
      Most = std::max(Most, Target.Shared.runningTasks(jobId(9)));
  }
  int Serving = Target.Shared.runningTasks(jobId(0)) +
                Target.Shared.runningTasks(jobId(1));
  Target.note() << Serving << " serving tasks run; " << Most << " of "
                << FillingTasks << " filling tasks have run at a time; "
                << Target.Shared.cpuInUse() << " of "
                << Target.Shared.capacity()
                << " thousandths of a core are held\n";
  if (Serving != 8)
    return CouldNotRun;
  return Most < FillingTasks ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4) {
    std::cerr << "usage: review_cases CASE PROGRAM RECORD\n";
    return CouldNotRun;
  }
  std::string Case = Arguments[1];
  const char *Trouble = std::getenv("TROUBLE");
  bool WithTrouble = Trouble == nullptr || std::string_view(Trouble) != "0";
  auto Folder = std::filesystem::temp_directory_path() /
                ("daisyspool-review-" + std::to_string(::getpid()));
  std::ofstream Record(Arguments[3]);
  int Result = CouldNotRun;
  try {
    Fleet::Options Config;
    Config.Program = Arguments[2];
    Config.Folder = Folder;
    if (Case == "history")
      Result = playHistory(Config, WithTrouble, Record);
    else if (Case == "orders")
      Result = playOrders(Config, WithTrouble, Record);
    else if (Case == "occurrences")
      Result = playOccurrences(Config, WithTrouble, Record);
    else if (Case == "late-writes")
      Result = playLateWrites(Config, WithTrouble, Record);
    else if (Case == "filling")
      Result = playFilling(Config, WithTrouble, Record);
  } catch (const std::exception &Problem) {
    Record << "the case could not run: " << Problem.what() << '\n';
  }
  Record << "exit " << Result << '\n';
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder, Ignored);
  return Result;
}
