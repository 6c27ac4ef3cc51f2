#ifndef DAISYSPOOL_ENTRY_ENTRYPROCESS_H
#define DAISYSPOOL_ENTRY_ENTRYPROCESS_H

#include "daisyspool/settings/EntrySettings.h"

namespace daisyspool {

/// Runs an entry until SIGTERM or SIGINT, then drains and returns.
///
/// Returns the exit code of the process: 0 after an orderly shutdown. Call from
/// the main thread, once.
int runEntry(const EntrySettings &Settings);

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_ENTRYPROCESS_H
