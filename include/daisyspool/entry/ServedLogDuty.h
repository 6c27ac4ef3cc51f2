#ifndef DAISYSPOOL_ENTRY_SERVEDLOGDUTY_H
#define DAISYSPOOL_ENTRY_SERVEDLOGDUTY_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/jobs/Events.h"
#include "daisyspool/journal/ShardJournal.h"
#include "daisyspool/record/RunRecord.h"
#include "daisyspool/transport/Inbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace daisyspool {

/// Writes the record of an entry's short requests to the entry's own log, one
/// batch per second, and answers operators' queries about all logs.
///
/// Calls of the table service block, so the duty has a thread of its own.
/// Records wait in memory while the service is down; beyond the limit the
/// oldest are dropped and the number of dropped records is logged.
///
/// Thread safety: input() from one thread; query() and verify() from any
/// thread, their callbacks run on the duty's thread.
class ServedLogDuty {
public:
  struct Options {
    /// Differs for each start of the process.
    ProcessId Process;
    std::uint64_t Shards = 8;
    std::size_t MaxPending = 200000;
  };

  using Answer = std::function<void(http::Response)>;

  ServedLogDuty(boost::asio::io_context &Io, const Clock &Time, Options Config,
                std::unique_ptr<TableService> Table,
                std::unique_ptr<ObjectStore> Objects);
  ServedLogDuty(const ServedLogDuty &) = delete;
  ServedLogDuty &operator=(const ServedLogDuty &) = delete;

  const std::shared_ptr<Inbox<ServedRequest>> &input() const { return Input; }

  /// Answers with the matching records of all logs as JSON.
  void query(RecordQuery Query, Answer Done);

  /// Verifies each log and answers with its findings as JSON.
  void verify(Answer Done);

  /// Writes the pending records if the table service answers. Call it once more
  /// at an orderly shutdown.
  void flush();

private:
  void enqueue(ServedRequest Item);
  /// Registers the log and takes ownership of it. Returns false if the log
  /// cannot be written yet.
  bool prepareLog();
  void appendPending();
  void schedule();

  boost::asio::io_context &Io;
  Options Config;
  std::unique_ptr<TableService> Table;
  std::unique_ptr<ObjectStore> Objects;
  ShardJournal Journal;
  RunRecord Record;
  boost::asio::steady_timer Timer;
  std::deque<ServedRequest> Pending;
  std::size_t AppendingCount = 0;
  std::size_t DroppedCount = 0;
  bool Registered = false;
  std::shared_ptr<Inbox<ServedRequest>> Input;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_SERVEDLOGDUTY_H
