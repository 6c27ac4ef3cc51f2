#include "daisyspool/telemetry/Log.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <atomic>
#include <cassert>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <unistd.h>
#include <unordered_map>

namespace daisyspool {

namespace {

/// Per event name. Enough for the decisions of the busiest known entry; lines
/// beyond it are counted but not written.
constexpr int MaxLinesPerSecond = 200;

struct RateWindow {
  std::chrono::steady_clock::time_point Start;
  int Written = 0;
  int Suppressed = 0;
};

struct LogState {
  std::atomic<LogLevel> MinLevel{LogLevel::Warning};
  std::string Process = "-";
  /// Lines dropped because a write to standard output failed.
  std::atomic<int> DroppedLines{0};
  std::mutex WindowsMutex;
  std::unordered_map<std::string, RateWindow> Windows;
};

LogState &state() {
  static LogState State;
  return State;
}

const char *toString(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

/// The current date and time in UTC. Boost.Log's formatter takes longer than
/// the rest of a line, and a busy leader writes hundreds of lines per second.
std::string utcTimestamp() {
  using namespace std::chrono;
  auto Now = system_clock::now();
  auto Micros = duration_cast<microseconds>(Now.time_since_epoch()).count();
  std::time_t Seconds = system_clock::to_time_t(Now);
  std::tm Fields{};
  ::gmtime_r(&Seconds, &Fields);
  std::array<char, 40> Text{};
  std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Fields);
  std::snprintf(Text.data() + Length, Text.size() - Length, ".%06d",
                static_cast<int>(Micros % 1000000));
  return Text.data();
}

/// Applies the rate limit to one line of the event \p Name. Returns the number
/// of lines suppressed before this one, or -1 if this one is suppressed too.
int admitLine(const std::string &Name) {
  std::lock_guard Lock(state().WindowsMutex);
  RateWindow &Window = state().Windows[Name];
  auto Now = std::chrono::steady_clock::now();
  int SuppressedBefore = 0;
  if (Now - Window.Start >= std::chrono::seconds(1)) {
    SuppressedBefore = Window.Suppressed;
    Window = {Now, 0, 0};
  }
  if (Window.Written >= MaxLinesPerSecond) {
    ++Window.Suppressed;
    return -1;
  }

  ++Window.Written;
  return SuppressedBefore;
}

} // namespace

/// Writes whole lines to standard output without blocking and drops lines that
/// do not fit into the pipe, so that a slow reader never delays a decision.
class NonBlockingOutput final : public std::streambuf {
public:
  NonBlockingOutput() {
    int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (Flags >= 0)
      ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  }

protected:
  int_type overflow(int_type Each) override {
    if (Each != traits_type::eof())
      Line += static_cast<char>(Each);
    return Each;
  }

  std::streamsize xsputn(const char *Text, std::streamsize Count) override {
    Line.append(Text, static_cast<std::size_t>(Count));
    return Count;
  }

  int sync() override {
    if (Line.empty())
      return 0;
    // A write of at most PIPE_BUF bytes to a pipe is atomic: the line is
    // written whole or not at all.
    ssize_t Written = ::write(STDOUT_FILENO, Line.data(), Line.size());
    if (Written < 0)
      ++state().DroppedLines;
    Line.clear();
    return 0;
  }

private:
  std::string Line;
};

void startLog(std::string_view Process, LogLevel MinLevel) {
  namespace log = boost::log;
  static NonBlockingOutput Buffer;
  static std::ostream Output(&Buffer);
  state().Process = std::string(Process);
  state().MinLevel = MinLevel;
  log::add_console_log(Output, log::keywords::auto_flush = true,
                       log::keywords::format = (log::expressions::stream
                                                << log::expressions::smessage));
}

LogLevel parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "info")
    return LogLevel::Info;
  if (Name == "warning")
    return LogLevel::Warning;
  assert(Name == "error");
  return LogLevel::Error;
}

void appendLogValue(std::string &Line, std::string_view Value) {
  bool Plain = !Value.empty() &&
               Value.find_first_of(" \"\n\r\t=\\") == std::string_view::npos;
  if (Plain) {
    Line += Value;
    return;
  }

  Line += '"';
  for (char Each : Value) {
    if (Each == '\n') {
      Line += "\\n";
      continue;
    }
    if (Each == '"' || Each == '\\')
      Line += '\\';
    Line += static_cast<unsigned char>(Each) < ' ' ? ' ' : Each;
  }
  Line += '"';
}

LogEvent::LogEvent(LogLevel Level, std::string_view Name)
    : Level(Level), Name(Name), Enabled(Level >= state().MinLevel.load()) {}

LogEvent &LogEvent::with(std::string_view Key, std::string_view Value) {
  if (!Enabled)
    return *this;

  Line += ' ';
  Line += Key;
  Line += '=';
  appendLogValue(Line, Value);
  return *this;
}

LogEvent &LogEvent::with(std::string_view Key, std::int64_t Value) {
  return with(Key, std::to_string(Value));
}

LogEvent::~LogEvent() {
  if (!Enabled)
    return;
  int SuppressedBefore = admitLine(Name);
  if (SuppressedBefore < 0)
    return;
  if (SuppressedBefore > 0)
    with("left_out", SuppressedBefore);
  if (int DroppedLines = state().DroppedLines.exchange(0); DroppedLines > 0)
    with("dropped", DroppedLines);

  static boost::log::sources::logger_mt Logger;
  BOOST_LOG(Logger) << "time=" << utcTimestamp() << " level=" << toString(Level)
                    << " process=" << state().Process << " event=" << Name
                    << Line;
}

} // namespace daisyspool
