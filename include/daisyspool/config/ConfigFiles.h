#ifndef DAISYSPOOL_CONFIG_CONFIGFILES_H
#define DAISYSPOOL_CONFIG_CONFIGFILES_H

#include "daisyspool/config/ConfigDocument.h"

#include <string>
#include <vector>

namespace daisyspool {

/// One of the operator's files.
struct NamedText {
  std::string File;
  std::string Text;
};

/// A parsed configuration. The inventory is complete only without mistakes.
struct ParsedConfig {
  ConfigEntries Entries;
  Inventory Content;
  std::vector<SettingsError> Mistakes;
};

/// Parses the operator's files: inventory.ini and rules.ini by sections,
/// vms.csv and jobs.csv by their header. A file's kind is its extension and,
/// for CSV, its name without directory. Lists every mistake that it finds; it
/// does not validate(). See docs/config.md for the format.
ParsedConfig parseConfigFiles(const std::vector<NamedText> &Files);

/// Reads the four files of \p Directory. Throws SettingsError if one cannot be
/// read.
std::vector<NamedText> readConfigDirectory(const std::string &Directory);

/// Parses a document that a process received. Mistakes name its version as
/// the file.
ParsedConfig parseDocument(const ConfigDocument &Document);

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGFILES_H
