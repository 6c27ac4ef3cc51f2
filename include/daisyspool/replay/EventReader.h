#ifndef DAISYSPOOL_REPLAY_EVENTREADER_H
#define DAISYSPOOL_REPLAY_EVENTREADER_H

#include <cstdint>
#include <string>

namespace daisyspool {

/// Parses the ids of the server-sent events of one stream and detects missing
/// and repeated events, across resumes.
///
/// Thread safety: one thread at a time.
class EventReader {
public:
  /// Parses the next chunk of a body, which may end within a line.
  void read(const std::string &Chunk);

  /// Discards an unfinished line after its connection was closed.
  void discardPartialLine() { Rest.clear(); }

  /// The id of the next expected event; the first one is 0.
  std::uint64_t nextId() const { return NextId; }

  /// Whether an event was missing or repeated, or an id was not a number.
  bool hasSequenceError() const { return SequenceError; }

private:
  void readLine(const std::string &Line);

  /// The bytes after the last complete line.
  std::string Rest;
  std::uint64_t NextId = 0;
  bool SequenceError = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_EVENTREADER_H
