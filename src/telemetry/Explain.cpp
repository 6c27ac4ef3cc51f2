#include "daisyspool/telemetry/Explain.h"

#include <algorithm>
#include <utility>

namespace daisyspool {

namespace {

constexpr std::string_view TimeKey = "time=";

/// Whether a field of \p Line has the value \p Id or one that starts with \p Id
/// and a dot.
bool hasValue(const std::string &Line, const std::string &Id) {
  for (std::size_t At = Line.find('=' + Id); At != std::string::npos;
       At = Line.find('=' + Id, At + 1)) {
    std::size_t End = At + 1 + Id.size();
    if (End == Line.size() || Line[End] == ' ' || Line[End] == '.')
      return true;
  }

  return false;
}

/// The timestamp of \p Line, which sorts as text; empty if there is none.
std::string timestampOf(const std::string &Line) {
  std::size_t At = Line.find(TimeKey);
  if (At == std::string::npos)
    return {};

  At += TimeKey.size();
  return Line.substr(At, Line.find(' ', At) - At);
}

} // namespace

std::vector<std::string> logLinesFor(const std::string &Id,
                                     std::istream &Logs) {
  std::vector<std::pair<std::string, std::string>> Matches;
  std::string Line;
  while (std::getline(Logs, Line))
    if (hasValue(Line, Id))
      Matches.emplace_back(timestampOf(Line), Line);
  std::stable_sort(
      Matches.begin(), Matches.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<std::string> Result;
  Result.reserve(Matches.size());
  for (auto &Each : Matches)
    Result.push_back(std::move(Each.second));

  return Result;
}

} // namespace daisyspool
