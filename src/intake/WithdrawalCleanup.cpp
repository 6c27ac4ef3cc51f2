#include "daisyspool/intake/WithdrawalCleanup.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <utility>

namespace daisyspool::intake {

namespace {

/// Interval at which the version of the store is noted.
constexpr Millis MarkInterval{10'000};
/// Timeout of one call to the store; a slow store takes up to half a second.
constexpr Millis CallTimeout{1500};
/// Pause between two calls, so that the removal of thousands of rows takes a
/// small part of what the store and a small leader can do.
constexpr Millis StepPause{20};

} // namespace

struct WithdrawalCleanup::Pass {
  /// Rows that were last written at a later version are kept.
  rows::RowVersion NewestRemoved;
  std::vector<std::string> Partitions = intakePartitions();
  std::size_t Partition = 0;
  /// First key of the next page; empty for the start of the partition.
  std::string From;
  /// Rows of the current page that are to be removed.
  std::vector<rows::RowCondition> Expired;
  std::size_t Removed = 0;
};

WithdrawalCleanup::WithdrawalCleanup(EventLoop &Loop, const Clock &Time,
                                     rows::RowStore &Store, Options Config,
                                     Hooks Calls)
    : Time(Time), Store(Store), Config(Config), Calls(std::move(Calls)),
      TickTimer(Loop.timer()), StepTimer(Loop.timer()) {
  startTick();
}

WithdrawalCleanup::~WithdrawalCleanup() = default;

void WithdrawalCleanup::startTick() {
  TickTimer->start(MarkInterval, [this] {
    onTick();
    startTick();
  });
}

void WithdrawalCleanup::onTick() {
  TimePoint Now = Time.now();
  Marks.push_back({Calls.StoreVersion(), Now});
  while (Marks.size() > 1 && Now - Marks[1].At >= Config.Retention)
    Marks.pop_front();
  bool IsDue = Now - Marks.front().At >= Config.Retention &&
               Now - LastPassAt >= Config.Interval;
  if (Current || !IsDue || !Calls.IsResponsible())
    return;

  LastPassAt = Now;
  Current = std::make_unique<Pass>();
  Current->NewestRemoved = Marks.front().Version;
  readPage();
}

void WithdrawalCleanup::readPage() {
  Store.read(
      {WithdrawnTable,
       Current->Partitions[Current->Partition],
       Current->From,
       {}},
      CallTimeout,
      [this, Self = std::weak_ptr(Alive)](const rows::ReadOutcome &Outcome) {
        if (!Self.expired())
          onPage(Outcome);
      });
}

void WithdrawalCleanup::onPage(const rows::ReadOutcome &Outcome) {
  const auto *Page = std::get_if<rows::RowPage>(&Outcome);
  if (!Page)
    return endPass("read_failed");
  for (const rows::StoredRow &Row : Page->Rows)
    if (Row.Version <= Current->NewestRemoved)
      Current->Expired.push_back({Row.Name, Row.Version});
  if (Page->Truncated && !Page->Rows.empty()) {
    Current->From = Page->Rows.back().Name.Key + '!';
  } else {
    Current->From.clear();
    ++Current->Partition;
  }
  removeNext();
}

void WithdrawalCleanup::removeNext() {
  auto &Expired = Current->Expired;
  if (Expired.empty()) {
    if (Current->Partition == Current->Partitions.size())
      return endPass("complete");
    return continuePass(&WithdrawalCleanup::readPage);
  }

  // A row that was written again meanwhile must stay.
  std::size_t Count =
      std::min(Expired.size(), Config.Limits.TransactionEntries / 2);
  rows::RowTransaction Write;
  Write.Conditions.assign(Expired.end() - static_cast<std::ptrdiff_t>(Count),
                          Expired.end());
  Expired.resize(Expired.size() - Count);
  for (const rows::RowCondition &Each : Write.Conditions)
    Write.Removes.push_back(Each.Name);
  Store.commit(Write, CallTimeout,
               [this, Count, Self = std::weak_ptr(Alive)](
                   const rows::CommitOutcome &Outcome) {
                 if (!Self.expired())
                   onRemoved(Count, Outcome);
               });
}

void WithdrawalCleanup::onRemoved(std::size_t Rows,
                                  const rows::CommitOutcome &Outcome) {
  if (std::holds_alternative<rows::Committed>(Outcome))
    Current->Removed += Rows;
  else if (!std::holds_alternative<rows::Conflict>(Outcome))
    return endPass("write_failed");
  continuePass(&WithdrawalCleanup::removeNext);
}

void WithdrawalCleanup::continuePass(void (WithdrawalCleanup::*Step)()) {
  if (!Calls.IsResponsible())
    return endPass("not_responsible");
  StepTimer->start(StepPause, [this, Step] { (this->*Step)(); });
}

void WithdrawalCleanup::endPass(const char *Cause) {
  std::unique_ptr<Pass> Ended = std::move(Current);
  if (Ended->Removed == 0 && Ended->Partition == Ended->Partitions.size())
    return;
  LogEvent(LogLevel::Info, "withdrawals_removed")
      .with("rows", static_cast<std::int64_t>(Ended->Removed))
      .with("up_to_version", Ended->NewestRemoved)
      .with("spent_ms",
            std::chrono::duration_cast<Millis>(Time.now() - LastPassAt).count())
      .with("end", Cause);
}

} // namespace daisyspool::intake
