#include "daisyspool/entry/CallerRequest.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

CallerRequest parseWithHeaders(std::vector<http::Header> Headers) {
  Random Source(1);
  return parseCallerRequest(
      {"GET", "/v1/services/s/stream", std::move(Headers), ""}, Millis(100),
      Source);
}

} // namespace

// Guards against a resumed session that starts again at its first event.
TEST_CASE("Last-Event-ID is read for sessions only") {
  REQUIRE(parseWithHeaders(
              {{"Daisyspool-Class", "session"}, {"Last-Event-ID", "17"}})
              .LastEvent == "17");
  REQUIRE(
      parseWithHeaders({{"Daisyspool-Class", "session"}}).LastEvent.empty());
  REQUIRE(parseWithHeaders({{"Last-Event-ID", "17"}}).LastEvent.empty());
}
