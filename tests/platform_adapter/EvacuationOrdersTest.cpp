#include "EvacuationOrders.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using platform::EvacuationOrders;
using scheduling::EvacuatedDomains;

namespace {

rows::StoredRow row(const std::string &Key, const std::string &Value = "{}",
                    bool Removed = false) {
  return {{"op", "", Key}, Value, rows::RowVersion(1), Removed};
}

} // namespace

// Guards against an evacuation that is overlooked because its value cannot be
// read, and against other rows of the operator that close a domain.
TEST_CASE("rows of the operator order and end evacuations") {
  EvacuationOrders Orders;
  REQUIRE_FALSE(Orders.apply({row("config"), row("wave/1"), row("evacuate")}));
  REQUIRE(Orders.domains().empty());
  REQUIRE(Orders.apply({row("evacuate/a", ""), row("evacuate/b", "\xff")}));
  REQUIRE(Orders.apply({row("evacuate/a")}));
  REQUIRE(Orders.domains() ==
          EvacuatedDomains{FailureDomainId("a"), FailureDomainId("b")});
  REQUIRE(Orders.apply({row("evacuate/a", "", true), row("config")}));
  REQUIRE(Orders.apply({row("evacuate/c", "", true)}));
  REQUIRE(Orders.domains() == EvacuatedDomains{FailureDomainId("b")});
}
