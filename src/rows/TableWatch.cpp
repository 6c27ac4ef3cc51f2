#include "daisyspool/rows/TableWatch.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <set>
#include <utility>

namespace daisyspool::rows {

namespace {

/// Delay before a failed call is retried; short compared to the time within
/// which a configuration must take effect.
constexpr Millis RetryDelay{150};
/// Timeout of a call that does not wait for changes.
constexpr Millis ReadTimeout{1500};

} // namespace

class TableWatch::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, const Clock &Time, RowStore &Store, Options Config,
       RowsCallback OnRows)
      : Loop(Loop), Time(Time), Store(Store), Config(std::move(Config)),
        OnRows(std::move(OnRows)) {}

  void readAll() {
    ReadStartedAt = Time.now();
    ReadRows.clear();
    OldestPageVersion.reset();
    UnreadPartitions = Config.Partitions.size();
    // All partitions concurrently, as a slow store takes half a second for one.
    for (const std::string &Partition : Config.Partitions)
      readPage(Partition, "");
  }

  void close() { Closed = true; }

  TimePoint LastAnswer{};
  TimePoint CurrentAsOf{};
  RowVersion Version;

private:
  void readPage(const std::string &Partition, const std::string &From) {
    Store.read({Config.Table, Partition, From, {}}, ReadTimeout,
               [Self = shared_from_this(), Partition,
                From](const ReadOutcome &Outcome) {
                 if (!Self->Closed)
                   Self->onRead(Partition, From, Outcome);
               });
  }

  void onRead(const std::string &Partition, const std::string &From,
              const ReadOutcome &Outcome) {
    const auto *Page = std::get_if<RowPage>(&Outcome);
    if (!Page) {
      onCallFailed(std::get<ReadFailed>(Outcome).Detail);
      return retryLater([this, Partition, From] { readPage(Partition, From); });
    }

    onCallSucceeded();
    // Following from the oldest page also delivers changes during the reads.
    OldestPageVersion = OldestPageVersion
                            ? std::min(*OldestPageVersion, Page->Version)
                            : Page->Version;
    ReadRows.insert(ReadRows.end(), Page->Rows.begin(), Page->Rows.end());
    if (Page->Truncated && !Page->Rows.empty())
      return readPage(Partition, Page->Rows.back().Name.Key + '!');
    if (--UnreadPartitions > 0)
      return;

    Version = *OldestPageVersion;
    CurrentAsOf = ReadStartedAt;
    if (Config.ReportRemovals)
      addMissedRemovals();
    deliver(std::exchange(ReadRows, {}));
    if (!Closed)
      follow();
  }

  void follow() {
    Store.follow(Config.Table, Version, Config.Wait,
                 [Self = shared_from_this(),
                  SentAt = Time.now()](const FeedOutcome &Outcome) {
                   Self->onFeed(Outcome, SentAt);
                 });
  }

  void onFeed(const FeedOutcome &Outcome, TimePoint SentAt) {
    if (Closed)
      return;
    if (std::holds_alternative<HistoryGone>(Outcome)) {
      LogEvent(LogLevel::Info, "store_history_gone")
          .with("table", Config.Table)
          .with("version", Version);
      return readAll();
    }
    const auto *Page = std::get_if<RowPage>(&Outcome);
    if (!Page) {
      onCallFailed(std::get<ReadFailed>(Outcome).Detail);
      return retryLater([this] { follow(); });
    }

    onCallSucceeded();
    Version = std::max(Version, Page->Version);
    CurrentAsOf = SentAt;
    if (!Page->Rows.empty()) {
      if (Config.ReportRemovals)
        rememberNames(Page->Rows);
      deliver(Page->Rows);
    }
    if (!Closed)
      follow();
  }

  /// Adds the rows that were known and are no longer there to those that were
  /// read.
  void addMissedRemovals() {
    std::set<RowName> Missing = std::exchange(KnownNames, {});
    for (const StoredRow &Row : ReadRows)
      Missing.erase(Row.Name);
    rememberNames(ReadRows);
    for (const RowName &Name : Missing)
      ReadRows.push_back({Name, {}, Version, true});
  }

  void rememberNames(const std::vector<StoredRow> &Rows) {
    for (const StoredRow &Row : Rows)
      if (Row.Removed)
        KnownNames.erase(Row.Name);
      else
        KnownNames.insert(Row.Name);
  }

  /// Neither ends the watch nor loses the other rows if the callback throws for
  /// one: they are then delivered singly.
  void deliver(const std::vector<StoredRow> &Rows) {
    if (tryDeliver(Rows) || Rows.size() < 2)
      return;
    for (const StoredRow &Row : Rows)
      if (!Closed)
        tryDeliver({Row});
  }

  bool tryDeliver(const std::vector<StoredRow> &Rows) {
    try {
      OnRows(Rows);
      return true;
    } catch (const std::exception &Problem) {
      LogEvent(LogLevel::Error, "rows_not_handled")
          .with("table", Config.Table)
          .with("rows", static_cast<std::int64_t>(Rows.size()))
          .with("first_key", Rows.empty() ? "" : Rows.front().Name.Key)
          .with("detail", Problem.what());
      return false;
    }
  }

  void onCallSucceeded() {
    LastAnswer = Time.now();
    if (std::exchange(Failing, false))
      LogEvent(LogLevel::Info, "store_regained").with("table", Config.Table);
  }

  void onCallFailed(const std::string &Detail) {
    if (!std::exchange(Failing, true))
      LogEvent(LogLevel::Warning, "store_lost")
          .with("table", Config.Table)
          .with("detail", Detail);
  }

  template <typename Action> void retryLater(Action Call) {
    // One timer for each retry, as several reads may be waiting at once.
    std::shared_ptr<Timer> Delay = Loop.timer();
    Delay->start(RetryDelay, [Self = shared_from_this(), Delay, Call] {
      if (!Self->Closed)
        Call();
    });
  }

  EventLoop &Loop;
  const Clock &Time;
  RowStore &Store;
  Options Config;
  RowsCallback OnRows;
  TimePoint ReadStartedAt{};
  std::vector<StoredRow> ReadRows;
  /// With ReportRemovals, the names of all rows that were delivered and not
  /// removed since.
  std::set<RowName> KnownNames;
  std::optional<RowVersion> OldestPageVersion;
  std::size_t UnreadPartitions = 0;
  bool Failing = false;
  bool Closed = false;
};

TableWatch::TableWatch(EventLoop &Loop, const Clock &Time, RowStore &Store,
                       Options Config, RowsCallback OnRows)
    : State(std::make_shared<Impl>(Loop, Time, Store, std::move(Config),
                                   std::move(OnRows))) {
  State->readAll();
}

TableWatch::~TableWatch() { State->close(); }

TimePoint TableWatch::lastAnswer() const { return State->LastAnswer; }

TimePoint TableWatch::currentAsOf() const { return State->CurrentAsOf; }

RowVersion TableWatch::version() const { return State->Version; }

} // namespace daisyspool::rows
