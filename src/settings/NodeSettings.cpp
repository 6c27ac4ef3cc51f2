#include "daisyspool/settings/NodeSettings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace daisyspool {

namespace {

/// An idle process takes 12 MB.
constexpr std::int64_t MinMebiBytes = 32;
/// 200 are kept for files; the rest carries connections.
constexpr std::int64_t MinDescriptors = 256;

std::optional<http::Endpoint> optionalEndpoint(IniFile &File,
                                               std::string_view Section,
                                               std::string_view Key) {
  if (File.textOr(Section, Key, "").empty())
    return std::nullopt;

  return File.endpoint(Section, Key);
}

Millis millisecondsOr(IniFile &File, std::string_view Section,
                      std::string_view Key, Millis Default) {
  std::string Text = File.textOr(Section, Key, "");
  if (Text.empty())
    return Default;

  try {
    return Millis(static_cast<std::int64_t>(std::stod(Text)));
  } catch (const std::exception &) {
    File.fail(Section, Key, "a number of milliseconds");
  }
}

/// The positive number at a key, or \p Default without a value.
double positiveNumberOr(IniFile &File, std::string_view Section,
                        std::string_view Key, double Default,
                        std::int64_t Max) {
  std::string Text = File.textOr(Section, Key, "");
  if (Text.empty())
    return Default;

  double Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool Whole = Failure == std::errc{} && End == Text.data() + Text.size();
  if (!Whole || !(Value > 0 && Value <= static_cast<double>(Max)))
    File.fail(Section, Key,
              "a number above 0 and up to " + std::to_string(Max));
  return Value;
}

/// The largest row of the store, or \p Default without a value.
std::size_t rowBytesOr(IniFile &File, std::size_t Default) {
  constexpr double Min = 1000;
  constexpr std::int64_t Max = 1'000'000'000;
  double Value = positiveNumberOr(File, "store", "row_bytes",
                                  static_cast<double>(Default), Max);
  if (Value < Min)
    File.fail("store", "row_bytes", "at least 1000 bytes");
  return static_cast<std::size_t>(Value);
}

/// The product of a process's share of a core and the speed of that core;
/// shares below a thousandth count as one.
MilliCores processors(IniFile &File) {
  constexpr std::int64_t Max = 1000;
  double Share = positiveNumberOr(File, "capacity", "cpu_share", 1, Max);
  double Cores = positiveNumberOr(File, "capacity", "cores", 1, Max);
  return MilliCores(
      std::max<std::int64_t>(1, std::llround(Share * Cores * 1000)));
}

bool isOrderedByCost(IniFile &File) {
  std::string Order = File.textOr("overload", "order", "work");
  if (Order != "work" && Order != "cost")
    File.fail("overload", "order", "work or cost");
  return Order == "cost";
}

/// The whole number of at least \p Min at a key, or \p Default without a value.
std::int64_t capacityOr(IniFile &File, std::string_view Key,
                        std::int64_t Default, std::int64_t Min) {
  constexpr std::int64_t Max = 100'000'000;
  double Value = positiveNumberOr(File, "capacity", Key,
                                  static_cast<double>(Default), Max);
  if (Value < static_cast<double>(Min))
    File.fail("capacity", Key, "at least " + std::to_string(Min));
  return static_cast<std::int64_t>(Value);
}

} // namespace

NodeSettings parseNodeSettings(IniFile File) {
  NodeSettings Result;
  Result.Process = ProcessId(File.text("node", "name"));
  Result.FailureDomain = FailureDomainId(File.text("node", "failure_domain"));
  Result.LogLevel = File.textOr("node", "log_level", Result.LogLevel);
  Result.Callers = optionalEndpoint(File, "listen", "callers");
  Result.Readiness = optionalEndpoint(File, "listen", "readiness");
  Result.Announcements = optionalEndpoint(File, "listen", "announcements");
  Result.Links = File.endpoint("listen", "links");
  Result.Metrics = File.endpoint("listen", "metrics");
  Result.Store = File.endpoint("store", "address");
  Result.StoreRowBytes = rowBytesOr(File, Result.StoreRowBytes);
  Result.Worker = optionalEndpoint(File, "worker", "address");
  Result.MaxLease =
      millisecondsOr(File, "bounds", "max_lease_ms", Result.MaxLease);
  Result.StopTimeout =
      millisecondsOr(File, "bounds", "stop_timeout_ms", Result.StopTimeout);
  Result.EvacuationBound =
      millisecondsOr(File, "bounds", "evacuation_ms", Result.EvacuationBound);
  Result.Processors = processors(File);
  Result.OrderByCost = isOrderedByCost(File);
  Result.Memory = MebiBytes(
      capacityOr(File, "memory_mb", Result.Memory.value(), MinMebiBytes));
  Result.FileDescriptors = static_cast<std::size_t>(capacityOr(
      File, "file_descriptors",
      static_cast<std::int64_t>(Result.FileDescriptors), MinDescriptors));
  File.rejectUnread();
  return Result;
}

} // namespace daisyspool
