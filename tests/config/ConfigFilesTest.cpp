#include "daisyspool/config/ConfigFiles.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace daisyspool;

namespace {

const std::string Deploy = std::string(DAISYSPOOL_SOURCE_DIR) + "/deploy/";

std::vector<ConfigFile> voicematchFiles() {
  return readConfigDirectory(Deploy + "voicematch");
}

std::string replaceFirst(std::string Text, const std::string &From,
                         const std::string &To) {
  const auto At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

/// Parses the voicematch deployment after replacing \p From by \p To in the
/// file with index \p Index.
ParsedConfig parseWith(std::size_t Index, const std::string &From,
                       const std::string &To) {
  auto Files = voicematchFiles();
  Files[Index].Text = replaceFirst(Files[Index].Text, From, To);
  return parseConfigFiles(Files);
}

/// Whether an error is reported at this file, line and key.
bool hasError(const std::vector<SettingsError> &Errors, const std::string &File,
              int Line, const std::string &Key) {
  return std::any_of(Errors.begin(), Errors.end(),
                     [&](const SettingsError &Each) {
                       return Each.file().ends_with(File) &&
                              Each.line() == Line && Each.key() == Key;
                     });
}

constexpr std::size_t InventoryIni = 0;
constexpr std::size_t RulesIni = 1;
constexpr std::size_t VmsCsv = 2;
constexpr std::size_t JobsCsv = 3;

} // namespace

// Guards against a deployment that does not load, or whose VMs have other sizes
// than its documentation states.
TEST_CASE("the inventories of both deployments are valid") {
  const auto Name =
      GENERATE(std::string("voicematch"), std::string("schulwegdienst"));
  const auto Parsed = parseConfigFiles(readConfigDirectory(Deploy + Name));
  REQUIRE(Parsed.Errors.empty());
  REQUIRE(validate(Parsed.Content, nullptr).empty());
  REQUIRE(Parsed.Content.Deployment == Name);
  REQUIRE(Parsed.Content.Vms.size() == 11);
  const bool IsVoicematch = Name == "voicematch";
  for (const VmRecord &Vm : Parsed.Content.Vms)
    REQUIRE(Vm.Capacity == Resources{MilliCores(IsVoicematch ? 16000 : 32000),
                                     MebiBytes(IsVoicematch ? 64000 : 128000),
                                     Accelerators(0)});

  const auto Reparsed = parseDocument(ConfigDocument({}, Parsed.Entries));
  REQUIRE(Reparsed.Errors.empty());
  REQUIRE(Reparsed.Content.Vms.size() == 11);
  REQUIRE(Reparsed.Content.Placements.front().FailureDomains ==
          Parsed.Content.Placements.front().FailureDomains);
}

// Guards against errors in the operator's files that are not reported, or
// reported at another location.
TEST_CASE("each error has its file, line and key") {
  using Case = std::tuple<std::size_t, std::string, std::string, std::string,
                          int, std::string>;
  const auto [Index, From, To, File, Line, Key] = GENERATE(
      Case{InventoryIni, "slots = 8", "slots = -8", "inventory.ini", 8,
           "slots"},
      Case{InventoryIni, "slots = 8", "slot = 8", "inventory.ini", 8, "slot"},
      Case{InventoryIni, "slots = 8", "slots = 8\nslots = 9", "inventory.ini",
           9, "slots"},
      Case{InventoryIni, "slots = 8", "slots 8", "inventory.ini", 8, "line"},
      Case{InventoryIni, "slots = 8", "slots = 8" + std::string(300, '0'),
           "inventory.ini", 8, "line"},
      Case{InventoryIni, "memory_gb = 24", "memory_gb = nan", "inventory.ini",
           11, "memory_gb"},
      Case{InventoryIni, "[service castmatch]", "[service]", "inventory.ini", 5,
           "section"},
      Case{RulesIni, "[class session]", "[class sesion]", "rules.ini", 4,
           "class"},
      Case{RulesIni, "[class session]", "[klass session]", "rules.ini", 4,
           "section"},
      Case{RulesIni, "[class session]", "[class urgent]", "rules.ini", 4,
           "class"},
      Case{VmsCsv, "sk-w02,prairie", "sk-w02,\"prairie", "vms.csv", 3, "line"},
      Case{VmsCsv, "sk-w02,prairie", "sk-w02", "vms.csv", 3, "line"},
      Case{VmsCsv, "sk-w02,prairie", "sk-w02,", "vms.csv", 3, "region"},
      Case{VmsCsv, "sk-w02,prairie", "sk-w01,prairie", "vms.csv", 3, "vm"},
      Case{VmsCsv, "62.5,0,active", "62.5,0,retired", "vms.csv", 2, "state"},
      Case{VmsCsv, "asset,vm", "asset,machine", "vms.csv", 1, "header"},
      Case{JobsCsv, "profiles,22", "profiles,2e1", "jobs.csv", 2, "tasks"});

  const auto Parsed = parseWith(Index, From, To);
  CAPTURE(To);
  REQUIRE(hasError(Parsed.Errors, File, Line, Key));
}

// Guards against quotes, backslashes, carriage returns or a byte order mark in
// the export of an asset register that change a value.
TEST_CASE("quoted fields, carriage returns and a byte order mark are read") {
  auto Files = voicematchFiles();
  Files[JobsCsv].Text =
      "\xef\xbb\xbf" + replaceFirst(Files[JobsCsv].Text,
                                    "\"rebuild-profiles --all\"",
                                    "\"run \"\"a,b\"\" c\\d\"\r");
  const auto Parsed = parseConfigFiles(Files);
  REQUIRE(Parsed.Errors.empty());
  REQUIRE(Parsed.Content.Jobs.front().Command == "run \"a,b\" c\\d");
}

// Guards against accepting a configuration that the fleet cannot satisfy.
TEST_CASE("rules that cannot be satisfied are reported at their location") {
  using Case = std::tuple<std::size_t, std::string, std::string, std::string,
                          int, std::string>;
  const auto [Index, From, To, File, Line, Key] = GENERATE(
      Case{InventoryIni, "workers = 11", "workers = 12", "rules.ini", 24,
           "workers"},
      Case{InventoryIni, "\ncores = 8", "\ncores = 17", "rules.ini", 24,
           "workers"},
      Case{RulesIni, "max_per_rack = 3", "max_per_rack = 2", "rules.ini", 24,
           "workers"},
      Case{RulesIni, "regina, winnipeg", "calgary", "rules.ini", 24,
           "failure_domains"},
      Case{RulesIni, "[placement castmatch]", "[placement castmach]",
           "rules.ini", 24, "placement"},
      Case{RulesIni, "quota_cores = 48", "quota_cores = 49", "rules.ini", 18,
           "quota"},
      Case{RulesIni, "share_percent = 50", "share_percent = 51", "rules.ini", 8,
           "share_percent"},
      Case{JobsCsv, "profiles,22,4", "profiles,22,20", "jobs.csv", 2, "job"},
      Case{JobsCsv, "profiles,22", "nobody,22", "jobs.csv", 2, "team"},
      Case{VmsCsv, "saskatoon,saskatoon-r2", "regina,saskatoon-r1", "vms.csv",
           5, "failure_domain"});

  const auto Parsed = parseWith(Index, From, To);
  CAPTURE(To);
  REQUIRE(Parsed.Errors.empty());
  REQUIRE(hasError(validate(Parsed.Content, nullptr), File, Line, Key));
}

// Guards against a fleet without spare VMs in which no VM can be drained,
// because a draining VM is not counted as capacity.
TEST_CASE("a VM may be drained even if every VM is needed") {
  const auto Parsed = parseWith(VmsCsv, "62.5,0,active", "62.5,0,draining");
  REQUIRE(Parsed.Errors.empty());
  REQUIRE(validate(Parsed.Content, nullptr).empty());
}

// Guards against removing a VM from the inventory while work runs on it.
TEST_CASE("a VM is removed only after it was drained") {
  const auto Before = parseConfigFiles(voicematchFiles());
  auto After = Before.Content;
  After.Vms.pop_back();
  After.Services.front().Workers = 10;
  for (TeamRule &Team : After.Teams)
    Team.Quota = {MilliCores(1000 * 40), MebiBytes(1024 * 100),
                  Accelerators(0)};
  REQUIRE(hasError(validate(After, &Before.Content), "vms.csv", 12, "vm"));

  auto Drained = Before.Content;
  Drained.Vms.back().State = VmState::Drained;
  REQUIRE(validate(After, &Drained).empty());
}
