#ifndef DAISYSPOOL_SETTINGS_INIFILE_H
#define DAISYSPOOL_SETTINGS_INIFILE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/http/Types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool {

/// One key of an INI file with its section, value and line number.
struct IniEntry {
  std::string Section;
  std::string Key;
  std::string Value;
  int Line = 0;
};

/// A parsed INI file that reports each invalid value with its line.
///
/// Call a typed reader for each known key, then rejectUnread(), so that a
/// misspelt key is an error and not silently replaced by the default. See
/// parseEntrySettings() for an example.
///
/// Thread safety: one thread at a time. Errors: every reader throws
/// SettingsError for a missing or malformed value.
class IniFile {
public:
  /// Parses \p Text; \p Name is used in error messages. Throws SettingsError
  /// for a line that is neither a section, a key nor a comment, for a line that
  /// is too long and for a duplicate key.
  static IniFile parse(std::string Name, const std::string &Text);

  /// Reads and parses a file. Throws SettingsError, with line 0, if it cannot
  /// be read.
  static IniFile load(const std::string &Path);

  const std::string &name() const { return Name; }
  const std::vector<IniEntry> &entries() const { return Entries; }

  bool has(std::string_view Section, std::string_view Key) const;

  /// A text that must not be empty.
  std::string text(std::string_view Section, std::string_view Key);
  std::string textOr(std::string_view Section, std::string_view Key,
                     std::string Default);

  /// An "ADDRESS:PORT" value.
  http::Endpoint endpoint(std::string_view Section, std::string_view Key);

  /// An integer from \p Min to \p Max.
  std::int64_t integerOr(std::string_view Section, std::string_view Key,
                         std::int64_t Default, std::int64_t Min,
                         std::int64_t Max);

  /// A duration with a unit ("250ms", "3s"), from \p Min to \p Max.
  Millis durationOr(std::string_view Section, std::string_view Key,
                    Millis Default, Millis Min, Millis Max);

  /// "yes" or "no".
  bool flagOr(std::string_view Section, std::string_view Key, bool Default);

  /// Throws SettingsError for the first key that no typed reader has read.
  void rejectUnread() const;

  /// Throws SettingsError for \p Key with the line of the key, or line 0 if the
  /// key is missing. \p Allowed describes the values that are valid.
  [[noreturn]] void fail(std::string_view Section, std::string_view Key,
                         const std::string &Allowed) const;

private:
  explicit IniFile(std::string Name) : Name(std::move(Name)) {}

  const IniEntry *findEntry(std::string_view Section,
                            std::string_view Key) const;
  const IniEntry *readEntry(std::string_view Section, std::string_view Key);

  std::string Name;
  std::vector<IniEntry> Entries;
  std::set<int> ReadLines;
};

} // namespace daisyspool

#endif // DAISYSPOOL_SETTINGS_INIFILE_H
