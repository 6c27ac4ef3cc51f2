#include "daisyspool/agent/AgentProcess.h"
#include "daisyspool/entry/EntryProcess.h"
#include "daisyspool/replay/ReplayCommand.h"
#include "daisyspool/settings/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "INI file of the process to run or check");
ABSL_FLAG(std::string, role, "",
          "check-config: which settings the file holds, entry or agent");
ABSL_FLAG(std::string, trace, "", "replay: JSON lines of the callers' work");
ABSL_FLAG(std::string, outcomes, "", "replay: JSON lines of what must hold");
ABSL_FLAG(std::string, entry, "",
          "replay: ADDRESS:PORT of the balancer or of one entry");
ABSL_FLAG(std::vector<std::string>, executions, {},
          "replay: ADDRESS:PORT of targets that report their executions, "
          "separated by commas");
ABSL_FLAG(std::vector<std::string>, saved_executions, {},
          "replay: files with such reports, separated by commas");

namespace {

using namespace daisyspool;

constexpr int ExitUsage = 2;

constexpr const char *Usage =
    R"(Runs one process of daisyspool, or an operator's command.

  daisyspool entry --settings FILE       serve callers and operators
  daisyspool agent --settings FILE       front the target on this VM
  daisyspool check-config --role entry|agent --settings FILE
                                         check settings without starting
  daisyspool replay --trace FILE --outcomes FILE --entry ADDRESS:PORT
                    [--executions ADDRESS:PORT,...]
                    [--saved_executions FILE,...]
                                         replay callers' work and judge it

Exit codes: 0 done, 1 failed while running, 2 wrong usage or settings.)";

int runEntryCommand() {
  return runEntry(
      parseEntrySettings(IniFile::load(absl::GetFlag(FLAGS_settings))));
}

int runAgentCommand() {
  return runAgent(
      parseAgentSettings(IniFile::load(absl::GetFlag(FLAGS_settings))));
}

int checkConfig() {
  std::string Path = absl::GetFlag(FLAGS_settings);
  std::string Role = absl::GetFlag(FLAGS_role);
  if (Role == "entry")
    parseEntrySettings(IniFile::load(Path));
  else if (Role == "agent")
    parseAgentSettings(IniFile::load(Path));
  else {
    std::cerr << "check-config: --role entry or --role agent is needed\n";
    return ExitUsage;
  }

  std::cout << Path << ": ok\n";
  return 0;
}

int replay() {
  return runReplay({absl::GetFlag(FLAGS_trace), absl::GetFlag(FLAGS_outcomes),
                    absl::GetFlag(FLAGS_entry), absl::GetFlag(FLAGS_executions),
                    absl::GetFlag(FLAGS_saved_executions)});
}

} // namespace

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage(Usage);
  std::vector<char *> Rest = absl::ParseCommandLine(Count, Arguments);
  const std::map<std::string, std::function<int()>> Commands{
      {"entry", runEntryCommand},
      {"agent", runAgentCommand},
      {"check-config", checkConfig},
      {"replay", replay}};
  auto Chosen = Commands.find(Rest.size() == 2 ? Rest[1] : "");
  if (Chosen == Commands.end()) {
    std::cerr << Usage << '\n';
    return ExitUsage;
  }

  try {
    return Chosen->second();
  } catch (const SettingsError &Mistake) {
    std::cerr << Mistake.what() << '\n';
    return ExitUsage;
  } catch (const std::exception &Problem) {
    std::cerr << "daisyspool: " << Problem.what() << '\n';
    return 1;
  }
}
