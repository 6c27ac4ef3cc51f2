// The platform module: the table service and the object store that hold all
// durable state, and a policy for retries that do not overload them.
//
//   TableService.h    transactional rows with conditions and tokens
//   ObjectStore.h     whole objects, for checkpoints and snapshots
//   DynamoTable.h     TableService over DynamoDB's JSON API
//   S3Objects.h       ObjectStore over S3's REST API
//   SignatureV4.h     signs requests when the settings name a key file
//   RetryPolicy.h     backoff with full jitter and a retry budget
//   BlockingClient.h  keep-alive HTTP calls for a thread that may block
//   Base64.h          binary values in JSON
//
// See TableService.h next.
#ifndef DAISYSPOOL_PLATFORM_PLATFORM_H
#define DAISYSPOOL_PLATFORM_PLATFORM_H

#include "daisyspool/platform/Base64.h"
#include "daisyspool/platform/BlockingClient.h"
#include "daisyspool/platform/DynamoTable.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/platform/RetryPolicy.h"
#include "daisyspool/platform/S3Objects.h"
#include "daisyspool/platform/SignatureV4.h"
#include "daisyspool/platform/TableService.h"

#endif // DAISYSPOOL_PLATFORM_PLATFORM_H
