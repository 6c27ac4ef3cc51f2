#ifndef DAISYSPOOL_CORE_ERRORS_H
#define DAISYSPOOL_CORE_ERRORS_H

#include <exception>
#include <string>
#include <utility>

namespace daisyspool {

/// Whether a refused or failed request was executed. A refusal says NotRun
/// only if the request cannot have been executed and never will be.
enum class Execution { NotRun, Unknown, Run };

/// Returns the value of the `execution` field of a problem document.
const char *toString(Execution Value);

/// Base class of the project's exceptions. Callers distinguish failures by
/// type; the message is for people and is not parsed.
class Error : public std::exception {
public:
  explicit Error(std::string Detail) : Detail(std::move(Detail)) {}

  const char *what() const noexcept override { return Detail.c_str(); }

private:
  std::string Detail;
};

/// A message between processes that cannot be decoded or has another protocol
/// version.
class ProtocolError : public Error {
  using Error::Error;
};

/// An invalid or missing value in a settings or inventory file, with its line;
/// line 0 means that it has none.
class SettingsError : public Error {
public:
  SettingsError(std::string File, int Line, std::string Key, std::string Value,
                std::string Expected);

  const std::string &file() const { return File; }
  int line() const { return Line; }
  const std::string &key() const { return Key; }

private:
  std::string File;
  int Line;
  std::string Key;
};

/// The platform's service did not answer, so the effect of a write is unknown.
class PlatformUnavailable : public Error {
  using Error::Error;
};

/// The platform's service rejected the call because of its rate limit; nothing
/// changed.
class PlatformThrottled : public Error {
  using Error::Error;
};

/// The condition of a conditional write did not hold; nothing changed.
class ConditionFailed : public Error {
  using Error::Error;
};

/// The platform's service sent a response that violates its protocol.
class PlatformProtocolError : public Error {
  using Error::Error;
};

/// The operation's shard, lease or epoch has passed to another owner.
class FencedOff : public Error {
  using Error::Error;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_ERRORS_H
