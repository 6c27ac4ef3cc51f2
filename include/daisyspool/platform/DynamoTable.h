#ifndef DAISYSPOOL_PLATFORM_DYNAMOTABLE_H
#define DAISYSPOOL_PLATFORM_DYNAMOTABLE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/platform/SignatureV4.h"
#include "daisyspool/platform/TableService.h"

#include <memory>
#include <optional>
#include <string>

namespace daisyspool {

/// TableService over DynamoDB's JSON API: GetItem, Query, TransactWriteItems.
///
/// The table has the partition key `Partition` and the sort key `Sort`, both
/// strings; a row's version is the number `Version` and its value the binary
/// attribute `Value`. See S3Objects.h for the object store.
///
/// No call is repeated here, see RetryPolicy.h. An answer with a wrong
/// checksum, content type or JSON type, or with rows that were not requested,
/// throws PlatformProtocolError.
///
/// Thread safety: one thread per instance.
class DynamoTable final : public TableService {
public:
  struct Options {
    http::Endpoint Server;
    std::string Table = "daisyspool";
    std::string Region = "us-east-1";
    /// Requests are signed if this is set.
    std::optional<AccessKey> Key = std::nullopt;
    /// Time limit of each HTTP call; short enough for several calls in one
    /// shard lease.
    Millis Timeout{1000};
  };

  /// \p Time is the clock for the dates of signatures and must outlive this
  /// object.
  DynamoTable(Options Config, const Clock &Time);
  ~DynamoTable() override;

  std::optional<Row> read(const RowKey &Key) override;
  std::vector<Row> query(const std::string &Partition,
                         const std::string &FromSort,
                         std::size_t Limit) override;
  void commit(const Transaction &Writes) override;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_DYNAMOTABLE_H
