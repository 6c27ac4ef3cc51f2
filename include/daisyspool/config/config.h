// The config module: inventory and rules as operators keep them, their
// validation, and how an accepted change reaches every process.
//
//   Inventory.h       the checked records and what could never hold
//   ConfigFiles.h     operators' INI and CSV files
//   ConfigDocument.h  one version, changes between versions, differences
//   ConfigStore.h     the durable head, history and snapshots
//   ConfigSpread.h    rumour push, fetch and confirmation
#ifndef DAISYSPOOL_CONFIG_CONFIG_H
#define DAISYSPOOL_CONFIG_CONFIG_H

#include "daisyspool/config/ConfigDocument.h"
#include "daisyspool/config/ConfigFiles.h"
#include "daisyspool/config/ConfigSpread.h"
#include "daisyspool/config/ConfigStore.h"
#include "daisyspool/config/Inventory.h"

#endif // DAISYSPOOL_CONFIG_CONFIG_H
