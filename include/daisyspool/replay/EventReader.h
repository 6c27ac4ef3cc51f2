#ifndef DAISYSPOOL_REPLAY_EVENTREADER_H
#define DAISYSPOOL_REPLAY_EVENTREADER_H

#include <cstdint>
#include <string>

namespace daisyspool {

/// Follows the numbered server-sent events of one stream, over resumes.
///
/// Thread safety: one thread at a time.
class EventReader {
public:
  /// Takes the next piece of a body, which may end within a line.
  void read(const std::string &Piece);

  /// Forgets an unfinished line, as the connection that carried it was cut.
  void cut() { Rest.clear(); }

  /// The number of the next event, counted from 0.
  std::uint64_t next() const { return Next; }

  /// An event was missing, or came again after a resume.
  bool broken() const { return Broken; }

private:
  void readLine(const std::string &Line);

  std::string Rest;
  std::uint64_t Next = 0;
  bool Broken = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_EVENTREADER_H
