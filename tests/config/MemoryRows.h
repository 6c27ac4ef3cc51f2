#ifndef DAISYSPOOL_TESTS_CONFIG_MEMORYROWS_H
#define DAISYSPOOL_TESTS_CONFIG_MEMORYROWS_H

#include "daisyspool/platform/TableService.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace daisyspool {

/// A table service in memory whose answers can be lost after the change took
/// effect, and that can be down.
class MemoryRows final : public TableService {
public:
  /// Commits that take effect but whose answer is lost.
  unsigned LoseAnswers = 0;
  /// Commits that are lost before they take effect.
  unsigned LoseRequests = 0;
  /// Commits that take effect only just before the next one, which the store
  /// does not recognise as a repeat because the token has expired.
  unsigned DelayRequests = 0;
  bool Down = false;
  std::uint64_t Commits = 0;
  std::uint64_t Reads = 0;
  /// Runs before the next commit, as a racing operator would.
  std::function<void()> BeforeCommit;

  std::optional<Row> read(const RowKey &Key) override {
    ++Reads;
    requireUp();
    const auto Found = Rows.find(Key);
    return Found == Rows.end() ? std::nullopt : std::optional(Found->second);
  }

  std::vector<Row> query(const std::string &Partition,
                         const std::string &FromSort,
                         std::size_t Limit) override {
    ++Reads;
    requireUp();
    std::vector<Row> Found;
    for (auto Next = Rows.lower_bound({Partition, FromSort});
         Next != Rows.end() && Next->first.Partition == Partition &&
         Found.size() < Limit;
         ++Next)
      Found.push_back(Next->second);
    return Found;
  }

  void commit(const Transaction &Writes) override {
    if (auto Race = std::exchange(BeforeCommit, {}))
      Race();
    requireUp();
    if (auto Late = std::exchange(Delayed, std::nullopt)) {
      apply(*Late);
      Tokens.clear();
    }
    if (DelayRequests != 0 && DelayRequests-- != 0) {
      Delayed = Writes;
      throw PlatformUnavailable("request late");
    }
    if (LoseRequests != 0 && LoseRequests-- != 0)
      throw PlatformUnavailable("request lost");
    if (!Tokens.count(Writes.Token))
      apply(Writes);
    if (LoseAnswers != 0 && LoseAnswers-- != 0)
      throw PlatformUnavailable("answer lost");
  }

private:
  void requireUp() const {
    if (Down)
      throw PlatformUnavailable("down");
  }

  void apply(const Transaction &Writes) {
    for (const Write &Each : Writes.Writes)
      std::visit([this](const auto &Op) { check(Op.Key, Op.Require); }, Each);
    for (const Write &Each : Writes.Writes) {
      if (const auto *Put = std::get_if<PutRow>(&Each))
        Rows[Put->Key] = {Put->Key, Put->NewVersion, Put->Value};
      if (const auto *Delete = std::get_if<DeleteRow>(&Each))
        Rows.erase(Delete->Key);
    }
    Tokens.insert(Writes.Token);
    ++Commits;
  }

  void check(const RowKey &Key, const Condition &Require) const {
    const auto Found = Rows.find(Key);
    const bool Absent = Found == Rows.end();
    if (std::holds_alternative<MustNotExist>(Require) && !Absent)
      throw ConditionFailed("row exists");
    if (const auto *Must = std::get_if<MustHaveVersion>(&Require))
      if (Absent || Found->second.Version != Must->Version)
        throw ConditionFailed("other version");
  }

  std::map<RowKey, Row> Rows;
  std::set<std::string> Tokens;
  std::optional<Transaction> Delayed;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_CONFIG_MEMORYROWS_H
