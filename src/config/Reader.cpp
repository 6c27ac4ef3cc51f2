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
constexpr const char *SectionForm = "[kind name], for example [service plan]";

std::string trimmed(std::string_view Text) {
  const auto Begin = Text.find_first_not_of(" \t\r");
  if (Begin == std::string_view::npos)
    return {};
  return std::string(
      Text.substr(Begin, Text.find_last_not_of(" \t\r") - Begin + 1));
}

/// State of one run of inih, whose callbacks know no line numbers.
struct IniRun {
  const NamedText &Input;
  std::vector<SettingsError> &Mistakes;
  std::vector<ConfigRecord> Records;
  std::size_t Next = 0;
  int Line = 0;
  /// Sections are taken from the lines, since inih reports only those with
  /// keys.
  bool Usable = false;

  void mistake(std::string Key, std::string Found, std::string Allowed) {
    Mistakes.emplace_back(Input.File, Line, std::move(Key), std::move(Found),
                          std::move(Allowed));
  }
};

void openSection(IniRun &Run, const std::string &Head) {
  Run.Usable = false;
  const auto Close = Head.find(']');
  if (Close == std::string::npos)
    return;
  const std::string Inside = trimmed(Head.substr(1, Close - 1));
  const auto Space = Inside.find(' ');
  const std::string Name =
      Space == std::string::npos ? "" : trimmed(Inside.substr(Space));
  if (Name.empty())
    return Run.mistake("section", Inside, SectionForm);

  Run.Usable = true;
  Run.Records.push_back(
      {Inside.substr(0, Space), Name, {Run.Input.File, Run.Line}, {}, false});
}

// Hands inih one line, and counts it.
char *readLine(char *Buffer, int Size, void *Stream) {
  auto &Run = *static_cast<IniRun *>(Stream);
  const std::string &Text = Run.Input.Text;
  if (Run.Next >= Text.size())
    return nullptr;

  ++Run.Line;
  const auto End = std::min(Text.find('\n', Run.Next), Text.size());
  std::string Line = Text.substr(Run.Next, End - Run.Next);
  Run.Next = End + 1;
  // inih would silently split a longer line.
  if (Line.size() + 2 > static_cast<std::size_t>(Size)) {
    Run.mistake("line", std::to_string(Line.size()) + " characters",
                "at most " + std::to_string(Size - 2) + " characters");
    Line.clear();
  }
  // inih would join an indented line to the value before it.
  Line = trimmed(Line);
  if (Run.Line == 1 && Line.starts_with(ByteOrderMark))
    Line.erase(0, ByteOrderMark.size());
  if (Line.starts_with("["))
    openSection(Run, Line);

  std::memcpy(Buffer, Line.c_str(), Line.size() + 1);
  return Buffer;
}

int takeKey(void *User, const char *, const char *Key, const char *Value) {
  auto &Run = *static_cast<IniRun *>(User);
  if (Run.Records.empty() && !Run.Usable)
    Run.mistake(Key, "a key before any section", SectionForm);
  if (!Run.Usable)
    return 1;

  const bool New = Run.Records.back()
                       .Fields.emplace(Key, RecordField{Value, Run.Line})
                       .second;
  if (!New)
    Run.mistake(Key, "a second value", "one value for each key");
  return 1;
}

// Turns the doubled quotes of RFC 4180 into the escapes that Boost reads.
std::string withEscapes(const std::string &Line) {
  std::string Out;
  bool Quoted = false;
  for (std::size_t At = 0; At < Line.size(); ++At) {
    if (Line[At] == '\\') {
      Out += "\\\\";
    } else if (Quoted && Line.compare(At, 2, "\"\"") == 0) {
      Out += "\\\"";
      ++At;
    } else {
      Quoted ^= Line[At] == '"';
      Out += Line[At];
    }
  }
  if (Quoted)
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

ConfigRecord recordOf(const std::vector<std::string> &Header,
                      const std::vector<std::string> &Cells,
                      const std::string &Kind, const SourcePlace &Place) {
  ConfigRecord Record{Kind, "", Place, {}, true};
  for (std::size_t Column = 0; Column < Header.size(); ++Column) {
    if (Header[Column] == Kind)
      Record.Name = Cells[Column];
    else
      Record.Fields[Header[Column]] = {Cells[Column], Place.Line};
  }
  return Record;
}

} // namespace

std::vector<ConfigRecord> readIni(const NamedText &Input,
                                  std::vector<SettingsError> &Mistakes) {
  IniRun Run{Input, Mistakes, {}, 0, 0, false};
  const int BadLine = ini_parse_stream(readLine, &Run, takeKey, &Run);
  if (BadLine > 0)
    Mistakes.emplace_back(
        Input.File, BadLine, "line", "no key and value",
        "[kind name], key = value, or a comment after ; or #");
  return std::move(Run.Records);
}

std::vector<ConfigRecord> readCsv(const NamedText &Input,
                                  const std::string &Kind,
                                  std::vector<SettingsError> &Mistakes) {
  std::vector<ConfigRecord> Records;
  std::vector<std::string> Header;
  std::istringstream Lines(Input.Text);
  std::string Line;
  for (int Number = 1; std::getline(Lines, Line); ++Number) {
    if (Number == 1 && Line.starts_with(ByteOrderMark))
      Line.erase(0, ByteOrderMark.size());
    if (trimmed(Line).empty())
      continue;
    const std::string Escaped = withEscapes(Line);
    if (Escaped.empty()) {
      Mistakes.emplace_back(Input.File, Number, "line", Line,
                            "quotes closed on the same line");
      continue;
    }

    const auto Cells = splitCsv(Escaped);
    if (Header.empty()) {
      Header = Cells;
      if (std::find(Header.begin(), Header.end(), Kind) == Header.end())
        Mistakes.emplace_back(Input.File, Number, "header", Line,
                              "a column named " + Kind);
      continue;
    }
    if (Cells.size() != Header.size()) {
      Mistakes.emplace_back(
          Input.File, Number, "line", std::to_string(Cells.size()) + " fields",
          std::to_string(Header.size()) + " fields, as in the header");
      continue;
    }
    Records.push_back(recordOf(Header, Cells, Kind, {Input.File, Number}));
  }
  return Records;
}

std::vector<NamedText> readConfigDirectory(const std::string &Directory) {
  std::vector<NamedText> Files;
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
