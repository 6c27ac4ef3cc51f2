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

/// A record as it was read, before its fields are checked.
struct ConfigRecord {
  std::string Kind;
  std::string Name;
  SourceLocation Location;
  std::map<std::string, RecordField> Fields;
  /// Whether fields that the kind does not have are ignored. Set for CSV files,
  /// because asset registers export columns that are not used here.
  bool IgnoresUnknownFields = false;
};

/// Reads the sections "[kind name]" of an INI file with their keys. Appends
/// errors to \p Errors.
std::vector<ConfigRecord> readIni(const ConfigFile &Input,
                                  std::vector<SettingsError> &Errors);

/// Reads the rows of a CSV file with a header. The column \p Kind has the name
/// of the record. Appends errors to \p Errors.
std::vector<ConfigRecord> readCsv(const ConfigFile &Input,
                                  const std::string &Kind,
                                  std::vector<SettingsError> &Errors);

/// Checks the fields of \p Records, adds the records to \p Result and appends
/// errors to \p Errors. Removes fields that the kind does not have from
/// \p Records, which afterwards have exactly the fields of the document.
void parseRecords(std::vector<ConfigRecord> &Records, Inventory &Result,
                  std::vector<SettingsError> &Errors);

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_CONFIG_RECORD_H
