#include "daisyspool/telemetry/Explain.h"

#include <algorithm>
#include <utility>

namespace daisyspool {

namespace {

constexpr std::string_view TimeKey = "time=";

/// Whether a value of \p Line is \p Id or begins with it and a dot.
bool names(const std::string &Line, const std::string &Id) {
  for (std::size_t At = Line.find('=' + Id); At != std::string::npos;
       At = Line.find('=' + Id, At + 1)) {
    std::size_t End = At + 1 + Id.size();
    if (End == Line.size() || Line[End] == ' ' || Line[End] == '.')
      return true;
  }

  return false;
}

/// The written time; it sorts as text.
std::string timeOf(const std::string &Line) {
  std::size_t At = Line.find(TimeKey);
  if (At == std::string::npos)
    return {};

  At += TimeKey.size();
  return Line.substr(At, Line.find(' ', At) - At);
}

} // namespace

std::vector<std::string> logLinesFor(const std::string &Id,
                                     std::istream &Logs) {
  std::vector<std::pair<std::string, std::string>> Found;
  std::string Line;
  while (std::getline(Logs, Line))
    if (names(Line, Id))
      Found.emplace_back(timeOf(Line), Line);
  std::stable_sort(
      Found.begin(), Found.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<std::string> Result;
  Result.reserve(Found.size());
  for (auto &Each : Found)
    Result.push_back(std::move(Each.second));

  return Result;
}

} // namespace daisyspool
