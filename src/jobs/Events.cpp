#include "daisyspool/jobs/Events.h"

#include <utility>

namespace daisyspool {

const char *toString(TaskOutcome Outcome) {
  switch (Outcome) {
  case TaskOutcome::Succeeded:
    return "succeeded";
  case TaskOutcome::AttemptsExhausted:
    return "attempts-exhausted";
  case TaskOutcome::Cancelled:
    return "cancelled";
  case TaskOutcome::Unrunnable:
    return "unrunnable";
  }
  return "unknown";
}

namespace {

template <std::size_t Index = 0>
Event decodeEvent(std::size_t Kind, const msgpack::object &Payload) {
  if constexpr (Index == std::variant_size_v<Event>) {
    throw InvalidEvent("unknown event type " + std::to_string(Kind));
  } else {
    if (Kind != Index)
      return decodeEvent<Index + 1>(Kind, Payload);

    return Event(std::in_place_index<Index>,
                 Payload.as<std::variant_alternative_t<Index, Event>>());
  }
}

} // namespace

std::string encodeEvents(const std::vector<Event> &Events) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(static_cast<std::uint32_t>(Events.size()));
  for (const Event &Each : Events) {
    Packer.pack_array(2);
    Packer.pack(static_cast<std::uint64_t>(Each.index()));
    std::visit([&Packer](const auto &Payload) { Packer.pack(Payload); }, Each);
  }
  return {Buffer.data(), Buffer.size()};
}

std::vector<Event> decodeEvents(const std::string &Body) {
  try {
    auto Handle = msgpack::unpack(Body.data(), Body.size());
    std::vector<Event> Events;
    for (const auto &Item : Handle.get().as<std::vector<msgpack::object>>()) {
      auto Pair = Item.as<std::vector<msgpack::object>>();
      if (Pair.size() != 2)
        throw InvalidEvent("an event is not an array of a type and a payload");
      Events.push_back(decodeEvent(Pair[0].as<std::size_t>(), Pair[1]));
    }
    return Events;
  } catch (const InvalidEvent &) {
    throw;
  } catch (const std::exception &Cause) {
    throw InvalidEvent(std::string("events: ") + Cause.what());
  }
}

} // namespace daisyspool
