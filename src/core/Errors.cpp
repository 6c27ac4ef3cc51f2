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
                             std::string Found, std::string Allowed)
    : Error(File + ":" + std::to_string(Line) + ": " + Key + ": found '" +
            Found + "', allowed: " + Allowed),
      File(std::move(File)), Line(Line), Key(std::move(Key)) {}

} // namespace daisyspool
