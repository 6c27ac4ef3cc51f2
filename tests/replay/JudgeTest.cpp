#include "daisyspool/replay/Judge.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

TraceItem item(const std::string &Id, const std::string &Group) {
  TraceItem Result;
  Result.Id = Id;
  Result.Group = Group;
  Result.Timeout = Millis(100);
  Result.Work = Millis(50);
  return Result;
}

ItemResult ended(Ending End, std::int64_t TookMs) {
  ItemResult Result;
  Result.End = End;
  Result.Took = Millis(TookMs);
  Result.EndedAt = Millis(TookMs);
  return Result;
}

/// One group with an answer on time, a late one, a refusal and an unknown.
ReplayRecord mixedRecord() {
  ReplayRecord Result;
  for (const char *Id : {"a", "b", "c", "d"})
    Result.Items.push_back(item(Id, "mixed"));
  Result.Results = {ended(Ending::Answered, 100), ended(Ending::Answered, 101),
                    ended(Ending::Refused, 5), ended(Ending::Unknown, 100)};
  Result.Executions = std::map<std::string, std::uint64_t>{};
  return Result;
}

Outcome outcome(Measure What, double AtMost) {
  Outcome Result;
  Result.Name = "n";
  Result.Deployment = "d";
  Result.What = What;
  Result.Bound = BoundKind::AtMost;
  Result.Limit = AtMost;
  return Result;
}

double measured(Measure What, const ReplayRecord &Record) {
  return judge(outcome(What, 0), Record).Measured.value();
}

} // namespace

// Guards against late answers and refusals that count as answered on time.
TEST_CASE("shares tell late, refused and unknown apart") {
  ReplayRecord Record = mixedRecord();

  REQUIRE(measured(Measure::OnTimeShare, Record) == 0.25);
  REQUIRE(measured(Measure::OnTimeOrRefusedShare, Record) == 0.5);
  REQUIRE(measured(Measure::Lost, Record) == 1);
  REQUIRE(measured(Measure::P99Ms, Record) == 101);
}

// Guards against a request that ran twice, or after a refusal, unnoticed.
TEST_CASE("executions reveal duplicates and refusals that were run") {
  ReplayRecord Record = mixedRecord();
  (*Record.Executions)["a"] = 2;
  REQUIRE(measured(Measure::Duplicated, Record) == 0);
  REQUIRE(measured(Measure::RefusedButRun, Record) == 0);

  Record.Items[0].Idempotent = false;
  (*Record.Executions)["c"] = 1;
  REQUIRE(measured(Measure::Duplicated, Record) == 1);
  REQUIRE(measured(Measure::RefusedButRun, Record) == 1);
}

// Guards against goodput that counts late answers or those outside its window.
TEST_CASE("goodput counts the work answered on time within the window") {
  Outcome Required = outcome(Measure::GoodputShare, 1);
  Required.Slots = 1;
  Required.From = Millis(100);
  Required.To = Millis(200);

  REQUIRE(judge(Required, mixedRecord()).Measured == 0.5);
}

// Guards against a wrong baseline of the ratio.
TEST_CASE("a p99 is compared with that of the baseline group") {
  ReplayRecord Record = mixedRecord();
  Record.Items.push_back(item("e", "calm"));
  Record.Results.push_back(ended(Ending::Answered, 50));
  Outcome Required = outcome(Measure::P99Ratio, 2);
  Required.Group = "mixed";
  Required.Baseline = "calm";

  REQUIRE(judge(Required, Record).Measured == 2.02);
  REQUIRE_FALSE(judge(Required, Record).Passed);
}

// Guards against a pass of an outcome that nothing was measured for.
TEST_CASE("an outcome without a measurement fails") {
  ReplayRecord Record = mixedRecord();
  Outcome Required = outcome(Measure::Lost, 10);
  REQUIRE(toLine(Required, judge(Required, Record)) ==
          "outcome=n deployment=d target=at_most:10 measured=1 verdict=pass");

  Required.Group = "misspelt";
  REQUIRE(
      toLine(Required, judge(Required, Record)) ==
      "outcome=n deployment=d target=at_most:10 measured=none verdict=fail");

  Record.Executions.reset();
  REQUIRE_FALSE(judge(outcome(Measure::Duplicated, 0), Record).Passed);
}
