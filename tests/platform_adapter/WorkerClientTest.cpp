#include "WorkerClient.h"

#include "daisyspool/http/Server.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::platform;
using namespace daisyspool::testing;

namespace {

const std::string GoodListing =
    R"({"clock_ms":482113,"born":77,)"
    R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"saved",41,130]],)"
    R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

/// A worker that sends the same prepared response to every request.
struct StubWorker {
  boost::asio::io_context Io{1};
  std::string Body;
  http::Server Port{Io,
                    {{"127.0.0.1", 0}},
                    [this](const http::Request &,
                           const std::shared_ptr<http::Exchange> &Exchange) {
                      Exchange->respond({200, {}, Body});
                    }};
  WorkerClient Client{Io, Port.endpoint()};

  runner::HoldOutcome hold(const std::string &Response) {
    Body = Response;
    runner::HoldOutcome Result;
    Client.hold(runner::FencingToken(1), TargetId("i-1"), {},
                [&](const runner::HoldOutcome &Outcome) {
                  Result = Outcome;
                  Io.stop();
                });
    Io.restart();
    Io.run();
    return Result;
  }
};

} // namespace

// Guards against a listing that exhausts the stack or the memory of the agent.
TEST_CASE("a deeply nested listing of a worker is no answer") {
  StubWorker Worker;
  auto Listing = std::get<runner::WorkerListing>(Worker.hold(GoodListing));
  REQUIRE(Listing.Running.at(0).Percent == 41);
  REQUIRE(Listing.Running.at(0).Load == 130);
  for (const char *Value : {"\"saved\"", "482113", "[[58", "130"}) {
    INFO(Value);
    REQUIRE(std::holds_alternative<runner::NoWorkerAnswer>(
        Worker.hold(replaced(GoodListing, Value, deepJson(100000)))));
  }
  std::string Unknown = GoodListing;
  Unknown.insert(1, R"("unknown":)" + deepJson(100000) + ",");
  REQUIRE(std::holds_alternative<runner::NoWorkerAnswer>(Worker.hold(Unknown)));
}

// Guards against a number of a listing that wraps or is clipped when it is
// read: ends of a worker would never be reported, or a run be taken for
// another.
TEST_CASE("a listing with a number out of range is no answer") {
  StubWorker Worker;
  for (const char *Field :
       {"482113", "77", ",2,\"saved\"", ",41,", ",130]", "[58,", ",1,\"done\""})
    for (const char *Odd : {"-1", "1e30", "18446744073709551615"}) {
      INFO(Field << " " << Odd);
      std::string Text(Field);
      // A clock reading and a load may be negative.
      if (std::string_view(Odd) == "-1" &&
          (Text == "482113" || Text == ",130]"))
        continue;
      std::size_t First = Text.find_first_of("0123456789");
      std::size_t Last = Text.find_first_not_of("0123456789", First);
      std::string Changed =
          Text.substr(0, First) + Odd +
          (Last == std::string::npos ? "" : Text.substr(Last));
      REQUIRE(std::holds_alternative<runner::NoWorkerAnswer>(
          Worker.hold(replaced(GoodListing, Field, Changed))));
    }
}

// Guards against taking the runs beyond the 500 ends that a worker lists for
// runs that never started.
TEST_CASE("a listing with as many ends as a worker lists is truncated") {
  StubWorker Worker;
  for (std::size_t Count : {0U, 1U, 499U, 500U}) {
    INFO(Count);
    std::string Ends;
    for (std::size_t I = 1; I <= Count; ++I)
      Ends += (I > 1 ? ",[" : "[") + std::to_string(I) +
              R"(,"5c0e7a21d94b36f8.0.1.)" + std::to_string(I) +
              R"(",1,"done",""])";
    auto Listing = std::get<runner::WorkerListing>(Worker.hold(
        R"({"clock_ms":482113,"born":77,"running":[],"finished":[)" + Ends +
        "]}"));
    REQUIRE(Listing.Ended.size() == Count);
    REQUIRE(Listing.EndsTruncated == (Count == 500));
  }
}
