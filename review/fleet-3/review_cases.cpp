// Plays one case of this review against real processes. Exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
#include "Fleet.h"

#include <cstdlib>
#include <iostream>

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

/// An id whose last digits are spread as those of random ones.
std::string mixedId(std::size_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Number) * 0x9E3779B97F4A7C15);
  return Text;
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
    Target.Shared.Jobs[All.back()->Id] = {Work, {}, Cpu};
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
                << Target.MostMebiBytes << " MiB\n";
  int DeathsBefore = 0;
  for (int Deaths : Target.EntryDeaths)
    DeathsBefore += Deaths;
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
                << Target.MostMebiBytes << " MiB\n";
  if (Ordinary.accepted() == 0)
    return WithTrouble ? RuleBroken : CouldNotRun;
  return Lost == 0 ? RuleHeld : RuleBroken;
}

/// Ordinary jobs are done in a deployment whose entries have links of 10
/// Mbit/s; then the process that leads is killed once.
int playTakeover(Fleet::Options Config, bool WithTrouble,
                 std::ostream &Record) {
  constexpr std::size_t Jobs = 4400;
  constexpr std::size_t MinJobs = 4000;
  constexpr std::size_t JobsPerStep = 3;
  constexpr Millis StepTime{20};
  constexpr std::size_t MaxOutstanding = 60;
  constexpr int MaxSteps = 2500;
  constexpr int ProbeCount = 15;
  Config.Entries = 8;
  Config.Agents = 4;
  Config.MemoryMebiBytes = 160;
  Config.EntryMegabits = 10;
  Fleet Target(std::move(Config), Record);
  Target.Shared.RecordsRuns = false;
  Target.Shared.WorkerCores = 32;
  Target.start();
  Target.runFor(Millis(3000));

  json Second = step(1);
  Second["after"] = {0};
  std::string Body =
      json{{"spec", std::string(300, 'x')}, {"steps", {step(1), Second}}}
          .dump();
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Accepted = 0;
  TimePoint Begin = Target.Loop.now();
  for (int I = 0; I < MaxSteps && Sent < Jobs; ++I) {
    for (std::size_t N = 0;
         N < JobsPerStep && Sent < Jobs && Sent - Answered < MaxOutstanding;
         ++N, ++Sent) {
      Target.Shared.Jobs[mixedId(Sent)] = {};
      Target.send(Sent % Target.Config.Entries, "POST", mixedId(Sent), Body,
                  [&](int Status, const std::string &) {
                    ++Answered;
                    Accepted += Status == 200 ? 1 : 0;
                  });
    }
    Target.runFor(StepTime);
  }
  double Seconds =
      std::chrono::duration<double>(Target.Loop.now() - Begin).count();
  Target.runFor(Millis(5000));
  std::size_t Leader = Target.leader();
  Target.note() << Accepted << " of " << Sent << " jobs accepted in " << Seconds
                << " s, " << Target.Shared.Starts << " runs started\n";
  if (Accepted < MinJobs || Target.Shared.Starts < 2 * Accepted ||
      Leader >= Target.Config.Entries)
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
  Target.runFor(Millis(16000));
  Ordinary.ask();
  std::size_t Lost = Ordinary.lost();
  Target.note() << Ordinary.accepted() << " of " << ProbeCount
                << " jobs accepted after it, " << Lost << " of them lost\n";
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
    Target.note() << "entry" << I << " was ended " << Target.EntryDeaths[I]
                  << " times for its memory\n";
    Failing += Target.EntryDeaths[I] >= 3 ? 1 : 0;
  }
  Target.note() << Accepted << " of " << LargeJobs << " large and "
                << Ordinary.accepted() << " of " << ProbeCount
                << " ordinary jobs accepted, " << Lost
                << " ordinary ones lost; most memory of an entry "
                << Target.MostMebiBytes << " MiB\n";
  if (Accepted == 0 && Ordinary.accepted() == 0)
    return CouldNotRun;
  return Failing >= 2 || Lost > 0 ? RuleBroken : RuleHeld;
}

/// One of eleven workers fails all that it starts, while gangs come.
int playGangs(Fleet::Options Config, bool WithTrouble, std::ostream &Record) {
  constexpr std::size_t Jobs = 8;
  constexpr std::uint32_t Members = 3;
  Config.Agents = 11;
  Fleet Target(std::move(Config), Record);
  Target.start();
  Target.runFor(Millis(5000));

  Target.Workers[0]->FailsAll = WithTrouble;
  if (WithTrouble)
    Target.note() << "i-0 fails all that it starts, for 5.5 s\n";
  Target.Loop.after(Millis(5500), [&] { Target.Workers[0]->FailsAll = false; });
  json Step = step(Members);
  Step["gang"] = true;
  std::vector<bool> Accepted(Jobs, false);
  std::vector<std::string> States(Jobs);
  for (std::size_t I = 0; I < Jobs; ++I) {
    Target.Shared.Jobs[jobId(I)] = {Millis(200), {Members}, 100};
    Target.send(I % Target.Config.Entries, "POST", jobId(I),
                json{{"spec", "gang"}, {"steps", {Step}}}.dump(),
                [&, I](int Status, const std::string &) {
                  Target.note()
                      << "POST " << jobId(I) << ": " << Status << '\n';
                  Accepted[I] = Status == 200;
                });
    Target.runFor(Millis(600));
  }
  Target.runFor(Millis(14000));
  for (std::size_t I = 0; I < Jobs; ++I)
    Target.send(I % Target.Config.Entries, "GET", jobId(I), "",
                [&, I](int Status, const std::string &Body) {
                  Target.note()
                      << "GET " << jobId(I) << ": " << Status << ' ' << Body
                      << ", failed runs of the gang: "
                      << Target.Shared.FailedGangs[jobId(I)].size() << '\n';
                  if (Status == 200)
                    States[I] = json::parse(Body).value("state", "");
                });
  Target.runFor(Millis(3500));
  std::size_t Lost = 0;
  for (std::size_t I = 0; I < Jobs; ++I)
    Lost += Accepted[I] && States[I] == "failed" &&
                    Target.Shared.FailedGangs[jobId(I)].size() <
                        static_cast<std::size_t>(Target.Config.MaxAttempts)
                ? 1
                : 0;
  Target.note() << Lost << " of " << Jobs
                << " gangs shown as failed after fewer than "
                << Target.Config.MaxAttempts << " failed runs\n";
  if (std::count(Accepted.begin(), Accepted.end(), true) == 0)
    return CouldNotRun;
  return Lost == 0 ? RuleHeld : RuleBroken;
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
    else if (Case == "takeover")
      Result = playTakeover(Config, WithTrouble, Record);
    else if (Case == "orders")
      Result = playOrders(Config, WithTrouble, Record);
    else if (Case == "occurrences")
      Result = playOccurrences(Config, WithTrouble, Record);
    else if (Case == "gangs")
      Result = playGangs(Config, WithTrouble, Record);
  } catch (const std::exception &Problem) {
    Record << "the case could not run: " << Problem.what() << '\n';
  }
  Record << "exit " << Result << '\n';
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder, Ignored);
  return Result;
}
