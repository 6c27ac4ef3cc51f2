// One process under test, which is signalled and ended only by its process id.
#ifndef DAISYSPOOL_SOAK_SOAKPROCESS_H
#define DAISYSPOOL_SOAK_SOAKPROCESS_H

#include "daisyspool/core/Errors.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace daisyspool::soak {

/// Thrown if a process cannot be started.
class SpawnError : public Error {
  using Error::Error;
};

/// Thread safety: one thread at a time.
class SoakProcess {
public:
  /// The output of the process is appended to \p LogFile.
  SoakProcess(std::vector<std::string> Command, std::string LogFile)
      : Command(std::move(Command)), LogFile(std::move(LogFile)) {}
  SoakProcess(const SoakProcess &) = delete;
  SoakProcess &operator=(const SoakProcess &) = delete;
  ~SoakProcess() {
    signal(SIGKILL);
    if (Pid > 0)
      ::waitpid(Pid, nullptr, 0);
  }

  /// Starts the process unless it runs. Throws SpawnError.
  void start() {
    if (running())
      return;
    std::vector<char *> Arguments;
    for (std::string &Each : Command)
      Arguments.push_back(Each.data());
    Arguments.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    ::posix_spawn_file_actions_init(&Actions);
    ::posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    int Failure = ::posix_spawn(&Pid, Command.front().c_str(), &Actions,
                                nullptr, Arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&Actions);
    if (Failure != 0) {
      Pid = 0;
      throw SpawnError("cannot start " + Command.front());
    }
    EndRequested = false;
  }

  /// Signals the process if it runs.
  void signal(int Number) {
    if (!running())
      return;
    EndRequested = EndRequested || Number == SIGKILL || Number == SIGTERM;
    ::kill(Pid, Number);
  }

  /// The id of the process, or 0 if it does not run.
  pid_t id() const { return Pid; }

  /// Whether the process exists, also if it is suspended by SIGSTOP.
  bool running() {
    if (Pid <= 0)
      return false;
    int Status = 0;
    if (::waitpid(Pid, &Status, WNOHANG) != Pid)
      return true;
    Pid = 0;
    EndedUnexpectedly = EndedUnexpectedly || !EndRequested;
    return false;
  }

  /// Whether it ever ended without SIGTERM or SIGKILL from the soak.
  bool endedUnexpectedly() const { return EndedUnexpectedly; }

private:
  std::vector<std::string> Command;
  std::string LogFile;
  pid_t Pid = 0;
  bool EndRequested = false;
  bool EndedUnexpectedly = false;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKPROCESS_H
