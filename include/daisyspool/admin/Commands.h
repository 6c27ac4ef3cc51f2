#ifndef DAISYSPOOL_ADMIN_COMMANDS_H
#define DAISYSPOOL_ADMIN_COMMANDS_H

#include "daisyspool/http/Types.h"

#include <string>

namespace daisyspool {

/// The entry to which a command connects, the operator, and the output format.
struct CommandOptions {
  http::Endpoint Entry;
  /// Empty if the entry needs no key.
  std::string Key;
  std::string Operator;
  bool Json = false;
};

// The commands print to standard output and return an exit code: 0 for success,
// 1 for a failure, 3 if the change is invalid or conflicts with another one.

/// Applies the configuration files of \p Directory and waits until the change
/// is in force in every process. With \p DryRun, only shows the difference.
int applyConfig(const CommandOptions &Options, const std::string &Directory,
                const std::string &ChangeId, bool DryRun);

/// Prints the configuration in force.
int showConfig(const CommandOptions &Options);

/// Prints the lines of the record that have the given request and caller. An
/// empty argument matches every line.
int showRecord(const CommandOptions &Options, const std::string &Request,
               const std::string &Caller);

/// Checks that no line of the record is missing, repeated or altered. Returns 1
/// if a line is.
int verifyRecord(const CommandOptions &Options);

/// Prints the members, the shards and the number of requests in progress.
int showStatus(const CommandOptions &Options);

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_COMMANDS_H
