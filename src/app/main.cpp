#include "daisyspool/agent/AgentProcess.h"
#include "daisyspool/entry/EntryProcess.h"
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

namespace {

using namespace daisyspool;

constexpr int ExitUsage = 2;

constexpr const char *Usage =
    R"(Runs one process of daisyspool, or an operator's command.

  daisyspool entry --settings FILE       serve callers and operators
  daisyspool agent --settings FILE       front the target on this VM
  daisyspool check-config --role entry|agent --settings FILE
                                         check settings without starting

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

} // namespace

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage(Usage);
  std::vector<char *> Rest = absl::ParseCommandLine(Count, Arguments);
  const std::map<std::string, std::function<int()>> Commands{
      {"entry", runEntryCommand},
      {"agent", runAgentCommand},
      {"check-config", checkConfig}};
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
