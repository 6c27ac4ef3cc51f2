#include "daisyspool/core/Errors.h"

namespace daisyspool {

const char *toString(Execution Value) {
  switch (Value) {
  case Execution::NotRun:
    return "not-run";
  case Execution::Unknown:
    return "unknown";
  case Execution::Run:
    return "run";
  }
  return "unknown";
}

SettingsError::SettingsError(std::string File, int Line, std::string Key,
                             std::string Value, std::string Expected)
    : Error(File + ":" + std::to_string(Line) + ": " + Key + ": found '" +
            Value + "', allowed: " + Expected),
      File(std::move(File)), Line(Line), Key(std::move(Key)) {}

} // namespace daisyspool
