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

/// Parses the fields of one record and reports each error.
class RecordParser {
public:
  RecordParser(ConfigRecord &From, std::vector<SettingsError> &Errors)
      : From(From), Errors(Errors) {}

  std::string text(const std::string &Key) {
    const RecordField *Field = find(Key);
    if (!Field || Field->Value.empty()) {
      addError(Key, Field ? "" : "no such field", "a non-empty value");
      return {};
    }
    return Field->Value;
  }

  std::uint32_t number(const std::string &Key, std::uint32_t Min,
                       std::uint32_t Max) {
    const std::string Text = text(Key);
    std::uint32_t Value = 0;
    if (!parseUnsigned(Text, Value) || Value < Min || Value > Max)
      if (!Text.empty())
        addError(Key, Text,
                 "a whole number from " + std::to_string(Min) + " to " +
                     std::to_string(Max));
    return Value;
  }

  std::uint32_t optionalNumber(const std::string &Key, std::uint32_t Default,
                               std::uint32_t Max) {
    return find(Key) ? number(Key, 0, Max) : Default;
  }

  /// Parses a decimal number that is a multiple of 1 / \p Scale. Returns it
  /// multiplied by \p Scale.
  std::int64_t scaled(const std::string &Key, double Scale, double Max) {
    const std::string Text = text(Key);
    double Value = 0;
    const auto [End, Failure] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    const bool IsNumber =
        Failure == std::errc() && End == Text.data() + Text.size();
    const double Units = Value * Scale;
    if (!IsNumber || Value < 0 || Value > Max || Units != std::floor(Units)) {
      if (!Text.empty())
        addError(Key, Text,
                 "a number from 0 to " + std::to_string(static_cast<int>(Max)) +
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
      addError(Key, Text, "active, draining or drained");
    return VmState::Drained;
  }

  void addError(const std::string &Key, const std::string &Found,
                const std::string &Allowed) {
    const RecordField *Field = find(Key);
    Errors.emplace_back(From.Location.File,
                        Field ? Field->Line : From.Location.Line, Key, Found,
                        Allowed);
  }

  /// Removes the fields that were not parsed, and reports them unless the
  /// record ignores unknown fields.
  void removeUnknownFields() {
    for (auto Field = From.Fields.begin(); Field != From.Fields.end();) {
      if (KnownKeys.count(Field->first)) {
        ++Field;
        continue;
      }
      if (!From.IgnoresUnknownFields) {
        std::string Allowed;
        for (const std::string &Key : KnownKeys)
          Allowed += (Allowed.empty() ? "" : ", ") + Key;
        addError(Field->first, "unknown key", Allowed);
      }
      Field = From.Fields.erase(Field);
    }
  }

private:
  const RecordField *find(const std::string &Key) {
    KnownKeys.insert(Key);
    const auto Found = From.Fields.find(Key);
    return Found == From.Fields.end() ? nullptr : &Found->second;
  }

  static bool parseUnsigned(const std::string &Text, std::uint32_t &Value) {
    const char *End = Text.data() + Text.size();
    const auto Result = std::from_chars(Text.data(), End, Value);
    return Result.ec == std::errc() && Result.ptr == End;
  }

  ConfigRecord &From;
  std::vector<SettingsError> &Errors;
  std::set<std::string> KnownKeys;
};

void parseVm(const ConfigRecord &From, RecordParser &Fields,
             Inventory &Result) {
  VmRecord Vm;
  Vm.Id = VmId(From.Name);
  Vm.Region = RegionId(Fields.text("region"));
  Vm.FailureDomain = FailureDomainId(Fields.text("failure_domain"));
  Vm.Rack = RackId(Fields.text("rack"));
  Vm.Capacity = Fields.resources("");
  Vm.State = Fields.vmState("state");
  Vm.Location = From.Location;
  Result.Vms.push_back(std::move(Vm));
}

void parseService(const ConfigRecord &From, RecordParser &Fields,
                  Inventory &Result) {
  ServiceRecord Service;
  Service.Id = ServiceId(From.Name);
  Service.Team = TeamId(Fields.text("team"));
  Service.Workers = Fields.number("workers", 1, MaxCount);
  Service.Slots = Fields.number("slots", 1, MaxCount);
  Service.Connections = Fields.number("connections", 1, MaxCount);
  Service.Need = Fields.resources("");
  Service.Location = From.Location;
  Result.Services.push_back(std::move(Service));
}

void parseJob(const ConfigRecord &From, RecordParser &Fields,
              Inventory &Result) {
  JobRecord Job;
  Job.Id = JobId(From.Name);
  Job.Team = TeamId(Fields.text("team"));
  Job.Tasks = Fields.number("tasks", 1, MaxCount);
  Job.Need = Fields.resources("");
  Job.MaxRuntime = std::chrono::seconds(
      Fields.number("max_runtime_s", 1, MaxRuntimeSeconds));
  Job.Command = Fields.text("command");
  Job.Location = From.Location;
  Result.Jobs.push_back(std::move(Job));
}

void parseTeam(const ConfigRecord &From, RecordParser &Fields,
               Inventory &Result) {
  TeamRule Team;
  Team.Id = TeamId(From.Name);
  Team.Quota = Fields.resources("quota_");
  Team.Weight = Fields.optionalNumber("weight", 1, 1000);
  Team.Location = From.Location;
  Result.Teams.push_back(std::move(Team));
}

void parseClass(const ConfigRecord &From, RecordParser &Fields,
                Inventory &Result) {
  static const std::set<std::string> KnownClasses{"urgent", "session",
                                                  "standard", "batch"};
  if (!KnownClasses.count(From.Name))
    Fields.addError("class", From.Name, "urgent, session, standard or batch");
  Result.Classes.push_back(
      {From.Name, Fields.number("share_percent", 0, 100), From.Location});
}

void parsePlacement(const ConfigRecord &From, RecordParser &Fields,
                    Inventory &Result) {
  PlacementRule Rule;
  Rule.Subject = From.Name;
  for (std::string &Domain : Fields.list("failure_domains"))
    Rule.FailureDomains.emplace_back(std::move(Domain));
  Rule.MaxPerRack = Fields.optionalNumber("max_per_rack", 0, MaxCount);
  Rule.Location = From.Location;
  Result.Placements.push_back(std::move(Rule));
}

void parseDeployment(const ConfigRecord &From, RecordParser &Fields,
                     Inventory &Result) {
  if (!Result.Deployment.empty())
    Fields.addError("deployment", From.Name, "one deployment");
  Result.Deployment = From.Name;
}

using KindParser = void (*)(const ConfigRecord &, RecordParser &, Inventory &);

const std::map<std::string, KindParser> &kindParsers() {
  static const std::map<std::string, KindParser> Parsers{
      {"vm", parseVm},
      {"service", parseService},
      {"job", parseJob},
      {"team", parseTeam},
      {"class", parseClass},
      {"placement", parsePlacement},
      {"deployment", parseDeployment}};
  return Parsers;
}

std::string formatEntry(const ConfigRecord &Record) {
  std::string Text;
  for (const auto &[Key, Field] : Record.Fields)
    Text += Key + "=" + Field.Value + "\n";
  return Text;
}

ConfigRecord parseEntry(const std::string &Key, const std::string &Text,
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

void parseRecords(std::vector<ConfigRecord> &Records, Inventory &Result,
                  std::vector<SettingsError> &Errors) {
  std::set<std::string> SeenKeys;
  for (ConfigRecord &Record : Records) {
    RecordParser Fields(Record, Errors);
    const auto Kind = kindParsers().find(Record.Kind);
    if (Kind == kindParsers().end()) {
      Fields.addError("section", Record.Kind,
                      "vm, service, job, team, class, placement or deployment");
      continue;
    }
    if (Record.Name.empty())
      Fields.addError(Record.Kind, "", "a name");
    if (!SeenKeys.insert(Record.Kind + "/" + Record.Name).second)
      Fields.addError(Record.Kind, Record.Name, "each name once");

    Kind->second(Record, Fields, Result);
    Fields.removeUnknownFields();
  }
}

ParsedConfig parseConfigFiles(const std::vector<ConfigFile> &Files) {
  ParsedConfig Parsed;
  std::vector<ConfigRecord> Records;
  for (const ConfigFile &File : Files) {
    const auto Name = std::filesystem::path(File.Path).filename().string();
    std::vector<ConfigRecord> FileRecords;
    if (Name == "vms.csv")
      FileRecords = readCsv(File, "vm", Parsed.Errors);
    else if (Name == "jobs.csv")
      FileRecords = readCsv(File, "job", Parsed.Errors);
    else if (Name.ends_with(".ini"))
      FileRecords = readIni(File, Parsed.Errors);
    else
      Parsed.Errors.emplace_back(
          File.Path, 0, "file", Name,
          "inventory.ini, rules.ini, vms.csv and jobs.csv");
    std::move(FileRecords.begin(), FileRecords.end(),
              std::back_inserter(Records));
  }

  parseRecords(Records, Parsed.Content, Parsed.Errors);
  for (const ConfigRecord &Record : Records)
    Parsed.Entries[Record.Kind + "/" + Record.Name] = formatEntry(Record);
  return Parsed;
}

ParsedConfig parseDocument(const ConfigDocument &Document) {
  ParsedConfig Parsed;
  Parsed.Entries = Document.entries();
  const std::string File =
      "version " + std::to_string(Document.version().value());
  std::vector<ConfigRecord> Records;
  for (const auto &[Key, Text] : Document.entries())
    Records.push_back(parseEntry(Key, Text, File));
  parseRecords(Records, Parsed.Content, Parsed.Errors);
  return Parsed;
}

} // namespace daisyspool
