#include "daisyspool/replay/Evaluation.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>

namespace daisyspool {

namespace {

struct SelectedItem {
  const TraceItem *Item;
  const ItemResult *Result;
};

using Selection = std::vector<SelectedItem>;

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

bool isOnTime(const SelectedItem &Entry) {
  return Entry.Result->Status == ItemStatus::Answered &&
         Entry.Result->Took <= Entry.Item->Timeout;
}

template <typename Predicate>
std::optional<double> share(const Selection &Items, Predicate Matches) {
  if (Items.empty())
    return std::nullopt;

  return static_cast<double>(
             std::count_if(Items.begin(), Items.end(), Matches)) /
         static_cast<double>(Items.size());
}

template <typename Predicate>
std::optional<double> count(const Selection &Items, Predicate Matches) {
  if (Items.empty())
    return std::nullopt;

  return static_cast<double>(
      std::count_if(Items.begin(), Items.end(), Matches));
}

std::optional<double> p99(const Selection &Items) {
  std::vector<double> Sorted;
  for (const SelectedItem &Each : Items)
    if (Each.Result->Status == ItemStatus::Answered)
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
                               const Selection &Items) {
  auto Measured = p99(Items);
  auto Baseline = p99(select(Required, Required.Baseline, Record));
  if (!Measured || !Baseline)
    return std::nullopt;
  if (*Baseline == 0)
    return std::numeric_limits<double>::infinity();

  return *Measured / *Baseline;
}

std::optional<double> goodputShare(const Outcome &Required,
                                   const Selection &Items) {
  if (Items.empty())
    return std::nullopt;

  Millis OnTimeWork{};
  for (const SelectedItem &Each : Items)
    if (isOnTime(Each) && Each.Result->EndedAt >= Required.From &&
        Each.Result->EndedAt < Required.To)
      OnTimeWork += Each.Item->Work;
  Millis Capacity = (Required.To - Required.From) * Required.Slots;
  return static_cast<double>(OnTimeWork.count()) /
         static_cast<double>(Capacity.count());
}

std::uint64_t executionsOf(const SelectedItem &Entry,
                           const ReplayRecord &Record) {
  auto Found = Record.Executions->find(Entry.Item->Id);
  return Found == Record.Executions->end() ? 0 : Found->second;
}

std::optional<double> duplicated(const ReplayRecord &Record,
                                 const Selection &Items) {
  if (!Record.Executions)
    return std::nullopt;

  return count(Items, [&](const SelectedItem &Entry) {
    return !Entry.Item->Idempotent && executionsOf(Entry, Record) > 1;
  });
}

std::optional<double> refusedButRun(const ReplayRecord &Record,
                                    const Selection &Items) {
  if (!Record.Executions)
    return std::nullopt;

  return count(Items, [&](const SelectedItem &Entry) {
    return Entry.Result->Status == ItemStatus::Refused &&
           executionsOf(Entry, Record) > 0;
  });
}

std::optional<double> measure(const Outcome &Required,
                              const ReplayRecord &Record) {
  Selection Items = select(Required, Required.Group, Record);
  switch (Required.Metric) {
  case MetricKind::OnTimeShare:
    return share(Items, isOnTime);
  case MetricKind::OnTimeOrRefusedShare:
    return share(Items, [](const SelectedItem &Entry) {
      return isOnTime(Entry) || Entry.Result->Status == ItemStatus::Refused;
    });
  case MetricKind::P99Ms:
    return p99(Items);
  case MetricKind::P99Ratio:
    return p99Ratio(Required, Record, Items);
  case MetricKind::GoodputShare:
    return goodputShare(Required, Items);
  case MetricKind::Lost:
    return count(Items, [](const SelectedItem &Entry) {
      return Entry.Result->Status == ItemStatus::Failed ||
             Entry.Result->Status == ItemStatus::Unknown;
    });
  case MetricKind::WrongAnswers:
    return count(Items, [](const SelectedItem &Entry) {
      return Entry.Result->WrongAnswer;
    });
  case MetricKind::Duplicated:
    return duplicated(Record, Items);
  case MetricKind::RefusedButRun:
    return refusedButRun(Record, Items);
  case MetricKind::WholeStreamShare:
    return share(Items, [](const SelectedItem &Entry) {
      return Entry.Result->Status == ItemStatus::Answered &&
             !Entry.Result->BrokenStream;
    });
  case MetricKind::JobsEndedShare:
    return share(Items, [](const SelectedItem &Entry) {
      return Entry.Result->Status == ItemStatus::Answered;
    });
  }
  return std::nullopt;
}

} // namespace

const char *toString(ItemStatus Value) {
  switch (Value) {
  case ItemStatus::Answered:
    return "answered";
  case ItemStatus::Refused:
    return "refused";
  case ItemStatus::Failed:
    return "failed";
  case ItemStatus::Unknown:
    return "unknown";
  }
  return "unknown";
}

Verdict evaluate(const Outcome &Required, const ReplayRecord &Record) {
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
