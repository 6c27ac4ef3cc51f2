#include "daisyspool/rows/TableWatch.h"

#include "daisyspool/telemetry/Log.h"

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
      : Time(Time), Store(Store), Config(std::move(Config)),
        OnRows(std::move(OnRows)), Pause(Loop.timer()) {}

  void readAll(const std::string &From) {
    Store.read({Config.Table, Config.Partition, From, {}}, ReadTimeout,
               [Self = shared_from_this()](const ReadOutcome &Outcome) {
                 Self->onRead(Outcome);
               });
  }

  void close() {
    Closed = true;
    Pause->cancel();
  }

  TimePoint LastAnswer{};

private:
  void onRead(const ReadOutcome &Outcome) {
    if (Closed)
      return;
    const auto *Page = std::get_if<RowPage>(&Outcome);
    if (!Page) {
      failed(std::get<ReadFailed>(Outcome).Detail);
      return again([this] { readAll(Pages.empty() ? "" : nextKey()); });
    }

    answered();
    // Changes during a read of several pages are seen by following from the
    // version of the first.
    if (Pages.empty())
      Version = Page->Version;
    Pages.insert(Pages.end(), Page->Rows.begin(), Page->Rows.end());
    if (Page->Truncated && !Page->Rows.empty())
      return readAll(nextKey());

    OnRows(std::exchange(Pages, {}));
    if (!Closed)
      follow();
  }

  std::string nextKey() const { return Pages.back().Name.Key + '!'; }

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
      return readAll("");
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
    Pause->start(RetryPause, [Self = shared_from_this(), What] {
      if (!Self->Closed)
        What();
    });
  }

  const Clock &Time;
  RowStore &Store;
  Options Config;
  RowsCallback OnRows;
  std::unique_ptr<Timer> Pause;
  std::vector<StoredRow> Pages;
  RowVersion Version;
  bool Failing = false;
  bool Closed = false;
};

TableWatch::TableWatch(EventLoop &Loop, const Clock &Time, RowStore &Store,
                       Options Config, RowsCallback OnRows)
    : State(std::make_shared<Impl>(Loop, Time, Store, std::move(Config),
                                   std::move(OnRows))) {
  State->readAll("");
}

TableWatch::~TableWatch() { State->close(); }

TimePoint TableWatch::lastAnswer() const { return State->LastAnswer; }

} // namespace daisyspool::rows
