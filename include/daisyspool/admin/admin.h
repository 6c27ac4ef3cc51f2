// The admin module: what operators do with a running system.
//
//   ConfigDuty.h   the entry's thread for the durable configuration
//   AdminPort.h    the administration API over HTTP
//   Commands.h     the operators' commands, which are clients of the API
//
// See AdminPort.h next. docs/admin-api.md is the reference.
#ifndef DAISYSPOOL_ADMIN_ADMIN_H
#define DAISYSPOOL_ADMIN_ADMIN_H

#include "daisyspool/admin/AdminPort.h"
#include "daisyspool/admin/Commands.h"
#include "daisyspool/admin/ConfigDuty.h"

#endif // DAISYSPOOL_ADMIN_ADMIN_H
