#include "RowStoreClient.h"

#include "daisyspool/http/Server.h"
#include "daisyspool/platform/Base64.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::platform;

namespace {

/// A store that gives one prepared answer to every call.
struct PreparedStore {
  boost::asio::io_context Io{1};
  http::Response Answer;
  http::Request Asked;
  http::Server Port{Io,
                    {{"127.0.0.1", 0}},
                    [this](const http::Request &What,
                           const std::shared_ptr<http::Exchange> &Exchange) {
                      Asked = What;
                      Exchange->respond(Answer);
                    }};
  RowStoreClient Client{Io, Port.endpoint()};

  rows::CommitOutcome commit(int Status, const std::string &Body) {
    Answer = {Status, {}, Body};
    rows::CommitOutcome Result;
    rows::RowTransaction Write;
    Write.Conditions.push_back({{"t", "p", "k"}, rows::RowVersion(3)});
    Write.Puts.push_back({{"t", "p", "k"}, "value"});
    Client.commit(Write, Millis(5000), [&](const rows::CommitOutcome &What) {
      Result = What;
      Io.stop();
    });
    Io.restart();
    Io.run();
    return Result;
  }

  rows::FeedOutcome follow(int Status, const std::string &Body) {
    Answer = {Status, {}, Body};
    rows::FeedOutcome Result;
    Client.follow("t", rows::RowVersion(5), Millis(100),
                  [&](const rows::FeedOutcome &What) {
                    Result = What;
                    Io.stop();
                  });
    Io.restart();
    Io.run();
    return Result;
  }
};

} // namespace

// Guards against an outcome that is taken for another: a refusal must be known
// to have done nothing, and nonsense must not end the process.
TEST_CASE("each answer of the store has its outcome") {
  PreparedStore Store;
  auto Good = Store.commit(200, R"({"schema_version":412,"now_ms":1})");
  REQUIRE(std::get<rows::Committed>(Good).Version == rows::RowVersion(412));
  REQUIRE(Store.Asked.Body.find(toBase64("value")) != std::string::npos);
  auto Bad = Store.commit(412, R"({"rows":[{"table":"t","part":"p","key":"k",)"
                               R"("value":"djE=","schema_version":9}]})");
  REQUIRE(std::get<rows::Conflict>(Bad).Current.at(0).Value == "v1");
  for (int Status : {429, 503})
    REQUIRE(std::holds_alternative<rows::NotApplied>(Store.commit(Status, "")));
  REQUIRE(std::holds_alternative<rows::OutcomeUnknown>(Store.commit(500, "")));
  REQUIRE(std::holds_alternative<rows::OutcomeUnknown>(
      Store.commit(200, "<html>")));
}

// Guards against a removed row that is taken for one with a value, and against
// a gap in the history that goes unnoticed.
TEST_CASE("a feed tells changes, removals and lost history") {
  PreparedStore Store;
  auto Page = std::get<rows::RowPage>(Store.follow(
      200, R"({"rows":[{"table":"t","part":"p","key":"k","tombstone":true,)"
           R"("schema_version":6}],"schema_version":8})"));
  REQUIRE(Page.Rows.at(0).Removed);
  REQUIRE(Page.Version == rows::RowVersion(8));
  REQUIRE(std::holds_alternative<rows::HistoryGone>(Store.follow(410, "")));
  REQUIRE(std::holds_alternative<rows::ReadFailed>(Store.follow(200, "{}")));
}
