#ifndef DAISYSPOOL_CONFIG_CONFIGFILES_H
#define DAISYSPOOL_CONFIG_CONFIGFILES_H

#include "daisyspool/config/ConfigDocument.h"

#include <string>
#include <vector>

namespace daisyspool {

/// Path and content of one of the operator's files.
struct ConfigFile {
  std::string Path;
  std::string Text;
};

/// A parsed configuration. The inventory is complete only if there are no
/// errors.
struct ParsedConfig {
  ConfigEntries Entries;
  Inventory Content;
  std::vector<SettingsError> Errors;
};

/// Parses the operator's files: inventory.ini and rules.ini by sections,
/// vms.csv and jobs.csv by their header. The format of a file follows from its
/// extension and, for CSV, from its name without the directory. Reports every
/// error that it finds, but does not call validate(). See docs/config.md for
/// the format.
ParsedConfig parseConfigFiles(const std::vector<ConfigFile> &Files);

/// Reads the four files of \p Directory. Throws SettingsError if one cannot be
/// read.
std::vector<ConfigFile> readConfigDirectory(const std::string &Directory);

/// Parses a document that a process received. Errors name its version instead
/// of a file.
ParsedConfig parseDocument(const ConfigDocument &Document);

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_CONFIGFILES_H
