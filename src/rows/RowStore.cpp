#include "daisyspool/rows/RowStore.h"

#include <algorithm>

namespace daisyspool::rows {

namespace {

std::size_t nameBytes(const RowName &Name) {
  return Name.Table.size() + Name.Partition.size() + Name.Key.size();
}

} // namespace

std::size_t encodedBytes(const RowTransaction &Transaction) {
  std::size_t Sum = encodedBytes(0, 0);
  for (const RowCondition &Each : Transaction.Conditions)
    Sum += encodedBytes(nameBytes(Each.Name), 0);
  for (const RowValue &Each : Transaction.Puts)
    Sum += encodedBytes(nameBytes(Each.Name), Each.Value.size());
  for (const RowName &Each : Transaction.Removes)
    Sum += encodedBytes(nameBytes(Each), 0);

  return Sum;
}

const StoredRow *findRow(const std::vector<StoredRow> &Rows,
                         const RowName &Name) {
  auto Found =
      std::find_if(Rows.begin(), Rows.end(),
                   [&Name](const StoredRow &Row) { return Row.Name == Name; });
  return Found == Rows.end() ? nullptr : &*Found;
}

RowRange singleRowRange(const RowName &Name) {
  // '!' sorts before every character that is used in keys.
  return {Name.Table, Name.Partition, Name.Key, Name.Key + "!"};
}

} // namespace daisyspool::rows
