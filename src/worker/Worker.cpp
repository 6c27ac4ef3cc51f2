#include "daisyspool/worker/Worker.h"

namespace daisyspool {

namespace {

constexpr WorkerTaskPhase AllPhases[] = {
    WorkerTaskPhase::Running, WorkerTaskPhase::Suspended,
    WorkerTaskPhase::Finished, WorkerTaskPhase::Failed,
    WorkerTaskPhase::Stopped};

using Reason = WorkerRefused::Reason;
constexpr Reason AllReasons[] = {
    Reason::NoRoom,         Reason::UnknownTask, Reason::AttemptEnded,
    Reason::AnotherAttempt, Reason::LeaseLapsed, Reason::UnknownCheckpoint,
    Reason::UnknownClock};

template <typename Enum, std::size_t Count>
std::optional<Enum> parseByName(const Enum (&Values)[Count],
                                const std::string &Text) {
  for (Enum Value : Values)
    if (Text == toString(Value))
      return Value;

  return std::nullopt;
}

} // namespace

const char *toString(WorkerTaskPhase Phase) {
  switch (Phase) {
  case WorkerTaskPhase::Running:
    return "running";
  case WorkerTaskPhase::Suspended:
    return "suspended";
  case WorkerTaskPhase::Finished:
    return "finished";
  case WorkerTaskPhase::Failed:
    return "failed";
  case WorkerTaskPhase::Stopped:
    return "stopped";
  }
  return "unknown";
}

const char *toString(WorkerRefused::Reason Cause) {
  switch (Cause) {
  case Reason::NoRoom:
    return "no-room";
  case Reason::UnknownTask:
    return "unknown-task";
  case Reason::AttemptEnded:
    return "attempt-ended";
  case Reason::AnotherAttempt:
    return "another-attempt";
  case Reason::LeaseLapsed:
    return "lease-lapsed";
  case Reason::UnknownCheckpoint:
    return "unknown-checkpoint";
  case Reason::UnknownClock:
    return "unknown-clock";
  }
  return "unknown";
}

std::optional<WorkerTaskPhase> parseTaskPhase(const std::string &Text) {
  return parseByName(AllPhases, Text);
}

std::optional<WorkerRefused::Reason>
parseWorkerRefusal(const std::string &Text) {
  return parseByName(AllReasons, Text);
}

} // namespace daisyspool
