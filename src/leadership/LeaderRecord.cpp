#include "daisyspool/leadership/LeaderRecord.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Document.h"
#include "daisyspool/workload/Limits.h"

#include <nlohmann/json.hpp>

namespace daisyspool::leadership {

namespace {

using nlohmann::json;
using wire::wholeNumber;

/// Number of fields in the status of a version that does not name the leader's
/// processors.
constexpr std::size_t FieldsWithoutProcessors = 3;
/// Number of fields in a status that says nothing about the room.
constexpr std::size_t FieldsWithoutRoom = 5;
/// Upper limit for stored millicores.
constexpr std::int64_t MaxProcessors = 1'000'000;

json toJson(const LeaderIdentity &Leader) {
  return json::array({Leader.Term.value(), Leader.Process.str(),
                      Leader.ProcessIncarnation.value()});
}

LeaderIdentity identityFromJson(const json &Value) {
  return {Epoch(wholeNumber<std::uint64_t>(Value.at(0))),
          ProcessId(Value.at(1).get<std::string>()),
          Incarnation(wholeNumber<std::uint64_t>(Value.at(2)))};
}

json toJson(const overload::RoomEstimate &Room) {
  json Result = json::array();
  for (const auto &[Queue, Steps] : Room.Waits) {
    json Rows = json::array();
    for (const overload::WaitStep &Step : Steps)
      Rows.push_back(
          json::array({Step.Work, Step.InTimeWait.count(), Step.Wait.count()}));
    Result.push_back(json::array({Queue.str(), std::move(Rows)}));
  }
  return Result;
}

Millis waitFromJson(const json &Value) {
  return Millis(wholeNumber(Value, 0, workload::MaxDurationMillis));
}

overload::RoomEstimate roomFromJson(const json &Value) {
  overload::RoomEstimate Result;
  for (const json &Queue : Value) {
    auto &Steps =
        Result.Waits[workload::QueueId(Queue.at(0).get<std::string>())];
    for (const json &Row : Queue.at(1))
      Steps.push_back({wholeNumber<std::int64_t>(Row.at(0)),
                       waitFromJson(Row.at(1)), waitFromJson(Row.at(2))});
  }
  return Result;
}

std::string pack(const json &Value) {
  auto Bytes = json::to_msgpack(Value);
  return {Bytes.begin(), Bytes.end()};
}

} // namespace

std::string encode(const Fence &Row) {
  return pack(json::array({toJson(Row.Leader), Row.Transaction}));
}

Fence decodeFence(std::string_view Bytes) {
  try {
    json Value = wire::parseMsgpack(Bytes);
    return {identityFromJson(Value.at(0)),
            wholeNumber<std::uint64_t>(Value.at(1))};
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("fence row: ") + Problem.what());
  }
}

std::string encode(const LeaderStatus &Row) {
  json Pending = json::array();
  for (const auto &[Queue, Count] : Row.Pending)
    Pending.push_back(json::array({Queue.str(), Count}));
  json Result =
      json::array({toJson(Row.Leader), Row.Released, std::move(Pending),
                   Row.Processors.value(), Row.Overloaded});
  if (!Row.Room.Waits.empty())
    Result.push_back(toJson(Row.Room));
  return pack(Result);
}

LeaderStatus decodeLeaderStatus(std::string_view Bytes) {
  try {
    json Value = wire::parseMsgpack(Bytes);
    LeaderStatus Status;
    Status.Leader = identityFromJson(Value.at(0));
    Status.Released = Value.at(1);
    for (const json &QueueCount : Value.at(2))
      Status.Pending[workload::QueueId(QueueCount.at(0).get<std::string>())] =
          wholeNumber<std::uint32_t>(QueueCount.at(1));
    if (Value.size() > FieldsWithoutProcessors) {
      Status.Processors =
          MilliCores(wholeNumber(Value.at(3), 0, MaxProcessors));
      Status.Overloaded = Value.at(4);
    }
    if (Value.size() > FieldsWithoutRoom)
      Status.Room = roomFromJson(Value.at(FieldsWithoutRoom));
    return Status;
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("leader row: ") + Problem.what());
  }
}

} // namespace daisyspool::leadership
