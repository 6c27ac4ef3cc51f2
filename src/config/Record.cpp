#include "Record.h"

#include <charconv>
#include <cmath>
#include <filesystem>
#include <functional>
#include <set>
#include <sstream>
#include <system_error>

namespace daisyspool {

namespace {

constexpr std::uint32_t MaxCount = 1000000;
constexpr double MaxCores = 1024;
constexpr double MaxGigabytes = 65536;
constexpr double MebiBytesPerGigabyte = 1024;
constexpr std::uint32_t MaxRuntimeSeconds = 30 * 24 * 3600;

/// Reads the fields of one record and notes each mistake.
class RecordReader {
public:
  RecordReader(ConfigRecord &From, std::vector<SettingsError> &Mistakes)
      : From(From), Mistakes(Mistakes) {}

  std::string text(const std::string &Key) {
    const RecordField *Field = find(Key);
    if (!Field || Field->Value.empty()) {
      mistake(Key, Field ? "" : "no such field", "a non-empty value");
      return {};
    }
    return Field->Value;
  }

  std::uint32_t number(const std::string &Key, std::uint32_t Least,
                       std::uint32_t Most) {
    const std::string Text = text(Key);
    std::uint32_t Value = 0;
    if (!whole(Text, Value) || Value < Least || Value > Most)
      if (!Text.empty())
        mistake(Key, Text,
                "a whole number from " + std::to_string(Least) + " to " +
                    std::to_string(Most));
    return Value;
  }

  std::uint32_t numberOr(const std::string &Key, std::uint32_t Otherwise,
                         std::uint32_t Most) {
    return find(Key) ? number(Key, 0, Most) : Otherwise;
  }

  /// A decimal that is a whole multiple of 1 / \p Scale.
  std::int64_t scaled(const std::string &Key, double Scale, double Most) {
    const std::string Text = text(Key);
    double Value = 0;
    const auto [End, Failure] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    const bool Parsed =
        Failure == std::errc() && End == Text.data() + Text.size();
    const double Units = Value * Scale;
    if (!Parsed || Value < 0 || Value > Most || Units != std::floor(Units)) {
      if (!Text.empty())
        mistake(Key, Text,
                "a number from 0 to " + std::to_string(static_cast<int>(Most)) +
                    " in steps of 1/" +
                    std::to_string(static_cast<int>(Scale)));
      return 0;
    }
    return static_cast<std::int64_t>(Units);
  }

  Resources resources(const std::string &Prefix) {
    return {MilliCores(scaled(Prefix + "cores", 1000, MaxCores * MaxCount)),
            MebiBytes(scaled(Prefix + "memory_gb", MebiBytesPerGigabyte,
                             MaxGigabytes * MaxCount / 1000)),
            Accelerators(number(Prefix + "accelerators", 0, MaxCount))};
  }

  std::vector<std::string> list(const std::string &Key) {
    std::vector<std::string> Items;
    const RecordField *Field = find(Key);
    if (!Field)
      return Items;
    std::istringstream Text(Field->Value);
    std::string Item;
    while (std::getline(Text, Item, ',')) {
      const auto Begin = Item.find_first_not_of(' ');
      if (Begin != std::string::npos)
        Items.push_back(
            Item.substr(Begin, Item.find_last_not_of(' ') - Begin + 1));
    }
    return Items;
  }

  VmState vmState(const std::string &Key) {
    const std::string Text = text(Key);
    if (Text == "active" || Text.empty())
      return VmState::Active;
    if (Text == "draining")
      return VmState::Draining;
    if (Text != "drained")
      mistake(Key, Text, "active, draining or drained");
    return VmState::Drained;
  }

  void mistake(const std::string &Key, const std::string &Found,
               const std::string &Allowed) {
    const RecordField *Field = find(Key);
    Mistakes.emplace_back(From.Place.File,
                          Field ? Field->Line : From.Place.Line, Key, Found,
                          Allowed);
  }

  /// Reports fields that nothing read, or drops them where they are allowed.
  void finish() {
    for (auto Field = From.Fields.begin(); Field != From.Fields.end();) {
      if (Used.count(Field->first)) {
        ++Field;
        continue;
      }
      if (!From.MayHaveOthers) {
        std::string Allowed;
        for (const std::string &Key : Used)
          Allowed += (Allowed.empty() ? "" : ", ") + Key;
        mistake(Field->first, "unknown key", Allowed);
      }
      Field = From.Fields.erase(Field);
    }
  }

private:
  const RecordField *find(const std::string &Key) {
    Used.insert(Key);
    const auto Found = From.Fields.find(Key);
    return Found == From.Fields.end() ? nullptr : &Found->second;
  }

  static bool whole(const std::string &Text, std::uint32_t &Value) {
    const char *End = Text.data() + Text.size();
    const auto Result = std::from_chars(Text.data(), End, Value);
    return Result.ec == std::errc() && Result.ptr == End;
  }

  ConfigRecord &From;
  std::vector<SettingsError> &Mistakes;
  std::set<std::string> Used;
};

void readVm(const ConfigRecord &From, RecordReader &Fields, Inventory &Into) {
  VmRecord Vm;
  Vm.Id = VmId(From.Name);
  Vm.Region = RegionId(Fields.text("region"));
  Vm.FailureDomain = FailureDomainId(Fields.text("failure_domain"));
  Vm.Rack = RackId(Fields.text("rack"));
  Vm.Capacity = Fields.resources("");
  Vm.State = Fields.vmState("state");
  Vm.Place = From.Place;
  Into.Vms.push_back(std::move(Vm));
}

void readService(const ConfigRecord &From, RecordReader &Fields,
                 Inventory &Into) {
  ServiceRecord Service;
  Service.Id = ServiceId(From.Name);
  Service.Team = TeamId(Fields.text("team"));
  Service.Workers = Fields.number("workers", 1, MaxCount);
  Service.Slots = Fields.number("slots", 1, MaxCount);
  Service.Connections = Fields.number("connections", 1, MaxCount);
  Service.Need = Fields.resources("");
  Service.Place = From.Place;
  Into.Services.push_back(std::move(Service));
}

void readJob(const ConfigRecord &From, RecordReader &Fields, Inventory &Into) {
  JobRecord Job;
  Job.Id = JobId(From.Name);
  Job.Team = TeamId(Fields.text("team"));
  Job.Tasks = Fields.number("tasks", 1, MaxCount);
  Job.Need = Fields.resources("");
  Job.MaxRuntime = std::chrono::seconds(
      Fields.number("max_runtime_s", 1, MaxRuntimeSeconds));
  Job.Command = Fields.text("command");
  Job.Place = From.Place;
  Into.Jobs.push_back(std::move(Job));
}

void readTeam(const ConfigRecord &From, RecordReader &Fields, Inventory &Into) {
  TeamRule Team;
  Team.Id = TeamId(From.Name);
  Team.Quota = Fields.resources("quota_");
  Team.Weight = Fields.numberOr("weight", 1, 1000);
  Team.Place = From.Place;
  Into.Teams.push_back(std::move(Team));
}

void readClass(const ConfigRecord &From, RecordReader &Fields,
               Inventory &Into) {
  static const std::set<std::string> Known{"urgent", "session", "standard",
                                           "batch"};
  if (!Known.count(From.Name))
    Fields.mistake("class", From.Name, "urgent, session, standard or batch");
  Into.Classes.push_back(
      {From.Name, Fields.number("share_percent", 0, 100), From.Place});
}

void readPlacement(const ConfigRecord &From, RecordReader &Fields,
                   Inventory &Into) {
  PlacementRule Rule;
  Rule.Subject = From.Name;
  for (std::string &Domain : Fields.list("failure_domains"))
    Rule.FailureDomains.emplace_back(std::move(Domain));
  Rule.MaxPerRack = Fields.numberOr("max_per_rack", 0, MaxCount);
  Rule.Place = From.Place;
  Into.Placements.push_back(std::move(Rule));
}

void readDeployment(const ConfigRecord &From, RecordReader &Fields,
                    Inventory &Into) {
  if (!Into.Deployment.empty())
    Fields.mistake("deployment", From.Name, "one deployment");
  Into.Deployment = From.Name;
}

using KindReader = void (*)(const ConfigRecord &, RecordReader &, Inventory &);

const std::map<std::string, KindReader> &kindReaders() {
  static const std::map<std::string, KindReader> Readers{
      {"vm", readVm},
      {"service", readService},
      {"job", readJob},
      {"team", readTeam},
      {"class", readClass},
      {"placement", readPlacement},
      {"deployment", readDeployment}};
  return Readers;
}

std::string entryText(const ConfigRecord &Record) {
  std::string Text;
  for (const auto &[Key, Field] : Record.Fields)
    Text += Key + "=" + Field.Value + "\n";
  return Text;
}

ConfigRecord recordOf(const std::string &Key, const std::string &Text,
                      const std::string &File) {
  const auto Slash = Key.find('/');
  ConfigRecord Record{Key.substr(0, Slash),
                      Slash == std::string::npos ? "" : Key.substr(Slash + 1),
                      {File, 0},
                      {},
                      false};
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    const auto Equals = Line.find('=');
    if (Equals != std::string::npos)
      Record.Fields[Line.substr(0, Equals)] = {Line.substr(Equals + 1), 0};
  }
  return Record;
}

} // namespace

void readRecords(std::vector<ConfigRecord> &Records, Inventory &Into,
                 std::vector<SettingsError> &Mistakes) {
  std::set<std::string> Seen;
  for (ConfigRecord &Record : Records) {
    RecordReader Fields(Record, Mistakes);
    const auto Kind = kindReaders().find(Record.Kind);
    if (Kind == kindReaders().end()) {
      Fields.mistake("section", Record.Kind,
                     "vm, service, job, team, class, placement or deployment");
      continue;
    }
    if (Record.Name.empty())
      Fields.mistake(Record.Kind, "", "a name");
    if (!Seen.insert(Record.Kind + "/" + Record.Name).second)
      Fields.mistake(Record.Kind, Record.Name, "each name once");

    Kind->second(Record, Fields, Into);
    Fields.finish();
  }
}

ParsedConfig parseConfigFiles(const std::vector<NamedText> &Files) {
  ParsedConfig Parsed;
  std::vector<ConfigRecord> Records;
  for (const NamedText &File : Files) {
    const auto Name = std::filesystem::path(File.File).filename().string();
    std::vector<ConfigRecord> Read;
    if (Name == "vms.csv")
      Read = readCsv(File, "vm", Parsed.Mistakes);
    else if (Name == "jobs.csv")
      Read = readCsv(File, "job", Parsed.Mistakes);
    else if (Name.ends_with(".ini"))
      Read = readIni(File, Parsed.Mistakes);
    else
      Parsed.Mistakes.emplace_back(
          File.File, 0, "file", Name,
          "inventory.ini, rules.ini, vms.csv and jobs.csv");
    std::move(Read.begin(), Read.end(), std::back_inserter(Records));
  }

  readRecords(Records, Parsed.Content, Parsed.Mistakes);
  for (const ConfigRecord &Record : Records)
    Parsed.Entries[Record.Kind + "/" + Record.Name] = entryText(Record);
  return Parsed;
}

ParsedConfig parseDocument(const ConfigDocument &Document) {
  ParsedConfig Parsed;
  Parsed.Entries = Document.entries();
  const std::string File =
      "version " + std::to_string(Document.version().value());
  std::vector<ConfigRecord> Records;
  for (const auto &[Key, Text] : Document.entries())
    Records.push_back(recordOf(Key, Text, File));
  readRecords(Records, Parsed.Content, Parsed.Mistakes);
  return Parsed;
}

} // namespace daisyspool
