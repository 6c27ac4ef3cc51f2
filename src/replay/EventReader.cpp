#include "daisyspool/replay/EventReader.h"

#include <charconv>
#include <string_view>

namespace daisyspool {

namespace {

constexpr std::string_view IdField = "id: ";

} // namespace

void EventReader::read(const std::string &Piece) {
  Rest += Piece;
  std::size_t Start = 0;
  for (std::size_t End = Rest.find('\n'); End != std::string::npos;
       End = Rest.find('\n', Start)) {
    readLine(Rest.substr(Start, End - Start));
    Start = End + 1;
  }
  Rest.erase(0, Start);
}

void EventReader::readLine(const std::string &Line) {
  if (Line.rfind(IdField, 0) != 0)
    return;

  std::uint64_t Number = 0;
  const char *Begin = Line.data() + IdField.size();
  auto [Stop, Failure] =
      std::from_chars(Begin, Line.data() + Line.size(), Number);
  if (Failure != std::errc{} || Number != Next) {
    Broken = true;
    // A repeated event does not move the caller back.
    if (Failure != std::errc{} || Number < Next)
      return;
  }
  Next = Number + 1;
}

} // namespace daisyspool
