// A linearizable row store in memory, with the faults that the platform's store
// has: outages for all or some, slow, lost and late answers, lost history.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALSTORE_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALSTORE_H

#include "daisyspool/rows/RowStore.h"
#include "fleet/VirtualLoop.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace daisyspool::testing {

/// Whether a simulated process still runs; its callbacks die with it.
using AliveFlag = std::shared_ptr<bool>;

class VirtualStore {
public:
  VirtualStore(VirtualLoop &Loop, std::mt19937_64 &Random)
      : Loop(Loop), Random(Random) {}

  /// Faults, for the test to set.
  bool Down = false;
  /// Calls arrive nowhere and have no answer.
  bool Silent = false;
  std::set<std::string> TurnedAway;
  double LostAnswerShare = 0;
  /// Lost writes are applied some seconds later instead of at once.
  bool ApplyLostWritesLate = false;
  Millis Delay{4};
  /// History up to here is gone.
  rows::RowVersion HistoryTrimmedTo;

  rows::RowVersion version() const { return rows::RowVersion(Version); }

  rows::CommitOutcome apply(const rows::RowTransaction &What) {
    std::vector<rows::StoredRow> Current;
    bool Holds = true;
    for (const auto &Condition : What.Conditions) {
      auto Found = Rows.find(Condition.Name);
      rows::RowVersion Is;
      if (Found != Rows.end()) {
        Is = Found->second.Version;
        Current.push_back(Found->second);
      }
      Holds = Holds && Is == Condition.Version;
    }
    if (!Holds)
      return rows::Conflict{Current};

    ++Version;
    for (const auto &Put : What.Puts) {
      rows::StoredRow Row{Put.Name, Put.Value, version(), false};
      Rows[Put.Name] = Row;
      History.push_back(Row);
    }
    for (const auto &Name : What.Removes) {
      Rows.erase(Name);
      History.push_back({Name, {}, version(), true});
    }
    return rows::Committed{version()};
  }

  rows::RowPage page(const rows::RowRange &Range) const {
    // Small pages, so that continued reads are exercised.
    constexpr std::size_t PageRows = 50;
    rows::RowPage Result;
    Result.Version = version();
    for (const auto &[Name, Row] : Rows) {
      bool Inside =
          Name.Table == Range.Table && Name.Partition == Range.Partition &&
          Name.Key >= Range.From && (Range.To.empty() || Name.Key < Range.To);
      if (!Inside)
        continue;
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
    for (const auto &Row : History)
      if (Row.Name.Table == Table && Row.Version > After)
        Result.Rows.push_back(Row);
    return Result;
  }

  bool refuses(const std::string &Process) const {
    return Down || TurnedAway.count(Process) != 0;
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
  StoreConnection(VirtualStore &Store, std::string Process, AliveFlag Alive)
      : Store(Store), Process(std::move(Process)), Alive(std::move(Alive)) {}

  void commit(const rows::RowTransaction &What, Millis Timeout,
              std::function<void(rows::CommitOutcome)> Done) override {
    Store.Loop.after(Store.Delay, [&S = Store, What, Timeout, A = Alive,
                                   Name = Process, Done] {
      if (S.Silent)
        return answer(S, A, Timeout, Done,
                      rows::CommitOutcome(rows::OutcomeUnknown{"silent"}));
      if (S.refuses(Name))
        return answer(S, A, Millis(1), Done,
                      rows::CommitOutcome(rows::NotApplied{"busy"}));
      bool Lost = S.chance(S.LostAnswerShare);
      // A caller that stops waiting does not undo what it asked for.
      if (!Lost && 2 * S.Delay > Timeout) {
        S.apply(What);
        return answer(S, A, std::max(Timeout - S.Delay, Millis(0)), Done,
                      rows::CommitOutcome(rows::OutcomeUnknown{"timeout"}));
      }
      if (!Lost)
        return answer(S, A, S.Delay, Done, S.apply(What));
      if (S.ApplyLostWritesLate)
        S.Loop.after(Millis(2500), [&S, What] { S.apply(What); });
      else
        S.apply(What);
      answer(S, A, Timeout, Done,
             rows::CommitOutcome(rows::OutcomeUnknown{"lost"}));
    });
  }

  void read(const rows::RowRange &What, Millis Timeout,
            std::function<void(rows::ReadOutcome)> Done) override {
    Store.Loop.after(Store.Delay, [&S = Store, What, Timeout, A = Alive,
                                   Name = Process, Done] {
      if (S.Silent)
        return answer(S, A, Timeout, Done,
                      rows::ReadOutcome(rows::ReadFailed{"silent"}));
      if (S.refuses(Name))
        return answer(S, A, Millis(1), Done,
                      rows::ReadOutcome(rows::ReadFailed{"busy"}));
      if (2 * S.Delay > Timeout)
        return answer(S, A, std::max(Timeout - S.Delay, Millis(0)), Done,
                      rows::ReadOutcome(rows::ReadFailed{"timeout"}));
      answer(S, A, S.Delay, Done, rows::ReadOutcome(S.page(What)));
    });
  }

  void follow(const std::string &Table, rows::RowVersion After, Millis Wait,
              std::function<void(rows::FeedOutcome)> Done) override {
    poll(Store, Alive, Process, Table, After, Store.Loop.now() + Wait, Done);
  }

private:
  template <typename Outcome>
  static void answer(VirtualStore &S, const AliveFlag &A, Millis Delay,
                     const std::function<void(Outcome)> &Done, Outcome What) {
    S.Loop.after(Delay, [A, Done, What] {
      if (*A)
        Done(What);
    });
  }

  static void poll(VirtualStore &S, const AliveFlag &A, const std::string &Name,
                   const std::string &Table, rows::RowVersion After,
                   TimePoint End,
                   const std::function<void(rows::FeedOutcome)> &Done) {
    S.Loop.after(S.Delay, [&S, A, Name, Table, After, End, Done] {
      if (!*A)
        return;
      if (S.Silent)
        return S.Loop.now() >= End ? Done(rows::ReadFailed{"silent"})
                                   : poll(S, A, Name, Table, After, End, Done);
      if (S.refuses(Name))
        return Done(rows::ReadFailed{"busy"});
      auto Found = S.changes(Table, After);
      const auto *Page = std::get_if<rows::RowPage>(&Found);
      if (!Page || !Page->Rows.empty() || S.Loop.now() >= End)
        return Done(Found);
      poll(S, A, Name, Table, After, End, Done);
    });
  }

  VirtualStore &Store;
  std::string Process;
  AliveFlag Alive;
};

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALSTORE_H
