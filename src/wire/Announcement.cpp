#include "daisyspool/wire/Announcement.h"

#include "daisyspool/core/Errors.h"

#include <nlohmann/json.hpp>

namespace daisyspool::wire {

namespace {

http::Endpoint parseAddress(const nlohmann::json &From, const char *Key) {
  auto Parsed = http::parseEndpoint(From.at(Key).get<std::string>());
  if (!Parsed)
    throw ProtocolError(std::string("announcement: bad address in ") + Key);

  return *Parsed;
}

} // namespace

std::string toJson(const Announcement &Message) {
  return nlohmann::json{{"agent", Message.Agent.str()},
                        {"incarnation", Message.Number.value()},
                        {"vm", Message.Vm.str()},
                        {"rack", Message.Rack.str()},
                        {"failureDomain", Message.FailureDomain.str()},
                        {"service", Message.Service.str()},
                        {"links", http::toString(Message.Links)},
                        {"gossip", http::toString(Message.Gossip)},
                        {"millicores", Message.Capacity.Cpu.value()},
                        {"memoryMib", Message.Capacity.Memory.value()},
                        {"accelerators", Message.Capacity.Accelerator.value()},
                        {"slots", Message.Slots},
                        {"connections", Message.Connections},
                        {"leaving", Message.Leaving}}
      .dump();
}

Announcement parseAnnouncement(const std::string &Json) {
  try {
    auto From = nlohmann::json::parse(Json);
    Announcement Result;
    Result.Agent = ProcessId(From.at("agent").get<std::string>());
    Result.Number = Incarnation(From.at("incarnation").get<std::uint64_t>());
    Result.Vm = VmId(From.at("vm").get<std::string>());
    Result.Rack = RackId(From.at("rack").get<std::string>());
    Result.FailureDomain =
        FailureDomainId(From.at("failureDomain").get<std::string>());
    Result.Service = ServiceId(From.at("service").get<std::string>());
    Result.Links = parseAddress(From, "links");
    Result.Gossip = parseAddress(From, "gossip");
    Result.Capacity = {
        MilliCores(From.at("millicores").get<std::int64_t>()),
        MebiBytes(From.at("memoryMib").get<std::int64_t>()),
        Accelerators(From.at("accelerators").get<std::int64_t>())};
    Result.Slots = From.at("slots").get<std::uint32_t>();
    Result.Connections = From.at("connections").get<std::uint32_t>();
    Result.Leaving = From.at("leaving").get<bool>();
    return Result;
  } catch (const nlohmann::json::exception &Problem) {
    throw ProtocolError(std::string("announcement: ") + Problem.what());
  }
}

} // namespace daisyspool::wire
