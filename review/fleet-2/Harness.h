// Shared by the stand-ins of the review: the event loop, the record of a run
// and the processes under test.
#ifndef DAISYSPOOL_REVIEW_HARNESS_H
#define DAISYSPOOL_REVIEW_HARNESS_H

#include "daisyspool/http/Client.h"
#include "daisyspool/http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace daisyspool::review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using ExchangePtr = std::shared_ptr<http::Exchange>;

inline http::Response jsonResponse(int Status, const json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

/// The event loop and the record of one run.
///
/// Thread safety: the I/O thread only.
class Harness {
public:
  Harness(std::filesystem::path Folder, const std::string &RecordFile)
      : Folder(std::move(Folder)), Record(RecordFile) {
    std::filesystem::create_directories(this->Folder);
  }
  Harness(const Harness &) = delete;
  Harness &operator=(const Harness &) = delete;

  static http::Server::Options listenOn(const http::Endpoint &Address) {
    http::Server::Options Result;
    Result.Listen = Address;
    Result.MaxBodyBytes = 64 * 1024 * 1024;
    return Result;
  }

  Millis elapsed() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - StartedAt);
  }

  void record(const std::string &Who, const std::string &What) {
    Record << std::fixed << std::setprecision(3)
           << static_cast<double>(elapsed().count()) / 1000 << ' ' << Who
           << ": " << What << '\n';
    Record.flush();
  }

  /// Records a broken rule.
  void broken(const std::string &Rule, const std::string &What) {
    record("RULE BROKEN", Rule + ": " + What);
    ++Broken;
  }

  void after(Millis Delay, std::function<void()> Callback) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
    Timer->async_wait([Timer, Callback = std::move(Callback)](
                          boost::system::error_code Failure) {
      if (!Failure)
        Callback();
    });
  }

  /// A port that is free now and below the ephemeral range.
  http::Endpoint freeEndpoint() {
    constexpr std::uint16_t FirstPort = 10100;
    constexpr int PortRange = 20000;
    for (;;) {
      auto Port = static_cast<std::uint16_t>(
          FirstPort + (::getpid() * 64 + NextPort++) % PortRange);
      boost::asio::ip::tcp::socket Probe(Io);
      boost::system::error_code Failure;
      Probe.open(boost::asio::ip::tcp::v4());
      Probe.bind({boost::asio::ip::make_address("127.0.0.1"), Port}, Failure);
      if (!Failure)
        return {"127.0.0.1", Port};
    }
  }

  boost::asio::io_context Io{1};
  std::filesystem::path Folder;
  int Broken = 0;

private:
  std::ofstream Record;
  Clock::time_point StartedAt = Clock::now();
  int NextPort = 0;
};

/// A process under test, started as the platform starts it: with the words of
/// the deploy file and the path of the settings in DAISYSPOOL_NODE_FILE.
class Process {
public:
  Process(Harness &Host, std::string Name, const std::string &Role,
          const std::string &Settings)
      : Host(Host), Name(std::move(Name)), Role(Role) {
    File = (Host.Folder / (this->Name + ".ini")).string();
    std::ofstream(File) << Settings;
  }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process() { kill(); }

  void start() {
    std::string Program = "target/daisyspool";
    std::string Variable = "DAISYSPOOL_NODE_FILE=" + File;
    std::string Path = "PATH=/usr/bin:/bin";
    std::vector<char *> Words{Program.data(), Role.data(), nullptr};
    std::vector<char *> Environment{Variable.data(), Path.data(), nullptr};
    std::string Log = (Host.Folder / (Name + ".log")).string();
    posix_spawn_file_actions_t Actions;
    ::posix_spawn_file_actions_init(&Actions);
    ::posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    int Failure = ::posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                                Words.data(), Environment.data());
    ::posix_spawn_file_actions_destroy(&Actions);
    if (Failure != 0) {
      Pid = 0;
      throw std::runtime_error("cannot start " + Program);
    }
    Host.record(Name, "started");
  }

  void signal(int Number) {
    if (Pid > 0)
      ::kill(Pid, Number);
  }

  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = 0;
    Host.record(Name, "killed");
  }

  /// Whether the process has ended by itself.
  bool hasEnded() {
    if (Pid <= 0 || ::waitpid(Pid, nullptr, WNOHANG) != Pid)
      return false;
    Pid = 0;
    return true;
  }

private:
  Harness &Host;
  std::string Name;
  std::string Role;
  std::string File;
  pid_t Pid = 0;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_HARNESS_H
