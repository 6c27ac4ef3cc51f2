#include "daisyspool/replay/ReplayCommand.h"

#include "daisyspool/http/Client.h"
#include "daisyspool/replay/Evaluation.h"
#include "daisyspool/replay/Runner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>

namespace daisyspool {

namespace {

constexpr Millis ExecutionsTimeout{5000};
/// Limit of printed problems; the summary counts all of them.
constexpr int MaxPrintedProblems = 20;
constexpr std::size_t ItemStatusCount = 4;

using ExecutionCounts = std::map<std::string, std::uint64_t>;

std::string readFile(const std::string &Flag, const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    throw SettingsError(Path.empty() ? "command line" : Path, 0, Flag, Path,
                        "a readable file");

  return {std::istreambuf_iterator<char>(Stream), {}};
}

http::Endpoint parseAddress(const std::string &Flag, const std::string &Text) {
  auto Result = http::parseEndpoint(Text);
  if (!Result)
    throw SettingsError("command line", 0, Flag, Text, "ADDRESS:PORT");

  return *Result;
}

void addExecutions(const std::string &Source, const std::string &Text,
                   ExecutionCounts &Totals) {
  auto Document = nlohmann::json::parse(Text, nullptr, false);
  if (!Document.is_object())
    throw SettingsError(Source, 0, "executions", Text.substr(0, 80),
                        "a JSON object");

  for (const auto &Each : Document.items())
    Totals[Each.key()] += Each.value().get<std::uint64_t>();
}

std::optional<ExecutionCounts> collectExecutions(const ReplayFlags &Flags) {
  if (Flags.Executions.empty() && Flags.SavedExecutions.empty())
    return std::nullopt;

  ExecutionCounts Result;
  for (const std::string &Each : Flags.Executions) {
    http::Response Answer = http::exchangeBlocking(
        parseAddress("--executions", Each), {"GET", "/executions", {}, ""},
        ExecutionsTimeout);
    addExecutions(Each, Answer.Body, Result);
  }
  for (const std::string &Each : Flags.SavedExecutions)
    addExecutions(Each, readFile("--saved_executions", Each), Result);
  return Result;
}

struct GroupSummary {
  std::array<int, ItemStatusCount> StatusCounts{};
  /// Response times of answered items.
  std::vector<Millis> Took;
};

std::int64_t percentileMs(const std::vector<Millis> &Sorted,
                          std::size_t Percent) {
  return Sorted[(Sorted.size() * Percent + 99) / 100 - 1].count();
}

void printGroup(const std::string &Name, GroupSummary Group) {
  std::cout << "group=" << Name;
  for (std::size_t Index = 0; Index < ItemStatusCount; ++Index)
    std::cout << ' ' << toString(static_cast<ItemStatus>(Index)) << '='
              << Group.StatusCounts[Index];
  std::sort(Group.Took.begin(), Group.Took.end());
  if (!Group.Took.empty())
    std::cout << " p50_ms=" << percentileMs(Group.Took, 50)
              << " p99_ms=" << percentileMs(Group.Took, 99)
              << " max_ms=" << Group.Took.back().count();
  std::cout << '\n';
}

void printSummary(const ReplayRecord &Record) {
  std::map<std::string, GroupSummary> Groups;
  for (std::size_t Index = 0; Index < Record.Items.size(); ++Index) {
    const ItemResult &Result = Record.Results[Index];
    GroupSummary &Group = Groups[Record.Items[Index].Group];
    ++Group.StatusCounts[static_cast<std::size_t>(Result.Status)];
    if (Result.Status == ItemStatus::Answered)
      Group.Took.push_back(Result.Took);
  }
  for (auto &[Name, Group] : Groups)
    printGroup(Name, std::move(Group));
}

void printProblems(const ReplayRecord &Record) {
  int Printed = 0;
  for (std::size_t Index = 0; Index < Record.Items.size(); ++Index) {
    const TraceItem &Item = Record.Items[Index];
    const ItemResult &Result = Record.Results[Index];
    bool IsProblem = Result.Status == ItemStatus::Failed ||
                     Result.Status == ItemStatus::Unknown ||
                     Result.BrokenStream || Result.WrongAnswer;
    if (!IsProblem || ++Printed > MaxPrintedProblems)
      continue;
    std::string Detail =
        nlohmann::json(Result.Detail)
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::cerr << "problem=" << toString(Result.Status) << " id=" << Item.Id
              << " at_ms=" << Item.At.count()
              << " took_ms=" << Result.Took.count()
              << " attempts=" << Result.Attempts
              << " broken_stream=" << (Result.BrokenStream ? "yes" : "no")
              << " wrong_answer=" << (Result.WrongAnswer ? "yes" : "no")
              << " detail=" << Detail << '\n';
  }
}

} // namespace

int runReplay(const ReplayFlags &Flags) {
  ReplayRecord Record;
  Record.Items = parseTrace(Flags.Trace, readFile("--trace", Flags.Trace));
  auto Required =
      parseOutcomes(Flags.Outcomes, readFile("--outcomes", Flags.Outcomes));
  http::Endpoint Entry = parseAddress("--entry", Flags.Entry);

  Record.Results = runTrace(Entry, Record.Items);
  Record.Executions = collectExecutions(Flags);
  printSummary(Record);
  printProblems(Record);

  bool Passed = true;
  for (const Outcome &Each : Required) {
    Verdict Result = evaluate(Each, Record);
    std::cout << toLine(Each, Result) << '\n';
    Passed = Passed && Result.Passed;
  }
  return Passed ? 0 : 1;
}

} // namespace daisyspool
