// One seeded day of the soak: real entry and agent processes on loopback, each
// connection through a proxy, callers that retry, and overlapping faults.
#ifndef DAISYSPOOL_SOAK_SOAKDAY_H
#define DAISYSPOOL_SOAK_SOAKDAY_H

#include "LinkRoute.h"
#include "SoakProcess.h"
#include "SoakWorker.h"

#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace daisyspool::soak {

struct SoakOptions {
  std::string Program;
  /// Settings and logs of the day; created anew.
  std::filesystem::path Folder;
  std::uint64_t Seed = 1;
  std::size_t Entries = 3;
  std::size_t Agents = 4;
  Millis Traffic{12000};
};

/// Thread safety: one thread; run() owns the I/O loop.
class SoakDay {
public:
  explicit SoakDay(SoakOptions Config)
      : Config(std::move(Config)), Random(this->Config.Seed),
        Store(Io, Loop, Random,
              [this](rows::RowValue &Row) { routeAgentRow(Row); }),
        Pump(Io) {
    std::filesystem::remove_all(this->Config.Folder);
    std::filesystem::create_directories(this->Config.Folder);
    writeConfiguration();
    for (std::size_t I = 0; I < this->Config.Agents; ++I)
      addAgent(I);
    for (std::size_t I = 0; I < this->Config.Entries; ++I)
      addEntry(I);
  }
  ~SoakDay() {
    for (const auto &Route : Routes)
      Route->close();
  }
  SoakDay(const SoakDay &) = delete;
  SoakDay &operator=(const SoakDay &) = delete;

  /// Plays the day and returns what was broken.
  std::vector<std::string> run() {
    pump();
    for (auto &Each : Processes)
      Each->start();
    Loop.after(StartUp, [this] { traffic(0); });
    Loop.after(StartUp, [this] { fault(); });
    Loop.after(StartUp + Config.Traffic, [this] { heal(); });
    Loop.after(StartUp + Config.Traffic + Settling, [this] { check(); });
    Io.run();
    return Broken;
  }

private:
  static constexpr Millis StartUp{2500};
  /// What is accepted has to be done so long after the last fault: leases,
  /// grants and a takeover take 9 s, the queue the rest.
  static constexpr Millis Settling{25000};
  static constexpr Millis PumpInterval{2};
  static constexpr Millis CheckInterval{500};
  static constexpr int MaxAttempts = 6;
  static constexpr std::uint16_t FirstPort = 10000;
  static constexpr std::uint16_t PortsOfDay = 64;
  static constexpr std::uint16_t DaysWithOwnPorts = 300;

  struct Caller {
    JobId Job;
    std::string Body;
    int AttemptsLeft = 0;
    bool Accepted = false;
    bool CancelSent = false;
    /// An attempt had no final answer, so the job may run.
    bool MayRun = false;
  };

  /// Virtual time follows real time.
  void pump() {
    Loop.runUntil(Begun + (std::chrono::steady_clock::now() - RealBegun));
    if (Finished)
      return Io.stop();
    Pump.expires_after(PumpInterval);
    Pump.async_wait([this](boost::system::error_code) { pump(); });
  }

  std::uint64_t draw(std::uint64_t Count) {
    return std::uniform_int_distribution<std::uint64_t>(0, Count - 1)(Random);
  }

  /// Below the ports that the kernel gives to outgoing connections, one of
  /// which would otherwise hold it when a process starts again.
  http::Endpoint freeEndpoint() {
    for (;;) {
      http::Endpoint Where{"127.0.0.1", NextPort++};
      boost::asio::ip::tcp::socket Probe(Io);
      boost::system::error_code Failure;
      Probe.open(boost::asio::ip::tcp::v4());
      Probe.bind(toTcp(Where), Failure);
      if (!Failure)
        return Where;
    }
  }

  http::Endpoint proxyTo(const http::Endpoint &Target) {
    Routes.push_back(std::make_shared<LinkRoute>(
        Io, http::Endpoint{"127.0.0.1", 0}, Target, LinkFaults{}, Random()));
    Routes.back()->start();
    return Routes.back()->endpoint();
  }

  /// The leader reaches an agent through a proxy too.
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
        Io, Loop, Random, Watch, "worker" + std::to_string(I), Announcements));
    Workers.back()->Tasks.KeepsId = Config.Seed % 2 == 0;
    addProcess("agent" + std::to_string(I), "fleet-agent",
               "[listen]\nannouncements = " + http::toString(Announcements) +
                   "\nlinks = " + http::toString(Links) + "\nmetrics = " +
                   http::toString(freeEndpoint()) + "\n[worker]\naddress = " +
                   http::toString(proxyTo(Workers.back()->endpoint())) + "\n" +
                   storeSection());
  }

  void addEntry(std::size_t I) {
    auto Callers = freeEndpoint();
    Ingress.push_back(
        std::make_unique<http::Client>(Io, http::Client::Options{Callers, 64}));
    addProcess("entry" + std::to_string(I), "fleet-entry",
               "[listen]\ncallers = " + http::toString(Callers) +
                   "\nreadiness = " + http::toString(freeEndpoint()) +
                   "\nlinks = " + http::toString(freeEndpoint()) +
                   "\nmetrics = " + http::toString(freeEndpoint()) + "\n" +
                   storeSection());
  }

  http::Request request(const char *Method, const JobId &Job,
                        std::string Body = "") const {
    return {Method,
            "/queue/" + Job.str(),
            {{"X-Deadline-Ms", "3000"}, {"Content-Type", "application/json"}},
            std::move(Body)};
  }

  void traffic(std::size_t Number) {
    if (Loop.now() > Begun + StartUp + Config.Traffic)
      return;
    auto Steps = 1 + static_cast<std::uint32_t>(draw(3));
    std::string Id = std::to_string(Number);
    Id = std::string(16 - Id.size(), '0') + Id;
    workload::JobRecord Job = testing::chainJob(Id, Steps, 4);
    Watch.submitted(Job, Millis(300 + draw(1200)), false);
    json Body{{"spec", "soak"}, {"steps", json::array()}};
    for (std::uint32_t I = 0; I < Steps; ++I) {
      json Step{
          {"count", 4}, {"cpu", 1000}, {"mem_mb", 100}, {"estimated_ms", 500}};
      if (I > 0)
        Step["after"] = {I - 1};
      Body["steps"].push_back(std::move(Step));
    }
    // Half of the callers take the first answer, so that a refusal of a job
    // that is stored all the same comes to light.
    int Attempts = draw(2) == 0 ? 1 : MaxAttempts;
    Callers.push_back(
        std::make_unique<Caller>(Caller{JobId(Id), Body.dump(), Attempts}));
    submit(*Callers.back());
    Loop.after(Millis(50 + draw(350)), [this, Number] { traffic(Number + 1); });
  }

  void submit(Caller &Of) {
    if (--Of.AttemptsLeft < 0)
      return;
    Ingress[draw(Ingress.size())]->send(
        request("POST", Of.Job, Of.Body), Millis(3000),
        [this, &Of](const http::Response &Answer,
                    const std::exception_ptr &Failure) {
          bool Sent = !Failure || !isNotSent(Failure);
          if (!Failure && Answer.Status == 200) {
            Of.Accepted = true;
            if (draw(10) == 0)
              Loop.after(Millis(draw(1500)), [this, &Of] { cancel(Of); });
            return;
          }
          bool Refused =
              !Failure && (Answer.Status == 503 || Answer.Status == 429);
          Of.MayRun = Of.MayRun || (Sent && !Refused);
          Loop.after(Millis(300), [this, &Of] { submit(Of); });
        });
  }

  static bool isNotSent(const std::exception_ptr &Failure) {
    try {
      std::rethrow_exception(Failure);
    } catch (const http::ClientError &Problem) {
      return Problem.reason() == http::ClientError::Kind::NotSent;
    }
  }

  void cancel(Caller &Of) {
    Of.CancelSent = true;
    Ingress[draw(Ingress.size())]->send(
        request("DELETE", Of.Job), Millis(3000),
        [](const http::Response &, const std::exception_ptr &) {});
  }

  /// Switches a fault on and, after \p Span, off again.
  void during(Millis Span, const std::function<void()> &On,
              const std::function<void()> &Off) {
    On();
    Loop.after(Span, Off);
  }

  void fault() {
    if (Healed)
      return;
    Millis Span(300 + static_cast<int>(draw(4000)));
    SoakProcess &Process = *Processes[draw(Processes.size())];
    VirtualWorker &Worker = Workers[draw(Workers.size())]->Tasks;
    LinkRoute &Route = *Routes[draw(Routes.size())];
    switch (draw(12)) {
    case 0:
    case 1:
      during(
          Span, [&] { Process.signal(SIGKILL); },
          [&Process] { Process.start(); });
      break;
    case 2:
      during(
          Span, [&] { Process.signal(SIGSTOP); },
          [&Process] { Process.signal(SIGCONT); });
      break;
    case 3:
      Process.signal(SIGHUP);
      during(
          Span + Millis(4000), [&] { Process.signal(SIGTERM); },
          [&Process] { Process.start(); });
      break;
    case 4:
      if (Worker.up())
        during(
            Span, [&] { Worker.crash(); },
            [&Worker] {
              // The end of the faults may have come first.
              if (!Worker.up())
                Worker.reboot();
            });
      break;
    case 5:
      during(
          Span, [&] { Store.Rows.Down = true; },
          [this] { Store.Rows.Down = false; });
      break;
    case 6:
      during(
          Span, [&] { Store.Rows.Silent = true; },
          [this] { Store.Rows.Silent = false; });
      break;
    case 7:
      Store.Rows.ApplyLostWritesLate = draw(2) == 0;
      during(
          Span, [&] { Store.Rows.LostAnswerShare = 0.35; },
          [this] { Store.Rows.LostAnswerShare = 0; });
      break;
    case 8:
      during(
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
      during(
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
    Loop.after(Millis(draw(1500)), [this] { fault(); });
  }

  static void cut(LinkRoute &Route, bool On) {
    Route.faults().Cut = On;
    Route.faultsChanged();
  }

  void heal() {
    Healed = true;
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
    // A process that is stopping at SIGTERM starts again when it has ended.
    keepUp();
  }

  void keepUp() {
    for (auto &Each : Processes) {
      Each->signal(SIGCONT);
      Each->start();
    }
    if (!Finished)
      Loop.after(CheckInterval, [this] { keepUp(); });
  }

  /// Asks for the state of the accepted jobs, one after the other.
  void check(std::size_t From = 0, int Tries = 0) {
    constexpr int MaxTries = 10;
    while (From < Callers.size() && !Callers[From]->Accepted)
      ++From;
    if (From == Callers.size())
      return finish();
    const Caller &Of = *Callers[From];
    Ingress[draw(Ingress.size())]->send(
        request("GET", Of.Job), Millis(3000),
        [this, &Of, From, Tries](const http::Response &Answer,
                                 const std::exception_ptr &Failure) {
          if ((Failure || Answer.Status == 503) && Tries < MaxTries)
            return Loop.after(Millis(200),
                              [this, From, Tries] { check(From, Tries + 1); });
          std::string State = Failure ? "no answer" : Answer.Body;
          bool Good =
              State.find("completed") != std::string::npos ||
              (Of.CancelSent && State.find("cancelled") != std::string::npos);
          if (!Good)
            Broken.push_back("accepted job " + Of.Job.str() + ": " + State);
          Loop.after(Millis(0), [this, From] { check(From + 1); });
        });
  }

  void finish() {
    std::size_t Accepted = 0;
    for (const auto &Each : Callers) {
      Accepted += Each->Accepted ? 1 : 0;
      if (!Each->Accepted && !Each->MayRun &&
          Watch.StartedJobs.count(Each->Job) != 0)
        Broken.push_back("refused job " + Each->Job.str() + " has run");
    }
    if (Accepted == 0)
      Broken.emplace_back("no job was accepted");
    for (const std::string &Each : Watch.Violations)
      Broken.push_back(Each);
    for (std::size_t I = 0; I < Processes.size(); ++I)
      if (Processes[I]->endedByItself())
        Broken.push_back("process " + std::to_string(I) + " ended by itself");
    std::cout << "seed " << Config.Seed << ": " << Callers.size() << " jobs, "
              << Accepted << " accepted, " << Watch.Starts << " starts, "
              << Watch.Lapses << " lapses, " << Broken.size() << " broken\n";
    Finished = true;
  }

  SoakOptions Config;
  boost::asio::io_context Io{1};
  VirtualLoop Loop;
  TimePoint Begun = Loop.now();
  std::chrono::steady_clock::time_point RealBegun =
      std::chrono::steady_clock::now();
  std::mt19937_64 Random;
  /// By process id, so that days that are played at the same time differ.
  std::uint16_t NextPort = static_cast<std::uint16_t>(
      FirstPort + ::getpid() % DaysWithOwnPorts * PortsOfDay);
  Oracle Watch;
  SoakStore Store;
  boost::asio::steady_timer Pump;
  std::vector<std::shared_ptr<LinkRoute>> Routes;
  std::map<std::string, std::string> LinkProxies;
  std::vector<std::unique_ptr<SoakWorker>> Workers;
  std::vector<std::unique_ptr<SoakProcess>> Processes;
  std::vector<std::unique_ptr<http::Client>> Ingress;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::string> Broken;
  bool Healed = false;
  bool Finished = false;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKDAY_H
