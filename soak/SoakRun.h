// One seeded run of the soak test: real entry and agent processes on loopback
// with a proxy for each connection, callers that retry, and overlapping faults.
#ifndef DAISYSPOOL_SOAK_SOAKRUN_H
#define DAISYSPOOL_SOAK_SOAKRUN_H

#include "LinkRoute.h"
#include "SoakCancellations.h"
#include "SoakEvacuations.h"
#include "SoakProcess.h"
#include "SoakWorker.h"

#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace daisyspool::soak {

struct SoakOptions {
  std::string Program;
  /// Folder for settings and logs of the run; its old contents are deleted.
  std::filesystem::path Folder;
  std::uint64_t Seed = 1;
  std::size_t Entries = 3;
  std::size_t Agents = 4;
  Millis Traffic{12000};
};

/// Thread safety: one thread; run() owns the I/O loop.
class SoakRun {
public:
  explicit SoakRun(SoakOptions Config)
      : Config(std::move(Config)), Random(this->Config.Seed),
        Store(Io, Loop, Random,
              [this](rows::RowValue &Row) { routeAgentRow(Row); }),
        AdvanceTimer(Io) {
    std::filesystem::remove_all(this->Config.Folder);
    std::filesystem::create_directories(this->Config.Folder);
    writeConfiguration();
    for (std::size_t I = 0; I < this->Config.Agents; ++I)
      addAgent(I);
    for (std::size_t I = 0; I < this->Config.Entries; ++I)
      addEntry(I);
  }
  ~SoakRun() {
    for (const auto &Route : Routes)
      Route->close();
  }
  SoakRun(const SoakRun &) = delete;
  SoakRun &operator=(const SoakRun &) = delete;

  /// Runs the test and returns the failed checks.
  std::vector<std::string> run() {
    advanceLoop();
    for (auto &Each : Processes)
      Each->start();
    Loop.after(StartupTime, [this] { submitJobs(0); });
    Loop.after(StartupTime, [this] { injectFault(); });
    Loop.after(StartupTime, [this] { Evacuations.begin(); });
    Loop.after(StartupTime + Config.Traffic, [this] { endFaults(); });
    Loop.after(StartupTime + Config.Traffic + SettleTime,
               [this] { checkJobs(); });
    Io.run();
    return Failures;
  }

private:
  static constexpr Millis StartupTime{2500};
  /// Time after the last fault in which all accepted jobs must end: leases,
  /// grants and a takeover take 9 s, the queue the rest.
  static constexpr Millis SettleTime{25000};
  static constexpr Millis AdvanceInterval{2};
  static constexpr Millis CheckInterval{500};
  static constexpr int MaxAttempts = 6;
  static constexpr std::uint16_t FirstPort = 10000;
  static constexpr std::uint16_t PortsPerRun = 64;
  static constexpr std::uint16_t PortRanges = 300;

  struct Caller {
    JobId Job;
    std::string Body;
    int AttemptsLeft = 0;
    bool Accepted = false;
    bool CancelSent = false;
    /// An attempt had no final answer, so the job may run.
    bool MayRun = false;
  };

  /// Advances virtual time to real time, periodically.
  void advanceLoop() {
    Loop.runUntil(StartTime +
                  (std::chrono::steady_clock::now() - RealStartTime));
    if (Finished)
      return Io.stop();
    AdvanceTimer.expires_after(AdvanceInterval);
    AdvanceTimer.async_wait(
        [this](boost::system::error_code) { advanceLoop(); });
  }

  std::uint64_t draw(std::uint64_t Count) {
    return std::uniform_int_distribution<std::uint64_t>(0, Count - 1)(Random);
  }

  /// Returns a free port below the ephemeral range: an outgoing connection
  /// could take an ephemeral port before the process restarts on it.
  http::Endpoint freeEndpoint() {
    for (;;) {
      http::Endpoint Candidate{"127.0.0.1", NextPort++};
      boost::asio::ip::tcp::socket Probe(Io);
      boost::system::error_code Failure;
      Probe.open(boost::asio::ip::tcp::v4());
      Probe.bind(toTcp(Candidate), Failure);
      if (!Failure)
        return Candidate;
    }
  }

  http::Endpoint proxyTo(const http::Endpoint &Target) {
    Routes.push_back(std::make_shared<LinkRoute>(
        Io, http::Endpoint{"127.0.0.1", 0}, Target, LinkFaults{}, Random()));
    Routes.back()->start();
    return Routes.back()->endpoint();
  }

  /// Replaces the address in an agent row, so that the leader reaches the agent
  /// through a proxy.
  void routeAgentRow(rows::RowValue &Row) {
    if (auto Known = LinkProxies.find(Row.Value); Known != LinkProxies.end())
      Row.Value = Known->second;
  }

  void writeConfiguration() {
    json Config{{"version", 1},
                {"routes",
                 {{{"host", "127.0.0.1"},
                   {"path_prefix", "/queue/"},
                   {"name", "queue"},
                   {"service", "service"},
                   {"priority", 0},
                   {"max_attempts", 3},
                   {"slack_factor", 2.0},
                   {"target_latency_ms", 1000}}}},
                {"services", {{{"name", "service"}}}},
                {"limits", json::object()}};
    rows::RowTransaction Write;
    Write.Puts.push_back({{"op", "", "config"}, Config.dump()});
    Store.Rows.apply(Write);
  }

  void addProcess(const std::string &Name, const std::string &Role,
                  const std::string &Settings) {
    auto File = Config.Folder / (Name + ".ini");
    std::ofstream(File) << "[node]\nname = " << Name << "\nfailure_domain = a\n"
                        << Settings;
    Processes.push_back(std::make_unique<SoakProcess>(
        std::vector<std::string>{Config.Program, Role, "--settings",
                                 File.string()},
        (Config.Folder / (Name + ".log")).string()));
  }

  std::string storeSection() {
    return "[store]\naddress = " + http::toString(proxyTo(Store.endpoint())) +
           "\n[bounds]\nmax_lease_ms = 6000\nstop_timeout_ms = 200\n";
  }

  void addAgent(std::size_t I) {
    auto Announcements = freeEndpoint();
    auto Links = freeEndpoint();
    LinkProxies[http::toString(Links)] = http::toString(proxyTo(Links));
    Workers.push_back(std::make_unique<SoakWorker>(
        Io, Loop, Random, Checks, "worker" + std::to_string(I), Announcements));
    Workers.back()->Tasks.KeepsId = Config.Seed % 2 == 0;
    Workers.back()->Tasks.Domain = FailureDomainId(I % 2 == 0 ? "a" : "b");
    addProcess("agent" + std::to_string(I), "fleet-agent",
               "[listen]\nannouncements = " + http::toString(Announcements) +
                   "\nlinks = " + http::toString(Links) + "\nmetrics = " +
                   http::toString(freeEndpoint()) + "\n[worker]\naddress = " +
                   http::toString(proxyTo(Workers.back()->endpoint())) + "\n" +
                   storeSection());
  }

  void addEntry(std::size_t I) {
    auto Callers = freeEndpoint();
    EntryClients.push_back(
        std::make_unique<http::Client>(Io, http::Client::Options{Callers, 64}));
    addProcess("entry" + std::to_string(I), "fleet-entry",
               "[listen]\ncallers = " + http::toString(Callers) +
                   "\nreadiness = " + http::toString(freeEndpoint()) +
                   "\nlinks = " + http::toString(freeEndpoint()) +
                   "\nmetrics = " + http::toString(freeEndpoint()) + "\n" +
                   storeSection() + "evacuation_ms = " +
                   std::to_string(SoakEvacuations::Bound.count()) + "\n");
  }

  http::Request request(const char *Method, const JobId &Job,
                        std::string Body = "") const {
    return {Method,
            "/queue/" + Job.str(),
            {{"X-Deadline-Ms", "3000"}, {"Content-Type", "application/json"}},
            std::move(Body)};
  }

  void submitJobs(std::size_t Number) {
    if (Loop.now() > StartTime + StartupTime + Config.Traffic)
      return;
    auto Steps = 1 + static_cast<std::uint32_t>(draw(3));
    std::string Id = std::to_string(Number);
    Id = std::string(16 - Id.size(), '0') + Id;
    workload::JobRecord Job = testing::chainJob(Id, Steps, 4);
    Checks.submitted(Job, Millis(300 + draw(1200)), false);
    json Body{{"spec", "soak"}, {"steps", json::array()}};
    for (std::uint32_t I = 0; I < Steps; ++I) {
      json Step{
          {"count", 4}, {"cpu", 1000}, {"mem_mb", 100}, {"estimated_ms", 500}};
      if (I > 0)
        Step["after"] = {I - 1};
      Body["steps"].push_back(std::move(Step));
    }
    // Half of the callers do not retry, to detect a refusal of a job that was
    // stored nevertheless.
    int Attempts = draw(2) == 0 ? 1 : MaxAttempts;
    Callers.push_back(
        std::make_unique<Caller>(Caller{JobId(Id), Body.dump(), Attempts}));
    submit(*Callers.back());
    Loop.after(Millis(50 + draw(350)),
               [this, Number] { submitJobs(Number + 1); });
  }

  void submit(Caller &Submitted) {
    if (--Submitted.AttemptsLeft < 0)
      return;
    std::size_t Entry = draw(EntryClients.size());
    EntryClients[Entry]->send(
        request("POST", Submitted.Job, Submitted.Body), Millis(3000),
        [this, &Submitted, Entry](const http::Response &Answer,
                                  const std::exception_ptr &Failure) {
          bool Sent = !Failure || !isNotSent(Failure);
          if (!Failure && Answer.Status == 200) {
            Submitted.Accepted = true;
            if (draw(10) == 0)
              Loop.after(Millis(draw(1500)), [this, &Submitted, Entry] {
                giveUp(Submitted, Entry);
              });
            return;
          }
          bool Refused =
              !Failure && (Answer.Status == 503 || Answer.Status == 429);
          bool MayRun = Sent && !Refused;
          Submitted.MayRun = Submitted.MayRun || MayRun;
          if (MayRun && Cancellations.isOneIn(2))
            return giveUp(Submitted, Entry);
          Loop.after(Millis(300), [this, &Submitted] { submit(Submitted); });
        });
    if (Cancellations.isOneIn(8))
      Loop.after(Cancellations.impatience(),
                 [this, &Submitted, Entry] { giveUp(Submitted, Entry); });
  }

  /// Cancels the job at another entry than \p Entry, once. Its submission may
  /// still be on its way; it is not repeated.
  void giveUp(Caller &Submitted, std::size_t Entry) {
    Submitted.AttemptsLeft = 0;
    if (!std::exchange(Submitted.CancelSent, true))
      Cancellations.cancel(Submitted.Job, Entry);
  }

  static bool isNotSent(const std::exception_ptr &Failure) {
    try {
      std::rethrow_exception(Failure);
    } catch (const http::ClientError &Problem) {
      return Problem.reason() == http::ClientError::Kind::NotSent;
    }
  }

  /// Calls \p On now and \p Off after \p Span.
  void applyFor(Millis Span, const std::function<void()> &On,
                const std::function<void()> &Off) {
    On();
    Loop.after(Span, Off);
  }

  void injectFault() {
    if (FaultsEnded)
      return;
    Millis Span(300 + static_cast<int>(draw(4000)));
    SoakProcess &Process = *Processes[draw(Processes.size())];
    VirtualWorker &Worker = Workers[draw(Workers.size())]->Tasks;
    LinkRoute &Route = *Routes[draw(Routes.size())];
    switch (draw(12)) {
    case 0:
    case 1:
      applyFor(
          Span, [&] { Process.signal(SIGKILL); },
          [&Process] { Process.start(); });
      break;
    case 2:
      applyFor(
          Span, [&] { Process.signal(SIGSTOP); },
          [&Process] { Process.signal(SIGCONT); });
      break;
    case 3:
      Process.signal(SIGHUP);
      applyFor(
          Span + Millis(4000), [&] { Process.signal(SIGTERM); },
          [&Process] { Process.start(); });
      break;
    case 4:
      if (Worker.up())
        applyFor(
            Span, [&] { Worker.crash(); },
            [&Worker] {
              // endFaults() may have rebooted it already.
              if (!Worker.up())
                Worker.reboot();
            });
      break;
    case 5:
      applyFor(
          Span, [&] { Store.Rows.Down = true; },
          [this] { Store.Rows.Down = false; });
      break;
    case 6:
      applyFor(
          Span, [&] { Store.Rows.Silent = true; },
          [this] { Store.Rows.Silent = false; });
      break;
    case 7:
      Store.Rows.ApplyLostWritesLate = draw(2) == 0;
      Store.Rows.LateWriteDelay = Cancellations.lateWriteDelay();
      applyFor(
          Span, [&] { Store.Rows.LostAnswerShare = 0.35; },
          [this] { Store.Rows.LostAnswerShare = 0; });
      break;
    case 8:
      applyFor(
          Span, [&] { cut(Route, true); }, [&Route] { cut(Route, false); });
      break;
    case 9:
      Route.dropAnswers();
      break;
    case 10:
      Route.reset();
      Store.Rows.HistoryTrimmedTo = Store.Rows.version();
      break;
    default:
      applyFor(
          Span,
          [&] {
            Worker.UnansweredShare = 0.3;
            Route.faults().DelayMs = 150;
          },
          [&Worker, &Route] {
            Worker.UnansweredShare = 0;
            Route.faults().DelayMs = 0;
          });
    }
    Loop.after(Millis(draw(1500)), [this] { injectFault(); });
  }

  static void cut(LinkRoute &Route, bool On) {
    Route.faults().Cut = On;
    Route.faultsChanged();
  }

  void endFaults() {
    FaultsEnded = true;
    Evacuations.close();
    Store.Rows.Down = Store.Rows.Silent = false;
    Store.Rows.LostAnswerShare = 0;
    for (const auto &Route : Routes) {
      Route->faults() = LinkFaults{};
      Route->faultsChanged();
    }
    for (const auto &Worker : Workers) {
      Worker->Tasks.UnansweredShare = 0;
      if (!Worker->Tasks.up())
        Worker->Tasks.reboot();
    }
    // A process that is still stopping after SIGTERM is restarted once it has
    // ended.
    restartStopped();
  }

  void restartStopped() {
    for (auto &Each : Processes) {
      Each->signal(SIGCONT);
      Each->start();
    }
    if (!Finished)
      Loop.after(CheckInterval, [this] { restartStopped(); });
  }

  /// Queries the state of the accepted jobs, one after the other.
  void checkJobs(std::size_t From = 0, int Tries = 0) {
    constexpr int MaxTries = 10;
    while (From < Callers.size() && !Callers[From]->Accepted)
      ++From;
    if (From == Callers.size())
      return finish();
    const Caller &Submitted = *Callers[From];
    EntryClients[draw(EntryClients.size())]->send(
        request("GET", Submitted.Job), Millis(3000),
        [this, &Submitted, From, Tries](const http::Response &Answer,
                                        const std::exception_ptr &Failure) {
          if ((Failure || Answer.Status == 503) && Tries < MaxTries)
            return Loop.after(Millis(200), [this, From, Tries] {
              checkJobs(From, Tries + 1);
            });
          std::string State = Failure ? "no answer" : Answer.Body;
          bool Ended = State.find("completed") != std::string::npos ||
                       (Submitted.CancelSent &&
                        State.find("cancelled") != std::string::npos);
          if (!Ended)
            Failures.push_back("accepted job " + Submitted.Job.str() + ": " +
                               State);
          Loop.after(Millis(0), [this, From] { checkJobs(From + 1); });
        });
  }

  void finish() {
    std::size_t Accepted = 0;
    for (const auto &Each : Callers) {
      Accepted += Each->Accepted ? 1 : 0;
      if (!Each->Accepted && !Each->MayRun &&
          Checks.StartedJobs.count(Each->Job) != 0)
        Failures.push_back("refused job " + Each->Job.str() + " has run");
    }
    if (Accepted == 0)
      Failures.emplace_back("no job was accepted");
    for (const auto &Found :
         {Checks.Violations, Evacuations.Failures,
          Cancellations.failures(Checks, SoakEvacuations::LongestCut)})
      Failures.insert(Failures.end(), Found.begin(), Found.end());
    for (std::size_t I = 0; I < Processes.size(); ++I)
      if (Processes[I]->endedUnexpectedly())
        Failures.push_back("process " + std::to_string(I) + " ended by itself");
    std::cout << "seed " << Config.Seed << ": " << Callers.size() << " jobs, "
              << Accepted << " accepted, " << Checks.Starts << " starts, "
              << Checks.Lapses << " lapses, " << Cancellations.answered()
              << " cancelled, " << Failures.size() << " broken\n";
    Finished = true;
  }

  SoakOptions Config;
  boost::asio::io_context Io{1};
  VirtualLoop Loop;
  TimePoint StartTime = Loop.now();
  std::chrono::steady_clock::time_point RealStartTime =
      std::chrono::steady_clock::now();
  std::mt19937_64 Random;
  /// Derived from the process id, so that concurrent runs use different ports.
  std::uint16_t NextPort = static_cast<std::uint16_t>(
      FirstPort + ::getpid() % PortRanges * PortsPerRun);
  Oracle Checks;
  SoakStore Store;
  boost::asio::steady_timer AdvanceTimer;
  std::vector<std::shared_ptr<LinkRoute>> Routes;
  std::map<std::string, std::string> LinkProxies;
  std::vector<std::unique_ptr<SoakWorker>> Workers;
  SoakEvacuations Evacuations{Loop, Store.Rows, Workers, Config.Seed};
  std::vector<std::unique_ptr<SoakProcess>> Processes;
  std::vector<std::unique_ptr<http::Client>> EntryClients;
  SoakCancellations Cancellations{Loop, EntryClients, Workers, Config.Seed};
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::string> Failures;
  bool FaultsEnded = false;
  bool Finished = false;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKRUN_H
