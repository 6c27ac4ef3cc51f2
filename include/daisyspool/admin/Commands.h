#ifndef DAISYSPOOL_ADMIN_COMMANDS_H
#define DAISYSPOOL_ADMIN_COMMANDS_H

#include "daisyspool/http/Types.h"

#include <string>

namespace daisyspool {

/// Where and as whom an operator's command is run.
struct CommandTarget {
  http::Endpoint Entry;
  /// Empty if the entry needs no key.
  std::string Key;
  std::string Operator;
  bool Json = false;
};

/// The commands print to standard output and return an exit code: 0 done,
/// 1 failed, 3 refused because the change is wrong or conflicts.

/// Applies the configuration files of \p Directory and waits until the change
/// is in force everywhere, or \p DryRun shows the difference only.
int applyConfig(const CommandTarget &Where, const std::string &Directory,
                const std::string &ChangeId, bool DryRun);

/// Shows the configuration in force.
int showConfig(const CommandTarget &Where);

/// Shows the record's lines of a request, a caller, or both if given.
int showRecord(const CommandTarget &Where, const std::string &Request,
               const std::string &Caller);

/// Checks that no line of the record is missing, repeated or altered. Returns
/// 1 if one is.
int verifyRecord(const CommandTarget &Where);

/// Shows members, shards and requests.
int showStatus(const CommandTarget &Where);

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_COMMANDS_H
