#include "daisyspool/replay/Evaluation.h"

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

ItemResult itemResult(ItemStatus Status, std::int64_t TookMs) {
  ItemResult Result;
  Result.Status = Status;
  Result.Took = Millis(TookMs);
  Result.EndedAt = Millis(TookMs);
  return Result;
}

/// One group with an answer on time, a late answer, a refusal and an unknown
/// result.
ReplayRecord mixedRecord() {
  ReplayRecord Result;
  for (const char *Id : {"a", "b", "c", "d"})
    Result.Items.push_back(item(Id, "mixed"));
  Result.Results = {itemResult(ItemStatus::Answered, 100),
                    itemResult(ItemStatus::Answered, 101),
                    itemResult(ItemStatus::Refused, 5),
                    itemResult(ItemStatus::Unknown, 100)};
  Result.Executions = std::map<std::string, std::uint64_t>{};
  return Result;
}

Outcome outcome(MetricKind Metric, double AtMost) {
  Outcome Result;
  Result.Name = "n";
  Result.Deployment = "d";
  Result.Metric = Metric;
  Result.Bound = BoundKind::AtMost;
  Result.Limit = AtMost;
  return Result;
}

double measured(MetricKind Metric, const ReplayRecord &Record) {
  return evaluate(outcome(Metric, 0), Record).Measured.value();
}

} // namespace

// Guards against late answers and refusals that count as answered on time.
TEST_CASE("shares distinguish late, refused and unknown results") {
  ReplayRecord Record = mixedRecord();

  REQUIRE(measured(MetricKind::OnTimeShare, Record) == 0.25);
  REQUIRE(measured(MetricKind::OnTimeOrRefusedShare, Record) == 0.5);
  REQUIRE(measured(MetricKind::Lost, Record) == 1);
  REQUIRE(measured(MetricKind::P99Ms, Record) == 101);
}

// Guards against undetected requests that ran twice, or ran although they were
// refused.
TEST_CASE("executions reveal duplicated and refused but run requests") {
  ReplayRecord Record = mixedRecord();
  (*Record.Executions)["a"] = 2;
  REQUIRE(measured(MetricKind::Duplicated, Record) == 0);
  REQUIRE(measured(MetricKind::RefusedButRun, Record) == 0);

  Record.Items[0].Idempotent = false;
  (*Record.Executions)["c"] = 1;
  REQUIRE(measured(MetricKind::Duplicated, Record) == 1);
  REQUIRE(measured(MetricKind::RefusedButRun, Record) == 1);
}

// Guards against goodput that counts late answers or those outside its window.
TEST_CASE("goodput counts the work answered on time within the window") {
  Outcome Required = outcome(MetricKind::GoodputShare, 1);
  Required.Slots = 1;
  Required.From = Millis(100);
  Required.To = Millis(200);

  REQUIRE(evaluate(Required, mixedRecord()).Measured == 0.5);
}

// Guards against a ratio that is computed with the wrong group.
TEST_CASE("the p99 ratio divides by the p99 of the baseline group") {
  ReplayRecord Record = mixedRecord();
  Record.Items.push_back(item("e", "baseline"));
  Record.Results.push_back(itemResult(ItemStatus::Answered, 50));
  Outcome Required = outcome(MetricKind::P99Ratio, 2);
  Required.Group = "mixed";
  Required.Baseline = "baseline";

  REQUIRE(evaluate(Required, Record).Measured == 2.02);
  REQUIRE_FALSE(evaluate(Required, Record).Passed);
}

// Guards against an outcome that passes although its metric has no value.
TEST_CASE("an outcome without a measurement fails") {
  ReplayRecord Record = mixedRecord();
  Outcome Required = outcome(MetricKind::Lost, 10);
  REQUIRE(toLine(Required, evaluate(Required, Record)) ==
          "outcome=n deployment=d target=at_most:10 measured=1 verdict=pass");

  Required.Group = "misspelt";
  REQUIRE(
      toLine(Required, evaluate(Required, Record)) ==
      "outcome=n deployment=d target=at_most:10 measured=none verdict=fail");

  Record.Executions.reset();
  REQUIRE_FALSE(evaluate(outcome(MetricKind::Duplicated, 0), Record).Passed);
}
