#include "Record.h"

#include <boost/tokenizer.hpp>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

namespace daisyspool {

namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr const char *SectionSyntax = "[kind name], for example [service plan]";

std::string trimmed(std::string_view Text) {
  const auto Begin = Text.find_first_not_of(" \t\r");
  if (Begin == std::string_view::npos)
    return {};
  return std::string(
      Text.substr(Begin, Text.find_last_not_of(" \t\r") - Begin + 1));
}

/// State of one call of the inih parser. Counts the lines, because the
/// callbacks of inih do not receive line numbers.
struct IniParseState {
  const ConfigFile &Input;
  std::vector<SettingsError> &Errors;
  std::vector<ConfigRecord> Records;
  /// Offset of the next line in the text.
  std::size_t NextOffset = 0;
  int Line = 0;
  /// Whether keys belong to the last record. Section lines are parsed by
  /// readLine(), because inih reports only sections that have keys.
  bool InSection = false;

  void addError(std::string Key, std::string Found, std::string Allowed) {
    Errors.emplace_back(Input.Path, Line, std::move(Key), std::move(Found),
                        std::move(Allowed));
  }
};

void beginSection(IniParseState &State, const std::string &Line) {
  State.InSection = false;
  const auto Close = Line.find(']');
  if (Close == std::string::npos)
    return;
  const std::string Heading = trimmed(Line.substr(1, Close - 1));
  const auto Space = Heading.find(' ');
  const std::string Name =
      Space == std::string::npos ? "" : trimmed(Heading.substr(Space));
  if (Name.empty())
    return State.addError("section", Heading, SectionSyntax);

  State.InSection = true;
  State.Records.push_back({Heading.substr(0, Space),
                           Name,
                           {State.Input.Path, State.Line},
                           {},
                           false});
}

// Copies the next line to inih and counts it. Returns null at the end.
char *readLine(char *Buffer, int Size, void *Stream) {
  auto &State = *static_cast<IniParseState *>(Stream);
  const std::string &Text = State.Input.Text;
  if (State.NextOffset >= Text.size())
    return nullptr;

  ++State.Line;
  const auto End = std::min(Text.find('\n', State.NextOffset), Text.size());
  std::string Line = Text.substr(State.NextOffset, End - State.NextOffset);
  State.NextOffset = End + 1;
  // inih splits a longer line without reporting it.
  if (Line.size() + 2 > static_cast<std::size_t>(Size)) {
    State.addError("line", std::to_string(Line.size()) + " characters",
                   "at most " + std::to_string(Size - 2) + " characters");
    Line.clear();
  }
  // inih appends an indented line to the previous value.
  Line = trimmed(Line);
  if (State.Line == 1 && Line.starts_with(ByteOrderMark))
    Line.erase(0, ByteOrderMark.size());
  if (Line.starts_with("["))
    beginSection(State, Line);

  std::memcpy(Buffer, Line.c_str(), Line.size() + 1);
  return Buffer;
}

// Adds a key to the current section. Returns 1, so that inih continues.
int addKey(void *User, const char *, const char *Key, const char *Value) {
  auto &State = *static_cast<IniParseState *>(User);
  if (State.Records.empty() && !State.InSection)
    State.addError(Key, "a key before any section", SectionSyntax);
  if (!State.InSection)
    return 1;

  const bool IsNew = State.Records.back()
                         .Fields.emplace(Key, RecordField{Value, State.Line})
                         .second;
  if (!IsNew)
    State.addError(Key, "a second value", "one value for each key");
  return 1;
}

// Converts the doubled quotes of RFC 4180 into the escapes that Boost parses.
// Returns an empty string if a quote is not closed.
std::string escapeQuotes(const std::string &Line) {
  std::string Out;
  bool InQuotes = false;
  for (std::size_t Index = 0; Index < Line.size(); ++Index) {
    if (Line[Index] == '\\') {
      Out += "\\\\";
    } else if (InQuotes && Line.compare(Index, 2, "\"\"") == 0) {
      Out += "\\\"";
      ++Index;
    } else {
      InQuotes ^= Line[Index] == '"';
      Out += Line[Index];
    }
  }
  if (InQuotes)
    Out.clear();
  return Out;
}

std::vector<std::string> splitCsv(const std::string &Line) {
  using Separator = boost::escaped_list_separator<char>;
  std::vector<std::string> Cells;
  for (const std::string &Cell :
       boost::tokenizer<Separator>(Line, Separator('\\', ',', '"')))
    Cells.push_back(trimmed(Cell));
  return Cells;
}

ConfigRecord makeRecord(const std::vector<std::string> &Header,
                        const std::vector<std::string> &Cells,
                        const std::string &Kind,
                        const SourceLocation &Location) {
  ConfigRecord Record{Kind, "", Location, {}, true};
  for (std::size_t Column = 0; Column < Header.size(); ++Column) {
    if (Header[Column] == Kind)
      Record.Name = Cells[Column];
    else
      Record.Fields[Header[Column]] = {Cells[Column], Location.Line};
  }
  return Record;
}

} // namespace

std::vector<ConfigRecord> readIni(const ConfigFile &Input,
                                  std::vector<SettingsError> &Errors) {
  IniParseState State{Input, Errors, {}, 0, 0, false};
  const int BadLine = ini_parse_stream(readLine, &State, addKey, &State);
  if (BadLine > 0)
    Errors.emplace_back(Input.Path, BadLine, "line", "no key and value",
                        "[kind name], key = value, or a comment after ; or #");
  return std::move(State.Records);
}

std::vector<ConfigRecord> readCsv(const ConfigFile &Input,
                                  const std::string &Kind,
                                  std::vector<SettingsError> &Errors) {
  std::vector<ConfigRecord> Records;
  std::vector<std::string> Header;
  std::istringstream Lines(Input.Text);
  std::string Line;
  for (int LineNumber = 1; std::getline(Lines, Line); ++LineNumber) {
    if (LineNumber == 1 && Line.starts_with(ByteOrderMark))
      Line.erase(0, ByteOrderMark.size());
    if (trimmed(Line).empty())
      continue;
    const std::string Escaped = escapeQuotes(Line);
    if (Escaped.empty()) {
      Errors.emplace_back(Input.Path, LineNumber, "line", Line,
                          "quotes closed on the same line");
      continue;
    }

    const auto Cells = splitCsv(Escaped);
    if (Header.empty()) {
      Header = Cells;
      if (std::find(Header.begin(), Header.end(), Kind) == Header.end())
        Errors.emplace_back(Input.Path, LineNumber, "header", Line,
                            "a column named " + Kind);
      continue;
    }
    if (Cells.size() != Header.size()) {
      Errors.emplace_back(Input.Path, LineNumber, "line",
                          std::to_string(Cells.size()) + " fields",
                          std::to_string(Header.size()) +
                              " fields, as in the header");
      continue;
    }
    Records.push_back(
        makeRecord(Header, Cells, Kind, {Input.Path, LineNumber}));
  }
  return Records;
}

std::vector<ConfigFile> readConfigDirectory(const std::string &Directory) {
  std::vector<ConfigFile> Files;
  for (const char *Name :
       {"inventory.ini", "rules.ini", "vms.csv", "jobs.csv"}) {
    const std::string Path = Directory + "/" + Name;
    std::ifstream File(Path, std::ios::binary);
    std::ostringstream Text;
    Text << File.rdbuf();
    if (!File)
      throw SettingsError(Path, 0, "file", "unreadable", "a readable file");
    Files.push_back({Path, Text.str()});
  }
  return Files;
}

} // namespace daisyspool
