#include "daisyspool/rows/TableWatch.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace daisyspool::rows {

namespace {

/// Pause before a failed call is repeated; short beside the bound within which
/// a configuration has to be in force.
constexpr Millis RetryPause{150};
/// Bound of a call that does not wait for changes.
constexpr Millis ReadTimeout{1500};

} // namespace

class TableWatch::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, const Clock &Time, RowStore &Store, Options Config,
       RowsCallback OnRows)
      : Loop(Loop), Time(Time), Store(Store), Config(std::move(Config)),
        OnRows(std::move(OnRows)) {}

  void readAll() {
    Found.clear();
    FirstVersion.reset();
    Unread = Config.Partitions.size();
    // All at once, as a slow store takes half a second for one.
    for (const std::string &Partition : Config.Partitions)
      readPage(Partition, "");
  }

  void close() { Closed = true; }

  TimePoint LastAnswer{};

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
      failed(std::get<ReadFailed>(Outcome).Detail);
      return again([this, Partition, From] { readPage(Partition, From); });
    }

    answered();
    // Changes during the reads are seen by following from the oldest page.
    FirstVersion =
        FirstVersion ? std::min(*FirstVersion, Page->Version) : Page->Version;
    Found.insert(Found.end(), Page->Rows.begin(), Page->Rows.end());
    if (Page->Truncated && !Page->Rows.empty())
      return readPage(Partition, Page->Rows.back().Name.Key + '!');
    if (--Unread > 0)
      return;

    Version = *FirstVersion;
    OnRows(std::exchange(Found, {}));
    if (!Closed)
      follow();
  }

  void follow() {
    Store.follow(Config.Table, Version, Config.Wait,
                 [Self = shared_from_this()](const FeedOutcome &Outcome) {
                   Self->onFeed(Outcome);
                 });
  }

  void onFeed(const FeedOutcome &Outcome) {
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
      failed(std::get<ReadFailed>(Outcome).Detail);
      return again([this] { follow(); });
    }

    answered();
    Version = std::max(Version, Page->Version);
    if (!Page->Rows.empty())
      OnRows(Page->Rows);
    if (!Closed)
      follow();
  }

  void answered() {
    LastAnswer = Time.now();
    if (std::exchange(Failing, false))
      LogEvent(LogLevel::Info, "store_regained").with("table", Config.Table);
  }

  void failed(const std::string &Detail) {
    if (!std::exchange(Failing, true))
      LogEvent(LogLevel::Warning, "store_lost")
          .with("table", Config.Table)
          .with("detail", Detail);
  }

  template <typename Action> void again(Action What) {
    // One timer for each pause, as several reads may be paused at once.
    std::shared_ptr<Timer> Pause = Loop.timer();
    Pause->start(RetryPause, [Self = shared_from_this(), Pause, What] {
      if (!Self->Closed)
        What();
    });
  }

  EventLoop &Loop;
  const Clock &Time;
  RowStore &Store;
  Options Config;
  RowsCallback OnRows;
  std::vector<StoredRow> Found;
  std::optional<RowVersion> FirstVersion;
  std::size_t Unread = 0;
  RowVersion Version;
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

} // namespace daisyspool::rows
