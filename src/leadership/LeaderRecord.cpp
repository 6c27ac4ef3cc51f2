#include "daisyspool/leadership/LeaderRecord.h"

#include "daisyspool/core/Errors.h"

#include <nlohmann/json.hpp>

namespace daisyspool::leadership {

namespace {

using nlohmann::json;

json toJson(const LeaderIdentity &Leader) {
  return json::array({Leader.Term.value(), Leader.Process.str(),
                      Leader.ProcessIncarnation.value()});
}

LeaderIdentity identityFromJson(const json &From) {
  return {Epoch(From.at(0).get<std::uint64_t>()),
          ProcessId(From.at(1).get<std::string>()),
          Incarnation(From.at(2).get<std::uint64_t>())};
}

std::string pack(const json &What) {
  auto Bytes = json::to_msgpack(What);
  return {Bytes.begin(), Bytes.end()};
}

} // namespace

std::string encode(const Fence &What) {
  return pack(json::array({toJson(What.Leader), What.Transaction}));
}

Fence decodeFence(std::string_view Bytes) {
  try {
    json From = json::from_msgpack(Bytes.begin(), Bytes.end());
    return {identityFromJson(From.at(0)), From.at(1).get<std::uint64_t>()};
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("fence row: ") + Problem.what());
  }
}

std::string encode(const LeaderStatus &What) {
  json Pending = json::array();
  for (const auto &[Queue, Count] : What.Pending)
    Pending.push_back(json::array({Queue.str(), Count}));
  return pack(
      json::array({toJson(What.Leader), What.Released, std::move(Pending)}));
}

LeaderStatus decodeLeaderStatus(std::string_view Bytes) {
  try {
    json From = json::from_msgpack(Bytes.begin(), Bytes.end());
    LeaderStatus What;
    What.Leader = identityFromJson(From.at(0));
    What.Released = From.at(1);
    for (const json &Each : From.at(2))
      What.Pending[workload::QueueId(Each.at(0).get<std::string>())] =
          Each.at(1);
    return What;
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("leader row: ") + Problem.what());
  }
}

} // namespace daisyspool::leadership
