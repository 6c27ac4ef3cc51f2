#ifndef DAISYSPOOL_TESTS_SIM_MEMORYPLATFORM_H
#define DAISYSPOOL_TESTS_SIM_MEMORYPLATFORM_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/platform/TableService.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace daisyspool::sim {

/// Fault that the store applies to the next calls.
enum class StoreFault { None, Outage, Throttled, LostAnswer, LateEffect };

/// Rows and objects in memory, shared by the stores of all processes.
struct StoreContents {
  std::map<RowKey, Row> Rows;
  std::map<std::string, std::string> Objects;
  std::set<std::string> Tokens;
  std::vector<Transaction> DelayedWrites;

  bool conditionHolds(const RowKey &Key, const Condition &Require) const {
    auto Found = Rows.find(Key);
    if (std::holds_alternative<Unconditional>(Require))
      return true;
    if (std::holds_alternative<MustNotExist>(Require))
      return Found == Rows.end();
    return Found != Rows.end() &&
           Found->second.Version == std::get<MustHaveVersion>(Require).Version;
  }

  void commit(const Transaction &Request) {
    if (Tokens.count(Request.Token) != 0)
      return;
    for (const Write &Each : Request.Writes)
      std::visit(
          [this](const auto &Operation) {
            if (!conditionHolds(Operation.Key, Operation.Require))
              throw ConditionFailed("condition of " + Operation.Key.Sort);
          },
          Each);
    for (const Write &Each : Request.Writes) {
      if (const auto *Put = std::get_if<PutRow>(&Each))
        Rows[Put->Key] = {Put->Key, Put->NewVersion, Put->Value};
      else if (const auto *Deleted = std::get_if<DeleteRow>(&Each))
        Rows.erase(Deleted->Key);
    }
    Tokens.insert(Request.Token);
  }

  /// Applies the writes whose effect was delayed.
  void applyLate() {
    for (const Transaction &Request : std::exchange(DelayedWrites, {})) {
      try {
        commit(Request);
      } catch (const ConditionFailed &) {
        // The condition no longer holds: the store drops the delayed write.
      }
    }
  }
};

/// One process's view of the table service, with its own faults.
class MemoryTable final : public TableService {
public:
  explicit MemoryTable(StoreContents &Contents) : Contents(Contents) {}

  StoreFault Fault = StoreFault::None;
  std::uint64_t Commits = 0;
  std::uint64_t Queries = 0;

  std::optional<Row> read(const RowKey &Key) override {
    failIfDown();
    auto Found = Contents.Rows.find(Key);
    if (Found == Contents.Rows.end())
      return std::nullopt;
    return Found->second;
  }

  std::vector<Row> query(const std::string &Partition,
                         const std::string &FromSort,
                         std::size_t Limit) override {
    ++Queries;
    failIfDown();
    std::vector<Row> Result;
    for (auto Next = Contents.Rows.lower_bound({Partition, FromSort});
         Next != Contents.Rows.end() && Next->first.Partition == Partition &&
         Result.size() < Limit;
         ++Next)
      Result.push_back(Next->second);
    return Result;
  }

  void commit(const Transaction &Writes) override {
    ++Commits;
    failIfDown();
    if (Fault == StoreFault::LateEffect) {
      Contents.DelayedWrites.push_back(Writes);
      throw PlatformUnavailable("timed out");
    }
    Contents.commit(Writes);
    if (Fault == StoreFault::LostAnswer)
      throw PlatformUnavailable("answer lost");
  }

private:
  void failIfDown() const {
    if (Fault == StoreFault::Outage)
      throw PlatformUnavailable("down");
    if (Fault == StoreFault::Throttled)
      throw PlatformThrottled("rate exceeded");
  }

  StoreContents &Contents;
};

/// One process's view of the object store.
class MemoryObjects final : public ObjectStore {
public:
  explicit MemoryObjects(StoreContents &Contents) : Contents(Contents) {}

  bool Down = false;

  void put(const std::string &Key, const std::string &Bytes) override {
    failIfDown();
    Contents.Objects[Key] = Bytes;
  }

  std::optional<std::string> get(const std::string &Key) override {
    failIfDown();
    auto Found = Contents.Objects.find(Key);
    if (Found == Contents.Objects.end())
      return std::nullopt;
    return Found->second;
  }

  void remove(const std::string &Key) override {
    failIfDown();
    Contents.Objects.erase(Key);
  }

private:
  void failIfDown() const {
    if (Down)
      throw PlatformUnavailable("down");
  }

  StoreContents &Contents;
};

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_MEMORYPLATFORM_H
