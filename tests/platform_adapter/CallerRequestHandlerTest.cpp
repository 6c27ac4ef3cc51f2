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

namespace {

/// An entry whose leader reports too little room for new jobs on demand.
struct FullFleet {
  FullFleet() {
    workload::FleetConfig Config;
    Config.Routes = {{"h", "/q/", {workload::QueueId("q"), {}, 0, 1, 1, {}}}};
    Handler.configure(Config);
  }

  http::Response request(const char *Method, const std::string &Id,
                         Millis RunFor) {
    auto Exchange = std::make_shared<StoredExchange>();
    Handler.serve({Method,
                   "/q/" + Id,
                   {{"Host", "h"}},
                   R"({"steps":[{"count":1,"cpu":1000,"estimated_ms":100}]})"},
                  Exchange);
    Fleet.Loop.runFor(RunFor);
    return Exchange->Answer;
  }
  http::Response submit(const std::string &Id, Millis RunFor) {
    return request("POST", Id, RunFor);
  }

  /// Repeated if the leader rewrites its status meanwhile, as it does each half
  /// second.
  void publishWait() {
    for (int Attempt = 0; Attempt < 2; ++Attempt) {
      leadership::LeaderStatus Status = Entry.Leader.status();
      Status.Room.Waits[workload::QueueId("q")] = {
          {0, Millis(20000), Millis(20000)}};
      rows::RowTransaction Write;
      Write.Puts.push_back({intake::leaderRow(), leadership::encode(Status)});
      Fleet.Store.apply(Write);
      Fleet.Loop.runFor(Millis(20));
      if (!Entry.Leader.status().Room.Waits.empty())
        return;
    }
    FAIL("the leader does not report too little room");
  }

  VirtualFleet Fleet{41, 1, 1};
  Metrics ProcessMetrics;
  VirtualFleet::Entry &Entry = *Fleet.Entries[0];
  CallerRequestHandler Handler{Fleet.Loop, Entry.Intake, Entry.Leader,
                               ProcessMetrics};
};

} // namespace

// Guards against a refusal of a job that an earlier submission has stored: it
// would run although its caller was told that it never does.
TEST_CASE("a job is refused for want of room unless it is stored") {
  FullFleet Full;
  REQUIRE(Full.submit("5c0e7a21d94b36f8", Millis(3000)).Status == 200);
  Full.publishWait();
  REQUIRE(Full.submit("5c0e7a21d94b36f8", Millis(100)).Status == 200);
  Full.publishWait();
  http::Response Refused = Full.submit("6c0e7a21d94b36f8", Millis(100));
  REQUIRE(Refused.Status == 503);
  auto RetryAfter = http::findHeader(Refused.Headers, "Retry-After");
  REQUIRE(RetryAfter);
  REQUIRE(std::stoi(std::string(*RetryAfter)) >= 19);
  // The leader's next status has room again.
  Full.Fleet.Loop.runFor(Millis(1000));
  REQUIRE(Full.submit("6c0e7a21d94b36f8", Millis(1000)).Status == 200);
}

// Guards against a job that runs after it was refused for want of room: the
// store executes the write of an earlier submission seconds later.
TEST_CASE("a late write does not store a job that was refused for want of "
          "room") {
  const std::string Id = "5c0e7a21d94b36f8";
  FullFleet Full;
  VirtualStore &Store = Full.Fleet.Store;
  Full.Fleet.Loop.runFor(Millis(3000));
  Store.LostAnswerShare = 1;
  Store.ApplyLostWritesLate = true;
  Store.LateWriteDelay = Millis(5900);
  Full.submit(Id, Millis(200));
  Store.LostAnswerShare = 0;
  Full.publishWait();
  REQUIRE(Full.submit(Id, Millis(100)).Status == 503);
  // The first request must not repeat its write.
  Full.Fleet.killEntry(0);
  Full.Fleet.Loop.runFor(Millis(10000));
  REQUIRE_FALSE(Full.Fleet.status(JobId(Id)));
}

// Guards against a refusal for want of room that takes a cancellation back.
TEST_CASE("a cancelled id is not refused for want of room") {
  const std::string Id = "5c0e7a21d94b36f8";
  FullFleet Full;
  Full.Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Full.request("DELETE", Id, Millis(100)).Status == 410);
  Full.publishWait();
  REQUIRE(Full.submit(Id, Millis(100)).Status == 410);
  Full.Fleet.Loop.runFor(Millis(1000));
  REQUIRE(Full.submit(Id, Millis(100)).Status == 410);
}
