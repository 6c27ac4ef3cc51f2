#include "daisyspool/entry/CallerRequest.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

CallerRequest parsed(std::vector<http::Header> Headers) {
  Random Source(1);
  return parseCallerRequest(
      {"GET", "/v1/services/s/stream", std::move(Headers), ""}, Millis(100),
      Source);
}

} // namespace

// Guards against a resumed session that starts again at its first event.
TEST_CASE("a session carries the caller's last event") {
  REQUIRE(parsed({{"Daisyspool-Class", "session"}, {"Last-Event-ID", "17"}})
              .LastEvent == "17");
  REQUIRE(parsed({{"Daisyspool-Class", "session"}}).LastEvent.empty());
  REQUIRE(parsed({{"Last-Event-ID", "17"}}).LastEvent.empty());
}
