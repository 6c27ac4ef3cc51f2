#ifndef DAISYSPOOL_SRC_CONFIG_RECORD_H
#define DAISYSPOOL_SRC_CONFIG_RECORD_H

#include "daisyspool/config/ConfigFiles.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool {

struct RecordField {
  std::string Value;
  int Line = 0;
};

/// A record as written, before its fields are checked.
struct ConfigRecord {
  std::string Kind;
  std::string Name;
  SourcePlace Place;
  std::map<std::string, RecordField> Fields;
  /// Whether fields that the kind does not have are ignored: asset registers
  /// export columns that mean nothing here.
  bool MayHaveOthers = false;
};

/// Sections "[kind name]" with their keys. Appends mistakes to \p Mistakes.
std::vector<ConfigRecord> readIni(const NamedText &Input,
                                  std::vector<SettingsError> &Mistakes);

/// Rows of a CSV file with a header; the column \p Kind names the record.
std::vector<ConfigRecord> readCsv(const NamedText &Input,
                                  const std::string &Kind,
                                  std::vector<SettingsError> &Mistakes);

/// Checks fields and fills \p Into. Fields that the kind does not have are
/// removed from \p Records, which then hold what the document keeps.
void readRecords(std::vector<ConfigRecord> &Records, Inventory &Into,
                 std::vector<SettingsError> &Mistakes);

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_CONFIG_RECORD_H
