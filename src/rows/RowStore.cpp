#include "daisyspool/rows/RowStore.h"

namespace daisyspool::rows {

RowRange singleRowRange(const RowName &Name) {
  // '!' sorts before every character that the project's keys use.
  return {Name.Table, Name.Partition, Name.Key, Name.Key + "!"};
}

} // namespace daisyspool::rows
