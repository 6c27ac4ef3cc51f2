// One entry or agent with a store stand-in, and what the kernel reports about
// its memory and descriptors.
#ifndef DAISYSPOOL_TESTS_CROWD_CROWDEDPROCESS_H
#define DAISYSPOOL_TESTS_CROWD_CROWDEDPROCESS_H

#include "CrowdClients.h"
#include "SoakProcess.h"
#include "SoakStore.h"
#include "support/StandinThread.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

namespace daisyspool::crowd {

/// The memory that the settings of the process under test name. It takes 12 MB
/// in calm.
constexpr std::size_t MemoryMb = 32;
/// Enough for every crowd that is to be held by its memory.
constexpr std::size_t AmpleDescriptors = 1000;
/// So few that a crowd of idle connections exhausts them.
constexpr std::size_t FewDescriptors = 280;
/// Descriptors that the platform reserves for files.
constexpr std::size_t FileDescriptors = 200;

/// The store stand-in with a configuration of one queue.
class CrowdStore {
public:
  explicit CrowdStore(boost::asio::io_context &Io)
      : Store(Io, Loop, Random, [](const rows::RowValue &) {}),
        AdvanceTimer(Io) {
    nlohmann::json Config{{"version", 1},
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
                          {"limits", {{"max_body_bytes", 262144}}}};
    rows::RowTransaction Write;
    Write.Puts.push_back({{"op", "", "config"}, Config.dump()});
    Store.Rows.apply(Write);
    advance();
  }

  http::Endpoint endpoint() const { return Store.endpoint(); }

private:
  void advance() {
    Loop.runUntil(Start + (std::chrono::steady_clock::now() - RealStart));
    AdvanceTimer.expires_after(Millis(2));
    AdvanceTimer.async_wait([this](boost::system::error_code Failure) {
      if (!Failure)
        advance();
    });
  }

  testing::VirtualLoop Loop;
  TimePoint Start = Loop.now();
  std::chrono::steady_clock::time_point RealStart =
      std::chrono::steady_clock::now();
  std::mt19937_64 Random{1};
  soak::SoakStore Store;
  boost::asio::steady_timer AdvanceTimer;
};

class CrowdedProcess {
public:
  CrowdedProcess(const std::string &Role, std::size_t Descriptors)
      : Descriptors(Descriptors), Folder(folder()),
        Process({std::string(DAISYSPOOL_BINARY_DIR) + "/daisyspool", Role,
                 "--settings", Folder + "/node.ini"},
                Folder + "/node.log") {
    std::ofstream(Folder + "/node.ini")
        << "[node]\nname = node\nfailure_domain = a\n[listen]\n"
        << (Role == "fleet-entry" ? "callers = " : "announcements = ")
        << http::toString(Front)
        << (Role == "fleet-entry" ? "\nreadiness = " + http::toString(Readiness)
                                  : "")
        << "\nlinks = " << http::toString(Links)
        << "\nmetrics = " << http::toString(Metrics)
        << "\n[store]\naddress = " << http::toString(Store->endpoint())
        << (Role == "fleet-entry" ? "" : "\n[worker]\naddress = 127.0.0.1:1")
        << "\n[capacity]\nmemory_mb = " << MemoryMb
        << "\nfile_descriptors = " << Descriptors << "\n";
    Process.start();
    // An entry answers 503 until it has read its configuration.
    for (int Tries = 0; Tries < 500; ++Tries) {
      int Answer = status(Front, "GET", JobPath);
      if (Answer != 0 && Answer != 503)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  ~CrowdedProcess() { std::filesystem::remove_all(Folder); }
  CrowdedProcess(const CrowdedProcess &) = delete;
  CrowdedProcess &operator=(const CrowdedProcess &) = delete;

  static constexpr const char *JobPath = "/queue/0000000000000001";

  /// Status of the answer to one request, or 0 without an answer.
  static int status(const http::Endpoint &Port, const std::string &Method,
                    const std::string &Path, const std::string &Body = "") {
    try {
      return http::exchangeBlocking(
                 Port,
                 {Method, Path, {{"Content-Type", "application/json"}}, Body},
                 AmpleTime)
          .Status;
    } catch (const http::ClientError &Problem) {
      UNSCOPED_INFO(Method << ' ' << Path << ": " << Problem.what());
      return 0;
    }
  }

  /// Checks that the process lives and has stayed below its memory and
  /// descriptors, once it has read what it wants of what the crowd has sent.
  void requireWithinLimits() {
    std::size_t Unread = settledUnreadBytes();
    CHECK(Process.running());
    std::size_t Peak = peakResidentBytes();
    INFO("peak resident " << Peak / 1024 << " KiB, unread " << Unread / 1024
                          << " KiB, limit " << MemoryMb * 1024 << " KiB");
    CHECK(Peak + Unread < MemoryMb * 1024 * 1024);
    CHECK(openSockets() <= Descriptors - FileDescriptors);
  }

private:
  std::string folder() {
    std::string Path = "/tmp/daisyspool-crowd-" + std::to_string(::getpid());
    std::filesystem::create_directories(Path);
    return Path;
  }

  /// A free port below the ephemeral range, which no outgoing connection takes.
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

  std::string proc(const std::string &File) const {
    return "/proc/" + std::to_string(Process.id()) + "/" + File;
  }

  std::size_t peakResidentBytes() const {
    std::ifstream File(proc("status"));
    std::string Line;
    while (std::getline(File, Line))
      if (Line.starts_with("VmHWM:"))
        return std::stoul(Line.substr(6)) * 1024;
    return 0;
  }

  std::size_t openSockets() const {
    std::size_t Result = 0;
    std::error_code Failure;
    for (const auto &Each :
         std::filesystem::directory_iterator(proc("fd"), Failure)) {
      std::string Target =
          std::filesystem::read_symlink(Each.path(), Failure).string();
      if (Target.starts_with("socket:") || Target.starts_with("pipe:"))
        ++Result;
    }
    return Result;
  }

  /// Bytes that the kernel has received for the ports of the process.
  std::size_t unreadBytes() const {
    std::ifstream File("/proc/net/tcp");
    std::string Line;
    std::getline(File, Line);
    std::size_t Result = 0;
    while (std::getline(File, Line)) {
      unsigned Port = 0;
      unsigned State = 0;
      unsigned long Unread = 0;
      if (std::sscanf(Line.c_str(), " %*d: %*x:%x %*x:%*x %x %*x:%lx", &Port,
                      &State, &Unread) != 3)
        continue;
      constexpr unsigned Established = 1;
      if (State == Established &&
          (Port == Front.Port || Port == Links.Port || Port == Metrics.Port ||
           Port == Readiness.Port))
        Result += Unread;
    }
    return Result;
  }

  std::size_t settledUnreadBytes() const {
    constexpr int StableSamples = 5;
    constexpr int MaxSamples = 100;
    std::size_t Last = unreadBytes();
    int Stable = 0;
    for (int I = 0; I < MaxSamples && Stable < StableSamples; ++I) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      std::size_t Now = unreadBytes();
      Stable = Now == Last ? Stable + 1 : 0;
      Last = Now;
    }
    return Last;
  }

  boost::asio::io_context Io{1};
  std::uint16_t NextPort =
      static_cast<std::uint16_t>(10000 + ::getpid() % 1000 * 16);
  StandinThread<CrowdStore> Store;
  std::size_t Descriptors;
  std::string Folder;

public:
  /// Where callers reach an entry, and workers an agent.
  http::Endpoint Front = freeEndpoint();
  http::Endpoint Links = freeEndpoint();
  http::Endpoint Metrics = freeEndpoint();
  http::Endpoint Readiness = freeEndpoint();

private:
  soak::SoakProcess Process;
};

} // namespace daisyspool::crowd

#endif // DAISYSPOOL_TESTS_CROWD_CROWDEDPROCESS_H
