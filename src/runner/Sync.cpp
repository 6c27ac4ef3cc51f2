#include "daisyspool/runner/Sync.h"

#include "daisyspool/core/Errors.h"

#include <nlohmann/json.hpp>

namespace daisyspool::runner {

namespace {

using nlohmann::json;

/// Raised with every change of the messages' form.
constexpr int SyncProtocolVersion = 1;

std::string pack(const json &What) {
  auto Bytes = json::to_msgpack(What);
  return {Bytes.begin(), Bytes.end()};
}

json toJson(const RunName &Name) {
  return json::array({workload::toString(Name.Task), Name.Run.value()});
}

RunName runFromJson(const json &From) {
  auto Task = workload::parseTaskName(From.at(0).get<std::string>());
  if (!Task)
    throw ProtocolError("sync: malformed task name");

  return {*Task, RunNumber(From.at(1))};
}

json toJson(const StartOrder &Order) {
  json Harmless = json::array();
  for (const workload::ImageId &Image : Order.HarmlessTo)
    Harmless.push_back(Image.str());
  return json::array({toJson(Order.Name), Order.Life.value(), Order.Spec,
                      Order.Checkpoint, Order.Image.str(), Order.FillsIdleCpu,
                      Order.TailTarget.count(), Order.StallAfter.count(),
                      std::move(Harmless)});
}

StartOrder startFromJson(const json &From) {
  StartOrder Order;
  Order.Name = runFromJson(From.at(0));
  Order.Life = WorkerLife(From.at(1));
  Order.Spec = From.at(2);
  Order.Checkpoint = From.at(3);
  Order.Image = workload::ImageId(From.at(4));
  Order.FillsIdleCpu = From.at(5);
  Order.TailTarget = Millis(From.at(6).get<std::int64_t>());
  Order.StallAfter = Millis(From.at(7).get<std::int64_t>());
  for (const json &Image : From.at(8))
    Order.HarmlessTo.emplace_back(Image.get<std::string>());
  return Order;
}

json toJson(const WorkerReport &Worker) {
  return json::array(
      {Worker.Life.value(), Worker.Id.str(), Worker.Service.str(),
       Worker.FailureDomain.str(), Worker.Capacity.Cpu.value(),
       Worker.Capacity.Memory.value(), Worker.Capacity.Accelerator.value(),
       Worker.Labels, Worker.Draining, Worker.Remaining.count()});
}

WorkerReport workerFromJson(const json &From) {
  WorkerReport Worker;
  Worker.Life = WorkerLife(From.at(0));
  Worker.Id = TargetId(From.at(1));
  Worker.Service = ServiceId(From.at(2));
  Worker.FailureDomain = FailureDomainId(From.at(3));
  Worker.Capacity = {MilliCores(From.at(4)), MebiBytes(From.at(5)),
                     Accelerators(From.at(6))};
  Worker.Labels = From.at(7).get<std::vector<std::string>>();
  Worker.Draining = From.at(8);
  Worker.Remaining = Millis(From.at(9).get<std::int64_t>());
  return Worker;
}

json toJson(const RunningTask &Task) {
  return json::array(
      {toJson(Task.Name), Task.Checkpoint, Task.Percent, Task.Load});
}

json toJson(const EndedTask &End) {
  return json::array({End.Number.value(), toJson(End.Name),
                      static_cast<int>(End.Cause), End.Checkpoint});
}

json toJson(const RefusedRun &Refusal) {
  return json::array(
      {Refusal.Number, toJson(Refusal.Name), static_cast<int>(Refusal.Reason)});
}

template <typename T> json listToJson(const std::vector<T> &From) {
  json Result = json::array();
  for (const T &Each : From)
    Result.push_back(toJson(Each));

  return Result;
}

int bounded(const json &From, int Count) {
  int Value = From;
  if (Value < 0 || Value >= Count)
    throw ProtocolError("sync: unknown enumerator " + std::to_string(Value));

  return Value;
}

EndedTask endFromJson(const json &From) {
  return {EndNumber(From.at(0)), runFromJson(From.at(1)),
          static_cast<EndCause>(bounded(From.at(2), EndCauseCount)),
          From.at(3)};
}

RefusedRun refusalFromJson(const json &From) {
  return {From.at(0), runFromJson(From.at(1)),
          static_cast<RefusalReason>(bounded(From.at(2), RefusalReasonCount))};
}

template <typename T, typename Parse>
std::vector<T> listFromJson(const json &From, Parse ParseOne) {
  std::vector<T> Result;
  Result.reserve(From.size());
  for (const json &Each : From)
    Result.push_back(ParseOne(Each));

  return Result;
}

/// Parses a message whose first element is the protocol's version.
json unpack(std::string_view Bytes) {
  json Whole = json::from_msgpack(Bytes.begin(), Bytes.end());
  if (Whole.at(0) != SyncProtocolVersion)
    throw ProtocolError("sync: another protocol version");

  return Whole;
}

} // namespace

std::string encode(const SyncRequest &What) {
  return pack(json::array(
      {SyncProtocolVersion, What.Leader.value(), What.Number, What.EchoedStamp,
       What.StampedBy, What.Grant.count(), What.EndsOf.value(),
       What.EndsRecorded.value(), What.RefusalsSeen, listToJson(What.Starts),
       listToJson(What.Stops), What.Wait.count()}));
}

SyncRequest decodeSyncRequest(std::string_view Bytes) {
  try {
    json From = unpack(Bytes);
    SyncRequest What;
    What.Leader = Epoch(From.at(1));
    What.Number = From.at(2);
    What.EchoedStamp = From.at(3);
    What.StampedBy = From.at(4);
    What.Grant = Millis(From.at(5).get<std::int64_t>());
    What.EndsOf = WorkerLife(From.at(6));
    What.EndsRecorded = EndNumber(From.at(7));
    What.RefusalsSeen = From.at(8);
    What.Starts = listFromJson<StartOrder>(From.at(9), startFromJson);
    What.Stops = listFromJson<RunName>(From.at(10), runFromJson);
    What.Wait = Millis(From.at(11).get<std::int64_t>());
    return What;
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("sync request: ") + Problem.what());
  }
}

std::string encode(const SyncReply &What) {
  return pack(json::array(
      {SyncProtocolVersion, What.Accepted, What.Newest.value(),
       What.AgentIncarnation, What.Stamp, What.GrantLeft.count(),
       What.LeaseExpired, What.Worker ? toJson(*What.Worker) : json(nullptr),
       listToJson(What.Running), listToJson(What.Starting),
       listToJson(What.Ended), listToJson(What.Refused),
       listToJson(What.Stalled)}));
}

SyncReply decodeSyncReply(std::string_view Bytes) {
  try {
    json From = unpack(Bytes);
    SyncReply What;
    What.Accepted = From.at(1);
    What.Newest = Epoch(From.at(2));
    What.AgentIncarnation = From.at(3);
    What.Stamp = From.at(4);
    What.GrantLeft = Millis(From.at(5).get<std::int64_t>());
    What.LeaseExpired = From.at(6);
    if (!From.at(7).is_null())
      What.Worker = workerFromJson(From.at(7));
    What.Running = listFromJson<RunningTask>(From.at(8), [](const json &Each) {
      return RunningTask{runFromJson(Each.at(0)), Each.at(1), Each.at(2),
                         Each.at(3)};
    });
    What.Starting = listFromJson<RunName>(From.at(9), runFromJson);
    What.Ended = listFromJson<EndedTask>(From.at(10), endFromJson);
    What.Refused = listFromJson<RefusedRun>(From.at(11), refusalFromJson);
    What.Stalled = listFromJson<RunName>(From.at(12), runFromJson);
    return What;
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("sync reply: ") + Problem.what());
  }
}

} // namespace daisyspool::runner
