#include "daisyspool/entry/ServedLogDuty.h"

#include "daisyspool/telemetry/Log.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace daisyspool {

namespace {

constexpr Millis AppendInterval{1000};
constexpr std::size_t RingCapacity = 65536;
// A record takes about 100 bytes, so a batch stays below the row limit of
// 400 KB.
constexpr std::size_t MaxRecordsPerBatch = 2000;
constexpr std::size_t MaxQueryLines = 10000;

nlohmann::json toJson(const RecordLine &Line) {
  return {{"log", Line.Partition},   {"sequence", Line.Sequence.value()},
          {"at", Line.At.count()},   {"caller", Line.Caller.str()},
          {"request", Line.Request}, {"what", Line.EventName},
          {"detail", Line.Detail},   {"vm", Line.Vm.str()}};
}

http::Response jsonResponse(const nlohmann::json &Document) {
  return {200, {{"Content-Type", "application/json"}}, Document.dump()};
}

http::Response unavailable(const Error &Problem) {
  return http::toResponse({503, "store-unavailable", Problem.what(), {}});
}

} // namespace

ServedLogDuty::ServedLogDuty(boost::asio::io_context &Io, const Clock &Time,
                             Options Config,
                             std::unique_ptr<TableService> Table,
                             std::unique_ptr<ObjectStore> Objects)
    : Io(Io), Config(std::move(Config)), Table(std::move(Table)),
      Objects(std::move(Objects)),
      Journal("served/" + this->Config.Process.str(), this->Config.Process, "",
              *this->Table, *this->Objects, Time),
      Record(*this->Table), Timer(Io),
      Input(std::make_shared<Inbox<ServedRequest>>(
          Io, RingCapacity,
          [this](ServedRequest Item) { enqueue(std::move(Item)); })) {
  schedule();
}

void ServedLogDuty::enqueue(ServedRequest Item) {
  Pending.push_back(std::move(Item));
  if (Pending.size() <= Config.MaxPending)
    return;

  // The first records may belong to an append whose outcome is unknown, so the
  // oldest record after them is dropped.
  Pending.erase(Pending.begin() + static_cast<std::ptrdiff_t>(AppendingCount));
  if (++DroppedCount % 1000 == 1)
    LogEvent(LogLevel::Error, "record_dropped")
        .with("total", static_cast<std::int64_t>(DroppedCount));
}

bool ServedLogDuty::prepareLog() {
  if (!Registered) {
    Record.registerServedLog(Config.Process);
    Registered = true;
  }
  return Journal.owns() || Journal.tryAcquire();
}

void ServedLogDuty::appendPending() {
  if (!prepareLog())
    return;

  if (Journal.hasPendingWrite() && !Journal.resolvePendingWrite())
    return;
  Pending.erase(Pending.begin(),
                Pending.begin() + static_cast<std::ptrdiff_t>(
                                      std::exchange(AppendingCount, 0)));
  while (!Pending.empty()) {
    RequestsServed Batch;
    AppendingCount = std::min(Pending.size(), MaxRecordsPerBatch);
    Batch.Requests.assign(Pending.begin(),
                          Pending.begin() +
                              static_cast<std::ptrdiff_t>(AppendingCount));
    if (!Journal.append(encodeEvents({Batch})))
      return;
    Pending.erase(Pending.begin(),
                  Pending.begin() + static_cast<std::ptrdiff_t>(
                                        std::exchange(AppendingCount, 0)));
  }
}

void ServedLogDuty::flush() {
  try {
    appendPending();
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "store_problem")
        .with("operation", "served_log")
        .with("detail", Problem.what());
  }
}

void ServedLogDuty::schedule() {
  Timer.expires_after(AppendInterval);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    flush();
    schedule();
  });
}

void ServedLogDuty::query(RecordQuery Query, Answer Done) {
  boost::asio::post(Io, [this, Query = std::move(Query),
                         Done = std::move(Done)] {
    try {
      nlohmann::json Lines = nlohmann::json::array();
      for (const std::string &Partition : Record.partitions(Config.Shards))
        for (const RecordLine &Line : Record.find(Partition, Query))
          if (Lines.size() < MaxQueryLines)
            Lines.push_back(toJson(Line));
      bool Complete = Lines.size() < MaxQueryLines;
      Done(jsonResponse({{"lines", std::move(Lines)}, {"complete", Complete}}));
    } catch (const Error &Problem) {
      Done(unavailable(Problem));
    }
  });
}

void ServedLogDuty::verify(Answer Done) {
  boost::asio::post(Io, [this, Done = std::move(Done)] {
    try {
      nlohmann::json Logs = nlohmann::json::array();
      for (const std::string &Partition : Record.partitions(Config.Shards)) {
        VerifyReport Report = Record.verify(Partition);
        nlohmann::json Findings = nlohmann::json::array();
        for (const RecordFinding &Each : Report.Findings)
          Findings.push_back({{"damage", toString(Each.Kind)},
                              {"sequence", Each.Sequence.value()}});
        Logs.push_back({{"log", Partition},
                        {"entries", Report.Entries},
                        {"findings", std::move(Findings)}});
      }
      Done(jsonResponse({{"logs", std::move(Logs)}}));
    } catch (const Error &Problem) {
      Done(unavailable(Problem));
    }
  });
}

} // namespace daisyspool
