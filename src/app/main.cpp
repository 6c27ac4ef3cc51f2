#include "Program.h"
#include "daisyspool/admin/Commands.h"
#include "daisyspool/agent/AgentProcess.h"
#include "daisyspool/entry/EntryProcess.h"
#include "daisyspool/replay/ReplayCommand.h"
#include "daisyspool/settings/NodeSettings.h"
#include "daisyspool/settings/settings.h"
#include "daisyspool/telemetry/Explain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "INI file of the process to run or check");
ABSL_FLAG(
    std::string, entry, "",
    "ADDRESS:PORT of an entry's operators' port; replay: of the balancer");
ABSL_FLAG(std::string, config, "", "apply: directory of the configuration");
ABSL_FLAG(std::string, change_id, "",
          "apply: id of the change; a repeat under the same id has no effect");
ABSL_FLAG(std::string, request, "", "record, explain: id of a request or job");
ABSL_FLAG(std::string, caller, "", "record: name of a caller");
ABSL_FLAG(bool, dry_run, false, "apply: only check and show the difference");
ABSL_FLAG(std::string, operator_name, "anonymous", "name of the operator");
ABSL_FLAG(std::string, key_file, "", "file with the operator's key");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, role, "",
          "check-config: which settings the file holds: entry, agent or node");
ABSL_FLAG(std::string, trace, "", "replay: JSON lines of the callers' work");
ABSL_FLAG(std::string, outcomes, "", "replay: JSON lines of what must hold");
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
  daisyspool fleet-entry [--settings FILE]
                                         an entry on the operators' platform
  daisyspool fleet-agent [--settings FILE]
                                         the agent beside one of its workers
  daisyspool apply --entry ADDRESS:PORT --config DIRECTORY --change_id ID [--dry_run]
                                         accept a configuration
  daisyspool config --entry ADDRESS:PORT show the configuration in force
  daisyspool status --entry ADDRESS:PORT show members, shards and requests
  daisyspool record --entry ADDRESS:PORT [--request ID] [--caller ID]
                                         show the record of what ran
  daisyspool verify-record --entry ADDRESS:PORT
                                         check that the record is complete
  daisyspool explain --request ID < LOGS show a job's log lines in order
  daisyspool check-config --role entry|agent --settings FILE
                                         check settings without starting
  daisyspool replay --trace FILE --outcomes FILE --entry ADDRESS:PORT
                    [--executions ADDRESS:PORT,...]
                    [--saved_executions FILE,...]
                                         replay callers' work and judge it

The operators' commands call the operators' port of any entry, take the key
from --key_file, and print JSON with --json.

Exit codes: 0 done, 1 failed while running, 2 wrong usage or settings, 3 the
change is wrong or conflicts with another one.)";

int runEntryCommand() {
  return runEntry(
      parseEntrySettings(IniFile::load(absl::GetFlag(FLAGS_settings))));
}

int runAgentCommand() {
  return runAgent(
      parseAgentSettings(IniFile::load(absl::GetFlag(FLAGS_settings))));
}

/// Parses the settings of a process on the platform from the file --settings
/// or, without it, from the file in DAISYSPOOL_NODE_FILE.
NodeSettings loadNodeSettings() {
  std::string Path = absl::GetFlag(FLAGS_settings);
  const char *NodeFile = std::getenv("DAISYSPOOL_NODE_FILE");
  if (Path.empty() && NodeFile != nullptr)
    Path = NodeFile;
  return parseNodeSettings(IniFile::load(Path));
}

CommandOptions commandOptions() {
  auto Entry = http::parseEndpoint(absl::GetFlag(FLAGS_entry));
  if (!Entry)
    throw SettingsError("(command line)", 0, "--entry",
                        absl::GetFlag(FLAGS_entry), "ADDRESS:PORT");

  CommandOptions Result;
  Result.Entry = *Entry;
  Result.Operator = absl::GetFlag(FLAGS_operator_name);
  Result.Json = absl::GetFlag(FLAGS_json);
  std::ifstream Key(absl::GetFlag(FLAGS_key_file));
  std::getline(Key, Result.Key);
  return Result;
}

int applyCommand() {
  std::string ChangeId = absl::GetFlag(FLAGS_change_id);
  if (ChangeId.empty())
    throw SettingsError("(command line)", 0, "--change_id", "nothing",
                        "an id that is new for each change");

  return applyConfig(commandOptions(), absl::GetFlag(FLAGS_config), ChangeId,
                     absl::GetFlag(FLAGS_dry_run));
}

int checkConfigCommand() {
  std::string Path = absl::GetFlag(FLAGS_settings);
  std::string Role = absl::GetFlag(FLAGS_role);
  if (Role == "node")
    loadNodeSettings();
  else if (Role == "entry")
    parseEntrySettings(IniFile::load(Path));
  else if (Role == "agent")
    parseAgentSettings(IniFile::load(Path));
  else {
    std::cerr << "check-config: --role entry, agent or node is needed\n";
    return ExitUsage;
  }

  std::cout << Path << ": ok\n";
  return 0;
}

int explainCommand() {
  std::string Id = absl::GetFlag(FLAGS_request);
  if (Id.empty())
    throw SettingsError("(command line)", 0, "--request", "nothing",
                        "the id of a job");

  for (const std::string &Line : logLinesFor(Id, std::cin))
    std::cout << Line << '\n';
  return 0;
}

int replayCommand() {
  return runReplay({absl::GetFlag(FLAGS_trace), absl::GetFlag(FLAGS_outcomes),
                    absl::GetFlag(FLAGS_entry), absl::GetFlag(FLAGS_executions),
                    absl::GetFlag(FLAGS_saved_executions)});
}

} // namespace

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage(Usage);
  std::vector<char *> Positional = absl::ParseCommandLine(Count, Arguments);
  const std::map<std::string, std::function<int()>> Commands{
      {"entry", runEntryCommand},
      {"agent", runAgentCommand},
      {"fleet-entry",
       [] { return platform::runFleetEntry(loadNodeSettings()); }},
      {"fleet-agent",
       [] { return platform::runFleetAgent(loadNodeSettings()); }},
      {"apply", applyCommand},
      {"config", [] { return showConfig(commandOptions()); }},
      {"status", [] { return showStatus(commandOptions()); }},
      {"record",
       [] {
         return showRecord(commandOptions(), absl::GetFlag(FLAGS_request),
                           absl::GetFlag(FLAGS_caller));
       }},
      {"verify-record", [] { return verifyRecord(commandOptions()); }},
      {"check-config", checkConfigCommand},
      {"explain", explainCommand},
      {"replay", replayCommand}};
  auto Command = Commands.find(Positional.size() == 2 ? Positional[1] : "");
  if (Command == Commands.end()) {
    std::cerr << Usage << '\n';
    return ExitUsage;
  }

  try {
    return Command->second();
  } catch (const SettingsError &Problem) {
    std::cerr << Problem.what() << '\n';
    return ExitUsage;
  } catch (const std::exception &Problem) {
    std::cerr << "daisyspool: " << Problem.what() << '\n';
    return 1;
  }
}
