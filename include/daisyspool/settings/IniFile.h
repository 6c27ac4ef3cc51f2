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

/// One key of an INI file and where it stands.
struct IniEntry {
  std::string Section;
  std::string Key;
  std::string Value;
  int Line = 0;
};

/// An INI file whose every mistake can be reported with its line.
///
/// Use the typed readers for each known key, then rejectUnread(), so that a
/// misspelt key is an error and not a default. See EntrySettings for a user.
///
/// Thread safety: one thread at a time. Errors: every reader throws
/// SettingsError for a missing or malformed value.
class IniFile {
public:
  /// Parses \p Text; \p Name is used in messages. Throws SettingsError for a
  /// line that is neither a section, a key nor a comment, and for a key that
  /// stands twice.
  static IniFile parse(std::string Name, const std::string &Text);

  /// Reads and parses a file. Throws SettingsError, with line 0, if it cannot
  /// be read.
  static IniFile load(const std::string &Path);

  const std::string &name() const { return Name; }
  const std::vector<IniEntry> &entries() const { return Entries; }

  bool has(std::string_view Section, std::string_view Key) const;

  /// A text value that must not be empty.
  std::string text(std::string_view Section, std::string_view Key);
  std::string textOr(std::string_view Section, std::string_view Key,
                     std::string Default);

  /// An "ADDRESS:PORT" value.
  http::Endpoint endpoint(std::string_view Section, std::string_view Key);

  /// An integer from \p Least to \p Most.
  std::int64_t integerOr(std::string_view Section, std::string_view Key,
                         std::int64_t Default, std::int64_t Least,
                         std::int64_t Most);

  /// A duration with its unit, for example "250ms" or "3s", within bounds.
  Millis durationOr(std::string_view Section, std::string_view Key,
                    Millis Default, Millis Least, Millis Most);

  /// "yes" or "no".
  bool flagOr(std::string_view Section, std::string_view Key, bool Default);

  /// Throws SettingsError for the first key that no reader asked for.
  void rejectUnread() const;

  /// Throws SettingsError for \p Key, at its line if it is present.
  [[noreturn]] void fail(std::string_view Section, std::string_view Key,
                         const std::string &Allowed) const;

private:
  explicit IniFile(std::string Name) : Name(std::move(Name)) {}

  const IniEntry *find(std::string_view Section, std::string_view Key) const;
  const IniEntry *read(std::string_view Section, std::string_view Key);

  std::string Name;
  std::vector<IniEntry> Entries;
  std::set<int> ReadLines;
};

} // namespace daisyspool

#endif // DAISYSPOOL_SETTINGS_INIFILE_H
