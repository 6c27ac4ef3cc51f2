#include "CallerRequestHandler.h"

#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::platform;
using namespace daisyspool::testing;

namespace {

/// Keeps the response to a request.
class StoredExchange final : public http::Exchange {
public:
  void respond(http::Response Answer) override { Status = Answer.Status; }
  void beginStream(http::Response) override {}
  bool writeChunk(std::string) override { return false; }
  void endStream() override {}
  void onCallerDisconnected(std::function<void()>) override {}

  int Status = 0;
};

/// The status of the response to a job that is submitted with the deadline \p
/// DeadlineMs.
int submitWithDeadline(const std::string &DeadlineMs) {
  VirtualFleet Fleet(41, 1, 1);
  Metrics ProcessMetrics;
  CallerRequestHandler Handler(Fleet.Loop, Fleet.Entries[0]->Intake,
                               Fleet.Entries[0]->Leader, ProcessMetrics);
  workload::FleetConfig Config;
  Config.Routes = {{"h", "/q/", {workload::QueueId("q"), {}, 0, 1, 1, {}}}};
  Handler.configure(Config);
  auto Exchange = std::make_shared<StoredExchange>();
  Handler.serve({"POST",
                 "/q/5c0e7a21d94b36f8",
                 {{"Host", "h"}, {"X-Deadline-Ms", DeadlineMs}},
                 R"({"steps":[{"count":1}]})"},
                Exchange);
  Fleet.Loop.runFor(Millis(3000));
  return Exchange->Status;
}

} // namespace

// Guards against a deadline whose conversion to nanoseconds overflows: it lay
// in the past, and the job was not confirmed although it was stored.
TEST_CASE("a caller's deadline of any size is accepted") {
  for (const char *Deadline :
       {"3000", "0", "-1", "4000000000000000", "9223372036854775807",
        "-9223372036854775808", "99999999999999999999", "1e30", ""}) {
    INFO(Deadline);
    REQUIRE(submitWithDeadline(Deadline) == 200);
  }
}
