#include "daisyspool/replay/Trace.h"

#include "replay/LineFields.h"

#include <algorithm>
#include <set>

namespace daisyspool {

namespace {

constexpr std::int64_t MaxDurationMs = 3600000;
constexpr std::int64_t MaxRepeats = 1000000;
constexpr std::int64_t MaxTasks = 1000;

void readJob(LineFields &Line, TraceItem &Item) {
  Item.Class = WorkClass::Batch;
  Item.Idempotent = false;
  Item.RetryRefused = true;
  Item.Tasks =
      static_cast<std::uint64_t>(Line.integerOr("tasks", 1, 1, MaxTasks));
  Item.TaskResources.Cpu = MilliCores(Line.integer("millicores", 1, 1000000));
  Item.TaskResources.Memory =
      MebiBytes(Line.integer("memory_mib", 1, 100000000));
  Item.Command = Line.text("command");
}

void readService(LineFields &Line, TraceItem &Item) {
  Item.Service = ServiceId(Line.text("service"));
  Item.Path = Line.text("path");
  if (Item.Path.front() != '/')
    Line.fail("path", "a path that starts with /");
  if (Item.Kind == TraceKind::Stream) {
    Item.Class = WorkClass::Session;
    Item.Events =
        static_cast<std::uint64_t>(Line.integer("events", 1, MaxRepeats));
    return;
  }

  Item.Class = static_cast<WorkClass>(
      Line.choice("class", {WorkClassNames.begin(), WorkClassNames.end()}));
  if (Item.Class == WorkClass::Session)
    Line.fail("class", "urgent, standard or batch; a session is a stream");
  Item.Idempotent = Line.flagOr("idempotent", true);
  Item.RetryRefused = Line.flagOr("retry_refused", false);
  Item.Work = Millis(Line.integerOr("work_ms", 0, 0, MaxDurationMs));
}

TraceItem readItem(LineFields &Line) {
  TraceItem Item;
  Item.At = Millis(Line.integer("at_ms", 0, MaxDurationMs));
  Item.Kind =
      static_cast<TraceKind>(Line.choice("kind", {"request", "stream", "job"}));
  Item.Id = Line.text("id");
  Item.Group = Line.textOr("group", Item.Id);
  Item.Team = TeamId(Line.text("team"));
  Item.Timeout = Millis(Line.integer("timeout_ms", 1, MaxDurationMs));
  if (Item.Kind == TraceKind::Job)
    readJob(Line, Item);
  else
    readService(Line, Item);
  return Item;
}

} // namespace

std::vector<TraceItem> parseTrace(const std::string &File,
                                  const std::string &Text) {
  std::vector<TraceItem> Result;
  std::set<std::string> Ids;
  forEachLine(File, Text, [&](LineFields &Line) {
    const TraceItem First = readItem(Line);
    if (!Ids.insert(First.Id).second)
      Line.fail("id", "an id that is unique in the file");

    std::int64_t Count = Line.integerOr("count", 1, 1, MaxRepeats);
    // In microseconds, because some traces send several requests per
    // millisecond.
    std::int64_t IntervalUs =
        Line.integerOr("every_us", 0, 0, MaxDurationMs * 1000);
    for (std::int64_t Index = 0; Index < Count; ++Index) {
      TraceItem Item = First;
      Item.At += Millis(Index * IntervalUs / 1000);
      Item.Id += "-" + std::to_string(Index);
      Result.push_back(std::move(Item));
    }
  });
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const TraceItem &A, const TraceItem &B) { return A.At < B.At; });
  return Result;
}

} // namespace daisyspool
