// A linearizable in-memory row store with the faults of the platform's store:
// outages for all or some processes, slow, lost and late answers, lost history.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALSTORE_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALSTORE_H

#include "daisyspool/rows/RowStore.h"
#include "fleet/VirtualProcessor.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>

namespace daisyspool::testing {

class VirtualStore {
public:
  VirtualStore(VirtualLoop &Loop, std::mt19937_64 &Random)
      : Loop(Loop), Random(Random) {}

  /// Faults, set by the test. While down, the store refuses all calls.
  bool Down = false;
  /// Calls are not executed and get no answer.
  bool Silent = false;
  /// Connections are reset, so that each call fails at once.
  bool Resets = false;
  /// Processes whose calls are refused.
  std::set<std::string> RefusedProcesses;
  /// Calls that wait for changes get no answer.
  bool SilentFeeds = false;
  /// Reads and feeds of this table get no answer.
  std::string SilentTable;
  /// Share of transactions whose answer is lost.
  double LostAnswerShare = 0;
  /// Transactions whose answer is lost are applied after LateWriteDelay instead
  /// of at once.
  bool ApplyLostWritesLate = false;
  Millis LateWriteDelay{2500};
  Millis Delay{4};
  rows::StoreLimits Limits;
  /// Rows of keys that begin so are rejected.
  std::string RejectedKey;
  std::size_t Rejections = 0;
  /// Number of transactions that were turned away.
  std::size_t RefusedCommits = 0;
  /// Called for each read that is executed.
  std::function<void(const rows::RowRange &)> OnRead;
  /// Changes before this version are no longer available.
  rows::RowVersion HistoryTrimmedTo;

  rows::RowVersion version() const { return rows::RowVersion(Version); }

  bool accepts(const rows::RowTransaction &Transaction) const {
    std::size_t Entries = Transaction.Conditions.size() +
                          Transaction.Puts.size() + Transaction.Removes.size();
    if (Entries > Limits.TransactionEntries ||
        encodedBytes(Transaction) > Limits.TransactionBytes)
      return false;
    return std::all_of(
        Transaction.Puts.begin(), Transaction.Puts.end(),
        [this](const rows::RowValue &Put) {
          bool KeyRejected =
              !RejectedKey.empty() && Put.Name.Key.starts_with(RejectedKey);
          return Put.Value.size() <= Limits.RowBytes && !KeyRejected;
        });
  }

  rows::CommitOutcome apply(const rows::RowTransaction &Transaction) {
    if (!accepts(Transaction)) {
      ++Rejections;
      return rows::Rejected{"above the limits"};
    }
    std::vector<rows::StoredRow> Current;
    bool ConditionsHold = true;
    for (const auto &Condition : Transaction.Conditions) {
      auto Found = Rows.find(Condition.Name);
      rows::RowVersion StoredVersion;
      if (Found != Rows.end()) {
        StoredVersion = Found->second.Version;
        Current.push_back(Found->second);
      }
      ConditionsHold = ConditionsHold && StoredVersion == Condition.Version;
    }
    if (!ConditionsHold)
      return rows::Conflict{Current};

    ++Version;
    for (const auto &Put : Transaction.Puts) {
      rows::StoredRow Row{Put.Name, Put.Value, version(), false};
      Rows[Put.Name] = Row;
      History.push_back(Row);
    }
    for (const auto &Name : Transaction.Removes) {
      Rows.erase(Name);
      History.push_back({Name, {}, version(), true});
    }
    return rows::Committed{version()};
  }

  rows::RowPage page(const rows::RowRange &Range) const {
    // Small pages, so that the tests also read several pages.
    constexpr std::size_t PageRows = 50;
    rows::RowPage Result;
    Result.Version = version();
    auto Next = Rows.lower_bound({Range.Table, Range.Partition, Range.From});
    for (; Next != Rows.end(); ++Next) {
      const auto &[Name, Row] = *Next;
      bool IsInRange = Name.Table == Range.Table &&
                       Name.Partition == Range.Partition &&
                       (Range.To.empty() || Name.Key < Range.To);
      if (!IsInRange)
        break;
      if (Result.Rows.size() == PageRows) {
        Result.Truncated = true;
        break;
      }
      Result.Rows.push_back(Row);
    }
    return Result;
  }

  rows::FeedOutcome changes(const std::string &Table,
                            rows::RowVersion After) const {
    if (After < HistoryTrimmedTo)
      return rows::HistoryGone{};
    rows::RowPage Result;
    Result.Version = version();
    auto Next = std::partition_point(
        History.begin(), History.end(),
        [After](const auto &Row) { return Row.Version <= After; });
    std::copy_if(Next, History.end(), std::back_inserter(Result.Rows),
                 [&Table](const auto &Row) { return Row.Name.Table == Table; });
    return Result;
  }

  bool refuses(const std::string &Process) const {
    return Down || RefusedProcesses.count(Process) != 0;
  }

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  VirtualLoop &Loop;

private:
  std::mt19937_64 &Random;
  std::map<rows::RowName, rows::StoredRow> Rows;
  std::vector<rows::StoredRow> History;
  std::uint64_t Version = 0;
};

/// One process's connection to a VirtualStore.
class StoreConnection final : public rows::RowStore {
public:
  /// Answers are handled by \p Cpu, if there is one.
  StoreConnection(VirtualStore &Store, std::string Process, AliveFlag Alive,
                  VirtualProcessor *Cpu = nullptr)
      : Store(Store), Process(std::move(Process)), Alive(std::move(Alive)),
        Cpu(Cpu) {}

  void commit(const rows::RowTransaction &Transaction, Millis Timeout,
              std::function<void(rows::CommitOutcome)> Handler) override {
    auto Done = handledByCpu(std::move(Handler));
    Store.Loop.after(Store.Delay, [&Backend = Store, Transaction, Timeout,
                                   CallerAlive = Alive, Name = Process, Done] {
      if (Backend.Silent)
        return answer(Backend, CallerAlive, Timeout, Done,
                      rows::CommitOutcome(rows::OutcomeUnknown{"silent"}));
      if (Backend.Resets)
        return answer(Backend, CallerAlive, Millis(1), Done,
                      rows::CommitOutcome(rows::OutcomeUnknown{"reset"}));
      if (Backend.refuses(Name)) {
        ++Backend.RefusedCommits;
        return answer(Backend, CallerAlive, Millis(1), Done,
                      rows::CommitOutcome(rows::NotApplied{"busy"}));
      }
      bool Lost = Backend.chance(Backend.LostAnswerShare);
      // A timeout of the caller does not undo its transaction.
      if (!Lost && 2 * Backend.Delay > Timeout) {
        Backend.apply(Transaction);
        return answer(Backend, CallerAlive,
                      std::max(Timeout - Backend.Delay, Millis(0)), Done,
                      rows::CommitOutcome(rows::OutcomeUnknown{"timeout"}));
      }
      if (!Lost)
        return answer(Backend, CallerAlive, Backend.Delay, Done,
                      Backend.apply(Transaction));
      if (Backend.ApplyLostWritesLate)
        Backend.Loop.after(Backend.LateWriteDelay, [&Backend, Transaction] {
          Backend.apply(Transaction);
        });
      else
        Backend.apply(Transaction);
      answer(Backend, CallerAlive, Timeout, Done,
             rows::CommitOutcome(rows::OutcomeUnknown{"lost"}));
    });
  }

  void read(const rows::RowRange &Range, Millis Timeout,
            std::function<void(rows::ReadOutcome)> Handler) override {
    auto Done = handledByCpu(std::move(Handler));
    Store.Loop.after(Store.Delay, [&Backend = Store, Range, Timeout,
                                   CallerAlive = Alive, Name = Process, Done] {
      if (Backend.Silent || Range.Table == Backend.SilentTable)
        return answer(Backend, CallerAlive, Timeout, Done,
                      rows::ReadOutcome(rows::ReadFailed{"silent"}));
      if (Backend.Resets || Backend.refuses(Name))
        return answer(Backend, CallerAlive, Millis(1), Done,
                      rows::ReadOutcome(rows::ReadFailed{"busy"}));
      if (2 * Backend.Delay > Timeout)
        return answer(Backend, CallerAlive,
                      std::max(Timeout - Backend.Delay, Millis(0)), Done,
                      rows::ReadOutcome(rows::ReadFailed{"timeout"}));
      if (Backend.OnRead)
        Backend.OnRead(Range);
      answer(Backend, CallerAlive, Backend.Delay, Done,
             rows::ReadOutcome(Backend.page(Range)));
    });
  }

  void follow(const std::string &Table, rows::RowVersion After, Millis Wait,
              std::function<void(rows::FeedOutcome)> Handler) override {
    auto Done = handledByCpu(std::move(Handler));
    poll(Store, Alive, Process, Table, After, Store.Loop.now() + Wait, Done);
  }

private:
  template <typename Outcome>
  std::function<void(Outcome)>
  handledByCpu(std::function<void(Outcome)> Handler) const {
    return Cpu ? Cpu->handled(std::move(Handler)) : std::move(Handler);
  }

  template <typename Outcome>
  static void answer(VirtualStore &Backend, const AliveFlag &CallerAlive,
                     Millis Delay, const std::function<void(Outcome)> &Done,
                     Outcome Result) {
    Backend.Loop.after(Delay, [CallerAlive, Done, Result] {
      if (*CallerAlive)
        Done(Result);
    });
  }

  static void poll(VirtualStore &Backend, const AliveFlag &CallerAlive,
                   const std::string &Name, const std::string &Table,
                   rows::RowVersion After, TimePoint End,
                   const std::function<void(rows::FeedOutcome)> &Done) {
    Backend.Loop.after(Backend.Delay, [&Backend, CallerAlive, Name, Table,
                                       After, End, Done] {
      if (!*CallerAlive)
        return;
      if (Backend.Silent || Backend.SilentFeeds || Table == Backend.SilentTable)
        return Backend.Loop.now() >= End
                   ? Done(rows::ReadFailed{"silent"})
                   : poll(Backend, CallerAlive, Name, Table, After, End, Done);
      if (Backend.refuses(Name))
        return Done(rows::ReadFailed{"busy"});
      auto Changes = Backend.changes(Table, After);
      const auto *Page = std::get_if<rows::RowPage>(&Changes);
      if (!Page || !Page->Rows.empty() || Backend.Loop.now() >= End)
        return Done(Changes);
      poll(Backend, CallerAlive, Name, Table, After, End, Done);
    });
  }

  VirtualStore &Store;
  std::string Process;
  AliveFlag Alive;
  VirtualProcessor *Cpu;
};

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALSTORE_H
