#include "daisyspool/replay/Outcome.h"

#include "replay/LineFields.h"

namespace daisyspool {

namespace {

constexpr std::int64_t MaxDurationMs = 3600000;

const std::vector<std::string> MetricNames{
    "on_time_share",   "on_time_or_refused_share",
    "p99_ms",          "p99_ratio",
    "goodput_share",   "lost",
    "wrong_answers",   "duplicated",
    "refused_but_run", "whole_stream_share",
    "jobs_ended_share"};

Outcome readOutcome(LineFields &Line) {
  Outcome Result;
  Result.Name = Line.text("name");
  Result.Deployment = Line.text("deployment");
  Result.Metric = static_cast<MetricKind>(Line.choice("measure", MetricNames));
  if (Line.has("class"))
    Result.Class = static_cast<WorkClass>(
        Line.choice("class", {WorkClassNames.begin(), WorkClassNames.end()}));
  if (Line.has("kind"))
    Result.Kind = static_cast<TraceKind>(
        Line.choice("kind", {"request", "stream", "job"}));
  if (Line.has("idempotent"))
    Result.Idempotent = Line.flagOr("idempotent", true);
  Result.Group = Line.textOr("group", "");
  if (Result.Metric == MetricKind::P99Ratio)
    Result.Baseline = Line.text("baseline");
  if (Result.Metric == MetricKind::GoodputShare) {
    Result.Slots = Line.integer("slots", 1, 1000000);
    Result.From = Millis(Line.integer("from_ms", 0, MaxDurationMs));
    Result.To =
        Millis(Line.integer("to_ms", Result.From.count() + 1, MaxDurationMs));
  }
  if (Line.has("at_least") == Line.has("at_most"))
    Line.fail("at_least", "exactly one of at_least and at_most");
  Result.Bound = Line.has("at_least") ? BoundKind::AtLeast : BoundKind::AtMost;
  Result.Limit =
      Line.number(Result.Bound == BoundKind::AtLeast ? "at_least" : "at_most");
  return Result;
}

} // namespace

std::vector<Outcome> parseOutcomes(const std::string &File,
                                   const std::string &Text) {
  std::vector<Outcome> Result;
  forEachLine(File, Text,
              [&](LineFields &Line) { Result.push_back(readOutcome(Line)); });
  return Result;
}

} // namespace daisyspool
