#include "daisyspool/wire/Codec.h"

#include "daisyspool/wire/Adaptors.h"

#include <cstddef>
#include <utility>

namespace daisyspool::wire {

namespace {

// Version, type, sender, incarnation, configuration version, content.
constexpr std::uint32_t EnvelopeFields = 6;

// Without these limits, a forged array header makes the decoder reserve
// gigabytes before it reads the first element.
constexpr std::size_t MaxElements = 100000;
constexpr std::size_t MaxBytes = 64 * 1024 * 1024;
constexpr std::size_t MaxDepth = 16;

template <std::size_t Index = 0>
Message unpackContent(std::size_t Type, const msgpack::object &From) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (Type == Index)
      return From.as<std::variant_alternative_t<Index, Message>>();
    return unpackContent<Index + 1>(Type, From);
  } else {
    throw ProtocolError("unknown message type " + std::to_string(Type));
  }
}

Envelope unpackEnvelope(const msgpack::object &Root) {
  if (Root.type != msgpack::type::ARRAY || Root.via.array.size == 0)
    throw ProtocolError("a message is not an array");

  const msgpack::object *Fields = Root.via.array.ptr;
  auto Version = Fields[0].as<std::uint32_t>();
  if (Version != ProtocolVersion)
    throw VersionMismatch(Version);
  if (Root.via.array.size < EnvelopeFields)
    throw ProtocolError("a message is truncated");

  return Envelope{Fields[2].as<ProcessId>(), Fields[3].as<Incarnation>(),
                  Fields[4].as<ConfigVersion>(),
                  unpackContent(Fields[1].as<std::size_t>(), Fields[5])};
}

} // namespace

std::string encode(const Envelope &Message) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(EnvelopeFields);
  Packer.pack(ProtocolVersion);
  Packer.pack(Message.Content.index());
  Packer.pack(Message.From);
  Packer.pack(Message.SenderIncarnation);
  Packer.pack(Message.Config);
  std::visit([&](const auto &Content) { Packer.pack(Content); },
             Message.Content);

  return {Buffer.data(), Buffer.size()};
}

Envelope decode(std::string_view Bytes) {
  try {
    msgpack::unpack_limit Limit(MaxElements, 0, MaxBytes, MaxBytes, 0,
                                MaxDepth);
    auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limit);
    return unpackEnvelope(Handle.get());
  } catch (const msgpack::type_error &) {
    throw ProtocolError("a field of a message has the wrong type");
  } catch (const msgpack::unpack_error &) {
    throw ProtocolError("a message is not valid MessagePack");
  }
}

} // namespace daisyspool::wire
