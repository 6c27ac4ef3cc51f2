#include "RowStoreClient.h"

#include "daisyspool/http/Server.h"
#include "daisyspool/platform/Base64.h"

#include "support/OddValues.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::platform;
using namespace daisyspool::testing;

namespace {

/// A store that sends the same prepared response to every request.
struct StubStore {
  boost::asio::io_context Io{1};
  http::Response Response;
  http::Request LastRequest;
  http::Server Port{Io,
                    {{"127.0.0.1", 0}},
                    [this](const http::Request &Request,
                           const std::shared_ptr<http::Exchange> &Exchange) {
                      LastRequest = Request;
                      Exchange->respond(Response);
                    }};
  RowStoreClient Client{Io, Port.endpoint()};

  rows::CommitOutcome commit(int Status, const std::string &Body) {
    Response = {Status, {}, Body};
    rows::CommitOutcome Result;
    rows::RowTransaction Write;
    Write.Conditions.push_back({{"t", "p", "k"}, rows::RowVersion(3)});
    Write.Puts.push_back({{"t", "p", "k"}, "value"});
    Client.commit(Write, Millis(5000), [&](const rows::CommitOutcome &Outcome) {
      Result = Outcome;
      Io.stop();
    });
    Io.restart();
    Io.run();
    return Result;
  }

  rows::FeedOutcome follow(int Status, const std::string &Body) {
    Response = {Status, {}, Body};
    rows::FeedOutcome Result;
    Client.follow("t", rows::RowVersion(5), Millis(100),
                  [&](const rows::FeedOutcome &Outcome) {
                    Result = Outcome;
                    Io.stop();
                  });
    Io.restart();
    Io.run();
    return Result;
  }
};

} // namespace

// Guards against a response that is mapped to the wrong outcome: a refused
// write must be reported as not applied, and a malformed response must not
// terminate the process.
TEST_CASE("each response of the store maps to its outcome") {
  StubStore Store;
  auto Good = Store.commit(200, R"({"schema_version":412,"now_ms":1})");
  REQUIRE(std::get<rows::Committed>(Good).Version == rows::RowVersion(412));
  REQUIRE(Store.LastRequest.Body.find(toBase64("value")) != std::string::npos);
  auto Bad = Store.commit(412, R"({"rows":[{"table":"t","part":"p","key":"k",)"
                               R"("value":"djE=","schema_version":9}]})");
  REQUIRE(std::get<rows::Conflict>(Bad).Current.at(0).Value == "v1");
  for (int Status : {429, 503})
    REQUIRE(std::holds_alternative<rows::NotApplied>(Store.commit(Status, "")));
  for (int Status : {400, 403, 413})
    REQUIRE(std::holds_alternative<rows::Rejected>(Store.commit(Status, "")));
  for (int Status : {408, 500, 507})
    REQUIRE(
        std::holds_alternative<rows::OutcomeUnknown>(Store.commit(Status, "")));
  REQUIRE(std::holds_alternative<rows::OutcomeUnknown>(
      Store.commit(200, "<html>")));
}

// Guards against a removed row that is read as a row with a value, and against
// an undetected gap in the history.
TEST_CASE("a feed distinguishes changes, removals and lost history") {
  StubStore Store;
  auto Page = std::get<rows::RowPage>(Store.follow(
      200, R"({"rows":[{"table":"t","part":"p","key":"k","tombstone":true,)"
           R"("schema_version":6}],"schema_version":8})"));
  REQUIRE(Page.Rows.at(0).Removed);
  REQUIRE(Page.Version == rows::RowVersion(8));
  REQUIRE(std::holds_alternative<rows::HistoryGone>(Store.follow(410, "")));
  REQUIRE(std::holds_alternative<rows::ReadFailed>(Store.follow(200, "{}")));
}

// Guards against one row that another writer left and that makes the whole page
// unreadable, so that the table is not followed any more.
TEST_CASE("an unreadable row does not hide the other rows of its page") {
  StubStore Store;
  const std::string Good = R"({"table":"t","part":"p","key":"good",)"
                           R"("value":"djE=","schema_version":9})";
  for (const std::string &Odd :
       {std::string(R"({"table":"t","part":"p","key":"odd","value":"dj",)"
                    R"("schema_version":8})"),
        std::string(R"({"table":"t","part":"p","key":"odd","value":8,)"
                    R"("schema_version":8})"),
        std::string(R"({"table":"t","part":"p","key":"odd",)"
                    R"("schema_version":8})")}) {
    INFO(Odd);
    std::string Body = R"({"rows":[)";
    Body.append(Odd).append(",").append(Good);
    Body.append(R"(],"schema_version":9})");
    auto Page = std::get<rows::RowPage>(Store.follow(200, Body));
    // The key stays known, as the next page is requested from the last key.
    REQUIRE(Page.Rows.size() == 2);
    REQUIRE(Page.Rows[0].Name.Key == "odd");
    REQUIRE(Page.Rows[0].Value.empty());
    REQUIRE(Page.Rows[1].Value == "v1");
  }
  for (const char *Odd :
       {"8", "null", "[]", R"({"table":"t","key":8,"schema_version":8})",
        R"({"table":"t","key":"odd","value":"","schema_version":1e30})",
        R"({"table":"t","key":"odd","value":"","schema_version":-1})"}) {
    INFO(Odd);
    auto Page = std::get<rows::RowPage>(
        Store.follow(200, R"({"rows":[)" + std::string(Odd) + "," + Good +
                              R"(],"schema_version":9})"));
    REQUIRE(Page.Rows.size() == 1);
    REQUIRE(Page.Rows[0].Value == "v1");
  }
}

// Guards against a response that exhausts the stack, and against a version that
// wraps or is clipped, after which changes are missed.
TEST_CASE("a deeply nested page or a version out of range is a failed read") {
  StubStore Store;
  for (const std::string &Body :
       {R"({"rows":)" + deepJson(100000) + R"(,"schema_version":9})",
        R"({"x":)" + deepJson(100000) + R"(,"rows":[],"schema_version":9})",
        std::string(R"({"rows":[],"schema_version":1e30})"),
        std::string(R"({"rows":[],"schema_version":-1})"),
        std::string(R"({"rows":[],"schema_version":18446744073709551615})")})
    REQUIRE(std::holds_alternative<rows::ReadFailed>(Store.follow(200, Body)));
  REQUIRE(std::holds_alternative<rows::OutcomeUnknown>(
      Store.commit(200, R"({"schema_version":-1})")));
}
