// The config module: parses and validates the inventory and rules that
// operators maintain, stores accepted changes and distributes them to every
// process.
//
//   Inventory.h       the parsed records and their validation
//   ConfigFiles.h     parser of the operators' INI and CSV files
//   ConfigDocument.h  one version, changes between versions, differences
//   ConfigStore.h     the durable head, history and snapshots
//   ConfigSpread.h    push and fetch of changes, confirmation of a version
#ifndef DAISYSPOOL_CONFIG_CONFIG_H
#define DAISYSPOOL_CONFIG_CONFIG_H

#include "daisyspool/config/ConfigDocument.h"
#include "daisyspool/config/ConfigFiles.h"
#include "daisyspool/config/ConfigSpread.h"
#include "daisyspool/config/ConfigStore.h"
#include "daisyspool/config/Inventory.h"

#endif // DAISYSPOOL_CONFIG_CONFIG_H
