#include "daisyspool/settings/IniFile.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

namespace daisyspool {

namespace {

/// State of one parse. inih requests one line at a time, so counting the
/// requests gives the line number, which inih does not pass to its callback.
struct ParseState {
  std::istringstream Input;
  std::vector<IniEntry> Entries;
  std::string LongLine;
  int Line = 0;
};

char *readLine(char *Buffer, int Size, void *Stream) {
  auto *State = static_cast<ParseState *>(Stream);
  std::string Line;
  if (!std::getline(State->Input, Line))
    return nullptr;

  ++State->Line;
  if (Line.size() + 1 >= static_cast<std::size_t>(Size)) {
    State->LongLine = Line.substr(0, 40);
    return nullptr;
  }
  std::memcpy(Buffer, Line.c_str(), Line.size() + 1);
  return Buffer;
}

int addEntry(void *User, const char *Section, const char *Key,
             const char *Value) {
  auto *State = static_cast<ParseState *>(User);
  State->Entries.push_back({Section, Key, Value, State->Line});
  return 1;
}

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;

  return Value;
}

std::optional<Millis> parseDuration(std::string_view Text) {
  std::size_t UnitAt = Text.find_first_not_of("0123456789");
  if (UnitAt == std::string_view::npos)
    return std::nullopt;
  auto Number = parseInteger(Text.substr(0, UnitAt));
  if (!Number || *Number > 1000000000)
    return std::nullopt;

  std::string_view Unit = Text.substr(UnitAt);
  if (Unit == "ms")
    return Millis(*Number);
  if (Unit == "s")
    return Millis(*Number * 1000);
  if (Unit == "min")
    return Millis(*Number * 60000);
  return std::nullopt;
}

std::string toText(Millis Value) {
  return std::to_string(Value.count()) + "ms";
}

} // namespace

IniFile IniFile::parse(std::string Name, const std::string &Text) {
  IniFile File(std::move(Name));
  ParseState State;
  State.Input.str(Text);
  int BadLine = ini_parse_stream(readLine, &State, addEntry, &State);
  if (!State.LongLine.empty())
    throw SettingsError(File.Name, State.Line, "(line)", State.LongLine + "...",
                        "at most 198 characters");
  if (BadLine != 0)
    throw SettingsError(File.Name, BadLine, "(line)", "a malformed line",
                        "[section], key = value, or a comment after ';'");

  for (auto Entry = State.Entries.begin(); Entry != State.Entries.end();
       ++Entry) {
    bool IsDuplicate =
        std::any_of(State.Entries.begin(), Entry, [&](const IniEntry &Earlier) {
          return Earlier.Section == Entry->Section && Earlier.Key == Entry->Key;
        });
    if (IsDuplicate)
      throw SettingsError(File.Name, Entry->Line, Entry->Key, Entry->Value,
                          "each key at most once in a section");
  }
  File.Entries = std::move(State.Entries);
  return File;
}

IniFile IniFile::load(const std::string &Path) {
  std::ifstream Input(Path);
  if (!Input)
    throw SettingsError(Path, 0, "(file)", "cannot be read",
                        "a readable INI file");

  std::ostringstream Text;
  Text << Input.rdbuf();
  return parse(Path, Text.str());
}

const IniEntry *IniFile::findEntry(std::string_view Section,
                                   std::string_view Key) const {
  auto Found =
      std::find_if(Entries.begin(), Entries.end(), [&](const IniEntry &Each) {
        return Each.Section == Section && Each.Key == Key;
      });
  return Found == Entries.end() ? nullptr : &*Found;
}

const IniEntry *IniFile::readEntry(std::string_view Section,
                                   std::string_view Key) {
  const IniEntry *Entry = findEntry(Section, Key);
  if (Entry != nullptr)
    ReadLines.insert(Entry->Line);

  return Entry;
}

bool IniFile::has(std::string_view Section, std::string_view Key) const {
  return findEntry(Section, Key) != nullptr;
}

void IniFile::fail(std::string_view Section, std::string_view Key,
                   const std::string &Allowed) const {
  const IniEntry *Entry = findEntry(Section, Key);
  std::string QualifiedKey =
      "[" + std::string(Section) + "] " + std::string(Key);
  if (Entry == nullptr)
    throw SettingsError(Name, 0, QualifiedKey, "nothing", Allowed);

  throw SettingsError(Name, Entry->Line, QualifiedKey, Entry->Value, Allowed);
}

std::string IniFile::text(std::string_view Section, std::string_view Key) {
  const IniEntry *Entry = readEntry(Section, Key);
  if (Entry == nullptr || Entry->Value.empty())
    fail(Section, Key, "a text that is not empty");

  return Entry->Value;
}

std::string IniFile::textOr(std::string_view Section, std::string_view Key,
                            std::string Default) {
  return has(Section, Key) ? text(Section, Key) : std::move(Default);
}

http::Endpoint IniFile::endpoint(std::string_view Section,
                                 std::string_view Key) {
  const IniEntry *Entry = readEntry(Section, Key);
  auto Parsed =
      Entry == nullptr ? std::nullopt : http::parseEndpoint(Entry->Value);
  if (!Parsed)
    fail(Section, Key, "IP address and port, for example 127.0.0.1:8080");

  return *Parsed;
}

std::int64_t IniFile::integerOr(std::string_view Section, std::string_view Key,
                                std::int64_t Default, std::int64_t Min,
                                std::int64_t Max) {
  const IniEntry *Entry = readEntry(Section, Key);
  if (Entry == nullptr)
    return Default;

  auto Value = parseInteger(Entry->Value);
  if (!Value || *Value < Min || *Value > Max)
    fail(Section, Key,
         "an integer from " + std::to_string(Min) + " to " +
             std::to_string(Max));

  return *Value;
}

Millis IniFile::durationOr(std::string_view Section, std::string_view Key,
                           Millis Default, Millis Min, Millis Max) {
  const IniEntry *Entry = readEntry(Section, Key);
  if (Entry == nullptr)
    return Default;

  auto Value = parseDuration(Entry->Value);
  if (!Value || *Value < Min || *Value > Max)
    fail(Section, Key,
         "a duration in ms, s or min from " + toText(Min) + " to " +
             toText(Max));

  return *Value;
}

bool IniFile::flagOr(std::string_view Section, std::string_view Key,
                     bool Default) {
  const IniEntry *Entry = readEntry(Section, Key);
  if (Entry == nullptr)
    return Default;
  if (Entry->Value != "yes" && Entry->Value != "no")
    fail(Section, Key, "yes or no");

  return Entry->Value == "yes";
}

void IniFile::rejectUnread() const {
  for (const IniEntry &Entry : Entries)
    if (!ReadLines.contains(Entry.Line))
      throw SettingsError(Name, Entry.Line,
                          "[" + Entry.Section + "] " + Entry.Key, Entry.Value,
                          "a key that is defined for this kind of file");
}

} // namespace daisyspool
