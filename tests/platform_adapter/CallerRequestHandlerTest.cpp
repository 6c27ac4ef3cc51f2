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
  void respond(http::Response Response) override {
    Answer = std::move(Response);
  }
  void beginStream(http::Response) override {}
  bool writeChunk(std::string) override { return false; }
  void endStream() override {}
  void onCallerDisconnected(std::function<void()>) override {}

  http::Response Answer;
};

/// The response to a job that is submitted with the deadline \p DeadlineMs.
http::Response submit(const std::string &DeadlineMs, const std::string &Job) {
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
                 Job},
                Exchange);
  Fleet.Loop.runFor(Millis(3000));
  return Exchange->Answer;
}

} // namespace

// Guards against a deadline whose conversion to nanoseconds overflows: it lay
// in the past, and the job was not confirmed although it was stored.
TEST_CASE("a caller's deadline of any size is accepted") {
  for (const char *Deadline :
       {"3000", "0", "-1", "4000000000000000", "9223372036854775807",
        "-9223372036854775808", "99999999999999999999", "1e30", ""}) {
    INFO(Deadline);
    REQUIRE(submit(Deadline, R"({"steps":[{"count":1}]})").Status == 200);
  }
}

// Guards against a caller that cannot tell what is wrong with a job, or that
// repeats one that can never be accepted.
TEST_CASE("a job that can never run is answered with 400 and the reason") {
  auto Malformed = submit("3000", R"({"steps":[{"count":6000}]})");
  REQUIRE(Malformed.Status == 400);
  REQUIRE(Malformed.Body.find("5000 tasks") != std::string::npos);
  auto TooLarge = submit("3000", R"({"steps":[{"count":1,"image":")" +
                                     std::string(70000, 'i') + R"("}]})");
  REQUIRE(TooLarge.Status == 400);
  REQUIRE(TooLarge.Body.find("at most 65536") != std::string::npos);
}
