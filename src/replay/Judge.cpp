#include "daisyspool/replay/Judge.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>

namespace daisyspool {

namespace {

struct Selected {
  const TraceItem *Item;
  const ItemResult *Result;
};

using Selection = std::vector<Selected>;

bool selects(const Outcome &Required, const std::string &Group,
             const TraceItem &Item) {
  return (!Required.Class || *Required.Class == Item.Class) &&
         (!Required.Kind || *Required.Kind == Item.Kind) &&
         (!Required.Idempotent || *Required.Idempotent == Item.Idempotent) &&
         (Group.empty() || Group == Item.Group);
}

Selection select(const Outcome &Required, const std::string &Group,
                 const ReplayRecord &Record) {
  Selection Result;
  for (std::size_t Index = 0; Index < Record.Items.size(); ++Index)
    if (selects(Required, Group, Record.Items[Index]))
      Result.push_back({&Record.Items[Index], &Record.Results[Index]});

  return Result;
}

bool isOnTime(const Selected &One) {
  return One.Result->End == Ending::Answered &&
         One.Result->Took <= One.Item->Timeout;
}

template <typename Test>
std::optional<double> share(const Selection &Of, Test Holds) {
  if (Of.empty())
    return std::nullopt;

  return static_cast<double>(std::count_if(Of.begin(), Of.end(), Holds)) /
         static_cast<double>(Of.size());
}

template <typename Test>
std::optional<double> number(const Selection &Of, Test Holds) {
  if (Of.empty())
    return std::nullopt;

  return static_cast<double>(std::count_if(Of.begin(), Of.end(), Holds));
}

std::optional<double> p99(const Selection &Of) {
  std::vector<double> Sorted;
  for (const Selected &Each : Of)
    if (Each.Result->End == Ending::Answered)
      Sorted.push_back(static_cast<double>(Each.Result->Took.count()));
  if (Sorted.empty())
    return std::nullopt;

  std::sort(Sorted.begin(), Sorted.end());
  auto Rank = static_cast<std::size_t>(
      std::ceil(0.99 * static_cast<double>(Sorted.size())));
  return Sorted[Rank - 1];
}

std::optional<double> p99Ratio(const Outcome &Required,
                               const ReplayRecord &Record,
                               const Selection &Of) {
  auto Loaded = p99(Of);
  auto Calm = p99(select(Required, Required.Baseline, Record));
  if (!Loaded || !Calm)
    return std::nullopt;
  if (*Calm == 0)
    return std::numeric_limits<double>::infinity();

  return *Loaded / *Calm;
}

std::optional<double> goodputShare(const Outcome &Required,
                                   const Selection &Of) {
  if (Of.empty())
    return std::nullopt;

  Millis Done{};
  for (const Selected &Each : Of)
    if (isOnTime(Each) && Each.Result->EndedAt >= Required.From &&
        Each.Result->EndedAt < Required.To)
      Done += Each.Item->Work;
  Millis Capacity = (Required.To - Required.From) * Required.Slots;
  return static_cast<double>(Done.count()) /
         static_cast<double>(Capacity.count());
}

std::uint64_t executionsOf(const Selected &One, const ReplayRecord &Record) {
  auto Found = Record.Executions->find(One.Item->Id);
  return Found == Record.Executions->end() ? 0 : Found->second;
}

std::optional<double> duplicated(const ReplayRecord &Record,
                                 const Selection &Of) {
  if (!Record.Executions)
    return std::nullopt;

  return number(Of, [&](const Selected &One) {
    return !One.Item->Idempotent && executionsOf(One, Record) > 1;
  });
}

std::optional<double> refusedButRun(const ReplayRecord &Record,
                                    const Selection &Of) {
  if (!Record.Executions)
    return std::nullopt;

  return number(Of, [&](const Selected &One) {
    return One.Result->End == Ending::Refused && executionsOf(One, Record) > 0;
  });
}

std::optional<double> measure(const Outcome &Required,
                              const ReplayRecord &Record) {
  Selection Of = select(Required, Required.Group, Record);
  switch (Required.What) {
  case Measure::OnTimeShare:
    return share(Of, isOnTime);
  case Measure::OnTimeOrRefusedShare:
    return share(Of, [](const Selected &One) {
      return isOnTime(One) || One.Result->End == Ending::Refused;
    });
  case Measure::P99Ms:
    return p99(Of);
  case Measure::P99Ratio:
    return p99Ratio(Required, Record, Of);
  case Measure::GoodputShare:
    return goodputShare(Required, Of);
  case Measure::Lost:
    return number(Of, [](const Selected &One) {
      return One.Result->End == Ending::Failed ||
             One.Result->End == Ending::Unknown;
    });
  case Measure::WrongAnswers:
    return number(Of,
                  [](const Selected &One) { return One.Result->WrongAnswer; });
  case Measure::Duplicated:
    return duplicated(Record, Of);
  case Measure::RefusedButRun:
    return refusedButRun(Record, Of);
  case Measure::WholeStreamShare:
    return share(Of, [](const Selected &One) {
      return One.Result->End == Ending::Answered && !One.Result->BrokenStream;
    });
  case Measure::JobsEndedShare:
    return share(Of, [](const Selected &One) {
      return One.Result->End == Ending::Answered;
    });
  }
  return std::nullopt;
}

} // namespace

const char *toString(Ending Value) {
  switch (Value) {
  case Ending::Answered:
    return "answered";
  case Ending::Refused:
    return "refused";
  case Ending::Failed:
    return "failed";
  case Ending::Unknown:
    return "unknown";
  }
  return "unknown";
}

Verdict judge(const Outcome &Required, const ReplayRecord &Record) {
  assert(Record.Items.size() == Record.Results.size());

  Verdict Result;
  Result.Measured = measure(Required, Record);
  Result.Passed = Result.Measured && (Required.Bound == BoundKind::AtLeast
                                          ? *Result.Measured >= Required.Limit
                                          : *Result.Measured <= Required.Limit);
  return Result;
}

std::string toLine(const Outcome &Required, const Verdict &Result) {
  std::ostringstream Line;
  Line << "outcome=" << Required.Name << " deployment=" << Required.Deployment
       << " target="
       << (Required.Bound == BoundKind::AtLeast ? "at_least:" : "at_most:")
       << Required.Limit << " measured=" << std::setprecision(5);
  if (Result.Measured)
    Line << *Result.Measured;
  else
    Line << "none";
  Line << " verdict=" << (Result.Passed ? "pass" : "fail");
  return Line.str();
}

} // namespace daisyspool
