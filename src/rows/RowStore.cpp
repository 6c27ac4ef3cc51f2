#include "daisyspool/rows/RowStore.h"

namespace daisyspool::rows {

RowRange singleRowRange(const RowName &Name) {
  // '!' sorts before every character that is used in keys.
  return {Name.Table, Name.Partition, Name.Key, Name.Key + "!"};
}

} // namespace daisyspool::rows
