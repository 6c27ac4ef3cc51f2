// Runs one seeded soak test with faults against real processes; see
// docs/soak.md.
#include "SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, program, "build/daisyspool", "the binary under test");
ABSL_FLAG(std::string, folder, "/tmp/daisyspool-soak",
          "folder for the settings and logs of the run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and callers");
ABSL_FLAG(std::size_t, entries, 3, "entry processes");
ABSL_FLAG(std::size_t, agents, 4,
          "number of agent processes, each with a worker");
ABSL_FLAG(int, traffic_s, 12,
          "seconds in which jobs are submitted and faults injected");

int main(int Count, char **Arguments) {
  using namespace daisyspool;
  absl::SetProgramUsageMessage("fleet_soak [--seed N]");
  absl::ParseCommandLine(Count, Arguments);
  try {
    soak::SoakOptions Options;
    Options.Program = absl::GetFlag(FLAGS_program);
    Options.Seed = absl::GetFlag(FLAGS_seed);
    Options.Folder = std::filesystem::path(absl::GetFlag(FLAGS_folder)) /
                     std::to_string(Options.Seed);
    Options.Entries = absl::GetFlag(FLAGS_entries);
    Options.Agents = absl::GetFlag(FLAGS_agents);
    Options.Traffic = std::chrono::seconds(absl::GetFlag(FLAGS_traffic_s));
    auto Failures = soak::SoakRun(Options).run();
    for (const std::string &Each : Failures)
      std::cout << "  " << Each << '\n';
    return Failures.empty() ? 0 : 1;
  } catch (const std::exception &Problem) {
    std::cerr << "fleet_soak: " << Problem.what() << '\n';
    return 2;
  }
}
