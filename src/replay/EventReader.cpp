#include "daisyspool/replay/EventReader.h"

#include <charconv>
#include <string_view>

namespace daisyspool {

namespace {

constexpr std::string_view IdField = "id: ";

} // namespace

void EventReader::read(const std::string &Chunk) {
  Rest += Chunk;
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

  std::uint64_t Id = 0;
  const char *Begin = Line.data() + IdField.size();
  auto [End, Failure] = std::from_chars(Begin, Line.data() + Line.size(), Id);
  if (Failure != std::errc{} || Id != NextId) {
    SequenceError = true;
    // A repeated event does not reset the expected id.
    if (Failure != std::errc{} || Id < NextId)
      return;
  }
  NextId = Id + 1;
}

} // namespace daisyspool
