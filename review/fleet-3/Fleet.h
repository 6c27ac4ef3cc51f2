// A small deployment for the scripts of this review: real entry and agent
// processes on loopback, and stand-ins for the store, the workers and the
// callers. The platform ends a process that exceeds its memory and restarts
// it.
#ifndef DAISYSPOOL_REVIEW_FLEET3_FLEET_H
#define DAISYSPOOL_REVIEW_FLEET3_FLEET_H

#include "../../soak/SoakProcess.h"
#include "SlowLink.h"
#include "Store.h"
#include "Worker.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/leadership/LeaderRecord.h"
#include "daisyspool/platform/Base64.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>

namespace daisyspool::review {

using soak::SoakProcess;

/// The resident memory of a process in MiB; 0 if it does not run.
inline std::int64_t residentMebiBytes(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/statm");
  std::int64_t Size = 0;
  std::int64_t Resident = 0;
  File >> Size >> Resident;
  return Resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

/// Thread safety: one thread; runFor() drives the I/O loop.
class Fleet {
public:
  struct Options {
    std::string Program;
    std::filesystem::path Folder;
    std::size_t Entries = 3;
    std::size_t Agents = 3;
    /// Of an entry's machine, as in the settings of the small deployments.
    std::int64_t MemoryMebiBytes = 260;
    /// Of an agent's machine.
    std::int64_t AgentMebiBytes = 128;
    int MaxAttempts = 3;
    /// Of the link of an entry's machine; unlimited if 0. The connections to
    /// the store and those to the agents get this much each.
    double EntryMegabits = 0;
  };

  Fleet(Options Chosen, std::ostream &Record)
      : Config(std::move(Chosen)), Shared(Loop, Record), Rows(Io, Loop),
        AdvanceTimer(Io) {
    std::filesystem::create_directories(Config.Folder);
    LeaderMachine->BytesPerSecond = Config.EntryMegabits * BytesPerMegabit;
    Rows.Filter = [this](const std::string &Value) {
      auto Relay = LinkRelays.find(Value);
      return Relay == LinkRelays.end() ? Value : Relay->second;
    };
    writeConfiguration();
    for (std::size_t I = 0; I < Config.Agents; ++I)
      addAgent(I);
    for (std::size_t I = 0; I < Config.Entries; ++I)
      addEntry(I);
    Deaths.resize(Processes.size());
  }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void start() {
    for (auto &Each : Processes)
      Each->start();
    supervise();
  }

  void runFor(Millis Span) {
    TimePoint End = Loop.now() + Span;
    while (Loop.now() < End) {
      AdvanceTimer.expires_after(std::chrono::milliseconds(2));
      AdvanceTimer.async_wait([](boost::system::error_code) {});
      Io.restart();
      Io.run_one();
      Io.poll();
      Loop.runUntil(StartTime +
                    (std::chrono::steady_clock::now() - RealStartTime));
    }
  }

  std::ostream &note() { return Shared.note(); }

  /// Sends a caller's request; the status is 0 without an answer.
  void send(std::size_t Entry, const char *Method, const std::string &Job,
            std::string Body,
            std::function<void(int Status, const std::string &Body)> Done) {
    EntryClients[Entry]->send(
        {Method,
         "/queue/" + Job,
         {{"X-Deadline-Ms", "3000"}, {"Content-Type", "application/json"}},
         std::move(Body)},
        Millis(3000),
        [Done = std::move(Done)](const http::Response &Answer,
                                 const std::exception_ptr &Failure) {
          if (Failure)
            return Done(0, "");
          Done(Answer.Status, Answer.Body);
        });
  }

  /// The number of the entry that last wrote to the store under a condition as
  /// the leader; the count of entries without one.
  std::size_t leader() const {
    rows::RowName Row = intake::leaderRow();
    auto Value = Rows.value(Row.Table, Row.Partition, Row.Key);
    if (!Value)
      return Config.Entries;
    std::string Name =
        leadership::decodeLeaderStatus(fromBase64(*Value).value_or(""))
            .Leader.Process.str();
    return std::stoul(Name.substr(std::string("entry").size()));
  }

  /// Kills an entry as the platform does; it is restarted after a second.
  void killEntry(std::size_t I) { kill(Config.Agents + I); }

  /// How often an entry has exceeded the memory of its machine.
  int entryDeaths(std::size_t I) const { return Deaths[Config.Agents + I]; }
  int agentDeaths(std::size_t I) const { return Deaths[I]; }

  boost::asio::io_context Io{1};
  VirtualLoop Loop;
  Options Config;
  World Shared;
  Store Rows;
  std::vector<std::unique_ptr<Worker>> Workers;
  /// The largest memory that an entry and an agent were seen to use.
  std::int64_t MostOfEntry = 0;
  std::int64_t MostOfAgent = 0;

private:
  static constexpr Millis RestartAfter{1000};
  static constexpr Millis SuperviseInterval{20};
  static constexpr double BytesPerMegabit = 125000;
  static constexpr int FirstPort = 10000;
  static constexpr int PortsPerRun = 192;
  static constexpr int PortRanges = 100;

  void kill(std::size_t Process) {
    Processes[Process]->signal(SIGKILL);
    Loop.after(RestartAfter, [this, Process] { Processes[Process]->start(); });
  }

  /// Ends each process that exceeds its memory, as the platform does.
  void supervise() {
    for (std::size_t I = 0; I < Processes.size(); ++I) {
      if (!Processes[I]->running())
        continue;
      bool IsAgent = I < Config.Agents;
      std::int64_t Limit =
          IsAgent ? Config.AgentMebiBytes : Config.MemoryMebiBytes;
      std::int64_t Used = residentMebiBytes(Processes[I]->id());
      std::int64_t &Most = IsAgent ? MostOfAgent : MostOfEntry;
      Most = std::max(Most, Used);
      if (Used <= Limit)
        continue;
      ++Deaths[I];
      note() << (IsAgent ? "agent" : "entry")
             << (IsAgent ? I : I - Config.Agents) << " uses " << Used
             << " MiB of " << Limit << ": the platform ends it\n";
      kill(I);
    }
    Loop.after(SuperviseInterval, [this] { supervise(); });
  }

  /// Returns a free port below the ephemeral range: an outgoing connection
  /// could take an ephemeral port before the process restarts on it.
  http::Endpoint freeEndpoint() {
    for (;;) {
      http::Endpoint Candidate{"127.0.0.1", NextPort++};
      boost::asio::ip::tcp::socket Probe(Io);
      boost::system::error_code Failure;
      Probe.open(boost::asio::ip::tcp::v4());
      Probe.bind(
          {boost::asio::ip::make_address(Candidate.Address), Candidate.Port},
          Failure);
      if (!Failure)
        return Candidate;
    }
  }

  void writeConfiguration() {
    json Value{{"version", 1},
               {"routes",
                {{{"host", "127.0.0.1"},
                  {"path_prefix", "/queue/"},
                  {"name", "queue"},
                  {"service", "service"},
                  {"priority", 0},
                  {"max_attempts", Config.MaxAttempts},
                  {"slack_factor", 2.0},
                  {"target_latency_ms", 1000}}}},
               {"services", {{{"name", "service"}}}},
               {"limits", json::object()}};
    Rows.put("op", "", "config", toBase64(Value.dump()));
  }

  void addProcess(const std::string &Name, const char *Role,
                  const std::string &Settings) {
    auto File = Config.Folder / (Name + ".ini");
    std::ofstream(File) << "[node]\nname = " << Name << "\nfailure_domain = a\n"
                        << Settings;
    Processes.push_back(std::make_unique<SoakProcess>(
        std::vector<std::string>{Config.Program, Role, "--settings",
                                 File.string()},
        (Config.Folder / (Name + ".log")).string()));
  }

  http::Endpoint relayTo(const http::Endpoint &Target,
                         const std::shared_ptr<Bandwidth> &Machine) {
    if (Machine->BytesPerSecond <= 0)
      return Target;
    Links.push_back(std::make_shared<SlowLink>(Io, Target, Machine));
    Links.back()->start();
    return Links.back()->endpoint();
  }

  std::string commonSections(std::int64_t Memory,
                             const http::Endpoint &StoreAddress) const {
    return "[store]\naddress = " + http::toString(StoreAddress) +
           "\nrow_bytes = 65536\n[bounds]\nmax_lease_ms = 6000\n"
           "stop_timeout_ms = 200\n[capacity]\ncpu_share = 0.25\ncores = 1\n"
           "memory_mb = " +
           std::to_string(Memory) +
           "\nfile_descriptors = 4100\n[overload]\norder = work\n";
  }

  void addAgent(std::size_t I) {
    auto Announcements = freeEndpoint();
    auto LeaderLink = freeEndpoint();
    // The leader finds the agent through its machine's link.
    LinkRelays[toBase64(http::toString(LeaderLink))] =
        toBase64(http::toString(relayTo(LeaderLink, LeaderMachine)));
    Workers.push_back(std::make_unique<Worker>(
        Io, Shared, "i-" + std::to_string(I), Announcements));
    addProcess("agent" + std::to_string(I), "fleet-agent",
               "[listen]\nannouncements = " + http::toString(Announcements) +
                   "\nlinks = " + http::toString(LeaderLink) + "\nmetrics = " +
                   http::toString(freeEndpoint()) + "\n[worker]\naddress = " +
                   http::toString(Workers.back()->endpoint()) + "\n" +
                   commonSections(Config.AgentMebiBytes, Rows.endpoint()));
  }

  void addEntry(std::size_t I) {
    auto Callers = freeEndpoint();
    auto Machine = std::make_shared<Bandwidth>();
    Machine->BytesPerSecond = Config.EntryMegabits * BytesPerMegabit;
    EntryClients.push_back(std::make_unique<http::Client>(
        Io, http::Client::Options{Callers, 200}));
    addProcess("entry" + std::to_string(I), "fleet-entry",
               "[listen]\ncallers = " + http::toString(Callers) +
                   "\nreadiness = " + http::toString(freeEndpoint()) +
                   "\nlinks = " + http::toString(freeEndpoint()) +
                   "\nmetrics = " + http::toString(freeEndpoint()) + "\n" +
                   commonSections(Config.MemoryMebiBytes,
                                  relayTo(Rows.endpoint(), Machine)));
  }

  TimePoint StartTime = Loop.now();
  std::chrono::steady_clock::time_point RealStartTime =
      std::chrono::steady_clock::now();
  std::uint16_t NextPort = static_cast<std::uint16_t>(
      FirstPort + ::getpid() % PortRanges * PortsPerRun);
  boost::asio::steady_timer AdvanceTimer;
  /// The agents, then the entries.
  std::vector<std::unique_ptr<SoakProcess>> Processes;
  /// By process.
  std::vector<int> Deaths;
  std::vector<std::unique_ptr<http::Client>> EntryClients;
  std::vector<std::shared_ptr<SlowLink>> Links;
  /// The link between the leader and the agents.
  std::shared_ptr<Bandwidth> LeaderMachine = std::make_shared<Bandwidth>();
  /// By the address of an agent, that of its relay.
  std::map<std::string, std::string> LinkRelays;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_FLEET3_FLEET_H
