#ifndef DAISYSPOOL_STANDINS_MEMORYTABLE_H
#define DAISYSPOOL_STANDINS_MEMORYTABLE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/platform/TableService.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

namespace daisyspool {

/// Rows, conditions and tokens of the table service in memory, without faults.
///
/// Shared by the platform stand-in and by the fake of the tests, so that both
/// follow the same rules. Thread safety: one thread at a time.
class MemoryTable {
public:
  /// Time for which a repeat with the same token has no effect, as in DynamoDB.
  static constexpr std::chrono::minutes TokenLifetime{10};

  std::optional<Row> read(const RowKey &Key) const {
    auto Found = Rows.find(Key);
    if (Found == Rows.end())
      return std::nullopt;

    return Found->second;
  }

  std::vector<Row> query(const std::string &Partition,
                         const std::string &FromSort, std::size_t Limit) const {
    std::vector<Row> Result;
    for (auto It = Rows.lower_bound({Partition, FromSort});
         It != Rows.end() && It->first.Partition == Partition &&
         Result.size() < Limit;
         ++It)
      Result.push_back(It->second);

    return Result;
  }

  /// Throws ConditionFailed or PlatformProtocolError, changing nothing.
  void commit(const Transaction &Writes, TimePoint Now) {
    requireValid(Writes);
    forgetTokens(Now);
    auto Repeated = Tokens.find(Writes.Token);
    if (Repeated != Tokens.end()) {
      if (Repeated->second.Content != content(Writes))
        throw PlatformProtocolError("token used by another transaction");
      return;
    }

    for (const Write &Each : Writes.Writes)
      std::visit([this](const auto &Operation) { checkCondition(Operation); },
                 Each);

    for (const Write &Each : Writes.Writes)
      std::visit([this](const auto &Operation) { apply(Operation); }, Each);
    Tokens[Writes.Token] = {content(Writes), Now};
  }

  const std::map<RowKey, Row> &rows() const { return Rows; }

private:
  struct UsedToken {
    std::string Content;
    TimePoint At{};
  };

  static std::size_t bytes(const PutRow &Operation) {
    return Operation.Key.Partition.size() + Operation.Key.Sort.size() +
           Operation.Value.size();
  }
  template <typename Other> static std::size_t bytes(const Other &Operation) {
    return Operation.Key.Partition.size() + Operation.Key.Sort.size();
  }

  static void requireValid(const Transaction &Writes) {
    if (Writes.Token.empty())
      throw PlatformProtocolError("empty token");
    if (Writes.Writes.empty() || Writes.Writes.size() > TableService::MaxWrites)
      throw PlatformProtocolError("a transaction has 1 to 100 writes");

    std::set<RowKey> Keys;
    std::size_t Total = 0;
    for (const Write &Each : Writes.Writes) {
      const RowKey &Key = std::visit(
          [](const auto &Operation) -> const RowKey & { return Operation.Key; },
          Each);
      std::size_t Size = std::visit(
          [](const auto &Operation) { return bytes(Operation); }, Each);
      if (Key.Partition.empty() || Key.Sort.empty())
        throw PlatformProtocolError("empty row key");
      if (!Keys.insert(Key).second)
        throw PlatformProtocolError("two writes to one row");
      if (Size > TableService::MaxRowBytes)
        throw PlatformProtocolError("row too large");
      Total += Size;
    }
    if (Total > TableService::MaxTransactionBytes)
      throw PlatformProtocolError("transaction too large");
  }

  /// Serialises the transaction, to recognise a repeat. Each field has its
  /// length as a prefix, so that adjacent fields cannot be confused.
  static std::string content(const Transaction &Writes) {
    std::string Text;
    auto Add = [&Text](const std::string &Field) {
      Text += std::to_string(Field.size()) + ':' + Field;
    };
    for (const Write &Each : Writes.Writes) {
      Add(std::to_string(Each.index()));
      std::visit(
          [&](const auto &Operation) {
            Add(Operation.Key.Partition);
            Add(Operation.Key.Sort);
            Add(std::to_string(Operation.Require.index()));
            if (auto *Exact = std::get_if<MustHaveVersion>(&Operation.Require))
              Add(std::to_string(Exact->Version));
          },
          Each);
      if (auto *Put = std::get_if<PutRow>(&Each)) {
        Add(std::to_string(Put->NewVersion));
        Add(Put->Value);
      }
    }

    return Text;
  }

  void forgetTokens(TimePoint Now) {
    std::erase_if(Tokens, [Now](const auto &Each) {
      return Now - Each.second.At >= TokenLifetime;
    });
  }

  template <typename AnyWrite>
  void checkCondition(const AnyWrite &Operation) const {
    auto Found = Rows.find(Operation.Key);
    bool Exists = Found != Rows.end();
    auto *Exact = std::get_if<MustHaveVersion>(&Operation.Require);
    if (std::holds_alternative<MustNotExist>(Operation.Require) && Exists)
      throw ConditionFailed(Operation.Key.Partition + "/" + Operation.Key.Sort +
                            " exists");
    if (Exact && (!Exists || Found->second.Version != Exact->Version))
      throw ConditionFailed(Operation.Key.Partition + "/" + Operation.Key.Sort +
                            " has another version");
  }

  void apply(const PutRow &Operation) {
    Rows[Operation.Key] = {Operation.Key, Operation.NewVersion,
                           Operation.Value};
  }
  void apply(const DeleteRow &Operation) { Rows.erase(Operation.Key); }
  void apply(const CheckRow &) {}

  std::map<RowKey, Row> Rows;
  std::map<std::string, UsedToken> Tokens;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_MEMORYTABLE_H
