#ifndef DAISYSPOOL_TESTS_CONFIG_MEMORYTABLESERVICE_H
#define DAISYSPOOL_TESTS_CONFIG_MEMORYTABLESERVICE_H

#include "daisyspool/platform/TableService.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace daisyspool {

/// An in-memory table service that can lose or delay requests, lose answers and
/// be unavailable.
class MemoryTableService final : public TableService {
public:
  /// Number of next commits that take effect but whose answer is lost.
  unsigned LoseAnswers = 0;
  /// Number of next commits that are lost before they take effect.
  unsigned LoseRequests = 0;
  /// Number of next commits that take effect just before the following commit.
  /// A retry of a delayed commit is not recognised as a repeat, because its
  /// token has expired.
  unsigned DelayRequests = 0;
  bool Down = false;
  std::uint64_t Commits = 0;
  std::uint64_t Reads = 0;
  /// Called once before the next commit, to simulate a concurrent operator.
  std::function<void()> BeforeCommit;

  std::optional<Row> read(const RowKey &Key) override {
    ++Reads;
    requireAvailable();
    const auto Found = Rows.find(Key);
    return Found == Rows.end() ? std::nullopt : std::optional(Found->second);
  }

  std::vector<Row> query(const std::string &Partition,
                         const std::string &FromSort,
                         std::size_t Limit) override {
    ++Reads;
    requireAvailable();
    std::vector<Row> Found;
    for (auto Next = Rows.lower_bound({Partition, FromSort});
         Next != Rows.end() && Next->first.Partition == Partition &&
         Found.size() < Limit;
         ++Next)
      Found.push_back(Next->second);
    return Found;
  }

  void commit(const Transaction &Writes) override {
    if (auto Callback = std::exchange(BeforeCommit, {}))
      Callback();
    requireAvailable();
    if (auto Earlier = std::exchange(Delayed, std::nullopt)) {
      apply(*Earlier);
      Tokens.clear();
    }
    if (DelayRequests != 0 && DelayRequests-- != 0) {
      Delayed = Writes;
      throw PlatformUnavailable("request delayed");
    }
    if (LoseRequests != 0 && LoseRequests-- != 0)
      throw PlatformUnavailable("request lost");
    if (!Tokens.count(Writes.Token))
      apply(Writes);
    if (LoseAnswers != 0 && LoseAnswers-- != 0)
      throw PlatformUnavailable("answer lost");
  }

private:
  void requireAvailable() const {
    if (Down)
      throw PlatformUnavailable("down");
  }

  void apply(const Transaction &Writes) {
    for (const Write &Each : Writes.Writes)
      std::visit([this](const auto &Op) { checkCondition(Op.Key, Op.Require); },
                 Each);
    for (const Write &Each : Writes.Writes) {
      if (const auto *Put = std::get_if<PutRow>(&Each))
        Rows[Put->Key] = {Put->Key, Put->NewVersion, Put->Value};
      if (const auto *Delete = std::get_if<DeleteRow>(&Each))
        Rows.erase(Delete->Key);
    }
    Tokens.insert(Writes.Token);
    ++Commits;
  }

  void checkCondition(const RowKey &Key, const Condition &Require) const {
    const auto Found = Rows.find(Key);
    const bool IsAbsent = Found == Rows.end();
    if (std::holds_alternative<MustNotExist>(Require) && !IsAbsent)
      throw ConditionFailed("row exists");
    if (const auto *Must = std::get_if<MustHaveVersion>(&Require))
      if (IsAbsent || Found->second.Version != Must->Version)
        throw ConditionFailed("row has another version");
  }

  std::map<RowKey, Row> Rows;
  std::set<std::string> Tokens;
  std::optional<Transaction> Delayed;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_CONFIG_MEMORYTABLESERVICE_H
