#include "daisyspool/replay/ReplayCommand.h"

#include "daisyspool/http/Client.h"
#include "daisyspool/replay/Judge.h"
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
/// Problems printed in full; the rest are counted in the summary.
constexpr int MostDetails = 20;
constexpr std::size_t EndingCount = 4;

using ExecutionCounts = std::map<std::string, std::uint64_t>;

std::string readFile(const std::string &Flag, const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    throw SettingsError(Path.empty() ? "command line" : Path, 0, Flag, Path,
                        "a file that can be read");

  return {std::istreambuf_iterator<char>(Stream), {}};
}

http::Endpoint parseAddress(const std::string &Flag, const std::string &Text) {
  auto Result = http::parseEndpoint(Text);
  if (!Result)
    throw SettingsError("command line", 0, Flag, Text, "ADDRESS:PORT");

  return *Result;
}

void addExecutions(const std::string &From, const std::string &Text,
                   ExecutionCounts &To) {
  auto Document = nlohmann::json::parse(Text, nullptr, false);
  if (!Document.is_object())
    throw SettingsError(From, 0, "executions", Text.substr(0, 80),
                        "a JSON object");

  for (const auto &Each : Document.items())
    To[Each.key()] += Each.value().get<std::uint64_t>();
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
  std::array<int, EndingCount> Endings{};
  /// Times of the answers.
  std::vector<Millis> Took;
};

std::int64_t percentileMs(const std::vector<Millis> &Sorted,
                          std::size_t Percent) {
  return Sorted[(Sorted.size() * Percent + 99) / 100 - 1].count();
}

void printGroup(const std::string &Name, GroupSummary Group) {
  std::cout << "group=" << Name;
  for (std::size_t Index = 0; Index < EndingCount; ++Index)
    std::cout << ' ' << toString(static_cast<Ending>(Index)) << '='
              << Group.Endings[Index];
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
    ++Group.Endings[static_cast<std::size_t>(Result.End)];
    if (Result.End == Ending::Answered)
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
    bool IsProblem = Result.End == Ending::Failed ||
                     Result.End == Ending::Unknown || Result.BrokenStream ||
                     Result.WrongAnswer;
    if (!IsProblem || ++Printed > MostDetails)
      continue;
    std::string Detail =
        nlohmann::json(Result.Detail)
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::cerr << "problem=" << toString(Result.End) << " id=" << Item.Id
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
    Verdict Result = judge(Each, Record);
    std::cout << toLine(Each, Result) << '\n';
    Passed = Passed && Result.Passed;
  }
  return Passed ? 0 : 1;
}

} // namespace daisyspool
