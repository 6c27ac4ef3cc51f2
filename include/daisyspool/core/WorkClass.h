#ifndef DAISYSPOOL_CORE_WORKCLASS_H
#define DAISYSPOOL_CORE_WORKCLASS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace daisyspool {

/// Urgency of a request or task, most urgent first.
enum class WorkClass : std::uint8_t { Urgent, Session, Standard, Batch };

inline constexpr std::size_t WorkClassCount = 4;

inline constexpr std::array<const char *, WorkClassCount> WorkClassNames{
    "urgent", "session", "standard", "batch"};

/// The name used in settings, headers, metrics and logs.
constexpr const char *toString(WorkClass Class) {
  return WorkClassNames[static_cast<std::size_t>(Class)];
}

/// Parses a name; returns nothing if it is not one of WorkClassNames.
constexpr std::optional<WorkClass> parseWorkClass(std::string_view Name) {
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index)
    if (Name == WorkClassNames[Index])
      return static_cast<WorkClass>(Index);

  return std::nullopt;
}

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_WORKCLASS_H
