// The admin module: administration of a running system by operators.
//
//   ConfigDuty.h    proposes changes to the configuration store and reads them
//   AdminPort.h     serves the administration API over HTTP
//   OperatorKeys.h  authenticates operators by their keys
//   Commands.h      the operators' commands, which are clients of the API
//
// See AdminPort.h next. docs/admin-api.md is the reference.
#ifndef DAISYSPOOL_ADMIN_ADMIN_H
#define DAISYSPOOL_ADMIN_ADMIN_H

#include "daisyspool/admin/AdminPort.h"
#include "daisyspool/admin/Commands.h"
#include "daisyspool/admin/ConfigDuty.h"

#endif // DAISYSPOOL_ADMIN_ADMIN_H
